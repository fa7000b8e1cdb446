"""Checks whether the configuration in the log fits into one snapshot.  Pure.

A snapshot is one message that holds the last record of each configuration key.  Records are counted
when they are accepted or appended.  Records that are truncated or never appended stay counted until
the process ends, which only makes the limit stricter.
"""

from __future__ import annotations

from collections.abc import Iterable

from .messages import CONFIGURATION_BYTES, CONFIGURATION_KEYS, Record, Topic


class ConfigurationSizes:
    """Bytes of the largest record of each configuration key."""

    __slots__ = ("_bytes", "_sizes")

    def __init__(self) -> None:
        self._sizes: dict[str, int] = {}
        self._bytes = 0

    def add(self, records: Iterable[Record]) -> None:
        """Count records that are in the log or will be appended to it."""
        for key, size in _largest(records).items():
            known = self._sizes.get(key, 0)
            if size > known:
                self._sizes[key] = size
                self._bytes += size - known

    def fits(self, records: Iterable[Record]) -> bool:
        """Whether a snapshot of the log can hold these records too."""
        largest = _largest(records)
        added = sum(max(0, size - self._sizes.get(key, 0)) for key, size in largest.items())
        keys = len(self._sizes.keys() | largest.keys())
        return keys <= CONFIGURATION_KEYS and self._bytes + added <= CONFIGURATION_BYTES


def _largest(records: Iterable[Record]) -> dict[str, int]:
    sizes: dict[str, int] = {}
    for record in records:
        if record.topic == Topic.CONFIGURATION:
            size = len(record.key.encode()) + len(record.body)
            sizes[record.key] = max(size, sizes.get(record.key, 0))
    return sizes
