"""Attributes outcomes: to one cache, to the load, or to the origin."""

import math
from collections import deque

from .attempts import REDIRECTS, Pending
from .cache import HEALTHY_ERROR_SHARE, MAX_LATENCY_RATIO, Attempt, Cache, Mean
from .caches import Caches
from .gate import AdmissionLimiter
from .messages import LoadSample, Outcome, RequestClass, Result, Settings

MAX_KNOWN_KEYS = 8_192  # keys whose last server is remembered
EJECTION_MS = 1_000.0  # time until a failed cache gets its first probes
MAX_EJECTED_SHARE = 0.4  # max share of the caches that may be ejected
PROBE_RATE, PROBE_BURST = 0.03, 2.0  # probe budget: earned by each request, and to start with
PROBES_PER_RECOVERY = 2.0  # probes added after an answered one: many caches recover at once
# Share of full or late attempts; below it an unresponsive cache is a single cache's fault.
CONGESTED_SHARE = 0.2
MAX_EJECTED_CALM = 0.8  # max share of the caches to eject while fewer attempts are full or late
RECENT_MS = 300.0  # a cache that answered this recently is up, even if its connections break
MAX_PRESUMED_COLD_SHARE = 0.25  # more caches than this don't restart within one warm-up
ERROR_GAIN, MAX_ERROR_SHARE = 0.1, 0.1  # above that error share the origin fails: no retries
# Error share from which a cache is at fault, if most others have few errors.
FAULTY_ERROR_SHARE = 0.2
MIN_ANSWERS = 10  # number of answers from which a mean latency counts as known
OVERDUE_DEVIATIONS = 2.0  # an attempt that had less time than this was cut off, not late


class Learning(Caches):
    """Learns from outcomes: overload adjusts the admission limits, a cache's faults eject it."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        # One limit for requests that some cache likely has, one for those that reach the origin.
        self.cache_limiter = AdmissionLimiter(settings, now)
        self.origin_limiter = AdmissionLimiter(settings, now, self.cache_limiter)
        # Outcomes to share with other proxies.
        self.load_samples: deque[LoadSample] = deque(maxlen=256)
        # By key: the cache that served it last, and when.
        self._last_servers: dict[int, tuple[Cache, float]] = {}
        # Mean answer time of patient clients' requests, by class.
        self._answer_times: dict[str, Mean] = {}
        self._kinds: dict[str, Mean] = {}  # latency relative to the class mean, by kind of cache
        self._probes = PROBE_BURST
        self._stalled_after = math.inf  # ms without an answer after which a cache has stalled
        self._error_share = self._overload_share = 0.0
        # When any cache answered last, and when the latest quick miss was sent.
        self._last_answer_at = self._quick_miss_sent_at = -math.inf

    def _is_patient(self, cls: RequestClass, given: float) -> bool:
        """Whether a client allows the time that most answers take.

        Failures of impatient clients say less about the load.  Drawback: an overload that hits only
        impatient clients sheds nothing.
        """
        answers = self._answer_times.get(cls.name)
        if answers is None or answers.count < MIN_ANSWERS:
            return True
        return given >= min(cls.latency_target, answers.value + answers.deviation)

    def _record_load(
        self, pending: Pending, badness: float, queued: bool = False, fetch_time: float = 0
    ) -> None:
        """Report how a request ended to its limiter, and to other proxies if the client is patient.

        Requests that say nothing about the load, and failures of a single cache, are left out.
        """
        if pending.representative and not (
            badness and any(a.cache_fault for a in pending.attempts)
        ):
            took = self._now - pending.arrived_at - fetch_time
            pending.limiter.record_outcome(
                badness, self._now, pending.patient, took, pending.cls.latency_target, queued
            )
            if pending.patient:
                self.load_samples.append(
                    (
                        pending.limiter is self.cache_limiter,
                        badness,
                        took,
                        pending.cls.latency_target,
                        queued,
                    )
                )

    def _fetch_time(self, cls: RequestClass) -> float:
        """Return how much longer misses take than hits on average; 0 while that is unknown."""
        hits, misses = self._mean(cls, True), self._mean(cls, False)
        return max(0.0, misses.value - hits.value) * (min(hits.count, misses.count) >= MIN_ANSWERS)

    def _is_overdue(self, cls: RequestClass, latency: float) -> bool:
        """Whether an attempt took longer than nearly all answers do, hits and misses alike."""
        known = [m for m in (self._mean(cls, True), self._mean(cls, False)) if m.count]
        return all(latency >= m.value + OVERDUE_DEVIATIONS * m.deviation for m in known)

    def _mark_overtaken(self, pending: Pending, attempt: Attempt, outcome: Outcome) -> None:
        """After a quick answer mark the attempts sent to the same cache earlier as overtaken."""
        if outcome.result is not Result.OK:
            return
        mean = self._mean(pending.cls, outcome.hit is not False)
        if outcome.latency > mean.value + mean.deviation:
            return
        if outcome.hit is not True:
            self._quick_miss_sent_at = max(self._quick_miss_sent_at, attempt.sent_at)
        for earlier in attempt.cache.in_flight:
            if earlier is attempt:
                break
            earlier.overtaken = True

    def _looks_dropped(self, cls: RequestClass, attempt: Attempt) -> bool:
        """Whether the cache has probably dropped the request, and is healthy otherwise.

        Quick answers to later attempts there rule out a queue, a stall and a slow cache; a later
        quick miss rules out an overloaded origin; the time in flight rules out chance.  Drawback: a
        cache that serves the newest request first looks the same in an overload.
        """
        overtaken = attempt.overtaken and self._quick_miss_sent_at > attempt.sent_at
        return overtaken and self._is_overdue(cls, self._now - attempt.sent_at - attempt.paused_ms)

    def _learn_outcome(self, pending: Pending, attempt: Attempt, outcome: Outcome) -> None:
        now, cache, result = self._now, attempt.cache, outcome.result
        self._learn_error(pending.cls, attempt, outcome)
        stalled = now - cache.unanswered_since > self._stalled_after
        full, late = result is Result.FULL, result is Result.LATE
        full_by_fault = full and stalled and self._others_are_healthy(attempt)
        attempt.cache_fault = self._is_cache_fault(pending, attempt) if late else full_by_fault
        late = late and not attempt.cache_fault and self._is_overdue(pending.cls, outcome.latency)
        overloaded = (full and not stalled) or late
        self._overload_share += ERROR_GAIN * (overloaded - self._overload_share)
        if result is Result.OK:
            if not pending.done:
                # A target missed only because of the fetch shows no queue: many caches may be new.
                fetch_time = self._fetch_time(pending.cls) if outcome.hit is False else 0.0
                missed_target = now - pending.arrived_at - fetch_time > pending.cls.latency_target
                self._record_load(
                    pending, (1.0 - pending.cls.late_value) * missed_target, True, fetch_time
                )
            if cache.maybe_restarted:
                # It was down although it stayed listed, so it may have restarted and be cold.
                cache.maybe_restarted = False
                if self._may_presume_cold(now):
                    cache.cold_since = now
            self._readmit(cache)
            cache.served_at = cache.unanswered_since = self._last_answer_at = now
            self._remember_server(pending.key, cache, pending.request.write)
            mean = self._mean(pending.cls, outcome.hit is not False)
            if mean.count >= 3:
                ratio = outcome.latency / max(mean.value, 0.1)
                cache.observe(ratio, now)
                self._kinds.setdefault(cache.kind, Mean(1.0)).add(min(ratio, MAX_LATENCY_RATIO))
            mean.add(outcome.latency)
            if pending.patient:  # impatient clients see only the quick answers
                self._answer_times.setdefault(pending.cls.name, Mean(0.0)).add(outcome.latency)
        elif result in (Result.NO_CONNECTION, Result.RESET):
            # Random connection failures used to eject caches that kept serving.  Drawback: a busy
            # proxy goes on sending to a crashed cache for RECENT_MS.
            if now - cache.served_at > RECENT_MS:
                # A failed connect hints at a restart; a reset alone does not.
                cache.maybe_restarted = cache.maybe_restarted or result is Result.NO_CONNECTION
                self._eject(cache, now)
        elif result in REDIRECTS:
            self._readmit(cache)
        elif late or attempt.cache_fault or full:
            cache.observe(MAX_LATENCY_RATIO if late else MAX_LATENCY_RATIO / 2, now)
            if attempt.cache_fault and stalled:
                self._eject(cache, now)

    def _remember_server(self, key: int, cache: Cache, written: bool) -> None:
        """Remember that this cache has the key now; after a write no cache has it."""
        self._last_servers.pop(key, None)
        if not written:
            self._last_servers[key] = cache, self._now
            if len(self._last_servers) > MAX_KNOWN_KEYS:
                del self._last_servers[next(iter(self._last_servers))]

    def _is_cached(self, key: int) -> bool:
        """Whether the key's last server likely still has it and is one of its candidates."""
        cache, at = self._last_servers.get(key, (None, 0.0))
        return cache is not None and at >= cache.cold_since and cache in self._placement(key, 2)

    def _readmit(self, cache: Cache) -> None:
        """Use an ejected cache again, since it has answered, and allow more probes of others."""
        if self.ejected.pop(cache.id, None):
            cache.excluded_until, self._probes = 0.0, self._probes + PROBES_PER_RECOVERY

    def _is_cache_fault(self, pending: Pending, attempt: Attempt) -> bool:
        """Whether the attempt's outcome is the fault of its cache alone, and not of the load."""
        elapsed = self._now - attempt.sent_at - attempt.paused_ms
        stalled = (
            attempt.cache.unanswered_since <= attempt.sent_at and elapsed > self._stalled_after
        )
        return (stalled and self._others_are_healthy(attempt)) or self._looks_dropped(
            pending.cls, attempt
        )

    def _others_are_healthy(self, attempt: Attempt) -> bool:
        """Whether other caches have answered since the attempt, and few are full or late."""
        return self._overload_share < CONGESTED_SHARE and self._last_answer_at > attempt.sent_at

    def _learn_error(self, cls: RequestClass, attempt: Attempt, outcome: Outcome) -> None:
        """Attribute an error to its cache, or to the origin, whose errors all caches pass on.

        An error that takes longer than a hit may come from the origin.  Drawback: if the errors
        belong to keys that only one cache serves, ejecting that cache doesn't help.
        """
        cache = attempt.cache
        if outcome.result is not Result.ERROR:
            if outcome.result is Result.OK:
                cache.error_share -= ERROR_GAIN * cache.error_share
            self._error_share -= ERROR_GAIN * self._error_share
            return
        hit = self._mean(cls, True)
        if outcome.latency <= hit.value + hit.deviation:
            cache.error_share += ERROR_GAIN * (1.0 - cache.error_share)
            faulty = (
                cache.error_share >= FAULTY_ERROR_SHARE
                and cache.listed
                and cache not in self._origins
            )
            if faulty and self._warmth(cache, self._now) >= 1.0:
                # Most others must be healthy: several faulty caches must not excuse each other.
                healthy = sum(c.error_share < HEALTHY_ERROR_SHARE for c in self._ready)
                attempt.cache_error = healthy > len(self._ready) // 2
        if attempt.cache_error:
            self._eject(cache, self._now)
        else:
            self._error_share += ERROR_GAIN * (1.0 - self._error_share)

    def _may_presume_cold(self, now: float) -> bool:
        """Whether one more cache may be presumed cold: a network partition looks like restarts."""
        settled = now - self.settings.warm_time  # caches that started before are warm
        cold = sum(c.cold_since > settled and self._warmth(c, now) < 1.0 for c in self._ready)
        return cold + 1 <= max(1.0, MAX_PRESUMED_COLD_SHARE * len(self._ready))

    def _eject(self, cache: Cache, now: float) -> None:
        """Send the cache nothing for a while, then only probes; never eject too many at once."""
        ejected = len(self.ejected) - (cache.id in self.ejected)
        limit = MAX_EJECTED_CALM if self._overload_share < CONGESTED_SHARE else MAX_EJECTED_SHARE
        if not cache.listed or ejected + 1 > limit * len(self._ready):
            return  # an unlisted cache's id may be used again, so nothing is kept of it
        self.ejected[cache.id] = cache
        cache.excluded_until = now + EJECTION_MS * self._random.uniform(0.75, 1.25)
