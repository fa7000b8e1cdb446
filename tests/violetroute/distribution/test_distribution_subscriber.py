"""A proxy applies the log in order, detects that it is stale, and selects a control machine."""

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


def deliver(sub: Subscriber, reply: PollReply | None, now: float = 1.0) -> list[Effect]:
    send = sub.next(now)
    assert isinstance(send, SendPoll)
    return sub.replied(now + 0.1, now, send.address, reply)


def applied(effects: list[Effect]) -> list[int]:
    return [effect.batch.position for effect in effects if isinstance(effect, Apply)]


def polled_address(sub: Subscriber, now: float) -> str:
    send = sub.next(now)
    assert isinstance(send, SendPoll)
    return send.address


def poll_until_answered(sub: Subscriber, now: float, healthy: set[str]) -> tuple[float, str]:
    """Poll until a machine of `healthy` answers; all others fail.  Returns the time and address."""
    while True:
        step = sub.next(now)
        if isinstance(step, WaitUntil):
            now = step.until
            continue
        answers = step.address in healthy
        sub.replied(now, now, step.address, ok(0) if answers else None)
        if answers:
            return now, step.address


# --- order ---
def test_batches_are_applied_in_order_and_acknowledged_by_the_next_poll() -> None:
    sub = subscriber()
    assert applied(deliver(sub, ok(2, raw(1), raw(2)))) == [1, 2]
    send = sub.next(2.0)
    assert isinstance(send, SendPoll) and send.poll.position == 2 and send.poll.log == "L"


def test_nothing_is_applied_after_a_sequence_gap() -> None:
    sub = subscriber()
    effects = deliver(sub, ok(4, raw(1), raw(3), raw(2)))
    assert applied(effects) == [1] and SequenceGap(2, 3) in effects
    assert sub.position == 1 and sub.as_of is None
    assert polled_address(sub, 2.0) != preference("p1", "r0", CONTROLS)[0].address


def test_nothing_is_applied_twice() -> None:
    sub = subscriber()
    deliver(sub, ok(2, raw(1), raw(2)))
    assert applied(deliver(sub, ok(3, raw(1), raw(2), raw(2), raw(3), raw(3)))) == [3]


def test_a_lower_fence_at_a_later_position_is_not_applied() -> None:
    sub = subscriber()
    deliver(sub, ok(1, raw(1, fence=5)))
    effects = deliver(sub, ok(2, raw(2, fence=4)))
    assert applied(effects) == [] and SequenceGap(2, 2) in effects
    assert applied(deliver(sub, ok(2, raw(2, fence=5)), 2.0)) == [2]


@pytest.mark.parametrize("body", [b"\xc1", b"", b"\x93\x01", b"\x94\x02\x01\x00\x05", b"\xa1x"])
def test_nothing_is_applied_after_an_undecodable_batch(body: bytes) -> None:
    sub = subscriber()
    effects = deliver(sub, ok(3, raw(1), msgspec.Raw(body), raw(2)))
    assert applied(effects) == [1] and SequenceGap(2, None) in effects


def test_an_answer_of_another_log_is_not_applied() -> None:
    sub = subscriber()
    deliver(sub, ok(1, raw(1)))
    assert applied(deliver(sub, ok(2, raw(2), log="M"))) == []
    assert sub.position == 1


# --- snapshots ---
def test_a_snapshot_invalidates_everything_and_continues_from_its_base() -> None:
    sub = subscriber()
    effects = deliver(sub, snapshot(7, 1, "L", raw(8)))
    assert isinstance(effects[0], InvalidateAll) and applied(effects) == [7, 8]
    assert isinstance(effects[1], Apply) and effects[1].batch.records[0].key == "table"
    assert sub.position == 8 and sub.fresh(1.1)


def test_a_snapshot_at_the_applied_position_changes_nothing() -> None:
    sub = subscriber()
    deliver(sub, ok(2, raw(1), raw(2)))
    assert deliver(sub, snapshot(2)) == [] and sub.position == 2


def test_a_snapshot_with_a_lower_fence_at_a_later_position_is_ignored() -> None:
    sub = subscriber()
    deliver(sub, ok(1, raw(1, fence=5)))
    assert deliver(sub, snapshot(9, fence=4)) == [] and sub.position == 1


def test_a_snapshot_of_another_log_invalidates_everything_at_any_position() -> None:
    sub = subscriber()
    deliver(sub, ok(2, raw(1, fence=5), raw(2, fence=5)))
    effects = deliver(sub, snapshot(1, fence=1, log="M"))
    assert isinstance(effects[0], InvalidateAll) and sub.position == 1
    assert applied(deliver(sub, ok(2, raw(2), log="M"), 2.0)) == [2]


def test_as_of_is_reset_when_the_log_is_replaced() -> None:
    sub = subscriber()
    deliver(sub, ok(1, raw(1)))
    stale = msgspec.structs.replace(snapshot(1, log="M"), age_ms=-1.0)
    deliver(sub, stale)
    assert sub.as_of is None and not sub.fresh(1.2)


# --- freshness ---
def test_as_of_is_the_send_time_of_the_poll_minus_the_age() -> None:
    sub = subscriber()
    assert sub.replied(5.0, 4.0, "c0:1", ok(1, raw(1), age_ms=300.0)) != []
    assert sub.as_of == pytest.approx(3.7)
    assert sub.fresh(3.7 + 2.8 - 1e-6) and not sub.fresh(3.7 + 2.8 + 1e-6)


def test_as_of_advances_only_when_everything_up_to_the_commit_is_applied() -> None:
    sub = subscriber()
    deliver(sub, ok(3, raw(1)))
    assert sub.as_of is None
    deliver(sub, ok(0))  # from a machine that is behind this proxy
    assert sub.as_of is None


def test_as_of_never_decreases() -> None:
    sub = subscriber()
    deliver(sub, ok(0, age_ms=0.0), 2.0)
    deliver(sub, ok(0, age_ms=2000.0), 2.2)
    assert sub.as_of == 2.0


def test_an_unknown_age_gives_no_freshness_and_another_machine_is_polled() -> None:
    sub = subscriber()
    first = polled_address(sub, 1.0)
    deliver(sub, ok(0, age_ms=-1.0))
    assert sub.as_of is None and polled_address(sub, 1.2) != first


def test_after_an_answer_with_an_old_age_another_machine_is_polled() -> None:
    sub = subscriber()
    first = polled_address(sub, 1.0)
    deliver(sub, ok(0, age_ms=2900.0))
    assert polled_address(sub, 1.2) != first


def test_becoming_stale_and_fresh_is_reported_once() -> None:
    sub = subscriber()
    assert any(isinstance(effect, BecameFresh) for effect in deliver(sub, ok(0), 1.0))
    assert not any(isinstance(effect, BecameFresh) for effect in deliver(sub, ok(0), 1.2))
    assert sub.as_of == pytest.approx(1.1) and sub.tick(3.89) == []
    assert 3.9 < sub.next_at < 3.91
    (effect,) = sub.tick(sub.next_at)
    assert isinstance(effect, BecameStale) and effect.behind_s == pytest.approx(2.801)
    assert sub.tick(9.0) == [] and sub.next_at > 1e9
    assert any(isinstance(effect, BecameFresh) for effect in deliver(sub, ok(0), 9.0))


def test_a_proxy_that_was_never_answered_reports_that_it_is_stale() -> None:
    sub = subscriber(now=10.0)
    assert sub.tick(12.7) == [] and isinstance(sub.tick(12.9)[0], BecameStale)


# --- selection of the control machine ---
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


def test_proxies_of_regions_without_a_machine_spread_over_all_machines() -> None:
    regions = {name: f"r{index % 10}" for index, name in enumerate(NAMES)}
    first = Counter(preference(name, regions[name], EIGHT)[0].address for name in NAMES)
    assert all(260 + 30 <= number <= 260 + 100 for number in first.values())


def test_the_order_does_not_depend_on_the_order_of_the_settings() -> None:
    for name in NAMES[:50]:
        assert preference(name, "r1", EIGHT) == preference(name, "r1", EIGHT[::-1])


def test_after_a_failure_the_next_machine_is_polled_at_once_then_with_backoff() -> None:
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    assert polled_address(sub, 1.0) == order[0]
    sub.replied(1.0, 1.0, order[0], None)
    assert polled_address(sub, 1.0) == order[1]
    pauses = []
    now = 1.0
    for number in range(1, 9):
        sub.replied(now, now, order[number % 4], None)
        step = sub.next(now)
        assert isinstance(step, WaitUntil)
        pauses.append(step.until - now)
        now = step.until
        assert polled_address(sub, now) == order[(number + 1) % 4]
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
def test_after_an_error_status_another_machine_is_polled(status: int) -> None:
    sub = subscriber()
    first = polled_address(sub, 1.0)
    sub.replied(1.0, 1.0, first, PollReply(status, "L"))
    assert polled_address(sub, 1.0) != first


def test_an_answer_without_progress_is_a_failure() -> None:
    sub = subscriber()
    first = polled_address(sub, 1.0)
    sub.replied(1.0, 1.0, first, ok(5))
    assert polled_address(sub, 1.0) != first


def test_a_proxy_returns_to_its_preferred_machine() -> None:
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    now, second = poll_until_answered(sub, 1.0, {order[1]})
    assert second == order[1]
    assert polled_address(sub, now + FIRST_TRIAL_DELAY_S * 0.4) == order[1]
    send = sub.next(now + FIRST_TRIAL_DELAY_S * 1.6)
    assert isinstance(send, SendPoll) and send.address == order[0] and send.timeout_s < 1.5
    sub.replied(now, now, order[0], ok(0))
    assert polled_address(sub, now) == order[0]


def test_after_a_failed_trial_the_proxy_keeps_its_machine_and_tries_later() -> None:
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    now, _ = poll_until_answered(sub, 1.0, {order[1]})
    trials = []
    while len(trials) < 8:
        now += 0.5
        assert now < 1000
        address = polled_address(sub, now)
        answers = address == order[1]
        sub.replied(now, now, address, ok(0) if answers else None)
        if not answers:
            trials.append(now)
            assert address == order[0] and polled_address(sub, now) == order[1]
    pauses = [later - earlier for earlier, later in pairwise(trials)]
    assert max(pauses) <= MAX_TRIAL_DELAY_S * 1.5 + 0.5
    assert min(pauses[4:]) >= MAX_TRIAL_DELAY_S * 0.5 - 0.5 > pauses[0] - FIRST_TRIAL_DELAY_S * 3


def test_a_flapping_machine_is_tried_with_growing_intervals() -> None:
    """For ten minutes, the preferred machine answers every second poll and fails the others."""
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    now, _ = poll_until_answered(sub, 1.0, {order[1]})
    visits = 0
    healthy = True
    while now < 600:
        step = sub.next(now)
        now = max(now + 0.4, step.until if isinstance(step, WaitUntil) else 0)
        if isinstance(step, WaitUntil):
            continue
        if step.address == order[0]:
            visits += healthy
            sub.replied(now, now, step.address, ok(0) if healthy else None)
            healthy = not healthy
        else:
            sub.replied(now, now, step.address, ok(0))
    assert 5 <= visits <= 20


def test_a_trial_goes_to_every_better_machine() -> None:
    sub = subscriber()
    order = [control.address for control in preference("p1", "r0", CONTROLS)]
    now, third = poll_until_answered(sub, 1.0, {order[2]})
    assert third == order[2]
    while (address := polled_address(sub, now)) != order[1]:
        sub.replied(now, now, address, ok(0) if address == order[2] else None)
        now += 0.5
        assert now < 60
    sub.replied(now, now, order[1], ok(0))
    assert polled_address(sub, now) == order[1]


def test_an_empty_list_of_control_machines_raises() -> None:
    with pytest.raises(ValueError, match="no control machines"):
        subscriber(controls=())


# --- refusals ---
def test_every_poll_carries_the_latest_sixteen_refusals() -> None:
    sub = subscriber()
    for position in range(20):
        sub.add_refusal(position, "x" * 1000)
    for now in (1.0, 2.0):
        send = sub.next(now)
        assert isinstance(send, SendPoll)
        refused = send.poll.refused
        assert [position for position, _ in refused] == list(range(4, 20))
        assert len(refused) == MAX_REFUSALS and all(len(reason) == 300 for _, reason in refused)
        msgspec.msgpack.decode(msgspec.msgpack.encode(send.poll), type=type(send.poll))


def test_a_reload_changes_the_control_machines_and_keeps_position_and_as_of() -> None:
    sub = subscriber()
    deliver(sub, ok(2, raw(1), raw(2)))
    before, as_of = sub.next(2.0), sub.as_of
    assert isinstance(before, SendPoll)
    sub.configure((ControlEndpoint("n1:1", "r0"), ControlEndpoint("n2:1", "r1")))
    assert (sub.position, sub.as_of) == (2, as_of)
    assert applied(sub.replied(2.1, 2.0, before.address, ok(3, raw(3)))) == [3]
    assert polled_address(sub, 2.2) == "n1:1"
    with pytest.raises(ValueError, match="no control machines"):
        sub.configure(())
