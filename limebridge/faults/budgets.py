"""A model of shared budgets for `state_space`: requests, grants, returns, copies and crashes.

It runs the pure logic itself (`violetroute/sharing/loans.py`) in two or three processes, whose
clocks run as far apart as the loan terms allow.  After its delivery a message stays in the network
for as many copies as are allowed, and it may never be delivered.  So loss, delay, duplication and
reordering need no events of their own.  Nor does a suspended process: it does nothing for a while,
which is one of the possible orders, and its clock advances.

After every step it checks the rule **the sum**: the amount that all running processes may spend,
each by its own clock at that instant, never exceeds the budget.  From some states it checks the
rule **back**: when nothing more is sent, each process has its whole home part again after a while.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field, fields, replace
from typing import Any, Literal

from violetroute.sharing.loans import Loans, LoanTerms

TERMS = LoanTerms(loan_s=1.0, drift=0.05, floor=0.25)
RATES = (0.95, 1.05, 1.0)  # rates of the clocks, by index of the process
STEP = 0.5  # s by which an event "time" advances the clock
HOME = 100  # home part of each process
AMOUNTS = (40, 75)  # amounts that a process may request


@dataclass(frozen=True)
class Bounds:
    """How often each kind of event may happen in one trace."""

    processes: int = 2
    time_steps: int = 4
    requests: int = 3
    returns: int = 2
    copies: int = 2  # deliveries of a message that was delivered before
    crashes: int = 1


BOUNDED_EVENTS = tuple(bound.name for bound in fields(Bounds) if bound.name != "processes")


# "lend" answers "ask", also if the amount is 0.  Not an enum, because the hash of an enum member is
# computed in Python code, and a check hashes every message of every state.
MessageKind = Literal["ask", "lend", "back"]


@dataclass(frozen=True)
class Message:
    """A message from one incarnation to the current one of a process; `amount` of "back" is 0."""

    kind: MessageKind
    sender: str
    to: str
    number: int
    amount: int
    borrower: str  # the requesting incarnation; no other one accepts the answer
    copies: int = 0  # how often it was delivered so far


@dataclass
class World:
    """A state of the model.

    An event is a name and its arguments.  `index` and `other` below are indexes of processes:

    - ("time",): the clock advances by STEP;
    - ("ask", index, other, amount): `index` requests a loan from `other`;
    - ("give up", index, other): `index` stops waiting for the answers to all its requests;
    - ("back", index, other): `index` returns what it borrowed from `other`;
    - ("hear", message): a message is delivered;
    - ("crash", index): the process crashes and restarts at once.
    """

    bounds: Bounds
    now: float = 0.0
    loans: list[Loans] = field(default_factory=list)  # by index of the process
    incarnations: list[int] = field(default_factory=list)  # number of the current one, by index
    net: tuple[Message, ...] = ()
    remaining: dict[str, int] = field(default_factory=dict)
    violated_rule: str = ""

    def __post_init__(self) -> None:
        if not self.remaining:
            self.remaining = {name: getattr(self.bounds, name) for name in BOUNDED_EVENTS}
            self.loans = [
                Loans(HOME, TERMS, self.clock(index) - TERMS.loan_s)
                for index in range(self.bounds.processes)
            ]
            self.incarnations = [0] * self.bounds.processes

    def clock(self, index: int) -> float:
        """The monotonic clock of a process, in s."""
        return 100.0 + self.now * RATES[index]

    def name(self, index: int) -> str:
        """The name of the current incarnation of a process."""
        return f"p{index}/{self.incarnations[index]}"

    def copy(self) -> World:
        """A copy that can be changed without changing the original."""
        made = World.__new__(World)
        made.__dict__.update(self.__dict__)
        made.remaining, made.incarnations = self.remaining.copy(), self.incarnations[:]
        made.loans = [_copy(loans) for loans in self.loans]
        return made

    # --- possible events ---
    def events(self) -> Iterator[tuple[Any, ...]]:
        """All events that are possible in this state and within the bounds."""
        remaining, indexes = self.remaining, range(self.bounds.processes)
        if remaining["time_steps"]:
            yield ("time",)
        for message in self.net:
            yield ("hear", message)
        for index in indexes:
            if remaining["crashes"]:
                yield ("crash", index)
            for other in indexes:
                if other == index:
                    continue
                if remaining["requests"] and not self.loans[index].awaits_answer(f"p{other}"):
                    for amount in AMOUNTS:
                        yield ("ask", index, other, amount)
                if remaining["requests"] and self.loans[index].awaits_answer(f"p{other}"):
                    yield ("give up", index, other)
                if remaining["returns"] and (
                    f"p{other}" in self.loans[index].lenders()
                    or self.loans[index].awaits_answer(f"p{other}")
                ):
                    yield ("back", index, other)

    def step(self, event: str, *args: Any) -> None:
        """Apply an event to this state and check the rule "the sum"."""
        getattr(self, "_" + event.replace(" ", "_"))(*args)
        spendable = sum(
            loans.authority(self.clock(index)) for index, loans in enumerate(self.loans)
        )
        if spendable > HOME * self.bounds.processes:
            self.violated_rule = "the sum"

    def _time(self) -> None:
        self.remaining["time_steps"] -= 1
        self.now += STEP

    def _ask(self, index: int, other: int, amount: int) -> None:
        self.remaining["requests"] -= 1
        number = self.loans[index].new_request(self.clock(index), f"p{other}")
        incarnation = self.name(index)
        self._send(Message("ask", incarnation, f"p{other}", number, amount, incarnation))

    def _give_up(self, index: int, other: int) -> None:
        """Stop waiting for the answers to all requests of the process."""
        self.loans[index].drop_overdue(self.clock(index), 0.0)

    def _back(self, index: int, other: int) -> None:
        self.remaining["returns"] -= 1
        number = self.loans[index].give_back(f"p{other}")
        incarnation = self.name(index)
        self._send(Message("back", incarnation, f"p{other}", number, 0, incarnation))

    def _crash(self, index: int) -> None:
        """Crash and restart at once, with no state kept."""
        self.remaining["crashes"] -= 1
        self.incarnations[index] += 1
        self.loans[index] = Loans(HOME, TERMS, self.clock(index))

    def _hear(self, message: Message) -> None:
        self._take_from_net(message)
        index = int(message.to[1])
        match message.kind:
            case "ask":
                self._receive_request(index, message)
            case "lend":
                self._receive_grant(index, message)
            case "back":
                now = self.clock(index)
                self.loans[index].accept_return(now, message.borrower, message.number)

    def _take_from_net(self, message: Message) -> None:
        """Take a delivered message from the network.

        While copies remain, it stays there after its first delivery and may be delivered again.
        """
        net = [each for each in self.net if each is not message]
        if self.remaining["copies"] and message.copies == 0:
            net.append(replace(message, copies=1))
        if message.copies:
            self.remaining["copies"] -= 1
        self.net = tuple(net)

    def _receive_request(self, index: int, message: Message) -> None:
        now, borrower = self.clock(index), message.borrower
        amount = self.loans[index].grant(now, borrower, message.number, message.amount, 0)
        sender, to = self.name(index), borrower.partition("/")[0]
        self._send(Message("lend", sender, to, message.number, amount, borrower))

    def _receive_grant(self, index: int, message: Message) -> None:
        """Accept the loan; return one that comes too late to be used."""
        if message.borrower != self.name(index):
            return
        now, loans = self.clock(index), self.loans[index]
        lender = message.sender.partition("/")[0]
        granted = loans.accept_grant(now, lender, message.number, message.amount)
        if granted or not message.amount or not self.remaining["returns"]:
            return
        number = loans.number_to_refuse(lender, message.number)
        if number:
            self.remaining["returns"] -= 1
            borrower = message.borrower
            self._send(Message("back", borrower, lender, number, 0, borrower))

    def _send(self, message: Message) -> None:
        self.net = tuple(sorted((*self.net, message), key=repr))

    # --- states ---
    def key(self) -> Any:
        """A hashable value of everything that later steps depend on."""
        return (
            round(self.now, 6),
            tuple(self.incarnations),
            self.net,
            tuple(self.remaining.values()),
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
        """A copy to which this event can be applied without changing the original."""
        return self.copy()

    def liveness_violation(self) -> str:
        """ "back" if some process does not have exactly its home part 4 s later, else ""."""
        later = self.copy()
        later.now += 4.0
        back = all(
            loans.authority(later.clock(index)) == HOME for index, loans in enumerate(later.loans)
        )
        return "" if back else "back"


def _copy(loans: Loans) -> Loans:
    made = copy.copy(loans)
    made._requests, made._borrowed = loans._requests.copy(), loans._borrowed.copy()
    made._last_request = loans._last_request.copy()
    made._lent = {borrower: list(lent) for borrower, lent in loans._lent.items()}
    return made
