"""The long-poll subscriber of one proxy: its position in the log, freshness, and the next poll.

Pure: no sockets and no clock.  Every call gets the proxy's monotonic time in seconds.  The caller
runs a loop: `next` returns the poll to send; the caller sends it, passes the reply to `replied`
(None if the poll was refused, timed out or could not be decoded) and executes the returned effects
in order.  It calls `next` again only after that, since the next poll acknowledges the effects.

Freshness.  A reply states that everything committed `age_ms` before the reply was written is in
the log up to `commit`.  The reply was written after its poll was sent.  So a proxy that has applied
the log up to `commit` has applied everything committed by `sent_at - age_ms`, which is its `as_of`.
The proxy is stale when `now - as_of > stale_after_s`.  This rule has no allowance for clock drift:
the leader's bound, `stale_after_s * (1 + drift) / (1 - drift)`, already assumes that the proxy's
clock and the clocks that measured the age run slow by `drift`, and that its own runs fast by it.

Shutdown.  `end` makes the process permanently stale before its last poll is sent, and replies that
arrive later are ignored.  So the last poll stays true however late or often it is delivered.

Bounds: one poll in flight, `MAX_REFUSALS` refusals, `BATCHES_PER_REPLY` batches in a reply.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, replace
from random import Random

import msgspec

from .control_choice import ControlEndpoint, ControlSelector, SubscriberSettings
from .messages import Batch, Poll, PollReply, PollStatus, Snapshot

MAX_REFUSALS = 16  # the maximum length of `Poll.refused`
MAX_REASON_CHARACTERS = 300
TICK_DELAY_S = 0.001  # keeps rounding errors from scheduling `tick` before the proxy is stale
MS_PER_S = 1000.0

_decode_batch = msgspec.msgpack.Decoder(Batch).decode


@dataclass(frozen=True, slots=True)
class SendPoll:
    """Send this poll to `address`; give up after `timeout_s`."""

    address: str
    poll: Poll
    timeout_s: float


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """Send no poll before `until`."""

    until: float


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply the records of this batch; after `InvalidateAll`: the snapshot's configuration."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class InvalidateAll:
    """Invalidate everything cached so far: the purges that were skipped are not known."""

    reason: str


@dataclass(frozen=True, slots=True)
class BecameStale:
    """The proxy may lack records that are in force elsewhere.  `behind_s`: age of its `as_of`."""

    behind_s: float


@dataclass(frozen=True, slots=True)
class BecameFresh:
    """The proxy is fresh again.  `behind_s`: age of its `as_of` before this reply."""

    behind_s: float


@dataclass(frozen=True, slots=True)
class SequenceGap:
    """A batch is out of sequence and was not applied.  `got` is None if it cannot be decoded."""

    expected: int
    got: int | None


Effect = Apply | InvalidateAll | BecameStale | BecameFresh | SequenceGap


class Subscriber:
    """State of one proxy process.  `now` is its monotonic clock in seconds, in every call.

    Raises ValueError if `settings` names no control machine.
    """

    def __init__(
        self, settings: SubscriberSettings, incarnation: str, random: Random, now: float
    ) -> None:
        if not settings.controls:
            raise ValueError("no control machines")
        self._settings = settings
        self._incarnation = incarnation
        self._started_at = now
        self._log = ""
        self._position = 0
        self._fence = 0
        self._as_of: float | None = None
        self._ended = False
        self._reported_fresh = False
        self._reported_stale = False
        self._refusals: deque[tuple[int, str]] = deque(maxlen=MAX_REFUSALS)
        self._random = random
        self._selector = ControlSelector(settings, random)

    def configure(self, controls: tuple[ControlEndpoint, ...]) -> None:
        """Poll these control machines from now on.  The position and freshness are kept.

        A poll in flight may still be answered by a machine that is no longer in the list.  Raises
        ValueError if `controls` is empty.
        """
        if not controls:
            raise ValueError("no control machines")
        if controls == self._settings.controls:
            return  # else each published table would make all proxies choose again at once
        self._settings = replace(self._settings, controls=controls)
        self._selector = ControlSelector(self._settings, self._random)

    @property
    def position(self) -> int:
        """Position of the last applied batch."""
        return self._position

    @property
    def as_of(self) -> float | None:
        """Everything committed by this time of the proxy's clock is applied.  None if unknown."""
        return self._as_of

    @property
    def next_at(self) -> float:
        """When `tick` is due, unless a reply arrives before; infinite if it is not needed."""
        if self._reported_stale or self._ended:
            return math.inf
        return self._as_of_or_start() + self._settings.stale_after_s + TICK_DELAY_S

    def fresh(self, now: float) -> bool:
        """Whether the proxy has applied everything that was committed `stale_after_s` ago."""
        return self._as_of is not None and now - self._as_of <= self._settings.stale_after_s

    def next(self, now: float) -> SendPoll | WaitUntil:
        """The next poll, or how long to wait for it.  Must not be called while one is in flight."""
        if self._ended:
            return WaitUntil(math.inf)
        if now < self._selector.retry_at:
            return WaitUntil(self._selector.retry_at)
        address, timeout_s = self._selector.target(now)
        return SendPoll(address, self._poll(), timeout_s)

    def end(self) -> Poll:
        """Make the process permanently stale; replies that arrive later are not applied.

        Returns the last poll, to be sent to each control machine that may have a session for it.
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
        """Process the reply of `address` to the poll sent at `sent_at`; None if there was no reply.

        `sent_at` must be read before the poll's first byte is sent.  This call advances the
        position, so all returned effects must be executed even if one fails (see `add_refusal`).
        """
        effects: list[Effect] = []
        if self._ended:
            return effects
        useful = reply is not None and self._apply_reply(now, sent_at, reply, effects)
        if not self._selector.knows(address):
            pass  # a machine removed by `configure`: its reply says nothing about the others
        elif useful:
            self._selector.succeeded(now, address)
        else:
            self._selector.failed(now, address)
        effects += self.tick(now)
        return effects

    def add_refusal(self, position: int, reason: str) -> None:
        """Report with every later poll that a record of the batch at `position` was refused.

        Only the latest `MAX_REFUSALS` refusals are sent.
        """
        self._refusals.append((position, reason[:MAX_REASON_CHARACTERS]))

    def tick(self, now: float) -> list[Effect]:
        """Report once that the proxy became stale.  Due at `next_at`."""
        if self.fresh(now) or self._reported_stale or self._ended:
            return []
        behind_s = now - self._as_of_or_start()
        if behind_s <= self._settings.stale_after_s:
            return []
        self._reported_stale = True
        self._reported_fresh = False
        return [BecameStale(behind_s)]

    def _as_of_or_start(self) -> float:
        return self._started_at if self._as_of is None else self._as_of

    def _apply_reply(
        self, now: float, sent_at: float, reply: PollReply, effects: list[Effect]
    ) -> bool:
        """Apply a reply.  Returns False if its sender is not useful at present."""
        position_before = self._position
        if not self._accept_log(reply, effects):
            return False
        if not self._apply_batches(reply, effects):
            return False
        if self._position < reply.commit:
            return self._position > position_before  # useful if it brought any progress
        if self._position > reply.commit:
            return False  # the machine has committed less than this proxy has applied
        self._update_as_of(now, sent_at, reply.age_ms, effects)
        return 0 <= reply.age_ms <= self._settings.stale_after_s * MS_PER_S

    def _accept_log(self, reply: PollReply, effects: list[Effect]) -> bool:
        """Accept the reply's log or snapshot.  Returns False if the batches must not be applied."""
        if reply.status == PollStatus.SNAPSHOT and reply.snapshot is not None:
            return self._install_snapshot(reply.log, reply.snapshot, effects)
        if reply.status != PollStatus.OK or not reply.log:
            return False
        if not self._log and self._position == 0:
            self._log = reply.log
        return reply.log == self._log

    def _install_snapshot(self, log: str, snapshot: Snapshot, effects: list[Effect]) -> bool:
        base = snapshot.base
        if not log:
            return False
        if log == self._log and base.position <= self._position:
            return False  # everything up to the snapshot's base has been applied already
        if log == self._log and base.fence < self._fence:
            return False  # a leader with a lower fence cannot have written a later position
        if log == self._log or not self._log:
            reason = f"positions {self._position + 1} to {base.position} are covered by a snapshot"
        else:
            reason = f"the log {self._log} was replaced by {log}"
            self._as_of = None  # it referred to the old log
            self._reported_fresh = False
        self._log, self._position, self._fence = log, base.position, base.fence
        effects.append(InvalidateAll(reason))
        if snapshot.configuration:
            effects.append(Apply(Batch(base.position, base.fence, 0, snapshot.configuration)))
        return True

    def _apply_batches(self, reply: PollReply, effects: list[Effect]) -> bool:
        """Apply the batches in sequence.  Stops at the first gap and returns False."""
        for raw in reply.batches:
            batch = _decoded(raw)
            if batch is not None and batch.position <= self._position:
                continue  # a duplicate: applied before
            expected = self._position + 1
            if batch is None or batch.position != expected or batch.fence < self._fence:
                effects.append(SequenceGap(expected, None if batch is None else batch.position))
                return False
            self._position, self._fence = batch.position, batch.fence
            effects.append(Apply(batch))
        return True

    def _update_as_of(
        self, now: float, sent_at: float, age_ms: float, effects: list[Effect]
    ) -> None:
        if age_ms < 0:
            return
        as_of = sent_at - age_ms / MS_PER_S
        behind_s = now - self._as_of_or_start()
        if self._as_of is None or as_of > self._as_of:
            self._as_of = as_of
        if self.fresh(now) and not self._reported_fresh:
            self._reported_fresh = True
            self._reported_stale = False
            effects.append(BecameFresh(behind_s))


def _decoded(raw: msgspec.Raw) -> Batch | None:
    try:
        return _decode_batch(raw)
    except msgspec.DecodeError:  # ValidationError is one too
        return None
