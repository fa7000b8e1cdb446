"""Control machines checked whole: every order of what may happen, within bounds.

Three real `Machine`s and one real `Subscriber`.  A request or an answer stays in the network until
it is delivered or its sender gives up, and a request may be delivered twice: so delay, loss, copies
and order are one thing.  A machine can be killed, before or after what it has just decided is
stored; its disk can be lost; the lease is given to another machine while the first still believes
in its own.  A machine that is paused does nothing for a while, which any order allows.

Held against it after every step: **durable** and **order**: one content stands at each committed
position, for ever; **in force**: the proxy has applied what a leader reports as in force, or
believes itself stale; **age**: no earlier leader tells an age that counts from after the time that
a later one takes for the last such time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, replace
from typing import Any

from violetroute.distribution.messages import Publish, Record, Report, Topic

from .judge import Rule
from .nodes import CALLER, NAMES, Even, Node, Packet, Proxy, Storing, pack

STEP_S = 0.25  # of an event "time"
SETTLE_AT_MOST = 2000  # deliveries until a world without faults is quiet
SETTLE_STEPS = 4  # events "time" before the first fault
ROUNDING_S = 1e-6
HEAL_STEPS = 40  # events "time" after which all has to have gone on


@dataclass(frozen=True)
class Bounds:
    """How often each thing happens in one story."""

    times: int = 2
    publications: int = 1
    leaders: int = 1  # beside the first
    losses: int = 1  # requests that are given up, delivered or not
    copies: int = 1
    crashes: int = 1
    torn: int = 1  # crashes before what was just decided is stored
    disks: int = 1
    polls: int = 0
    machines: int = 3


SMALL = Bounds()
KINDS = tuple(bound.name for bound in fields(Bounds) if bound.name != "machines")
Event = tuple[Any, ...]


@dataclass
class World:
    """One state.  `packets` is sorted, so that equal states are equal."""

    bounds: Bounds
    now: float = 0.0
    nodes: dict[str, Node] = field(default_factory=dict)
    proxy: Proxy = field(default_factory=Proxy)
    packets: tuple[Packet, ...] = ()
    left: dict[str, int] = field(default_factory=dict)
    fence: int = 0
    published: int = 0
    committed: dict[int, bytes] = field(default_factory=dict)
    told: dict[int, float] = field(default_factory=dict)  # by fence, the youngest `as_of` so far
    violated_rule: str = ""

    def __post_init__(self) -> None:
        if self.left:
            return
        names = NAMES[: self.bounds.machines]
        self.nodes = {name: Node.new(name, names, self.now) for name in names}
        self.left = dict.fromkeys(KINDS, 1_000)
        self._lead(names[0])
        for _ in range(SETTLE_STEPS):
            self._settle()
            self._time()
        self._settle()
        self.left = {name: getattr(self.bounds, name) for name in KINDS}

    # --- what may happen ---
    def events(self) -> Iterator[Event]:
        """Everything that may happen next."""
        left = self.left
        if left["times"]:
            yield ("time",)
        for packet in self.packets:
            yield ("deliver", packet)
            if left["copies"] and not packet.answers and not packet.copied:
                yield ("copy", packet)
            if left["losses"]:
                yield ("give up", packet)
            if left["torn"] and packet.place in self.nodes:
                yield ("torn", packet)
                yield ("half stored", packet)
        for name, node in self.nodes.items():
            if left["leaders"] and node.disk.recovering is False:
                yield ("lead", name)
            if left["publications"] and node.machine.leading:
                yield ("publish", name)
            if left["crashes"]:
                yield ("crash", name)
            if left["disks"] and not any(each.disk.recovering for each in self.nodes.values()):
                yield ("lose disk", name)
        if left["polls"] and not self.proxy.waits:
            for name in self.nodes:
                yield ("poll", name)

    def step(self, what: str, *args: Any) -> None:
        """Let one event happen, and look at all rules."""
        try:
            getattr(self, "_" + what.replace(" ", "_"))(*args)
        except Exception as error:  # no event may end a process
            self.violated_rule = f"{Rule.CRASH}: {type(error).__name__}: {error}"
            return
        self.packets = tuple(sorted(self.packets, key=repr))
        self.violated_rule = self._look()

    def copy_for(self, event: Event) -> World:
        """A copy; nodes that the event does not touch are shared."""
        made = World.__new__(World)
        made.__dict__.update(self.__dict__)
        made.left, made.committed = self.left.copy(), self.committed.copy()
        made.told = self.told.copy()
        touched = self._touched(event)
        made.nodes = {
            name: node.copy() if touched is None or name in touched else node
            for name, node in self.nodes.items()
        }
        made.proxy = self.proxy.copy()
        return made

    @staticmethod
    def _touched(event: Event) -> set[str] | None:
        """The nodes that an event changes; None: all."""
        if event[0] == "time":
            return None
        if isinstance(event[1], Packet):
            return {event[1].asker, event[1].to}
        return {event[1]}

    # --- events ---
    def _time(self) -> None:
        self.left["times"] -= 1
        self.now += STEP_S
        for name, node in self.nodes.items():
            if node.machine.next_at <= self.now:
                self._act(name, lambda node=node: node.machine.tick(self.now))  # type: ignore[misc]
        self.proxy.tick(self.now)

    def _lead(self, name: str) -> None:
        self.left["leaders"] -= 1
        self.fence += 1
        self._act(name, lambda: self.nodes[name].machine.lead(self.now, self.fence))

    def _publish(self, name: str) -> None:
        self.left["publications"] -= 1
        self.published += 1
        id_ = f"id{self.published}"
        publish = Publish(id_, (Record(Topic.PURGE, id_),))
        self._request(name, Packet(CALLER, name, self.published, publish))

    def _poll(self, name: str) -> None:
        self.left["polls"] -= 1
        self.packets += (self.proxy.ask(self.now, name),)

    def _deliver(self, packet: Packet) -> None:
        self._remove(packet)
        self._arrive(packet)

    def _copy(self, packet: Packet) -> None:
        """It is delivered, and comes once more."""
        self.left["copies"] -= 1
        self._remove(packet)
        self.packets += (replace(packet, copied=True),)
        self._arrive(packet)

    def _give_up(self, packet: Packet) -> None:
        """Its asker has waited too long; a request may still be delivered later."""
        self.left["losses"] -= 1
        if packet.answers:
            self._remove(packet)
        else:
            self._remove(packet)
            self.packets += (replace(packet, copied=True),)
        self._answered(replace(packet, message=None, answers=True))

    def _torn(self, packet: Packet) -> None:
        """It is delivered, and the process ends before anything of it is stored or sent."""
        self._ends_with(packet, Storing.NOTHING)

    def _half_stored(self, packet: Packet) -> None:
        """It is delivered, and the process ends when a part of it is stored."""
        self._ends_with(packet, Storing.PART)

    def _ends_with(self, packet: Packet, storing: Storing) -> None:
        self.left["torn"] -= 1
        self._remove(packet)
        self.nodes[packet.place].storing = storing
        self._arrive(packet)
        self._restart(packet.place)

    def _crash(self, name: str) -> None:
        self.left["crashes"] -= 1
        self._restart(name)

    def _lose_disk(self, name: str) -> None:
        self.left["disks"] -= 1
        self.nodes[name].lose_disk()
        self._restart(name)

    def _restart(self, name: str) -> None:
        """The process ends and another one starts; what was on its way to the first is void."""
        node = self.nodes[name]
        node.restart(self.now)
        self.packets = tuple(
            packet for packet in self.packets if not (packet.answers and packet.asker == name)
        )
        self._act(name, lambda: node.machine.tick(self.now))

    # --- deliveries ---
    def _remove(self, packet: Packet) -> None:
        packets = list(self.packets)
        packets.remove(packet)
        self.packets = tuple(packets)

    def _arrive(self, packet: Packet) -> None:
        if packet.answers:
            self._answered(packet)
        else:
            self._request(packet.to, packet)

    def _request(self, name: str, packet: Packet) -> None:
        node = self.nodes[name]
        ticket = node.took(packet)
        assert packet.message is not None
        message = packet.message
        self._act(name, lambda: node.machine.requested(self.now, ticket, message))

    def _answered(self, packet: Packet) -> None:
        if packet.asker == CALLER:
            return
        if packet.asker == self.proxy.name:
            self.proxy.answered(self.now, packet)
            return
        node = self.nodes[packet.asker]
        if node.waits_for(packet):
            reply: Any = packet.message
            self._act(packet.asker, lambda: node.machine.replied(self.now, packet.number, reply))

    def _act(self, name: str, event: Callable[[], Any]) -> None:
        sent = self.nodes[name].act(event, self.now)
        if not self.bounds.polls:  # without proxies reports change nothing
            sent = tuple(each for each in sent if not isinstance(each.message, Report))
        self.packets += sent

    def _settle(self) -> None:
        """Deliver everything in order until nothing is on its way."""
        for _ in range(SETTLE_AT_MOST):
            if not self.packets:
                return
            self._deliver(self.packets[0])
            self.violated_rule = self.violated_rule or self._look()

    # --- rules ---
    def _look(self) -> str:
        for node in self.nodes.values():
            for position, raw in node.committed():
                if self.committed.setdefault(position, raw) != raw:
                    return Rule.DURABLE.value
        in_force = max(node.in_force(self.now) for node in self.nodes.values())
        if self.proxy.fresh(self.now) and self.proxy.position < in_force:
            return Rule.IN_FORCE.value
        return self._look_at_ages()

    def _look_at_ages(self) -> str:
        for node in self.nodes.values():
            fence, as_of = node.leads(self.now)
            if as_of is not None:
                self.told[fence] = max(as_of, self.told.get(fence, as_of))
        for node in self.nodes.values():
            fence, as_of = node.leads(self.now)
            if as_of is None:
                continue
            earlier = max((at for other, at in self.told.items() if other < fence), default=0.0)
            if earlier > node.contact_at + ROUNDING_S:
                return Rule.AGE.value
        return ""

    def liveness_violation(self) -> str:
        """With a new leader and nothing lost from now on, publications are committed again."""
        made = self.copy_for(("time",))
        try:
            return made._heals()
        except Exception as error:  # as in `step`
            return f"{Rule.CRASH}: {type(error).__name__}: {error}"

    def _heals(self) -> str:
        made = self
        made.left = dict.fromkeys(KINDS, 1_000)
        names = [name for name, node in made.nodes.items() if not node.disk.recovering]
        before = max(made.committed, default=0)
        made.fence += 1
        made._lead(names[-1])
        for number in range(HEAL_STEPS):
            made._settle()
            made._time()
            if number == HEAL_STEPS // 2:
                made._publish(names[-1])
        made._settle()
        if made.violated_rule:
            return made.violated_rule
        return "" if max(made.committed, default=0) > before + 1 else Rule.PROGRESS.value

    # --- states ---
    def key(self) -> Any:
        """All that what follows depends on."""
        return (
            round(self.now, 6),
            self.fence,
            self.published,
            tuple(self.left.values()),
            tuple(pack(packet) for packet in self.packets),
            tuple(node.key(self.now) for node in self.nodes.values()),
            tuple((fence, round(at - self.now, 6)) for fence, at in sorted(self.told.items())),
            self.proxy.key(self.now),
        )


__all__ = ["SMALL", "Bounds", "Even", "World"]
