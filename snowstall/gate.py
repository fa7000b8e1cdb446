"""Load shedding: by the outcomes of requests, and by the load of this proxy's event loop."""

import math

from .messages import RequestClass, Settings

FAILURE_WINDOW_S = 0.5  # time constant of the failure share that turns the limit on
MAX_FAILURE_STEP = 0.15  # weight of one outcome in that share at most, for a quiet proxy
CHANCE_DEVIATIONS = 0.5  # failures must exceed the allowed share by this many deviations
MAX_FAILURE_SHARE = 0.15  # share of requests that may fail before others are shed
# Gain per second on the logarithm of the limit; the second value (ms) scales it down when failures
# are reported late.
GAIN, DELAY_SCALE_MS = 2.5, 200.0
TARGET_CONGESTION = 0.25  # congestion at which the limit neither grows nor shrinks
EASE = 0.55  # share of the latency target; slower answers show queueing long before they are late
# The limit grows by this factor faster while it is below this share of the recent peak rate.
FAST_GROWTH_BELOW, FAST_GROWTH_FACTOR = 0.7, 3.0
INITIAL_LIMIT_FACTOR = 1.25  # times the rate admitted lately: the first limit
BASELINE_WINDOW_MS = 3_000.0  # time constant of the baseline: failures that show no queueing
MAX_OUTCOME_SPAN_MS = 500.0  # longest time for which one outcome may change the limit
PEAK_DECAY_MS, MIN_SHARE_OF_PEAK = 8_000.0, 0.4  # the limit stays above this share of the peak
MIN_LIMIT_PER_S = 0.2  # requests a second; without any, a recovery would never be noticed
MAX_LIMIT_FACTOR = 1.3  # times the offered load: a higher limit would have no effect
MAX_DEBT_MS = 100.0  # the highest value may overdraw the tokens by the limit's rate times this
# Refused requests that are expected to return: keys that are remembered, and requests of each.
MAX_RETURN_KEYS, MAX_RETURNS_PER_KEY = 2_048, 32
TIMEOUT_TOLERANCE_MS = 3.0  # a returning client's timeout may differ by this
QUOTA_BURST_S = 1.0  # seconds of its quota that a tenant may save up
DEMAND_DECAY_MS = 2_000.0  # time constant of the offered load per value
# Time constant of the admitted rate; after a start at least this share of it counts as observed.
ADMITTED_DECAY_MS, MIN_OBSERVED_SHARE = 1_000.0, 0.25
LOOP_DELAY_TARGET_MS = 5.0  # a burst or another program on the core may delay reads this long
LOOP_DELAY_INTERVAL_MS = 30.0  # the loop is overloaded if no command waits less than that for this


class AdmissionLimiter:
    """Limits the admitted rate to what the caches can serve, and sheds the lowest values first.

    There is no limit until the share of failed requests exceeds MAX_FAILURE_SHARE.  Then the
    admitted rate becomes the limit, and its logarithm follows the congestion that outcomes show,
    more slowly the later they come (docs/design/overload-and-recovery.md).  The limit is a rate: a
    share of the offered load followed the waves of returning clients.  It counts requests, not
    attempts: a failure after which another attempt succeeds concerns one cache only.
    """

    def __init__(
        self, settings: Settings, now: float, shared_with: "AdmissionLimiter | None" = None
    ) -> None:
        self.limit = math.inf  # requests a second; infinite when nothing is shed
        self._failure_share = self._patient_failure_share = self._outcome_count = (
            self._peak_rate
        ) = 0.0
        self._failure_delay = self._baseline = self._admitted = self._tokens = 0.0
        self._started_at = self._last_outcome_at = self._admitted_at = self._tokens_at = (
            self._demand_at
        ) = now
        self._demand: dict[float, float] = {}  # offered load by value
        # Expected returns of refused requests, by key: (timeout, expiry).
        self._returns: dict[int, list[tuple[float, float]]] = {}
        self._buckets: dict[str, tuple[float, float]] = {}
        if shared_with is not None:  # both limiters see the same clients and tenants
            self._returns, self._buckets = shared_with._returns, shared_with._buckets
        self.configure(settings, now)

    def configure(self, settings: Settings, now: float) -> None:
        """Apply new quotas and settings; the limit and what was learned of the load stay."""
        self._settings = settings
        limited = [t for t in settings.tenants if t.quota_per_s > 0]
        self._quotas = {t.name: t.quota_per_s / settings.proxies / 1000.0 for t in limited}
        self._buckets.clear()
        self._buckets.update(
            {n: (r * 1000.0 * QUOTA_BURST_S, now) for n, r in self._quotas.items()}
        )

    @property
    def admitted_share(self) -> float:
        """The share of the offered load that the limit lets pass, in (0, 1]."""
        return 1.0 if self.limit == math.inf else min(1.0, self.limit / self._offered_load())

    def _offered_load(self) -> float:
        return max(MIN_LIMIT_PER_S, sum(self._demand.values()) * 1_000.0 / DEMAND_DECAY_MS)

    def record_request(
        self, cls: RequestClass, tenant: str, key: int, timeout: float, now: float
    ) -> float:
        """Count a request in the offered load and return its value, lower beyond the quota.

        A client that returns after a refusal is late by then, so its request has the value of a
        late answer.  It is recognised by key and timeout (ms): by the key alone, first tries for
        hot keys were taken for returns.
        """
        factor = 1.0 if self._within_quota(tenant, now) else self._settings.over_quota_factor
        value = cls.value * factor
        for mark in self._returns.get(key, ()):
            if now <= mark[1] and abs(mark[0] - timeout) <= TIMEOUT_TOLERANCE_MS:
                self._returns[key].remove(mark)
                value *= cls.late_value
                break
        if now - self._demand_at > DEMAND_DECAY_MS / 20:
            fade = math.exp((self._demand_at - now) / DEMAND_DECAY_MS)
            self._demand = {v: d * fade for v, d in self._demand.items()}
            self._demand_at = now
        self._demand[value] = self._demand.get(value, 0.0) + 1.0
        return value

    def record_refusal(self, key: int, timeout: float, now: float, wait: float) -> None:
        """Expect a client with this timeout (ms) to return with this key within `wait` ms."""
        if len(self._returns) >= MAX_RETURN_KEYS:
            self._returns.clear()
        expected = [mark for mark in self._returns.get(key, ()) if now <= mark[1]]
        self._returns[key] = [*expected[1 - MAX_RETURNS_PER_KEY :], (timeout, now + wait)]

    def _within_quota(self, tenant: str, now: float) -> bool:
        rate = self._quotas.get(tenant)
        if rate is None:
            return True
        level, since = self._buckets[tenant]
        level = min(max(1.0, rate * 1000.0 * QUOTA_BURST_S), level + rate * (now - since))
        within = level >= 1.0
        self._buckets[tenant] = (level - 1.0 if within else level, now)
        return within

    def admits(self, value: float, now: float) -> bool:
        """Whether to admit a request of this value; higher values may take more token debt."""
        admitted = True
        if self.limit < math.inf:
            level = self._tokens + self.limit * (now - self._tokens_at) / 1_000.0
            # The burst, as seconds of the limit, is longer in a large fleet: each proxy has a small
            # rate there, and chance alone would refuse many.
            burst = max(1.0, self.limit * min(0.42, 0.03 * self._settings.proxies**0.5))
            self._tokens, self._tokens_at = min(burst, level), now
            lower = sum(d for v, d in self._demand.items() if v < value)
            debt = (1.0 + self.limit * MAX_DEBT_MS / 1_000.0) * lower / sum(self._demand.values())
            higher = (
                sum(d for v, d in self._demand.items() if v > value) * 1_000.0 / DEMAND_DECAY_MS
            )
            admitted = self._tokens >= 1.0 - debt and higher < self.limit
            self._tokens -= admitted
        if now - self._admitted_at > ADMITTED_DECAY_MS / 20:
            fade = math.exp((self._admitted_at - now) / ADMITTED_DECAY_MS)
            self._admitted, self._admitted_at = self._admitted * fade, now
        self._admitted += admitted
        return admitted

    def record_outcome(
        self, badness: float, now: float, patient: bool, delay: float, target: float, queued: bool
    ) -> None:
        """Learn from a request that ended after `delay` ms, and adjust the limit.

        `badness`: 0 for an answer in time, 1 for no useful answer.  `target`: latency target in ms.
        `queued`: a failure shows queueing.  Requests of impatient clients count only while patient
        ones fail too.
        """
        if not patient and self._patient_failure_share <= MAX_FAILURE_SHARE:
            return
        elapsed, self._last_outcome_at = now - self._last_outcome_at, now
        self._outcome_count = self._outcome_count * math.exp(-elapsed / DEMAND_DECAY_MS) + 1.0
        # An outcome stands for the time since the previous one: few come after heavy shedding.
        weight = max(DEMAND_DECAY_MS / self._outcome_count, elapsed)
        step = min(MAX_FAILURE_STEP, weight / 1_000.0 / FAILURE_WINDOW_S)
        self._failure_share += step * (badness - self._failure_share)
        self._patient_failure_share += patient * step * (badness - self._patient_failure_share)
        self._failure_delay += step * badness * (delay - self._failure_delay)
        # After a start only a part of the decay time has been observed.
        observed = max(
            MIN_OBSERVED_SHARE, 1.0 - math.exp((self._started_at - now) / ADMITTED_DECAY_MS)
        )
        rate = self._admitted * 1_000.0 / ADMITTED_DECAY_MS / observed
        self._peak_rate = max(
            self._peak_rate * math.exp(-elapsed / PEAK_DECAY_MS), rate * (1.0 - self._failure_share)
        )
        if self.limit == math.inf:
            # A few failures at a quiet proxy can be chance, so a margin is required.
            if (
                self._failure_share - CHANCE_DEVIATIONS * math.sqrt(self._failure_share * step)
                > MAX_FAILURE_SHARE
            ):
                self._baseline = 0.0
                self.limit = max(INITIAL_LIMIT_FACTOR * rate, MIN_LIMIT_PER_S)
                self._tokens, self._tokens_at = 0.0, now
            return
        time = min(weight, MAX_OUTCOME_SPAN_MS)
        congestion = min(1.0, max(badness, (delay / target - EASE) / (1.0 - EASE)))
        change = (
            GAIN
            * (TARGET_CONGESTION + self._baseline - congestion)
            / (1.0 + self._failure_delay / DELAY_SCALE_MS)
        )
        self._baseline += (badness * (not queued) - self._baseline) * time / BASELINE_WINDOW_MS
        change *= (
            FAST_GROWTH_FACTOR
            if change > 0.0 and self.limit < FAST_GROWTH_BELOW * self._peak_rate
            else 1.0
        )
        self.limit *= math.exp(change * time / 1_000.0)
        self.limit = max(self.limit, MIN_SHARE_OF_PEAK * self._peak_rate, MIN_LIMIT_PER_S)
        # While requests still fail, a limit that nothing reaches stays close to the offered load.
        if self.limit > (ceiling := MAX_LIMIT_FACTOR * self._offered_load()):
            self.limit = math.inf if self._failure_share < MAX_FAILURE_SHARE else ceiling


class LoopOverload:
    """Detects that this proxy's event loop is the bottleneck, by how long commands wait to be read.

    Like CoDel it looks at the shortest wait in an interval: a burst or a pause delays some
    commands, a standing overload delays all.  Drawback: if the estimated wait never gets short,
    requests are refused that could be served.
    """

    def __init__(self) -> None:
        self._above_since = math.inf

    def record(self, waited: float, now: float) -> bool:
        """Take the wait (ms) of a command that was read; return whether the loop is overloaded."""
        if waited < LOOP_DELAY_TARGET_MS:
            self._above_since = math.inf
            return False
        self._above_since = min(self._above_since, now)
        return now - self._above_since >= LOOP_DELAY_INTERVAL_MS
