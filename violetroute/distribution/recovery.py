"""Recovery of a replica whose disk was lost: when it counts for a quorum again.  No I/O.

The replica does not know what it had promised or acknowledged.  It counts again when

(a) *every* other machine has reported its promised fence after this process started.  A leader
    promises its own fence durably before it requests promises, so the leader that an earlier
    process of this machine promised to follow is among those that report.  A majority is not
    enough: a promise sent before the loss may still be in transit to a candidate that a majority
    does not know yet (`docs/design/distribution.md`, "Sequence");
(b) it follows a leader with at least the highest reported fence, which it promises on receipt; and
(c) it holds that leader's whole log as of the reply to a fetch that was sent after (a).

A machine that is permanently lost therefore blocks the recovery until it is replaced.  After
`release_lease_after_s` one notice names the machines that have not reported; the status names them
during the whole recovery.
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

NO_FENCE = 0  # lower than any leader's, so the reply only reports the promised fence


@dataclass(frozen=True, slots=True)
class _Target:
    """Position that must be durable here, under the leader with this fence."""

    fence: int
    position: int


class Recovery:
    """Requests the others' promised fences and tracks the catch-up.  Used while recovering."""

    __slots__ = (
        "_all_reported_ticket",
        "_name",
        "_notice_at",
        "_outbox",
        "_replica",
        "_reported_at",
        "_requests",
        "_retries",
        "_target",
        "_timeout_s",
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
        self._requests: dict[int, str] = {}
        self._reported_at: dict[str, float] = {}
        # Infinite once the notice is sent or not needed.
        self._notice_at = now + settings.release_lease_after_s
        self._all_reported_ticket: int | None = None
        self._target: _Target | None = None
        self._check_all_reported()

    @property
    def next_at(self) -> float:
        """Time of the next `step`."""
        return min(self._next_request_at, self._notice_at)

    @property
    def _next_request_at(self) -> float:
        requested = set(self._requests.values())
        times = [retry.next_at for name, retry in self._retries.items() if name not in requested]
        return min(times, default=inf)

    def step(self, now: float) -> None:
        """Requests missing promised fences; ends the recovery once it is complete."""
        requested = set(self._requests.values())
        for name, retry in self._retries.items():
            if name not in requested and now >= retry.next_at:
                request = Fetch(self._name, NO_FENCE, LogPoint(), 0, recovering=True)
                self._requests[self._outbox.send(name, request, self._timeout_s)] = name
        if now >= self._notice_at:
            self._notice_at = inf
            self._outbox.notice("recovery_waits", machines=" ".join(sorted(self._retries)))
        self._finish()

    def owns(self, ticket: int) -> bool:
        """Whether this ticket is of a request sent by `step`."""
        return ticket in self._requests

    def replied(self, now: float, ticket: int, answered: bool) -> None:
        """Handles the result of a request; the machine has already adopted the reported fence."""
        name = self._requests.pop(ticket)
        if answered:
            del self._retries[name]
            self._reported_at[name] = now
            self._check_all_reported()
        else:
            self._retries[name].failed(now)

    def _check_all_reported(self) -> None:
        if not self._retries and self._all_reported_ticket is None:
            self._all_reported_ticket = self._outbox.last_ticket
            self._notice_at = inf

    def statuses(self, now: float) -> tuple[tuple[str, int, float], ...]:
        """Returns name, 0 and seconds since the report of each other machine.

        Negative seconds mean no report yet.  The format is `StatusReply.replicas`; the durable
        position is 0, since it is not known here.
        """
        missing = [(name, 0, -1.0) for name in self._retries]
        reported = [(name, 0, now - at) for name, at in self._reported_at.items()]
        return tuple(sorted(missing + reported))

    def fetched(self, fetched: FetchResult) -> None:
        """Handles a leader's fetch reply.  Status OK: the logs are equal as far as both go."""
        all_reported_ticket = self._all_reported_ticket
        if all_reported_ticket is None or fetched.ticket <= all_reported_ticket:
            return
        if fetched.reply.status != FetchStatus.OK:
            return
        if self._target is None or self._target.fence != fetched.reply.fence:
            self._target = _Target(fetched.reply.fence, fetched.reply.last)

    def _finish(self) -> None:
        target = self._target
        replica = self._replica
        if target is None or target.fence != replica.fence or not replica.synced:
            return
        if replica.last.position >= target.position:
            self._outbox.persist(replica.finish_recovery())
            self._outbox.notice("recovered", fence=replica.fence, position=target.position)

    # --- for state space exploration ---
    def key(self) -> tuple[Any, ...]:
        """Returns all state that affects later behavior."""
        waiting = tuple(sorted(self._retries)), tuple(sorted(self._requests.values()))
        return (waiting, self._all_reported_ticket is not None, self._target)
