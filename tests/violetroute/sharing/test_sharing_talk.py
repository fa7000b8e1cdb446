"""The gossip service on a virtual network: accepted datagrams and reports, and limits."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import Any

import pytest

from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from snowstall import (
    Balancer,
    CacheState,
    Effect,
    ListKind,
    LoadSample,
    Member,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
)
from violetroute.membership import NodeAddresses
from violetroute.sharing import service, wire
from violetroute.sharing.gossip import CALM_FANOUT, MAX_OUTCOME_AGE_S, TROUBLE_FANOUT, Rounds
from violetroute.sharing.introspection import view
from violetroute.sharing.load_reports import MAX_OUTCOMES, LoadReports
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import BudgetTable, SharingTable
from violetroute.sharing.wire import (
    Ack,
    Envelope,
    HealthReport,
    Item,
    Keys,
    LoadReport,
    LoanGrant,
    LoanRequest,
    LoanReturn,
    Ping,
    Rumor,
)
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork

KEYS = Keys([b"a key of sixteen bytes and more"])
ORIGIN = Address("127.0.0.1", 7001)
WALL = 1.7e9


class Proxy:
    def __init__(self) -> None:
        self.places, self.load_samples = NodeAddresses(), deque[LoadSample]()
        self.reports: list[tuple[list[int], list[LoadSample]]] = []

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        self.reports.append((bad, outcomes))


class GossipProxy:
    """A gossip service on a fake network; `deliver` brings a datagram of p1 or another sender."""

    def __init__(self, **more: Any) -> None:
        self.kernel = Kernel(1, start=1000.0)
        self.loop = VirtualLoop(self.kernel)
        self.sent: list[Envelope] = []
        net = SocketNetwork(
            self.loop, make=self.kernel.maker("p0"), clock=lambda: WALL + self.kernel.now
        )
        table = SharingTable(
            listen="127.0.0.1:7000",
            proxies=2,
            loan_s=1.0,
            **{"budget": (BudgetTable("b", 20.0),), **more},
        )
        self.proxy = Proxy()
        self.sharing = Sharing(table, KEYS, "p0", "a", 1000.0, net, self.proxy, life="l0")
        send = self.sharing._socket.send

        def record_and_send(data: bytes, address: Address) -> bool:
            opened = KEYS.open(data)
            assert opened is not None
            self.sent.append(opened)
            return send(data, address)

        self.sharing._socket.send = record_and_send  # type: ignore[method-assign]
        self.number = 0
        self.deliver(Rumor("p1", "l1", 1, "a", "127.0.0.1:7001"))

    def deliver(
        self,
        *items: Item,
        name: str = "p1",
        life: str = "l1",
        to: str = "p0",
        to_life: str = "l0",
        heard: int = 0,
        at: float | None = None,
        number: int = 0,
    ) -> bytes:
        self.number += 1
        wall = WALL + self.kernel.now if at is None else at
        data = KEYS.seal(
            Envelope(
                name,
                life,
                1,
                number or self.number,
                to,
                to_life,
                heard,
                int(wall * 1000.0),
                [wire.raw(wire.encode_item(item)) for item in items],
            )
        )
        self.sharing.datagram(data, ORIGIN)
        return data

    def run(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def sent_items(self, kind: type[Item]) -> list[Any]:
        return [
            item
            for envelope in self.sent
            for item in wire.items(envelope)
            if isinstance(item, kind)
        ]

    @property
    def loans(self) -> Any:
        return self.sharing.budgets["b"].loans


def test_a_duplicate_loan_request_counts_once_and_a_return_frees_the_loan() -> None:
    one = GossipProxy()
    one.run(1.5)
    data = one.deliver(LoanRequest("b", 1, 5_000))
    assert (
        one.sent_items(LoanGrant) == [LoanGrant("b", 1, 5_000)]
        and one.loans.lent_total(one.kernel.now) == 5_000
    )
    one.sharing.datagram(data, ORIGIN)  # duplicated by the network
    one.deliver(LoanRequest("b", 1, 5_000))  # sent again by the member
    assert one.loans.lent_total(one.kernel.now) == 5_000
    one.deliver(LoanReturn("b", 1))
    assert one.loans.lent_total(one.kernel.now) == 0


@pytest.mark.parametrize(
    "wrong",
    [{"to_life": "before"}, {"to": "p7"}, {"name": "p9", "life": "l9"}, {"life": "l1-before"}],
)
def test_a_grant_counts_only_from_the_requested_member_for_the_requesting_process(
    wrong: dict[str, str],
) -> None:
    one = GossipProxy()
    one.run(1.5)
    number = one.loans.new_request(one.kernel.now, "p1")
    one.deliver(LoanGrant("b", number, 5_000), **wrong)
    assert one.loans.borrowed_total(one.kernel.now) == 0
    one.deliver(LoanGrant("b", number, 5_000))
    assert one.loans.borrowed_total(one.kernel.now) == 5_000


def test_reports_that_are_old_or_of_unknown_age_are_ignored() -> None:
    one = GossipProxy()
    one.sharing.update_nodes([Member(5, CacheState.READY, started_at=1.0)])
    node = one.sharing.rounds.node_health._nodes[5]  # type: ignore[union-attr]
    one.deliver(HealthReport(5, 1, 0.0, 3.0), at=WALL + one.kernel.now - 6.0)  # too old
    # The sender's clock is wrong by 600 s.
    one.deliver(HealthReport(5, 1, 0.0, 3.0), at=WALL + one.kernel.now + 600.0)
    assert not node.rows
    one.run(3.0)  # sends datagrams to p1, whose later reports confirm the number of the first one
    heard = next(e.number for e in one.sent if e.to == "p1")
    one.deliver(HealthReport(5, 1, 0.0, 3.0), heard=heard, at=0.0)
    assert list(node.rows) == ["p1"]
    one.run(6.0)
    node.rows.clear()
    one.deliver(HealthReport(5, 1, 0.0, 3.0), heard=heard, at=WALL + one.kernel.now)
    assert not node.rows  # by this member's clock, the network has delayed the report


def test_datagrams_received_per_member_and_sent_are_rate_limited() -> None:
    one = GossipProxy()
    before = one.sharing.received
    for _ in range(1_000):
        one.deliver(Ping(7))
    assert one.sharing.received - before <= service.RECEIVE_BURST
    assert one.sharing.refused >= 700
    for number in range(2, 6):  # the limit is per member, but answers share the send limit
        before = one.sharing.received
        for _ in range(150):
            one.deliver(Ping(7), name=f"p{number}", life="l")
        assert one.sharing.received - before == 150
    assert len(one.sent) <= service.SEND_BURST


def test_a_duplicate_datagram_is_handled_once() -> None:
    one = GossipProxy()
    data = one.deliver(Ping(7))
    answers = len(one.sent_items(Ack))
    one.sharing.datagram(data, ORIGIN)
    assert answers == 1 == len(one.sent_items(Ack)) and one.sharing.refused == 1


def test_an_exhausted_budget_is_logged_once_and_its_recovery_once(caplog: Any) -> None:
    one = GossipProxy()
    caplog.set_level("INFO", logger="violetroute")

    def logged() -> list[str]:
        return [r.event for r in caplog.records if r.event in ("sharing.spent", "sharing.room")]

    for _ in range(20):
        one.run(0.3)
        for _ in range(30):
            one.sharing.admits("", "lookup")
    assert logged() == ["sharing.spent"]
    one.run(6.0)
    assert logged() == ["sharing.spent", "sharing.room"]
    (shown,) = view(one.sharing, "budgets")["budgets"]
    assert shown["let_in"] + shown["turned_away"] == 600


def test_a_budget_is_divided_by_the_known_proxies_if_they_exceed_the_settings() -> None:
    one = GossipProxy()
    assert one.loans.home == 10_000
    for number in range(2, 6):
        one.deliver(Rumor(f"p{number}", "l", 1, "a", "127.0.0.1:7009"))
    assert one.loans.home == 20_000 // 6


# --- load reports ---
def load_report(bad: float, count: float = 4.0, kept: bool = True) -> LoadReport:
    return LoadReport(kept, count, bad * count, 100.0 * count, 300.0 * count, 0.0)


def test_a_load_round_needs_three_members_and_yields_their_mean() -> None:
    reports = LoadReports()
    for member in "ab":
        reports.merge_report(1.0, member, load_report(1.0))
    assert reports.end_round(1.5, (), 1.0) == []
    for member, bad in (("a", 1.0), ("b", 0.0), ("c", 0.5)):
        reports.merge_report(1.0, member, load_report(bad))
    found = reports.end_round(1.5, (), 1.0)
    assert found == [(True, 0.5, 100.0, 300.0, False)] * 3
    assert reports.end_round(1.5, (), 1.0) == []  # reports count in one round only
    for member in "abcd":
        reports.merge_report(1.0, member, load_report(1.0))
    assert reports.end_round(1.5, {"a", "b"}, 1.0) == []  # reports of isolated members do not count


@pytest.mark.parametrize("members", [10, 40])
def test_one_false_load_report_in_ten_moves_the_mean_within_its_bound(members: int) -> None:
    reports = LoadReports()
    for number in range(members):
        lies = number < members // 10
        reports.merge_report(
            1.0, f"m{number}", load_report(1.0 if lies else 0.0, 1e6 if lies else 4.0)
        )
    found = reports.end_round(1.5, (), 1.0)
    assert 0 < len(found) <= MAX_OUTCOMES and all(
        badness <= 0.2 / 1.1 + 1e-9 for _, badness, *_ in found
    )


def test_load_reports_received_before_a_stop_of_this_process_are_dropped() -> None:
    reports = LoadReports()
    for member in "abcd":
        reports.merge_report(1.0, member, load_report(1.0))
    assert reports.end_round(21.0, (), 1.0) == []


def test_reports_go_to_few_members_to_many_in_trouble_and_to_none_beside_a_duplicate() -> None:
    up = [f"m{number}" for number in range(100)]
    rounds = Rounds("a", True, 0.0, random.Random(1))
    rounds.update_nodes([Member(5, CacheState.READY, started_at=1.0)])
    rounds.record_attempt(1.0, 5, Result.OK)
    rounds.record_attempt(1.0, 5, Result.FULL)  # load is the cause, so it is not bad for the node
    calm = rounds.run_round(1.0, up, [], {}, False)
    assert len(calm.to) == CALM_FANOUT and HealthReport(5, 1, 1.0, 0.0) in calm.items
    rounds.record_attempt(1.5, 5, Result.LATE)
    assert not rounds.due(1.3) and rounds.due(1.7)
    assert len(rounds.run_round(1.7, up, [], {}, False).to) == TROUBLE_FANOUT
    assert rounds.run_round(2.4, up, [], {}, True).to == []
    for member in ("m1", "m2", "m3"):
        rounds.receive(3.0, member, "a", HealthReport(5, 1, 0.0, 3.0), 0.0)
        too_old = MAX_OUTCOME_AGE_S + 0.1
        rounds.receive(3.0, member, "a", load_report(1.0), too_old)
    first, second = (rounds.run_round(at, up, [], {}, False) for at in (3.1, 3.7))
    assert (first.unhealthy, first.newly_unhealthy, second.unhealthy, second.newly_unhealthy) == (
        [5],
        [5],
        [5],
        [],
    )
    assert not first.outcomes
    rounds.forget_member("m1")
    # Only two witnesses are left.
    assert rounds.run_round(4.3, up, [], {}, False).unhealthy == []


def test_an_unhealthy_estimate_ends_with_the_trouble_and_the_proxy_is_notified() -> None:
    one = GossipProxy()
    one.sharing.update_nodes([Member(5, CacheState.READY, started_at=1.0)])
    for name in ("p1", "p2", "p3"):
        one.deliver(Rumor(name, "l1", 1, "a", "127.0.0.1:7009"), name=name)
        one.deliver(HealthReport(5, 1, 0.0, 3.0), name=name)
    one.run(1.0)
    assert one.proxy.reports[-1][0] == [5]
    assert [node["avoided"] for node in view(one.sharing, "beliefs")["nodes"]] == [True]
    one.run(25.0)
    assert one.proxy.reports[-1][0] == []
    assert [node["avoided"] for node in view(one.sharing, "beliefs")["nodes"]] == [False]


def test_an_ended_estimate_does_not_lower_the_next_threshold() -> None:
    rounds = Rounds("a", True, 0.0, random.Random(1))
    rounds.update_nodes([Member(5, CacheState.READY, started_at=1.0)])
    members = ("m1", "m2", "m3")
    for member in members:
        rounds.receive(1.0, member, "a", HealthReport(5, 1, 0.0, 3.0), 0.0)
    assert rounds.run_round(1.1, members, [], {}, False).unhealthy == [5]
    ended = rounds.run_round(40.0, members, [], {}, False)
    assert (ended.unhealthy, ended.recovered) == ([], [5])
    for member in members:  # 0.4 of 1.0 bad: below BAD_SHARE
        rounds.receive(41.0, member, "a", HealthReport(5, 1, 0.6, 0.4), 0.0)
    assert rounds.run_round(41.1, members, [], {}, False).unhealthy == []


def test_load_reports_with_inconsistent_sums_are_dropped() -> None:
    reports = LoadReports()
    for wrong in (
        LoadReport(True, 1.0, 2.0, 1.0, 1.0, 0.0),
        LoadReport(True, 1.0, 1.0, 1.0, 1.0, 2.0),
        LoadReport(True, 0.0, 0.0, 0.0, 0.0, 0.0),
        LoadReport(True, 2.0, 1.0, 1.0, 0.0, 0.0),
    ):
        for member in "abc":
            reports.merge_report(1.0, member, wrong)
        assert reports.end_round(1.5, (), 1.0) == []
    to_send = LoadReports.reports_to_send(
        [(True, 1.0, 50.0, 300.0, True), (True, 0.0, 30.0, 300.0, False)]
    )
    assert to_send == [LoadReport(True, 2.0, 1.0, 80.0, 600.0, 1.0)]


# --- effects on the balancer ---
def module(caches: int) -> Balancer:
    made = Balancer(
        Settings(classes=(RequestClass("lookup", 300.0, 600.0, Effect.PURE),), max_attempts=3),
        1,
        0.0,
    )
    made.on_list(0.0, ListKind.FULL, [Member(number) for number in range(caches)])
    return made


def sent(made: Balancer, now: float, count: int) -> set[int]:
    found = set()
    for number in range(count):
        for action in made.on_request(
            now, Request(int(now) * 1000 + number, "lookup", now + 500.0, key=number * 7919)
        ):
            if isinstance(action, Send):
                found.add(action.cache_id)
    return found


def test_an_estimate_only_ejects_nodes_and_never_too_many() -> None:
    made = module(10)
    assert made.on_peer_reports(1.0, [3, 77], []) == []  # 77 is unknown
    assert 3 not in sent(made, 2.0, 200)
    assert len(sent(made, 3.0, 200)) == 9
    # All nodes are reported unhealthy, and some must still get requests.
    assert made.on_peer_reports(4.0, range(10), []) == []
    assert sent(made, 5.0, 200)


def test_an_estimate_restores_no_draining_or_removed_node() -> None:
    made = module(4)
    made.on_list(1.0, ListKind.CHANGES, [Member(2, CacheState.DRAINING)])
    made.on_peer_reports(2.0, [2], [])
    assert 2 not in made.ejected and 2 not in sent(made, 2.0, 200)


def test_peer_outcomes_start_a_limit_at_a_proxy_with_few_requests() -> None:
    alone, fleet = module(4), module(4)
    for second in range(1, 5):
        for made in (alone, fleet):
            sent(made, second * 1000.0, 2)
        fleet.on_peer_reports(second * 1000.0 + 1.0, [], [(True, 1.0, 600.0, 300.0, True)] * 8)
    assert alone.cache_limiter.limit == float("inf") and fleet.cache_limiter.limit < 10.0
