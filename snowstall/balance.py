"""The decisions of a sidecar proxy that spreads keys over cache servers.

D-Choices ("When Two Choices Are not Enough"): SpaceSaving counts keys, tail keys have two hashed
candidates, head keys d of them, the one with the least local load gets the request.  No I/O, no
clock, no globals: time (ms) comes in with each event, actions go out, randomness is the seed's.
"""

import math
from collections.abc import Iterable

from . import messages
from .attempts import NEVER_RAN, REDIRECTS, RETRY_COST, Pending
from .cache import Attempt, Cache
from .choice import SPARE_CANDIDATES, Choice
from .gate import Gate, OwnLoad
from .learning import ERROR_LIMIT, FAIR_ANSWERS, LIFE_SIGN, PROBE_CAP, PROBE_EARN
from .messages import (
    Action,
    CacheState,
    Effect,
    Judged,
    ListKind,
    Member,
    Outcome,
    Reason,
    Request,
    Result,
    Settings,
)

RETRY_EARN, RETRY_CAP = 0.15, 6.0  # further attempts per request, and saved up at most
FORGIVEN = 30_000.0  # ms until it is asked like any other though nothing could ask it
SILENCE, STALL = 4.0, 100.0  # deviations beyond the slowest mean: silent; ms of our own, untold
ASK_LEAST, ASK_SPREAD = 500.0, 50.0  # wait before asking discovery: at least, and a proxy
ASK_MOST, ASK_SILENT, ASK_AGENT = 1_500.0, 1_000.0, 50.0  # at most: all counts as told after 6 s
HEDGE_DEVIATIONS = 3.0  # an answer, hit or miss, this late is likely stuck in a jam
HEDGE_LATEST = 0.7  # share of the aim; later, a second copy comes too late itself
RETURN_SPREAD, RETURN_SLACK = 1.3, 100.0  # of the wait told, and ms: who is back later is new
LEAST_BACKOFF = 40.0  # with nothing shed a moment is enough: another cache may take it
HELD_SHARE = 0.5  # with no cache known, wait this share of the client's time
OWN_TURN = 15.0  # ms of a loop's turn in which it still takes on what is worth least
OWN_WORTHY = 2.0  # times that, for what is worth more
OWN_EACH = 4  # requests of one connection taken on in a turn: the others wait for theirs
OWN_BACKOFF = 0.5  # share of the longest backoff: an overload of one proxy is over sooner


class Balancer(Choice):
    """One proxy's decisions.  Feed it events in time order; carry out what it returns."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self._classes = {c.name: c for c in settings.classes}
        self._pending: dict[int, Pending] = {}
        self._held: dict[int, Pending] = {}
        self._budget = RETRY_CAP
        self._own = OwnLoad()
        self._subscribed = self._asking = False
        self._filling = False  # the first list is not whole yet
        self._ask_failures = 0

    def on_list(
        self, now: float, kind: ListKind, members: Iterable[Member], more: bool = False
    ) -> list[Action]:
        """News of the caches: the changed entries, or all of them.

        `more`: the rest of this list follows in further calls.  If there was no cache before it,
        requests are held until then: part of a list would lead keys to caches that are not theirs.
        """
        self._tick(now)
        actions: list[Action] = []
        if kind in (ListKind.FAILED, ListKind.SILENT):
            self._subscribed = self._asking = False
            self._ask_failures += 1
            self._ask_later(actions, kind is ListKind.SILENT and self._ask_failures == 1)
            return actions
        listed = {m.id: m for m in members}  # of two entries for one cache, the later
        members = list(listed.values())
        if not self._caches and members:
            mean = sum(m.weight for m in members) / len(members)
            # A power of two, so that proxies with slightly different lists agree.
            self._unit_weight = 2.0 ** round(math.log2(mean)) if mean > 0 else 1.0
        ready = [m for m in members if m.state is CacheState.READY]
        leaving = [m.id for m in members if m.state is not CacheState.READY]
        if kind is not ListKind.CHANGES:
            leaving += [cache_id for cache_id in self._caches if cache_id not in listed]
        self._drop([self._caches[name] for name in leaving if name in self._caches])
        fresh = [cache for m in ready if (cache := self._update(m)) is not None]
        self._filling = more and (self._filling or not self._ready)
        self._join(fresh)
        if kind is not ListKind.CACHED and self._asking:
            self._asking, self._subscribed, self._ask_failures = False, True, 0
        if kind is ListKind.CACHED and self.settings.must_subscribe:
            self._ask_later(actions)
        if not self._filling:
            for pending in list(self._held.values()):
                self._start(pending, actions)
        return actions

    def on_settings(self, now: float, settings: Settings) -> list[Action]:
        """New figures hold from here on; open requests keep those they came under."""
        self._tick(now)
        for gate in (self.gate, self.fetches):
            gate.configure(settings, now)
        moved, self.settings = settings.zone != self.settings.zone, settings
        if moved:
            self._forget_orders()
        self._classes = {c.name: c for c in settings.classes}
        return []

    def on_discovery_moved(self, now: float) -> list[Action]:
        """Discovery answers elsewhere from now on: asked at once, silence counts as knowing."""
        self._tick(now)
        self._subscribed, self._asking, self._ask_failures = False, True, 0
        return [messages.Subscribe()]

    def on_others(self, now: float, bad: Iterable[int], outcomes: Iterable[Judged]) -> list[Action]:
        """What others met: caches are sent away as by own evidence, and only that; of the load."""
        self._tick(now)
        for cache in [self._caches[name] for name in bad if name in self._caches]:
            if now >= cache.absent_until:
                self._eject(cache, now)
        for kept, badness, took, aim, queued in outcomes:
            (self.gate if kept else self.fetches).learn(badness, now, True, took, aim, queued)
        return []

    def on_arrival(
        self, now: float, class_name: str, stood: float, left: float, spent: float, taken: int
    ) -> float | None:
        """A command was read after it `stood` unread, its client has `left`; times in ms.

        None: it becomes a request.  Else it is refused with this backoff, nothing of it having
        been sent.  `spent` is how long the loop's turn has lasted, `taken` what the same
        connection was given in it: the rest belongs to what was accepted, or to others.
        """
        standing = self._own.note(stood, now)
        cls = self._classes.get(class_name)
        if cls is None or (left > 0.0 and not standing):
            return None
        answers = self._answers.get(class_name)
        least = answers.value if answers is not None and answers.count >= FAIR_ANSWERS else 0.0
        least_worth = min(c.worth for c in self._classes.values())
        turn = OWN_TURN * (OWN_WORTHY if cls.worth > least_worth else 1.0)
        if left > least and spent < turn and taken < OWN_EACH:
            return None
        wait = self.settings.max_backoff
        return min(wait, max(LEAST_BACKOFF, wait * OWN_BACKOFF)) * self._random.uniform(0.5, 1.0)

    def on_request(self, now: float, request: Request) -> list[Action]:
        """A client's request: this balancer now owes exactly one final answer."""
        self._tick(now)
        if request.id in self._pending:
            raise ValueError(f"request {request.id} was given before")
        cls = self._classes.get(request.class_name)
        if cls is None:
            raise ValueError(f"request {request.id}: unknown class {request.class_name!r}")
        key = request.key if request.key is not None else self._random.getrandbits(52)
        # Two limits: an origin that can't keep up must not shut what needs nothing of it.
        kept = not request.write and (key in self.head or self._is_kept(key))
        gate = self.gate if kept else self.fetches
        patient = self._is_patient(cls, request.give_up_at - now)
        pending = Pending(request, cls, now, key, gate, patient)
        self._pending[request.id] = pending
        self._budget = min(RETRY_CAP, self._budget + RETRY_EARN * self._open())
        if self.unproven:
            self._probes = min(PROBE_CAP, self._probes + PROBE_EARN)
        worth = gate.count(cls, request.tenant, key, request.give_up_at - now, now)
        if request.key is not None:
            self._table.add(key, now)
        if now >= self._head_due:
            self._refresh_head(now)
            for cache in [c for c in self.unproven.values() if now - c.absent_until > FORGIVEN]:
                del self.unproven[cache.id]  # too little traffic, or none that is harmless
            known = [m for m in self._times.values() if m.count >= FAIR_ANSWERS]
            silences = (max(STALL, m.value + SILENCE * m.deviation) for m in known)
            self._silence = max(silences, default=math.inf)
        actions: list[Action] = []
        if gate.admits(worth, now):
            self._start(pending, actions)
        else:  # incident i2c4cb1: with nothing shed, full queues answer everybody too late
            self._end(pending, actions, Reason.ADMISSION)
        return actions

    def on_outcome(self, now: float, outcome: Outcome) -> list[Action]:
        """How an attempt ended; late or repeated news is ignored."""
        self._tick(now)
        actions: list[Action] = []
        pending = self._pending.get(outcome.request_id)
        if pending is None or not 0 <= outcome.attempt < len(pending.attempts):
            return actions
        attempt = pending.attempts[outcome.attempt]
        if not attempt.out:
            return actions
        outcome.latency = max(0.0, outcome.latency - attempt.stood)
        attempt.out = False
        attempt.ran = outcome.result not in NEVER_RAN
        self._overtake(pending, attempt, outcome)
        del attempt.cache.out[attempt]
        self._learn(pending, attempt, outcome)
        if not attempt.cache.out:
            attempt.cache.owing_since = math.inf
        if outcome.closed or outcome.result is Result.OK:
            self._finish(pending, actions)
        elif not pending.done and not pending.outstanding():
            self._go_on(pending, outcome, actions)
        self._forget(pending)
        return actions

    def on_pause(self, now: float, lasted: float) -> list[Action]:
        """This process stood still for `lasted` ms, which tells nothing of the caches."""
        self._tick(now)
        for pending in self._pending.values():
            pending.paused = True  # windows of repeats go on running: sent_at stays
            for attempt in pending.attempts:
                attempt.stood += lasted * attempt.out
        for cache in self._caches.values():
            cache.owing_since += lasted
        return []

    def on_started(self, now: float, request_id: int) -> list[Action]:
        """A streamed answer has begun: it belongs to the client, deadlines no longer run."""
        self._tick(now)
        pending = self._pending.get(request_id)
        if pending is not None:
            pending.streaming = True
        return []

    def on_gone(self, now: float, request_id: int) -> list[Action]:
        """The client went away: nothing more is owed or sent."""
        self._tick(now)
        actions: list[Action] = []
        pending = self._pending.get(request_id)
        if pending is not None:
            for attempt in pending.attempts:
                attempt.lost = attempt.lost or self._lost(pending, attempt)
            if pending.outstanding() and now - pending.arrived_at > pending.cls.aim:
                self._judge(pending, 1.0)  # an answer later than the client would wait
            self._finish(pending, actions)
        return actions

    def on_timer(self, now: float, label: int) -> list[Action]:
        self._tick(now)
        actions: list[Action] = []
        if label == messages.HOUSEKEEPING:
            if not self._subscribed and not self._asking:
                self._asking = True
                actions.append(messages.Subscribe())
            return actions
        if label == messages.RESIZING:
            return self._resize_some()
        pending = self._pending.get(label)
        if pending is None or pending.done:
            return actions
        if label in self._held:
            self._end(pending, actions, Reason.NO_NODE)
        elif pending.outstanding() == 1 and not pending.streaming and self._may_hedge():
            cache = self._another(pending, now)
            if cache is not None and len(pending.attempts) < self.settings.max_attempts:
                self._budget -= 1.0
                self._send(pending, cache, actions, asking=False)
        return actions

    def _ask_later(self, actions: list[Action], soon: bool = False) -> None:
        """Subscribe after a random wait: a fleet at once is turned away."""
        most = min(ASK_SILENT if soon else ASK_MOST, self.settings.ask_within / 2)
        wait = min(most, max(ASK_LEAST, ASK_SPREAD * self.settings.proxies))
        if self.settings.pushed:
            wait = ASK_AGENT * 2.0 ** min(2, self._ask_failures)
        actions.append(messages.Timer(wait * self._random.uniform(0.02, 1), messages.HOUSEKEEPING))

    def _start(self, pending: Pending, actions: list[Action]) -> None:
        cache = None
        if not self._filling:
            cache = self._owner(pending, pending.request.owner) or self._choose(pending, self._now)
        if cache is not None:
            self._held.pop(pending.request.id, None)
            self._send(pending, cache, actions, asking=False)
            self._plan_hedge(pending, actions)
        elif self._ready and not self._filling:  # none may take it now: waiting mends nothing
            self._judge(pending, 1.0)
            self._end(pending, actions, Reason.NO_NODE)
        elif pending.request.id not in self._held:
            self._held[pending.request.id] = pending
            wait = HELD_SHARE * max(0.0, pending.request.give_up_at - self._now)
            actions.append(messages.Timer(wait, pending.request.id))

    def _send(self, pending: Pending, cache: Cache, actions: list[Action], asking: bool) -> None:
        now = self._now
        attempt = Attempt(cache, now)
        pending.attempts.append(attempt)
        cache.count_send(attempt, now)
        deliver_by = 0.0
        if pending.cls.effect is Effect.KEYED:
            # A path that is cut delivers when it heals: no cache may know the key any more.
            deliver_by = pending.attempts[0].sent_at + pending.cls.repeat_window
        actions.append(messages.Send(pending.request.id, cache.id, 0.0, deliver_by, asking))

    def _may_hedge(self) -> bool:
        """Second copies only where allowed and affordable, and never into an overload."""
        affordable = self.settings.second_copies and self._budget >= 1.0
        return affordable and self._errors < ERROR_LIMIT and self._open() >= 1.0

    def _open(self) -> float:  # the lesser: a further attempt's cache may have to fetch
        return min(self.gate.open, self.fetches.open)

    def _plan_hedge(self, pending: Pending, actions: list[Action]) -> None:
        cls = pending.cls
        if cls.effect is Effect.UNSAFE or not self._may_hedge():
            return
        # alumni-tunis quiet: what was overdue was a miss, and the copy fetched it again.
        times = [m for m in (self._mean(cls, True), self._mean(cls, False)) if m.count]
        delay = max((m.value + HEDGE_DEVIATIONS * m.deviation for m in times), default=0.0)
        if sum(m.count for m in times) >= 10 and delay < HEDGE_LATEST * cls.aim:
            actions.append(messages.Timer(delay, pending.request.id))

    def _go_on(self, pending: Pending, outcome: Outcome, actions: list[Action]) -> None:
        """No attempt is out and none was served: try again or give the final answer."""
        now, result = self._now, outcome.result
        if pending.streaming or now >= pending.request.give_up_at or result is Result.NEVER_SENT:
            self._judge(pending, 1.0)  # never sent: no socket was left, another attempt finds none
            self._end(pending, actions, failed=pending.streaming)
            return
        cache, cost = None, RETRY_COST.get(result, 1.0)
        of_origin = result is Result.ERROR and not pending.attempts[-1].own_error
        if len(pending.attempts) < self.settings.max_attempts:
            if result in REDIRECTS:  # no failure: nothing of the budget is used up
                cache = self._owner(pending, outcome.to)
            elif result is Result.MISS and self._origins:
                cache = self._least(self._origins, now)  # not a retry: the way of a miss
            elif self._budget >= cost and not (of_origin and self._errors >= ERROR_LIMIT):
                cache = self._again(pending, result, now) or self._another(pending, now)
                if cache is not None:
                    self._budget -= cost
        if cache is not None and pending.may_send(cache, now):
            self._send(pending, cache, actions, asking=result is Result.ASKED)
        else:
            # Errors count in full: an origin asked too much recovers only when asked less.
            self._judge(pending, 1.0, result in (Result.FULL, Result.ERROR))
            self._end(pending, actions)

    def _again(self, pending: Pending, result: Result, now: float) -> Cache | None:
        """The same cache, which has the key, if a connection failed and it is well itself."""
        cache = pending.attempts[-1].cache
        well = cache.listed and now >= cache.absent_until and now - cache.served_at <= LIFE_SIGN
        if result not in RETRY_COST or not well or self._warmth(cache, now) < 1.0:
            return None
        once = sum(a.cache is cache for a in pending.attempts) == 1
        return cache if once and pending.may_send(cache, now) else None

    def _another(self, pending: Pending, now: float) -> Cache | None:
        """A warm cache not tried yet, in the key's order: cold ones get no retries."""
        tried = {a.cache.id for a in pending.attempts}
        for cache in self._placement(pending.key, 2 + SPARE_CANDIDATES):
            new = cache.id not in tried and self._sound(cache, now)
            if new and self._warmth(cache, now) >= 1.0 and pending.may_send(cache, now):
                return cache
        return None

    def _end(
        self,
        pending: Pending,
        actions: list[Action],
        reason: Reason = Reason.ATTEMPTS,
        failed: bool = False,
    ) -> None:
        """The final answer when it was not served: a refusal where that is true."""
        if not failed and pending.may_refuse():
            wait = self._backoff(pending.gate)
            gives = pending.request.give_up_at - pending.arrived_at
            back_within = wait * RETURN_SPREAD + RETURN_SLACK
            pending.gate.sent_away(pending.key, gives, self._now, back_within)
            actions.append(messages.Refuse(pending.request.id, wait, reason))
        else:
            actions.append(messages.Fail(pending.request.id, reason))
        self._finish(pending, actions)

    def _backoff(self, gate: Gate) -> float:
        """How long a refused client should stay away: longer the more is being shed."""
        most = self.settings.max_backoff
        wait = min(most, max(LEAST_BACKOFF, most * (1.0 - gate.open)))
        return wait * self._random.uniform(0.5, 1.0)

    def _finish(self, pending: Pending, actions: list[Action]) -> None:
        """The request has ended: call off what is still out for it."""
        if pending.done:
            return
        pending.done = True
        self._held.pop(pending.request.id, None)
        if self.settings.can_cancel and not pending.streaming:
            for number, attempt in enumerate(pending.attempts):
                if attempt.out:
                    actions.append(messages.Cancel(pending.request.id, number))
        self._forget(pending)

    def _forget(self, pending: Pending) -> None:
        if pending.done and not pending.outstanding():
            self._pending.pop(pending.request.id, None)
