"""One run of a plan: the daemon's own code among stand-ins, in memory, judged as it goes."""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from limebridge.rules import RuleChecker, RuleLimits, Violation
from limebridge.standins.configuration import SETTINGS, configuration
from limebridge.standins.database import CustomerDatabase
from limebridge.standins.discovery import Discovery
from limebridge.standins.fleet import FleetNode, IdempotencyKeys
from limebridge.standins.node_list import Lifecycle, ListChange, NodeEntry
from limebridge.standins.wire import command
from violetroute.config import Config, Operator, parse

from .client import CLASSES, WAITS, Client
from .coverage import LIST
from .kernel import Kernel
from .loop import VirtualLoop
from .plan import Fault, Plan
from .process import OWNER, Process
from .received import Ears
from .session import quiet, run, sent_at
from .troubles import Troubles

CAPS = SETTINGS["caps"] | {"connectTimeoutMs": 120.0, "secondCopies": True}
WINDOW = 0.8  # s for which nodes know a key: less than a request may take
DESCRIPTORS = 96  # of the proxy
REST = 3.0  # s after the last question, in which everything has to end
UNWATCHED = 6.0  # s without a watch, though discovery can be reached: what it has counts as told
SILENT = 2.5  # s without a byte of any source; an empty line comes every 2 s
DRAIN_NEW = 0.5  # s from the telling of a drain; rule three's grace
LOOK = 32  # polls between two looks at the program's own bounds


@dataclass
class Outcome:
    """What came of a run."""

    plan: Plan
    broken: list[Violation]
    requests: int
    answers: dict[str, int]
    digest: str  # over all that was seen, the same for a plan on any machine
    virtual_seconds: float
    trace: list[str]
    met: Counter[str] = field(default_factory=Counter)  # fault and state of a request it met


class Faults(logging.Handler):
    """What the daemon says of its own defects."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        if getattr(record, "event", "") in ("config.unusable", "consul.emptied"):
            return
        fields = dict(getattr(record, "fields", ()))
        error = record.exc_info[1] if record.exc_info else None
        self._world.judge.report_fault(
            self._world.kernel.now, f"{record.getMessage()}: {fields.get('what', '')} {error!r}"
        )


class World(Troubles):
    """Everything of one run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.kernel = Kernel(plan.seed, buffer=plan.buffer)
        self.loop = VirtualLoop(self.kernel, self.kernel.random("order") if plan.shuffle else None)
        self.judge = RuleChecker(RuleLimits({c["name"]: c["effect"] for c in CLASSES}))
        self.trace: list[str] = []
        self.keys: dict[str, bytes] = {}
        self.met: Counter[str] = Counter()
        self.draining: dict[str, None] = {}  # nodes of which discovery has said so
        self._births: dict[float, float] = {}  # starts as they are told, and when they were
        self._listed: dict[str, None] = {}  # by the watch that the process follows
        self.ears = Ears(self.kernel, {OWNER}, self._line, self._answer)
        self.kernel.ended = self._end_came
        self.leaving: dict[Any, list[str]] = {}  # by the socket of a client that has left
        self._old: list[Discovery] = []
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._wall_off = 1.7e9
        self._began = self.kernel.now
        self._asked = 0
        self.port = 0
        self._polls = self._starts = 0
        self._started_at = self.kernel.now  # the process
        self._ending = False
        self._watched_at = self.kernel.now

    def _end_came(self, sock: Any) -> None:
        """A peer's end has come to this socket's machine."""
        for id_ in self.leaving.pop(sock.peer, ()):
            self.judge.client_eof_received(self.kernel.now, id_)

    # --- what nodes see ---
    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        self.note(f"{id_} at {node}, sent {sent_at:.6f}")
        self.judge.arrived(at, node, id_, sent_at)

    def accepted(self, at: float, node: str, id_: str) -> None:
        self.judge.accepted(at, node, id_)

    def effect(self, at: float, node: str, id_: str) -> None:
        self.note(f"{id_} took effect at {node}")
        self.judge.effect(at, node, id_)

    def started(self, at: float, node: str, capacity: float) -> None:
        self.note(f"{node} starts cold")
        self.judge.started(at, node, capacity)

    def note(self, text: str) -> None:
        self.trace.append(f"{self.kernel.now - self._began:.6f} {text}")

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    # --- the run ---
    def run(self) -> Outcome:
        self.loop.set_exception_handler(self._stray)
        with quiet(logging.ERROR, Faults(self)):
            run(
                self.loop, self._play(), lambda what: self.judge.report_fault(self.kernel.now, what)
            )
        digest = hashlib.sha256("\n".join(self.trace).encode()).hexdigest()
        return Outcome(
            self.plan,
            self.judge.violations,
            self.judge.requests,
            self.judge.answers,
            digest,
            self.kernel.now - self._began,
            self.trace,
            self.met,
        )

    def _stray(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if isinstance(error, ConnectionError | asyncio.IncompleteReadError):
            return  # a stand-in's stream that nobody waits for
        self.judge.report_fault(self.kernel.now, f"{context.get('message')}: {error!r}")

    async def _play(self) -> None:
        plan = self.plan
        await self._build()
        for number, fault in enumerate(plan.faults):
            self.loop.call_at(self._began + fault.at, self._strike, number, fault)
        clients = self.clients = [Client(self, number) for number in range(plan.clients)]
        random = self.kernel.random("load")
        at = self._began
        while at - self._began < plan.seconds:
            at += random.expovariate(plan.rate)
            await asyncio.sleep(max(0.0, at - self.kernel.now))
            client = random.choice(clients)
            cls = random.choices(("lookup", "optout", "once"), (80, 12, 8))[0]
            self._asked += 1
            id_, key = f"r{self._asked}", b"k%d" % int(random.paretovariate(0.8) % 400)
            self.keys[id_] = key
            listed = b"c=%b,t=x,d=%d" % (cls.encode(), round(WAITS[cls] * 1000))
            if cls == "lookup":
                words = command(b"OBJ.GET", key, id_.encode(), listed)
            else:
                if cls == "optout":
                    listed += b",k=" + id_.encode()
                words = command(
                    b"OBJ.SET",
                    key,
                    id_.encode(),
                    listed,
                    b"v" * random.choice((10, 10, 3000, 60_000)),
                )
            self.start(client.ask(id_, words, cls))
        await asyncio.sleep(REST)
        await self._finish()

    async def _build(self) -> None:
        plan, loop = self.plan, self.loop
        self.database = CustomerDatabase(latency=0.03, seed=plan.seed)
        effects = IdempotencyKeys(WINDOW)
        self.discovery = await Discovery().start()
        self.ears.follow(self.discovery.port)
        self.nodes = []
        for number in range(plan.nodes):
            node = FleetNode(
                f"n{number}",
                self.database,
                effects,
                self,
                f"{plan.seed}/node{number}",
                slots=1,
                service_time=0.06,
                sent_at=sent_at,
            )
            await node.start()
            self.nodes.append(node)
        for port in (self.discovery.port, *(node.port for node in self.nodes)):
            link = self.kernel.link(port)
            link.latency, link.jitter, link.cut = 0.000_5, plan.jitter, plan.cut
        raw = configuration(
            self.discovery.port,
            [self._entry(node) for node in self.nodes],
            sockets=DESCRIPTORS,
            classes=CLASSES,
            caps=CAPS,
        )
        raw["seed"] = f"{plan.seed:x}"
        self.config: Config = parse(raw, await self._sources())
        self.kernel.limit(OWNER, DESCRIPTORS)
        self.process = Process(self.kernel, loop, lambda: self.kernel.now + self._wall_off)
        self.port = self.process.start(self.config)
        loop.poll.before = self._look

    async def _sources(self) -> Operator:
        """Starts what else tells of nodes; the operator's file that goes with it."""
        return Operator()

    def _unwatched(self) -> bool:
        """Whether nobody follows the list though it could be had."""
        link = self.kernel.link(self.discovery.port)
        return not (
            self.discovery.open
            or self.discovery.unavailable
            or link.blocked_to
            or link.blocked_back
        )

    def _entry(self, node: FleetNode, lifecycle: Lifecycle = "in_service") -> NodeEntry:
        born = self._born(node)
        return node.entry(node.name, lifecycle, startedAtMs=born)

    def _born(self, node: FleetNode) -> float:
        """Its start as sources tell of it: Unix ms by the wall clock of now."""
        if node.cold_since is None:
            return 0.0
        said = (node.cold_since + self._wall_off) * 1000.0
        self._births[said] = node.cold_since
        return said

    def _look(self) -> None:
        """The program's own bounds, at every so many polls."""
        self._polls += 1
        if self._polls % LOOK:
            return
        now, process = self.kernel.now, self.process
        if process.state == "down" or now < process.paused_until + 0.05:
            self._watched_at = now
            return
        proxy, listener = process.proxy, process.listener
        if listener.budget.used < 0:
            self.judge.report_fault(now, f"the budget is {listener.budget.used}")
        if proxy.open_requests > 20 * self.plan.clients + 200:
            self.judge.report_fault(now, f"{proxy.open_requests} requests are open")
        if process.state != "up" or not self._unwatched():
            self._watched_at = now
        elif now - self._watched_at > UNWATCHED:
            self.judge.report_fault(
                now, f"nobody watches discovery for {UNWATCHED:g} s, which is there"
            )
            self._watched_at = now
        overdue = proxy.oldest_deadline
        if overdue is not None and now > overdue + 0.05:
            self.judge.report_fault(now, f"a request is open {now - overdue:.3f} s past its time")

    async def _finish(self) -> None:
        """Everybody leaves; nothing may be left of it."""
        for client in self.clients:
            client.close()
        for port in list(self.kernel.links):
            self.kernel.heal(port)
        self._ending = True
        while self.process.state == "draining":
            await asyncio.sleep(0.05)
        if self.process.state == "up":
            await self.process.term()
            self._nothing(self.process.left())
        self.judge.finish(self.kernel.now)
        for node in self.nodes:
            await node.crash()
        for discovery in (self.discovery, *self._old):
            await discovery.stop()
        await self._end_sources()

    def _nothing(self, left: dict[str, int]) -> None:
        for what, count in left.items():
            if count:
                self.judge.report_fault(self.kernel.now, f"{count} {what} are left at the end")

    async def _end_sources(self) -> None:
        """What `_sources` has started."""

    def _line(self, owner: str, port: int, value: ListChange, burst: bool) -> None:
        """A line of a watch has reached the process."""
        before, listed = self._listed, {} if value["reset"] else dict(self._listed)
        for entry in value["instances"]:
            name, ready = entry["instanceId"], entry["lifecycle"] == "in_service"
            if entry["lifecycle"] == "terminated":
                listed.pop(name, None)
            else:
                listed[name] = None
            self.judge.node_reported(
                self.kernel.now,
                name,
                ready,
                "platform",
                self._births.get(entry.get("startedAtMs", 0.0)),
                burst,
            )
        for name in before:
            if value["reset"] and name not in listed:
                self.judge.node_reported(self.kernel.now, name, False, "platform", burst=burst)
        self._listed = listed

    def _answer(
        self, owner: str, port: int, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Only Consul answers without a watch."""

    # --- faults ---
    def _strike(self, number: int, fault: Fault) -> None:
        self.note(f"fault {number}: {fault.kind} node {fault.node}")
        states = Counter(self.process.proxy.request_states())
        for state in states or {"none open": 1}:
            self.met[f"{fault.kind}/{state}"] += 1
        for state in self._states_of_the_list():
            self.met[f"{fault.kind}/{LIST}{state}"] += 1
        node = self.nodes[fault.node % len(self.nodes)]
        self.start(getattr(self, f"_{fault.kind}")(fault, node))

    def _states_of_the_list(self) -> set[str]:
        now = self.kernel.now
        if self.process.state == "down":
            return {"no process"}
        found = {
            f"a drain {'just told' if age < DRAIN_NEW else 'kept'}, by "
            f"{source or 'the list before'}"
            for source, age in self.judge.active_drains(now)
        }
        if self.ears.heard_at < self._started_at:
            found.add("not heard since its start")
        elif now - self.ears.heard_at > SILENT:
            found.add("silent")
        return found or {"told, nothing drains"}
