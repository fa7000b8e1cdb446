"""Memory budget that all client connections share."""

from __future__ import annotations

from collections.abc import Callable, Hashable

REQUEST_OVERHEAD = 2 * 1024  # bytes of memory for an open request, without its value
UNBUDGETED_ARGUMENT = 4 * 1024  # bytes up to which an argument is not charged
ANSWER_RESERVE = 0.15  # fraction kept for answers, since an answer frees more than it holds


class Budget:
    """Bytes for open requests, values and answers, until the kernel has taken the answers.

    A large argument waits until the budget has room for it.  This bounds the memory for clients
    that send large values, send slowly or read slowly, in any combination.  Cost: clients that do
    not read can delay the others for up to `reader_s`.
    """

    def __init__(self, size: int) -> None:
        self._size, self._for_commands = size, int(size * (1.0 - ANSWER_RESERVE))
        self.used = 0
        self._waiting: dict[Hashable, tuple[int, Callable[[], None]]] = {}

    def reserve(self, owner: Hashable, size: int, granted: Callable[[], None]) -> bool:
        """Reserve bytes for a command.  If False, `granted` is called once they are reserved."""
        if self._fits(size):
            self.used += size
            return True
        self._waiting[owner] = size, granted
        return False

    def _fits(self, size: int) -> bool:
        return self.used + size <= self._for_commands

    @property
    def full(self) -> bool:
        """Whether no further command may be started."""
        return self.used > self._for_commands

    def hold(self, size: int) -> None:
        """Charge bytes even if that exceeds the limit."""
        self.used += size

    def release(self, size: int) -> None:
        """Return bytes, and grant waiting reservations that fit now, oldest first."""
        self.used -= size
        if not size or not self._waiting:
            return
        for owner, (wanted, granted) in list(self._waiting.items()):
            if self._fits(wanted):
                del self._waiting[owner]
                self.used += wanted
                granted()

    def cancel_wait(self, owner: Hashable) -> None:
        """Drop the waiting reservation of this owner, if any."""
        self._waiting.pop(owner, None)
