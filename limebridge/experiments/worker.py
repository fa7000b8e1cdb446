"""A worker process: reads jobs as lines of JSON, runs them one by one, and writes the results.

`python -m limebridge.experiments.worker MEMORY_MB`.  It exits at the end of its standard input, so
it never outlives its parent.  A job that can't be run has a result with the reason.
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

from .plan import scenario_digest

MIN_US, MAX_US, SIGNIFICANT_DIGITS = (
    1,
    60_000_000,
    3,
)  # range and precision of the latency histogram


def _exit_on_memory_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Exit on MemoryError in a callback: otherwise it would only end a stream of the daemon."""
    if isinstance(context.get("exception"), MemoryError):
        raise SystemExit
    loop.default_exception_handler(context)


def run_scenario(scenario: Scenario, seed: int) -> dict[str, Any]:
    """Run a scenario; return its measures, a latency histogram, and details that explain them."""
    rehearsal = Rehearsal(scenario, seed)
    rehearsal.loop.set_exception_handler(_exit_on_memory_error)
    result = rehearsal.run()
    report = to_dict(result)
    times = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
    for record in rehearsal.requests:
        if record.served_at is not None:
            times.record_value(max(MIN_US, round((record.served_at - record.at) * 1e6)))
    share = report["share"] or {}
    measures = {
        name: report[name]
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
        "failed": report["failed"],
        "blame": report["blame"],
        "costs": report["costs"],
        "worst_at": report["worst_at"],
        "ends": report["ends"],
        "seconds": [[round(a, 4), round(e, 4)] for a, e in result.score.seconds],
        "unserved": [
            [round(a.at, 4), a.cls, a.tenant, a.site, a.outcomes] for a in result.unserved
        ],
        "broken": report["broken"],
    }
    return {
        "state": "done",
        "measures": measures,
        "detail": detail,
        "times": base64.b64encode(times.encode()).decode(),
    }


@contextmanager
def patched_constants(constants: dict[str, float]) -> Iterator[None]:
    """Replace constants of the package `snowstall`, by `MODULE.CONSTANT`, and restore them.

    A constant that another module has imported by name is replaced there too.  Raises ConfigError
    for an unknown constant or a value that is not a number.
    """

    modules = [m for name, m in sys.modules.items() if name.startswith("snowstall.")]
    replaced: list[tuple[Any, str, Any]] = []
    try:
        for name, value in constants.items():
            module_name, _, constant = name.partition(".")
            defining_module = sys.modules.get(f"snowstall.{module_name}")
            old = getattr(defining_module, constant, None)
            if not constant.isupper() or not isinstance(old, int | float):
                raise ConfigError(f"policy.{name}: the decision module has no such constant")
            if isinstance(value, bool) or not isinstance(value, int | float):
                raise ConfigError(f"policy.{name}: {value!r} is no number")
            for module in modules:
                if module.__dict__.get(constant) is old or module is defining_module:
                    replaced.append((module, constant, module.__dict__[constant]))
                    setattr(module, constant, value)
        yield
    finally:
        for module, constant, old in reversed(replaced):
            setattr(module, constant, old)


def run_job(job: dict[str, Any]) -> dict[str, Any]:
    """Run a job and return its result; every exception becomes a result with the reason."""
    began = time.monotonic()
    try:
        scenario = to_struct(job["scenario"], Scenario, "scenario")
        validate(scenario, "scenario")
        with patched_constants(job["constants"]):
            result = run_scenario(scenario, job["seed"]) | {
                "scenario": scenario_digest(job["scenario"])
            }
    except ConfigError as error:
        result = {"state": "invalid", "why": str(error)}
    except (MemoryError, SystemExit):
        result = {"state": "crashed", "why": "it needed more memory than it may have"}
    except Exception as error:
        result = {"state": "crashed", "why": f"{type(error).__name__}: {error}"}
    return result | {"seconds": time.monotonic() - began}


def main() -> None:
    """Run jobs until the end of standard input, within the memory limit of the command line."""
    max_bytes = int(float(sys.argv[1]) * 1024 * 1024)
    resource.setrlimit(resource.RLIMIT_AS, (max_bytes, max_bytes))
    out, sys.stdout = sys.stdout, sys.stderr  # output of a run must not mix with the results
    for line in sys.stdin:
        result = run_job(msgspec.json.decode(line))
        out.write(json.dumps(result) + "\n")
        out.flush()


if __name__ == "__main__":
    main()
