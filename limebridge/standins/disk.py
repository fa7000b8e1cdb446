"""An in-memory disk that can lose power at any write.

Synced data survives.  Of the rest, a power loss keeps, drops, reorders or tears sectors, and
undoes creations, moves and removals of files, all by seed.  It has the interface of
`violetroute.ledger.files.Files`.
"""

from __future__ import annotations

import random

SECTOR = 512


class PowerLoss(BaseException):
    """The power failed: nothing may run any more, so only the simulation may catch this."""


class PowerLossDisk:
    """Files in memory.  The power fails at write number `fail_at_write` (0: never)."""

    def __init__(self, seed: int = 0, fail_at_write: int = 0) -> None:
        self._seed, self.fail_at_write = seed, fail_at_write
        self.writes = 0
        self.failing_writes = 0  # how many of the next writes raise OSError and write nothing
        self._durable: dict[str, bytes] = {}  # content that survives a power loss
        self._visible: dict[str, bytes] = {}  # content that programs read

    def _count_write(self) -> None:
        self.writes += 1
        if self.fail_at_write and self.writes >= self.fail_at_write:
            raise PowerLoss
        if self.failing_writes:
            self.failing_writes -= 1
            raise OSError(28, "No space left on device")

    def lose_power(self) -> None:
        """Fail the power: replace the content by what the next start finds."""
        rng = random.Random(f"{self._seed}/{self.writes}")
        survivors: dict[str, bytes] = {}
        for name in {**self._durable, **self._visible}:
            durable, visible = self._durable.get(name), self._visible.get(name)
            if durable is None:  # a new name may have survived, with any of its bytes
                if rng.random() < 0.5:
                    assert visible is not None
                    survivors[name] = _torn(b"", visible, rng)
            elif visible is None:  # a removal or a move may be undone
                if rng.random() < 0.5:
                    survivors[name] = durable
            else:
                survivors[name] = (
                    _torn(durable, visible, rng)
                    if visible.startswith(durable)
                    else rng.choice((durable, visible))
                )
        self._durable, self._visible = dict(survivors), dict(survivors)
        self.fail_at_write = 0

    # --- Files ---
    def lock(self) -> bool:
        """Always succeeds: the simulation runs one process at a time."""
        return True

    def names(self) -> list[str]:
        """Names of all files, sorted."""
        return sorted(self._visible)

    def read(self, name: str) -> bytes:
        """Content of a file as programs see it."""
        return self._visible[name]

    def append(self, name: str, data: bytes) -> None:
        """Append without syncing."""
        self._count_write()
        self._visible[name] = self._visible.get(name, b"") + data

    def sync(self) -> None:
        """Make all content durable."""
        self._count_write()
        self._durable = dict(self._visible)

    def put(self, name: str, data: bytes) -> None:
        """Replace a file atomically, by writing, syncing and renaming a temporary one."""
        temporary = f"{name}.new"
        self._count_write()
        self._visible[temporary] = data
        self._count_write()
        self._durable[temporary] = data
        self._count_write()
        self._visible[name] = self._visible.pop(temporary)
        self._count_write()
        self._durable[name] = data
        self._durable.pop(temporary, None)

    def move(self, name: str, to: str) -> None:
        """Rename a file without syncing."""
        self._count_write()
        self._visible[to] = self._visible.pop(name)

    def remove(self, name: str) -> None:
        """Remove a file without syncing."""
        self._count_write()
        self._visible.pop(name, None)

    def close(self) -> None:
        """Does nothing: unlike `Folder`, it leaves appended data unsynced."""
        pass


def _torn(durable: bytes, visible: bytes, rng: random.Random) -> bytes:
    """The durable bytes and a random part of the unsynced sectors behind them.

    Lost sectors read as zeros, torn ones end in random bytes.
    """
    new = bytearray(visible[len(durable) :])
    end = rng.choice((0, len(new), rng.randint(0, len(new))))
    del new[end:]
    for offset in range(0, len(new), SECTOR):
        chance = rng.random()
        if chance < 0.15:
            new[offset : offset + SECTOR] = bytes(len(new[offset : offset + SECTOR]))
        elif chance < 0.25:
            tear = offset + rng.randrange(SECTOR)
            new[tear : offset + SECTOR] = rng.randbytes(len(new[tear : offset + SECTOR]))
    return durable + bytes(new)
