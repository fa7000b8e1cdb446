"""A replica whose disk was lost: when it counts for a quorum again.  Pure.

It does not know what it had promised or acknowledged.  It becomes a full replica when

(a) *every* other machine has told the fence that it has promised, after this process began.
    A leader promises its own fence durably before it asks for promises, so whichever leader an
    earlier process of this machine has promised is among those that tell.  A majority would not
    be enough: a promise of before the loss may still be on its way to a leader-to-be that a
    majority does not know yet (`docs/design/distribution.md`, "Sequence");
(b) it follows a leader whose fence is at least the highest of these: it promises that at once; and
(c) it holds that leader's whole log as of an answer to a fetch that was sent after (a).

So it waits for a machine that is gone for good until that one is replaced too.  After `hand_on_s`
one notice names the machines that have not told, and the status names them as long as it recovers.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from .actions import MachineSettings
from .following import FetchResult
from .messages import Fetch, FetchStatus, LogPoint
from .outbox import Outbox
from .replica import Replica
from .retry import Backoff, Random

NO_FENCE = 0  # below every leader's, so that the answer only tells the promise


@dataclass(frozen=True, slots=True)
class _Target:
    """What has to be durable here, under the leader with this fence."""

    fence: int
    position: int


class Recovery:
    """Asks the others for their promises and watches the log.  Used while `replica.recovering`."""

    __slots__ = (
        "_asked",
        "_complete_at_ticket",
        "_name",
        "_outbox",
        "_replica",
        "_retries",
        "_target",
        "_timeout_s",
        "_told_at",
        "_warn_at",
    )

    def __init__(
        self,
        settings: MachineSettings,
        replica: Replica,
        outbox: Outbox,
        random: Random,
        now: float,
    ) -> None:
        self._name = settings.name
        self._timeout_s = settings.timeout_s
        self._replica = replica
        self._outbox = outbox
        others = [name for name in settings.machines if name != settings.name]
        self._retries = {name: Backoff(settings.retry_s, random, now) for name in others}
        self._asked: dict[int, str] = {}
        self._told_at: dict[str, float] = {}
        self._warn_at = now + settings.hand_on_s  # infinite: nobody is to be named any more
        self._complete_at_ticket: int | None = None
        self._target: _Target | None = None
        self._check_complete()

    @property
    def next_at(self) -> float:
        """When `step` is wanted."""
        return min(self._next_ask_at, self._warn_at)

    @property
    def _next_ask_at(self) -> float:
        asked = set(self._asked.values())
        waits = [retry.next_at for name, retry in self._retries.items() if name not in asked]
        return min(waits, default=inf)

    def step(self, now: float) -> None:
        """Ask whom has not told its promise; finish if everything is there."""
        asked = set(self._asked.values())
        for name, retry in self._retries.items():
            if name not in asked and now >= retry.next_at:
                ask = Fetch(self._name, NO_FENCE, LogPoint(), 0, recovering=True)
                self._asked[self._outbox.send(name, ask, self._timeout_s)] = name
        if now >= self._warn_at:
            self._warn_at = inf
            self._outbox.notice("recovery_waits", machines=" ".join(sorted(self._retries)))
        self._finish()

    def owns(self, ticket: int) -> bool:
        """Whether the reply with this ticket is to a question of `step`."""
        return ticket in self._asked

    def replied(self, now: float, ticket: int, answered: bool) -> None:
        """Another machine has told its promise (and this replica has promised no less), or not."""
        name = self._asked.pop(ticket)
        if answered:
            del self._retries[name]
            self._told_at[name] = now
            self._check_complete()
        else:
            self._retries[name].failed(now)

    def _check_complete(self) -> None:
        if not self._retries and self._complete_at_ticket is None:
            self._complete_at_ticket = self._outbox.last_ticket
            self._warn_at = inf

    def told(self, now: float) -> tuple[tuple[str, int, float], ...]:
        """Each other machine and seconds since it told its promise; negative: it is waited for.

        As the replicas of a status; what is durable there is not known here.
        """
        waited_for = [(name, 0, -1.0) for name in self._retries]
        told = [(name, 0, now - at) for name, at in self._told_at.items()]
        return tuple(sorted(waited_for + told))

    def fetched(self, fetched: FetchResult) -> None:
        """The leader has answered a fetch.  The logs are equal as far as both go if it said OK."""
        complete = self._complete_at_ticket
        if complete is None or fetched.ticket <= complete:
            return
        if fetched.reply.status != FetchStatus.OK:
            return
        if self._target is None or self._target.fence != fetched.reply.fence:
            self._target = _Target(fetched.reply.fence, fetched.reply.last)

    def _finish(self) -> None:
        target = self._target
        replica = self._replica
        if target is None or target.fence != replica.fence or not replica.settled:
            return
        if replica.last.position >= target.position:
            self._outbox.persist(replica.recovered())
            self._outbox.notice("recovered", fence=replica.fence, position=target.position)

    # --- for the checker ---
    def key(self) -> tuple[Any, ...]:
        """All that what follows depends on."""
        waiting = tuple(sorted(self._retries)), tuple(sorted(self._asked.values()))
        return (waiting, self._complete_at_ticket is not None, self._target)
