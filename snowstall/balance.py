"""The request decisions of a sidecar proxy in front of a fleet of cache servers.

There is no I/O and no clock: events carry the time (ms), and randomness comes from the seed.
"""

import math
from collections.abc import Iterable

from . import messages
from .attempts import NEVER_RAN, REDIRECTS, RETRY_COST, Pending
from .cache import Attempt, Cache
from .choice import SPARE_CANDIDATES, Choice
from .gate import AdmissionLimiter, LoopOverload
from .learning import MAX_ERROR_SHARE, MIN_ANSWERS, PROBE_BURST, PROBE_RATE, RECENT_MS
from .messages import (
    Action,
    CacheState,
    Effect,
    ListKind,
    LoadSample,
    Member,
    Outcome,
    Reason,
    Request,
    Result,
    Settings,
)

RETRY_RATE, RETRY_BURST = 0.15, 6.0  # retry budget: earned by each request, and saved up at most
READMIT_MS = 30_000.0  # an ejected cache that no request could probe is used again after this
# A cache has stalled if it answers nothing for the slowest mean latency plus this many deviations,
# and for at least this many ms: `on_pause` is not called for shorter pauses of this process.
STALL_DEVIATIONS, MIN_STALL_MS = 4.0, 100.0
MIN_SUBSCRIBE_MS, SUBSCRIBE_MS_PER_PROXY = 500.0, 50.0  # longest random wait: least, per proxy
# Its bounds after a failed call, a timed-out watch, at a local agent: changes must arrive in 6 s.
MAX_SUBSCRIBE_MS, MAX_RENEW_MS, LOCAL_AGENT_MS = 1_500.0, 1_000.0, 50.0
HEDGE_DEVIATIONS = 3.0  # an answer this late, hit or miss, is probably stuck in an overload
MAX_HEDGE_SHARE = 0.7  # share of the latency target; a copy sent later would be answered late
RETURN_FACTOR, RETURN_SLACK_MS = 1.3, 100.0  # returns after backoff * factor + slack count as new
MIN_BACKOFF_MS = 40.0  # enough when nothing is shed: another cache may serve the retry
MAX_HOLD_SHARE = 0.5  # share of the client's time that a request waits for the first cache
TURN_BUDGET_MS = 15.0  # in overload, requests of the lowest value are accepted this long per turn
HIGH_VALUE_TURN_FACTOR = 2.0  # multiple of that budget for requests above the lowest value
MAX_PER_CONNECTION = 4  # requests accepted per connection and turn, so that each gets its share
LOOP_BACKOFF = 0.5  # share of the longest backoff: an overload of one proxy is over sooner


class Balancer(Choice):
    """Decides for one proxy: takes events in time order and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self._classes = {c.name: c for c in settings.classes}
        self._pending: dict[int, Pending] = {}
        self._held: dict[int, Pending] = {}
        self._retries = RETRY_BURST
        self._loop_overload = LoopOverload()
        self._subscribed = self._subscribing = False
        self._list_partial = False  # parts of the first list are missing
        self._subscribe_failures = 0

    def on_list(
        self, now: float, kind: ListKind, members: Iterable[Member], more: bool = False
    ) -> list[Action]:
        """Update the caches from changed entries or a full list; `more`: parts of it will follow.

        Without a ready cache requests wait for all parts: a partial ring would misplace keys.
        """
        self._advance_clock(now)
        actions: list[Action] = []
        if kind in (ListKind.FAILED, ListKind.TIMED_OUT):
            self._subscribed = self._subscribing = False
            self._subscribe_failures += 1
            self._subscribe_later(
                actions, kind is ListKind.TIMED_OUT and self._subscribe_failures == 1
            )
            return actions
        listed = {m.id: m for m in members}  # the later of two entries for one cache
        members = list(listed.values())
        if not self._caches and members:
            mean = sum(m.weight for m in members) / len(members)
            # Rounded to a power of two, so that proxies with slightly different lists agree.
            self._unit_weight = 2.0 ** round(math.log2(mean)) if mean > 0 else 1.0
        ready = [m for m in members if m.state is CacheState.READY]
        self._remove_leaving(listed, kind is not ListKind.CHANGES)
        joined = [cache for m in ready if (cache := self._update(m)) is not None]
        self._list_partial = more and (self._list_partial or not self._ready)
        self._join(joined)
        if kind is not ListKind.CACHED and self._subscribing:
            self._subscribing, self._subscribed, self._subscribe_failures = False, True, 0
        if kind is ListKind.CACHED and self.settings.must_subscribe:
            self._subscribe_later(actions)
        if not self._list_partial:
            for pending in list(self._held.values()):
                self._dispatch(pending, actions)
        return actions

    def on_settings(self, now: float, settings: Settings) -> list[Action]:
        """Apply new settings; requests already open keep the class they came with."""
        self._advance_clock(now)
        for limiter in (self.cache_limiter, self.origin_limiter):
            limiter.configure(settings, now)
        moved, self.settings = settings.zone != self.settings.zone, settings
        if moved:
            self._forget_orders()
        self._classes = {c.name: c for c in settings.classes}
        return []

    def on_discovery_moved(self, now: float) -> list[Action]:
        """Subscribe at discovery's new address; unless that fails, changes count as received."""
        self._advance_clock(now)
        self._subscribed, self._subscribing, self._subscribe_failures = False, True, 0
        return [messages.Subscribe()]

    def on_peer_reports(
        self, now: float, unhealthy: Iterable[int], samples: Iterable[LoadSample]
    ) -> list[Action]:
        """Apply other proxies' reports: eject unhealthy caches, pass samples to the limiters."""
        self._advance_clock(now)
        for cache in [self._caches[name] for name in unhealthy if name in self._caches]:
            if now >= cache.excluded_until:
                self._eject(cache, now)
        for cached, badness, took, target, queued in samples:
            (self.cache_limiter if cached else self.origin_limiter).record_outcome(
                badness, now, True, took, target, queued
            )
        return []

    def on_arrival(
        self, now: float, class_name: str, unread: float, left: float, spent: float, taken: int
    ) -> float | None:
        """Admit a command that was just read (None), or return the backoff in ms to refuse it with.

        `unread`: ms until it was read; `left`: ms that its client still waits; `spent`: ms of this
        event loop turn; `taken`: requests accepted from the same connection in this turn.
        """
        overloaded = self._loop_overload.record(unread, now)
        cls = self._classes.get(class_name)
        if cls is None or (left > 0.0 and not overloaded):
            return None
        answers = self._answer_times.get(class_name)
        least = answers.value if answers is not None and answers.count >= MIN_ANSWERS else 0.0
        lowest_value = min(c.value for c in self._classes.values())
        turn = TURN_BUDGET_MS * (HIGH_VALUE_TURN_FACTOR if cls.value > lowest_value else 1.0)
        if left > least and spent < turn and taken < MAX_PER_CONNECTION:
            return None
        wait = self.settings.max_backoff
        return min(wait, max(MIN_BACKOFF_MS, wait * LOOP_BACKOFF)) * self._random.uniform(0.5, 1.0)

    def on_request(self, now: float, request: Request) -> list[Action]:
        """Take a request, to be answered exactly once.  ValueError: id in use, or unknown class."""
        self._advance_clock(now)
        if request.id in self._pending:
            raise ValueError(f"request {request.id} is already pending")
        cls = self._classes.get(request.class_name)
        if cls is None:
            raise ValueError(f"request {request.id}: unknown class {request.class_name!r}")
        key = request.key if request.key is not None else self._random.getrandbits(52)
        # Two limits, so that an overloaded origin doesn't shed requests that caches can serve.
        cached = not request.write and (key in self.head or self._is_cached(key))
        limiter = self.cache_limiter if cached else self.origin_limiter
        patient = self._is_patient(cls, request.give_up_at - now)
        pending = Pending(request, cls, now, key, limiter, patient)
        self._pending[request.id] = pending
        self._retries = min(RETRY_BURST, self._retries + RETRY_RATE * self._admitted_share())
        if self.ejected:
            self._probes = min(PROBE_BURST, self._probes + PROBE_RATE)
        value = limiter.record_request(cls, request.tenant, key, request.give_up_at - now, now)
        if request.key is not None:
            self._key_counts.add(key, now)
        if now >= self._head_due:
            self._refresh_head(now)
            for cache in [c for c in self.ejected.values() if now - c.excluded_until > READMIT_MS]:
                del self.ejected[cache.id]  # unprobed: too little traffic, or nothing PURE
            known = [m for m in self._latencies.values() if m.count >= MIN_ANSWERS]
            stalls = (max(MIN_STALL_MS, m.value + STALL_DEVIATIONS * m.deviation) for m in known)
            self._stalled_after = max(stalls, default=math.inf)
        actions: list[Action] = []
        if limiter.admits(value, now):
            self._dispatch(pending, actions)
        else:  # incident i2c4cb1: with nothing shed, full queues answered every request late
            self._end_unserved(pending, actions, Reason.ADMISSION)
        return actions

    def on_outcome(self, now: float, outcome: Outcome) -> list[Action]:
        """Take the outcome of an attempt; one for an attempt that has ended is ignored."""
        self._advance_clock(now)
        actions: list[Action] = []
        pending = self._pending.get(outcome.request_id)
        if pending is None or not 0 <= outcome.attempt < len(pending.attempts):
            return actions
        attempt = pending.attempts[outcome.attempt]
        if not attempt.in_flight:
            return actions
        outcome.latency = max(0.0, outcome.latency - attempt.paused_ms)
        attempt.in_flight = False
        attempt.ran = outcome.result not in NEVER_RAN
        self._mark_overtaken(pending, attempt, outcome)
        del attempt.cache.in_flight[attempt]
        self._learn_outcome(pending, attempt, outcome)
        if not attempt.cache.in_flight:
            attempt.cache.unanswered_since = math.inf
        if outcome.closed or outcome.result is Result.OK:
            self._finish_and_cancel(pending, actions)
        elif not pending.done and not pending.outstanding():
            self._retry_or_end(pending, outcome, actions)
        self._forget(pending)
        return actions

    def on_pause(self, now: float, lasted: float) -> list[Action]:
        """This process was paused for `lasted` ms: don't count that time against the caches."""
        self._advance_clock(now)
        for pending in self._pending.values():
            pending.paused = True  # sent_at stays: repeat windows run on during a pause
            for attempt in pending.attempts:
                attempt.paused_ms += lasted * attempt.in_flight
        for cache in self._caches.values():
            cache.unanswered_since += lasted
        return []

    def on_response_started(self, now: float, request_id: int) -> list[Action]:
        """A streamed answer has begun: the request can't be retried, hedged or cancelled now."""
        self._advance_clock(now)
        pending = self._pending.get(request_id)
        if pending is not None:
            pending.streaming = True
        return []

    def on_client_gone(self, now: float, request_id: int) -> list[Action]:
        """The client disconnected: send nothing more and give no final answer."""
        self._advance_clock(now)
        actions: list[Action] = []
        pending = self._pending.get(request_id)
        if pending is not None:
            for attempt in pending.attempts:
                attempt.cache_fault = attempt.cache_fault or self._is_cache_fault(pending, attempt)
            if pending.outstanding() and now - pending.arrived_at > pending.cls.latency_target:
                self._record_load(pending, 1.0)  # already late when the client left
            self._finish_and_cancel(pending, actions)
        return actions

    def on_timer(self, now: float, label: int) -> list[Action]:
        """A timer has fired: subscribe, resize caches, end a held request, or send a hedge."""
        self._advance_clock(now)
        actions: list[Action] = []
        if label == messages.HOUSEKEEPING:
            if not self._subscribed and not self._subscribing:
                self._subscribing = True
                actions.append(messages.Subscribe())
            return actions
        if label == messages.RESIZING:
            return self._resize_some()
        pending = self._pending.get(label)
        if pending is None or pending.done:
            return actions
        if label in self._held:
            self._end_unserved(pending, actions, Reason.NO_NODE)
        elif pending.outstanding() == 1 and not pending.streaming and self._may_hedge():
            cache = self._untried_cache(pending, now)
            if cache is not None and len(pending.attempts) < self.settings.max_attempts:
                self._retries -= 1.0
                self._send(pending, cache, actions, asking=False)
        return actions

    def _subscribe_later(self, actions: list[Action], soon: bool = False) -> None:
        """Schedule a subscription after a random wait: discovery rejects a whole fleet at once."""
        bound = min(MAX_RENEW_MS if soon else MAX_SUBSCRIBE_MS, self.settings.subscribe_within / 2)
        wait = min(bound, max(MIN_SUBSCRIBE_MS, SUBSCRIBE_MS_PER_PROXY * self.settings.proxies))
        if self.settings.local_agent:
            wait = LOCAL_AGENT_MS * 2.0 ** min(2, self._subscribe_failures)
        actions.append(messages.Timer(wait * self._random.uniform(0.02, 1), messages.HOUSEKEEPING))

    def _dispatch(self, pending: Pending, actions: list[Action]) -> None:
        cache = None
        if not self._list_partial:
            cache = self._owner(pending, pending.request.owner) or self._choose(pending, self._now)
        if cache is not None:
            self._held.pop(pending.request.id, None)
            self._send(pending, cache, actions, asking=False)
            self._plan_hedge(pending, actions)
        elif self._ready and not self._list_partial:  # no cache may take it: waiting won't help
            self._record_load(pending, 1.0)
            self._end_unserved(pending, actions, Reason.NO_NODE)
        elif pending.request.id not in self._held:
            self._held[pending.request.id] = pending
            wait = MAX_HOLD_SHARE * max(0.0, pending.request.give_up_at - self._now)
            actions.append(messages.Timer(wait, pending.request.id))

    def _send(self, pending: Pending, cache: Cache, actions: list[Action], asking: bool) -> None:
        now = self._now
        attempt = Attempt(cache, now)
        pending.attempts.append(attempt)
        cache.count_send(attempt, now)
        deliver_by = 0.0
        if pending.cls.effect is Effect.KEYED:
            # A network path that recovers may deliver it after all caches have forgotten the key.
            deliver_by = pending.attempts[0].sent_at + pending.cls.repeat_window
        actions.append(messages.Send(pending.request.id, cache.id, 0.0, deliver_by, asking))

    def _may_hedge(self) -> bool:
        affordable = self.settings.can_hedge and self._retries >= 1.0
        return affordable and self._error_share < MAX_ERROR_SHARE and self._admitted_share() >= 1.0

    def _admitted_share(self) -> float:  # of both limiters: the next cache may miss
        return min(self.cache_limiter.admitted_share, self.origin_limiter.admitted_share)

    def _plan_hedge(self, pending: Pending, actions: list[Action]) -> None:
        cls = pending.cls
        if cls.effect is Effect.UNSAFE or not self._may_hedge():
            return
        # Scenario alumni-tunis quiet: overdue requests were misses, and copies fetched them again.
        times = [m for m in (self._mean(cls, True), self._mean(cls, False)) if m.count]
        delay = max((m.value + HEDGE_DEVIATIONS * m.deviation for m in times), default=0.0)
        if sum(m.count for m in times) >= 10 and delay < MAX_HEDGE_SHARE * cls.latency_target:
            actions.append(messages.Timer(delay, pending.request.id))

    def _retry_or_end(self, pending: Pending, outcome: Outcome, actions: list[Action]) -> None:
        """The last attempt has failed and none is in flight: retry or give the final answer."""
        now, result = self._now, outcome.result
        if pending.streaming or now >= pending.request.give_up_at or result is Result.NEVER_SENT:
            self._record_load(pending, 1.0)  # after NEVER_SENT, a retry has no socket either
            self._end_unserved(pending, actions, failed=pending.streaming)
            return
        cache, cost = None, RETRY_COST.get(result, 1.0)
        of_origin = result is Result.ERROR and not pending.attempts[-1].cache_error
        if len(pending.attempts) < self.settings.max_attempts:
            if result in REDIRECTS:  # not a failure: costs no retry budget
                cache = self._owner(pending, outcome.redirect_to)
            elif result is Result.MISS and self._origins:
                cache = self._cheapest(self._origins, now)  # a miss goes on to the origin
            elif self._retries >= cost and not (of_origin and self._error_share >= MAX_ERROR_SHARE):
                cache = self._same_cache(pending, result, now) or self._untried_cache(pending, now)
                if cache is not None:
                    self._retries -= cost
        if cache is not None and pending.may_send(cache, now):
            self._send(pending, cache, actions, asking=result is Result.ASK)
        else:
            # Errors count as queueing: an overloaded origin recovers only under less load.
            self._record_load(pending, 1.0, result in (Result.FULL, Result.ERROR))
            self._end_unserved(pending, actions)

    def _same_cache(self, pending: Pending, result: Result, now: float) -> Cache | None:
        """Return the same cache, which has the key, if only its connection failed."""
        cache = pending.attempts[-1].cache
        live = cache.listed and now >= cache.excluded_until and now - cache.served_at <= RECENT_MS
        if result not in RETRY_COST or not live or self._warmth(cache, now) < 1.0:
            return None
        once = sum(a.cache is cache for a in pending.attempts) == 1
        return cache if once and pending.may_send(cache, now) else None

    def _untried_cache(self, pending: Pending, now: float) -> Cache | None:
        """Return the next warm cache in the key's order; cold ones get no retries."""
        tried = {a.cache.id for a in pending.attempts}
        for cache in self._placement(pending.key, 2 + SPARE_CANDIDATES):
            usable = cache.id not in tried and self._is_available(cache, now)
            if usable and self._warmth(cache, now) >= 1.0 and pending.may_send(cache, now):
                return cache
        return None

    def _end_unserved(
        self,
        pending: Pending,
        actions: list[Action],
        reason: Reason = Reason.ATTEMPTS,
        failed: bool = False,
    ) -> None:
        """Give the final answer of a request that was not served: refuse it if a retry is safe."""
        wait = self._backoff(pending.limiter)
        if not failed and pending.may_refuse(self._now + wait):
            timeout = pending.request.give_up_at - pending.arrived_at
            back_within = wait * RETURN_FACTOR + RETURN_SLACK_MS
            pending.limiter.record_refusal(pending.key, timeout, self._now, back_within)
            actions.append(messages.Refuse(pending.request.id, wait, reason))
        else:
            actions.append(messages.Fail(pending.request.id, reason))
        self._finish_and_cancel(pending, actions)

    def _backoff(self, limiter: AdmissionLimiter) -> float:
        """Return a random backoff in ms that grows with the share of the load that is shed."""
        bound = self.settings.max_backoff
        wait = min(bound, max(MIN_BACKOFF_MS, bound * (1.0 - limiter.admitted_share)))
        return wait * self._random.uniform(0.5, 1.0)

    def _finish_and_cancel(self, pending: Pending, actions: list[Action]) -> None:
        if pending.done:
            return
        pending.done = True
        self._held.pop(pending.request.id, None)
        if self.settings.can_cancel and not pending.streaming:
            for number, attempt in enumerate(pending.attempts):
                if attempt.in_flight:
                    actions.append(messages.Cancel(pending.request.id, number))
        self._forget(pending)

    def _forget(self, pending: Pending) -> None:
        if pending.done and not pending.outstanding():
            self._pending.pop(pending.request.id, None)
