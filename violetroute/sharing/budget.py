"""What one life spends of one budget, whom it asks for more, and what it gives back.  Pure.

A bucket is filled by the authority at hand (`loans`).  It holds `burst_s` of it and one request at
least, so in any window of t seconds the fleet spends at most

    budget * t + the sum over its proxies of max(1, burst_s * authority)

which for even parts is budget * (t + burst_s), or a request a proxy where the parts are that small.
A process that is stopped between taking a token and sending does so later: as many requests as one
turn of its loop had taken on.

Whom to ask: those who said lately that they have something to spare, the most first, then others
by random; few at once, fewer the longer nobody has any.  Demand is what was asked of this
proxy, let in or not, so that a need shows before it is met.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .loans import MIN_LOAN, Loans, LoanTerms

UNITS_PER_REQUEST = 1000  # thousandths of a request
DEMAND_WINDOW_S = 1.0  # over which demand is averaged
HEADROOM_FACTOR = 1.3  # times its demand that a proxy wants to have, and keeps when it lends
RETURN_FACTOR = 2.0  # times: a borrower beyond that gives back
MAX_REQUESTS_PER_TICK = 8  # asks that one tick sends
ANSWER_TIMEOUT_S = 0.4  # s for an answer
MAX_REQUEST_INTERVAL_S = 1.0  # s between two rounds of asking while nobody has any
REOPEN_S = 5.0  # s without a request turned away after which a budget counts as open
MAX_SPARE_AGE_S = 5.0  # s for which another's word of what it has to spare is believed


class RandomSource(Protocol):
    def random(self) -> float: ...


@dataclass(frozen=True, slots=True)
class RequestLoan:
    """To be sent to that member."""

    to: str
    number: int
    amount: int


@dataclass(frozen=True, slots=True)
class ReturnLoan:
    to: str
    number: int


class Budget:
    """`per_s`: of the whole fleet, `proxies` of it at most.  `burst_s`: what a bucket holds."""

    def __init__(
        self,
        name: str,
        per_s: float,
        proxies: int,
        terms: LoanTerms,
        burst_s: float,
        now: float,
        random: RandomSource,
    ) -> None:
        self.name, self._terms, self._random, self.burst_s = name, terms, random, burst_s
        self.loans = Loans(home_part(per_s, proxies), terms, now)
        self._level = 0.0  # thousandths of a request that may be spent at once
        self._filled_at = now
        self._demand, self._demand_at = 0.0, now  # requests, decayed over DEMAND_WINDOW_S
        self._spare_reports: dict[str, tuple[int, float]] = {}
        self._recent_requests: dict[
            str, tuple[int, float]
        ] = {}  # by life: what it asks for, and when
        self._next_request_at, self._request_interval = now, ANSWER_TIMEOUT_S / 4.0
        self.admitted = self.rejected = 0
        self.exhausted = False  # requests are turned away, as it was told last
        self._rejected_at = -math.inf

    # --- spending ---
    def spend(self, now: float) -> bool:
        """One request wants to be let in."""
        self._decay(now)
        self._demand += 1.0
        self._fill(now)
        if self._level < UNITS_PER_REQUEST:
            self.rejected += 1
            self._rejected_at = now
            return False
        self._level -= UNITS_PER_REQUEST
        self.admitted += 1
        return True

    def exhaustion_changed(self, now: float) -> bool:
        """Whether `shut` has changed: shut by the first that is turned away, open after a while.

        Once a state, not once a request: at its bound a budget goes to and fro many times a second.
        """
        exhausted = now - self._rejected_at < REOPEN_S
        changed, self.exhausted = exhausted != self.exhausted, exhausted
        return changed

    def refund(self) -> None:
        """What was let in was not, for another budget's sake."""
        self._level += UNITS_PER_REQUEST
        self.admitted -= 1

    def wait_s(self, now: float) -> float:
        """Seconds until a request that is turned away now would find what it needs."""
        rate = max(self.loans.authority(now), 1)
        return max(0.0, UNITS_PER_REQUEST - self._level) / rate

    def demand(self, now: float) -> float:
        """Requests a second that were asked of this proxy lately."""
        self._decay(now)
        return self._demand / DEMAND_WINDOW_S

    def _decay(self, now: float) -> None:
        if now > self._demand_at:
            self._demand *= math.exp((self._demand_at - now) / DEMAND_WINDOW_S)
            self._demand_at = now

    def _fill(self, now: float) -> None:
        """Before anything changes what may be spent: what it was so far is counted so far."""
        if now <= self._filled_at:
            return
        since, self._filled_at = self._filled_at, now
        lent = self.loans.lent_total(since)
        most = max(float(UNITS_PER_REQUEST), self.burst_s * self.loans.authority(now))
        self._level = min(most, max(0.0, self._level + self.loans.accrued(since, now, lent)))

    def _wanted(self, now: float, times: float = HEADROOM_FACTOR) -> int:
        """Thousandths that its own requests are worth; a trickle wants nothing of others."""
        demand = self.demand(now)
        return int(demand * times * UNITS_PER_REQUEST) if demand >= 0.05 else 0

    # --- lending ---
    def spare(self, now: float) -> int:
        """What others may be told that they can ask for."""
        spare = self.loans.spare(now, self._wanted(now))
        return spare if spare >= MIN_LOAN else 0

    def grant(self, now: float, borrower: str, number: int, amount: int) -> int:
        """What that life is lent."""
        self._fill(now)
        self._recent_requests = {
            life: (most, at)
            for life, (most, at) in self._recent_requests.items()
            if now - at <= self._terms.loan_s
        }
        self._recent_requests[borrower] = amount, now
        need = self._wanted(now)
        fair = fair_share(
            self.loans.lendable(now, need), [most for most, _ in self._recent_requests.values()]
        )
        return self.loans.grant(now, borrower, number, min(amount, fair), need)

    def accept_return(self, now: float, borrower: str, number: int) -> None:
        self._fill(now)
        self._recent_requests.pop(borrower, None)
        self.loans.accept_return(now, borrower, number)

    # --- borrowing ---
    def record_spare(self, now: float, member: str, spare: int) -> None:
        """A member says what it has to spare."""
        self._spare_reports[member] = spare, now
        if spare >= MIN_LOAN:
            self._next_request_at = min(self._next_request_at, now)

    def forget_member(self, member: str) -> None:
        """It is there no more: what it said counts for nothing."""
        self._spare_reports.pop(member, None)

    def accept_grant(self, now: float, lender: str, number: int, amount: int) -> ReturnLoan | None:
        """An answer; what is to be told the lender if it came too late to be believed."""
        self._fill(now)
        before = self.loans.borrowed_total(now)
        if self.loans.accept_grant(now, lender, number, amount):
            self._spare_reports.pop(lender, None)  # this was it
            if self.loans.borrowed_total(now) > before:
                self._request_interval = ANSWER_TIMEOUT_S / 4.0
            return None
        number = self.loans.number_to_refuse(lender, number) if amount > 0 else 0
        return ReturnLoan(lender, number) if number else None

    def tick(self, now: float, members: Sequence[str]) -> list[RequestLoan | ReturnLoan]:
        """What is to be sent now.  `members`: those that are up, without this one."""
        self._fill(now)
        loans = self.loans
        loans.drop_overdue(now, ANSWER_TIMEOUT_S)
        actions: list[RequestLoan | ReturnLoan] = []
        if loans.suspended:
            return actions
        # Who has lent of its home part gets it back by lending less, not by asking others.
        lack = self._wanted(now) - max(loans.authority(now), loans.home)
        actions += self._renew(now)
        if lack < 0:
            self._request_interval = ANSWER_TIMEOUT_S / 4.0
            actions += self._give_back(now)
        elif lack >= MIN_LOAN and now >= self._next_request_at:
            actions += self._request_loans(now, lack, members)
        return actions

    def _renew(self, now: float) -> list[RequestLoan | ReturnLoan]:
        """Loans that are half over: asked for anew while there is a use for them."""
        due = self.loans.due_for_renewal(now)
        if not due:
            return []
        amounts = {loan.member: loan.amount for loan in self.loans.borrowed_loans(now)}
        room = self._wanted(now) - (self.loans.authority(now) - sum(amounts.values()))
        actions: list[RequestLoan | ReturnLoan] = []
        for lender in due:
            amount = min(amounts.get(lender, 0), room)
            room -= amount
            number = self.loans.new_request(now, lender) if amount >= MIN_LOAN else 0
            if number:
                actions.append(RequestLoan(lender, number, amount))
        return actions

    def _request_loans(
        self, now: float, lack: int, members: Sequence[str]
    ) -> list[RequestLoan | ReturnLoan]:
        known = [
            (spare, name)
            for name, (spare, at) in self._spare_reports.items()
            if now - at <= MAX_SPARE_AGE_S and spare >= MIN_LOAN
        ]
        self._spare_reports = {name: self._spare_reports[name] for _, name in known}
        known.sort(key=lambda at: (-at[0], at[1]))
        there = set(members)
        order = [name for _, name in known if name in there]
        # A fleet that all knows of one with something to spare must not ask it alone.
        order += (
            [
                members[int(self._random.random() * len(members))]
                for _ in range(MAX_REQUESTS_PER_TICK)
            ]
            if members
            else []
        )
        actions: list[RequestLoan | ReturnLoan] = []
        held = {loan.member: loan.amount for loan in self.loans.borrowed_loans(now)}
        for name in dict.fromkeys(order):
            if len(actions) >= MAX_REQUESTS_PER_TICK or lack < MIN_LOAN:
                break
            if self.loans.awaits_answer(name):
                continue
            # What stands is asked for again with it: the answer takes its place.
            number = self.loans.new_request(now, name)
            if number:
                amount = lack + held.get(name, 0)
                actions.append(RequestLoan(name, number, amount))
                lack -= self._spare_reports.get(name, (0, 0.0))[0]
        self._request_interval = min(MAX_REQUEST_INTERVAL_S, self._request_interval * 1.5)
        self._next_request_at = now + self._request_interval * (0.75 + 0.5 * self._random.random())
        return actions

    def _give_back(self, now: float) -> list[RequestLoan | ReturnLoan]:
        """Loans that are not needed, the least first, while enough is left."""
        actions: list[RequestLoan | ReturnLoan] = []
        surplus = self.loans.authority(now) - self._wanted(now, RETURN_FACTOR)
        for lender, amount, _ in sorted(
            self.loans.borrowed_loans(now), key=lambda loan: loan.amount
        ):
            if amount > surplus:
                break
            surplus -= amount
            actions.append(ReturnLoan(lender, self.loans.give_back(lender)))
        return actions

    # --- the fleet ---
    def set_suspended(self, on: bool, now: float) -> None:
        """Another process of our name is there, or is gone."""
        if on != self.loans.suspended:
            self._fill(now)
            self.loans.set_suspended(on, now)
            self._level = 0.0

    def resize(self, per_s: float, proxies: int, now: float) -> None:
        """By new settings, or where more proxies are heard of than the settings know."""
        self._fill(now)
        self.loans.resize(home_part(per_s, proxies), now)

    def return_all(self, now: float) -> list[ReturnLoan]:
        """The process ends: what it holds goes back."""
        self._fill(now)
        return [
            ReturnLoan(lender, self.loans.give_back(lender))
            for lender in list(self.loans.lenders())
        ]


def fair_share(pot: int, wants: Sequence[int]) -> int:
    """What each may have at most, so that who wants less has it all and the others as much."""
    left = len(wants)
    for want in sorted(wants):
        if want * left >= pot:
            return pot // left
        pot, left = pot - want, left - 1
    return max(wants, default=0)


def home_part(per_s: float, proxies: int) -> int:
    """Thousandths of a request a second of each of so many; what does not divide is nobody's."""
    return int(per_s * UNITS_PER_REQUEST) // max(1, proxies)
