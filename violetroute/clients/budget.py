"""The memory that clients may hold together, and who waits for some of it."""

from __future__ import annotations

from collections.abc import Callable, Hashable

OVERHEAD = 2 * 1024  # bytes that an open request takes beside its value
SMALL = 4 * 1024  # bytes of an argument that needs no room from the budget
LAST_PART = 0.15  # of the budget, which only answers may take: they free more than they hold


class Budget:
    """Room for open requests, values and answers, until the kernel has taken them.

    All connections share it: who asks for too much waits its turn.  Guards against many
    that ask much, send slowly or read slowly, in whatever mixture.  Harm: clients that do
    not read can keep the others waiting for up to `reader_s`.
    """

    def __init__(self, size: int) -> None:
        self._size, self._for_commands = size, int(size * (1.0 - LAST_PART))
        self.used = 0
        self._waiting: dict[Hashable, tuple[int, Callable[[], None]]] = {}

    def reserve(self, who: Hashable, size: int, granted: Callable[[], None]) -> bool:
        if self._fits(size):
            self.used += size
            return True
        self._waiting[who] = size, granted
        return False

    def _fits(self, size: int) -> bool:
        return self.used + size <= self._for_commands

    @property
    def full(self) -> bool:
        return self.used > self._for_commands

    def hold(self, size: int) -> None:
        self.used += size

    def release(self, size: int) -> None:
        self.used -= size
        if not size or not self._waiting:
            return
        for who, (wanted, granted) in list(self._waiting.items()):
            if self._fits(wanted):
                del self._waiting[who]
                self.used += wanted
                granted()

    def forget(self, who: Hashable) -> None:
        self._waiting.pop(who, None)
