"""The output of a client connection: combined writes, and the budget for what the kernel left."""

from __future__ import annotations

from violetroute.transport import Stream

from .budget import Budget


class Output:
    """Writes to one stream and charges to the budget what the kernel has not taken."""

    __slots__ = (
        "_batch",
        "_batching",
        "_blocked_since",
        "_budget",
        "_charged",
        "_stream",
        "_unsent",
        "_unsent_since",
    )

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self._stream: Stream | None = None
        self._batch: list[bytes | bytearray] = []  # data for one combined write
        self._batching = False
        self._charged = 0  # bytes charged to the budget that the kernel has not yet taken
        self._unsent, self._unsent_since = 0, 0.0
        self._blocked_since = 0.0  # since when there was always unsent data; 0 without any

    def attach(self, stream: Stream | None) -> None:
        """Write to this stream; None once it is closed."""
        self._stream = stream

    @property
    def blocked(self) -> bool:
        """Whether nothing can be written now: the kernel takes no more, or the stream is closed."""
        stream = self._stream
        return stream is None or stream.unsent > 0 or stream.closing

    def write(self, *parts: bytes | bytearray) -> None:
        """Write, or collect the data if a batch has begun."""
        if self._batching:
            self._batch.extend(parts)
            return
        stream = self._stream
        if stream is None or stream.closing:
            return
        if not (stream.write(parts[0]) if len(parts) == 1 else stream.write_all(parts)):
            self._budget.hold(stream.unsent - self._charged)
            self._charged = stream.unsent

    def begin_batch(self) -> None:
        """Collect what is written until `end_batch`."""
        self._batching = True

    def end_batch(self) -> None:
        """Write what was collected, in one system call if possible."""
        self._batching = False
        batch, self._batch = self._batch, []
        if batch:
            self.write(*batch)

    def taken(self) -> None:
        """The kernel has taken everything, or the stream is lost: return the bytes."""
        self._unsent, self._blocked_since = 0, 0.0
        charged, self._charged = self._charged, 0
        self._budget.release(charged)

    def stalled_for(self, now: float) -> float:
        """Seconds at least for which the kernel has taken nothing of the unsent data.

        Zero if there is none.  Call it at intervals.
        """
        unsent = 0 if self._stream is None else self._stream.unsent
        if unsent != self._unsent:
            self._unsent, self._unsent_since = unsent, now
            self._blocked_since = self._blocked_since or now
        return now - self._unsent_since if unsent else 0.0

    def blocked_for(self, now: float) -> float:
        """Seconds at least for which there was always unsent data, after `stalled_for`."""
        return now - self._blocked_since if self._unsent else 0.0
