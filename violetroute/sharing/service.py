"""The socket and the timer of the gossip between proxies; takes no decisions itself.

There is one datagram port and one timer.  A datagram is authenticated and decoded (`wire`), its
items go to the parts that handle them, and the resulting items are collected by member and leave in
as few datagrams as possible, with rumors in the remaining space.  Nothing here blocks, and no
request waits for another proxy: `admits` looks at local state only.

Bounds: datagrams read in one iteration of the event loop (by the transport), received from one
member a second (RECEIVE_RATE), and sent a second (SEND_RATE).  Datagrams beyond that are dropped.
"""

from __future__ import annotations

import math
import random
import secrets
from collections import deque
from collections.abc import Sequence
from typing import Any, Protocol

from snowstall import LoadSample, Member, Result
from violetroute import logs
from violetroute.membership import NodeAddresses
from violetroute.transport import Address, Network, parse_address

from . import wire
from .budget import Budget, RequestLoan, ReturnLoan
from .gossip import MAX_REPORT_AGE_S, Rounds
from .loans import LoanTerms
from .members import Members
from .probe import TICK_S
from .rate_limiter import RateLimiter
from .report_budget import ReportBudget, default_rate
from .table import SharingTable
from .wire import (
    Envelope,
    HealthReport,
    HeavyHitterReport,
    Item,
    Keys,
    LoadReport,
    LoanGrant,
    SequenceNumbers,
    SpareReport,
)

RECEIVE_RATE, RECEIVE_BURST = 100.0, 200.0  # datagrams of one member: a second, at once
SEND_RATE, SEND_BURST = 200.0, 200.0  # datagrams of this proxy: a second, at once
MIN_BACKOFF_MS = 40.0
REPORTS = (HealthReport, LoadReport, HeavyHitterReport)
LOANS = (LoanGrant, SpareReport, wire.LoanRequest, wire.LoanReturn)


class Host(Protocol):
    """What the gossip service needs of the proxy."""

    places: NodeAddresses
    load_samples: deque[LoadSample]  # outcomes of its own requests; the service empties it

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        """Take all nodes that peers report as unhealthy, and outcomes of the peers' requests."""


class Sharing:
    """The gossip service of one proxy."""

    def __init__(
        self,
        table: SharingTable,
        keys: Keys,
        name: str,
        zone: str,
        max_backoff: float,
        net: Network,
        host: Host,
        life: str = "",
    ) -> None:
        self.table, self._keys, self.name, self._zone = table, keys, name[:64], zone
        self._net, self.loop, self.host = net, net.loop, host
        self.max_backoff = max_backoff
        self.life = life or secrets.token_hex(6)
        self._random = random.Random(f"{name}/{self.life}")
        now = self.loop.time()
        address = parse_address(table.listen)
        self._address_overrides = {member: parse_address(at) for member, at in table.ways.items()}
        self._socket = net.bind_datagram_socket(address, self, wire.MAX_DATAGRAM)
        place = f"{address.host}:{self._socket.address.port}"
        self.members = Members(
            self.name,
            self.life,
            int(net.wall() * 1000.0),
            place,
            zone,
            table.probe_s,
            table.seeds,
            self._random,
            now,
            self._member_changed,
        )
        self._terms = LoanTerms(table.loan_s, table.drift)
        self.budgets: dict[str, Budget] = {}
        self._budgets_by_request: dict[tuple[str, str], list[Budget]] = {}
        self._report_budget = ReportBudget(self._report_rate, self._envelope_size(), now)
        self.rounds = Rounds(zone, table.judge, now, self._random, self._report_budget)
        self._numbers = SequenceNumbers()
        self._outgoing: dict[tuple[str, str], list[Item]] = {}
        self._receive_limits: dict[str, RateLimiter] = {}
        self._send_limit = RateLimiter(SEND_RATE, SEND_BURST, now)
        self.refused = self.sent = self.received = self.bytes_sent = 0
        self.configure(table)
        self._timer = self.loop.call_later(TICK_S * self._random.random(), self._tick)

    def configure(self, table: SharingTable) -> None:
        """Apply new settings; budgets that stay keep their loans and tokens."""
        now, size = self.loop.time(), max(table.proxies, self.members.size)
        kept, self.budgets = self.budgets, {}
        for each in table.budget:
            budget = kept.pop(each.name, None)
            if budget is None:
                budget = Budget(
                    each.name, each.per_s, size, self._terms, table.burst_s, now, self._random
                )
            else:
                budget.resize(each.per_s, size, now)
            self.budgets[each.name] = budget
            budget.set_suspended(self.members.duplicate is not None, now)
        for budget in kept.values():
            self._return_loans(budget.name, budget.return_all(now))
        self.table = table
        self.budget_proxies = self._proxies
        self._budgets_by_request.clear()

    @property
    def _proxies(self) -> int:
        """Proxies among which budgets are divided; at least as many as known members."""
        return max(self.table.proxies, self.members.size)

    @property
    def _report_rate(self) -> float:
        """Bytes a second for the reports of all gossip rounds."""
        return self.table.report_bytes_per_s or default_rate(self._proxies)

    def _envelope_size(self) -> int:
        """Bytes of a datagram without items, to a member whose name is as long as this one's."""
        number, wall = 2**16, int(self._net.wall() * 1000.0)
        name, life = self.name, self.life
        return len(
            self._keys.seal(Envelope(name, life, wall, number, name, life, number, wall, []))
        )

    def leave(self) -> None:
        """Announce that this process drains."""
        for out in self.members.leave():
            self._queue(out.to, out.place, *out.items)
        self._flush(self.loop.time())

    def close(self) -> None:
        """Return all loans, announce the shutdown to a few members, and close the socket."""
        now = self.loop.time()
        for budget in self.budgets.values():
            self._return_loans(budget.name, budget.return_all(now))
        for out in self.members.leave():
            self._queue(out.to, out.place, *out.items)
        self._flush(now)
        self._timer.cancel()
        self._socket.close()

    def admits(self, tenant: str, class_name: str) -> float | None:
        """None if all budgets admit the request; else ms after which the client may retry."""
        place = tenant, class_name
        budgets = self._budgets_by_request.get(place)
        if budgets is None:
            if len(self._budgets_by_request) >= 10_000:
                self._budgets_by_request.clear()  # a bound, since clients may invent tenants
            budgets = self._budgets_by_request[place] = [
                self.budgets[each.name]
                for each in self.table.budget
                if each.tenant in ("", tenant) and each.class_name in ("", class_name)
            ]
        if not budgets:
            return None
        now, spent = self.loop.time(), list[Budget]()
        for budget in budgets:
            if not budget.spend(now):
                for other in spent:
                    other.refund()
                wait = max(MIN_BACKOFF_MS, budget.wait_s(now) * 1000.0)  # jitter spreads retries
                return min(self.max_backoff, wait * self._random.uniform(1.0, 1.5))
            spent.append(budget)
        return None

    def record_attempt(self, node: int, result: Result) -> None:
        """Record the result of an attempt at a node."""
        self.rounds.record_attempt(self.loop.time(), node, result)

    def record_request(self, tenant: str, key: int) -> None:
        """Record an admitted request for the heavy hitters."""
        self.rounds.record_request(self.loop.time(), tenant, key)

    def update_nodes(self, members: Sequence[Member]) -> None:
        """Apply a change of the node list; nodes that no longer serve are forgotten."""
        self.rounds.update_nodes(members)

    def _tick(self) -> None:
        self._timer = self.loop.call_later(TICK_S * (0.9 + 0.2 * self._random.random()), self._tick)
        now = self.loop.time()
        for out in self.members.tick(now):
            self._queue(out.to, out.place, *out.items)
        up = self.members.up()
        for name, budget in self.budgets.items():
            for action in budget.tick(now, up):
                if isinstance(action, RequestLoan):
                    self._queue(action.to, "", wire.LoanRequest(name, action.number, action.amount))
                else:
                    self._queue(action.to, "", wire.LoanReturn(name, action.number))
            if budget.exhaustion_changed(now):
                self._log_exhaustion(budget, now)
        if self.rounds.due(now):
            self._round(now, up)
        self._flush(now)

    def _log_exhaustion(self, budget: Budget, now: float) -> None:
        if budget.exhausted:
            logs.event(
                "sharing.spent",
                budget=budget.name,
                asked_s=round(budget.demand(now), 1),
                may_s=round(budget.loans.authority(now) / 1000.0, 1),
            )
        else:
            logs.event("sharing.room", budget=budget.name)

    def _round(self, now: float, up: list[str]) -> None:
        host = self.host
        done = self.rounds.run_round(
            now, up, host.load_samples, self.budgets, self.members.duplicate is not None
        )
        host.load_samples.clear()
        for node in done.newly_unhealthy:
            logs.event("sharing.avoided", node=host.places.describe(node))
        if done.unhealthy or done.recovered or done.outcomes:
            host.apply_peer_reports(done.unhealthy, done.outcomes)
        for report in done.reports:
            for name in report.to:
                self._queue(name, "", *report.items)

    def _member_changed(self, name: str, state: str, was: str) -> None:
        """React to a new state of a member, or of this process (alive or duplicate)."""
        now = self.loop.time()
        if name == self.name:
            if state == "duplicate":
                logs.event("sharing.twin", proxy=name)
            else:
                logs.event("sharing.alone_again", proxy=name)
            for budget in self.budgets.values():
                budget.set_suspended(state == "duplicate", now)
            return
        if state == "a":
            logs.event("sharing.joined", proxy=name)
        elif state in ("d", "l"):
            logs.event("sharing.gone", proxy=name, how="left" if state == "l" else "dead")
            self.rounds.forget_member(name)
            for budget in self.budgets.values():
                budget.forget_member(name)
            self._numbers.forget(name)
            self._receive_limits.pop(name, None)
        if self.members.size > self.table.proxies >= self.budget_proxies:
            logs.event("sharing.too_many", proxies=self.table.proxies, heard=self.members.size)
        if self._proxies != self.budget_proxies:
            self.budget_proxies = self._proxies
            self._report_budget.resize(self._report_rate, now)
            for each in self.table.budget:
                self.budgets[each.name].resize(each.per_s, self.budget_proxies, now)

    def _queue(self, to: str, place: str, *items: Item) -> None:
        self._outgoing.setdefault((to, "" if to else place), []).extend(items)

    def _return_loans(self, budget: str, backs: list[ReturnLoan]) -> None:
        for back in backs:
            self._queue(back.to, "", wire.LoanReturn(budget, back.number))

    def _flush(self, now: float) -> None:
        """Send all queued items, in as few datagrams as possible."""
        out, self._outgoing = self._outgoing, {}
        for (to, place), items in out.items():
            address = self._address(to, place)
            if address is None:
                continue
            room = wire.room(self.name, to)
            raw: list[bytes] = []
            free = room
            # Anti-entropy has its own limit of bytes a second, which rumors would exceed.
            paced = all(isinstance(item, wire.ANTI_ENTROPY) for item in items)
            rumors = () if paced else self.members.rumors()
            for item in (*items, *rumors):
                data = wire.encode_item(item)
                if len(data) > free or len(raw) >= wire.MAX_ITEMS:
                    self._send(now, to, address, raw)
                    raw, free = [], room
                raw.append(data)
                free -= len(data)
            self._send(now, to, address, raw)

    def _address(self, to: str, place: str) -> Address | None:
        way = self._address_overrides.get(to)
        if way is not None:
            return way
        try:
            return parse_address(self.members.lookup(to)[1] if to else place)
        except ValueError:
            return None  # the member has not announced its address yet

    def _send(self, now: float, to: str, address: Address, raw: list[bytes]) -> None:
        if not raw or not self._send_limit.take(now):
            return
        life = self.members.lookup(to)[0]
        data = self._keys.seal(
            Envelope(
                self.name,
                self.life,
                self.members.incarnation,
                self._numbers.next(to, now),
                to,
                life,
                self._numbers.highest_received(to, life) if life else 0,
                int(self._net.wall() * 1000.0),
                [wire.raw(each) for each in raw],
            )
        )
        self.sent += 1
        self.bytes_sent += len(data)
        self._socket.send(data, address)

    def datagram(self, data: bytes, origin: Address) -> None:
        """Handle a datagram; its sender is not trusted until its MAC is verified."""
        envelope = self._keys.open(data)
        now = self.loop.time()
        if envelope is None or envelope.to not in ("", self.name):
            self.refused += 1
            return
        name, life = envelope.name, envelope.life
        if (
            life == self.life
            or not self._may_receive(name, now)
            or not self._numbers.is_new(name, life, envelope.number)
        ):
            self.refused += 1
            return
        self.received += 1
        place = f"{origin.host}:{origin.port}"
        age = self._age(envelope, now)
        for item in wire.items(envelope):
            if isinstance(item, REPORTS):
                if self.members.is_up(name, life):
                    self.rounds.receive(now, name, self.members.lookup(name)[2], item, age)
            elif isinstance(item, LOANS):
                budget = self.budgets.get(item.budget)
                # A grant is valid only for the process that requested it, not for its successor.
                if (
                    budget is not None
                    and self.members.is_up(name, life)
                    and (envelope.to_life == self.life or not isinstance(item, LoanGrant))
                ):
                    self._handle_loan(now, name, life, item, budget)
            else:
                for out in self.members.receive(now, name, life, envelope.incarnation, item, place):
                    self._queue(out.to, out.place, *out.items)
        if self._outgoing:
            self._flush(now)

    def _may_receive(self, name: str, now: float) -> bool:
        rate = self._receive_limits.get(name)
        if rate is None:
            if len(self._receive_limits) >= wire.MAX_SENDERS:
                self._receive_limits.clear()
            rate = self._receive_limits[name] = RateLimiter(RECEIVE_RATE, RECEIVE_BURST, now)
        return rate.take(now)

    def _age(self, envelope: Envelope, now: float) -> float:
        """Upper bound in s of the age of a datagram; infinite if there is no evidence."""
        if envelope.to_life == self.life:
            age = self._numbers.age(envelope.name, envelope.heard, now)
            if age is not None:
                return age
        apart = self._net.wall() - envelope.at / 1000.0
        return max(0.0, apart) if abs(apart) <= MAX_REPORT_AGE_S else math.inf

    def _handle_loan(self, now: float, name: str, life: str, item: Any, budget: Budget) -> None:
        match item:
            case SpareReport():
                budget.record_spare(now, name, item.amount)
            case wire.LoanRequest():
                amount = budget.grant(now, f"{name}/{life}", item.number, item.amount)
                self._queue(name, "", LoanGrant(budget.name, item.number, amount))
            case LoanGrant():
                back = budget.accept_grant(now, name, item.number, item.amount)
                if back is not None:
                    self._return_loans(budget.name, [back])
            case wire.LoanReturn():
                budget.accept_return(now, f"{name}/{life}", item.number)
