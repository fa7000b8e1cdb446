"""Control machines and a proxy as the check of the state space plays them: values to copy."""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from violetroute.distribution.actions import Action, Answer, MachineSettings, Persist, Send
from violetroute.distribution.control_choice import ControlEndpoint, SubscriberSettings
from violetroute.distribution.machine import Machine
from violetroute.distribution.messages import Message, PollReply, StatusRequest
from violetroute.distribution.subscriber import (
    SendPoll,
    Subscriber,
)

from .clone import Cloner
from .disk import DiskState, part_of

NAMES = ("m0", "m1", "m2")
CALLER = "caller"
PROXY = "p0"
LOG = "log-1"
STALE_AFTER_S = 0.9
DRIFT = 0.05
NEVER_S = 1e6  # a time that no story reaches


class Even:
    """Random without chance: the middle of each range."""

    def __init__(self, number: int = 0) -> None:
        self._number = number

    def uniform(self, low: float, high: float) -> float:
        """The middle."""
        return (low + high) / 2.0

    def random(self) -> float:
        """One half."""
        return 0.5

    def getrandbits(self, count: int) -> int:
        """The number that was given: of the process's incarnation."""
        return self._number


_CLONER = Cloner(Even)


@dataclass(frozen=True)
class Packet:
    """A request (`number` is the asker's ticket) or, `answers`, its answer."""

    asker: str
    to: str
    number: int
    message: Message | None
    answers: bool = False
    copied: bool = False
    life: int = 0  # of the asker

    @property
    def place(self) -> str:
        """Where it goes."""
        return self.asker if self.answers else self.to

    def __str__(self) -> str:
        kind = type(self.message).__name__ if self.message is not None else "no answer"
        arrow = f"{self.to}->{self.asker}" if self.answers else f"{self.asker}->{self.to}"
        return f"{kind} {arrow}"


def pack(packet: Packet) -> tuple[Any, ...]:
    """A packet as a part of a state's key."""
    return (packet.asker, packet.to, packet.message, packet.answers, packet.copied)


def settings_of(name: str, names: tuple[str, ...]) -> MachineSettings:
    """Small times, so that each event "time" lets something be due."""
    return MachineSettings(
        name,
        names,
        batch_s=0.0,
        hold_s=0.5,
        retry_s=0.2,
        timeout_s=NEVER_S,
        release_lease_after_s=NEVER_S,
        stale_after_s=STALE_AFTER_S,
        drift=DRIFT,
        poll_hold_s=0.2,
        spread_s=0.0,
        report_s=0.1,
        heartbeat_s=0.4,
    )


class Storing(Enum):
    """What a process still stores of the event that it handles."""

    ALL = 0
    PART = 1  # the first part of what it stores first, then it ends
    NOTHING = 2  # it ends before


@dataclass
class Node:
    """One machine: its process and its disk."""

    name: str
    names: tuple[str, ...]
    disk: DiskState
    machine: Machine
    life: int = 0
    last_ticket: int = 0
    waiting: dict[int, Packet] = field(default_factory=dict)  # requests, by the ticket given here
    asked: frozenset[int] = frozenset()  # own requests that are not answered
    storing: Storing = Storing.ALL

    @classmethod
    def new(cls, name: str, names: tuple[str, ...], now: float) -> Node:
        """With an empty disk."""
        disk = DiskState(LOG)
        return cls(name, names, disk, _machine(name, names, disk, 0, now))

    def copy(self) -> Node:
        """Shares what never changes."""
        disk = copy.copy(self.disk)
        disk.batches = self.disk.batches[:]
        made = copy.copy(self)
        made.disk, made.machine = disk, _CLONER.clone(self.machine)
        made.waiting = self.waiting.copy()
        return made

    def restart(self, now: float) -> None:
        """A new process with what is on the disk."""
        self.life += 1
        self.waiting, self.asked = {}, frozenset()
        self.storing = Storing.ALL
        self.machine = _machine(self.name, self.names, self.disk, self.life, now)

    def lose_disk(self) -> None:
        """The disk is lost, and replaced by the operator."""
        self.disk = DiskState(LOG, recovering=True)

    def took(self, packet: Packet) -> int:
        """The ticket of a request."""
        self.last_ticket += 1
        self.waiting[self.last_ticket] = packet
        return self.last_ticket

    def waits_for(self, packet: Packet) -> bool:
        """Whether an answer is one that this process still waits for."""
        if packet.life != self.life or packet.number not in self.asked:
            return False
        self.asked -= {packet.number}
        return True

    def act(self, event: Callable[[], Iterable[Action]], now: float) -> tuple[Packet, ...]:
        """Let the machine handle an event; what it sends.  Everything is stored at once."""
        sent: list[Packet] = []
        actions = list(event())
        while actions and self.storing is not Storing.NOTHING:
            action = actions.pop(0)
            match action:
                case Persist(_, changes) if self.storing is Storing.PART:
                    self.disk.apply(part_of(changes[0]))
                    self.storing = Storing.NOTHING
                case Persist(ticket, changes):
                    for change in changes:
                        self.disk.apply(change)
                    actions += self.machine.persisted(now, ticket)
                case Send(ticket, to, message):
                    self.asked |= {ticket}
                    sent.append(Packet(self.name, to, ticket, message, life=self.life))
                case Answer(ticket, message):
                    request = self.waiting.pop(ticket, None)
                    if request is not None:
                        sent.append(replace(request, message=message, answers=True, copied=False))
        return tuple(sent)

    # --- what is seen ---
    def committed(self) -> list[tuple[int, bytes]]:
        """What this machine has as committed and has not dropped."""
        replica = self.machine.replica
        raws = replica.after(replica.base.position, 2**30) or []
        first = replica.base.position + 1
        return [(first + place, bytes(raw)) for place, raw in enumerate(raws)]

    def in_force(self, now: float) -> int:
        """What it would report; only of its own term, in which nothing but the time changes it."""
        if not self.machine.leading:
            return 0
        return self.machine._status(now, StatusRequest()).in_force

    def leads(self, now: float) -> tuple[int, float | None]:
        """The fence of its term, and the `as_of` from which the ages that it tells count."""
        leadership = self.machine._leadership
        return (0, None) if leadership is None else (leadership.fence, leadership.as_of(now))

    @property
    def contact_at(self) -> float:
        """Where it leads: no age of an earlier leader counts from a later time, as it takes it."""
        return self.machine.latest_leader_contact_at

    def key(self, now: float) -> Any:
        """All that what follows depends on."""
        waiting = tuple(sorted(pack(packet) for packet in self.waiting.values()))
        return (self.machine.key(now), self.disk.fence, self.disk.recovering, repr(waiting))


def _machine(name: str, names: tuple[str, ...], disk: DiskState, life: int, now: float) -> Machine:
    random: Any = Even(life)
    return Machine(settings_of(name, names), disk.stored(), random, now)


class Proxy:
    """A subscriber that polls when it is told to."""

    name = PROXY

    def __init__(self) -> None:
        controls = tuple(ControlEndpoint(name, "") for name in NAMES)
        settings = SubscriberSettings(PROXY, "", controls, STALE_AFTER_S, DRIFT)
        self.subscriber = Subscriber(settings, "p0.1", Even(), 0.0)  # type: ignore[arg-type]
        self.sent_at = 0.0
        self.number = 0
        self.waits = False

    def copy(self) -> Proxy:
        """An independent proxy in the same state."""
        made = copy.copy(self)
        made.subscriber = _CLONER.clone(self.subscriber)
        return made

    @property
    def position(self) -> int:
        """What it has applied."""
        return self.subscriber.position

    def fresh(self, now: float) -> bool:
        """Whether it believes itself fresh."""
        return self.subscriber.fresh(now)

    def tick(self, now: float) -> None:
        """Time has passed."""
        self.subscriber.tick(now)

    def ask(self, now: float, to: str) -> Packet:
        """A poll to this machine, whichever it would choose itself."""
        step = self.subscriber.next(NEVER_S)
        assert isinstance(step, SendPoll)
        self.sent_at, self.waits = now, True
        self.number += 1
        return Packet(PROXY, to, self.number, step.poll)

    def answered(self, now: float, packet: Packet) -> None:
        """The answer to its poll, or none."""
        if not self.waits or packet.number != self.number:
            return
        self.waits = False
        reply = packet.message if isinstance(packet.message, PollReply) else None
        self.subscriber.replied(now, self.sent_at, packet.to, reply)

    def key(self, now: float) -> Any:
        """All that what follows depends on."""
        as_of = self.subscriber.as_of
        age = None if as_of is None else round(now - as_of, 6)
        return (self.position, age, self.waits, round(now - self.sent_at, 6) if self.waits else 0)
