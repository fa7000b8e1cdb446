"""Until when earlier leaders can have told ages, as a new leader learns it from promises.  Pure.

An age that a leader tells counts back to its `as_of`: a time at which it wrote an answer that a
majority has echoed since (`followers.py`), itself counted as of now.  That majority and the one
whose promises a later leader has share a machine.  It had the answer before it made its promise,
and echoes no earlier leader's answer after it.  So each machine remembers its last *contact* and
tells with its promise how long ago that was.  No age of an earlier leader counts from a time after
the latest contact of the promising majority.  See `docs/design/distribution.md`, "In force".

A contact is an answer of any leader that was taken, the `as_of` of a term of the machine's own, or
the beginning of the process: an earlier one may have had an answer until then.
"""

from __future__ import annotations

from collections.abc import Iterable

from .messages import Promise

MS = 1000.0


class LeaderContact:
    """The last contact of one process, by its own clock; it begins at `now`."""

    __slots__ = ("at",)

    def __init__(self, now: float) -> None:
        self.at = now

    def reply_received(self, now: float) -> None:
        """A leader's answer was taken."""
        self.at = now

    def term_ended(self, as_of: float | None) -> None:
        """A term of this machine is over; it told no age that counts from after `as_of`."""
        if as_of is not None:
            self.at = max(self.at, as_of)

    def elapsed_ms(self, now: float) -> float:
        """How long ago it was."""
        return max(0.0, now - self.at) * MS


def contact_time(promise: Promise, arrived_at: float, drift: float) -> float:
    """No earlier than the last contact of who promised, by the clock that read `arrived_at`.

    The other clock may be fast by `drift`, and this one slow by it.  An older build tells nothing:
    its last contact was before its promise.
    """
    if promise.contact_ms < 0:
        return arrived_at
    return arrived_at - promise.contact_ms / MS * (1 - drift) / (1 + drift)


def latest_contact(own: float, others: Iterable[float]) -> float:
    """Of a majority: no age of an earlier leader counts from a later time."""
    return max((own, *others))
