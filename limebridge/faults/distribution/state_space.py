"""A model of the control machines, in which a checker explores every order of events within bounds.

The model runs three real `Machine`s and one real `Subscriber`.  A request or reply stays in the
network until it is delivered or its requester gives up, and a request may be delivered twice.  The
order of deliveries thus covers delay, loss and duplication too.  A machine can be killed before or
after its latest writes are stored, its disk can be lost, and another machine can be given the lease
while the previous leader still assumes that it holds it.  A pause needs no event of its own: orders
in which a machine handles nothing for a while are explored anyway.

These rules are checked after every step:

- **durable**, **order**: the entry at a committed position never changes;
- **in force**: the proxy has applied what a leader reports as in force, or considers itself stale;
- **age**: no earlier leader reports an age relative to an `as_of` later than a later leader's bound
  on it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, replace
from typing import Any

from violetroute.distribution.messages import Publish, Record, Report, Topic

from .checker import Rule
from .nodes import CALLER, NAMES, Durability, Node, NoJitter, Packet, Proxy, packet_key

STEP_S = 0.25  # duration of a "time" event
MAX_SETTLE_DELIVERIES = 2000  # bound on the deliveries until no packet is left, without faults
SETTLE_STEPS = 4  # "time" events before the first fault
ROUNDING_ERROR_S = 1e-6
HEAL_STEPS = 40  # "time" events within which a world without faults has to commit again


@dataclass(frozen=True)
class Bounds:
    """The maximum number of each event in one trace, and the number of control machines."""

    times: int = 2
    publications: int = 1
    leaders: int = 1  # leaders in addition to the initial one
    losses: int = 1  # requests that the requester gives up on, whether delivered or not
    copies: int = 1
    crashes: int = 1
    torn: int = 1  # crashes before the writes of the last event are all stored
    disks: int = 1
    polls: int = 0
    machines: int = 3


SMALL = Bounds()
BOUNDED_EVENTS = tuple(bound.name for bound in fields(Bounds) if bound.name != "machines")
Event = tuple[Any, ...]


@dataclass
class World:
    """One state of the model.

    `remaining` counts down from the bounds.  `packets` is sorted, so that states that differ only
    in the order of sending have equal keys.
    """

    bounds: Bounds
    now: float = 0.0
    nodes: dict[str, Node] = field(default_factory=dict)
    proxy: Proxy = field(default_factory=Proxy)
    packets: tuple[Packet, ...] = ()
    remaining: dict[str, int] = field(default_factory=dict)
    fence: int = 0
    published: int = 0
    committed: dict[int, bytes] = field(default_factory=dict)
    max_as_of: dict[int, float] = field(default_factory=dict)  # by fence, the latest `as_of` so far
    violated_rule: str = ""

    def __post_init__(self) -> None:
        if self.remaining:
            return
        names = NAMES[: self.bounds.machines]
        self.nodes = {name: Node.new(name, names, self.now) for name in names}
        self.remaining = dict.fromkeys(BOUNDED_EVENTS, 1_000)
        self._lead(names[0])
        for _ in range(SETTLE_STEPS):
            self._settle()
            self._time()
        self._settle()
        self.remaining = {name: getattr(self.bounds, name) for name in BOUNDED_EVENTS}

    # --- possible events ---
    def events(self) -> Iterator[Event]:
        """The events that are possible in this state, each as the arguments of `step`."""
        remaining = self.remaining
        if remaining["times"]:
            yield ("time",)
        for packet in self.packets:
            yield ("deliver", packet)
            if remaining["copies"] and not packet.is_reply and not packet.duplicate:
                yield ("copy", packet)
            if remaining["losses"]:
                yield ("give up", packet)
            if remaining["torn"] and packet.destination in self.nodes:
                yield ("torn", packet)
                yield ("half stored", packet)
        for name, node in self.nodes.items():
            if remaining["leaders"] and node.disk.recovering is False:
                yield ("lead", name)
            if remaining["publications"] and node.machine.leading:
                yield ("publish", name)
            if remaining["crashes"]:
                yield ("crash", name)
            if remaining["disks"] and not any(
                other.disk.recovering for other in self.nodes.values()
            ):
                yield ("lose disk", name)
        if remaining["polls"] and not self.proxy.polling:
            for name in self.nodes:
                yield ("poll", name)

    def step(self, event_name: str, *args: Any) -> None:
        """Applies an event, named as its method without the underscore, and checks all rules.

        `violated_rule` is set to the first violated one, "" if none.  An exception is a crash.
        """
        try:
            getattr(self, "_" + event_name.replace(" ", "_"))(*args)
        except Exception as error:  # any exception would crash the process
            self.violated_rule = f"{Rule.CRASH}: {type(error).__name__}: {error}"
            return
        self.packets = tuple(sorted(self.packets, key=repr))
        self.violated_rule = self._check_rules()

    def copy_for(self, event: Event) -> World:
        """Returns a copy for `event`, which shares the machines that the event does not change."""
        successor = World.__new__(World)
        successor.__dict__.update(self.__dict__)
        successor.remaining, successor.committed = self.remaining.copy(), self.committed.copy()
        successor.max_as_of = self.max_as_of.copy()
        touched = self._touched(event)
        successor.nodes = {
            name: node.copy() if touched is None or name in touched else node
            for name, node in self.nodes.items()
        }
        successor.proxy = self.proxy.copy()
        return successor

    @staticmethod
    def _touched(event: Event) -> set[str] | None:
        """The names of the processes that an event changes; None: all."""
        if event[0] == "time":
            return None
        if isinstance(event[1], Packet):
            return {event[1].requester, event[1].to}
        return {event[1]}

    # --- events ---
    def _time(self) -> None:
        self.remaining["times"] -= 1
        self.now += STEP_S
        for name, node in self.nodes.items():
            if node.machine.next_at <= self.now:
                self._handle(name, lambda node=node: node.machine.tick(self.now))  # type: ignore[misc]
        self.proxy.tick(self.now)

    def _lead(self, name: str) -> None:
        self.remaining["leaders"] -= 1
        self.fence += 1
        self._handle(name, lambda: self.nodes[name].machine.lead(self.now, self.fence))

    def _publish(self, name: str) -> None:
        self.remaining["publications"] -= 1
        self.published += 1
        id_ = f"id{self.published}"
        publish = Publish(id_, (Record(Topic.PURGE, id_),))
        self._deliver_request(name, Packet(CALLER, name, self.published, publish))

    def _poll(self, name: str) -> None:
        self.remaining["polls"] -= 1
        self.packets += (self.proxy.send_poll(self.now, name),)

    def _deliver(self, packet: Packet) -> None:
        self._remove(packet)
        self._process(packet)

    def _copy(self, packet: Packet) -> None:
        """Delivers a request and keeps a duplicate of it in the network."""
        self.remaining["copies"] -= 1
        self._remove(packet)
        self.packets += (replace(packet, duplicate=True),)
        self._process(packet)

    def _give_up(self, packet: Packet) -> None:
        """Lets the requester time out.  A reply is dropped; a request may still be delivered."""
        self.remaining["losses"] -= 1
        if packet.is_reply:
            self._remove(packet)
        else:
            self._remove(packet)
            self.packets += (replace(packet, duplicate=True),)
        self._deliver_reply(replace(packet, message=None, is_reply=True))

    def _torn(self, packet: Packet) -> None:
        """Delivers a packet to a process that crashes before it stores or sends anything."""
        self._deliver_and_crash(packet, Durability.NOTHING)

    def _half_stored(self, packet: Packet) -> None:
        """Delivers a packet to a process that crashes after it has stored a part of its writes."""
        self._deliver_and_crash(packet, Durability.PART)

    def _deliver_and_crash(self, packet: Packet, durability: Durability) -> None:
        self.remaining["torn"] -= 1
        self._remove(packet)
        self.nodes[packet.destination].durability = durability
        self._process(packet)
        self._restart(packet.destination)

    def _crash(self, name: str) -> None:
        self.remaining["crashes"] -= 1
        self._restart(name)

    def _lose_disk(self, name: str) -> None:
        self.remaining["disks"] -= 1
        self.nodes[name].lose_disk()
        self._restart(name)

    def _restart(self, name: str) -> None:
        """Replaces the process by a new one; replies to the old one are dropped."""
        node = self.nodes[name]
        node.restart(self.now)
        self.packets = tuple(
            packet for packet in self.packets if not (packet.is_reply and packet.requester == name)
        )
        self._handle(name, lambda: node.machine.tick(self.now))

    # --- deliveries ---
    def _remove(self, packet: Packet) -> None:
        packets = list(self.packets)
        packets.remove(packet)
        self.packets = tuple(packets)

    def _process(self, packet: Packet) -> None:
        if packet.is_reply:
            self._deliver_reply(packet)
        else:
            self._deliver_request(packet.to, packet)

    def _deliver_request(self, name: str, packet: Packet) -> None:
        node = self.nodes[name]
        ticket = node.add_request(packet)
        assert packet.message is not None
        message = packet.message
        self._handle(name, lambda: node.machine.requested(self.now, ticket, message))

    def _deliver_reply(self, packet: Packet) -> None:
        if packet.requester == CALLER:
            return
        if packet.requester == self.proxy.name:
            self.proxy.reply_received(self.now, packet)
            return
        node = self.nodes[packet.requester]
        if node.accept_reply(packet):
            reply: Any = packet.message
            self._handle(
                packet.requester, lambda: node.machine.replied(self.now, packet.number, reply)
            )

    def _handle(self, name: str, event: Callable[[], Any]) -> None:
        sent = self.nodes[name].handle(event, self.now)
        if not self.bounds.polls:  # reports matter only to a proxy that polls
            sent = tuple(packet for packet in sent if not isinstance(packet.message, Report))
        self.packets += sent

    def _settle(self) -> None:
        """Delivers packets in order until none is left."""
        for _ in range(MAX_SETTLE_DELIVERIES):
            if not self.packets:
                return
            self._deliver(self.packets[0])
            self.violated_rule = self.violated_rule or self._check_rules()

    # --- rules ---
    def _check_rules(self) -> str:
        for node in self.nodes.values():
            for position, raw in node.committed():
                if self.committed.setdefault(position, raw) != raw:
                    return Rule.DURABLE.value
        in_force = max(node.in_force(self.now) for node in self.nodes.values())
        if self.proxy.fresh(self.now) and self.proxy.position < in_force:
            return Rule.IN_FORCE.value
        return self._check_ages()

    def _check_ages(self) -> str:
        for node in self.nodes.values():
            fence, as_of = node.fence_and_as_of(self.now)
            if as_of is not None:
                self.max_as_of[fence] = max(as_of, self.max_as_of.get(fence, as_of))
        for node in self.nodes.values():
            fence, as_of = node.fence_and_as_of(self.now)
            if as_of is None:
                continue
            earlier_as_of = max(
                (at for other, at in self.max_as_of.items() if other < fence), default=0.0
            )
            if earlier_as_of > node.latest_leader_contact_at + ROUNDING_ERROR_S:
                return Rule.AGE.value
        return ""

    def liveness_violation(self) -> str:
        """Checks that a new leader commits publications again when no more faults happen.

        Returns the violated rule, or "".  This state is not changed.
        """
        successor = self.copy_for(("time",))
        try:
            return successor._check_liveness()
        except Exception as error:  # a crash, as in `step`
            return f"{Rule.CRASH}: {type(error).__name__}: {error}"

    def _check_liveness(self) -> str:
        successor = self
        successor.remaining = dict.fromkeys(BOUNDED_EVENTS, 1_000)
        names = [name for name, node in successor.nodes.items() if not node.disk.recovering]
        before = max(successor.committed, default=0)
        successor.fence += 1
        successor._lead(names[-1])
        for number in range(HEAL_STEPS):
            successor._settle()
            successor._time()
            if number == HEAL_STEPS // 2:
                successor._publish(names[-1])
        successor._settle()
        if successor.violated_rule:
            return successor.violated_rule
        return "" if max(successor.committed, default=0) > before + 1 else Rule.PROGRESS.value

    # --- states ---
    def key(self) -> Any:
        """Everything that later steps depend on; the ages are relative to now."""
        return (
            round(self.now, 6),
            self.fence,
            self.published,
            tuple(self.remaining.values()),
            tuple(packet_key(packet) for packet in self.packets),
            tuple(node.key(self.now) for node in self.nodes.values()),
            tuple((fence, round(at - self.now, 6)) for fence, at in sorted(self.max_as_of.items())),
            self.proxy.key(self.now),
        )


__all__ = ["SMALL", "Bounds", "NoJitter", "World"]
