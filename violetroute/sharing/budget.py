"""Spending of one budget in one process, and when it requests and returns loans.  Pure.

A token bucket is filled at the rate of the current authority (`loans`).  It holds `burst_s` of that
rate, and at least one request.  So in any window of t seconds the fleet spends at most

    budget * t + the sum over its proxies of max(1, burst_s * authority)

which for equal parts is budget * (t + burst_s), or one request a proxy if the parts are that small.
A process that is stopped between taking a token and sending sends later: at most as many requests
as one iteration of its event loop has admitted.

Loans are requested first from members that recently reported spare capacity, the greatest first,
then from random members.  A tick sends few requests, and the interval between rounds grows while
no member has spare capacity.  Demand counts all requests that reach this proxy, admitted or not, so
that a shortage shows even if no loan covers it yet.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .loans import MIN_LOAN, Loans, LoanTerms

UNITS_PER_REQUEST = 1000  # amounts are in thousandths of a request
DEMAND_WINDOW_S = 1.0  # time constant of the exponential average of demand
HEADROOM_FACTOR = 1.3  # a proxy wants this times its demand, and keeps it when it lends
RETURN_FACTOR = 2.0  # a borrower returns what exceeds this times its demand
MAX_REQUESTS_PER_TICK = 8  # loan requests sent in one tick
ANSWER_TIMEOUT_S = 0.4  # timeout of a loan request
MAX_REQUEST_INTERVAL_S = 1.0  # longest interval of request rounds while none yields a loan
REOPEN_S = 5.0  # time without a rejection after which a budget no longer counts as exhausted
MAX_SPARE_AGE_S = 5.0  # older reports of spare capacity are ignored


class RandomSource(Protocol):
    """`random.Random`, or a test's replacement."""

    def random(self) -> float:
        """A number in [0, 1)."""
        ...


@dataclass(frozen=True, slots=True)
class RequestLoan:
    """Send a loan request to a member; `amount` in thousandths of a request a second."""

    to: str
    number: int
    amount: int


@dataclass(frozen=True, slots=True)
class ReturnLoan:
    """Tell a lender that its loans up to `number` are given up."""

    to: str
    number: int


class Budget:
    """One budget in one process.  `now`: s, in every call."""

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
        """`per_s`: of the whole fleet; `proxies`: its maximal size; `burst_s`: size of a bucket."""
        self.name, self._terms, self._random, self.burst_s = name, terms, random, burst_s
        self.loans = Loans(home_part(per_s, proxies), terms, now)
        self._level = 0.0  # thousandths of a request that may be spent at once
        self._filled_at = now
        self._demand, self._demand_at = 0.0, now  # requests, decayed over DEMAND_WINDOW_S
        self._spare_reports: dict[str, tuple[int, float]] = {}
        # Amount and time (s) of the last loan request, by the borrower's `life`.
        self._recent_requests: dict[str, tuple[int, float]] = {}
        self._next_request_at, self._request_interval = now, ANSWER_TIMEOUT_S / 4.0
        self.admitted = self.rejected = 0
        self.exhausted = False  # as logged last
        self._rejected_at = -math.inf

    # --- spending ---
    def spend(self, now: float) -> bool:
        """Count one request; True if it is admitted, which takes a token."""
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
        """Update `exhausted` and return whether it changed, for the log.

        A rejected request sets it; REOPEN_S without one clears it.  At its limit a budget rejects
        and admits many times a second, which must not be logged each time.
        """
        exhausted = now - self._rejected_at < REOPEN_S
        changed, self.exhausted = exhausted != self.exhausted, exhausted
        return changed

    def refund(self) -> None:
        """Undo `spend`, since another budget rejects the request."""
        self._level += UNITS_PER_REQUEST
        self.admitted -= 1

    def wait_s(self, now: float) -> float:
        """Seconds until there is a token for a request that is rejected now."""
        rate = max(self.loans.authority(now), 1)
        return max(0.0, UNITS_PER_REQUEST - self._level) / rate

    def demand(self, now: float) -> float:
        """Recent requests a second at this proxy, admitted or rejected."""
        self._decay(now)
        return self._demand / DEMAND_WINDOW_S

    def _decay(self, now: float) -> None:
        if now > self._demand_at:
            self._demand *= math.exp((self._demand_at - now) / DEMAND_WINDOW_S)
            self._demand_at = now

    def _fill(self, now: float) -> None:
        """Add the tokens accrued so far; must run before any change of the authority."""
        if now <= self._filled_at:
            return
        since, self._filled_at = self._filled_at, now
        lent = self.loans.lent_total(since)
        most = max(float(UNITS_PER_REQUEST), self.burst_s * self.loans.authority(now))
        self._level = min(most, max(0.0, self._level + self.loans.accrued(since, now, lent)))

    def _wanted(self, now: float, times: float = HEADROOM_FACTOR) -> int:
        """Authority wanted for the own demand; 0 if the demand is too small to be worth a loan."""
        demand = self.demand(now)
        return int(demand * times * UNITS_PER_REQUEST) if demand >= 0.05 else 0

    # --- lending ---
    def spare(self, now: float) -> int:
        """Amount to report to other members as spare; 0 if it is too small for a loan."""
        spare = self.loans.spare(now, self._wanted(now))
        return spare if spare >= MIN_LOAN else 0

    def grant(self, now: float, borrower: str, number: int, amount: int) -> int:
        """Answer a loan request: the amount lent, at most a fair share of what all request."""
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
        """End the loans of a borrower's process up to `number`."""
        self._fill(now)
        self._recent_requests.pop(borrower, None)
        self.loans.accept_return(now, borrower, number)

    # --- borrowing ---
    def record_spare(self, now: float, member: str, spare: int) -> None:
        """Record a member's report of spare capacity; may bring the next request forward."""
        self._spare_reports[member] = spare, now
        if spare >= MIN_LOAN:
            self._next_request_at = min(self._next_request_at, now)

    def forget_member(self, member: str) -> None:
        """Forget the report of a member that is dead or has left."""
        self._spare_reports.pop(member, None)

    def accept_grant(self, now: float, lender: str, number: int, amount: int) -> ReturnLoan | None:
        """Take a lender's answer; the return to send if it came too late."""
        self._fill(now)
        before = self.loans.borrowed_total(now)
        if self.loans.accept_grant(now, lender, number, amount):
            self._spare_reports.pop(lender, None)  # the report is used up
            if self.loans.borrowed_total(now) > before:
                self._request_interval = ANSWER_TIMEOUT_S / 4.0
            return None
        number = self.loans.number_to_refuse(lender, number) if amount > 0 else 0
        return ReturnLoan(lender, number) if number else None

    def tick(self, now: float, members: Sequence[str]) -> list[RequestLoan | ReturnLoan]:
        """Loan requests and returns to send now.  `members`: the other members that are up."""
        self._fill(now)
        loans = self.loans
        loans.drop_overdue(now, ANSWER_TIMEOUT_S)
        actions: list[RequestLoan | ReturnLoan] = []
        if loans.suspended:
            return actions
        # A lent part of the home part is no shortage: it comes back, as its renewal is not granted.
        lack = self._wanted(now) - max(loans.authority(now), loans.home)
        actions += self._renew(now)
        if lack < 0:
            self._request_interval = ANSWER_TIMEOUT_S / 4.0
            actions += self._give_back(now)
        elif lack >= MIN_LOAN and now >= self._next_request_at:
            actions += self._request_loans(now, lack, members)
        return actions

    def _renew(self, now: float) -> list[RequestLoan | ReturnLoan]:
        """Renew loans at half their time, as far as their amount is still wanted."""
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
        up = set(members)
        order = [name for _, name in known if name in up]
        # If all proxies know only one lender, they must not all request from it alone.
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
            # The new loan replaces an active one of this lender, so it includes its amount.
            number = self.loans.new_request(now, name)
            if number:
                amount = lack + held.get(name, 0)
                actions.append(RequestLoan(name, number, amount))
                lack -= self._spare_reports.get(name, (0, 0.0))[0]
        self._request_interval = min(MAX_REQUEST_INTERVAL_S, self._request_interval * 1.5)
        self._next_request_at = now + self._request_interval * (0.75 + 0.5 * self._random.random())
        return actions

    def _give_back(self, now: float) -> list[RequestLoan | ReturnLoan]:
        """Return the smallest loans while RETURN_FACTOR times the demand is left."""
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

    # --- changes of the fleet ---
    def set_suspended(self, on: bool, now: float) -> None:
        """Suspend while another process has the same name: no authority and an empty bucket."""
        if on != self.loans.suspended:
            self._fill(now)
            self.loans.set_suspended(on, now)
            self._level = 0.0

    def resize(self, per_s: float, proxies: int, now: float) -> None:
        """Change the rate, or the number of proxies if more are known than configured."""
        self._fill(now)
        self.loans.resize(home_part(per_s, proxies), now)

    def return_all(self, now: float) -> list[ReturnLoan]:
        """Give up all borrowed loans; the returns to send."""
        self._fill(now)
        return [
            ReturnLoan(lender, self.loans.give_back(lender))
            for lender in list(self.loans.lenders())
        ]


def fair_share(pot: int, wants: Sequence[int]) -> int:
    """Max-min fairness: the maximum for each, so that smaller wants are met in full."""
    left = len(wants)
    for want in sorted(wants):
        if want * left >= pot:
            return pot // left
        pot, left = pot - want, left - 1
    return max(wants, default=0)


def home_part(per_s: float, proxies: int) -> int:
    """Home part of one proxy in thousandths of a request a second; a remainder is unused."""
    return int(per_s * UNITS_PER_REQUEST) // max(1, proxies)
