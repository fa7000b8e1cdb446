"""A cluster of control machines in memory, run event by event and checked after each event.

A disk may lose whatever was not reported as persisted.  Requests and replies are delivered in any
order, late, twice or never, and a request may still arrive after its sender has given up on it.
There is one clock, so that the checks can compare times of different machines.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from tests.support.distribution_checks import Committed, RuleViolated, check_all
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
    """A record that purges a key."""
    return Record(Topic.PURGE, key)


def apply_change(stored: Stored, change: Change) -> Stored:
    """The content of a disk after one more change."""
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
    """A control machine: its disk and, while it runs, its process."""

    name: str
    stored: Stored
    machine: Machine | None = None
    process: int = 0  # number of the current or last process
    writes: list[Persist] = field(default_factory=list)  # not finished yet, in order
    paused: bool = False


@dataclass(frozen=True)
class Envelope:
    """A message in flight: a request to `to`, or (`reply`) the answer to it.

    `process`: number of the process of `sender`, which sent the request.
    """

    sender: str
    process: int
    ticket: int  # the ticket of the Send action
    to: str
    message: Message | None
    reply: bool = False


class Cluster:
    """Control machines and the messages in flight between them."""

    def __init__(self, size: int, seed: int = 0, **settings: float) -> None:
        self.now = 1000.0
        self.names = tuple(f"m{number}" for number in range(size))
        self.settings = settings
        self.random = random.Random(seed)
        self.nodes = {name: Node(name, Stored(LOG)) for name in self.names}
        self.in_flight: list[Envelope] = []
        self.unanswered: dict[tuple[str, int, int], Send] = {}  # requests without a reply
        self.incoming: dict[int, Envelope] = {}  # by the ticket at the receiver
        self.tickets = 0
        self.fence = 0
        self.published: dict[int, Publish] = {}
        self.answers: dict[int, Response] = {}
        self.notices: list[Notice] = []
        self.cut: frozenset[str] = frozenset()  # machines whose messages are not delivered
        self.slow_disks: frozenset[str] = frozenset()  # `settle` finishes no write there
        self.released: list[str] = []
        self.fenced: list[tuple[str, int]] = []
        self.checked: object = None  # the state at the last check
        self.committed: dict[int, Committed] = {}
        self.latest_as_of: dict[int, float] = {}  # by fence, the latest `as_of` of its leader
        for name in self.names:
            self.start(name)

    # --- processes and disks ---
    def start(self, name: str) -> None:
        """Start a process of a machine, from its disk; no-op if one is running."""
        node = self.nodes[name]
        if node.machine is not None:
            return
        node.process += 1
        settings = MachineSettings(name, self.names, **self.settings)  # type: ignore[arg-type]
        rng = random.Random(f"{name}/{node.process}")
        node.machine = Machine(settings, node.stored, rng, self.now)
        self._perform(node, node.machine.tick(self.now))

    def crash(self, name: str) -> None:
        """End the process; a random part of its first unfinished write reaches the disk."""
        node = self.nodes[name]
        if node.machine is None:
            return
        if node.writes:
            changes = node.writes[0].changes
            for change in changes[: self.random.randint(0, len(changes))]:
                node.stored = apply_change(node.stored, change)
        node.machine, node.paused = None, False
        node.writes.clear()
        self.incoming = {key: each for key, each in self.incoming.items() if each.to != name}
        self.unanswered = {key: send for key, send in self.unanswered.items() if key[0] != name}

    def lose_disk(self, name: str) -> None:
        """Replace a machine by one with an empty disk, which does not know earlier promises."""
        self.crash(name)
        self.nodes[name].stored = Stored(LOG, recovering=True)

    def recovering_count(self) -> int:
        """The number of machines that lost their disk and have not recovered durably."""
        return sum(node.stored.recovering for node in self.nodes.values())

    def sync(self, name: str) -> bool:
        """Finish the first unfinished write of a machine; returns whether there was one."""
        node = self.nodes[name]
        if not node.writes or node.paused:
            return False
        write = node.writes.pop(0)
        for change in write.changes:
            node.stored = apply_change(node.stored, change)
        self._perform(node, self._machine(node).persisted(self.now, write.ticket))
        return True

    # --- events ---
    def _machine(self, node: Node) -> Machine:
        assert node.machine is not None
        return node.machine

    def running_machine(self, name: str) -> Machine | None:
        """The machine if its process runs and is not paused, else None."""
        node = self.nodes[name]
        return None if node.paused else node.machine

    def lead(self, name: str, fence: int | None = None) -> None:
        """Give a machine the lease with the next fence, or with `fence`, which may be old."""
        new_fence = self.fence + 1 if fence is None else fence
        self.fence = max(self.fence, new_fence)
        machine = self.running_machine(name)
        if machine is not None:
            self._perform(self.nodes[name], machine.lead(self.now, new_fence))

    def step_down(self, name: str) -> None:
        """Let a machine lose the lease."""
        machine = self.running_machine(name)
        if machine is not None:
            self._perform(self.nodes[name], machine.step_down(self.now))

    def request(self, name: str, message: Message) -> int:
        """Send a request to a machine at once; returns the ticket of the answer in `answers`."""
        self.tickets += 1
        if isinstance(message, Publish):
            self.published[self.tickets] = message
        machine = self.running_machine(name)
        if machine is not None:
            self._perform(self.nodes[name], machine.requested(self.now, self.tickets, message))
        return self.tickets

    def publish(self, name: str, key: str) -> int:
        """Publish a purge of a key at a machine; returns the ticket, as `request` does."""
        return self.request(name, Publish(key, (purge(key),)))

    def pass_time(self, seconds: float) -> None:
        """Advance the clock, and tick the running machines that are due.  Raises RuleViolated."""
        self.now += seconds
        for node in self.nodes.values():
            machine = self.running_machine(node.name)
            if machine is not None and machine.next_at <= self.now:
                self._perform(node, machine.tick(self.now))
                if machine.next_at <= self.now:
                    raise RuleViolated(f"{node.name} is due again at once after a tick")

    def deliver(self, index: int) -> None:
        """Deliver a message in flight, by index.

        It stays in flight if the receiver is paused, and is lost if it is down.
        """
        envelope = self.in_flight[index]
        receiver = self.nodes[envelope.sender if envelope.reply else envelope.to]
        if receiver.paused:
            return
        del self.in_flight[index]
        machine = receiver.machine
        if envelope.reply:
            self._deliver_reply(receiver, envelope)
        elif machine is not None:
            self.tickets += 1
            self.incoming[self.tickets] = envelope
            assert envelope.message is not None
            ticket = self.tickets
            self._perform(receiver, machine.requested(self.now, ticket, envelope.message))

    def _deliver_reply(self, sender: Node, envelope: Envelope) -> None:
        key = (envelope.sender, envelope.process, envelope.ticket)
        if self.unanswered.pop(key, None) is None:
            return  # the sender has given up, has ended, or got the reply to a copy
        reply: Reply | None = envelope.message  # type: ignore[assignment]
        self._perform(sender, self._machine(sender).replied(self.now, envelope.ticket, reply))

    def give_up(self, index: int) -> None:
        """Let a sender give up on an unanswered request, by index; the request may still arrive."""
        key = list(self.unanswered)[index]
        self.in_flight.append(Envelope(key[0], key[1], key[2], key[0], None, reply=True))
        self.deliver(len(self.in_flight) - 1)

    def _perform(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Persist():
                    node.writes.append(action)
                case Send(ticket, to, message, _):
                    self.unanswered[node.name, node.process, ticket] = action
                    self.in_flight.append(Envelope(node.name, node.process, ticket, to, message))
                case Answer(ticket, answer):
                    self._record_answer(ticket, answer)
                case Fenced(fence):
                    self.fenced.append((node.name, fence))
                case ReleaseLease():
                    self.released.append(node.name)
                case Notice():
                    self.notices.append(action)
        self.check()

    def _record_answer(self, ticket: int, message: Response) -> None:
        envelope = self.incoming.pop(ticket, None)
        if envelope is not None:
            self.in_flight.append(replace(envelope, message=message, reply=True))
            return
        assert ticket not in self.answers, f"{ticket} is answered twice"
        self.answers[ticket] = message

    # --- orderly progress ---
    def run(self, seconds: float) -> None:
        """Deliver all messages in order for `seconds`; machines that are down refuse requests.

        Messages of cut machines stay in flight.
        """
        end = self.now + seconds
        while self.now < end:
            self.settle()
            self.pass_time(TIME_STEP_S)
        self.settle()

    def settle(self) -> None:
        """Deliver messages and finish writes until none are left.  Raises RuleViolated."""
        for _ in range(1000):
            for name in self.names:
                while name not in self.slow_disks and self.sync(name):
                    pass
            indices = self.deliverable()
            if not indices:
                return
            self._refuse_if_down(indices[0])
            self.deliver(indices[0])
        raise RuleViolated("the machines never stop sending and writing")

    def settle_until(self, condition: Callable[[], bool]) -> None:
        """Deliver messages and finish writes one by one, else advance the clock, until a condition.

        Raises AssertionError if the condition is not true after 1000 steps.
        """
        for _ in range(1000):
            if condition():
                return
            self._one_step()
        raise AssertionError("the condition never became true")

    def _one_step(self) -> None:
        for name in self.names:
            if name not in self.slow_disks and self.sync(name):
                return
        indices = self.deliverable()
        if indices:
            self._refuse_if_down(indices[0])
            self.deliver(indices[0])
        else:
            self.pass_time(TIME_STEP_S)

    def machine(self, name: str) -> Machine:
        """The machine of a node, whose process must not have ended."""
        return self._machine(self.nodes[name])

    def deliverable(self) -> list[int]:
        """Indices of the messages that may be delivered now."""
        return [
            index
            for index, each in enumerate(self.in_flight)
            if not {each.sender, each.to} & self.cut
            and not self.nodes[each.sender if each.reply else each.to].paused
        ]

    def _refuse_if_down(self, index: int) -> None:
        envelope = self.in_flight[index]
        if not envelope.reply and self.nodes[envelope.to].machine is None:
            self.in_flight[index] = replace(envelope, message=None, reply=True)

    def intercept(self, sender: str, kind: type[Message]) -> Envelope:
        """Run until a message of this kind, from or to `sender`, is in flight, and remove it."""

        def matching() -> list[Envelope]:
            own = [each for each in self.in_flight if each.sender == sender]
            return [each for each in own if isinstance(each.message, kind)]

        self.settle_until(lambda: bool(matching()))
        envelope = matching()[0]
        self.in_flight.remove(envelope)
        return envelope

    def deliver_intercepted(self, envelope: Envelope) -> None:
        """Deliver a message that was intercepted."""
        self.in_flight.append(envelope)
        self.deliver(len(self.in_flight) - 1)

    def give_up_requests(self, name: str) -> None:
        """Let a machine give up on all its unanswered requests; they may still arrive."""
        for key in [each for each in self.unanswered if each[0] == name]:
            self.give_up(list(self.unanswered).index(key))

    def check(self) -> None:
        """Check all rules, as after each event.  Raises RuleViolated."""
        check_all(self)

    def machines(self) -> list[Machine]:
        """The machines whose processes have not ended, including paused ones."""
        return [node.machine for node in self.nodes.values() if node.machine is not None]
