"""A disk in memory that can lose its power at any write.

What was synced stays.  Of the rest a cut keeps, drops, reorders or tears sectors as its seed says,
and undoes names that the folder had not kept.  As `violetroute.ledger.files.Files`.
"""

from __future__ import annotations

import random

SECTOR = 512


class PowerLoss(BaseException):
    """Nothing runs any more; not for anybody to catch but who plays the cut."""


class PowerLossDisk:
    """`fail_at_write`: the write at which the power fails; 0: never.  `writes` counts them."""

    def __init__(self, seed: int = 0, fail_at_write: int = 0) -> None:
        self._seed, self.fail_at_write = seed, fail_at_write
        self.writes = 0
        self.failing_writes = 0  # of the next writes: OSError, and nothing is kept of them
        self._durable: dict[str, bytes] = {}  # as the platter has it
        self._visible: dict[str, bytes] = {}  # as programs see it

    def _write(self) -> None:
        self.writes += 1
        if self.fail_at_write and self.writes >= self.fail_at_write:
            raise PowerLoss
        if self.failing_writes:
            self.failing_writes -= 1
            raise OSError(28, "No space left on device")

    def lose_power(self) -> None:
        """The power has failed; what a start finds."""
        rng = random.Random(f"{self._seed}/{self.writes}")
        after: dict[str, bytes] = {}
        for name in {**self._durable, **self._visible}:
            kept, now = self._durable.get(name), self._visible.get(name)
            if kept is None:  # a new name: it may be there, with any of its bytes
                if rng.random() < 0.5:
                    assert now is not None
                    after[name] = _torn(b"", now, rng)
            elif now is None:  # removed, or moved: that may be undone
                if rng.random() < 0.5:
                    after[name] = kept
            else:
                after[name] = (
                    _torn(kept, now, rng) if now.startswith(kept) else rng.choice((kept, now))
                )
        self._durable, self._visible = dict(after), dict(after)
        self.fail_at_write = 0

    # --- Files ---
    def lock(self) -> bool:
        return True  # one process at a time is the affair of who plays them

    def names(self) -> list[str]:
        return sorted(self._visible)

    def read(self, name: str) -> bytes:
        return self._visible[name]

    def append(self, name: str, data: bytes) -> None:
        self._write()
        self._visible[name] = self._visible.get(name, b"") + data

    def sync(self) -> None:
        self._write()
        self._durable = dict(self._visible)

    def put(self, name: str, data: bytes) -> None:
        aside = f"{name}.new"
        self._write()
        self._visible[aside] = data
        self._write()
        self._durable[aside] = data
        self._write()
        self._visible[name] = self._visible.pop(aside)
        self._write()
        self._durable[name] = data
        self._durable.pop(aside, None)

    def move(self, name: str, to: str) -> None:
        self._write()
        self._visible[to] = self._visible.pop(name)

    def remove(self, name: str) -> None:
        self._write()
        self._visible.pop(name, None)

    def close(self) -> None:
        pass


def _torn(kept: bytes, now: bytes, rng: random.Random) -> bytes:
    """Some of the sectors behind what is kept, in any order: holes are zeros, tears are noise."""
    new = bytearray(now[len(kept) :])
    end = rng.choice((0, len(new), rng.randint(0, len(new))))
    del new[end:]
    for place in range(0, len(new), SECTOR):
        chance = rng.random()
        if chance < 0.15:
            new[place : place + SECTOR] = bytes(len(new[place : place + SECTOR]))
        elif chance < 0.25:
            half = place + rng.randrange(SECTOR)
            new[half : place + SECTOR] = rng.randbytes(len(new[half : place + SECTOR]))
    return kept + bytes(new)
