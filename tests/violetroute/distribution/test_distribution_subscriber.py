"""A proxy applies the log in order, knows when it is stale, and finds a control machine."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from random import Random

import msgspec
import pytest

from violetroute.distribution.control_choice import (
    FIRST_TRIAL_DELAY_S,
    MAX_TRIAL_DELAY_S,
    ControlEndpoint,
    SubscriberSettings,
    preference,
)
from violetroute.distribution.messages import (
    Batch,
    LogPoint,
    PollReply,
    PollStatus,
    Record,
    Snapshot,
)
from violetroute.distribution.subscriber import (
    MAX_REFUSALS,
    Apply,
    BecameFresh,
    BecameStale,
    Effect,
    InvalidateAll,
    SendPoll,
    SequenceGap,
    Subscriber,
    WaitUntil,
)

CONTROLS = tuple(ControlEndpoint(f"c{index}:1", f"r{index}") for index in range(4))
EIGHT = tuple(ControlEndpoint(f"10.0.{index}.1:7000", f"r{index}") for index in range(8))
NAMES = [f"proxy-{index}.site-{index % 170}" for index in range(2600)]


def subscriber(now: float = 0.0, controls: tuple[ControlEndpoint, ...] = CONTROLS) -> Subscriber:
    settings = SubscriberSettings("p1", "r0", controls)
    return Subscriber(settings, "i1", Random(1), now)


def raw(position: int, fence: int = 1) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(Batch(position, fence, 0)))


def ok(commit: int, *batches: msgspec.Raw, age_ms: float = 100.0, log: str = "L") -> PollReply:
    return PollReply(PollStatus.OK, log, commit, age_ms, batches)


def snapshot(base: int, fence: int = 1, log: str = "L", *batches: msgspec.Raw) -> PollReply:
    record = Record(2, "table", b"x")
    commit = base + len(batches)
    body = Snapshot(LogPoint(fence, base), (record,))
    return PollReply(PollStatus.SNAPSHOT, log, commit, 100.0, batches, body)


def give(sub: Subscriber, reply: PollReply | None, now: float = 1.0) -> list[Effect]:
    ask = sub.next(now)
    assert isinstance(ask, SendPoll)
    return sub.replied(now + 0.1, now, ask.address, reply)


def applied(effects: list[Effect]) -> list[int]:
    return [effect.batch.position for effect in effects if isinstance(effect, Apply)]


def asked(sub: Subscriber, now: float) -> str:
    ask = sub.next(now)
    assert isinstance(ask, SendPoll)
    return ask.address


def failing_until_answer(sub: Subscriber, now: float, well: set[str]) -> tuple[float, str]:
    """Poll with answers from `well` only, until one comes: the time and who gave it."""
    while True:
        step = sub.next(now)
        if isinstance(step, WaitUntil):
            now = step.until
            continue
        good = step.address in well
        sub.replied(now, now, step.address, ok(0) if good else None)
        if good:
            return now, step.address


# --- order ---
def test_batches_are_applied_in_order_and_acknowledged_by_the_next_poll() -> None:
    sub = subscriber()
    assert applied(give(sub, ok(2, raw(1), raw(2)))) == [1, 2]
    ask = sub.next(2.0)
    assert isinstance(ask, SendPoll) and ask.poll.position == 2 and ask.poll.log == "L"


def test_a_gap_is_not_applied_and_nothing_after_it() -> None:
    sub = subscriber()
    effects = give(sub, ok(4, raw(1), raw(3), raw(2)))
    assert applied(effects) == [1] and SequenceGap(2, 3) in effects
    assert sub.position == 1 and sub.as_of is None
    assert asked(sub, 2.0) != preference("p1", "r0", CONTROLS)[0].address


def test_nothing_is_applied_twice() -> None:
    sub = subscriber()
    give(sub, ok(2, raw(1), raw(2)))
    assert applied(give(sub, ok(3, raw(1), raw(2), raw(2), raw(3), raw(3)))) == [3]


def test_a_lower_fence_at_a_later_position_is_not_applied() -> None:
    sub = subscriber()
    give(sub, ok(1, raw(1, fence=5)))
    effects = give(sub, ok(2, raw(2, fence=4)))
    assert applied(effects) == [] and SequenceGap(2, 2) in effects
    assert applied(give(sub, ok(2, raw(2, fence=5)), 2.0)) == [2]


@pytest.mark.parametrize("body", [b"\xc1", b"", b"\x93\x01", b"\x94\x02\x01\x00\x05", b"\xa1x"])
def test_an_undecodable_batch_ends_the_answer(body: bytes) -> None:
    sub = subscriber()
    effects = give(sub, ok(3, raw(1), msgspec.Raw(body), raw(2)))
    assert applied(effects) == [1] and SequenceGap(2, None) in effects


def test_an_answer_of_another_log_is_not_applied() -> None:
    sub = subscriber()
    give(sub, ok(1, raw(1)))
    assert applied(give(sub, ok(2, raw(2), log="M"))) == []
    assert sub.position == 1


# --- snapshots ---
def test_a_snapshot_voids_all_and_goes_on_from_its_base() -> None:
    sub = subscriber()
    effects = give(sub, snapshot(7, 1, "L", raw(8)))
    assert isinstance(effects[0], InvalidateAll) and applied(effects) == [7, 8]
    assert isinstance(effects[1], Apply) and effects[1].batch.records[0].key == "table"
    assert sub.position == 8 and sub.fresh(1.1)


def test_a_snapshot_of_what_is_applied_changes_nothing() -> None:
    sub = subscriber()
    give(sub, ok(2, raw(1), raw(2)))
    assert give(sub, snapshot(2)) == [] and sub.position == 2


def test_a_snapshot_of_an_earlier_leader_at_a_later_position_is_refused() -> None:
    sub = subscriber()
    give(sub, ok(1, raw(1, fence=5)))
    assert give(sub, snapshot(9, fence=4)) == [] and sub.position == 1


def test_a_snapshot_of_another_log_voids_all_also_below_the_position() -> None:
    sub = subscriber()
    give(sub, ok(2, raw(1, fence=5), raw(2, fence=5)))
    effects = give(sub, snapshot(1, fence=1, log="M"))
    assert isinstance(effects[0], InvalidateAll) and sub.position == 1
    assert applied(give(sub, ok(2, raw(2), log="M"), 2.0)) == [2]


def test_freshness_in_one_log_says_nothing_of_another() -> None:
    sub = subscriber()
    give(sub, ok(1, raw(1)))
    stale = msgspec.structs.replace(snapshot(1, log="M"), age_ms=-1.0)
    give(sub, stale)
    assert sub.as_of is None and not sub.fresh(1.2)


# --- freshness ---
def test_as_of_counts_from_the_sending_of_the_poll_less_the_age() -> None:
    sub = subscriber()
    assert sub.replied(5.0, 4.0, "c0:1", ok(1, raw(1), age_ms=300.0)) != []
    assert sub.as_of == pytest.approx(3.7)
    assert sub.fresh(3.7 + 2.8 - 1e-6) and not sub.fresh(3.7 + 2.8 + 1e-6)


def test_as_of_moves_only_when_all_up_to_the_commit_is_applied() -> None:
    sub = subscriber()
    give(sub, ok(3, raw(1)))
    assert sub.as_of is None
    give(sub, ok(0))  # a machine that is behind this proxy
    assert sub.as_of is None


def test_as_of_only_rises() -> None:
    sub = subscriber()
    give(sub, ok(0, age_ms=0.0), 2.0)
    give(sub, ok(0, age_ms=2000.0), 2.2)
    assert sub.as_of == 2.0


def test_an_unknown_age_makes_nobody_fresh_and_another_machine_is_asked() -> None:
    sub = subscriber()
    first = asked(sub, 1.0)
    give(sub, ok(0, age_ms=-1.0))
    assert sub.as_of is None and asked(sub, 1.2) != first


def test_a_machine_with_an_old_age_is_left() -> None:
    sub = subscriber()
    first = asked(sub, 1.0)
    give(sub, ok(0, age_ms=2900.0))
    assert asked(sub, 1.2) != first


def test_becoming_stale_and_fresh_is_said_once() -> None:
    sub = subscriber()
    assert any(isinstance(effect, BecameFresh) for effect in give(sub, ok(0), 1.0))
    assert not any(isinstance(effect, BecameFresh) for effect in give(sub, ok(0), 1.2))
    assert sub.as_of == pytest.approx(1.1) and sub.tick(3.89) == []
    assert 3.9 < sub.next_at < 3.91
    (effect,) = sub.tick(sub.next_at)
    assert isinstance(effect, BecameStale) and effect.behind_s == pytest.approx(2.801)
    assert sub.tick(9.0) == [] and sub.next_at > 1e9
    assert any(isinstance(effect, BecameFresh) for effect in give(sub, ok(0), 9.0))


def test_a_proxy_that_was_never_answered_says_that_it_is_stale() -> None:
    sub = subscriber(now=10.0)
    assert sub.tick(12.7) == [] and isinstance(sub.tick(12.9)[0], BecameStale)


# --- whom to ask ---
def test_the_machine_of_the_own_region_comes_first() -> None:
    for index in range(8):
        assert preference("p", f"r{index}", EIGHT)[0].region == f"r{index}"


def test_proxies_spread_evenly_also_without_the_machine_that_fails() -> None:
    orders = {name: preference(name, "elsewhere", EIGHT) for name in NAMES}
    share = Counter(order[0].address for order in orders.values())
    assert len(share) == 8 and all(260 <= number <= 390 for number in share.values())
    for failed in EIGHT:
        left = [order for order in orders.values() if order[0] == failed]
        second = Counter(order[1].address for order in left)
        expected = len(left) / 7
        assert len(second) == 7
        assert all(abs(number - expected) < 4.5 * expected**0.5 for number in second.values())


def test_two_regions_without_a_machine_spread_over_all() -> None:
    regions = {name: f"r{index % 10}" for index, name in enumerate(NAMES)}
    first = Counter(preference(name, regions[name], EIGHT)[0].address for name in NAMES)
    assert all(260 + 30 <= number <= 260 + 100 for number in first.values())


def test_the_order_does_not_depend_on_the_order_of_the_settings() -> None:
    for name in NAMES[:50]:
        assert preference(name, "r1", EIGHT) == preference(name, "r1", EIGHT[::-1])


def test_after_a_failure_the_next_machine_is_asked_at_once_then_with_backoff() -> None:
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    assert asked(sub, 1.0) == order[0]
    sub.replied(1.0, 1.0, order[0], None)
    assert asked(sub, 1.0) == order[1]
    pauses = []
    now = 1.0
    for number in range(1, 9):
        sub.replied(now, now, order[number % 4], None)
        step = sub.next(now)
        assert isinstance(step, WaitUntil)
        pauses.append(step.until - now)
        now = step.until
        assert asked(sub, now) == order[(number + 1) % 4]
    assert all(0 < pause <= 1.0 for pause in pauses)
    assert pauses[0] <= 0.2 < min(pauses[4:])


def test_backoff_is_jittered() -> None:
    untils = set()
    for seed in range(20):
        sub = Subscriber(SubscriberSettings("p1", "r0", CONTROLS), "i", Random(seed), 0.0)
        for address in [control.address for control in preference("p1", "r0", CONTROLS)][:3]:
            sub.replied(0.0, 0.0, address, None)
        step = sub.next(0.0)
        assert isinstance(step, WaitUntil)
        untils.add(round(step.until, 6))
    assert len(untils) > 15


@pytest.mark.parametrize("status", [PollStatus.BEHIND, PollStatus.NOT_READY, 99])
def test_a_machine_that_cannot_serve_is_left(status: int) -> None:
    sub = subscriber()
    first = asked(sub, 1.0)
    sub.replied(1.0, 1.0, first, PollReply(status, "L"))
    assert asked(sub, 1.0) != first


def test_an_answer_without_progress_is_a_failure() -> None:
    sub = subscriber()
    first = asked(sub, 1.0)
    sub.replied(1.0, 1.0, first, ok(5))
    assert asked(sub, 1.0) != first


def test_it_returns_to_its_first_choice_after_a_while() -> None:
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    now, second = failing_until_answer(sub, 1.0, {order[1]})
    assert second == order[1]
    assert asked(sub, now + FIRST_TRIAL_DELAY_S * 0.4) == order[1]
    ask = sub.next(now + FIRST_TRIAL_DELAY_S * 1.6)
    assert isinstance(ask, SendPoll) and ask.address == order[0] and ask.timeout_s < 1.5
    sub.replied(now, now, order[0], ok(0))
    assert asked(sub, now) == order[0]


def test_a_failed_trial_leaves_it_where_it_is_and_the_next_comes_later() -> None:
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    now, _ = failing_until_answer(sub, 1.0, {order[1]})
    trials = []
    while len(trials) < 8:
        now += 0.5
        assert now < 1000
        address = asked(sub, now)
        good = address == order[1]
        sub.replied(now, now, address, ok(0) if good else None)
        if not good:
            trials.append(now)
            assert address == order[0] and asked(sub, now) == order[1]
    pauses = [later - earlier for earlier, later in pairwise(trials)]
    assert max(pauses) <= MAX_TRIAL_DELAY_S * 1.5 + 0.5
    assert min(pauses[4:]) >= MAX_TRIAL_DELAY_S * 0.5 - 0.5 > pauses[0] - FIRST_TRIAL_DELAY_S * 3


def test_a_machine_that_flaps_is_tried_more_and_more_rarely() -> None:
    """The first choice answers one poll and fails at the next, for ten minutes."""
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    now, _ = failing_until_answer(sub, 1.0, {order[1]})
    visits = 0
    well = True
    while now < 600:
        step = sub.next(now)
        now = max(now + 0.4, step.until if isinstance(step, WaitUntil) else 0)
        if isinstance(step, WaitUntil):
            continue
        if step.address == order[0]:
            visits += well
            sub.replied(now, now, step.address, ok(0) if well else None)
            well = not well
        else:
            sub.replied(now, now, step.address, ok(0))
    assert 5 <= visits <= 20


def test_a_trial_goes_to_every_better_machine() -> None:
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    now, third = failing_until_answer(sub, 1.0, {order[2]})
    assert third == order[2]
    while (address := asked(sub, now)) != order[1]:
        sub.replied(now, now, address, ok(0) if address == order[2] else None)
        now += 0.5
        assert now < 60
    sub.replied(now, now, order[1], ok(0))
    assert asked(sub, now) == order[1]


def test_no_control_machine_is_refused() -> None:
    with pytest.raises(ValueError, match="no control machines"):
        subscriber(controls=())


# --- refusals ---
def test_refusals_go_with_every_poll_until_sixteen_later_ones() -> None:
    sub = subscriber()
    for position in range(20):
        sub.add_refusal(position, "x" * 1000)
    for now in (1.0, 2.0):
        ask = sub.next(now)
        assert isinstance(ask, SendPoll)
        refused = ask.poll.refused
        assert [position for position, _ in refused] == list(range(4, 20))
        assert len(refused) == MAX_REFUSALS and all(len(reason) == 300 for _, reason in refused)
        msgspec.msgpack.decode(msgspec.msgpack.encode(ask.poll), type=type(ask.poll))


def test_other_control_machines_are_asked_after_a_reload_and_what_is_known_stays() -> None:
    sub = subscriber()
    give(sub, ok(2, raw(1), raw(2)))
    before, as_of = sub.next(2.0), sub.as_of
    assert isinstance(before, SendPoll)
    sub.configure((ControlEndpoint("n1:1", "r0"), ControlEndpoint("n2:1", "r1")))
    assert (sub.position, sub.as_of) == (2, as_of)
    assert applied(sub.replied(2.1, 2.0, before.address, ok(3, raw(3)))) == [3]
    assert asked(sub, 2.2) == "n1:1"
    with pytest.raises(ValueError, match="no control machines"):
        sub.configure(())
