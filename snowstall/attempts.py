"""A request and its attempts: what may run again, and what may be refused."""

from dataclasses import dataclass, field

from .cache import Attempt, Cache
from .gate import Gate
from .messages import Effect, Group, Request, RequestClass, Result

BROKEN_COST = 0.5  # of the retry budget: a broken connection was little work, or none
REPEAT_MARGIN = 200.0  # before its window ends a repeat is decided: it may wait for a connection
FAIR_TIME = 0.4  # of the aim: who gives less learns nothing of the caches, whatever comes

REDIRECTS = frozenset({Result.MOVED, Result.ASKED})
RETRY_COST = {Result.NO_CONNECTION: 0.0, Result.RESET: BROKEN_COST, Result.SPOILT: BROKEN_COST}
NEVER_RAN = REDIRECTS | {Result.FULL, Result.NO_CONNECTION, Result.NEVER_SENT, Result.MISS}


@dataclass(slots=True)
class Pending:
    request: Request
    cls: RequestClass
    arrived_at: float
    key: int
    gate: Gate  # of what is likely kept, or of what has likely to be fetched
    patient: bool  # it gave the caches the time that most answers take
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False
    paused: bool = False  # this process stood still while it was open

    @property
    def fair(self) -> bool:
        """Whether its outcome tells of the caches, and not of what retries left of its time."""
        given = self.request.give_up_at - self.arrived_at
        return not self.paused and given >= FAIR_TIME * self.cls.aim

    def outstanding(self) -> int:
        return sum(a.out for a in self.attempts)

    def may_refuse(self) -> bool:
        """Refusing says that another try does no harm."""
        if self.cls.effect is Effect.PURE or not any(a.ran for a in self.attempts):
            return True
        return self.cls.effect is Effect.KEYED and self.cls.group is Group.ALL

    def may_send(self, cache: Cache, now: float) -> bool:
        """Whether one more attempt at this cache can do its effect twice."""
        cls = self.cls
        if cls.effect is Effect.PURE:
            return True
        ran = [a for a in self.attempts if a.ran]
        if not ran:
            return True
        if cls.effect is Effect.UNSAFE:
            return False
        if now > min(a.sent_at for a in ran) + cls.repeat_window - REPEAT_MARGIN:
            return False  # the caches may have forgotten the first arrival by then
        if cls.group is Group.ZONE:
            return all(a.cache.zone == cache.zone for a in ran)
        return cls.group is Group.ALL or all(a.cache.cell == cache.cell for a in ran)
