"""Budgets checked whole: every order of asks, answers, returns, losses, copies, delays and crashes.

The pure core itself is played (`violetroute/sharing/loans.py`), by two or three lives of as many
names, with clocks as far apart as the terms allow.  A message stays in the network after it was
delivered for as often as copies are allowed, and need never be delivered: so loss, delay, copies
and order are one thing.  A process that is stopped does nothing for a while, which any order
allows, and its clock goes on.

Held against it after every step: **the sum** of what all that run may spend, each by its own clock
at that instant, is never above the budget; and **back**: with nothing more sent, after some time
each has its home part again.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field, fields, replace
from typing import Any

from violetroute.sharing.loans import Loans, Terms

TERMS = Terms(loan_s=1.0, drift=0.05, floor=0.25)
RATES = (0.95, 1.05, 1.0)  # of the names' clocks
STEP = 0.5  # s of an event "time"
HOME = 100
AMOUNTS = (40, 75)


@dataclass(frozen=True)
class Bounds:
    """How often each thing happens in one story."""

    names: int = 2
    times: int = 4
    asks: int = 3
    backs: int = 2
    copies: int = 2  # messages that come once more
    crashes: int = 1


KINDS = tuple(bound.name for bound in fields(Bounds) if bound.name != "names")


@dataclass(frozen=True)
class Message:
    """Of a life, to whoever has the name.  `amount` of "back" is nothing."""

    kind: str
    from_life: str
    to: str
    number: int
    amount: int
    life: str  # of the borrower, which alone takes an answer
    copies: int = 0  # how often it came


@dataclass
class World:
    bounds: Bounds
    now: float = 0.0
    lives: list[Loans] = field(default_factory=list)
    life: list[int] = field(default_factory=list)  # the number of each name's life
    net: tuple[Message, ...] = ()
    left: dict[str, int] = field(default_factory=dict)
    broken: str = ""

    def __post_init__(self) -> None:
        if not self.left:
            self.left = {name: getattr(self.bounds, name) for name in KINDS}
            self.lives = [
                Loans(HOME, TERMS, self.clock(place) - TERMS.loan_s)
                for place in range(self.bounds.names)
            ]
            self.life = [0] * self.bounds.names

    def clock(self, place: int) -> float:
        return 100.0 + self.now * RATES[place]

    def name(self, place: int) -> str:
        return f"p{place}/{self.life[place]}"

    def copy(self) -> World:
        made = World.__new__(World)
        made.__dict__.update(self.__dict__)
        made.left, made.life = self.left.copy(), self.life[:]
        made.lives = [_copy(loans) for loans in self.lives]
        return made

    # --- what may happen ---
    def events(self) -> Iterator[tuple[Any, ...]]:
        left, places = self.left, range(self.bounds.names)
        if left["times"]:
            yield ("time",)
        for message in self.net:
            yield ("hear", message)
        for place in places:
            if left["crashes"]:
                yield ("crash", place)
            for other in places:
                if other == place:
                    continue
                if left["asks"] and not self.lives[place].is_open(f"p{other}"):
                    for amount in AMOUNTS:
                        yield ("ask", place, other, amount)
                if left["asks"] and self.lives[place].is_open(f"p{other}"):
                    yield ("give up", place, other)
                if left["backs"] and (
                    f"p{other}" in self.lives[place].lenders()
                    or self.lives[place].is_open(f"p{other}")
                ):
                    yield ("back", place, other)

    def step(self, what: str, *args: Any) -> None:
        getattr(self, "_" + what.replace(" ", "_"))(*args)
        spent = sum(loans.authority(self.clock(place)) for place, loans in enumerate(self.lives))
        if spent > HOME * self.bounds.names:
            self.broken = "the sum"

    def _time(self) -> None:
        self.left["times"] -= 1
        self.now += STEP

    def _ask(self, place: int, other: int, amount: int) -> None:
        self.left["asks"] -= 1
        number = self.lives[place].ask(self.clock(place), f"p{other}")
        life = self.name(place)
        self._send(Message("ask", life, f"p{other}", number, amount, life))

    def _give_up(self, place: int, other: int) -> None:
        """Its answer is not waited for any more."""
        self.lives[place].overdue(self.clock(place), 0.0)

    def _back(self, place: int, other: int) -> None:
        self.left["backs"] -= 1
        number = self.lives[place].give_back(f"p{other}")
        life = self.name(place)
        self._send(Message("back", life, f"p{other}", number, 0, life))

    def _crash(self, place: int) -> None:
        """And starts at once, with nothing in its memory."""
        self.left["crashes"] -= 1
        self.life[place] += 1
        self.lives[place] = Loans(HOME, TERMS, self.clock(place))

    def _hear(self, message: Message) -> None:
        net = [each for each in self.net if each is not message]
        if self.left["copies"]:
            again = replace(message, copies=message.copies + 1)
            if message.copies == 0:
                net.append(again)
        if message.copies:
            self.left["copies"] -= 1
        self.net = tuple(net)
        place = int(message.to[1])
        now, loans = self.clock(place), self.lives[place]
        match message.kind:
            case "ask":
                amount = loans.asked(now, message.life, message.number, message.amount, 0)
                self._send(
                    Message(
                        "lend",
                        self.name(place),
                        message.life.partition("/")[0],
                        message.number,
                        amount,
                        message.life,
                    )
                )
            case "lend":
                if message.life != self.name(place):
                    return
                lender = message.from_life.partition("/")[0]
                if (
                    not loans.granted(now, lender, message.number, message.amount)
                    and message.amount
                    and self.left["backs"]
                ):
                    number = loans.unwanted(lender, message.number)
                    if number:
                        self.left["backs"] -= 1
                        self._send(Message("back", message.life, lender, number, 0, message.life))
            case _:
                loans.returned(now, message.life, message.number)

    def _send(self, message: Message) -> None:
        self.net = tuple(sorted((*self.net, message), key=repr))

    # --- states ---
    def key(self) -> Any:
        return (
            round(self.now, 6),
            tuple(self.life),
            self.net,
            tuple(self.left.values()),
            tuple(
                (
                    loans._number,
                    tuple(sorted(loans._asked.items())),
                    tuple(sorted(loans._held.items(), key=lambda at: at[0])),
                    tuple(sorted((life, tuple(lent)) for life, lent in loans._lent.items())),
                    tuple(sorted(loans._seen.items())),
                    loans._full_at,
                )
                for loans in self.lives
            ),
        )

    def before(self, event: tuple[Any, ...]) -> World:
        return self.copy()

    def heals(self) -> str:
        """Nothing is sent any more: each has all of its home part again, and nothing else."""
        later = self.copy()
        later.now += 4.0
        back = all(
            loans.authority(later.clock(place)) == HOME for place, loans in enumerate(later.lives)
        )
        return "" if back else "back"


def _copy(loans: Loans) -> Loans:
    made = copy.copy(loans)
    made._asked, made._held = loans._asked.copy(), loans._held.copy()
    made._seen = loans._seen.copy()
    made._lent = {life: list(lent) for life, lent in loans._lent.items()}
    return made
