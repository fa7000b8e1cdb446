"""Upper bound on the `as_of` of earlier leaders, which a new leader derives from promises.  No I/O.

A leader reports ages relative to its `as_of`: a time at which it wrote fetch replies that a
majority, itself included, has echoed since (`followers.py`).  That majority and the majority of
promises of a later leader have a machine in common.  This machine received the reply before its
promise, and echoes no reply of an earlier leader after it.  So each machine records the time of
its last leader *contact* and reports the elapsed time with its promise.  The `as_of` of an earlier
leader is never later than the latest contact of the promising majority.
See `docs/design/distribution.md`, "In force".

A contact is an accepted reply of any leader, the `as_of` of a term of this machine, or the start
of the process, since the process before it may have received a reply until then.
"""

from __future__ import annotations

from collections.abc import Iterable

from .messages import Promise

MS = 1000.0


class LeaderContact:
    """Time of one process's last leader contact, on its own clock; the process starts at `now`."""

    __slots__ = ("at",)

    def __init__(self, now: float) -> None:
        self.at = now

    def reply_received(self, now: float) -> None:
        """Records an accepted reply of a leader."""
        self.at = now

    def term_ended(self, as_of: float | None) -> None:
        """Records the end of a term of this machine, which reported no age after `as_of`."""
        if as_of is not None:
            self.at = max(self.at, as_of)

    def elapsed_ms(self, now: float) -> float:
        """Milliseconds since the last contact, for a promise."""
        return max(0.0, now - self.at) * MS


def contact_time(promise: Promise, arrived_at: float, drift: float) -> float:
    """Returns an upper bound on the promising machine's last contact, on this machine's clock.

    `arrived_at` is the receive time of the promise.  The other clock may be fast by `drift`, and
    this one slow by it.  Older builds report no contact; theirs was before `arrived_at`.
    """
    if promise.contact_ms < 0:
        return arrived_at
    return arrived_at - promise.contact_ms / MS * (1 - drift) / (1 + drift)


def latest_contact(own: float, others: Iterable[float]) -> float:
    """Returns the latest contact of a majority, an upper bound on earlier leaders' `as_of`."""
    return max((own, *others))
