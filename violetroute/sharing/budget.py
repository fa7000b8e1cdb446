"""What one life spends of one budget, whom it asks for more, and what it gives back.  Pure.

A bucket is filled by the authority at hand (`loans`).  It holds `burst_s` of it and one request at
least, so in any window of t seconds the fleet spends at most

    budget * t + the sum over its proxies of max(1, burst_s * authority)

which for even parts is budget * (t + burst_s), or a request a proxy where the parts are that small.
A process that is stopped between taking a token and sending does so later: as many requests as one
turn of its loop had taken on.

Whom to ask: those who said lately that they have something to spare, the most first, then others
by chance; few at once, fewer the longer nobody has any.  Demand is what was asked of this
proxy, let in or not, so that a need shows before it is met.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .loans import LEAST, Loans, Terms

UNIT = 1000  # thousandths of a request
DEMAND_S = 1.0  # over which demand is averaged
HEADROOM = 1.3  # times its demand that a proxy wants to have, and keeps when it lends
SURPLUS = 2.0  # times: a borrower beyond that gives back
ASKS_AT_ONCE = 8  # asks that one tick sends
ANSWER_WAIT_S = 0.4  # s for an answer
ASK_WAIT_MOST_S = 1.0  # s between two rounds of asking while nobody has any
OPEN_S = 5.0  # s without a request turned away after which a budget counts as open
SPARE_AGE_MOST_S = 5.0  # s for which another's word of what it has to spare is believed


class Chance(Protocol):
    def random(self) -> float: ...


@dataclass(frozen=True, slots=True)
class Ask:
    """To be sent to that member."""

    to: str
    number: int
    amount: int


@dataclass(frozen=True, slots=True)
class Back:
    to: str
    number: int


class Budget:
    """`per_s`: of the whole fleet, `proxies` of it at most.  `burst_s`: what a bucket holds."""

    def __init__(
        self,
        name: str,
        per_s: float,
        proxies: int,
        terms: Terms,
        burst_s: float,
        now: float,
        chance: Chance,
    ) -> None:
        self.name, self._terms, self._chance, self.burst_s = name, terms, chance, burst_s
        self.loans = Loans(home_part(per_s, proxies), terms, now)
        self._level = 0.0  # thousandths of a request that may be spent at once
        self._filled_at = now
        self._demand, self._demand_at = 0.0, now  # requests, decayed over DEMAND_S
        self._spares: dict[str, tuple[int, float]] = {}
        self._askers: dict[str, tuple[int, float]] = {}  # by life: what it asks for, and when
        self._ask_at, self._wait = now, ANSWER_WAIT_S / 4.0
        self.let_in = self.turned_away = 0
        self.shut = False  # requests are turned away, as it was told last
        self._turned_at = -math.inf

    # --- spending ---
    def spend(self, now: float) -> bool:
        """One request wants to be let in."""
        self._decay(now)
        self._demand += 1.0
        self._fill(now)
        if self._level < UNIT:
            self.turned_away += 1
            self._turned_at = now
            return False
        self._level -= UNIT
        self.let_in += 1
        return True

    def turns(self, now: float) -> bool:
        """Whether `shut` has changed: shut by the first that is turned away, open after a while.

        Once a state, not once a request: at its bound a budget goes to and fro many times a second.
        """
        shut = now - self._turned_at < OPEN_S
        changed, self.shut = shut != self.shut, shut
        return changed

    def refund(self) -> None:
        """What was let in was not, for another budget's sake."""
        self._level += UNIT
        self.let_in -= 1

    def wait(self, now: float) -> float:
        """Seconds until a request that is turned away now would find what it needs."""
        rate = max(self.loans.authority(now), 1)
        return max(0.0, UNIT - self._level) / rate

    def demand(self, now: float) -> float:
        """Requests a second that were asked of this proxy lately."""
        self._decay(now)
        return self._demand / DEMAND_S

    def _decay(self, now: float) -> None:
        if now > self._demand_at:
            self._demand *= math.exp((self._demand_at - now) / DEMAND_S)
            self._demand_at = now

    def _fill(self, now: float) -> None:
        """Before anything changes what may be spent: what it was so far is counted so far."""
        if now <= self._filled_at:
            return
        since, self._filled_at = self._filled_at, now
        lent = self.loans.lent(since)
        most = max(float(UNIT), self.burst_s * self.loans.authority(now))
        self._level = min(most, max(0.0, self._level + self.loans.earned(since, now, lent)))

    def _want(self, now: float, times: float = HEADROOM) -> int:
        """Thousandths that its own requests are worth; a trickle wants nothing of others."""
        demand = self.demand(now)
        return int(demand * times * UNIT) if demand >= 0.05 else 0

    # --- lending ---
    def spare(self, now: float) -> int:
        """What others may be told that they can ask for."""
        spare = self.loans.spare(now, self._want(now))
        return spare if spare >= LEAST else 0

    def asked(self, now: float, borrower: str, number: int, amount: int) -> int:
        """What that life is lent."""
        self._fill(now)
        self._askers = {
            life: (most, at)
            for life, (most, at) in self._askers.items()
            if now - at <= self._terms.loan_s
        }
        self._askers[borrower] = amount, now
        need = self._want(now)
        fair = evenly(self.loans.lendable(now, need), [most for most, _ in self._askers.values()])
        return self.loans.asked(now, borrower, number, min(amount, fair), need)

    def returned(self, now: float, borrower: str, number: int) -> None:
        self._fill(now)
        self._askers.pop(borrower, None)
        self.loans.returned(now, borrower, number)

    # --- borrowing ---
    def told(self, now: float, member: str, spare: int) -> None:
        """A member says what it has to spare."""
        self._spares[member] = spare, now
        if spare >= LEAST:
            self._ask_at = min(self._ask_at, now)

    def left(self, member: str) -> None:
        """It is there no more: what it said counts for nothing."""
        self._spares.pop(member, None)

    def granted(self, now: float, lender: str, number: int, amount: int) -> Back | None:
        """An answer; what is to be told the lender if it came too late to be believed."""
        self._fill(now)
        before = self.loans.held(now)
        if self.loans.granted(now, lender, number, amount):
            self._spares.pop(lender, None)  # this was it
            if self.loans.held(now) > before:
                self._wait = ANSWER_WAIT_S / 4.0
            return None
        number = self.loans.number_to_refuse(lender, number) if amount > 0 else 0
        return Back(lender, number) if number else None

    def tick(self, now: float, members: Sequence[str]) -> list[Ask | Back]:
        """What is to be sent now.  `members`: those that are up, without this one."""
        self._fill(now)
        loans = self.loans
        loans.drop_overdue(now, ANSWER_WAIT_S)
        actions: list[Ask | Back] = []
        if loans.aside:
            return actions
        # Who has lent of its home part gets it back by lending less, not by asking others.
        lack = self._want(now) - max(loans.authority(now), loans.home)
        actions += self._renew(now)
        if lack < 0:
            self._wait = ANSWER_WAIT_S / 4.0
            actions += self._give_back(now)
        elif lack >= LEAST and now >= self._ask_at:
            actions += self._ask(now, lack, members)
        return actions

    def _renew(self, now: float) -> list[Ask | Back]:
        """Loans that are half over: asked for anew while there is a use for them."""
        due = self.loans.due_for_renewal(now)
        if not due:
            return []
        amounts = {loan.member: loan.amount for loan in self.loans.borrowed(now)}
        room = self._want(now) - (self.loans.authority(now) - sum(amounts.values()))
        actions: list[Ask | Back] = []
        for lender in due:
            amount = min(amounts.get(lender, 0), room)
            room -= amount
            number = self.loans.ask(now, lender) if amount >= LEAST else 0
            if number:
                actions.append(Ask(lender, number, amount))
        return actions

    def _ask(self, now: float, lack: int, members: Sequence[str]) -> list[Ask | Back]:
        known = [
            (spare, name)
            for name, (spare, at) in self._spares.items()
            if now - at <= SPARE_AGE_MOST_S and spare >= LEAST
        ]
        self._spares = {name: self._spares[name] for _, name in known}
        known.sort(key=lambda at: (-at[0], at[1]))
        there = set(members)
        order = [name for _, name in known if name in there]
        # A fleet that all knows of one with something to spare must not ask it alone.
        order += (
            [members[int(self._chance.random() * len(members))] for _ in range(ASKS_AT_ONCE)]
            if members
            else []
        )
        actions: list[Ask | Back] = []
        held = {loan.member: loan.amount for loan in self.loans.borrowed(now)}
        for name in dict.fromkeys(order):
            if len(actions) >= ASKS_AT_ONCE or lack < LEAST:
                break
            if self.loans.awaits_answer(name):
                continue
            # What stands is asked for again with it: the answer takes its place.
            number = self.loans.ask(now, name)
            if number:
                amount = lack + held.get(name, 0)
                actions.append(Ask(name, number, amount))
                lack -= self._spares.get(name, (0, 0.0))[0]
        self._wait = min(ASK_WAIT_MOST_S, self._wait * 1.5)
        self._ask_at = now + self._wait * (0.75 + 0.5 * self._chance.random())
        return actions

    def _give_back(self, now: float) -> list[Ask | Back]:
        """Loans that are not needed, the least first, while enough is left."""
        actions: list[Ask | Back] = []
        surplus = self.loans.authority(now) - self._want(now, SURPLUS)
        for lender, amount, _ in sorted(self.loans.borrowed(now), key=lambda loan: loan.amount):
            if amount > surplus:
                break
            surplus -= amount
            actions.append(Back(lender, self.loans.give_back(lender)))
        return actions

    # --- the fleet ---
    def aside(self, on: bool, now: float) -> None:
        """Another process of our name is there, or is gone."""
        if on != self.loans.aside:
            self._fill(now)
            self.loans.stand_aside(on, now)
            self._level = 0.0

    def resize(self, per_s: float, proxies: int, now: float) -> None:
        """By new settings, or where more proxies are heard of than the settings know."""
        self._fill(now)
        self.loans.resize(home_part(per_s, proxies), now)

    def end(self, now: float) -> list[Back]:
        """The process ends: what it holds goes back."""
        self._fill(now)
        return [Back(lender, self.loans.give_back(lender)) for lender in list(self.loans.lenders())]


def evenly(pot: int, wants: Sequence[int]) -> int:
    """What each may have at most, so that who wants less has it all and the others as much."""
    left = len(wants)
    for want in sorted(wants):
        if want * left >= pot:
            return pot // left
        pot, left = pot - want, left - 1
    return max(wants, default=0)


def home_part(per_s: float, proxies: int) -> int:
    """Thousandths of a request a second of each of so many; what does not divide is nobody's."""
    return int(per_s * UNIT) // max(1, proxies)
