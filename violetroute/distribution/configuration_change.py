"""Configuration records as a receiver gets them.  Data only."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Record


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The configuration records of one batch; `complete`: of a snapshot, so of all tables."""

    position: int
    records: tuple[Record, ...]
    complete: bool = False
