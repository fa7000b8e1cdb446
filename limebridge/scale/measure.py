"""One measurement in a process of its own: `python -m limebridge.scale.measure SUBJECT SIZE`.

Prints one JSON line: the values by cost, or why there are none. The process ends itself after the
time limit, so it never outlives whoever started it for long.
"""

from __future__ import annotations

import argparse
import signal
import sys
from typing import Literal

import msgspec

from violetroute.error_text import one_line

from .registry import DEFAULT_TIME_LIMIT, MeasurementError, Values, subjects


class Measured(msgspec.Struct, frozen=True, tag="measured"):
    """The values of a subject's costs at one size."""

    values: Values


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """Why there are no values; one line."""

    reason: str


Answer = Measured | Failed


def main() -> int:
    """Measure, and print the answer as one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("subject", choices=sorted(subjects()))
    parser.add_argument("size", type=int)
    parser.add_argument("--time-limit", type=float, default=DEFAULT_TIME_LIMIT, metavar="S")
    given = parser.parse_args()
    signal.setitimer(signal.ITIMER_REAL, given.time_limit)  # SIGALRM ends a process
    answer = measure(given.subject, given.size)
    print(msgspec.json.encode(answer).decode(), flush=True)
    return EXIT_STATUS[type(answer)]


EXIT_STATUS: dict[type[Answer], Literal[0, 1]] = {Measured: 0, Failed: 1}


def measure(subject: str, size: int) -> Answer:
    """The values of that subject at that size, or why there are none."""
    chosen = subjects()[subject]
    try:
        values = chosen.measure(size)
    except (MeasurementError, OSError, TimeoutError, ValueError, MemoryError) as error:
        return Failed(f"{type(error).__name__}: {one_line(error)}")
    expected = {cost.name for cost in chosen.costs}
    if set(values) != expected:
        return Failed(f"measured {sorted(values)}, not {sorted(expected)}")
    return Measured(values)


if __name__ == "__main__":
    sys.exit(main())
