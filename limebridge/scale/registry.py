"""The subjects that `limebridge scale slopes` measures, each with one or more costs.

Each subject has a module `measure_*.py` with a constant `SUBJECT`.  To add a subject, write the
module and add its name to `MODULES`.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable

import msgspec

MODULES = (
    "measure_list",
    "measure_module",
    "measure_config",
    "measure_judgements",
    "measure_connections",
    "measure_gossip",
    "measure_slow_probe",
    "measure_distribution",
    "measure_control",
    "measure_control_log",
)
DEFAULT_TIME_LIMIT = 240.0  # s for one run of a measurement

# The measured values of a subject's costs by the cost's name, each in the unit of its cost.
Values = dict[str, float]


class MeasurementError(Exception):
    """A measurement is invalid, for example because requests were refused; a one-line message."""


class CostDefinition(msgspec.Struct, frozen=True, kw_only=True):
    """The description of a cost; `name` to `mechanism` are as in `results.Cost`."""

    name: str
    unit: str
    what: str
    mechanism: str
    # Of several runs the smallest value counts, not the median.  For CPU time, which other load on
    # the machine can only increase.
    least: bool = False


class Subject(msgspec.Struct, frozen=True, kw_only=True):
    """Costs that are measured together, by one run per size."""

    name: str
    per: str  # the unit of a size, in the singular: node, proxy, purge/s
    costs: tuple[CostDefinition, ...]
    sizes: tuple[int, ...]  # ascending, up to the target size or beyond
    quick_sizes: tuple[int, ...]  # used instead of `sizes` with --quick
    measure: Callable[[int], Values]  # called once, in a new process of its own
    runs: int = 1  # processes per size; the median of their values counts, or the least (`least`)
    time_limit: float = DEFAULT_TIME_LIMIT  # s for one run


def subjects() -> dict[str, Subject]:
    """Import all subjects: by name, in the order of `MODULES`."""
    found: dict[str, Subject] = {}
    for module in MODULES:
        subject: Subject = importlib.import_module(f"{__package__}.{module}").SUBJECT
        found[subject.name] = subject
    return found
