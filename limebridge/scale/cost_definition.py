"""A helper with which the modules `measure_*.py` define their costs."""

from __future__ import annotations

from .registry import CostDefinition

# For costs in these units the smallest of several runs counts, because other load on the machine
# can only increase CPU time.  The unit "of a core" is not included: such shares come from runs with
# several processes, and the median of the runs counts.
CPU_TIME_UNITS = ("us", "ms", "cores")


def define_cost(subject: str, mechanism: str, name: str, unit: str, what: str) -> CostDefinition:
    """Define the cost SUBJECT.NAME in `unit`; `mechanism` is the file whose code is measured."""
    return CostDefinition(
        name=f"{subject}.{name}",
        unit=unit,
        what=what,
        mechanism=mechanism,
        least=unit in CPU_TIME_UNITS,
    )
