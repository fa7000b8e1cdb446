"""How the modules `measure_*.py` define their costs."""

from __future__ import annotations

from .registry import CostDefinition

# Of several runs the least counts: other work on the machine only adds to such a figure.  Shares
# "of a core" are left out: they come from a run of several processes, and their median counts.
CPU_TIME_UNITS = ("us", "ms", "cores")


def define_cost(subject: str, mechanism: str, name: str, unit: str, what: str) -> CostDefinition:
    """The cost SUBJECT.NAME in `unit`; `mechanism` is the file whose code it measures."""
    return CostDefinition(
        name=f"{subject}.{name}",
        unit=unit,
        what=what,
        mechanism=mechanism,
        least=unit in CPU_TIME_UNITS,
    )
