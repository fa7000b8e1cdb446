"""Authority over one budget of the fleet: the home part, lent and borrowed loans.  Pure.

A budget is a rate.  Each proxy has an equal part of it, its home part, which follows from the
settings alone and not from messages.  So the home parts add up to at most the budget, however the
network is partitioned.  A proxy lends what it does not use: for a limited time, to one process of a
named borrower, as the answer to a numbered request.

**The lender stops before the borrower begins**: it deducts a loan at the instant of its decision,
before anything is sent.  **It resumes only when the borrower must have stopped**: the borrower
counts the time from before it sent the request, the lender from its later decision, and the
borrower's time is shorter by the possible difference of two clocks.  With clock rates wrong by at
most `drift` and a loan time D, the borrower stops at the latest D / (1 + drift) after its request,
and the lender resumes at the earliest D / (1 + drift) after its decision.  So no order, loss, copy
or delay of messages and no pause of a process (its clock goes on) lets both spend the loan.

A restarted lender does not know what it had lent: it spends only `floor`, which is never lent,
until the longest possible loan has expired.  A loan belongs to one process (`life`, a random ID),
so a loan of a killed borrower stays unused until it expires.

The price: loans that the borrower does not use, the floors of idle proxies, and D after the start
of each process.  Two processes with one name spend one home part twice until they learn of each
other; then the one with the lower incarnation is suspended.  A machine whose monotonic clock stops
(suspend to RAM) is not covered either: see docs/design/fleet-sharing.md.

Amounts are integers, in thousandths of a request a second: sums are exact and equal in all builds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

MAX_LENT = 1024  # active loans of one lender; no more are granted beyond
MAX_BORROWERS = 4096  # borrowers whose last request number is remembered
MAX_OPEN_REQUESTS = 64  # requests without an answer
MAX_LENDERS = 1024  # lenders of one borrower
MIN_LOAN = 10  # thousandths of a request a second; less is not worth the messages


@dataclass(frozen=True, slots=True)
class LoanTerms:
    """Rules of loans, the same at all proxies.

    `loan_s`: s for which the lender deducts a loan.  `drift`: maximal error of a clock's rate.
    `floor`: share of the home part that is never lent.
    """

    loan_s: float = 3.0
    drift: float = 0.05
    floor: float = 0.05

    @property
    def borrower_s(self) -> float:
        """s for which a borrower may spend a loan, from before it sent the request."""
        return self.loan_s * (1.0 - self.drift) / (1.0 + self.drift)


@dataclass(frozen=True, slots=True)
class BorrowedLoan:
    """A loan as the borrower keeps it; `until`: s, when it must stop spending."""

    number: int
    amount: int
    until: float


@dataclass(frozen=True, slots=True)
class LentLoan:
    """A loan as the lender keeps it; `until`: s, when its amount is available again."""

    number: int
    amount: int
    until: float


class StandingLoan(NamedTuple):
    """An active loan, for display."""

    member: str  # name of the lender, or name and `life` of the borrower
    amount: int
    left_s: float  # s until it expires


class Loans:
    """One process's authority over a budget.  `now`: s of its monotonic clock, in every call."""

    __slots__ = (
        "_borrowed",
        "_home_available_at",
        "_last_request",
        "_lent",
        "_number",
        "_requests",
        "_terms",
        "home",
        "suspended",
    )

    def __init__(self, home: int, terms: LoanTerms, now: float) -> None:
        self.home, self._terms = home, terms
        self.suspended = False  # another process has the same name: no authority
        self._home_available_at = now + terms.loan_s  # loans of a previous process expire by then
        # Open requests by lender: number and time (s).
        self._requests: dict[str, tuple[int, float]] = {}
        self._borrowed: dict[str, BorrowedLoan] = {}  # borrowed loans by lender
        self._lent: dict[str, list[LentLoan]] = {}  # lent loans by the borrower's `life`
        self._last_request: dict[str, int] = {}  # highest request number by the borrower's `life`
        self._number = 0

    # --- authority ---
    def own_authority(self, now: float) -> int:
        """The home part without what is lent; only the floor in the first `loan_s`."""
        if self.suspended:
            return 0
        if now < self._home_available_at:
            return self.floor
        return self.home - self.lent_total(now)

    def borrowed_total(self, now: float) -> int:
        """Sum of the borrowed loans that have not expired."""
        if self.suspended:
            return 0
        return sum(loan.amount for loan in self._borrowed.values() if now < loan.until)

    def authority(self, now: float) -> int:
        """Thousandths of a request a second that this process may spend now.

        Negative after `resize` to a home part smaller than what is lent.
        """
        return self.own_authority(now) + self.borrowed_total(now)

    def accrued(self, since: float, now: float, lent: int) -> float:
        """Thousandths of a request that accrued between `since` and `now`, never too many.

        `lent`: `lent_total` at `since`; loans that expired since then count from now on.
        """
        if self.suspended or now <= since:
            return 0.0
        own = self.floor if since < self._home_available_at else self.home - lent
        return own * (now - since) + sum(
            loan.amount * max(0.0, min(now, loan.until) - since) for loan in self._borrowed.values()
        )

    @property
    def floor(self) -> int:
        """The part of the home part that is never lent."""
        return int(self.home * self._terms.floor)

    @property
    def home_available_at(self) -> float:
        """Time (s) from which the whole home part may be spent or lent."""
        return self._home_available_at

    # --- lending ---
    def lent_total(self, now: float) -> int:
        """Sum over the borrowers of the greatest loan that each may still spend."""
        return sum(
            max((loan.amount for loan in loans if now < loan.until), default=0)
            for loans in self._lent.values()
        )

    def lendable(self, now: float, need: int) -> int:
        """Upper bound of the sum of loans if `need` is kept for own requests."""
        if self.suspended or now < self._home_available_at:
            return 0
        return max(0, self.home - max(need, self.floor))

    def spare(self, now: float, need: int) -> int:
        """What can be lent in addition to the active loans."""
        return max(0, self.lendable(now, need) - self.lent_total(now))

    def grant(self, now: float, borrower: str, number: int, amount: int, need: int) -> int:
        """Lend at most `amount` to a borrower's process; returns the amount granted, maybe 0.

        A duplicate or outdated request lends nothing new; it gets the answer to its number again.
        A renewal is a request like any other: if the lender needs its part by now, or is
        suspended, the active loan just expires.
        """
        self._prune(now)
        seen = self._last_request.get(borrower, 0)
        loans = self._lent.get(borrower, [])
        if number <= seen:
            return max((loan.amount for loan in loans if loan.number == number), default=0)
        self._note_request(borrower, number)
        mine = max((loan.amount for loan in loans), default=0)
        grant = min(amount, self.lendable(now, need) - (self.lent_total(now) - mine))
        if grant < MIN_LOAN or sum(map(len, self._lent.values())) >= MAX_LENT:
            return 0
        self._lent.setdefault(borrower, []).append(
            LentLoan(number, grant, now + self._terms.loan_s)
        )
        return grant

    def accept_return(self, now: float, borrower: str, number: int) -> None:
        """End the loans of a borrower's process up to `number`, which it will not use any more."""
        self._note_request(borrower, max(number, self._last_request.get(borrower, 0)))
        if borrower in self._lent:
            self._lent[borrower] = [loan for loan in self._lent[borrower] if loan.number > number]
        self._prune(now)

    def _prune(self, now: float) -> None:
        for borrower in list(self._lent):
            self._lent[borrower] = [loan for loan in self._lent[borrower] if now < loan.until]
            if not self._lent[borrower]:
                del self._lent[borrower]

    def _note_request(self, borrower: str, number: int) -> None:
        """Remember the highest request number; the borrower with the oldest one is forgotten first.

        A duplicate request of a forgotten borrower is granted again, but has no effect there: the
        borrower has handled the answer to that number already.
        """
        self._last_request.pop(borrower, None)
        self._last_request[borrower] = number
        if len(self._last_request) > MAX_BORROWERS:
            del self._last_request[next(iter(self._last_request))]

    # --- borrowing ---
    def new_request(self, now: float, lender: str) -> int:
        """Register a request before it is sent; its number, or 0 if too many are open."""
        if lender not in self._requests and len(self._requests) >= MAX_OPEN_REQUESTS:
            return 0
        self._number += 1
        self._requests[lender] = self._number, now
        return self._number

    def accept_grant(self, now: float, lender: str, number: int, amount: int) -> bool:
        """Take a lender's answer; False if it doesn't answer the open request to that lender.

        The loan replaces an earlier one: the lender deducts only the greatest of its loans to one
        borrower.
        """
        request = self._requests.get(lender)
        if request is None or request[0] != number or self.suspended:
            return False
        del self._requests[lender]
        until = request[1] + self._terms.borrower_s
        if (
            amount > 0
            and now < until
            and (lender in self._borrowed or len(self._borrowed) < MAX_LENDERS)
        ):
            self._borrowed[lender] = BorrowedLoan(number, amount, until)
        elif amount <= 0 and lender in self._borrowed and now >= self._borrowed[lender].until:
            del self._borrowed[lender]
        return True

    def give_back(self, lender: str) -> int:
        """Stop spending a loan; the number to return: all loans up to it are given up."""
        number = max(
            self._requests.pop(lender, (0, 0.0))[0],
            self._borrowed[lender].number if lender in self._borrowed else 0,
        )
        self._borrowed.pop(lender, None)
        return number

    def number_to_refuse(self, lender: str, number: int) -> int:
        """The number to return for an answer that came too late to be taken; 0: none.

        While an older loan of that lender is spent here, a return would end it at the lender.
        """
        open_number = self._requests.get(lender, (0, 0.0))[0]
        return 0 if lender in self._borrowed or 0 < open_number <= number else number

    def drop_overdue(self, now: float, wait: float) -> list[str]:
        """Drop requests unanswered for `wait` s (returns their lenders), and expired loans."""
        late = [lender for lender, (_, at) in self._requests.items() if now - at >= wait]
        for lender in late:
            del self._requests[lender]
        for lender in [name for name, loan in self._borrowed.items() if now >= loan.until]:
            del self._borrowed[lender]
        return late

    def due_for_renewal(self, now: float) -> list[str]:
        """Lenders of loans that have reached half their time and are not being renewed."""
        half = self._terms.borrower_s / 2.0
        return [
            lender
            for lender, loan in self._borrowed.items()
            if now >= loan.until - half and lender not in self._requests
        ]

    def borrowed_loans(self, now: float) -> list[StandingLoan]:
        """Borrowed loans that have not expired, by lender."""
        return [
            StandingLoan(lender, loan.amount, loan.until - now)
            for lender, loan in self._borrowed.items()
            if now < loan.until
        ]

    def lent_loans(self, now: float) -> list[StandingLoan]:
        """Lent loans that have not expired, by the borrower's process (`life`)."""
        standing = {
            borrower: [loan for loan in loans if now < loan.until]
            for borrower, loans in self._lent.items()
        }
        return [
            StandingLoan(
                borrower,
                max(loan.amount for loan in loans),
                max(loan.until for loan in loans) - now,
            )
            for borrower, loans in standing.items()
            if loans
        ]

    def awaits_answer(self, lender: str) -> bool:
        """Whether a request to that lender is open."""
        return lender in self._requests

    # --- suspension and resizing ---
    def set_suspended(self, on: bool, now: float) -> None:
        """Suspend or resume; after that the loans of the other process must expire first."""
        if self.suspended and not on:
            self._home_available_at = now + self._terms.loan_s
        if on:
            self._borrowed.clear()
            self._requests.clear()
        self.suspended = on

    def resize(self, home: int, now: float) -> None:
        """Set another home part; it takes effect at once, active loans stay deducted."""
        self.home = home

    def lenders(self) -> Iterable[str]:
        """Names of the members that a loan was borrowed from."""
        return self._borrowed.keys()
