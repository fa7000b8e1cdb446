"""What is shared by the client's and the server's side of HTTP: counters, bounds, a read buffer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

HEADER_BYTES = 4096  # of a request's or an answer's head
READ_BYTES = 64 * 1024
READ_BUFFER = memoryview(bytearray(READ_BYTES))  # filled and read in one step, so all share it
LOG_EVERY_S = 60.0  # between two log lines of one reason


@dataclass(slots=True)
class Traffic:
    """Bytes as HTTP has them, without the headers of TCP and IP."""

    bytes_in: int = 0
    bytes_out: int = 0
    requests: int = 0  # begun by a client, or taken by a server
    failures: int = 0  # of a client: no answer; of a server: refused


class LogThrottle:
    """At most one log line in LOG_EVERY_S for each key, with the count since the line before."""

    __slots__ = ("_counts", "_log", "_logged_at")

    def __init__(self, log: Callable[[str, str, int], None]) -> None:
        self._log = log
        self._counts: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    def record(self, now: float, key: str, detail: str = "", count: int = 1) -> None:
        """`key` is one of few, as it is kept; `detail` is that of the last one."""
        self._counts[key] = self._counts.get(key, 0) + count
        logged_at = self._logged_at.get(key)
        if logged_at is None or now - logged_at >= LOG_EVERY_S:
            self._logged_at[key] = now
            self._log(key, detail, self._counts.pop(key))
