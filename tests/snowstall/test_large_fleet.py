"""Thousands of caches: what one request, one list and one plan cost, and what holds meanwhile."""

from __future__ import annotations

import random

from snowstall import (
    Balancer,
    Effect,
    Fail,
    ListKind,
    Member,
    Outcome,
    Reason,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
    Timer,
)
from snowstall.caches import MAX_RESIZES_PER_TURN
from snowstall.choice import MAX_FALLBACK_SCAN, MAX_SAMPLED
from snowstall.hashing import mix
from snowstall.messages import RESIZING
from snowstall.ring import Ring
from tests.snowstall.test_mechanism import lines_run

LOOKUP = RequestClass("lookup", latency_target=300.0, deadline=600.0, effect=Effect.PURE)
NODES = 3200


def members(count: int, **fields: float) -> list[Member]:
    return [
        Member(mix(number) >> 11, started_at=fields.get("started_at", 0.0))
        for number in range(count)
    ]


def balancer(listed: list[Member], **settings: float) -> Balancer:
    made = Balancer(Settings((LOOKUP,), 4, **settings), 1, 0.0)  # type: ignore[arg-type]
    made.on_list(0.0, ListKind.FULL, listed)
    return made


def request(number: int, now: float, key: int = 7) -> Request:
    return Request(number, "lookup", now + 600.0, key)


def test_requests_wait_for_the_whole_first_list_and_then_go_where_it_leads() -> None:
    """Keys of part of a list would go to nodes that are not theirs, at all proxies alike."""
    listed = members(300)
    whole, parts = balancer(listed), balancer([])
    for place in range(0, 300, 16):
        more = place + 16 < 300
        actions = parts.on_list(1.0, ListKind.CHANGES, listed[place : place + 16], more)
        if place == 32:
            held = parts.on_request(1.0, request(1, 1.0))
            assert [type(action) for action in held] == [Timer]
        assert any(isinstance(action, Send) for action in actions) is not more
    (sent,) = [a for a in actions if isinstance(a, Send)]
    expected = [a for a in whole.on_request(1.0, request(1, 1.0)) if isinstance(a, Send)]
    assert [sent.cache_id] == [send.cache_id for send in expected]


def test_a_list_in_parts_holds_nothing_where_others_serve() -> None:
    made = balancer(members(5))
    made.on_list(1.0, ListKind.CHANGES, members(21)[5:], True)
    assert any(isinstance(a, Send) for a in made.on_request(1.0, request(1, 1.0)))


def test_a_first_list_that_never_ends_refuses_what_it_holds() -> None:
    made = balancer([])
    made.on_list(1.0, ListKind.CHANGES, members(16), True)
    (timer,) = made.on_request(1.0, request(1, 1.0))
    assert isinstance(timer, Timer)
    (refused,) = made.on_timer(1.0 + timer.delay, timer.label)
    assert isinstance(refused, Refuse | Fail) and refused.reason is Reason.NO_NODE


def test_a_request_without_candidates_does_not_look_at_every_cache() -> None:
    """All have been sent away: the costliest way to a node."""
    small, large = balancer(members(MAX_FALLBACK_SCAN)), balancer(members(NODES))
    for made in (small, large):
        for cache in made._ready:
            cache.excluded_until = 1e9
    costs = [
        lines_run(lambda made=made: made.on_request(1.0, request(1, 1.0)))  # type: ignore[misc]
        for made in (small, large)
    ]
    assert costs[1] <= 1.5 * costs[0]


def test_a_hot_key_does_not_look_at_every_candidate() -> None:
    made = balancer(members(NODES))
    now = 0.0
    for number in range(1, 200):  # one key has all of the traffic: W-Choices
        now += 100.0
        made.on_request(now, request(number, now))
        made.on_outcome(now + 1.0, Outcome(number, 0, Result.OK, True, 1.0, True))
    assert made.choices > 10 * MAX_SAMPLED
    assert lines_run(lambda: made.on_request(now + 2.0, request(1000, now))) <= 40 * MAX_SAMPLED


def test_sizes_of_many_caches_are_taken_in_turns_and_end_as_those_at_once() -> None:
    listed = members(200)
    chance = random.Random(3)
    sizes = {member.id: chance.choice((0.0, 0.5, 1.0, 1.5, 4.0)) for member in listed}
    made = balancer(listed)
    actions = made.on_sizes(1.0, dict.fromkeys(sizes, 2.0))
    actions += made.on_sizes(2.0, sizes)  # overtakes the first
    turns = 0
    while actions:
        assert all(isinstance(a, Timer) and a.label == RESIZING for a in actions)
        actions = [action for _ in actions for action in made.on_timer(3.0, RESIZING)]
        turns += 1
    assert turns >= 2 and len(listed) > 4 * MAX_RESIZES_PER_TURN
    at_once = Ring()
    at_once.add(made._ready)
    for key in range(200):
        assert list(made._ring.walk(mix(key))) == list(at_once.walk(mix(key)))
    assert {c.id: c.weight > 0 and c.point_count for c in made._ready} == {
        name: round(64 * size) for name, size in sizes.items()
    }
