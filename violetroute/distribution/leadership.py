"""One term of a leader: prepare, adopt, append, commit.  Pure.

1. Promises of a majority, and the most recent of their logs (`preparation.py`).
2. An empty batch of the own fence; the term is `open` once it is committed, and with it everything
   that earlier leaders committed.
3. Publications become batches (`publications.py`), the others fetch them (`followers.py`).

A higher fence seen anywhere ends the term (`fenced_by`, or the machine on a request).  A leader
that has had no majority for `release_lease_after_s` reports `lost_majority`: another machine may
do better.
"""

from __future__ import annotations

from math import inf
from typing import Any

from .actions import MachineSettings, Reply
from .followers import Followers
from .messages import Batch, Fetch, Publish, Published, PublishStatus, Record
from .outbox import Outbox
from .preparation import Preparation
from .publications import Publications
from .replica import Replica
from .retry import Random


class Leadership:
    """Begins with the own promise made, in memory and on its way to the disk."""

    __slots__ = (
        "_began_at",
        "_followers",
        "_outbox",
        "_preparation",
        "_publications",
        "_replica",
        "_settings",
        "fence",
    )

    def __init__(
        self,
        settings: MachineSettings,
        fence: int,
        replica: Replica,
        outbox: Outbox,
        random: Random,
        now: float,
    ) -> None:
        self.fence = fence
        self._settings = settings
        self._replica = replica
        self._outbox = outbox
        self._began_at = now
        self._preparation = Preparation(settings, fence, replica, outbox, random, now)
        self._followers = Followers(settings, fence, replica, outbox)
        self._publications = Publications(settings, fence, outbox)

    @property
    def established(self) -> bool:
        """Whether a batch of this term is committed."""
        return self._replica.fence_at(self._replica.commit) == self.fence

    @property
    def fenced_by(self) -> int | None:
        """A fence under which another leader was promised: this term is over."""
        return self._preparation.fenced_by

    def lost_majority(self, now: float) -> bool:
        """Whether no majority has followed for `release_lease_after_s`."""
        return now - self._majority_at(now) >= self._settings.release_lease_after_s

    def _majority_at(self, now: float) -> float:
        """When a majority still followed, counting this machine's own part as of `now`."""
        return max(self._began_at, self._followers.quorum_followed_at(now))

    @property
    def next_at(self) -> float:
        """When `step` is wanted."""
        return min(
            self._preparation.next_at, self._followers.next_at, self._next_batch_at, self._idle_at
        )

    @property
    def _next_batch_at(self) -> float:
        return self._publications.next_at if self._followers.serving else inf

    @property
    def _idle_at(self) -> float:
        return self._majority_at(inf) + self._settings.release_lease_after_s

    def step(self, now: float) -> None:
        """Do everything that is due."""
        self._preparation.step(now)
        if self._preparation.ready and not self._followers.serving:
            self._append(now, ())
            self._followers.serving = True
        if self._followers.serving:
            self._append_publications(now)
            self._commit()
        self._followers.step(now)

    def _append_publications(self, now: float) -> None:
        position = self._replica.last.position + 1
        records = self._publications.next_batch(now, position)
        if records is not None:
            self._append(now, records)

    def _append(self, now: float, records: tuple[Record, ...]) -> None:
        position = self._replica.last.position + 1
        written_ms = max(0, int((now + self._settings.unix_offset_s) * 1000))
        batch = Batch(position, self.fence, written_ms, records)
        self._outbox.persist(self._replica.append((batch,)))

    def _commit(self) -> None:
        position = self._followers.committed()
        if position is not None and self._replica.commit_to(position):
            self._publications.committed(position)

    def fetched(self, now: float, ticket: int, fetch: Fetch) -> None:
        """A fetch of another replica under this term's fence."""
        self._preparation.follows(fetch.replica)
        self._followers.fetched(now, ticket, fetch)

    def published(self, now: float, ticket: int, publish: Publish) -> None:
        """A publication; it waits while the term is being prepared."""
        if not self._replica.fits(publish.records):
            self._outbox.answer(ticket, Published(PublishStatus.TOO_LARGE, fence=self.fence))
        elif self._publications.offered(now, ticket, publish):
            self._replica.reserve(publish.records)

    def owns(self, ticket: int) -> bool:
        """Whether the reply with this ticket belongs to this term."""
        return self._preparation.owns(ticket)

    def replied(self, now: float, ticket: int, reply: Reply | None) -> None:
        """The reply to a request of this term."""
        self._preparation.replied(now, ticket, reply)

    def abandoned(self, ticket: int) -> None:
        """The caller of this request has gone."""
        self._followers.abandoned(ticket)
        self._publications.abandoned(ticket)

    def end(self, fence: int) -> None:
        """The term is over; `fence` is the highest that is known."""
        self._followers.end(fence)
        self._publications.end()

    def as_of(self, now: float) -> float | None:
        """Everything that was committed then, by any leader, is committed here.  None: unknown."""
        return self._followers.as_of(now)

    @property
    def contacts(self) -> tuple[float, ...]:
        """Last contacts with leaders of the others whose promises this term has."""
        return self._preparation.contacts

    def positions(self, now: float) -> tuple[tuple[str, int, float], ...]:
        """Name, durable position and seconds since it was heard of each other replica."""
        return self._followers.positions(now)

    # --- for the checker ---
    def key(self, now: float) -> tuple[Any, ...]:
        """All that what follows depends on."""
        return (
            self.fence,
            round(self._began_at - now, 6),
            self._preparation.key(now),
            self._followers.key(now),
            self._publications.key(now),
        )
