"""The other replicas as the leader knows them: their fetches, what is committed, and since when.

Pure.  Each replica has one held fetch at most; a newer one takes its place and the older one is
answered.  A fetch that echoes the number of an answer was written after that answer came, so its
sender still followed this leader when the answer was written: `as_of` is the greatest time that a
majority has shown so.  (The time of the last answer alone would not do: a fetch that was repeated
after a timeout may have been written before the answer to the first one.)

A fetch acknowledges nothing before the leader has the most recent log of a majority (`serving`).
Until then the leader may still drop the point that both have, and write others at its position.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import Any

from .actions import MachineSettings
from .messages import Fetch, FetchReply, FetchStatus
from .outbox import Outbox
from .replica import Replica
from .transfer import batches_for

ANSWERS_KNOWN = 4  # of the last answers to a replica, whose echo may still come


@dataclass(slots=True)
class _Held:
    """A fetch that is answered when there is news, or at `until`."""

    ticket: int
    fetch: Fetch
    until: float


@dataclass(slots=True)
class _Follower:
    """One other replica."""

    durable: int = 0  # it has everything up to here on its disk
    followed_at: float = -inf  # it still followed then
    heard_at: float = -inf
    number: int = 0  # of the last answer
    answered_at: dict[int, float] = field(default_factory=dict)  # by number
    held: _Held | None = None


class Followers:
    """Of one term."""

    __slots__ = (
        "_fence",
        "_followers",
        "_hold_s",
        "_name",
        "_outbox",
        "_quorum",
        "_replica",
        "serving",
    )

    def __init__(
        self, settings: MachineSettings, fence: int, replica: Replica, outbox: Outbox
    ) -> None:
        self._name = settings.name
        self._hold_s = settings.hold_s
        self._quorum = len(settings.machines) // 2 + 1
        self._fence = fence
        self._replica = replica
        self._outbox = outbox
        others = [name for name in settings.machines if name != settings.name]
        self._followers = {name: _Follower() for name in others}
        self.serving = False  # the log has everything that was committed before this term

    @property
    def next_at(self) -> float:
        """When a held fetch is due without news."""
        held = [each.held.until for each in self._followers.values() if each.held is not None]
        return min(held, default=inf)

    def fetched(self, now: float, ticket: int, fetch: Fetch) -> None:
        """A fetch under this term's fence.  It is held until `step` answers it."""
        follower = self._followers[fetch.replica]
        follower.heard_at = now
        if not fetch.recovering:
            self._acknowledged(follower, fetch)
        if follower.held is not None:
            self._answer(now, follower, follower.held)
        follower.held = _Held(ticket, fetch, now + self._hold_s)

    def _acknowledged(self, follower: _Follower, fetch: Fetch) -> None:
        answered_at = follower.answered_at.get(fetch.answered, -inf)
        follower.followed_at = max(follower.followed_at, answered_at)
        if self.serving and self._replica.contains(fetch.last):
            follower.durable = max(follower.durable, fetch.last.position)

    def step(self, now: float) -> None:
        """Answer each held fetch for which there is news, or whose time is over."""
        for follower in self._followers.values():
            held = follower.held
            if held is not None and (now >= held.until or self._has_news(held.fetch)):
                follower.held = None
                self._answer(now, follower, held)

    def _has_news(self, fetch: Fetch) -> bool:
        if not self.serving:
            return False
        replica = self._replica
        return replica.last != fetch.last or replica.commit > fetch.commit

    def _answer(self, now: float, follower: _Follower, held: _Held) -> None:
        if not self.serving:
            reply = FetchReply(FetchStatus.NOT_LEADER, self._fence, leader=self._name)
            self._outbox.answer(held.ticket, reply)
            return
        follower.number += 1
        follower.answered_at[follower.number] = now
        follower.answered_at.pop(follower.number - ANSWERS_KNOWN, None)
        reply = batches_for(self._replica, held.fetch, follower.number)
        self._outbox.answer(held.ticket, reply)

    def abandoned(self, ticket: int) -> None:
        """The caller of a held fetch has gone."""
        for follower in self._followers.values():
            if follower.held is not None and follower.held.ticket == ticket:
                follower.held = None

    def end(self, fence: int) -> None:
        """The term is over: all held fetches are told so, with the highest fence that is known."""
        for follower in self._followers.values():
            held, follower.held = follower.held, None
            if held is not None:
                self._outbox.answer(held.ticket, FetchReply(FetchStatus.NOT_LEADER, fence))

    def committed(self) -> int | None:
        """The greatest position of this term that is durable at a majority; None: there is none.

        Only batches of the own fence are counted; earlier ones are committed along with them (Raft,
        section 5.4.2: a batch of an earlier term may be replaced though a majority has it).
        """
        durable = [each.durable for each in self._followers.values()]
        durable.append(self._replica.durable)
        position = sorted(durable, reverse=True)[self._quorum - 1]
        return position if self._replica.fence_at(position) == self._fence else None

    def quorum_followed_at(self, now: float) -> float:
        """The greatest time at which a majority still followed; minus infinity: never yet."""
        times = [each.followed_at for each in self._followers.values()]
        times.append(now)
        return sorted(times, reverse=True)[self._quorum - 1]

    def as_of(self, now: float) -> float | None:
        """No other leader had committed anything then that is not committed here.

        None before the first batch of the term is committed: what earlier leaders committed is
        in the log, but it is not known up to where.
        """
        if self._replica.fence_at(self._replica.commit) != self._fence:
            return None
        followed_at = self.quorum_followed_at(now)
        return followed_at if followed_at > -inf else None

    def positions(self, now: float) -> tuple[tuple[str, int, float], ...]:
        """Name, durable position and seconds since it was heard (negative: never) of each."""
        return tuple(
            (name, each.durable, now - each.heard_at if each.heard_at > -inf else -1.0)
            for name, each in sorted(self._followers.items())
        )

    # --- for the checker ---
    def key(self, now: float) -> tuple[Any, ...]:
        """All that what follows depends on."""
        return tuple(
            (
                name,
                each.durable,
                round(each.followed_at - now, 6),
                tuple((number, round(at - now, 6)) for number, at in each.answered_at.items()),
                None if each.held is None else (each.held.fetch, round(each.held.until - now, 6)),
            )
            for name, each in sorted(self._followers.items())
        )
