"""Authority over one budget of the fleet: held, lent and returned.  Pure.

A budget is a rate.  Each of the fleet's proxies has an equal part of it for its own, its home part,
from the settings and not from anybody's word, so the parts of any divided fleet add up to the
budget at most.  What a proxy does not use it lends: for a time, to one life of a named borrower, as
the answer to a numbered ask.

**The lender has stopped before the borrower begins**: it counts the loan as gone from the instant
at which it decides, before anything is sent.  **It begins again only when the borrower must have
stopped**: the borrower reckons from before its ask was sent, the lender from its decision, which
came later, and the borrower's time is shorter by what two clocks may differ.  With rates wrong by
`drift` at most and D the loan's time, the borrower has ended D / (1 + drift) after its ask at the
latest, the lender begins again D / (1 + drift) after its decision at the earliest.  So no order,
loss, copy or delay of messages and no pause of a process (its clock goes on) lets both spend.

A lender that has lost its memory cannot know what it had lent: a new life spends `floor`, which is
never lent, until the longest loan must be over.  Loans are of lives (a nonce each), so one that a
borrower had before it was killed is nobody's until its time is over.

The price: what stands lent to one that does not use it, the floors of those that are idle, and D
after the start of each life.  Two processes of one name have one home part twice until they hear of
each other; then the later one stands aside (`aside`).  Neither is a machine whose monotonic clock
stands (suspended) covered: see docs/design/fleet-sharing.md.

Amounts are whole thousandths of a request a second: sums are exact, and two builds agree on them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

MAX_LENT = 1024  # loans that stand, of one life: beyond it nothing is lent
MAX_BORROWERS = 4096  # borrowers whose last ask is remembered
MAX_OPEN_REQUESTS = 64  # asks without an answer
MAX_LENDERS = 1024  # lenders of one borrower
MIN_LOAN = 10  # thousandths: below this a loan is not worth its messages


@dataclass(frozen=True, slots=True)
class LoanTerms:
    """`loan_s`: s for which a loan stands at its lender.  `floor`: share of home never lent."""

    loan_s: float = 3.0
    drift: float = 0.05
    floor: float = 0.05

    @property
    def borrower_s(self) -> float:
        """For which a borrower believes in a loan, from before it asked."""
        return self.loan_s * (1.0 - self.drift) / (1.0 + self.drift)


@dataclass(frozen=True, slots=True)
class BorrowedLoan:
    """Borrowed from a lender."""

    number: int
    amount: int
    until: float


@dataclass(frozen=True, slots=True)
class LentLoan:
    """Of one ask of a borrower's life."""

    number: int
    amount: int
    until: float


class StandingLoan(NamedTuple):
    """A loan that has not ended, as it is shown."""

    member: str  # the lender, or the borrower's life
    amount: int
    left_s: float  # until it ends


class Loans:
    """One life's authority over one budget.  `now`: s of its monotonic clock, in every call."""

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
        self.suspended = False  # another process of our name is there: nothing is ours
        self._home_available_at = (
            now + terms.loan_s
        )  # whatever an earlier life had lent is over by then
        self._requests: dict[str, tuple[int, float]] = {}  # by lender: the number, and when
        self._borrowed: dict[str, BorrowedLoan] = {}  # by lender
        self._lent: dict[str, list[LentLoan]] = {}  # by borrower's life
        self._last_request: dict[
            str, int
        ] = {}  # by borrower's life: its highest ask that we know of
        self._number = 0

    # --- what may be spent ---
    def own_authority(self, now: float) -> int:
        """Of the home part: all but what is lent, or the floor while a new life waits."""
        if self.suspended:
            return 0
        if now < self._home_available_at:
            return self.floor
        return self.home - self.lent_total(now)

    def borrowed_total(self, now: float) -> int:
        """Borrowed, and not over."""
        if self.suspended:
            return 0
        return sum(loan.amount for loan in self._borrowed.values() if now < loan.until)

    def authority(self, now: float) -> int:
        """Thousandths of a request a second that this life may spend now.

        Below 0 where the home part has become smaller than what of it is lent.
        """
        return self.own_authority(now) + self.borrowed_total(now)

    def accrued(self, since: float, now: float, lent: int) -> float:
        """Thousandths of a request that the time between has brought, none of them too many.

        `lent` as it stood at `since`: what has come back meanwhile counts from now on.
        """
        if self.suspended or now <= since:
            return 0.0
        own = self.floor if since < self._home_available_at else self.home - lent
        return own * (now - since) + sum(
            loan.amount * max(0.0, min(now, loan.until) - since) for loan in self._borrowed.values()
        )

    @property
    def floor(self) -> int:
        return int(self.home * self._terms.floor)

    @property
    def home_available_at(self) -> float:
        """From when on the home part is whole."""
        return self._home_available_at

    # --- lending ---
    def lent_total(self, now: float) -> int:
        """Of each borrower the greatest loan that may still be believed in."""
        return sum(
            max((loan.amount for loan in loans if now < loan.until), default=0)
            for loans in self._lent.values()
        )

    def lendable(self, now: float, need: int) -> int:
        """What may be lent in all, if `need` is kept for own requests."""
        if self.suspended or now < self._home_available_at:
            return 0
        return max(0, self.home - max(need, self.floor))

    def spare(self, now: float, need: int) -> int:
        """What of it is not lent."""
        return max(0, self.lendable(now, need) - self.lent_total(now))

    def grant(self, now: float, borrower: str, number: int, amount: int, need: int) -> int:
        """A borrower's life asks for so much at most; what it is lent, 0 being nothing.

        An ask that came before, or is older than another that came, lends nothing new: its number
        has had its answer.  A loan is asked for anew like any other: where the lender needs its
        part, or it is another process's by now, what stands ends at its time.
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
        """That life believes in no loan of an ask up to `number`, and never will."""
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
        """Its highest ask.  Who was heard of least lately is forgotten first: an ask of its that
        comes once more then lends in vain, since its answer has had its turn.
        """
        self._last_request.pop(borrower, None)
        self._last_request[borrower] = number
        if len(self._last_request) > MAX_BORROWERS:
            del self._last_request[next(iter(self._last_request))]

    # --- borrowing ---
    def new_request(self, now: float, lender: str) -> int:
        """The number of an ask that is sent after this; 0 when too many are open."""
        if lender not in self._requests and len(self._requests) >= MAX_OPEN_REQUESTS:
            return 0
        self._number += 1
        self._requests[lender] = self._number, now
        return self._number

    def accept_grant(self, now: float, lender: str, number: int, amount: int) -> bool:
        """A lender's answer; whether it was to the ask that is open with it.

        It takes the place of an earlier loan of that lender, which counted it once.
        """
        asked = self._requests.get(lender)
        if asked is None or asked[0] != number or self.suspended:
            return False
        del self._requests[lender]
        until = asked[1] + self._terms.borrower_s
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
        """Spend no more of it; the number up to which nothing is believed: the lender is told."""
        number = max(
            self._requests.pop(lender, (0, 0.0))[0],
            self._borrowed[lender].number if lender in self._borrowed else 0,
        )
        self._borrowed.pop(lender, None)
        return number

    def number_to_refuse(self, lender: str, number: int) -> int:
        """What may be told back of an answer that came too late to count; 0: nothing may.

        An older loan of that lender may still stand here, and it would take that for ended.
        """
        open_ask = self._requests.get(lender, (0, 0.0))[0]
        return 0 if lender in self._borrowed or 0 < open_ask <= number else number

    def drop_overdue(self, now: float, wait: float) -> list[str]:
        """Asks that `wait` s have brought no answer for are given up."""
        late = [lender for lender, (_, at) in self._requests.items() if now - at >= wait]
        for lender in late:
            del self._requests[lender]
        for lender in [name for name, loan in self._borrowed.items() if now >= loan.until]:
            del self._borrowed[lender]
        return late

    def due_for_renewal(self, now: float) -> list[str]:
        """Lenders whose loans are half over, to be asked anew."""
        half = self._terms.borrower_s / 2.0
        return [
            lender
            for lender, loan in self._borrowed.items()
            if now >= loan.until - half and lender not in self._requests
        ]

    def borrowed_loans(self, now: float) -> list[StandingLoan]:
        """Held, by lender."""
        return [
            StandingLoan(lender, loan.amount, loan.until - now)
            for lender, loan in self._borrowed.items()
            if now < loan.until
        ]

    def lent_loans(self, now: float) -> list[StandingLoan]:
        """Lent, by the borrower's life."""
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
        """Whether an ask of that lender is open."""
        return lender in self._requests

    # --- names and sizes ---
    def set_suspended(self, on: bool, now: float) -> None:
        """Another life of our name is there, or has gone: its loans are waited out."""
        if self.suspended and not on:
            self._home_available_at = now + self._terms.loan_s
        if on:
            self._borrowed.clear()
            self._requests.clear()
        self.suspended = on

    def resize(self, home: int, now: float) -> None:
        """Another home part; a greater one holds for what is not lent, at once."""
        self.home = home

    def lenders(self) -> Iterable[str]:
        return self._borrowed.keys()
