"""What outcomes tell: of a cache alone, of the load, of the origin."""

import math
from collections import deque

from .attempts import REDIRECTS, Pending
from .cache import OTHERS_ERRORS, RATIO_CAP, Attempt, Cache, Mean
from .caches import Caches
from .gate import Gate
from .messages import Judged, Outcome, RequestClass, Result, Settings

KEPT = 8_192  # keys of which is known who served them last
AWAY = 1_000.0  # ms until a cache that failed is asked again, by few
EJECT_SHARE = 0.4  # never eject more than this share of the caches
PROBE_EARN, PROBE_CAP = 0.03, 2.0  # requests that may ask an unproven cache, for each request
PROBE_GAIN = 2.0  # more of them for each that was answered: many come back at once
JAM = 0.2  # share of attempts that others leave full or late: below, a silent cache is alone
EJECT_ALONE = 0.8  # never more than this share, however well the others are
LIFE_SIGN = 300.0  # an answer this lately proves that a cache is there, broken connections or not
SUSPECT_SHARE = 0.25  # more caches than this do not lose their memory in one warm-up
ERROR_GAIN, ERROR_LIMIT = 0.1, 0.1  # with more errors lately, the origin suffers: no retries
OWN_ERRORS = 0.2  # share of errors from which a cache is at fault, if the others have few:
FAIR_ANSWERS = 10  # after this many, the time that most answers take is known
OVERDUE_DEVIATIONS = 2.0  # an attempt that was given less than this was cut off, not late


class Learning(Caches):
    """Who is at fault: what tells of the load goes to the gate, of a cache stays with it."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.gate = Gate(settings, now)  # of what some cache likely has
        self.fetches = Gate(settings, now, self.gate)  # of what goes on to the origin
        self.judged: deque[Judged] = deque(maxlen=256)  # for whoever tells other proxies
        self._kept: dict[int, tuple[Cache, float]] = {}  # by key: who served it last, and when
        self._answers: dict[str, Mean] = {}  # by class, of those who gave the caches time
        self._kinds: dict[str, Mean] = {}
        self._probes = PROBE_CAP
        self._silence = math.inf  # ms without an answer from which a cache is silent
        self._errors = self._overloads = 0.0
        self._answered_at = self._fetched = -math.inf  # by any; the latest quick miss was sent

    def _is_patient(self, cls: RequestClass, given: float) -> bool:
        """Whether a client gives the time that most answers take: these are the better witnesses.

        Harm: an overload that falls on none but hurried clients sheds nothing.
        """
        answers = self._answers.get(cls.name)
        if answers is None or answers.count < FAIR_ANSWERS:
            return True
        return given >= min(cls.aim, answers.value + answers.deviation)

    def _judge(self, pending: Pending, bad: float, queued: bool = False, fetch: float = 0) -> None:
        if pending.fair and not (bad and any(a.lost for a in pending.attempts)):
            took = self._now - pending.arrived_at - fetch
            pending.gate.learn(bad, self._now, pending.patient, took, pending.cls.aim, queued)
            if pending.patient:
                self.judged.append((pending.gate is self.gate, bad, took, pending.cls.aim, queued))

    def _fetch(self, cls: RequestClass) -> float:
        hits, misses = self._mean(cls, True), self._mean(cls, False)
        return max(0.0, misses.value - hits.value) * (min(hits.count, misses.count) >= FAIR_ANSWERS)

    def _overdue(self, cls: RequestClass, latency: float) -> bool:
        """Whether it was out for longer than nearly all that are answered, hits or misses."""
        known = [m for m in (self._mean(cls, True), self._mean(cls, False)) if m.count]
        return all(latency >= m.value + OVERDUE_DEVIATIONS * m.deviation for m in known)

    def _overtake(self, pending: Pending, attempt: Attempt, outcome: Outcome) -> None:
        """A quick answer tells of what was sent to the same cache earlier and is still out."""
        if outcome.result is not Result.OK:
            return
        mean = self._mean(pending.cls, outcome.hit is not False)
        if outcome.latency > mean.value + mean.deviation:
            return
        if outcome.hit is not True:
            self._fetched = max(self._fetched, attempt.sent_at)
        for earlier in attempt.cache.out:
            if earlier is attempt:
                break
            earlier.overtaken = True

    def _swallowed(self, cls: RequestClass, attempt: Attempt) -> bool:
        """Whether the cache, by all that can be seen, has lost it and does well otherwise.

        Told apart from a queue, a stall or a slow cache by quick answers to what was sent there
        later, from a jam at the origin by a quick miss since, from chance by the time it is out.
        Harm: a cache that serves the newest first looks like this in an overload.
        """
        passed = attempt.overtaken and self._fetched > attempt.sent_at
        return passed and self._overdue(cls, self._now - attempt.sent_at - attempt.stood)

    def _learn(self, pending: Pending, attempt: Attempt, outcome: Outcome) -> None:
        now, cache, result = self._now, attempt.cache, outcome.result
        self._learn_error(pending.cls, attempt, outcome)
        silent = now - cache.owing_since > self._silence
        full, late = result is Result.FULL, result is Result.LATE
        full_alone = full and silent and self._alone(attempt)
        attempt.lost = self._lost(pending, attempt) if late else full_alone
        late = late and not attempt.lost and self._overdue(pending.cls, outcome.latency)
        overloaded = (full and not silent) or late
        self._overloads += ERROR_GAIN * (overloaded - self._overloads)
        if result is Result.OK:
            if not pending.done:
                # Late for its fetch alone it tells of no queue, as when many caches are new.
                fetch = self._fetch(pending.cls) if outcome.hit is False else 0.0
                tardy = now - pending.arrived_at - fetch > pending.cls.aim
                self._judge(pending, (1.0 - pending.cls.late_value) * tardy, True, fetch)
            if cache.suspect:
                # Back after a break the list never showed: perhaps restarted, so cold.
                cache.suspect = False
                if self._may_suspect(now):
                    cache.cold_since = now
            self._prove(cache)
            cache.served_at = cache.owing_since = self._answered_at = now
            self._keep(pending.key, cache, pending.request.write)
            mean = self._mean(pending.cls, outcome.hit is not False)
            if mean.count >= 3:
                ratio = outcome.latency / max(mean.value, 0.1)
                cache.observe(ratio, now)
                self._kinds.setdefault(cache.kind, Mean(1.0)).add(min(ratio, RATIO_CAP))
            mean.add(outcome.latency)
            if pending.patient:  # the others' answers are the quick ones alone
                self._answers.setdefault(pending.cls.name, Mean(0.0)).add(outcome.latency)
        elif result in (Result.NO_CONNECTION, Result.RESET):
            # Connections that break at random sent nodes away that served all the while.  Harm:
            # a busy proxy goes on asking a cache that has died for LIFE_SIGN.
            if now - cache.served_at > LIFE_SIGN:
                # Nothing listens there: that hints at a restart, a reset alone does not.
                cache.suspect = cache.suspect or result is Result.NO_CONNECTION
                self._eject(cache, now)
        elif result in REDIRECTS:
            self._prove(cache)
        elif late or attempt.lost or full:
            cache.observe(RATIO_CAP if late else RATIO_CAP / 2, now)
            if attempt.lost and silent:
                self._eject(cache, now)

    def _keep(self, key: int, cache: Cache, written: bool) -> None:
        """It has the key from now on; after a write nobody has."""
        self._kept.pop(key, None)
        if not written:
            self._kept[key] = cache, self._now
            if len(self._kept) > KEPT:
                del self._kept[next(iter(self._kept))]

    def _is_kept(self, key: int) -> bool:
        """Whether a cache that would be asked likely has it: a cold one, or another place, not."""
        cache, at = self._kept.get(key, (None, 0.0))
        return cache is not None and at >= cache.cold_since and cache in self._placement(key, 2)

    def _prove(self, cache: Cache) -> None:
        """It answers: it is asked like any other, and more of those that were sent away are."""
        if self.unproven.pop(cache.id, None):
            cache.absent_until, self._probes = 0.0, self._probes + PROBE_GAIN

    def _lost(self, pending: Pending, attempt: Attempt) -> bool:
        """Whether what became of it tells of its cache alone, and not of the load."""
        out_for = self._now - attempt.sent_at - attempt.stood
        silent = attempt.cache.owing_since <= attempt.sent_at and out_for > self._silence
        return (silent and self._alone(attempt)) or self._swallowed(pending.cls, attempt)

    def _alone(self, attempt: Attempt) -> bool:
        """Whether other caches do well: they have answered since, and few are full or late."""
        return self._overloads < JAM and self._answered_at > attempt.sent_at

    def _learn_error(self, cls: RequestClass, attempt: Attempt, outcome: Outcome) -> None:
        """Whose errors they are: a cache's own, or the origin's, which all caches pass on.

        An error that takes longer than a hit may be the origin's.  Harm: where errors belong to
        keys that only one cache is asked for, that cache is away for no use.
        """
        cache = attempt.cache
        if outcome.result is not Result.ERROR:
            if outcome.result is Result.OK:
                cache.errors -= ERROR_GAIN * cache.errors
            self._errors -= ERROR_GAIN * self._errors
            return
        hit = self._mean(cls, True)
        if outcome.latency <= hit.value + hit.deviation:
            cache.errors += ERROR_GAIN * (1.0 - cache.errors)
            fails = cache.errors >= OWN_ERRORS and cache.listed and cache not in self._origins
            if fails and self._warmth(cache, self._now) >= 1.0:
                # Most others: of several at fault none may excuse the others.
                well = sum(c.errors < OTHERS_ERRORS for c in self._ready)
                attempt.own_error = well > len(self._ready) // 2
        if attempt.own_error:
            self._eject(cache, self._now)
        else:
            self._errors += ERROR_GAIN * (1.0 - self._errors)

    def _may_suspect(self, now: float) -> bool:
        """Whether one more may be held for cold, unlisted: a cut network looks like restarts."""
        settled = now - self.settings.warm_time  # who started before is warm
        cold = sum(c.cold_since > settled and self._warmth(c, now) < 1.0 for c in self._ready)
        return cold + 1 <= max(1.0, SUSPECT_SHARE * len(self._ready))

    def _eject(self, cache: Cache, now: float) -> None:
        """Leave it alone for a while, then ask it by few; never from too many at once."""
        absent = len(self.unproven) - (cache.id in self.unproven)
        most = EJECT_ALONE if self._overloads < JAM else EJECT_SHARE
        if not cache.listed or absent + 1 > most * len(self._ready):
            return  # of one that has gone nothing is kept: its name may come back
        self.unproven[cache.id] = cache
        cache.absent_until = now + AWAY * self._random.uniform(0.75, 1.25)
