"""A violation of a rule in a run of a fault plan, as every rig and simulation reports it."""

from __future__ import annotations

from typing import NamedTuple


class Violation(NamedTuple):
    """The name of the violated rule, and what happened."""

    rule: str
    text: str

    def line(self) -> str:
        """The violation as a line of a run's trace."""
        return f"BROKEN {self.rule}: {self.text}"
