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

LENT_MOST = 1024  # loans that stand, of one life: beyond it nothing is lent
SEEN_MOST = 4096  # borrowers whose last ask is remembered
ASKS_MOST = 64  # asks without an answer
HELD_MOST = 1024  # lenders of one borrower
LEAST = 10  # thousandths: below this a loan is not worth its messages


@dataclass(frozen=True, slots=True)
class Terms:
    """`loan_s`: s for which a loan stands at its lender.  `floor`: share of home never lent."""

    loan_s: float = 3.0
    drift: float = 0.05
    floor: float = 0.05

    @property
    def kept_s(self) -> float:
        """For which a borrower believes in a loan, from before it asked."""
        return self.loan_s * (1.0 - self.drift) / (1.0 + self.drift)


@dataclass(frozen=True, slots=True)
class Held:
    """Borrowed from a lender."""

    number: int
    amount: int
    until: float


@dataclass(frozen=True, slots=True)
class Lent:
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
        "_asked",
        "_full_at",
        "_held",
        "_lent",
        "_number",
        "_seen",
        "_terms",
        "aside",
        "home",
    )

    def __init__(self, home: int, terms: Terms, now: float) -> None:
        self.home, self._terms = home, terms
        self.aside = False  # another process of our name is there: nothing is ours
        self._full_at = now + terms.loan_s  # whatever an earlier life had lent is over by then
        self._asked: dict[str, tuple[int, float]] = {}  # by lender: the number, and when
        self._held: dict[str, Held] = {}  # by lender
        self._lent: dict[str, list[Lent]] = {}  # by borrower's life
        self._seen: dict[str, int] = {}  # by borrower's life: its highest ask that we know of
        self._number = 0

    # --- what may be spent ---
    def own(self, now: float) -> int:
        """Of the home part: all but what is lent, or the floor while a new life waits."""
        if self.aside:
            return 0
        if now < self._full_at:
            return self.floor
        return self.home - self.lent(now)

    def held(self, now: float) -> int:
        """Borrowed, and not over."""
        if self.aside:
            return 0
        return sum(loan.amount for loan in self._held.values() if now < loan.until)

    def authority(self, now: float) -> int:
        """Thousandths of a request a second that this life may spend now.

        Below 0 where the home part has become smaller than what of it is lent.
        """
        return self.own(now) + self.held(now)

    def earned(self, since: float, now: float, lent: int) -> float:
        """Thousandths of a request that the time between has brought, none of them too many.

        `lent` as it stood at `since`: what has come back meanwhile counts from now on.
        """
        if self.aside or now <= since:
            return 0.0
        own = self.floor if since < self._full_at else self.home - lent
        return own * (now - since) + sum(
            loan.amount * max(0.0, min(now, loan.until) - since) for loan in self._held.values()
        )

    @property
    def floor(self) -> int:
        return int(self.home * self._terms.floor)

    @property
    def home_whole_at(self) -> float:
        """From when on the home part is whole."""
        return self._full_at

    # --- lending ---
    def lent(self, now: float) -> int:
        """Of each borrower the greatest loan that may still be believed in."""
        return sum(
            max((loan.amount for loan in loans if now < loan.until), default=0)
            for loans in self._lent.values()
        )

    def lendable(self, now: float, need: int) -> int:
        """What may be lent in all, if `need` is kept for own requests."""
        if self.aside or now < self._full_at:
            return 0
        return max(0, self.home - max(need, self.floor))

    def spare(self, now: float, need: int) -> int:
        """What of it is not lent."""
        return max(0, self.lendable(now, need) - self.lent(now))

    def asked(self, now: float, borrower: str, number: int, amount: int, need: int) -> int:
        """A borrower's life asks for so much at most; what it is lent, 0 being nothing.

        An ask that came before, or is older than another that came, lends nothing new: its number
        has had its answer.  A loan is asked for anew like any other: where the lender needs its
        part, or it is another process's by now, what stands ends at its time.
        """
        self._prune(now)
        seen = self._seen.get(borrower, 0)
        loans = self._lent.get(borrower, [])
        if number <= seen:
            return max((loan.amount for loan in loans if loan.number == number), default=0)
        self._note(borrower, number)
        mine = max((loan.amount for loan in loans), default=0)
        grant = min(amount, self.lendable(now, need) - (self.lent(now) - mine))
        if grant < LEAST or sum(map(len, self._lent.values())) >= LENT_MOST:
            return 0
        self._lent.setdefault(borrower, []).append(Lent(number, grant, now + self._terms.loan_s))
        return grant

    def returned(self, now: float, borrower: str, number: int) -> None:
        """That life believes in no loan of an ask up to `number`, and never will."""
        self._note(borrower, max(number, self._seen.get(borrower, 0)))
        if borrower in self._lent:
            self._lent[borrower] = [loan for loan in self._lent[borrower] if loan.number > number]
        self._prune(now)

    def _prune(self, now: float) -> None:
        for borrower in list(self._lent):
            self._lent[borrower] = [loan for loan in self._lent[borrower] if now < loan.until]
            if not self._lent[borrower]:
                del self._lent[borrower]

    def _note(self, borrower: str, number: int) -> None:
        """Its highest ask.  Who was heard of least lately is forgotten first: an ask of its that
        comes once more then lends in vain, since its answer has had its turn.
        """
        self._seen.pop(borrower, None)
        self._seen[borrower] = number
        if len(self._seen) > SEEN_MOST:
            del self._seen[next(iter(self._seen))]

    # --- borrowing ---
    def ask(self, now: float, lender: str) -> int:
        """The number of an ask that is sent after this; 0 when too many are open."""
        if lender not in self._asked and len(self._asked) >= ASKS_MOST:
            return 0
        self._number += 1
        self._asked[lender] = self._number, now
        return self._number

    def granted(self, now: float, lender: str, number: int, amount: int) -> bool:
        """A lender's answer; whether it was to the ask that is open with it.

        It takes the place of an earlier loan of that lender, which counted it once.
        """
        asked = self._asked.get(lender)
        if asked is None or asked[0] != number or self.aside:
            return False
        del self._asked[lender]
        until = asked[1] + self._terms.kept_s
        if amount > 0 and now < until and (lender in self._held or len(self._held) < HELD_MOST):
            self._held[lender] = Held(number, amount, until)
        elif amount <= 0 and lender in self._held and now >= self._held[lender].until:
            del self._held[lender]
        return True

    def give_back(self, lender: str) -> int:
        """Spend no more of it; the number up to which nothing is believed: the lender is told."""
        number = max(
            self._asked.pop(lender, (0, 0.0))[0],
            self._held[lender].number if lender in self._held else 0,
        )
        self._held.pop(lender, None)
        return number

    def number_to_refuse(self, lender: str, number: int) -> int:
        """What may be told back of an answer that came too late to count; 0: nothing may.

        An older loan of that lender may still stand here, and it would take that for ended.
        """
        open_ask = self._asked.get(lender, (0, 0.0))[0]
        return 0 if lender in self._held or 0 < open_ask <= number else number

    def drop_overdue(self, now: float, wait: float) -> list[str]:
        """Asks that `wait` s have brought no answer for are given up."""
        late = [lender for lender, (_, at) in self._asked.items() if now - at >= wait]
        for lender in late:
            del self._asked[lender]
        for lender in [name for name, loan in self._held.items() if now >= loan.until]:
            del self._held[lender]
        return late

    def due_for_renewal(self, now: float) -> list[str]:
        """Lenders whose loans are half over, to be asked anew."""
        half = self._terms.kept_s / 2.0
        return [
            lender
            for lender, loan in self._held.items()
            if now >= loan.until - half and lender not in self._asked
        ]

    def borrowed(self, now: float) -> list[StandingLoan]:
        """Held, by lender."""
        return [
            StandingLoan(lender, loan.amount, loan.until - now)
            for lender, loan in self._held.items()
            if now < loan.until
        ]

    def lent_out(self, now: float) -> list[StandingLoan]:
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
        return lender in self._asked

    # --- names and sizes ---
    def stand_aside(self, on: bool, now: float) -> None:
        """Another life of our name is there, or has gone: its loans are waited out."""
        if self.aside and not on:
            self._full_at = now + self._terms.loan_s
        if on:
            self._held.clear()
            self._asked.clear()
        self.aside = on

    def resize(self, home: int, now: float) -> None:
        """Another home part; a greater one holds for what is not lent, at once."""
        self.home = home

    def lenders(self) -> Iterable[str]:
        return self._held.keys()
