"""A change of the published configuration, as a receiver gets it.  Data only."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Record


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The configuration records of one batch.

    `complete`: they come from a snapshot, so tables without a record are not published.
    """

    position: int
    records: tuple[Record, ...]
    complete: bool = False
