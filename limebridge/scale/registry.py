"""What `limebridge scale slopes` measures: one subject a module, each with several costs.

A subject's module is named `measure_*.py` and holds one `SUBJECT`. To add one, write the module
and put its name into `MODULES`.
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
DEFAULT_TIME_LIMIT = 240.0  # s

# The values of all costs of a subject, by the cost's name, in the cost's unit.
Values = dict[str, float]


class MeasurementError(Exception):
    """A measurement that says nothing, for example because requests were refused; one line."""


class CostDefinition(msgspec.Struct, frozen=True, kw_only=True):
    """A cost before it is measured; the fields are those of `results.Cost`."""

    name: str
    unit: str
    what: str
    mechanism: str
    least: bool = False  # of several runs the least counts: CPU time, to which others only add


class Subject(msgspec.Struct, frozen=True, kw_only=True):
    """Costs that one run at one size measures together."""

    name: str
    per: str  # what a size counts, in the singular
    costs: tuple[CostDefinition, ...]
    sizes: tuple[int, ...]  # ascending, up to the target or beyond it
    quick_sizes: tuple[int, ...]
    measure: Callable[[int], Values]  # runs alone in a fresh process
    runs: int = 1  # fresh processes for each size; without `least` their median counts
    time_limit: float = DEFAULT_TIME_LIMIT  # s for one run


def subjects() -> dict[str, Subject]:
    """All subjects by name, in the order of `MODULES`."""
    found: dict[str, Subject] = {}
    for module in MODULES:
        subject: Subject = importlib.import_module(f"{__package__}.{module}").SUBJECT
        found[subject.name] = subject
    return found
