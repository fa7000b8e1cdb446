"""The last committed record of each configuration key, kept up to date with the commit.  Pure."""

from __future__ import annotations

from collections.abc import Iterable

from .messages import Record


class CommittedConfiguration:
    """What a snapshot of the present commit names.  Cost: O(records of the new commit)."""

    __slots__ = ("_by_key", "_records")

    def __init__(self, records: Iterable[Record]) -> None:
        self._by_key = {record.key: record for record in records}
        self._records: tuple[Record, ...] | None = None

    def committed(self, records: Iterable[Record]) -> None:
        """These configuration records are committed, in this order."""
        for record in records:
            self._by_key[record.key] = record
            self._records = None

    @property
    def records(self) -> tuple[Record, ...]:
        """One record of each key, shared by all snapshots until the next change."""
        if self._records is None:
            self._records = tuple(self._by_key.values())
        return self._records
