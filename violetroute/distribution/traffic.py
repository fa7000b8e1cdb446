"""Counters, limits and the read buffer that the HTTP client and server share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

HEADER_BYTES = 4096  # maximum size of a request's or an answer's header
READ_BYTES = 64 * 1024
# Shared by all connections: the event loop fills it and its data is consumed in one step.
READ_BUFFER = memoryview(bytearray(READ_BYTES))
LOG_EVERY_S = 60.0  # s between two log lines of one reason


@dataclass(slots=True)
class Traffic:
    """Traffic counters.  Bytes are those of HTTP, without TCP and IP headers."""

    bytes_in: int = 0
    bytes_out: int = 0
    requests: int = 0  # sent by a client, or accepted by a server
    failures: int = 0  # client: requests without a valid answer; server: refusals


class LogThrottle:
    """Logs at most once in LOG_EVERY_S for each key, with the count since the last log line."""

    __slots__ = ("_counts", "_log", "_logged_at")

    def __init__(self, log: Callable[[str, str, int], None]) -> None:
        self._log = log
        self._counts: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    def record(self, now: float, key: str, detail: str = "", count: int = 1) -> None:
        """Count an event and log it if due, with `detail`.  Keys must be few: they are kept."""
        self._counts[key] = self._counts.get(key, 0) + count
        logged_at = self._logged_at.get(key)
        if logged_at is None or now - logged_at >= LOG_EVERY_S:
            self._logged_at[key] = now
            self._log(key, detail, self._counts.pop(key))
