"""One proxy's side of the distribution: what it has applied, whether it is fresh, and whom it asks.

Pure: no sockets and no clock.  Every call gets the proxy's monotonic time in seconds.  The caller
runs one loop: `next` says which control machine to ask, the caller sends that poll and hands the
answer (None: refused, timed out, not decodable) to `replied`, and executes the effects in their
order before it calls `next` again: the next poll acknowledges them.

Freshness.  An answer says that everything that had been committed `age_ms` before it was written
is in the log up to `commit`.  It was written after its poll was sent, so a proxy that has applied
everything up to `commit` has applied everything that had been committed by `sent_at - age_ms`:
its `as_of`.  The proxy is stale when `now - as_of > stale_after_s`.  No term for the drift of
clocks stands here: the leader's bound, `stale_after_s * (1 + drift) / (1 - drift)`, has both the
proxy's clock (and those that measured the age) as slow as allowed and its own as fast.

End.  `end` makes the process stale for good before it tells anybody: answers that are still on
their way are ignored.  So what the control machines are told holds from then on, however late or
often it reaches them.

Bounds: one poll at a time, `MAX_REFUSALS` refusals, `BATCHES_PER_REPLY` batches an answer.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, replace
from random import Random

import msgspec

from .control_choice import ControlEndpoint, ControlSelector, SubscriberSettings
from .messages import Batch, Poll, PollReply, PollStatus, Snapshot

MAX_REFUSALS = 16  # as many as one poll carries
REASON_CHARACTERS = 300
TICK_LATE_S = 0.001  # so that rounding never makes `tick` come too early
MS = 1000.0

_decode_batch = msgspec.msgpack.Decoder(Batch).decode


@dataclass(frozen=True, slots=True)
class SendPoll:
    """Send this poll to `address`; give up after `timeout_s`."""

    address: str
    poll: Poll
    timeout_s: float


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """Ask nobody before `until`."""

    until: float


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply the records of this batch; after `InvalidateAll`: the snapshot's configuration."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class InvalidateAll:
    """Void everything that was cached before: the purges in between are not known one by one."""

    reason: str


@dataclass(frozen=True, slots=True)
class BecameStale:
    """The proxy may lack records that are in force elsewhere.  `behind_s`: its as_of's age."""

    behind_s: float


@dataclass(frozen=True, slots=True)
class BecameFresh:
    """`behind_s`: how old its as_of had become before."""

    behind_s: float


@dataclass(frozen=True, slots=True)
class SequenceGap:
    """An answer's batch does not follow: it is not applied.  `got` None: it is not decodable."""

    expected: int
    got: int | None


Effect = Apply | InvalidateAll | BecameStale | BecameFresh | SequenceGap


class Subscriber:
    """One incarnation of a proxy process.  `now`: its monotonic clock in seconds, in every call.

    Raises ValueError when there is no control machine to ask.
    """

    def __init__(
        self, settings: SubscriberSettings, incarnation: str, random: Random, now: float
    ) -> None:
        if not settings.controls:
            raise ValueError("no control machines")
        self._settings = settings
        self._incarnation = incarnation
        self._started = now
        self._log = ""
        self._position = 0
        self._fence = 0
        self._as_of: float | None = None
        self._ended = False
        self._said_fresh = False
        self._said_stale = False
        self._refusals: deque[tuple[int, str]] = deque(maxlen=MAX_REFUSALS)
        self._random = random
        self._choice = ControlSelector(settings, random)

    def configure(self, controls: tuple[ControlEndpoint, ...]) -> None:
        """Ask these control machines from now on; what is applied and known stays.

        A poll that is out may still be answered by a machine that is no longer among them.
        """
        if not controls:
            raise ValueError("no control machines")
        if controls == self._settings.controls:
            return  # so that a published table does not make all proxies choose anew at once
        self._settings = replace(self._settings, controls=controls)
        self._choice = ControlSelector(self._settings, self._random)

    @property
    def position(self) -> int:
        """Everything up to this position of the log is applied."""
        return self._position

    @property
    def as_of(self) -> float | None:
        """Everything committed by this time of the proxy's clock is applied; None: not known."""
        return self._as_of

    @property
    def next_at(self) -> float:
        """When `tick` has something to say, if no answer comes before."""
        if self._said_stale or self._ended:
            return math.inf
        return self._known_since() + self._settings.stale_after_s + TICK_LATE_S

    def fresh(self, now: float) -> bool:
        """Whether the proxy has applied everything that was committed `stale_after_s` ago."""
        return self._as_of is not None and now - self._as_of <= self._settings.stale_after_s

    def next(self, now: float) -> SendPoll | WaitUntil:
        """Whom to ask, or how long to wait.  Not to be called while a poll is out."""
        if self._ended:
            return WaitUntil(math.inf)
        if now < self._choice.retry_at:
            return WaitUntil(self._choice.retry_at)
        address, timeout_s = self._choice.target(now)
        return SendPoll(address, self._poll(), timeout_s)

    def end(self) -> Poll:
        """The process shuts down: it is never fresh again, and nothing is applied any more.

        Returns the poll that tells so.  To be sent to each machine that may know the process.
        """
        self._ended = True
        self._as_of = None
        return self._poll()

    def _poll(self) -> Poll:
        return Poll(
            self._settings.name,
            self._incarnation,
            self._settings.region,
            self._log,
            self._position,
            tuple(self._refusals),
            ends_session=self._ended,
        )

    def replied(
        self, now: float, sent_at: float, address: str, reply: PollReply | None
    ) -> list[Effect]:
        """Take the answer of `address` to the poll that was sent at `sent_at` (None: no answer).

        `sent_at` has to be read before the poll's first byte is sent.  The position moves in here,
        so the effects must be executed even if one of them fails (see `refuse`).
        """
        effects: list[Effect] = []
        if self._ended:
            return effects
        useful = reply is not None and self._take(now, sent_at, reply, effects)
        if not self._choice.knows(address):
            pass  # of a machine that was taken out meanwhile: nothing to learn about the others
        elif useful:
            self._choice.succeeded(now, address)
        else:
            self._choice.failed(now, address)
        effects += self.tick(now)
        return effects

    def refuse(self, position: int, reason: str) -> None:
        """Tell the control machines that a record of `position` was refused here, and why.

        The latest `MAX_REFUSALS` refusals go with every poll.
        """
        self._refusals.append((position, reason[:REASON_CHARACTERS]))

    def tick(self, now: float) -> list[Effect]:
        """Say that the proxy became stale, once.  Due at `next_at`."""
        if self.fresh(now) or self._said_stale or self._ended:
            return []
        behind_s = now - self._known_since()
        if behind_s <= self._settings.stale_after_s:
            return []
        self._said_stale = True
        self._said_fresh = False
        return [BecameStale(behind_s)]

    def _known_since(self) -> float:
        return self._started if self._as_of is None else self._as_of

    def _take(self, now: float, sent_at: float, reply: PollReply, effects: list[Effect]) -> bool:
        """Apply an answer.  False: the machine that gave it is of no use at present."""
        before = self._position
        if not self._start_from(reply, effects):
            return False
        if not self._apply_batches(reply, effects):
            return False
        if self._position < reply.commit:
            return self._position > before  # more to come, if there was any progress
        if self._position > reply.commit:
            return False  # the machine is behind
        self._note_as_of(now, sent_at, reply.age_ms, effects)
        return 0 <= reply.age_ms <= self._settings.stale_after_s * MS

    def _start_from(self, reply: PollReply, effects: list[Effect]) -> bool:
        """Adopt the answer's log or snapshot.  False: nothing of the answer may be applied."""
        if reply.status == PollStatus.SNAPSHOT and reply.snapshot is not None:
            return self._adopt(reply.log, reply.snapshot, effects)
        if reply.status != PollStatus.OK or not reply.log:
            return False
        if not self._log and self._position == 0:
            self._log = reply.log
        return reply.log == self._log

    def _adopt(self, log: str, snapshot: Snapshot, effects: list[Effect]) -> bool:
        base = snapshot.base
        if not log:
            return False
        if log == self._log and base.position <= self._position:
            return False  # everything up to the base is applied, record by record
        if log == self._log and base.fence < self._fence:
            return False  # an earlier leader cannot have written a later position
        if log == self._log or not self._log:
            reason = f"positions {self._position + 1} to {base.position} are not kept one by one"
        else:
            reason = f"the log {self._log} was replaced by {log}"
            self._as_of = None  # it was about the other log
            self._said_fresh = False
        self._log, self._position, self._fence = log, base.position, base.fence
        effects.append(InvalidateAll(reason))
        if snapshot.configuration:
            effects.append(Apply(Batch(base.position, base.fence, 0, snapshot.configuration)))
        return True

    def _apply_batches(self, reply: PollReply, effects: list[Effect]) -> bool:
        """Apply what follows in order.  False: a batch does not follow; the rest is left out."""
        for raw in reply.batches:
            batch = _decoded(raw)
            if batch is not None and batch.position <= self._position:
                continue  # applied before
            expected = self._position + 1
            if batch is None or batch.position != expected or batch.fence < self._fence:
                effects.append(SequenceGap(expected, None if batch is None else batch.position))
                return False
            self._position, self._fence = batch.position, batch.fence
            effects.append(Apply(batch))
        return True

    def _note_as_of(self, now: float, sent_at: float, age_ms: float, effects: list[Effect]) -> None:
        if age_ms < 0:
            return
        as_of = sent_at - age_ms / MS
        behind_s = now - self._known_since()
        if self._as_of is None or as_of > self._as_of:
            self._as_of = as_of
        if self.fresh(now) and not self._said_fresh:
            self._said_fresh = True
            self._said_stale = False
            effects.append(BecameFresh(behind_s))


def _decoded(raw: msgspec.Raw) -> Batch | None:
    try:
        return _decode_batch(raw)
    except msgspec.DecodeError:  # ValidationError is one too
        return None
