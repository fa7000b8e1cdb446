"""Control machines in memory, one event at a time, and what has to hold after each.

The disk loses what was not reported as persisted, requests and replies are delivered in any order,
late, twice or never, and a sender may give up on a request that still arrives.  There is one clock,
so that the times of different machines can be compared by the checks.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from tests.support.distribution_checks import Broken, Committed, check_all
from violetroute.distribution.actions import (
    Action,
    Answer,
    AppendBatches,
    Change,
    Fenced,
    MachineSettings,
    Notice,
    Persist,
    ReleaseLease,
    Reply,
    Response,
    Send,
    SetBase,
    SetPromise,
    SetRecovering,
    Stored,
    TruncateAfter,
)
from violetroute.distribution.machine import Machine
from violetroute.distribution.messages import (
    Message,
    Publish,
    Record,
    Topic,
)

LOG = "log-1"
TIME_STEP_S = 0.02


def purge(key: str) -> Record:
    return Record(Topic.PURGE, key)


def stored_after(stored: Stored, change: Change) -> Stored:
    """What a disk holds after one more change."""
    match change:
        case SetPromise(fence, leader):
            return replace(stored, fence=fence, leader=leader)
        case AppendBatches(batches):
            return replace(stored, batches=stored.batches + batches)
        case TruncateAfter(position):
            kept = tuple(each for each in stored.batches if each.position <= position)
            return replace(stored, batches=kept)
        case SetBase(snapshot):
            kept = tuple(each for each in stored.batches if each.position > snapshot.base.position)
            return replace(stored, snapshot=snapshot, batches=kept)
        case SetRecovering(recovering):
            return replace(stored, recovering=recovering)


@dataclass
class Node:
    """One machine over its processes."""

    name: str
    stored: Stored
    machine: Machine | None = None
    process: int = 0
    writes: list[Persist] = field(default_factory=list)  # on their way to the disk
    paused: bool = False


@dataclass(frozen=True)
class Envelope:
    """A request or (`reply`) its answer, on its way to `to`; `process`: of the asker."""

    asker: str
    process: int
    ticket: int  # of the asker's Send
    to: str
    message: Message | None
    reply: bool = False


class Cluster:
    """Some machines and everything that is on its way between them."""

    def __init__(self, size: int, seed: int = 0, **settings: float) -> None:
        self.now = 1000.0
        self.names = tuple(f"m{number}" for number in range(size))
        self.settings = settings
        self.random = random.Random(seed)
        self.nodes = {name: Node(name, Stored(LOG)) for name in self.names}
        self.flying: list[Envelope] = []
        self.waiting: dict[tuple[str, int, int], Send] = {}  # requests without a reply
        self.incoming: dict[int, Envelope] = {}  # by the ticket that the machine was given
        self.tickets = 0
        self.fence = 0
        self.published: dict[int, Publish] = {}
        self.answers: dict[int, Response] = {}
        self.notices: list[Notice] = []
        self.cut: frozenset[str] = frozenset()  # nothing arrives to or from them
        self.slow_disks: frozenset[str] = frozenset()  # `settle` finishes no write there
        self.handed_on: list[str] = []
        self.fenced: list[tuple[str, int]] = []
        self.checked: object = None  # the state that was checked last
        self.committed: dict[int, Committed] = {}
        self.told: dict[int, float] = {}  # by fence, the youngest `as_of` of its leader so far
        for name in self.names:
            self.start(name)

    # --- processes and disks ---
    def start(self, name: str) -> None:
        node = self.nodes[name]
        if node.machine is not None:
            return
        node.process += 1
        settings = MachineSettings(name, self.names, **self.settings)  # type: ignore[arg-type]
        seeded = random.Random(f"{name}/{node.process}")
        node.machine = Machine(settings, node.stored, seeded, self.now)
        self._act(node, node.machine.tick(self.now))

    def crash(self, name: str) -> None:
        """The process ends; of the first unfinished write some part may be on the disk."""
        node = self.nodes[name]
        if node.machine is None:
            return
        if node.writes:
            changes = node.writes[0].changes
            for change in changes[: self.random.randint(0, len(changes))]:
                node.stored = stored_after(node.stored, change)
        node.machine, node.paused = None, False
        node.writes.clear()
        self.incoming = {key: each for key, each in self.incoming.items() if each.to != name}
        self.waiting = {key: send for key, send in self.waiting.items() if key[0] != name}

    def lose_disk(self, name: str) -> None:
        """The machine is replaced; its new process does not know what the old one promised."""
        self.crash(name)
        self.nodes[name].stored = Stored(LOG, recovering=True)

    def unreliable(self) -> int:
        """Machines whose disk was lost and that have not recovered durably."""
        return sum(node.stored.recovering for node in self.nodes.values())

    def sync(self, name: str) -> bool:
        """The first unfinished write is done; whether there was one."""
        node = self.nodes[name]
        if not node.writes or node.paused:
            return False
        write = node.writes.pop(0)
        for change in write.changes:
            node.stored = stored_after(node.stored, change)
        self._act(node, self._machine(node).persisted(self.now, write.ticket))
        return True

    # --- events ---
    def _machine(self, node: Node) -> Machine:
        assert node.machine is not None
        return node.machine

    def running(self, name: str) -> Machine | None:
        node = self.nodes[name]
        return None if node.paused else node.machine

    def lead(self, name: str, fence: int | None = None) -> None:
        """The lease with the next fence, or with this one, which another may have had before."""
        given = self.fence + 1 if fence is None else fence
        self.fence = max(self.fence, given)
        machine = self.running(name)
        if machine is not None:
            self._act(self.nodes[name], machine.lead(self.now, given))

    def step_down(self, name: str) -> None:
        machine = self.running(name)
        if machine is not None:
            self._act(self.nodes[name], machine.step_down(self.now))

    def request(self, name: str, message: Message) -> int:
        """Ask a machine directly; the answer is found in `answers` under the ticket."""
        self.tickets += 1
        if isinstance(message, Publish):
            self.published[self.tickets] = message
        machine = self.running(name)
        if machine is not None:
            self._act(self.nodes[name], machine.requested(self.now, self.tickets, message))
        return self.tickets

    def publish(self, name: str, key: str) -> int:
        return self.request(name, Publish(key, (purge(key),)))

    def pass_time(self, seconds: float) -> None:
        """Time passes; each machine that runs hears of it."""
        self.now += seconds
        for node in self.nodes.values():
            machine = self.running(node.name)
            if machine is not None and machine.next_at <= self.now:
                self._act(node, machine.tick(self.now))
                if machine.next_at <= self.now:
                    raise Broken(f"{node.name} wants to be ticked without end")

    def deliver(self, place: int) -> None:
        """The message at this place arrives, if its receiver runs; else it is lost or waits."""
        envelope = self.flying[place]
        receiver = self.nodes[envelope.asker if envelope.reply else envelope.to]
        if receiver.paused:
            return
        del self.flying[place]
        machine = receiver.machine
        if envelope.reply:
            self._deliver_reply(receiver, envelope)
        elif machine is not None:
            self.tickets += 1
            self.incoming[self.tickets] = envelope
            assert envelope.message is not None
            ticket = self.tickets
            self._act(receiver, machine.requested(self.now, ticket, envelope.message))

    def _deliver_reply(self, asker: Node, envelope: Envelope) -> None:
        key = (envelope.asker, envelope.process, envelope.ticket)
        if self.waiting.pop(key, None) is None:
            return  # the asker has given up, ended, or was answered by the reply to a copy
        reply: Reply | None = envelope.message  # type: ignore[assignment]
        self._act(asker, self._machine(asker).replied(self.now, envelope.ticket, reply))

    def give_up(self, place: int) -> None:
        """The sender of this outstanding request gets no reply; the request may still arrive."""
        key = list(self.waiting)[place]
        self.flying.append(Envelope(key[0], key[1], key[2], key[0], None, reply=True))
        self.deliver(len(self.flying) - 1)

    def _act(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Persist():
                    node.writes.append(action)
                case Send(ticket, to, message, _):
                    self.waiting[node.name, node.process, ticket] = action
                    self.flying.append(Envelope(node.name, node.process, ticket, to, message))
                case Answer(ticket, answer):
                    self._answered(ticket, answer)
                case Fenced(fence):
                    self.fenced.append((node.name, fence))
                case ReleaseLease():
                    self.handed_on.append(node.name)
                case Notice():
                    self.notices.append(action)
        self.check()

    def _answered(self, ticket: int, message: Response) -> None:
        envelope = self.incoming.pop(ticket, None)
        if envelope is not None:
            self.flying.append(replace(envelope, message=message, reply=True))
            return
        assert ticket not in self.answers, f"{ticket} is answered twice"
        self.answers[ticket] = message

    # --- running on ---
    def run(self, seconds: float) -> None:
        """Everything arrives in order and at once, but for the cut; who is down refuses."""
        end = self.now + seconds
        while self.now < end:
            self.settle()
            self.pass_time(TIME_STEP_S)
        self.settle()

    def settle(self) -> None:
        """Deliver and write until nothing is left."""
        for _ in range(1000):
            for name in self.names:
                while name not in self.slow_disks and self.sync(name):
                    pass
            places = self.deliverable()
            if not places:
                return
            self._refuse_if_down(places[0])
            self.deliver(places[0])
        raise Broken("the machines never come to rest")

    def settle_until(self, reached: Callable[[], bool]) -> None:
        """Deliver and write one by one until this is so, else let time pass."""
        for _ in range(1000):
            if reached():
                return
            self._one_step()
        raise AssertionError("never reached")

    def _one_step(self) -> None:
        for name in self.names:
            if name not in self.slow_disks and self.sync(name):
                return
        places = self.deliverable()
        if places:
            self._refuse_if_down(places[0])
            self.deliver(places[0])
        else:
            self.pass_time(TIME_STEP_S)

    def machine(self, name: str) -> Machine:
        """The machine of a process that runs."""
        return self._machine(self.nodes[name])

    def deliverable(self) -> list[int]:
        """Places of the messages that may arrive now."""
        return [
            place
            for place, each in enumerate(self.flying)
            if not {each.asker, each.to} & self.cut
            and not self.nodes[each.asker if each.reply else each.to].paused
        ]

    def _refuse_if_down(self, place: int) -> None:
        envelope = self.flying[place]
        if not envelope.reply and self.nodes[envelope.to].machine is None:
            self.flying[place] = replace(envelope, message=None, reply=True)

    def hold_back(self, asker: str, kind: type[Message]) -> Envelope:
        """Run until `asker`'s next request of this kind, or the reply, is on its way; take it."""

        def found() -> list[Envelope]:
            mine = [each for each in self.flying if each.asker == asker]
            return [each for each in mine if isinstance(each.message, kind)]

        self.settle_until(lambda: bool(found()))
        envelope = found()[0]
        self.flying.remove(envelope)
        return envelope

    def arrive(self, envelope: Envelope) -> None:
        """A message that was held back arrives."""
        self.flying.append(envelope)
        self.deliver(len(self.flying) - 1)

    def give_up_all(self, name: str) -> None:
        """This machine gets no reply to any of its requests so far; they may still arrive."""
        for key in [each for each in self.waiting if each[0] == name]:
            self.give_up(list(self.waiting).index(key))

    def check(self) -> None:
        """Everything that has to hold after each event."""
        check_all(self)

    def machines(self) -> list[Machine]:
        """Of all processes that have not ended, paused ones too."""
        return [node.machine for node in self.nodes.values() if node.machine is not None]
