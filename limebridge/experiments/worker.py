"""A process that plays one run after another: jobs as lines of JSON in, results out.

`python -m limebridge.experiments.worker MEMORY_MB`.  It ends with its standard input, so it never
outlives whoever started it; a job that can't be played is a result that says why.
"""

from __future__ import annotations

import asyncio
import base64
import json
import resource
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from limebridge.rehearsal.engine import Rehearsal
from limebridge.rehearsal.report import to_dict
from limebridge.rehearsal.scenario import Scenario, validate
from violetroute.config import ConfigError
from violetroute.config.tables import to_struct

from .plan import digest

LEAST_US, MOST_US, DIGITS = 1, 60_000_000, 3  # of a histogram of answers


def _ends(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Out of memory in a handler of the daemon's costs it a stream, and the run would go on so."""
    if isinstance(context.get("exception"), MemoryError):
        raise SystemExit
    loop.default_exception_handler(context)


def play(scenario: Scenario, seed: int) -> dict[str, Any]:
    """Measures, the histogram of answers' times, and what explains them."""
    rehearsal = Rehearsal(scenario, seed)
    rehearsal.loop.set_exception_handler(_ends)
    result = rehearsal.run()
    told = to_dict(result)
    times = HdrHistogram(LEAST_US, MOST_US, DIGITS)
    for each in rehearsal.requests:
        if each.served_at is not None:
            times.record_value(max(LEAST_US, round((each.served_at - each.at) * 1e6)))
    share = told["share"] or {}
    measures = {
        name: told[name]
        for name in (
            "service",
            "worst",
            "worst_class",
            "total",
            "p99_ms",
            "database_most",
            "crossed",
        )
    }
    measures |= {name: share.get(name) for name in ("whole", "trouble", "after", "back", "swing")}
    measures["broken"] = len(result.violations)
    detail = {
        "failed": told["failed"],
        "blame": told["blame"],
        "costs": told["costs"],
        "worst_at": told["worst_at"],
        "ends": told["ends"],
        "seconds": [[round(a, 4), round(e, 4)] for a, e in result.score.seconds],
        "unserved": [
            [round(a.at, 4), a.cls, a.tenant, a.site, a.outcomes] for a in result.unserved
        ],
        "broken": told["broken"],
    }
    return {
        "state": "done",
        "measures": measures,
        "detail": detail,
        "times": base64.b64encode(times.encode()).decode(),
    }


@contextmanager
def patched(constants: dict[str, float]) -> Iterator[None]:
    """The decision module with other constants.  ConfigError for one that there is not.

    What is imported by name into another file of the module is changed there too.
    """

    rooms = [m for name, m in sys.modules.items() if name.startswith("snowstall.")]
    undo: list[tuple[Any, str, Any]] = []
    try:
        for name, value in constants.items():
            file, _, constant = name.partition(".")
            home = sys.modules.get(f"snowstall.{file}")
            old = getattr(home, constant, None)
            if not constant.isupper() or not isinstance(old, int | float):
                raise ConfigError(f"policy.{name}: the decision module has no such constant")
            if isinstance(value, bool) or not isinstance(value, int | float):
                raise ConfigError(f"policy.{name}: {value!r} is no number")
            for room in rooms:
                if room.__dict__.get(constant) is old or room is home:
                    undo.append((room, constant, room.__dict__[constant]))
                    setattr(room, constant, value)
        yield
    finally:
        for room, constant, old in reversed(undo):
            setattr(room, constant, old)


def one(job: dict[str, Any]) -> dict[str, Any]:
    """What came of a job: never an exception."""
    began = time.monotonic()
    try:
        scenario = to_struct(job["scenario"], Scenario, "scenario")
        validate(scenario, "scenario")
        with patched(job["constants"]):
            told = play(scenario, job["seed"]) | {"scenario": digest(job["scenario"])}
    except ConfigError as error:
        told = {"state": "invalid", "why": str(error)}
    except (MemoryError, SystemExit):
        told = {"state": "crashed", "why": "it needed more memory than it may have"}
    except Exception as error:
        told = {"state": "crashed", "why": f"{type(error).__name__}: {error}"}
    return told | {"seconds": time.monotonic() - began}


def main() -> None:
    """Until standard input ends."""
    most = int(float(sys.argv[1]) * 1024 * 1024)
    resource.setrlimit(resource.RLIMIT_AS, (most, most))
    out, sys.stdout = sys.stdout, sys.stderr  # what a run prints is no result
    for line in sys.stdin:
        told = one(msgspec.json.decode(line))
        out.write(json.dumps(told) + "\n")
        out.flush()


if __name__ == "__main__":
    main()
