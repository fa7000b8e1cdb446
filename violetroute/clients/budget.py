"""Memory budget that all client connections share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

REQUEST_OVERHEAD = 2 * 1024  # bytes of memory for an open request, without its value
UNBUDGETED_COMMAND = 4 * 1024  # bytes of arguments up to which a partial command is not charged
ANSWER_RESERVE = 0.15  # fraction kept for answers, since an answer frees more than it holds
STALL_TIME = 0.05  # s without a byte after which a partial command may lose its bytes at once


class PartialCommand(Protocol):
    """A command that is being received and holds bytes of the budget, or waits for some."""

    received_at: float  # loop time of its last bytes

    def refuse(self) -> None:
        """Release its bytes.  The rest of the command is discarded, and it is refused."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A reservation that waits for room; `granted` is called once it was made."""

    size: int  # bytes
    granted: Callable[[], None]


class Budget:
    """Bytes for open requests, values and answers, until the kernel has taken the answers.

    This bounds the memory for clients that send large values, send slowly or read slowly, in any
    combination.  A reservation has to end with its holder, so whoever is farthest from an answer
    gives way when the bytes run out: the partial commands, the one without progress for longest
    first.  Thus clients that stop in the middle of a command cannot keep complete commands out.
    """

    def __init__(self, size: int) -> None:
        self._size, self._for_commands = size, int(size * (1.0 - ANSWER_RESERVE))
        self.used = 0
        self.reclaimed = 0  # partial commands that have lost their bytes
        # Partial commands that hold bytes; the one without progress for longest comes first.
        self._partial: dict[PartialCommand, None] = {}
        self._waiting: dict[PartialCommand, _Waiting] = {}  # oldest first

    @property
    def full(self) -> bool:
        """Whether no further command may be started."""
        return self.used > self._for_commands

    @property
    def half_free(self) -> bool:
        """Whether there is room for what may give way, such as input that is read ahead."""
        return self.used * 2 < self._for_commands

    @property
    def waiting(self) -> int:
        """The number of reservations that wait for room."""
        return len(self._waiting)

    def hold(self, size: int) -> None:
        """Charge bytes even if that exceeds the limit."""
        self.used += size

    def release(self, size: int) -> None:
        """Return bytes, and grant waiting reservations that fit now, oldest first."""
        self.used -= size
        if not size or not self._waiting:
            return
        for command, waiting in list(self._waiting.items()):
            if self._fits(waiting.size) and command in self._waiting:
                self._grant(command, waiting)

    def _fits(self, size: int) -> bool:
        return self.used + size <= self._for_commands

    # --- partial commands ---
    def reserve(self, command: PartialCommand, size: int, granted: Callable[[], None]) -> bool:
        """Reserve bytes for a partial command.

        If False, it waits, and `granted` is called once they are reserved.
        """
        if self._fits(size) or self._reclaim(size, STALL_TIME, command.received_at):
            self.used += size
            self._partial[command] = None
            return True
        self._waiting[command] = _Waiting(size, granted)
        return False

    def _grant(self, command: PartialCommand, waiting: _Waiting) -> None:
        del self._waiting[command]
        self.used += waiting.size
        self._partial[command] = None
        waiting.granted()

    def progressed(self, command: PartialCommand) -> None:
        """More bytes of a command that holds bytes were received."""
        del self._partial[command]
        self._partial[command] = None

    def forget(self, command: PartialCommand) -> None:
        """The command is complete, refused or dropped: it gives way no more, and waits no more."""
        self._partial.pop(command, None)
        self._waiting.pop(command, None)

    def make_room(self, now: float, min_stall: float = STALL_TIME) -> bool:
        """Whether a complete command may be started, if partial ones give way.

        `min_stall`: seconds without progress from which a partial command may give way.
        """
        return self._reclaim(0, min_stall, now)

    def grant_stalled(self, now: float) -> None:
        """Grant waiting reservations by taking bytes from partial commands that have stalled."""
        for command, waiting in list(self._waiting.items()):
            if not self._reclaim(waiting.size, STALL_TIME, now):
                return
            if command in self._waiting:  # `release` may have granted it
                self._grant(command, waiting)

    def _reclaim(self, size: int, min_stall: float, now: float) -> bool:
        """Take bytes from partial commands until `size` fits; whether it does."""
        while not self._fits(size):
            command = next(iter(self._partial), None)
            if command is None or now - command.received_at < min_stall:
                return False
            self.reclaimed += 1
            command.refuse()
        return True
