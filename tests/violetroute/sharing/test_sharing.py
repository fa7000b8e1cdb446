"""What proxies tell each other: datagrams, membership, judgements, counts, budgets."""

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

from limebridge.faults.sharing import judge, memory, plan, rig
from limebridge.faults.sharing.judge import Admission, Seen
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


# --- plans, in memory and on real processes ---
@pytest.mark.long
def test_seeds_in_memory_are_exact_and_keep_every_property() -> None:
    first = [memory.played(seed) for seed in range(40)]
    assert [each.broken for each in first] == [()] * 40
    assert memory.played(3).digest == first[3].digest
    # The load is on one proxy, and the budget is spent all the same.
    assert sorted(each.again for each in first)[20] > 0.9


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


def test_real_daemons_spend_no_more_than_the_budget_and_nearly_all_of_it() -> None:
    outcome = rig.play(REAL)
    assert outcome.broken == [], judge.tell(outcome.seen, outcome.broken)
    assert outcome.refused > 50


# Each with the property that it breaks in memory; the same plants are found whole in
# tests/limebridge/faults/test_sharing_whole.py, where the shortest story is told.
PLANTED = {
    "whole_at_once": "authority",
    "from_the_receipt": "authority",
    "lender_goes_on": "the sum",
    "renewed_for_ever": "floor",
    "no_way_back": "goes on",
}


@pytest.mark.parametrize("plant", PLANTED)
@pytest.mark.long
def test_a_planted_fault_is_found_in_memory(plant: str) -> None:
    patch = ROOT / "tests" / "planted_sharing" / f"{plant}.py"
    told = bounded.run(  # a plant stays in its process
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
    assert told.returncode == 1, told.stderr[-2000:]
    assert PLANTED[plant] in {rule for _, rule, _ in msgspec.json.decode(told.stdout)["broken"]}


def test_a_plan_is_read_back_and_one_that_is_none_is_one_line(tmp_path: Path) -> None:
    path = tmp_path / "plan.toml"
    for seed in range(20):
        path.write_text(plan.dump(plan.draw(seed)))
        assert plan.read(path) == plan.draw(seed)
    path.write_text("[[fault]]\nat = 1.0\nkind = 'rain'")
    with pytest.raises(ConfigError) as wrong:
        plan.read(path)
    assert "kind" in str(wrong.value) and "\n" not in str(wrong.value)


def test_the_judge_sees_a_second_that_is_too_full() -> None:
    few = Plan(0, 1.0, 2, 10.0)
    at_once = Seen([Admission(100.0 + n / 100.0, "p0") for n in range(20)])
    spread = Seen([Admission(100.0 + n / 10.0, "p0") for n in range(200)])
    assert judge.broken(few, at_once, real=False) and not judge.broken(few, spread, real=False)


# --- budgets ---
def budget(proxies: int = 2, per_s: float = 20.0, now: float = 0.0) -> Budget:
    return Budget("b", per_s, proxies, LoanTerms(1.0, 0.05), 0.1, now, random.Random(1))


def test_a_new_life_spends_its_floor_until_the_longest_loan_is_over() -> None:
    one = budget()
    early = sum(one.spend(n / 100.0) for n in range(99))
    later = sum(one.spend(1.0 + n / 100.0) for n in range(100))
    assert early <= 1 and 9 <= later <= 11


def test_what_is_lent_is_not_spent_and_comes_back() -> None:
    lender, borrower = budget(), budget()
    for now in (2.0, 2.05):
        for each in (lender, borrower):
            each.tick(now, [])
    for n in range(200):
        borrower.spend(2.05 + n / 200.0)
    (ask,) = (a for a in borrower.tick(3.1, ["lender"]) if isinstance(a, RequestLoan))
    amount = lender.grant(3.1, "borrower/1", ask.number, ask.amount)
    assert amount == 9_500  # all but the floor
    assert borrower.accept_grant(3.1, "lender", ask.number, amount) is None
    assert lender.loans.authority(3.1) == 500 and borrower.loans.authority(3.1) == 19_500
    assert borrower.loans.authority(4.01) == 10_000  # its clock may be slow
    assert lender.loans.authority(4.05) == 500 and lender.loans.authority(4.11) == 10_000


def test_who_needs_its_part_lends_none_and_shares_go_evenly() -> None:
    lender = budget()
    for n in range(100):
        lender.spend(2.0 + n / 100.0)
    assert lender.grant(3.0, "a/1", 1, 9_000) == 0
    assert fair_share(100, [10, 500, 500]) == 45 and fair_share(100, [10, 20]) == 20
    assert fair_share(0, [5]) == 0 and home_part(100.0, 7) == 14_285


def test_a_lender_that_needs_its_part_has_it_back_when_the_loan_is_over() -> None:
    lender = budget()
    number, at = 0, 2.0
    while at < 3.0:  # nobody asks it: it lends, again and again
        number += 1
        assert lender.grant(at, "a/1", number, 9_500) == 9_500
        at += 0.25
    while at < 6.0:  # it is asked for all that it has, and the borrower asks on
        number += 1
        for step in range(5):
            lender.spend(at + step / 20.0)
        lent = lender.grant(at, "a/1", number, 9_500)
        assert lent <= 9_500 if at < 4.5 else lent == 0
        at += 0.25
    assert lender.loans.own_authority(6.0) == 10_000


def test_one_that_stands_aside_renews_no_loan() -> None:
    lender = budget()
    assert lender.grant(2.0, "a/1", 1, 5_000) == 5_000
    lender.set_suspended(True, 2.2)  # its part is another process's from now on
    assert lender.grant(2.5, "a/1", 2, 5_000) == 0
    assert lender.loans.lent_total(3.1) == 0


def test_borrowers_come_and_go_for_ever_and_it_goes_on_lending() -> None:
    lender, at = budget(), 2.0
    for life in range(MAX_BORROWERS + 10):  # names of a platform that draws new ones at each start
        at += 2.0
        assert lender.grant(at, f"p/{life}", 1, 1_000) == 1_000
        lender.record_spare(at, f"p{life}", 500)
        lender.forget_member(f"p{life}")
    assert len(lender.loans._last_request) <= MAX_BORROWERS and not lender._spare_reports


def test_who_said_lately_that_it_has_something_is_asked_first() -> None:
    members = [f"m{n}" for n in range(200)]
    for after, first in ((1.0, True), (6.0, False)):  # then it may have none any more
        one = budget()
        one.record_spare(2.0, "m7", 4_000)
        for n in range(100):
            one.spend(2.0 + after + n / 100.0)
        asks = [a for a in one.tick(3.0 + after, members) if isinstance(a, RequestLoan)]
        assert (asks[0].to == "m7") is first


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
def test_whatever_happens_the_sum_of_four_lives_is_never_above(
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


def test_a_datagram_is_opened_with_either_key_and_nothing_else() -> None:
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
def test_noise_is_no_datagram_and_sealed_noise_no_item(noise: bytes) -> None:
    assert KEYS.open(noise) is None
    sealed = KEYS._first + wire._mac(KEYS._keys[KEYS._first], noise) + noise
    opened = KEYS.open(wire.MAGIC + sealed)
    assert opened is None or isinstance(wire.items(opened), list)


def test_items_of_a_later_build_are_skipped_and_the_others_read() -> None:
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


def test_numbers_refuse_what_came_before_and_know_how_old_an_answer_is() -> None:
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
    """Members on a clock, with a net that drops what `cut` says."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now, self.random = 0.0, random.Random(seed)
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.loss = 0.0
        self.sent = 0
        self.told: list[tuple[float, str, str, str]] = []
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
            lambda who, state, was: self.told.append((self.now, name, who, state)),
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


def test_all_hear_of_all_from_two_seeds() -> None:
    fleet = Fleet(40)
    fleet.run(25.0)
    assert fleet.whole()


def test_one_that_is_gone_is_dead_to_all_in_a_bounded_time_and_comes_back() -> None:
    fleet = Fleet(12)
    fleet.run(10.0)
    gone = fleet.here.pop("p5")
    fleet.run(2.0 + 3.0 * 4.0 * 1.1 + 12.0)
    assert all("p5" not in m.up() for m in fleet.here.values())
    fleet.here["p5"] = gone  # it was stopped, and hears that it is dead
    fleet.run(15.0)
    assert fleet.whole()


def test_lost_datagrams_make_nobody_dead() -> None:
    fleet = Fleet(16)
    fleet.run(20.0)
    fleet.told.clear()
    fleet.loss = 0.2
    fleet.run(60.0)
    assert not [told for told in fleet.told if told[3] == "d"]


def test_a_part_that_heard_nothing_for_long_comes_back() -> None:
    fleet = Fleet(15)
    fleet.run(10.0)
    apart = {"p1", "p7", "p9"}
    fleet.cut = lambda a, b: (a in apart) != (b in apart)
    fleet.run(40.0)
    assert all(not apart & set(m.up()) for name, m in fleet.here.items() if name not in apart)
    assert fleet.here["p7"].health > 0  # few are cut off from many: it doubts itself first
    fleet.cut = lambda a, b: False
    fleet.run(25.0)
    assert fleet.whole()


def test_one_that_hears_nothing_suspects_itself_before_the_others() -> None:
    fleet = Fleet(12)
    fleet.run(10.0)
    fleet.cut = lambda a, b: b == "p3"
    fleet.run(6.0)
    assert fleet.here["p3"].health > 0
    assert max(m.health for name, m in fleet.here.items() if name != "p3") <= 1


def test_of_two_under_one_name_the_later_one_is_the_name_until_it_is_gone() -> None:
    fleet = Fleet(8)
    fleet.run(8.0)
    fleet.start("p3", "y", 1_000, place="elsewhere")
    fleet.run(12.0)
    assert fleet.here["p3"].duplicate is not None and fleet.here["elsewhere"].duplicate is None
    assert fleet.here["p6"].lookup("p3")[:2] == ("y", "elsewhere")
    del fleet.here["elsewhere"]
    fleet.run(45.0)
    assert fleet.here["p3"].duplicate is None and fleet.here["p6"].lookup("p3")[:2] == ("x", "p3")


def test_word_of_a_life_that_is_over_changes_nothing() -> None:
    for state in ("s", "d", "l"):
        assert not overrides(Rumor("x", "before", 5, state), "a", "now", 5)
        assert overrides(Rumor("x", "now", 5, state), "a", "now", 5)
    assert overrides(Rumor("x", "after", 6, "a"), "d", "now", 5)


def test_what_members_make_one_keep_is_bounded() -> None:
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


def test_a_life_whose_clock_was_set_back_is_believed_all_the_same() -> None:
    fleet = Fleet(6)
    fleet.run(8.0)
    del fleet.here["p4"]
    fleet.start("p4", "after", 0)
    fleet.run(60.0)
    assert fleet.here["p2"].lookup("p4")[0] == "after" and fleet.whole()


# --- judgements ---
def with_reports(
    saws: dict[str, dict[int, tuple[float, float]]],
    zones: dict[str, str] | None = None,
    nodes: int = 10,
    zone: str = "a",
) -> NodeHealth:
    """By member and node: good and bad."""
    made = NodeHealth(zone)
    for node in range(nodes):
        made.add_node(node, 5.0)
    for member, told in saws.items():
        for node, (good, bad) in told.items():
            made.merge_report(
                1.0, member, (zones or {}).get(member, zone), HealthReport(node, 5, good, bad), 0.0
            )
    return made


def sees(*bad: int, nodes: int = 10) -> dict[int, tuple[float, float]]:
    return {node: (0.0, 2.0) if node in bad else (2.0, 0.0) for node in range(nodes)}


def test_several_witnesses_make_a_hint_and_two_do_not() -> None:
    assert with_reports({f"m{n}": sees(3) for n in range(3)}).unhealthy_nodes(1.0) == [3]
    assert with_reports({f"m{n}": sees(3) for n in range(2)}).unhealthy_nodes(1.0) == []
    fades = with_reports({f"m{n}": sees(3) for n in range(3)})
    assert fades.unhealthy_nodes(20.0) == []


def test_who_is_cut_off_itself_convinces_nobody() -> None:
    assert with_reports({f"m{n}": sees(*range(9)) for n in range(5)}).unhealthy_nodes(1.0) == []


@pytest.mark.parametrize("witnesses", [8, 16, 40])
def test_one_in_ten_that_lie_move_nothing(witnesses: int) -> None:
    liars = max(1, witnesses // 10)
    said = {f"m{n}": sees() for n in range(witnesses - liars)}
    said |= {
        f"liar{n}": {node: (0.0, 1e6) if node == 4 else (2.0, 0.0) for node in range(10)}
        for n in range(liars)
    }
    assert with_reports(said).unhealthy_nodes(1.0) == []
    # Nor do they hide what the others see.
    said = {f"m{n}": sees(4) for n in range(witnesses - liars)}
    said |= {f"liar{n}": {4: (1e6, 0.0)} for n in range(liars)}
    assert with_reports(said).unhealthy_nodes(1.0) == [4]


def test_own_evidence_the_own_zone_and_a_new_start_come_first() -> None:
    bad = {f"m{n}": sees(3) for n in range(4)}
    own = with_reports(bad)
    for _ in range(5):
        own.record_outcome(1.0, 3, False)
    assert own.unhealthy_nodes(1.0) == []
    far = {f"f{n}": "far" for n in range(4)} | {f"n{n}": "a" for n in range(3)}
    near = {f"n{n}": sees() for n in range(3)}
    said = {f"f{n}": sees(3) for n in range(4)} | near
    assert with_reports(said, far).unhealthy_nodes(1.0) == []
    assert with_reports(said, far, zone="other").unhealthy_nodes(1.0) == [3]
    anew = with_reports(bad)
    anew.add_node(3, 9.0)
    assert anew.unhealthy_nodes(1.0) == []
    for member in bad:
        anew.merge_report(
            1.0, member, "a", HealthReport(3, 5, 0.0, 9.0), 0.0
        )  # of the start before
    assert anew.unhealthy_nodes(1.0) == []
    for member in bad:
        anew.merge_report(1.0, member, "a", HealthReport(3, 9, 0.0, 9.0), 0.0)
    assert anew.unhealthy_nodes(1.0) == [3]


def test_single_failures_anywhere_make_no_hint() -> None:
    assert with_reports({f"m{n}": {3: (0.0, 0.5)} for n in range(3)}).unhealthy_nodes(1.0) == []


def test_what_is_told_is_ones_own_and_the_worst_first() -> None:
    made = with_reports({f"m{n}": sees(1) for n in range(4)})
    for node in range(10):
        made.record_outcome(1.0, node, node == 7)
    told = made.reports_to_send(1.0, 4)
    assert told[0] == HealthReport(7, 5, 0.0, 1.0) and len(told) == 4
    assert sum(each.bad for each in told) == 1.0


# --- counts ---
@given(st.lists(st.lists(st.integers(0, 60), max_size=300), min_size=1, max_size=5))
def test_a_merged_count_is_never_too_low_and_by_its_error_at_most_too_high(
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


def test_a_member_that_left_or_is_silent_counts_no_more() -> None:
    hitters = HeavyHitters("key", 0.0)
    hitters.add(0.0, 7)
    hitters.merge_report(0.0, "m", HeavyHitterReport("key", [9], [50.0], [0.0]), 0.0)
    hitters.merge_report(0.0, "n", HeavyHitterReport("key", [8], [40.0], [0.0]), 0.0)
    hitters.merge_report(
        0.0, "o", HeavyHitterReport("key", [8, 9], [40.0], [0.0]), 0.0
    )  # makes no sense
    assert [key for key, _, _ in hitters.fleet_summary(0.0).top()] == [9, 8, 7]
    hitters.forget_member("n")
    assert [key for key, _, _ in hitters.fleet_summary(0.0).top()] == [9, 7]
    assert [key for key, _, _ in hitters.fleet_summary(11.0).top()] == [7]


# --- what it must not do ---
def test_a_fault_of_this_part_costs_no_request() -> None:
    def fails(*_: object) -> float:
        raise ZeroDivisionError

    assert safely(fails)("t", "c") is None  # which lets it in
    assert safely(lambda a: a)(3.0) == 3.0


def test_a_proxy_of_its_own_name_above_it_takes_all_its_authority() -> None:
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
def test_a_senseless_table_is_one_line_that_names_the_key(text: str, tmp_path: Path) -> None:
    (tmp_path / "key").write_text("a key of sixteen bytes and more\n")
    path = tmp_path / "operator.toml"
    path.write_text("[sharing]\n" + text.replace("KEY", str(tmp_path / "key")))
    with pytest.raises(ConfigError) as wrong:
        load_operator(str(path))
    assert BAD[text] in str(wrong.value) and "\n" not in str(wrong.value)
