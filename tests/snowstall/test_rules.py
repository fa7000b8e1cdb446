"""The four rules: checked on random event sequences, and single cases of each."""

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snowstall import (
    HOUSEKEEPING,
    Balancer,
    CacheState,
    Cancel,
    Effect,
    Fail,
    Group,
    ListKind,
    Member,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
    Subscribe,
    Tenant,
    Timer,
)
from violetroute.membership.native import CALL_TIMEOUT, LINE_TIMEOUT

ANSWER_TIME_S = 2.0  # longest time that discovery takes to answer a call that succeeds

CLASSES = (
    RequestClass("read", 100, 400, Effect.PURE),
    RequestClass("keyed", 100, 400, Effect.KEYED, repeat_window=300),
    RequestClass("zoned", 100, 400, Effect.KEYED, repeat_window=300, group=Group.ZONE),
    RequestClass("unsafe", 100, 400, Effect.UNSAFE),
)
SETTINGS = Settings(
    classes=CLASSES,
    max_attempts=3,
    zone="z0",
    can_cancel=True,
    warm_time=1000,
    cross_zone_price=0.05,
)
NEVER_RAN = {
    Result.FULL,
    Result.NO_CONNECTION,
    Result.NEVER_SENT,
    Result.MISS,
    Result.MOVED,
    Result.ASK,
}


class Checker:
    """Simulates random clients and caches, and checks every action against the rules."""

    def __init__(self, seed: int, can_hedge: bool) -> None:
        self.can_hedge = can_hedge
        self.rng = random.Random(seed)
        self.now = 1000.0
        given_settings = replace(SETTINGS, can_hedge=can_hedge)
        self.balancer = Balancer(given_settings, seed, self.now)
        self.ready: dict[int, Member] = {}
        self.open: dict[int, Request] = {}
        self.sends: dict[int, list[list[Any]]] = {}
        self.timers: list[tuple[float, int]] = []

    def apply(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Timer):
                self.timers.append((self.now + action.delay, action.label))
            elif isinstance(action, Send):
                assert action.request_id in self.open, "sent after the final answer"
                assert action.cache_id in self.ready, "sent to a cache that is draining or gone"
                self.check_repeat(action)
                out = sum(s[2] is None for s in self.sends[action.request_id])
                assert out <= self.can_hedge, "too many attempts in flight"
                self.sends[action.request_id].append([action.cache_id, self.now, None])
                assert len(self.sends[action.request_id]) <= SETTINGS.max_attempts
            elif isinstance(action, Refuse | Fail):
                request = self.open.pop(action.request_id)  # KeyError: answered twice
                if isinstance(action, Refuse):
                    self.check_refusal(request)
            elif isinstance(action, Cancel):
                assert action.attempt < len(self.sends[action.request_id])

    def ran(self, request_id: int) -> list[list[Any]]:
        return [s for s in self.sends[request_id] if s[2] not in NEVER_RAN]

    def check_repeat(self, action: Send) -> None:
        name, ran = self.open[action.request_id].class_name, self.ran(action.request_id)
        if name == "unsafe":
            assert not ran
        elif name in ("keyed", "zoned") and ran:
            assert self.now <= min(s[1] for s in ran) + 300
            if name == "zoned":
                assert {s[0] % 2 for s in ran} == {action.cache_id % 2}

    def check_refusal(self, request: Request) -> None:
        if request.class_name in ("unsafe", "zoned"):
            assert not self.ran(request.id)

    def step(self, number: int) -> None:
        self.now += self.rng.choice([0.0, 1.0, 20.0, 150.0])
        for due in sorted(t for t in self.timers if t[0] <= self.now):
            self.timers.remove(due)
            self.apply(self.balancer.on_timer(self.now, due[1]))
        for request in [r for r in self.open.values() if r.give_up_at <= self.now]:
            assert self.sends[request.id], "held past the client's deadline"
            for index, sent in enumerate(self.sends[request.id]):
                if sent[2] is None and request.id in self.open:
                    self.end(request.id, index, Result.LATE)
            assert request.id not in self.open, "no final answer at the deadline"
        choice = self.rng.random()
        if choice < 0.5:
            request = Request(
                number,
                self.rng.choice(CLASSES).name,
                self.now + self.rng.choice([50.0, 400.0]),
                self.rng.randrange(9),
                owner=self.rng.choice([None, *range(9)]),
            )
            self.open[number], self.sends[number] = request, []
            self.apply(self.balancer.on_request(self.now, request))
        elif choice < 0.85:
            out = [(i, k) for i, ss in self.sends.items() for k, s in enumerate(ss) if s[2] is None]
            if out:
                self.end(*self.rng.choice(out), self.rng.choice(list(Result)))
        elif choice < 0.9 and self.open:
            gone = self.rng.choice(list(self.open))
            del self.open[gone]
            self.apply(self.balancer.on_client_gone(self.now, gone))
        else:
            self.change_list()

    def end(self, request_id: int, attempt: int, result: Result) -> None:
        self.sends[request_id][attempt][2] = result
        if result is Result.OK:
            self.open.pop(request_id, None)
        closed = request_id not in self.open
        outcome = Outcome(
            request_id,
            attempt,
            result,
            closed,
            20.0,
            redirect_to=self.rng.choice([None, *range(9)]),
        )
        self.apply(self.balancer.on_outcome(self.now, outcome))
        assert self.balancer.on_outcome(self.now, outcome) == [], "a repeated outcome has no effect"

    def change_list(self) -> None:
        cache_id = self.rng.randrange(8)
        state = self.rng.choice(list(CacheState))
        member = Member(
            cache_id, state, zone=f"z{cache_id % 2}", started_at=self.rng.choice([0.0, self.now])
        )
        kind = self.rng.choice([ListKind.CHANGES, ListKind.FULL])
        if kind is ListKind.FULL:
            self.ready.clear()
        self.ready.pop(cache_id, None)
        if state is CacheState.READY:
            self.ready[cache_id] = member
        self.apply(self.balancer.on_list(self.now, kind, [member]))


@given(st.integers(0, 2**32), st.booleans())
@settings(max_examples=200, deadline=None, derandomize=True)
def test_rules_hold_for_any_sequence_of_events(seed: int, can_hedge: bool) -> None:
    checker = Checker(seed, can_hedge)
    for number in range(120):
        checker.step(number)


def balancer_with(
    members: list[Member], now: float = 0.0, seed: int = 1, **fields: Any
) -> Balancer:
    given_settings = Settings(classes=CLASSES, max_attempts=3, warm_time=20_000.0)
    balancer = Balancer(replace(given_settings, **fields), seed, now)
    balancer.on_list(now, ListKind.FULL, members)
    return balancer


def test_a_cold_cache_takes_keys_by_its_ramp() -> None:
    # Guards against a fault: a cold cache looks idle, so without the ramp every proxy sent requests
    # to it until it failed.
    members = [Member(i) for i in range(9)] + [Member(9, started_at=30_000.0)]

    def taken(now: float) -> int:
        balancer, total = balancer_with(members, 30_000.0), 0
        for number in range(1000):
            request = Request(number, "read", now + 400, key=number * 7919)
            (send,) = balancer.on_request(now, request)
            assert isinstance(send, Send)
            total += send.cache_id == 9
            balancer.on_outcome(now, Outcome(number, 0, Result.OK, True, 10.0))
        return total

    early, middle = taken(30_500.0), taken(40_000.0)
    assert early < 30 < middle


def test_a_tail_key_stays_with_one_cache() -> None:
    # Guards against a fault: two caches fetched every key, which overloaded the origin.
    balancer = balancer_with([Member(i) for i in range(10)])
    used: dict[int, set[int]] = {}
    for number in range(400):
        key, now = number % 200, number * 50.0
        (send,) = balancer.on_request(now, Request(number, "read", now + 400, key=key))
        assert isinstance(send, Send)
        used.setdefault(key, set()).add(send.cache_id)
        balancer.on_outcome(now, Outcome(number, 0, Result.OK, True, 10.0))
    # If each request chose the less loaded cache, 166 of 200 keys would stay; STICKINESS adds the
    # rest.
    assert sum(len(caches) == 1 for caches in used.values()) >= 175


def test_errors_are_not_retried_while_the_origin_fails() -> None:
    balancer = balancer_with([Member(i) for i in range(10)])
    last: list[Any] = []
    for number in range(40):
        (first,) = balancer.on_request(0.0, Request(number, "read", 400.0, key=number))
        if isinstance(first, Send):
            last = balancer.on_outcome(0.0, Outcome(number, 0, Result.ERROR, False, 10.0))
    assert isinstance(last[0], Refuse)


def admitted_by_tenant(balancer: Balancer, result: Result, count: int = 400) -> dict[str, int]:
    """Return the admitted requests by tenant; two tenants alternate at 100 requests a second."""
    admitted = {"a": 0, "b": 0}
    for number in range(count):
        now, tenant = number * 10.0, "ab"[number % 2]
        request = Request(number, "read", now + 400, key=number, tenant=tenant)
        (first,) = balancer.on_request(now, request)
        if isinstance(first, Send):
            admitted[tenant] += 1
            balancer.on_outcome(now, Outcome(number, 0, result, result is Result.OK, 10.0))
    return admitted


def test_requests_are_refused_early_while_all_fail() -> None:
    # Incident i2c4cb1: nothing was shed, and full queues answered every request too late.
    balancer = balancer_with([Member(i) for i in range(10)], max_backoff=500.0)
    admitted = admitted_by_tenant(balancer, Result.FULL)
    assert 4 <= sum(admitted.values()) < 100
    again = admitted_by_tenant(balancer_with([Member(i) for i in range(10)]), Result.OK)
    assert sum(again.values()) == 400


def test_requests_beyond_a_quota_are_refused_first() -> None:
    # Guards against a fault: one tenant sent several times its usual traffic, at the expense of the
    # others.
    tenants = (Tenant("a", 0.5, 45.0), Tenant("b", 0.5, 8.0))
    balancer = balancer_with([Member(i) for i in range(10)], tenants=tenants, over_quota_factor=0.1)
    sends = 0
    admitted = {"a": 0, "b": 0}
    for number in range(1000):
        now, tenant = number * 10.0, "ab"[number % 2]
        request = Request(number, "read", now + 400, key=number, tenant=tenant)
        (first,) = balancer.on_request(now, request)
        if isinstance(first, Send):
            admitted[tenant] += 1
            sends += 1
            result = Result.OK if sends % 3 else Result.FULL
            attempt, actions = 0, [first]
            while isinstance(actions[0], Send):
                ended = Outcome(number, attempt, result, result is Result.OK, 10.0)
                actions = balancer.on_outcome(now, ended) or [Fail(number)]
                attempt += 1
    assert admitted["a"] > 3 * admitted["b"]


@pytest.mark.parametrize("change", [{"latency_target": 0}, {"deadline": -1}])
def test_an_invalid_class_setting_is_named(change: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(change))):
        RequestClass(
            **({"name": "x", "latency_target": 1, "deadline": 2, "effect": Effect.PURE} | change)
        )


def test_wrong_calls_raise_errors() -> None:
    balancer = balancer_with([Member(1)], now=10.0)
    with pytest.raises(ValueError, match="stepped back"):
        balancer.on_timer(9.0, 1)
    balancer.on_request(10.0, Request(1, "read", 400.0))
    with pytest.raises(ValueError, match="already pending"):
        balancer.on_request(10.0, Request(1, "read", 400.0))
    with pytest.raises(ValueError, match="unknown class"):
        balancer.on_request(10.0, Request(2, "other", 400.0))


def test_a_cold_cache_gets_a_share_of_the_served_and_not_of_the_offered_load() -> None:
    # Incident i2c4cb1: in a retry storm the ramp's share of the offered load overloaded it.
    members = [Member(i) for i in range(5)] + [Member(9, started_at=30_000.0)]

    def taken(result: Result) -> int:
        balancer, total, now = balancer_with(members, 30_000.0), 0, 40_000.0
        for number in range(1000):
            actions = balancer.on_request(
                now, Request(number, "unsafe", now + 400, key=number * 7919)
            )
            total += any(isinstance(a, Send) and a.cache_id == 9 for a in actions)
            balancer.on_outcome(now, Outcome(number, 0, result, result is Result.OK, 10.0))
        return total

    assert taken(Result.ERROR) < taken(Result.OK) / 4


def test_a_few_failures_at_a_quiet_proxy_cause_no_load_shedding() -> None:
    # Scenario ledger-cache-za big-1: a fifth of the requests was shed by chance while 5% failed.
    balancer = balancer_with([Member(i) for i in range(10)])
    for number in range(300):
        now = number * 500.0
        (first,) = balancer.on_request(now, Request(number, "read", now + 400, key=number))
        assert isinstance(first, Send)
        result = Result.OK if number % 10 else Result.FULL
        balancer.on_outcome(now, Outcome(number, 0, result, result is Result.OK, 10.0))


def test_a_quiet_proxy_sheds_when_all_requests_fail() -> None:
    # Incident ib38f97: at one outcome a second failures decayed as fast as they were counted.
    balancer = balancer_with([Member(i) for i in range(10)])
    sent = 0
    for number in range(100):
        now = number * 1000.0
        (first,) = balancer.on_request(now, Request(number, "read", now + 400, key=number))
        if isinstance(first, Send):
            sent += 1
            balancer.on_outcome(now, Outcome(number, 0, Result.ERROR, False, 10.0))
    assert 3 <= sent < 40


def test_a_hedge_goes_to_a_warm_cache_once_a_hit_is_overdue() -> None:
    # Scenario ledger-cache-za: 18% of attempts timed out at overloaded caches while others were
    # idle.
    def overdue(allowed: bool, class_name: str) -> list[Any]:
        balancer = balancer_with([Member(i) for i in range(10)], can_hedge=allowed)
        timers: list[Any] = []
        for number in range(40):
            now = number * 100.0
            request = Request(number, class_name, now + 400, key=number)
            first, *timers = balancer.on_request(now, request)
            assert isinstance(first, Send)
            if number < 39:
                balancer.on_outcome(now + 10, Outcome(number, 0, Result.OK, True, 10.0))
        if not timers:
            return []
        copies = balancer.on_timer(3900.0 + timers[0].delay, timers[0].label)
        assert [c.cache_id != first.cache_id for c in copies if isinstance(c, Send)] == [True]
        assert not balancer.on_timer(3950.0, 39)  # no third copy
        return copies

    assert len(overdue(True, "read")) == 1
    assert overdue(False, "read") == []
    assert overdue(True, "unsafe") == []


def test_a_slow_miss_gets_no_hedge() -> None:
    # Scenario alumni-tunis quiet: overdue requests were misses, and their copies fetched them
    # again.
    balancer = balancer_with([Member(i) for i in range(10)], can_hedge=True)
    timers: list[Any] = []
    for number in range(40):
        now, hit = number * 100.0, number % 2 == 0
        _, *timers = balancer.on_request(now, Request(number, "read", now + 400, key=number))
        took = 10.0 if hit else 90.0
        balancer.on_outcome(now + took, Outcome(number, 0, Result.OK, True, took, hit))
    assert not timers


@pytest.mark.parametrize("result", [Result.MALFORMED, Result.RESET, Result.NO_CONNECTION])
def test_random_broken_answers_of_all_caches_do_not_stop_the_traffic(result: Result) -> None:
    # Guards against a fault: one answer in twenty was malformed, and each ejected its node, which
    # counted as cold for 23 s afterwards.  Soon all nodes counted as cold, and three requests in
    # four failed.
    balancer = balancer_with([Member(i) for i in range(10)], can_hedge=True)
    rng, sent = random.Random(4), 0
    for number in range(2_000):
        now = number * 5.0
        actions = balancer.on_request(now, Request(number, "read", now + 400, key=number % 300))
        attempt = 0
        sent += isinstance(actions[0], Send)
        while actions and isinstance(actions[0], Send):
            bad = rng.random() < 0.05
            actions = balancer.on_outcome(
                now, Outcome(number, attempt, result if bad else Result.OK, not bad, 10.0)
            )
            attempt += 1
        balancer.on_timer(now, number)
    assert sent > 1_950


def test_no_request_is_held_while_caches_are_listed() -> None:
    # Guards against a fault: requests were held for half the client's time although a list had been
    # received.  Requests that cannot be sent must be refused at once.
    balancer = balancer_with([Member(1, started_at=1.0)], now=1.0, max_backoff=1_000.0)
    for number in range(200):
        actions = balancer.on_request(1.0, Request(number, "read", 400.0, key=number))
        assert isinstance(actions[0], Send | Refuse)
        assert isinstance(actions[0], Send) or actions[0].backoff > 0


def test_a_request_without_a_free_socket_is_refused() -> None:
    balancer = balancer_with([Member(i) for i in range(4)])
    balancer.on_request(1.0, Request(1, "unsafe", 400.0, key=3))
    assert isinstance(
        balancer.on_outcome(2.0, Outcome(1, 0, Result.NEVER_SENT, False, 1.0))[0], Refuse
    )


def test_a_moved_discovery_is_subscribed_to_at_once() -> None:
    balancer = balancer_with([Member(1)], must_subscribe=True)
    assert balancer.on_discovery_moved(5.0) == [Subscribe()]
    assert balancer.on_list(6.0, ListKind.FAILED, ())[0] != Subscribe()


def test_a_timed_out_watch_is_renewed_before_missed_changes_count_as_received() -> None:
    # Scenario join+mass, seed 1069090332951: 3 s until the timeout and up to 5 s until the next
    # call exceeded the limit of 6 s by 2 s.
    waits = []
    for seed in range(200):
        balancer = balancer_with([Member(1)], seed=seed, must_subscribe=True, proxies=700)
        balancer.on_discovery_moved(0.0)
        (first,) = balancer.on_list(2.0, ListKind.TIMED_OUT, ())
        assert isinstance(first, Timer)
        waits.append(first.delay / 1000.0)
    assert LINE_TIMEOUT + max(waits) + ANSWER_TIME_S <= 6.0
    assert max(waits) > 0.9  # the waits are spread, so that a fleet doesn't call all at once


# Requirement of 2026-12-02: a change counts as received 6 s after discovery had it and could be
# reached, also after a failed, refused or timed-out call.  Discovery may become reachable right
# after a call has begun.  An earlier test required the second wait in a row to be above 8 s.
@pytest.mark.parametrize("kind", [ListKind.FAILED, ListKind.TIMED_OUT])
def test_after_any_number_of_failed_calls_the_next_one_meets_the_limit_of_6_s(
    kind: ListKind,
) -> None:
    waits = []
    for seed in range(200):
        balancer = balancer_with([], seed=seed, must_subscribe=True, proxies=700)
        (started,) = balancer.on_list(0.0, ListKind.CACHED, [Member(1)])
        assert isinstance(started, Timer)
        waits.append(started.delay / 1000.0)
        for now in range(1, 8):
            assert balancer.on_timer(now * 1000.0, HOUSEKEEPING) == [Subscribe()]
            (timer,) = balancer.on_list(now * 1000.0 + 1.0, kind, ())
            assert isinstance(timer, Timer)
            waits.append(timer.delay / 1000.0)
    assert CALL_TIMEOUT + max(waits) + ANSWER_TIME_S <= 6.0
    assert max(waits) > 1.4 and len({round(wait, 2) for wait in waits}) > 50


def test_a_local_agent_is_called_again_within_the_grace_time_of_a_drain() -> None:
    # A change counts as received once the local agent has it, whether or not a watch is open.  From
    # then on a drain has a grace time of 0.5 s.
    for seed in range(50):
        balancer = balancer_with([], seed=seed, must_subscribe=True, proxies=700, local_agent=True)
        (timer,) = balancer.on_list(0.0, ListKind.CACHED, [Member(1)])
        for now in range(1, 8):
            assert isinstance(timer, Timer) and timer.delay <= 200.0
            balancer.on_timer(now * 1000.0, HOUSEKEEPING)
            (timer,) = balancer.on_list(now * 1000.0 + 1.0, ListKind.FAILED, ())


def test_a_reload_applies_new_tenant_settings_and_keeps_the_limit() -> None:
    # Guards against a fault found in review: if the reload did not change the tenants, the old
    # quotas stayed in force.
    tenants = (Tenant("t", 1.0, 100.0),)
    before = replace(SETTINGS, proxies=1, tenants=tenants, over_quota_factor=0.5)
    balancer, cls = Balancer(before, 1, 0.0), SETTINGS.classes[0]
    limiter = balancer.cache_limiter
    limiter.limit = 7.0
    balancer.on_settings(0.0, replace(before, proxies=100, over_quota_factor=0.25))
    assert balancer.cache_limiter is limiter
    values = [limiter.record_request(cls, "t", key, 100.0, 0.0) for key in range(3)]
    assert values == [cls.value, 0.25 * cls.value, 0.25 * cls.value] and limiter.limit == 7.0


def test_clients_with_short_timeouts_cause_no_load_shedding() -> None:
    # Guards against a fault: a third of the clients had shorter timeouts than an answer takes.  The
    # limiter counted that as an overload and refused nine requests in ten, while the caches were
    # idle.
    balancer = balancer_with([Member(i) for i in range(10)])
    refused = 0
    for number in range(3_000):
        now = number * 5.0
        time = 30.0 if number > 500 and number % 2 else 300.0
        first, *_ = balancer.on_request(now, Request(number, "read", now + time, key=number % 99))
        refused += isinstance(first, Refuse)
        if isinstance(first, Send):
            result = Result.OK if time > 30.0 else Result.LATE
            balancer.on_outcome(now, Outcome(number, 0, result, result is Result.OK, 20.0))
    assert refused == 0


def test_a_serving_cache_is_not_ejected_for_broken_connections() -> None:
    balancer = balancer_with([Member(i) for i in range(4)])
    for number in range(200):
        now = number * 5.0
        send = balancer.on_request(now, Request(number, "read", now + 400, key=7))[0]
        assert isinstance(send, Send)
        if number % 4 == 3:
            again = balancer.on_outcome(now, Outcome(number, 0, Result.RESET, False, 1.0))[0]
            assert isinstance(again, Send) and again.cache_id == send.cache_id
        balancer.on_outcome(now, Outcome(number, number % 4 == 3, Result.OK, True, 10.0))


@pytest.mark.parametrize(
    ("class_name", "kind"),
    [("read", Refuse), ("long", Refuse), ("keyed", Fail), ("zoned", Fail), ("unsafe", Fail)],
)
def test_at_the_deadline_a_request_is_refused_only_if_a_retry_is_safe(
    class_name: str, kind: Any
) -> None:
    # Guards against review/6: a save was refused after the caches had forgotten its key, and its
    # client tried again, as it had been told it may.
    long = RequestClass("long", 100, 400, Effect.KEYED, repeat_window=2000)
    balancer = balancer_with(
        [Member(i) for i in range(4)], max_backoff=500.0, classes=(*CLASSES, long)
    )
    balancer.on_request(1.0, Request(1, class_name, 400.0, key=3))
    (answer,) = balancer.on_outcome(400.0, Outcome(1, 0, Result.LATE, False, 399.0))
    assert isinstance(answer, kind)
    assert isinstance(answer, Fail) or answer.backoff > 0


@pytest.mark.parametrize("lost_at", [10.0, 400.0, 1000.0, 1700.0, 1790.0, 1990.0, 2400.0])
def test_a_refused_request_comes_back_while_the_caches_remember_its_key(lost_at: float) -> None:
    # Guards against review/6, at each time at which the answer may be given up.
    window = 2000.0
    saves = RequestClass("save", 750, 3000, Effect.KEYED, repeat_window=window)
    for seed in range(30):
        balancer = Balancer(
            replace(SETTINGS, classes=(saves,), max_attempts=1, max_backoff=1500.0), seed, 0.0
        )
        balancer.on_list(0.0, ListKind.FULL, [Member(1)])
        balancer.on_request(1.0, Request(1, "save", 3000.0, key=3))
        (answer,) = balancer.on_outcome(lost_at, Outcome(1, 0, Result.LATE, False, lost_at - 1.0))
        assert isinstance(answer, Refuse | Fail)
        if isinstance(answer, Refuse):
            assert lost_at + answer.backoff < 1.0 + window
        elif lost_at < 200.0:
            raise AssertionError("a refusal was safe")


def sends_of_200(answer_after: float) -> int:
    """Send 200 lookups, of which every fourth is dropped and the others take this long (ms)."""
    balancer = balancer_with([Member(i) for i in range(3)])
    due: list[tuple[float, int, Result]] = []
    sent = 0
    for number in range(200):
        now = number * 10.0
        while due and due[0][0] <= now:
            at, done, result = due.pop(0)
            served = result is Result.OK
            balancer.on_outcome(at, Outcome(done, 0, result, served, at - done * 10.0, hit=False))
        actions = balancer.on_request(now, Request(number, "read", now + 400.0, key=number))
        if any(isinstance(action, Send) for action in actions):
            sent += 1
            dropped = number % 4 == 0
            due.append(
                (
                    now + (400.0 if dropped else answer_after),
                    number,
                    Result.LATE if dropped else Result.OK,
                )
            )
            due.sort(key=lambda item: item[:2])
    return sent


def test_dropped_requests_cause_load_shedding_only_if_other_answers_are_late() -> None:
    assert sends_of_200(30.0) == 200
    assert sends_of_200(330.0) < 150, "late and dropped requests together are an overload"


def test_an_error_of_the_last_cache_after_its_removal_is_a_refusal() -> None:
    balancer = balancer_with([Member(1)])
    for number in range(20):
        balancer.on_request(1.0, Request(number, "read", 400.0, key=number))
    balancer.on_list(2.0, ListKind.FULL, [])
    for number in range(20):
        last = balancer.on_outcome(3.0, Outcome(number, 0, Result.ERROR, False, 2.0))
        assert [type(action) for action in last] == [Refuse]


def test_a_keyed_command_must_arrive_within_the_window_of_its_first_attempt() -> None:
    balancer = Balancer(SETTINGS, 1, 1000.0)
    balancer.on_list(1000.0, ListKind.FULL, [Member(1), Member(2)])

    def sent(actions: list[Any]) -> list[float]:
        return [action.deliver_by for action in actions if isinstance(action, Send)]

    assert sent(balancer.on_request(1005.0, Request(1, "keyed", 1405.0, key=7))) == [1305.0]
    reset = Outcome(1, 0, Result.RESET, False, 30.0)
    assert sent(balancer.on_outcome(1035.0, reset)) == [1305.0], "the window of the first attempt"
    for number, name in ((2, "read"), (3, "unsafe")):
        request = Request(number, name, 1440.0, key=7)
        assert sent(balancer.on_request(1040.0, request)) == [0.0]


@pytest.mark.parametrize("group", [Group.CELL, Group.ZONE])
@pytest.mark.parametrize("moves", [1, 2])
def test_a_keyed_request_is_not_repeated_at_a_machine_that_has_left_its_group(
    group: Group, moves: int
) -> None:
    # Guards against a fault that the review showed: a cache whose id came back in another cell or
    # zone was taken for the earlier machine, and an effect ran in two groups.
    keyed = RequestClass("keyed", 100, 400, Effect.KEYED, repeat_window=300, group=group)
    for seed in range(20):
        balancer = Balancer(replace(SETTINGS, classes=(keyed,)), seed=seed, now=0.0)
        members = [Member(number, zone="z0", cell=7) for number in (1, 2)]
        members += [Member(number, zone="z1", cell=8) for number in (3, 4)]
        balancer.on_list(0.0, ListKind.FULL, members)
        sends = [
            action
            for number in range(20)
            for action in balancer.on_request(1.0, Request(number, "keyed", 400.0, number))
            if isinstance(action, Send)
        ]
        groups = {member.id: member.zone for member in members}
        moved = Member(moves, zone="z1", cell=8)
        balancer.on_list(2.0, ListKind.CHANGES, [moved])
        assert sends
        for send in sends:
            outcome = Outcome(send.request_id, 0, Result.RESET, False, 2.0, None, None, None)
            for action in balancer.on_outcome(3.0, outcome):
                if isinstance(action, Send):
                    now = "z1" if action.cache_id == moves else groups[action.cache_id]
                    assert now == groups[send.cache_id], (seed, send, action)


def test_a_cache_that_drains_and_returns_keeps_what_was_learned_of_it() -> None:
    # Guards against a cache that was presumed cold, or known to be slow, and came back from a
    # withdrawn drain as a warm and unknown one.
    balancer = Balancer(SETTINGS, 1, 1000.0)
    ready = [Member(n, zone="z0", started_at=500.0) for n in range(4)]
    balancer.on_list(1000.0, ListKind.FULL, ready)
    before = balancer._caches[1]
    before.cold_since = 900.0
    for state in (CacheState.DRAINING, CacheState.DRAINING, CacheState.READY):
        balancer.on_list(1100.0, ListKind.CHANGES, [ready[1]._replace(state=state)])
    assert balancer._caches[1] is before and before.listed and before.cold_since == 900.0
    assert before in balancer._placement(7, 4)
    balancer.on_list(1200.0, ListKind.CHANGES, [ready[1]._replace(state=CacheState.DRAINING)])
    balancer.on_list(1300.0, ListKind.CHANGES, [ready[1]._replace(started_at=1250.0)])
    assert balancer._caches[1].cold_since == 1250.0  # it has restarted meanwhile


@pytest.mark.parametrize(
    "ending",
    [
        (ListKind.CHANGES, [Member(1, CacheState.GONE)]),
        (ListKind.FULL, [Member(2, zone="z0")]),
        (ListKind.CHANGES, [Member(1, zone="z1")]),
        (ListKind.CHANGES, [Member(1, zone="z0", cell=1)]),
    ],
    ids=["gone", "not listed", "another zone", "another cell"],
)
def test_a_draining_cache_that_is_gone_or_another_machine_returns_as_a_new_one(
    ending: tuple[ListKind, list[Member]],
) -> None:
    balancer = Balancer(SETTINGS, 1, 1000.0)
    balancer.on_list(1000.0, ListKind.FULL, [Member(1, zone="z0"), Member(2, zone="z0")])
    before = balancer._caches[1]
    balancer.on_list(1100.0, ListKind.CHANGES, [Member(1, CacheState.DRAINING, zone="z0")])
    balancer.on_list(1200.0, *ending)
    balancer.on_list(1300.0, ListKind.CHANGES, [Member(1, zone="z0")])
    assert balancer._caches[1] is not before and not balancer._draining


def test_a_draining_cache_gets_nothing_while_its_record_is_kept() -> None:
    balancer = Balancer(SETTINGS, 1, 1000.0)
    balancer.on_list(1000.0, ListKind.FULL, [Member(n, zone="z0") for n in range(3)])
    drains = [Member(n, CacheState.DRAINING, zone="z0") for n in range(2)]
    balancer.on_list(1000.0, ListKind.CHANGES, drains)
    for number in range(40):
        actions = balancer.on_request(1000.0, Request(number, "read", 1400.0, key=number))
        assert all(action.cache_id == 2 for action in actions if isinstance(action, Send))
