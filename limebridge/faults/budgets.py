"""Budgets as a model for `state_space`: asks, answers, returns, copies, delays and crashes.

The pure core itself is played (`violetroute/sharing/loans.py`), by two or three
processes, with clocks as far apart as the terms allow.  A message stays in the network after it was
delivered for as often as copies are allowed, and need never be delivered: so loss, delay, copies
and order are one thing.  A process that is stopped does nothing for a while, which any order
allows, and its clock goes on.

After every step it checks **the sum**: what all running processes may spend, each by its own clock
at that instant, is never above the budget.  From some states it checks **back**: when nothing more
is sent, each process has its home part again after some time.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field, fields, replace
from typing import Any, Literal

from violetroute.sharing.loans import Loans, LoanTerms

TERMS = LoanTerms(loan_s=1.0, drift=0.05, floor=0.25)
RATES = (0.95, 1.05, 1.0)  # of the names' clocks
STEP = 0.5  # s of an event "time"
HOME = 100
AMOUNTS = (40, 75)


@dataclass(frozen=True)
class Bounds:
    """How often each thing happens in one story."""

    processes: int = 2
    time_steps: int = 4
    requests: int = 3
    returns: int = 2
    copies: int = 2  # messages that come once more
    crashes: int = 1


KINDS = tuple(bound.name for bound in fields(Bounds) if bound.name != "processes")


# What a message is; "lend" answers "ask", also with nothing.  Not an enum: its members hash in
# Python, and a check hashes every message of every state.
MessageKind = Literal["ask", "lend", "back"]


@dataclass(frozen=True)
class Message:
    """From one incarnation to whoever has the name.  `amount` of "back" is nothing."""

    kind: MessageKind
    sender: str
    to: str
    number: int
    amount: int
    borrower: str  # the incarnation that asked; it alone takes an answer
    copies: int = 0  # how often it came


@dataclass
class World:
    """The state of the model."""

    bounds: Bounds
    now: float = 0.0
    loans: list[Loans] = field(default_factory=list)  # of each name
    incarnations: list[int] = field(default_factory=list)  # the number of each name's
    net: tuple[Message, ...] = ()
    left: dict[str, int] = field(default_factory=dict)
    violated_rule: str = ""

    def __post_init__(self) -> None:
        if not self.left:
            self.left = {name: getattr(self.bounds, name) for name in KINDS}
            self.loans = [
                Loans(HOME, TERMS, self.clock(place) - TERMS.loan_s)
                for place in range(self.bounds.processes)
            ]
            self.incarnations = [0] * self.bounds.processes

    def clock(self, place: int) -> float:
        return 100.0 + self.now * RATES[place]

    def name(self, place: int) -> str:
        return f"p{place}/{self.incarnations[place]}"

    def copy(self) -> World:
        made = World.__new__(World)
        made.__dict__.update(self.__dict__)
        made.left, made.incarnations = self.left.copy(), self.incarnations[:]
        made.loans = [_copy(loans) for loans in self.loans]
        return made

    # --- what may happen ---
    def events(self) -> Iterator[tuple[Any, ...]]:
        left, places = self.left, range(self.bounds.processes)
        if left["time_steps"]:
            yield ("time",)
        for message in self.net:
            yield ("hear", message)
        for place in places:
            if left["crashes"]:
                yield ("crash", place)
            for other in places:
                if other == place:
                    continue
                if left["requests"] and not self.loans[place].awaits_answer(f"p{other}"):
                    for amount in AMOUNTS:
                        yield ("ask", place, other, amount)
                if left["requests"] and self.loans[place].awaits_answer(f"p{other}"):
                    yield ("give up", place, other)
                if left["returns"] and (
                    f"p{other}" in self.loans[place].lenders()
                    or self.loans[place].awaits_answer(f"p{other}")
                ):
                    yield ("back", place, other)

    def step(self, what: str, *args: Any) -> None:
        getattr(self, "_" + what.replace(" ", "_"))(*args)
        spent = sum(loans.authority(self.clock(place)) for place, loans in enumerate(self.loans))
        if spent > HOME * self.bounds.processes:
            self.violated_rule = "the sum"

    def _time(self) -> None:
        self.left["time_steps"] -= 1
        self.now += STEP

    def _ask(self, place: int, other: int, amount: int) -> None:
        self.left["requests"] -= 1
        number = self.loans[place].new_request(self.clock(place), f"p{other}")
        incarnation = self.name(place)
        self._send(Message("ask", incarnation, f"p{other}", number, amount, incarnation))

    def _give_up(self, place: int, other: int) -> None:
        """Stop waiting for an answer."""
        self.loans[place].drop_overdue(self.clock(place), 0.0)

    def _back(self, place: int, other: int) -> None:
        self.left["returns"] -= 1
        number = self.loans[place].give_back(f"p{other}")
        incarnation = self.name(place)
        self._send(Message("back", incarnation, f"p{other}", number, 0, incarnation))

    def _crash(self, place: int) -> None:
        """Crash and start at once, with nothing in memory."""
        self.left["crashes"] -= 1
        self.incarnations[place] += 1
        self.loans[place] = Loans(HOME, TERMS, self.clock(place))

    def _hear(self, message: Message) -> None:
        self._take_from_net(message)
        place = int(message.to[1])
        match message.kind:
            case "ask":
                self._hear_ask(place, message)
            case "lend":
                self._hear_lend(place, message)
            case "back":
                now = self.clock(place)
                self.loans[place].accept_return(now, message.borrower, message.number)

    def _take_from_net(self, message: Message) -> None:
        """Deliver a message; while copies are left, it may come once more."""
        net = [each for each in self.net if each is not message]
        if self.left["copies"] and message.copies == 0:
            net.append(replace(message, copies=1))
        if message.copies:
            self.left["copies"] -= 1
        self.net = tuple(net)

    def _hear_ask(self, place: int, message: Message) -> None:
        now, borrower = self.clock(place), message.borrower
        amount = self.loans[place].grant(now, borrower, message.number, message.amount, 0)
        sender, to = self.name(place), borrower.partition("/")[0]
        self._send(Message("lend", sender, to, message.number, amount, borrower))

    def _hear_lend(self, place: int, message: Message) -> None:
        """Take the loan; what comes too late to be used is given back."""
        if message.borrower != self.name(place):
            return
        now, loans = self.clock(place), self.loans[place]
        lender = message.sender.partition("/")[0]
        granted = loans.accept_grant(now, lender, message.number, message.amount)
        if granted or not message.amount or not self.left["returns"]:
            return
        number = loans.number_to_refuse(lender, message.number)
        if number:
            self.left["returns"] -= 1
            borrower = message.borrower
            self._send(Message("back", borrower, lender, number, 0, borrower))

    def _send(self, message: Message) -> None:
        self.net = tuple(sorted((*self.net, message), key=repr))

    # --- states ---
    def key(self) -> Any:
        return (
            round(self.now, 6),
            tuple(self.incarnations),
            self.net,
            tuple(self.left.values()),
            tuple(
                (
                    loans._number,
                    tuple(sorted(loans._requests.items())),
                    tuple(sorted(loans._borrowed.items(), key=lambda at: at[0])),
                    tuple(
                        sorted((borrower, tuple(lent)) for borrower, lent in loans._lent.items())
                    ),
                    tuple(sorted(loans._last_request.items())),
                    loans._home_available_at,
                )
                for loans in self.loans
            ),
        )

    def copy_for(self, event: tuple[Any, ...]) -> World:
        return self.copy()

    def liveness_violation(self) -> str:
        """ "back" unless each process has exactly its home part, once nothing is sent any more."""
        later = self.copy()
        later.now += 4.0
        back = all(
            loans.authority(later.clock(place)) == HOME for place, loans in enumerate(later.loans)
        )
        return "" if back else "back"


def _copy(loans: Loans) -> Loans:
    made = copy.copy(loans)
    made._requests, made._borrowed = loans._requests.copy(), loans._borrowed.copy()
    made._last_request = loans._last_request.copy()
    made._lent = {borrower: list(lent) for borrower, lent in loans._lent.items()}
    return made
