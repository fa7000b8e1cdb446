"""Runs one measurement in this process: `python -m limebridge.scale.measure SUBJECT SIZE`.

Prints one line of JSON: the values by cost, or the reason for a failure.  The process ends itself
after its time limit, so it cannot outlive its parent for long.
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
    """The measurement failed; `reason` is one line."""

    reason: str


Answer = Measured | Failed


def main() -> int:
    """Measure, print the answer as one line of JSON, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("subject", choices=sorted(subjects()))
    parser.add_argument("size", type=int)
    parser.add_argument("--time-limit", type=float, default=DEFAULT_TIME_LIMIT, metavar="S")
    given = parser.parse_args()
    signal.setitimer(signal.ITIMER_REAL, given.time_limit)  # SIGALRM ends the process
    answer = measure(given.subject, given.size)
    print(msgspec.json.encode(answer).decode(), flush=True)
    return EXIT_STATUS[type(answer)]


EXIT_STATUS: dict[type[Answer], Literal[0, 1]] = {Measured: 0, Failed: 1}


def measure(subject: str, size: int) -> Answer:
    """Measure `subject` at `size`; `Failed` if that fails or the values are not those expected."""
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
