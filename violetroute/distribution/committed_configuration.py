"""Keeps the last committed record of each configuration key.  Pure."""

from __future__ import annotations

from collections.abc import Iterable

from .messages import Record


class CommittedConfiguration:
    """The configuration of a snapshot at the current commit.  Cost: O(newly committed records)."""

    __slots__ = ("_by_key", "_records")

    def __init__(self, records: Iterable[Record]) -> None:
        self._by_key = {record.key: record for record in records}
        self._records: tuple[Record, ...] | None = None

    def committed(self, records: Iterable[Record]) -> None:
        """Add configuration records that were committed, in this order."""
        for record in records:
            self._by_key[record.key] = record
            self._records = None

    @property
    def records(self) -> tuple[Record, ...]:
        """The last record of each key.  All snapshots share the tuple until the next change."""
        if self._records is None:
            self._records = tuple(self._by_key.values())
        return self._records
