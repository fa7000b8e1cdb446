"""What is turned away: by the caches' outcomes, and by this proxy's own load."""

import math

from .messages import RequestClass, Settings

GATE_WINDOW = 0.5  # seconds of outcomes by which the gate begins to limit
GATE_STEP = 0.15  # but one outcome counts for no more than this, at a quiet proxy
GATE_DEVIATIONS = 0.5  # failures this far beyond chance count
BAD_TARGET = 0.15  # share of requests that may fail before others are shed
GAIN, LAG = 2.5, 200.0  # a second, of the limit's logarithm; slower the later news comes (ms)
STRAIN = 0.25  # strain that the limit rests at
EASE = 0.55  # of the aim: answers that take longer tell of queues, long before they are late
FAR, HURRY = 0.7, 3.0  # below this share of what was carried lately the limit grows faster
ENTRY = 1.25  # times what was let in lately: the first limit
TOLERANCE = 3_000.0  # ms in which failures that tell of no queue are got used to
LATEST = 500.0  # ms that one outcome stands for at most
PEAK_DECAY, PEAK_SHARE = 8_000.0, 0.4  # never below this share of what was carried lately
LIMIT_LEAST = 0.2  # requests a second: always ask with some, or recovery would never be seen
LIMIT_GONE = 1.3  # times what is asked: a limit beyond it is none
DEBT = 100.0  # ms of the limit that what is worth most may be ahead of what is worth least
RETURNS, RETURNS_EACH = 2_048, 32  # keys of which requests were sent away lately; of each
SAME_TIME = 3.0  # ms by which the time that a client gives may differ when it is back
QUOTA_BURST = 1.0  # seconds of its quota that a tenant may save up
DEMAND_DECAY = 2_000.0  # demand by worth fades over this
PASSED_DECAY, SEEN_LEAST = 1_000.0, 0.25  # what was let in fades over this; share of it seen
OWN_TARGET = 5.0  # ms that commands may stand unread: a burst, another program on the core
OWN_INTERVAL = 30.0  # ms in which none stood for less: a standing overload of this proxy


class Gate:
    """Early refusal: how many requests a second the caches carry, and what is worth least.

    Calm, nothing is limited.  When requests come to nothing beyond BAD_TARGET, what is let in is
    the limit; its logarithm then follows the strain of what comes back, slower the later that
    comes (docs/design/overload-and-recovery.md).  A rate: a share of what is asked followed the
    waves of returns.  Requests, not attempts: what another mends is one cache's trouble.
    """

    def __init__(self, settings: Settings, now: float, beside: "Gate | None" = None) -> None:
        self.limit = math.inf  # requests a second
        self._bad = self._patient_bad = self._outcomes = self._peak = 0.0
        self._delay = self._used_to = self._passed = self._level = 0.0
        self._began = self._learned_at = self._passed_at = self._level_at = self._demand_at = now
        self._demand: dict[float, float] = {}  # by worth
        self._returns: dict[int, list[tuple[float, float]]] = {}  # by key: gives, until when
        self._buckets: dict[str, tuple[float, float]] = {}
        if beside is not None:  # clients and tenants are the same ones, whichever limit holds
            self._returns, self._buckets = beside._returns, beside._buckets
        self.configure(settings, now)

    def configure(self, settings: Settings, now: float) -> None:
        """New figures; what was learned of the load stays."""
        self._settings = settings
        limited = [t for t in settings.tenants if t.quota_per_s > 0]
        self._quotas = {t.name: t.quota_per_s / settings.proxies / 1000.0 for t in limited}
        self._buckets.clear()
        self._buckets.update({n: (r * 1000.0 * QUOTA_BURST, now) for n, r in self._quotas.items()})

    @property
    def open(self) -> float:
        """The share of what is asked that is let in."""
        return 1.0 if self.limit == math.inf else min(1.0, self.limit / self._asked())

    def _asked(self) -> float:
        return max(LIMIT_LEAST, sum(self._demand.values()) * 1_000.0 / DEMAND_DECAY)

    def count(self, cls: RequestClass, tenant: str, key: int, gives: float, now: float) -> float:
        """Note a request; its worth, which is small beyond the tenant's quota.

        Who was sent away comes back, late by then: what an answer is still worth counts.  Known by
        key and the time it gives (ms): by the key alone first tries of hot keys were taken for it.
        """
        share = 1.0 if self._within_quota(tenant, now) else self._settings.over_share_worth
        worth = cls.worth * share
        for mark in self._returns.get(key, ()):
            if now <= mark[1] and abs(mark[0] - gives) <= SAME_TIME:
                self._returns[key].remove(mark)
                worth *= cls.late_value
                break
        if now - self._demand_at > DEMAND_DECAY / 20:
            fade = math.exp((self._demand_at - now) / DEMAND_DECAY)
            self._demand = {w: d * fade for w, d in self._demand.items()}
            self._demand_at = now
        self._demand[worth] = self._demand.get(worth, 0.0) + 1.0
        return worth

    def sent_away(self, key: int, gives: float, now: float, wait: float) -> None:
        """A client who gives this time may be back with this key within the wait."""
        if len(self._returns) >= RETURNS:
            self._returns.clear()
        away = [mark for mark in self._returns.get(key, ()) if now <= mark[1]]
        self._returns[key] = [*away[1 - RETURNS_EACH :], (gives, now + wait)]

    def _within_quota(self, tenant: str, now: float) -> bool:
        rate = self._quotas.get(tenant)
        if rate is None:
            return True
        level, since = self._buckets[tenant]
        level = min(max(1.0, rate * 1000.0 * QUOTA_BURST), level + rate * (now - since))
        within = level >= 1.0
        self._buckets[tenant] = (level - 1.0 if within else level, now)
        return within

    def admits(self, worth: float, now: float) -> bool:
        """Whether a request of this worth is let in: the dearer, the further into debt."""
        passes = True
        if self.limit < math.inf:
            level = self._level + self.limit * (now - self._level_at) / 1_000.0
            most = max(1.0, self.limit * min(0.42, 0.03 * self._settings.proxies**0.5))  # s
            self._level, self._level_at = min(most, level), now
            cheaper = sum(d for w, d in self._demand.items() if w < worth)
            debt = (1.0 + self.limit * DEBT / 1_000.0) * cheaper / sum(self._demand.values())
            dearer = sum(d for w, d in self._demand.items() if w > worth) * 1_000.0 / DEMAND_DECAY
            passes = self._level >= 1.0 - debt and dearer < self.limit
            self._level -= passes
        if now - self._passed_at > PASSED_DECAY / 20:
            fade = math.exp((self._passed_at - now) / PASSED_DECAY)
            self._passed, self._passed_at = self._passed * fade, now
        self._passed += passes
        return passes

    def learn(
        self, badness: float, now: float, patient: bool, delay: float, aim: float, queued: bool
    ) -> None:
        """badness: 0 for an answer in time, 1 for a request that came to nothing after `delay` ms.

        `queued`: it tells of queues.  Hurried requests count only while patient ones fail as well.
        """
        if not patient and self._patient_bad <= BAD_TARGET:
            return
        past, self._learned_at = now - self._learned_at, now
        self._outcomes = self._outcomes * math.exp(-past / DEMAND_DECAY) + 1.0
        # An outcome stands for the time since the one before it: after heavy shedding few come.
        weight = max(DEMAND_DECAY / self._outcomes, past)
        step = min(GATE_STEP, weight / 1_000.0 / GATE_WINDOW)
        self._bad += step * (badness - self._bad)
        self._patient_bad += patient * step * (badness - self._patient_bad)
        self._delay += step * badness * (delay - self._delay)
        seen = max(SEEN_LEAST, 1.0 - math.exp((self._began - now) / PASSED_DECAY))  # after a start
        rate = self._passed * 1_000.0 / PASSED_DECAY / seen
        self._peak = max(self._peak * math.exp(-past / PEAK_DECAY), rate * (1.0 - self._bad))
        if self.limit == math.inf:
            # At a quiet proxy a few failures prove nothing: count what is beyond chance.
            if self._bad - GATE_DEVIATIONS * math.sqrt(self._bad * step) > BAD_TARGET:
                self._used_to = 0.0
                self.limit = max(ENTRY * rate, LIMIT_LEAST)
                self._level, self._level_at = 0.0, now
            return
        time = min(weight, LATEST)
        strain = min(1.0, max(badness, (delay / aim - EASE) / (1.0 - EASE)))
        move = GAIN * (STRAIN + self._used_to - strain) / (1.0 + self._delay / LAG)
        self._used_to += (badness * (not queued) - self._used_to) * time / TOLERANCE
        move *= HURRY if move > 0.0 and self.limit < FAR * self._peak else 1.0
        self.limit *= math.exp(move * time / 1_000.0)
        self.limit = max(self.limit, PEAK_SHARE * self._peak, LIMIT_LEAST)
        if self.limit > (most := LIMIT_GONE * self._asked()):  # while they fail it stays near
            self.limit = math.inf if self._bad < BAD_TARGET else most


class OwnLoad:
    """Whether this proxy itself is the bottleneck, by how long commands stood unread.

    As CoDel judges a queue: by the least wait of an interval.  A burst or a pause makes some wait,
    a standing overload all.  Harm: an estimate that is never small refuses what could be served.
    """

    def __init__(self) -> None:
        self._above_since = math.inf

    def note(self, stood: float, now: float) -> bool:
        """One more command was read; whether the overload is standing."""
        if stood < OWN_TARGET:
            self._above_since = math.inf
            return False
        self._above_since = min(self._above_since, now)
        return now - self._above_since >= OWN_INTERVAL
