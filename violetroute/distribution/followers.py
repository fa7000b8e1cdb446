"""The leader's view of its followers: held fetches, acknowledgements, commit position.  No I/O.

At most one fetch per follower is held; a newer one replaces it, and the older one is answered.

A fetch that echoes the number of an answer was written after that answer arrived, so its sender
still followed this leader when the answer was written.  `as_of` is the latest time that a majority
confirmed in this way.  The time of the last answer alone is not sufficient: a fetch that was
repeated after a timeout may have been written before the answer to the first one arrived.

A fetch acknowledges nothing until the leader has the most recent log of a majority (`serving`).
Before that the leader may still truncate the batch at a common point, and write another one at its
position.
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

MAX_ECHOED_ANSWERS = 4  # last answers to a follower whose echo is still accepted


@dataclass(slots=True)
class _Held:
    """A fetch that is answered once there is new data, at the latest at `until`."""

    ticket: int
    fetch: Fetch
    until: float


@dataclass(slots=True)
class _Follower:
    """One follower.  Times are the leader's monotonic seconds."""

    durable: int = 0  # acknowledged position: durable there
    followed_at: float = -inf  # last time at which it is known to have followed
    last_fetch_at: float = -inf
    number: int = 0  # number of the last answer
    answered_at: dict[int, float] = field(default_factory=dict)  # time by answer number
    held: _Held | None = None


class Followers:
    """All followers during one term."""

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
        self.serving = False  # the log has all batches committed before this term

    @property
    def next_at(self) -> float:
        """Time at which the first held fetch must be answered; infinite without one."""
        held = [each.held.until for each in self._followers.values() if each.held is not None]
        return min(held, default=inf)

    def fetched(self, now: float, ticket: int, fetch: Fetch) -> None:
        """Accepts a fetch with this term's fence.  It is held until `step` answers it."""
        follower = self._followers[fetch.replica]
        follower.last_fetch_at = now
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
        """Answers held fetches for which there is new data or whose hold time is over."""
        for follower in self._followers.values():
            held = follower.held
            if held is not None and (now >= held.until or self._has_new_data(held.fetch)):
                follower.held = None
                self._answer(now, follower, held)

    def _has_new_data(self, fetch: Fetch) -> bool:
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
        follower.answered_at.pop(follower.number - MAX_ECHOED_ANSWERS, None)
        reply = batches_for(self._replica, held.fetch, follower.number)
        self._outbox.answer(held.ticket, reply)

    def abandoned(self, ticket: int) -> None:
        """Drops the held fetch of a disconnected caller."""
        for follower in self._followers.values():
            if follower.held is not None and follower.held.ticket == ticket:
                follower.held = None

    def end(self, fence: int) -> None:
        """Ends the term: answers all held fetches NOT_LEADER, with the highest fence known."""
        for follower in self._followers.values():
            held, follower.held = follower.held, None
            if held is not None:
                self._outbox.answer(held.ticket, FetchReply(FetchStatus.NOT_LEADER, fence))

    def committed(self) -> int | None:
        """Returns the highest position of this term that is durable on a majority; None if none.

        Only batches of this term count; earlier ones are committed along with them.  A batch of an
        earlier term may be replaced even though a majority has it (Raft, section 5.4.2).
        """
        durable = [each.durable for each in self._followers.values()]
        durable.append(self._replica.durable)
        position = sorted(durable, reverse=True)[self._quorum - 1]
        return position if self._replica.fence_at(position) == self._fence else None

    def quorum_followed_at(self, now: float) -> float:
        """Returns the last time at which a majority followed, this machine included as of `now`.

        Minus infinity if no majority has followed yet.
        """
        times = [each.followed_at for each in self._followers.values()]
        times.append(now)
        return sorted(times, reverse=True)[self._quorum - 1]

    def as_of(self, now: float) -> float | None:
        """Returns the time up to which all commits of other leaders are committed here.

        None until the first batch of the term is committed: the log has all batches that earlier
        leaders committed, but their commit position is unknown.
        """
        if self._replica.fence_at(self._replica.commit) != self._fence:
            return None
        followed_at = self.quorum_followed_at(now)
        return followed_at if followed_at > -inf else None

    def positions(self, now: float) -> tuple[tuple[str, int, float], ...]:
        """Returns name, durable position and seconds since the last fetch (-1: none) of each."""
        return tuple(
            (name, each.durable, now - each.last_fetch_at if each.last_fetch_at > -inf else -1.0)
            for name, each in sorted(self._followers.items())
        )

    # --- for state space exploration ---
    def key(self, now: float) -> tuple[Any, ...]:
        """Returns all state that affects later behavior, with times relative to `now`."""
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
