"""One term of a leader: prepare, adopt the most recent log, append, commit.  No I/O.

1. Collect promises of a majority and copy the most recent of their logs (`preparation.py`).
2. Append an empty batch with the term's fence.  Once it is committed, everything that earlier
   leaders committed is committed too, and the term is `active`.
3. Combine publications into batches (`publications.py`); followers fetch them (`followers.py`).

A higher fence ends the term: `fenced_by` reports one found in a reply, the machine handles one in
a request.  After `release_lease_after_s` without a majority, `lost_majority` is true and the lease
is released, since another machine may reach a majority.
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
    """A leader's term; its own promise must be in memory, with its write started."""

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
    def active(self) -> bool:
        """Whether a batch of this term is committed."""
        return self._replica.fence_at(self._replica.commit) == self.fence

    @property
    def fenced_by(self) -> int | None:
        """Higher fence that a replica has promised, which ends this term; None if there is none."""
        return self._preparation.fenced_by

    def lost_majority(self, now: float) -> bool:
        """Whether no majority has followed this leader for `release_lease_after_s`."""
        return now - self._majority_at(now) >= self._settings.release_lease_after_s

    def _majority_at(self, now: float) -> float:
        """Last time a majority followed, with this machine counted as following at `now`."""
        return max(self._began_at, self._followers.quorum_followed_at(now))

    @property
    def next_at(self) -> float:
        """Time of the next `step`; infinite if none is due."""
        return min(
            self._preparation.next_at,
            self._followers.next_at,
            self._next_batch_at,
            self._majority_lost_at,
        )

    @property
    def _next_batch_at(self) -> float:
        return self._publications.next_at if self._followers.serving else inf

    @property
    def _majority_lost_at(self) -> float:
        return self._majority_at(inf) + self._settings.release_lease_after_s

    def step(self, now: float) -> None:
        """Does all work that is due."""
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
        """Handles a follower's fetch with this term's fence."""
        self._preparation.record_fetch(fetch.replica)
        self._followers.fetched(now, ticket, fetch)

    def published(self, now: float, ticket: int, publish: Publish) -> None:
        """Handles a publication.  It is queued until the term is prepared."""
        if not self._replica.fits(publish.records):
            self._outbox.answer(ticket, Published(PublishStatus.TOO_LARGE, fence=self.fence))
        elif self._publications.submit(now, ticket, publish):
            self._replica.reserve(publish.records)

    def owns(self, ticket: int) -> bool:
        """Whether this ticket is of a request sent by this term."""
        return self._preparation.owns(ticket)

    def replied(self, now: float, ticket: int, reply: Reply | None) -> None:
        """Handles the reply to a request of this term; None if there was none."""
        self._preparation.replied(now, ticket, reply)

    def abandoned(self, ticket: int) -> None:
        """Handles the disconnect of a request's caller."""
        self._followers.abandoned(ticket)
        self._publications.abandoned(ticket)

    def end(self, fence: int) -> None:
        """Ends the term and answers held requests; `fence` is the highest fence known."""
        self._followers.end(fence)
        self._publications.end()

    def as_of(self, now: float) -> float | None:
        """Time up to which all commits of any leader are committed here; None if unknown."""
        return self._followers.as_of(now)

    @property
    def contacts(self) -> tuple[float, ...]:
        """Last leader contacts of the other replicas in the promising majority."""
        return self._preparation.contacts

    def positions(self, now: float) -> tuple[tuple[str, int, float], ...]:
        """Returns name, durable position and seconds since the last fetch of each follower."""
        return self._followers.positions(now)

    # --- for state space exploration ---
    def key(self, now: float) -> tuple[Any, ...]:
        """Returns all state that affects later behavior, with times relative to `now`."""
        return (
            self.fence,
            round(self._began_at - now, 6),
            self._preparation.key(now),
            self._followers.key(now),
            self._publications.key(now),
        )
