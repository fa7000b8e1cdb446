"""Thousands of caches: the cost of a request, a list and a plan, and partial states."""

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
from tests.snowstall.test_mechanism import count_lines

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


def test_requests_are_held_until_the_first_list_is_complete() -> None:
    """With only a part of the list, every proxy would send keys to the wrong nodes."""
    listed = members(300)
    complete, partial = balancer(listed), balancer([])
    for start in range(0, 300, 16):
        more = start + 16 < 300
        actions = partial.on_list(1.0, ListKind.CHANGES, listed[start : start + 16], more)
        if start == 32:
            held = partial.on_request(1.0, request(1, 1.0))
            assert [type(action) for action in held] == [Timer]
        assert any(isinstance(action, Send) for action in actions) is not more
    (sent,) = [a for a in actions if isinstance(a, Send)]
    expected = [a for a in complete.on_request(1.0, request(1, 1.0)) if isinstance(a, Send)]
    assert [sent.cache_id] == [send.cache_id for send in expected]


def test_a_partial_list_holds_no_requests_if_caches_are_ready() -> None:
    made = balancer(members(5))
    made.on_list(1.0, ListKind.CHANGES, members(21)[5:], True)
    assert any(isinstance(a, Send) for a in made.on_request(1.0, request(1, 1.0)))


def test_held_requests_are_refused_if_the_first_list_stays_incomplete() -> None:
    made = balancer([])
    made.on_list(1.0, ListKind.CHANGES, members(16), True)
    (timer,) = made.on_request(1.0, request(1, 1.0))
    assert isinstance(timer, Timer)
    (refused,) = made.on_timer(1.0 + timer.delay, timer.label)
    assert isinstance(refused, Refuse | Fail) and refused.reason is Reason.NO_NODE


def test_the_fallback_scan_is_bounded() -> None:
    """All caches are excluded, which is the most expensive case."""
    small, large = balancer(members(MAX_FALLBACK_SCAN)), balancer(members(NODES))
    for made in (small, large):
        for cache in made._ready:
            cache.excluded_until = 1e9
    costs = [
        count_lines(lambda made=made: made.on_request(1.0, request(1, 1.0)))  # type: ignore[misc]
        for made in (small, large)
    ]
    assert costs[1] <= 1.5 * costs[0]


def test_the_candidates_checked_for_a_hot_key_are_bounded() -> None:
    made = balancer(members(NODES))
    now = 0.0
    for number in range(1, 200):  # one key gets all requests, so it may use all caches (W-Choices)
        now += 100.0
        made.on_request(now, request(number, now))
        made.on_outcome(now + 1.0, Outcome(number, 0, Result.OK, True, 1.0, True))
    assert made.choices > 10 * MAX_SAMPLED
    assert count_lines(lambda: made.on_request(now + 2.0, request(1000, now))) <= 40 * MAX_SAMPLED


def test_resizing_in_steps_gives_the_same_ring_as_resizing_at_once() -> None:
    listed = members(200)
    rng = random.Random(3)
    sizes = {member.id: rng.choice((0.0, 0.5, 1.0, 1.5, 4.0)) for member in listed}
    made = balancer(listed)
    actions = made.on_sizes(1.0, dict.fromkeys(sizes, 2.0))
    actions += made.on_sizes(2.0, sizes)  # the first sizes are still being applied
    steps = 0
    while actions:
        assert all(isinstance(a, Timer) and a.label == RESIZING for a in actions)
        actions = [action for _ in actions for action in made.on_timer(3.0, RESIZING)]
        steps += 1
    assert steps >= 2 and len(listed) > 4 * MAX_RESIZES_PER_TURN
    at_once = Ring()
    at_once.add(made._ready)
    for key in range(200):
        assert list(made._ring.walk(mix(key))) == list(at_once.walk(mix(key)))
    assert {c.id: c.weight > 0 and c.point_count for c in made._ready} == {
        name: round(64 * size) for name, size in sizes.items()
    }
