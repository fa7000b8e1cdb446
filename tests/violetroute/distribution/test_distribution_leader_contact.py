"""No earlier leader tells an age that counts from after what a new leader allows for."""

from __future__ import annotations

import pytest

from limebridge.faults.distribution.judge import Rule
from limebridge.faults.distribution.state_space import Bounds, World
from limebridge.faults.state_space import CheckResult, check
from tests.support import session_world
from tests.support.distribution_cluster import Cluster
from tests.support.session_world import Fault, Plan
from tests.violetroute.distribution.test_distribution_in_force import BOUND, NAMES, Term, state
from violetroute.distribution import machine as machine_module
from violetroute.distribution.in_force import InForceSettings, InForceTracker
from violetroute.distribution.leader_contact import LeaderContact, contact_time, latest_contact
from violetroute.distribution.messages import LogPoint, Prepare, Promise

DRIFT = 0.05
TAKEOVER_S = 1.2
MOST, HEAL_EVERY = 900, 8  # states: enough to meet a wrong age, few enough for the suite


def promise(contact_ms: float) -> Promise:
    return Promise(True, 1, LogPoint(), 0, contact_ms=contact_ms)


# --- the reckoning ---
def test_a_contact_is_taken_as_late_as_the_clocks_allow() -> None:
    exact = 10.0 - 2.0
    assert contact_time(promise(2000.0), 10.0, 0.0) == exact
    fast, slow = 2000.0 * (1 + DRIFT), 2.0 * (1 - DRIFT)  # the other's clock, and this one's
    assert contact_time(promise(fast), 10.0, DRIFT) == pytest.approx(10.0 - slow)


def test_who_tells_nothing_may_have_had_its_contact_until_its_promise() -> None:
    assert contact_time(Promise(True, 1, LogPoint(), 0), 10.0, DRIFT) == 10.0


def test_the_latest_contact_of_a_majority_counts() -> None:
    assert latest_contact(3.0, (1.0, 2.0)) == 3.0
    assert latest_contact(0.0, (1.0, 2.0)) == 2.0
    assert latest_contact(1.0, ()) == 1.0


def test_a_contact_is_an_answer_an_own_term_or_the_begin_of_the_process() -> None:
    contact = LeaderContact(5.0)
    assert contact.elapsed_ms(6.0) == 1000.0
    contact.term_ended(None)  # its first batch was never committed: it told no age
    assert contact.at == 5.0
    contact.reply_received(7.0)
    contact.term_ended(6.0)
    assert contact.at == 7.0
    contact.term_ended(8.0)
    assert contact.at == 8.0


# --- what machines tell ---
def asked(cluster: Cluster, name: str, leader: str) -> float:
    """Seconds since the last contact, as this machine tells the next leader."""
    cluster.fence += 1
    ticket = cluster.request(name, Prepare(leader, cluster.fence))
    while ticket not in cluster.answers:
        assert cluster.sync(name)
    told = cluster.answers[ticket]
    assert isinstance(told, Promise) and told.granted
    return told.contact_ms / 1000.0


def led_by_m0(seconds: float = 5.0) -> Cluster:
    cluster = Cluster(3)
    cluster.lead("m0")
    cluster.run(seconds)
    return cluster


def test_a_follower_tells_when_it_had_its_last_answer() -> None:
    cluster = led_by_m0()
    cluster.cut = frozenset(("m1",))
    cluster.run(3.0)
    assert 2.5 < asked(cluster, "m1", "m2") <= 3.3
    assert asked(cluster, "m2", "m1") < 0.5


def test_a_process_that_has_just_begun_does_not_know_what_the_one_before_heard() -> None:
    cluster = led_by_m0()
    cluster.crash("m1")
    cluster.cut = frozenset(("m1",))
    cluster.run(1.0)
    cluster.start("m1")
    cluster.run(0.5)
    assert asked(cluster, "m1", "m2") <= 0.6


def test_a_leader_that_makes_way_tells_from_when_its_youngest_age_counts() -> None:
    cluster = led_by_m0()
    cluster.cut = frozenset(("m0",))
    cluster.run(2.0)  # nobody echoes its answers: the ages that it tells become older
    assert 1.5 < asked(cluster, "m0", "m1") <= 2.5


def test_after_several_short_terms_the_promises_cover_all_of_them() -> None:
    cluster = led_by_m0()
    for name in ("m1", "m2", "m0", "m1"):
        cluster.lead(name)
        cluster.run(0.1)
    assert len(cluster.told) >= 3
    last = cluster.machine("m1")
    assert last.latest_leader_contact_at >= max(
        at for fence, at in cluster.told.items() if fence < 5
    )


def test_the_promise_of_a_recovering_machine_is_left_out() -> None:
    cluster = led_by_m0()
    cluster.lose_disk("m1")
    cluster.cut = frozenset(("m0",))
    cluster.lead("m2")
    cluster.run(1.0)
    leadership = cluster.machine("m2")._leadership
    assert leadership is not None and not leadership.active and leadership.contacts == ()


# --- every order ---
def every_order() -> CheckResult:
    """Of a change of leaders, each followed by another one."""
    none = dict.fromkeys(("publications", "losses", "copies", "crashes", "torn", "disks"), 0)
    start = World(Bounds(**none, leaders=1, times=1))
    return check(start, most=MOST, heal_every=HEAL_EVERY)


def test_every_order_of_two_changes_of_leaders_keeps_the_ages() -> None:
    found = every_order()
    assert found.stories == {} and found.healed > 100


def test_every_order_finds_a_leader_that_counts_from_the_earliest_contact(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(machine_module, "latest_contact", lambda own, others: min((own, *others)))
    assert set(every_order().stories) == {Rule.AGE.value}


# --- in force ---
def new_term(contact_at: float) -> Term:
    """Its first batch is committed at 10.0; machine `a` has reported in full, `b` is gone."""
    term = Term()
    term.core = InForceTracker(InForceSettings(), NAMES, 9.0)
    term.core.committed(10.0, 1, contact_at)
    term.report(10.1, "a", state("p", 1))
    return term


def test_a_machine_that_is_gone_is_doubted_for_the_bound_from_the_last_contact() -> None:
    term = new_term(8.8)
    end = 8.8 + BOUND
    term.core.tick(end - 0.001, end)
    assert term.core.in_force == 0 and term.core.next_at == pytest.approx(end)
    term.core.tick(end, end)
    assert term.core.in_force == 1


def test_no_contact_counts_from_after_the_first_commit() -> None:
    term = new_term(11.0)
    end = 10.0 + BOUND
    term.core.tick(end - 0.001, end)
    assert term.core.in_force == 0


def test_a_contact_that_is_long_past_leaves_no_doubt() -> None:
    term = new_term(10.0 - BOUND)
    term.core.tick(10.2, 10.2)
    assert term.core.in_force == 1


def test_a_machine_whose_process_is_new_is_doubted_all_the_same() -> None:
    term = Term()
    term.core = InForceTracker(InForceSettings(), ("a",), 9.0)
    term.core.committed(10.0, 1, 8.8)
    term.report(10.1, "a", state("p", 1), running_s=0.5)
    end = 8.8 + BOUND
    term.core.tick(end - 0.001, end)
    assert term.core.in_force == 0  # nobody knows whom its process before this one had told


def test_a_killed_leader_delays_what_is_published_next_by_less_than_the_bound() -> None:
    kill = (Fault(6.0, "stop", "leader1", 99.0), Fault(6.0, "stop", "m0", 99.0))
    plan = Plan(seed=3, lasts=14.0, change_at=6.0, takeover_s=TAKEOVER_S, loss=0.0, faults=kill)
    world = session_world.World(plan)
    world.run()
    slowest = max(world.leaders[2].in_force_s)
    assert slowest < BOUND - TAKEOVER_S + 0.5
