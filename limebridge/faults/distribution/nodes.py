"""Control machines and a proxy for the state space exploration, as values that can be copied."""

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
from .disk import DiskState, torn_change

NAMES = ("m0", "m1", "m2")
CALLER = "caller"
PROXY = "p0"
LOG = "log-1"
STALE_AFTER_S = 0.9
DRIFT = 0.05
NEVER_S = 1e6  # s beyond the simulated time of any trace


class NoJitter:
    """Replaces `random.Random` without randomness: each value is the middle of its range."""

    def __init__(self, number: int = 0) -> None:
        self._number = number

    def uniform(self, low: float, high: float) -> float:
        """The middle of the range."""
        return (low + high) / 2.0

    def random(self) -> float:
        """Always 0.5."""
        return 0.5

    def getrandbits(self, bits: int) -> int:
        """The constructor's number, which distinguishes the incarnations of a machine."""
        return self._number


_CLONER = Cloner(NoJitter)


@dataclass(frozen=True)
class Packet:
    """A request in the network or, if `is_reply`, the reply to it.

    `number` is the requester's ticket.  `duplicate`: the request may already have been delivered.
    In a reply, a `message` of None tells the requester that it gave up.
    """

    requester: str
    to: str
    number: int
    message: Message | None
    is_reply: bool = False
    duplicate: bool = False
    incarnation: int = 0  # incarnation of the requester

    @property
    def destination(self) -> str:
        """The name of the process that receives it next."""
        return self.requester if self.is_reply else self.to

    def __str__(self) -> str:
        message_type = type(self.message).__name__ if self.message is not None else "no answer"
        arrow = f"{self.to}->{self.requester}" if self.is_reply else f"{self.requester}->{self.to}"
        return f"{message_type} {arrow}"


def packet_key(packet: Packet) -> tuple[Any, ...]:
    """A packet as a part of a state's key; tickets and incarnations are left out."""
    return (packet.requester, packet.to, packet.message, packet.is_reply, packet.duplicate)


def machine_settings(name: str, names: tuple[str, ...]) -> MachineSettings:
    """Short intervals, so that each "time" event makes some timer of the machine due."""
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


class Durability(Enum):
    """How much of an event's writes reach the disk before the process crashes."""

    ALL = 0  # no crash
    PART = 1  # the first change of the first write; of several appended batches only the first
    NOTHING = 2  # neither writes nor messages


@dataclass
class Node:
    """One control machine: its disk and its current process, number `incarnation`.

    `pending` has the received requests by the ticket that they got here.
    """

    name: str
    names: tuple[str, ...]
    disk: DiskState
    machine: Machine
    incarnation: int = 0
    last_ticket: int = 0
    pending: dict[int, Packet] = field(default_factory=dict)  # unanswered received requests
    open_requests: frozenset[int] = frozenset()  # tickets of own requests without a reply
    durability: Durability = Durability.ALL

    @classmethod
    def new(cls, name: str, names: tuple[str, ...], now: float) -> Node:
        """Returns a machine with an empty disk; `names` are all control machines."""
        disk = DiskState(LOG)
        return cls(name, names, disk, _machine(name, names, disk, 0, now))

    def copy(self) -> Node:
        """Returns an independent copy that shares immutable values."""
        disk = copy.copy(self.disk)
        disk.batches = self.disk.batches[:]
        clone = copy.copy(self)
        clone.disk, clone.machine = disk, _CLONER.clone(self.machine)
        clone.pending = self.pending.copy()
        return clone

    def restart(self, now: float) -> None:
        """Starts a new process from what is on the disk."""
        self.incarnation += 1
        self.pending, self.open_requests = {}, frozenset()
        self.durability = Durability.ALL
        self.machine = _machine(self.name, self.names, self.disk, self.incarnation, now)

    def lose_disk(self) -> None:
        """Replaces the disk by an empty one in recovery, as an operator does for a lost disk."""
        self.disk = DiskState(LOG, recovering=True)

    def add_request(self, packet: Packet) -> int:
        """Records a received request and returns its ticket."""
        self.last_ticket += 1
        self.pending[self.last_ticket] = packet
        return self.last_ticket

    def accept_reply(self, packet: Packet) -> bool:
        """Whether this process still waits for the reply; if so, its request is closed."""
        if packet.incarnation != self.incarnation or packet.number not in self.open_requests:
            return False
        self.open_requests -= {packet.number}
        return True

    def handle(self, event: Callable[[], Iterable[Action]], now: float) -> tuple[Packet, ...]:
        """Runs an event of the machine, applies its writes at once and returns what it sends."""
        sent: list[Packet] = []
        actions = list(event())
        while actions and self.durability is not Durability.NOTHING:
            action = actions.pop(0)
            match action:
                case Persist(_, changes) if self.durability is Durability.PART:
                    self.disk.apply(torn_change(changes[0]))
                    self.durability = Durability.NOTHING
                case Persist(ticket, changes):
                    for change in changes:
                        self.disk.apply(change)
                    actions += self.machine.persisted(now, ticket)
                case Send(ticket, to, message):
                    self.open_requests |= {ticket}
                    sent.append(
                        Packet(self.name, to, ticket, message, incarnation=self.incarnation)
                    )
                case Answer(ticket, message):
                    request = self.pending.pop(ticket, None)
                    if request is not None:
                        sent.append(
                            replace(request, message=message, is_reply=True, duplicate=False)
                        )
        return tuple(sent)

    # --- observations ---
    def committed(self) -> list[tuple[int, bytes]]:
        """Positions and encoded batches that this machine has committed and still keeps."""
        replica = self.machine.replica
        raws = replica.after(replica.base.position, 2**30) or []
        first = replica.base.position + 1
        return [(first + index, bytes(raw)) for index, raw in enumerate(raws)]

    def in_force(self, now: float) -> int:
        """The in-force position that it would report as leader; 0 without a term of its own.

        Between the events of a term, nothing but time changes this value.
        """
        if not self.machine.leading:
            return 0
        return self.machine._status(now, StatusRequest()).in_force

    def fence_and_as_of(self, now: float) -> tuple[int, float | None]:
        """The fence of its term and the `as_of` of the ages that it reports; (0, None): no term."""
        leadership = self.machine._leadership
        return (0, None) if leadership is None else (leadership.fence, leadership.as_of(now))

    @property
    def latest_leader_contact_at(self) -> float:
        """For a leader: its upper bound on the `as_of` of all earlier leaders."""
        return self.machine.latest_leader_contact_at

    def key(self, now: float) -> Any:
        """Everything that later steps depend on."""
        pending = tuple(sorted(packet_key(packet) for packet in self.pending.values()))
        return (self.machine.key(now), self.disk.fence, self.disk.recovering, repr(pending))


def _machine(
    name: str, names: tuple[str, ...], disk: DiskState, incarnation: int, now: float
) -> Machine:
    random: Any = NoJitter(incarnation)
    return Machine(machine_settings(name, names), disk.stored(), random, now)


class Proxy:
    """A proxy's subscriber, which polls only when the exploration chooses that event."""

    name = PROXY

    def __init__(self) -> None:
        controls = tuple(ControlEndpoint(name, "") for name in NAMES)
        settings = SubscriberSettings(PROXY, "", controls, STALE_AFTER_S, DRIFT)
        self.subscriber = Subscriber(settings, "p0.1", NoJitter(), 0.0)  # type: ignore[arg-type]
        self.sent_at = 0.0
        self.number = 0
        self.polling = False

    def copy(self) -> Proxy:
        """Returns an independent proxy in the same state."""
        clone = copy.copy(self)
        clone.subscriber = _CLONER.clone(self.subscriber)
        return clone

    @property
    def position(self) -> int:
        """Position of the last batch that it has applied."""
        return self.subscriber.position

    def fresh(self, now: float) -> bool:
        """Whether it considers itself fresh at this time."""
        return self.subscriber.fresh(now)

    def tick(self, now: float) -> None:
        """Runs the timers that are due at `now`."""
        self.subscriber.tick(now)

    def send_poll(self, now: float, to: str) -> Packet:
        """Returns a poll to machine `to`, whichever machine the subscriber chose itself."""
        step = self.subscriber.next(NEVER_S)
        assert isinstance(step, SendPoll)
        self.sent_at, self.polling = now, True
        self.number += 1
        return Packet(PROXY, to, self.number, step.poll)

    def reply_received(self, now: float, packet: Packet) -> None:
        """Applies the reply to the open poll; replies to earlier polls are ignored."""
        if not self.polling or packet.number != self.number:
            return
        self.polling = False
        reply = packet.message if isinstance(packet.message, PollReply) else None
        self.subscriber.replied(now, self.sent_at, packet.to, reply)

    def key(self, now: float) -> Any:
        """Everything that later steps depend on; times are relative to `now`."""
        as_of = self.subscriber.as_of
        age = None if as_of is None else round(now - as_of, 6)
        return (
            self.position,
            age,
            self.polling,
            round(now - self.sent_at, 6) if self.polling else 0,
        )
