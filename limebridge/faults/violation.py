"""A rule that a run of a fault plan broke: the report of every rig and simulation here."""

from __future__ import annotations

from typing import NamedTuple


class Violation(NamedTuple):
    """A rule that a run broke, and how."""

    rule: str
    text: str

    def line(self) -> str:
        """As it stands in the story of a run."""
        return f"BROKEN {self.rule}: {self.text}"
