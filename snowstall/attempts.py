"""A request and its attempts: when it is safe to send another attempt, or to refuse."""

from dataclasses import dataclass, field

from .cache import Attempt, Cache
from .gate import AdmissionLimiter
from .messages import Effect, Group, Request, RequestClass, Result

BROKEN_CONNECTION_COST = 0.5  # retries charged for a broken connection, which caused little load
REPEAT_MARGIN_MS = 200.0  # no repeats this close to the window's end: they may wait to connect
MIN_TIME_SHARE = 0.4  # share of the latency target; with less time even healthy caches seem to fail

REDIRECTS = frozenset({Result.MOVED, Result.ASK})
RETRY_COST = {
    Result.NO_CONNECTION: 0.0,
    Result.RESET: BROKEN_CONNECTION_COST,
    Result.MALFORMED: BROKEN_CONNECTION_COST,
}
NEVER_RAN = REDIRECTS | {Result.FULL, Result.NO_CONNECTION, Result.NEVER_SENT, Result.MISS}


@dataclass(slots=True)
class Pending:
    """A request that has no final answer yet, or still has attempts in flight."""

    request: Request
    cls: RequestClass
    arrived_at: float
    key: int
    limiter: AdmissionLimiter  # the limiter for cached keys, or that for keys the origin must serve
    patient: bool  # whether the client allows the time that most answers take
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False
    paused: bool = False  # this process was paused while the request was open

    @property
    def representative(self) -> bool:
        """Whether its outcome is evidence about the caches: it had enough time and no pause."""
        given = self.request.give_up_at - self.arrived_at
        return not self.paused and given >= MIN_TIME_SHARE * self.cls.latency_target

    def outstanding(self) -> int:
        """Return the number of attempts in flight."""
        return sum(a.in_flight for a in self.attempts)

    def may_refuse(self, returns_at: float) -> bool:
        """Whether the request may be refused, which tells the client that a retry is safe.

        `returns_at`: when the client is told to try again.  The caches must remember the key then.
        """
        cls = self.cls
        ran = [a for a in self.attempts if a.ran]
        if cls.effect is Effect.PURE or not ran:
            return True
        remembered = cls.effect is Effect.KEYED and returns_at <= self._repeat_until(ran)
        return remembered and cls.group is Group.ALL

    def _repeat_until(self, ran: list[Attempt]) -> float:
        """When the caches may begin to forget the first of the attempts that may have run."""
        return min(a.sent_at for a in ran) + self.cls.repeat_window - REPEAT_MARGIN_MS

    def may_send(self, cache: Cache, now: float) -> bool:
        """Whether one more attempt, at this cache, can't apply the request's effect twice."""
        cls = self.cls
        if cls.effect is Effect.PURE:
            return True
        ran = [a for a in self.attempts if a.ran]
        if not ran:
            return True
        if cls.effect is Effect.UNSAFE:
            return False
        if now > self._repeat_until(ran):
            return False  # the caches may have forgotten the first attempt by then
        if cls.group is Group.ZONE:
            return all(a.cache.zone == cache.zone for a in ran)
        return cls.group is Group.ALL or all(a.cache.cell == cache.cell for a in ran)
