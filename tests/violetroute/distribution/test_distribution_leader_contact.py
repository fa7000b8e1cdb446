"""A new leader's bound on the `as_of` of earlier leaders holds."""

from __future__ import annotations

import pytest

from limebridge.faults.distribution.checker import Rule
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
MAX_STATES, HEAL_EVERY = 900, 8  # enough states to find a wrong age, few enough for the suite


def promise(contact_ms: float) -> Promise:
    return Promise(True, 1, LogPoint(), 0, contact_ms=contact_ms)


# --- computation of contacts ---
def test_contact_time_is_the_latest_that_clock_drift_allows() -> None:
    exact = 10.0 - 2.0
    assert contact_time(promise(2000.0), 10.0, 0.0) == exact
    fast, slow = 2000.0 * (1 + DRIFT), 2.0 * (1 - DRIFT)  # the other clock, and this one
    assert contact_time(promise(fast), 10.0, DRIFT) == pytest.approx(10.0 - slow)


def test_promise_without_contact_counts_as_contact_at_its_arrival() -> None:
    assert contact_time(Promise(True, 1, LogPoint(), 0), 10.0, DRIFT) == 10.0


def test_latest_contact_of_a_majority_is_the_bound() -> None:
    assert latest_contact(3.0, (1.0, 2.0)) == 3.0
    assert latest_contact(0.0, (1.0, 2.0)) == 2.0
    assert latest_contact(1.0, ()) == 1.0


def test_contact_is_a_reply_an_own_term_or_process_start() -> None:
    contact = LeaderContact(5.0)
    assert contact.elapsed_ms(6.0) == 1000.0
    contact.term_ended(None)  # its first batch was never committed, so it reported no age
    assert contact.at == 5.0
    contact.reply_received(7.0)
    contact.term_ended(6.0)
    assert contact.at == 7.0
    contact.term_ended(8.0)
    assert contact.at == 8.0


# --- reported contacts ---
def reported_contact(cluster: Cluster, name: str, leader: str) -> float:
    """Returns the seconds since the last contact that this machine reports to the next leader."""
    cluster.fence += 1
    ticket = cluster.request(name, Prepare(leader, cluster.fence))
    while ticket not in cluster.answers:
        assert cluster.sync(name)
    reply = cluster.answers[ticket]
    assert isinstance(reply, Promise) and reply.granted
    return reply.contact_ms / 1000.0


def led_by_m0(seconds: float = 5.0) -> Cluster:
    cluster = Cluster(3)
    cluster.lead("m0")
    cluster.run(seconds)
    return cluster


def test_follower_reports_time_since_last_reply() -> None:
    cluster = led_by_m0()
    cluster.cut = frozenset(("m1",))
    cluster.run(3.0)
    assert 2.5 < reported_contact(cluster, "m1", "m2") <= 3.3
    assert reported_contact(cluster, "m2", "m1") < 0.5


def test_restarted_process_reports_its_start_as_contact() -> None:
    cluster = led_by_m0()
    cluster.crash("m1")
    cluster.cut = frozenset(("m1",))
    cluster.run(1.0)
    cluster.start("m1")
    cluster.run(0.5)
    assert reported_contact(cluster, "m1", "m2") <= 0.6


def test_replaced_leader_reports_its_as_of_as_contact() -> None:
    cluster = led_by_m0()
    cluster.cut = frozenset(("m0",))
    cluster.run(2.0)  # no machine echoes the leader's answers, so its as_of does not advance
    assert 1.5 < reported_contact(cluster, "m0", "m1") <= 2.5


def test_bound_covers_several_short_terms() -> None:
    cluster = led_by_m0()
    for name in ("m1", "m2", "m0", "m1"):
        cluster.lead(name)
        cluster.run(0.1)
    assert len(cluster.latest_as_of) >= 3
    last = cluster.machine("m1")
    assert last.latest_leader_contact_at >= max(
        at for fence, at in cluster.latest_as_of.items() if fence < 5
    )


def test_promise_of_recovering_machine_is_not_counted() -> None:
    cluster = led_by_m0()
    cluster.lose_disk("m1")
    cluster.cut = frozenset(("m0",))
    cluster.lead("m2")
    cluster.run(1.0)
    leadership = cluster.machine("m2")._leadership
    assert leadership is not None and not leadership.active and leadership.contacts == ()


# --- exploration of all event orders ---
def every_order() -> CheckResult:
    """Explores all event orders of a leader change that is followed by another one."""
    none = dict.fromkeys(("publications", "losses", "copies", "crashes", "torn", "disks"), 0)
    start = World(Bounds(**none, leaders=1, times=1))
    return check(start, max_states=MAX_STATES, liveness_every=HEAL_EVERY)


def test_no_order_of_two_leader_changes_violates_a_rule() -> None:
    found = every_order()
    assert found.traces == {} and found.liveness_checks > 100


def test_exploration_detects_use_of_the_earliest_contact(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(machine_module, "latest_contact", lambda own, others: min((own, *others)))
    assert set(every_order().traces) == {Rule.AGE.value}


# --- in force ---
def new_term(contact_at: float) -> Term:
    """Returns a term with its first commit at 10.0; `a` reported in full, `b` is unreachable."""
    term = Term()
    term.core = InForceTracker(InForceSettings(), NAMES, 9.0)
    term.core.committed(10.0, 1, contact_at)
    term.report(10.1, "a", state("p", 1))
    return term


def test_unreachable_machine_blocks_early_rule_for_drop_after_s_from_last_contact() -> None:
    term = new_term(8.8)
    end = 8.8 + BOUND
    term.core.tick(end - 0.001, end)
    assert term.core.in_force == 0 and term.core.next_at == pytest.approx(end)
    term.core.tick(end, end)
    assert term.core.in_force == 1


def test_contact_after_first_commit_counts_as_first_commit() -> None:
    term = new_term(11.0)
    end = 10.0 + BOUND
    term.core.tick(end - 0.001, end)
    assert term.core.in_force == 0


def test_old_contact_does_not_block_early_rule() -> None:
    term = new_term(10.0 - BOUND)
    term.core.tick(10.2, 10.2)
    assert term.core.in_force == 1


def test_restarted_machine_blocks_early_rule_from_last_contact() -> None:
    term = Term()
    term.core = InForceTracker(InForceSettings(), ("a",), 9.0)
    term.core.committed(10.0, 1, 8.8)
    term.report(10.1, "a", state("p", 1), running_s=0.5)
    end = 8.8 + BOUND
    term.core.tick(end - 0.001, end)
    # The previous process of `a` may have answered sessions that the leader does not know.
    assert term.core.in_force == 0


def test_killed_leader_delays_in_force_by_less_than_drop_after_s() -> None:
    kill = (Fault(6.0, "stop", "leader1", 99.0), Fault(6.0, "stop", "m0", 99.0))
    plan = Plan(seed=3, lasts=14.0, change_at=6.0, takeover_s=TAKEOVER_S, loss=0.0, faults=kill)
    world = session_world.World(plan)
    world.run()
    slowest = max(world.leaders[2].in_force_s)
    assert slowest < BOUND - TAKEOVER_S + 0.5
