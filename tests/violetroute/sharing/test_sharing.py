"""Gossip between proxies: budgets, datagrams, membership, node health and heavy hitters."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limebridge.faults.sharing import checker, memory, plan, rig
from limebridge.faults.sharing.checker import Admission, Observed
from limebridge.faults.sharing.plan import Fault, Plan
from tests.support import bounded
from tests.support.paths import ROOT
from violetroute.config import ConfigError
from violetroute.config.operator import load_operator
from violetroute.sharing import wire
from violetroute.sharing.budget import Budget, RequestLoan, fair_share, home_part
from violetroute.sharing.factory import safely
from violetroute.sharing.heavy_hitters import HeavyHitters, Summary, merge
from violetroute.sharing.loans import MAX_BORROWERS, MAX_LENT, MAX_OPEN_REQUESTS, Loans, LoanTerms
from violetroute.sharing.members import MAX_MEMBERS, Members, Send
from violetroute.sharing.node_health import NodeHealth
from violetroute.sharing.relays import MAX_RELAYS
from violetroute.sharing.rumors import MAX_WAITING, overrides
from violetroute.sharing.wire import (
    Envelope,
    HealthReport,
    HeavyHitterReport,
    Keys,
    Nack,
    Ping,
    PingRequest,
    Rumor,
    SequenceNumbers,
)

KEYS = Keys([b"the fleet's secret key"])


# --- fault plans, in memory and on real processes ---
@pytest.mark.long
def test_in_memory_runs_are_deterministic_and_keep_all_properties() -> None:
    first = [memory.run_seed(seed) for seed in range(40)]
    assert [each.violations for each in first] == [()] * 40
    assert memory.run_seed(3).digest == first[3].digest
    # All load is on one proxy, which still spends the whole budget.
    assert sorted(each.final_share for each in first)[20] > 0.9


REAL = Plan(
    1,
    3.0,
    5,
    120.0,
    0.6,
    [
        Fault(0.8, "split", 1, 0.8),
        Fault(1.0, "kill", 0, 0.2),
        Fault(1.4, "stop", 4, 1.0),
        Fault(1.8, "storm", 0, 0.8),
    ],
)


def test_real_daemons_spend_nearly_the_whole_budget_and_no_more() -> None:
    outcome = rig.run_plan(REAL)
    assert outcome.violations == [], checker.format_trace(outcome.observed, outcome.violations)
    assert outcome.refused > 50


# Injected bugs and the property that each violates in memory.  An exhaustive search finds the same
# bugs in tests/limebridge/faults/test_sharing_whole.py and reports the shortest trace.
PLANTED = {
    "whole_home_part_at_start": "authority",
    "time_counted_from_the_answer": "authority",
    "lender_spends_lent": "the sum",
    "renewed_without_limit": "floor",
    "no_reconnect": "goes on",
}


@pytest.mark.parametrize("plant", PLANTED)
@pytest.mark.long
def test_an_injected_bug_is_found_in_memory(plant: str) -> None:
    patch = ROOT / "tests" / "planted_sharing" / f"{plant}.py"
    result = bounded.run(  # the bug is injected in a process of its own
        [
            sys.executable,
            "-m",
            "limebridge",
            "faults",
            "sharing",
            "explore",
            "--seeds",
            "60",
            "--jobs",
            "2",
            "--patch",
            str(patch),
            "--json",
        ],
        processor_s=150,
        folder=ROOT,
    )
    assert result.returncode == 1, result.stderr[-2000:]
    assert PLANTED[plant] in {rule for _, rule, _ in msgspec.json.decode(result.stdout)["broken"]}


def test_a_plan_round_trips_and_an_invalid_one_is_a_one_line_error(tmp_path: Path) -> None:
    path = tmp_path / "plan.toml"
    for seed in range(20):
        path.write_text(plan.dump(plan.generate(seed)))
        assert plan.read(path) == plan.generate(seed)
    path.write_text("[[fault]]\nat = 1.0\nkind = 'rain'")
    with pytest.raises(ConfigError) as wrong:
        plan.read(path)
    assert "kind" in str(wrong.value) and "\n" not in str(wrong.value)


def test_the_checker_finds_a_second_in_which_the_budget_is_exceeded() -> None:
    few = Plan(0, 1.0, 2, 10.0)
    at_once = Observed([Admission(100.0 + n / 100.0, "p0") for n in range(20)])
    spread = Observed([Admission(100.0 + n / 10.0, "p0") for n in range(200)])
    assert checker.find_violations(few, at_once, real=False) and not checker.find_violations(
        few, spread, real=False
    )


# --- budgets ---
def budget(proxies: int = 2, per_s: float = 20.0, now: float = 0.0) -> Budget:
    return Budget("b", per_s, proxies, LoanTerms(1.0, 0.05), 0.1, now, random.Random(1))


def test_a_new_process_spends_only_the_floor_until_the_longest_loan_expires() -> None:
    one = budget()
    early = sum(one.spend(n / 100.0) for n in range(99))
    later = sum(one.spend(1.0 + n / 100.0) for n in range(100))
    assert early <= 1 and 9 <= later <= 11


def test_a_loan_is_deducted_and_returns_after_its_expiry() -> None:
    lender, borrower = budget(), budget()
    for now in (2.0, 2.05):
        for each in (lender, borrower):
            each.tick(now, [])
    for n in range(200):
        borrower.spend(2.05 + n / 200.0)
    (ask,) = (a for a in borrower.tick(3.1, ["lender"]) if isinstance(a, RequestLoan))
    amount = lender.grant(3.1, "borrower/1", ask.number, ask.amount)
    assert amount == 9_500  # the home part of 10,000 less the floor
    assert borrower.accept_grant(3.1, "lender", ask.number, amount) is None
    assert lender.loans.authority(3.1) == 500 and borrower.loans.authority(3.1) == 19_500
    # The loan ends later at the lender, since the borrower's clock may be slow.
    assert borrower.loans.authority(4.01) == 10_000
    assert lender.loans.authority(4.05) == 500 and lender.loans.authority(4.11) == 10_000


def test_a_busy_lender_lends_nothing_and_loans_are_divided_fairly() -> None:
    lender = budget()
    for n in range(100):
        lender.spend(2.0 + n / 100.0)
    assert lender.grant(3.0, "a/1", 1, 9_000) == 0
    assert fair_share(100, [10, 500, 500]) == 45 and fair_share(100, [10, 20]) == 20
    assert fair_share(0, [5]) == 0 and home_part(100.0, 7) == 14_285


def test_a_lender_with_own_demand_regains_its_part_when_the_loan_expires() -> None:
    lender = budget()
    number, at = 0, 2.0
    while at < 3.0:  # the lender has no demand, so it grants every renewal
        number += 1
        assert lender.grant(at, "a/1", number, 9_500) == 9_500
        at += 0.25
    while at < 6.0:  # the lender needs its whole part; the borrower still requests renewals
        number += 1
        for step in range(5):
            lender.spend(at + step / 20.0)
        lent = lender.grant(at, "a/1", number, 9_500)
        assert lent <= 9_500 if at < 4.5 else lent == 0
        at += 0.25
    assert lender.loans.own_authority(6.0) == 10_000


def test_a_suspended_lender_renews_no_loan() -> None:
    lender = budget()
    assert lender.grant(2.0, "a/1", 1, 5_000) == 5_000
    lender.set_suspended(True, 2.2)  # from now on another process has the home part
    assert lender.grant(2.5, "a/1", 2, 5_000) == 0
    assert lender.loans.lent_total(3.1) == 0


def test_lending_continues_with_an_unbounded_number_of_borrowers() -> None:
    lender, at = budget(), 2.0
    for life in range(MAX_BORROWERS + 10):  # a platform may give a proxy a new name at each start
        at += 2.0
        assert lender.grant(at, f"p/{life}", 1, 1_000) == 1_000
        lender.record_spare(at, f"p{life}", 500)
        lender.forget_member(f"p{life}")
    assert len(lender.loans._last_request) <= MAX_BORROWERS and not lender._spare_reports


def test_members_with_recent_spare_reports_get_the_first_requests() -> None:
    members = [f"m{n}" for n in range(200)]
    for after, first in ((1.0, True), (6.0, False)):  # an old report no longer counts
        one = budget()
        one.record_spare(2.0, "m7", 4_000)
        for n in range(100):
            one.spend(2.0 + after + n / 100.0)
        loan_requests = [a for a in one.tick(3.0 + after, members) if isinstance(a, RequestLoan)]
        assert (loan_requests[0].to == "m7") is first


amounts = st.integers(0, 12_000)


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "hear", "again", "back", "time", "crash"]),
            st.integers(0, 3),
            st.integers(0, 3),
            amounts,
        ),
        max_size=60,
    )
)
def test_the_spending_of_four_processes_never_exceeds_the_budget(
    steps: list[tuple[str, int, int, int]],
) -> None:
    terms, rates = LoanTerms(1.0, 0.05), (0.95, 1.05, 1.0, 1.02)
    now, lives = 10.0, [0] * 4
    loans = [Loans(10_000, terms, 10.0 * rate - 1.0) for rate in rates]
    net: list[tuple[str, int, int, int, int, int]] = []  # kind, from, to, life, number, amount
    for what, here, there, amount in steps:
        clock = [now * rate for rate in rates]
        if what == "ask" and here != there and not loans[here].awaits_answer(str(there)):
            number = loans[here].new_request(clock[here], str(there))
            net.append(("ask", here, there, lives[here], number, amount))
        elif what == "back" and here != there:
            number = loans[here].give_back(str(there))
            net.append(("back", here, there, lives[here], number, 0))
        elif what in ("hear", "again") and net:
            message = net[amount % len(net)]
            if what == "hear":
                net.remove(message)
            kind, sender, to, life, number, much = message
            if kind == "ask":
                lent = loans[to].grant(clock[to], f"{sender}/{life}", number, much, 0)
                net.append(("lend", to, sender, life, number, lent))
            elif kind == "back":
                loans[to].accept_return(clock[to], f"{sender}/{life}", number)
            elif (
                life == lives[to]
                and not loans[to].accept_grant(clock[to], str(sender), number, much)
                and much
            ):
                unwanted = loans[to].number_to_refuse(str(sender), number)
                if unwanted:
                    net.append(("back", to, sender, life, unwanted, 0))
        elif what == "time":
            now += amount / 20_000.0
        elif what == "crash":
            lives[here] += 1
            loans[here] = Loans(10_000, terms, clock[here])
        spent = sum(each.authority(now * rate) for each, rate in zip(loans, rates, strict=True))
        assert spent <= 40_000


# --- datagrams ---
def envelope(number: int = 1, name: str = "a", life: str = "l", **more: Any) -> Envelope:
    items = [wire.raw(wire.encode_item(item)) for item in more.pop("items", [Ping(1)])]
    return Envelope(
        name,
        life,
        1,
        number,
        more.pop("to", "b"),
        more.pop("to_life", ""),
        more.pop("heard", 0),
        0,
        items,
    )


def test_a_datagram_is_accepted_with_either_key_and_no_other() -> None:
    data = KEYS.seal(envelope())
    both = Keys([b"a new key of the fleet", b"the fleet's secret key"])
    assert KEYS.open(data) == both.open(data) == envelope()
    assert KEYS.open(both.seal(envelope())) is None
    for place in range(len(data)):
        assert KEYS.open(data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :]) is None
    assert KEYS.open(data[:-1]) is None and KEYS.open(b"") is None
    with pytest.raises(ValueError, match="16 to 64"):
        Keys([b"short"])


@given(st.binary(max_size=1300))
def test_random_bytes_are_no_datagram_and_authenticated_ones_no_item(noise: bytes) -> None:
    assert KEYS.open(noise) is None
    sealed = KEYS._first + wire._mac(KEYS._keys[KEYS._first], noise) + noise
    opened = KEYS.open(wire.MAGIC + sealed)
    assert opened is None or isinstance(wire.items(opened), list)


def test_unknown_items_of_a_later_build_are_skipped() -> None:
    later = envelope(items=[Ping(4)])
    later = msgspec.structs.replace(
        later,
        items=[
            msgspec.Raw(msgspec.msgpack.encode(["zz", 1, "?"])),
            *later.items,
            msgspec.Raw(msgspec.msgpack.encode(["p", 5, "a field that is new"])),
        ],
    )
    opened = KEYS.open(KEYS.seal(later))
    assert opened is not None and wire.items(opened) == [Ping(4), Ping(5)]


def test_sequence_numbers_refuse_replays_and_bound_the_age_of_an_answer() -> None:
    numbers = SequenceNumbers()
    assert [numbers.is_new("a", "l", n) for n in (5, 3, 5, 3, 4, 70, 5, 7, 1)] == [
        True,
        True,
        False,
        False,
        True,
        True,
        False,
        True,
        False,
    ]
    assert numbers.is_new("a", "another life", 5)
    first = numbers.next("a", 10.0)
    assert numbers.age("a", first, 12.5) == 2.5
    assert numbers.age("a", first + 7, 12.5) is None and numbers.age("c", first, 12.5) is None


# --- members ---
class Fleet:
    """Members on a virtual clock, with a network that drops datagrams as `cut` says."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now, self.random = 0.0, random.Random(seed)
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.loss = 0.0
        self.sent = 0
        self.changes: list[tuple[float, str, str, str]] = []
        self.here: dict[str, Members] = {}
        for number in range(count):
            self.start(f"p{number}", "x", number + 1)

    def start(self, name: str, life: str, incarnation: int, place: str = "") -> Members:
        made = self.here[place or name] = Members(
            name,
            life,
            incarnation,
            place or name,
            "",
            1.0,
            ["p0", "p1"],
            random.Random(f"{name}{life}"),
            self.now,
            lambda who, state, was: self.changes.append((self.now, name, who, state)),
        )
        return made

    def put(self, sender: Members, out: Send) -> None:
        to = sender.lookup(out.to)[1] if out.to else out.place
        self.sent += 1
        place = sender._place
        if to not in self.here or self.cut(place, to) or self.random.random() < self.loss:
            return
        for item in (*out.items, *sender.rumors()):
            there = self.here[to]
            for answer in there.receive(
                self.now, sender.name, sender.life, sender.incarnation, item, place
            ):
                self.put(there, answer)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for member in list(self.here.values()):
                for out in member.tick(self.now):
                    self.put(member, out)

    def whole(self) -> bool:
        return all(len(m.up()) == len(self.here) - 1 for m in self.here.values())


def test_all_members_find_each_other_from_two_seeds() -> None:
    fleet = Fleet(40)
    fleet.run(25.0)
    assert fleet.whole()


def test_a_stopped_member_is_declared_dead_in_bounded_time_and_can_return() -> None:
    fleet = Fleet(12)
    fleet.run(10.0)
    gone = fleet.here.pop("p5")
    fleet.run(2.0 + 3.0 * 4.0 * 1.1 + 12.0)
    assert all("p5" not in m.up() for m in fleet.here.values())
    fleet.here["p5"] = gone  # it was only stopped, and learns that it was declared dead
    fleet.run(15.0)
    assert fleet.whole()


def test_datagram_loss_declares_no_member_dead() -> None:
    fleet = Fleet(16)
    fleet.run(20.0)
    fleet.changes.clear()
    fleet.loss = 0.2
    fleet.run(60.0)
    assert not [change for change in fleet.changes if change[3] == "d"]


def test_a_long_partition_heals() -> None:
    fleet = Fleet(15)
    fleet.run(10.0)
    apart = {"p1", "p7", "p9"}
    fleet.cut = lambda a, b: (a in apart) != (b in apart)
    fleet.run(40.0)
    assert all(not apart & set(m.up()) for name, m in fleet.here.items() if name not in apart)
    assert fleet.here["p7"].health > 0  # isolated from the majority: its local health is bad
    fleet.cut = lambda a, b: False
    fleet.run(25.0)
    assert fleet.whole()


def test_an_isolated_member_lowers_its_local_health_before_suspecting_others() -> None:
    fleet = Fleet(12)
    fleet.run(10.0)
    fleet.cut = lambda a, b: b == "p3"
    fleet.run(6.0)
    assert fleet.here["p3"].health > 0
    assert max(m.health for name, m in fleet.here.items() if name != "p3") <= 1


def test_of_two_processes_with_one_name_the_later_one_holds_it_until_it_stops() -> None:
    fleet = Fleet(8)
    fleet.run(8.0)
    fleet.start("p3", "y", 1_000, place="elsewhere")
    fleet.run(12.0)
    assert fleet.here["p3"].duplicate is not None and fleet.here["elsewhere"].duplicate is None
    assert fleet.here["p6"].lookup("p3")[:2] == ("y", "elsewhere")
    del fleet.here["elsewhere"]
    fleet.run(45.0)
    assert fleet.here["p3"].duplicate is None and fleet.here["p6"].lookup("p3")[:2] == ("x", "p3")


def test_a_rumor_of_a_previous_process_changes_nothing() -> None:
    for state in ("s", "d", "l"):
        assert not overrides(Rumor("x", "before", 5, state), "a", "now", 5)
        assert overrides(Rumor("x", "now", 5, state), "a", "now", 5)
    assert overrides(Rumor("x", "after", 6, "a"), "d", "now", 5)


def test_state_kept_for_other_members_is_bounded() -> None:
    one = Members("p0", "l", 1, "here", "", 1.0, [], random.Random(1), 0.0)
    for number in range(MAX_MEMBERS + 50):
        one.receive(1.0, "p1", "l", 1, Rumor(f"p{number}", "l", 1, "a", f"at{number}"))
    assert len(one.members) == MAX_MEMBERS
    for number in range(MAX_RELAYS + 50):
        answers = one.receive(1.0, "p1", "l", 1, PingRequest(number, "p2"))
    assert answers[0].items == (Nack(MAX_RELAYS + 49),)
    assert len(one._rumors._queued) <= MAX_WAITING
    loans = Loans(10**9, LoanTerms(), -10.0)
    lent = [loans.grant(1.0, f"p{n}/1", 1, 100, 0) for n in range(MAX_LENT + 50)]
    assert lent.count(100) == MAX_LENT
    assert [loans.new_request(1.0, f"p{n}") > 0 for n in range(MAX_OPEN_REQUESTS + 5)].count(
        True
    ) == MAX_OPEN_REQUESTS


def test_a_process_with_its_clock_set_back_is_accepted() -> None:
    fleet = Fleet(6)
    fleet.run(8.0)
    del fleet.here["p4"]
    fleet.start("p4", "after", 0)
    fleet.run(60.0)
    assert fleet.here["p2"].lookup("p4")[0] == "after" and fleet.whole()


# --- node health ---
def with_reports(
    reports: dict[str, dict[int, tuple[float, float]]],
    zones: dict[str, str] | None = None,
    nodes: int = 10,
    zone: str = "a",
) -> NodeHealth:
    """`reports`: good and bad outcomes by member and node."""
    made = NodeHealth(zone)
    for node in range(nodes):
        made.add_node(node, 5.0)
    for member, outcomes in reports.items():
        for node, (good, bad) in outcomes.items():
            made.merge_report(
                1.0, member, (zones or {}).get(member, zone), HealthReport(node, 5, good, bad), 0.0
            )
    return made


def health_of(*bad: int, nodes: int = 10) -> dict[int, tuple[float, float]]:
    return {node: (0.0, 2.0) if node in bad else (2.0, 0.0) for node in range(nodes)}


def test_three_witnesses_make_a_node_unhealthy_and_two_do_not() -> None:
    assert with_reports({f"m{n}": health_of(3) for n in range(3)}).unhealthy_nodes(1.0) == [3]
    assert with_reports({f"m{n}": health_of(3) for n in range(2)}).unhealthy_nodes(1.0) == []
    decayed = with_reports({f"m{n}": health_of(3) for n in range(3)})
    assert decayed.unhealthy_nodes(20.0) == []


def test_reports_of_isolated_members_do_not_count() -> None:
    assert (
        with_reports({f"m{n}": health_of(*range(9)) for n in range(5)}).unhealthy_nodes(1.0) == []
    )


@pytest.mark.parametrize("witnesses", [8, 16, 40])
def test_one_false_report_in_ten_has_no_effect(witnesses: int) -> None:
    false_reporters = max(1, witnesses // 10)
    reports = {f"m{n}": health_of() for n in range(witnesses - false_reporters)}
    reports |= {
        f"false{n}": {node: (0.0, 1e6) if node == 4 else (2.0, 0.0) for node in range(10)}
        for n in range(false_reporters)
    }
    assert with_reports(reports).unhealthy_nodes(1.0) == []
    # False reports do not hide the trouble that the other members report either.
    reports = {f"m{n}": health_of(4) for n in range(witnesses - false_reporters)}
    reports |= {f"false{n}": {4: (1e6, 0.0)} for n in range(false_reporters)}
    assert with_reports(reports).unhealthy_nodes(1.0) == [4]


def test_own_outcomes_the_own_zone_and_a_node_restart_override_reports() -> None:
    bad = {f"m{n}": health_of(3) for n in range(4)}
    own = with_reports(bad)
    for _ in range(5):
        own.record_outcome(1.0, 3, False)
    assert own.unhealthy_nodes(1.0) == []
    far = {f"f{n}": "far" for n in range(4)} | {f"n{n}": "a" for n in range(3)}
    near = {f"n{n}": health_of() for n in range(3)}
    reports = {f"f{n}": health_of(3) for n in range(4)} | near
    assert with_reports(reports, far).unhealthy_nodes(1.0) == []
    assert with_reports(reports, far, zone="other").unhealthy_nodes(1.0) == [3]
    restarted = with_reports(bad)
    restarted.add_node(3, 9.0)
    assert restarted.unhealthy_nodes(1.0) == []
    for member in bad:
        # A report about the previous start of the node does not count.
        restarted.merge_report(1.0, member, "a", HealthReport(3, 5, 0.0, 9.0), 0.0)
    assert restarted.unhealthy_nodes(1.0) == []
    for member in bad:
        restarted.merge_report(1.0, member, "a", HealthReport(3, 9, 0.0, 9.0), 0.0)
    assert restarted.unhealthy_nodes(1.0) == [3]


def test_single_failures_make_no_node_unhealthy() -> None:
    assert with_reports({f"m{n}": {3: (0.0, 0.5)} for n in range(3)}).unhealthy_nodes(1.0) == []


def test_reports_cover_own_outcomes_with_the_worst_nodes_first() -> None:
    made = with_reports({f"m{n}": health_of(1) for n in range(4)})
    for node in range(10):
        made.record_outcome(1.0, node, node == 7)
    reports = made.reports_to_send(1.0, 4)
    assert reports[0] == HealthReport(7, 5, 0.0, 1.0) and len(reports) == 4
    assert sum(each.bad for each in reports) == 1.0


# --- heavy hitters ---
@given(st.lists(st.lists(st.integers(0, 60), max_size=300), min_size=1, max_size=5))
def test_a_merged_count_is_never_too_low_and_too_high_by_at_most_its_error(
    streams: list[list[int]],
) -> None:
    made = []
    for stream in streams:
        made.append(Summary(8))
        for key in stream:
            made[-1].add(key)
    merged = merge(made, 8)
    assert merged.top() == merge(made[::-1], 8).top()
    total = sum(map(len, streams))
    for key, count, error in merged.top():
        true = sum(stream.count(key) for stream in streams)
        assert count - error <= true <= count
        assert error <= total / 8 + 1e-9


def test_counts_of_gone_or_unresponsive_members_are_dropped() -> None:
    hitters = HeavyHitters("key", 0.0)
    hitters.add(0.0, 7)
    hitters.merge_report(0.0, "m", HeavyHitterReport("key", [9], [50.0], [0.0]), 0.0)
    hitters.merge_report(0.0, "n", HeavyHitterReport("key", [8], [40.0], [0.0]), 0.0)
    # This report is invalid, since its lists differ in length.
    hitters.merge_report(0.0, "o", HeavyHitterReport("key", [8, 9], [40.0], [0.0]), 0.0)
    assert [key for key, _, _ in hitters.fleet_summary(0.0).top()] == [9, 8, 7]
    hitters.forget_member("n")
    assert [key for key, _, _ in hitters.fleet_summary(0.0).top()] == [9, 7]
    assert [key for key, _, _ in hitters.fleet_summary(11.0).top()] == [7]


# --- isolation from requests and from duplicates ---
def test_an_exception_in_the_gossip_service_fails_no_request() -> None:
    def fails(*_: object) -> float:
        raise ZeroDivisionError

    assert safely(fails)("t", "c") is None  # None admits the request
    assert safely(lambda a: a)(3.0) == 3.0


def test_a_suspended_proxy_has_no_authority() -> None:
    one = budget()
    assert one.loans.authority(2.0) == 10_000
    one.set_suspended(True, 2.0)
    assert one.loans.authority(2.0) == 0 and not one.spend(2.5)
    one.set_suspended(False, 5.0)
    assert one.loans.authority(5.5) == 500 and one.loans.authority(6.1) == 10_000


# --- settings ---
BAD = {
    'listen = "x"': "listen",
    "proxies = 4": "listen",
    'listen = "127.0.0.1:1"': "key_file",
    'listen = "0.0.0.0:1"': "listen",
    'listen = "127.0.0.1:1"\nseeds = ["y"]': "seeds",
    'listen = "127.0.0.1:1"\nways = {a = "z"}': "ways",
    'listen = "127.0.0.1:1"\nkey_file = "KEY"\nbudget = [{name = "B", per_s = 1.0}]': "budget",
    'listen = "127.0.0.1:1"\nkey_file = "KEY"\nbudget = [{name = "b", per_s = 0.0}]': "budget",
    'listen = "127.0.0.1:1"\nkey_file = "KEY"\nproxies = 4000\n'
    'budget = [{name = "b", per_s = 1.0}]': "budget",
    'listen = "127.0.0.1:1"\nkey_file = "KEY"\n'
    'budget = [{name = "b", per_s = 1.0}, {name = "b", per_s = 1.0}]': "budget",
}


@pytest.mark.parametrize("text", BAD)
def test_an_invalid_table_is_a_one_line_error_that_names_the_key(text: str, tmp_path: Path) -> None:
    (tmp_path / "key").write_text("a key of sixteen bytes and more\n")
    path = tmp_path / "operator.toml"
    path.write_text("[sharing]\n" + text.replace("KEY", str(tmp_path / "key")))
    with pytest.raises(ConfigError) as wrong:
        load_operator(str(path))
    assert BAD[text] in str(wrong.value) and "\n" not in str(wrong.value)
