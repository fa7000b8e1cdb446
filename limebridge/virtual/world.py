"""Simulation of one plan: the daemon's code runs in memory against stand-ins.

During the run the rule checker receives the events of nodes, clients and list updates.
"""

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
from .coverage import LIST_PREFIX
from .fault_actions import FaultActions
from .kernel import Kernel
from .loop import VirtualLoop
from .plan import Fault, Plan
from .process import OWNER, Process
from .received import SourceObserver
from .session import isolated_run, run, sent_at

CAPS = SETTINGS["caps"] | {"connectTimeoutMs": 120.0, "secondCopies": True}
# s for which nodes remember an idempotency key; shorter than the deadline of a request.
IDEMPOTENCY_WINDOW = 0.8
MAX_DESCRIPTORS = 96  # descriptors of the proxy process
SETTLE_TIME = 3.0  # s from the last request to the end; all requests must have ended by then
# s without a watch of a reachable discovery service before a fault is reported.
MAX_UNWATCHED = 6.0
# s without data after which list sources count as silent; discovery sends a line every 2 s.
SOURCE_TIMEOUT = 2.5
DRAIN_GRACE = 0.5  # s from the report of a drain, as in rule 3
CHECK_EVERY_POLLS = 32  # polls of the loop between two checks of the daemon's limits


@dataclass
class Outcome:
    """Result of a run."""

    plan: Plan
    violations: list[Violation]
    requests: int  # number of requests sent
    answers: dict[str, int]  # number of responses by outcome
    digest: str  # SHA-256 of the trace; the same for a plan on every machine
    virtual_seconds: float
    trace: list[str]  # lines "SECONDS event"
    pair_counts: Counter[str] = field(default_factory=Counter)  # "fault kind/state" -> occurrences


class DefectHandler(logging.Handler):
    """Reports the daemon's log records of level ERROR to the rule checker as faults.

    The events `config.unusable` and `consul.emptied` are not faults.
    """

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        """Report the record's message, its field `what` and its exception."""
        if getattr(record, "event", "") in ("config.unusable", "consul.emptied"):
            return
        fields = dict(getattr(record, "fields", ()))
        error = record.exc_info[1] if record.exc_info else None
        self._world.checker.report_fault(
            self._world.kernel.now, f"{record.getMessage()}: {fields.get('what', '')} {error!r}"
        )


class World(FaultActions):
    """Simulation of one run: clock, network, stand-ins, clients and the daemon.

    The nodes call `arrived`, `accepted`, `effect` and `started` with the virtual time in s.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.kernel = Kernel(plan.seed, buffer=plan.buffer)
        self.loop = VirtualLoop(self.kernel, self.kernel.random("order") if plan.shuffle else None)
        self.checker = RuleChecker(RuleLimits({c["name"]: c["effect"] for c in CLASSES}))
        self.trace: list[str] = []
        self.keys: dict[str, bytes] = {}
        self.pair_counts: Counter[str] = Counter()
        self.draining: dict[str, None] = {}  # nodes reported as draining
        # Node start times: published Unix ms -> virtual time in s.
        self._started_at_by_ms: dict[float, float] = {}
        self._listed: dict[str, None] = {}  # nodes on the watch that the process follows
        self.source_observer = SourceObserver(
            self.kernel, {OWNER}, self._on_list_line, self._on_answer
        )
        self.kernel.on_end = self._on_end
        self.leaving: dict[Any, list[str]] = {}  # socket of a departed client -> open requests
        self._replaced_discoveries: list[Discovery] = []
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._wall_offset = 1.7e9
        self._began = self.kernel.now
        self._requests_sent = 0
        self.port = 0
        self._polls = self._starts = 0
        self._started_at = self.kernel.now  # start time of the process
        self._ending = False
        self._watched_at = self.kernel.now

    def _on_end(self, sock: Any) -> None:
        """Report the requests of a departed client to the checker.

        The client's FIN or RST has just reached this socket.
        """
        for id_ in self.leaving.pop(sock.peer, ()):
            self.checker.client_eof_received(self.kernel.now, id_)

    # --- observer of the nodes ---
    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        """A command arrived at a node; the proxy had sent it at `sent_at`."""
        self.note(f"{id_} at {node}, sent {sent_at:.6f}")
        self.checker.arrived(at, node, id_, sent_at)

    def accepted(self, at: float, node: str, id_: str) -> None:
        """A node accepted a command for execution."""
        self.checker.accepted(at, node, id_)

    def effect(self, at: float, node: str, id_: str) -> None:
        """A command took effect at a node."""
        self.note(f"{id_} took effect at {node}")
        self.checker.effect(at, node, id_)

    def started(self, at: float, node: str, capacity: float) -> None:
        """A node started with a cold cache."""
        self.note(f"{node} starts cold")
        self.checker.started(at, node, capacity)

    def note(self, text: str) -> None:
        """Add a line to the trace, with the time since the start of the run."""
        self.trace.append(f"{self.kernel.now - self._began:.6f} {text}")

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run the coroutine as a task; the reference to it is kept until it ends."""
        task = self.loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    # --- the run ---
    def run(self) -> Outcome:
        """Run the plan once and return its outcome; a world can't be run again."""
        self.loop.set_exception_handler(self._on_loop_error)
        with isolated_run(logging.ERROR, DefectHandler(self)):
            run(
                self.loop,
                self._run_plan(),
                lambda message: self.checker.report_fault(self.kernel.now, message),
            )
        digest = hashlib.sha256("\n".join(self.trace).encode()).hexdigest()
        return Outcome(
            self.plan,
            self.checker.violations,
            self.checker.requests,
            self.checker.answers,
            digest,
            self.kernel.now - self._began,
            self.trace,
            self.pair_counts,
        )

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if isinstance(error, ConnectionError | asyncio.IncompleteReadError):
            return  # a stand-in's connection was closed and no task awaits its reader
        self.checker.report_fault(self.kernel.now, f"{context.get('message')}: {error!r}")

    async def _run_plan(self) -> None:
        plan = self.plan
        await self._build()
        for number, fault in enumerate(plan.faults):
            self.loop.call_at(self._began + fault.at, self._inject, number, fault)
        clients = self.clients = [Client(self, number) for number in range(plan.clients)]
        random = self.kernel.random("load")
        at = self._began
        while at - self._began < plan.seconds:
            at += random.expovariate(plan.rate)
            await asyncio.sleep(max(0.0, at - self.kernel.now))
            client = random.choice(clients)
            cls = random.choices(("lookup", "optout", "once"), (80, 12, 8))[0]
            self._requests_sent += 1
            id_, key = f"r{self._requests_sent}", b"k%d" % int(random.paretovariate(0.8) % 400)
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
            self.start(client.send_request(id_, words, cls))
        await asyncio.sleep(SETTLE_TIME)
        await self._finish()

    async def _build(self) -> None:
        plan, loop = self.plan, self.loop
        self.database = CustomerDatabase(latency=0.03, seed=plan.seed)
        effects = IdempotencyKeys(IDEMPOTENCY_WINDOW)
        self.discovery = await Discovery().start()
        self.source_observer.follow(self.discovery.port)
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
            sockets=MAX_DESCRIPTORS,
            classes=CLASSES,
            caps=CAPS,
        )
        raw["seed"] = f"{plan.seed:x}"
        self.config: Config = parse(raw, await self._start_sources())
        self.kernel.limit(OWNER, MAX_DESCRIPTORS)
        self.process = Process(self.kernel, loop, lambda: self.kernel.now + self._wall_offset)
        self.port = self.process.start(self.config)
        loop.poll.before_poll = self._check_bounds

    async def _start_sources(self) -> Operator:
        """Start further list sources; return the operator settings that use them."""
        return Operator()

    def _is_unwatched(self) -> bool:
        """Whether no watch of discovery is open although discovery is reachable."""
        link = self.kernel.link(self.discovery.port)
        return not (
            self.discovery.open
            or self.discovery.unavailable
            or link.blocked_to
            or link.blocked_back
        )

    def _entry(self, node: FleetNode, lifecycle: Lifecycle = "in_service") -> NodeEntry:
        start_time_ms = self._start_time_ms(node)
        return node.entry(node.name, lifecycle, startedAtMs=start_time_ms)

    def _start_time_ms(self, node: FleetNode) -> float:
        """The node's start time as published: Unix ms by the current wall clock, 0 if warm."""
        if node.cold_since is None:
            return 0.0
        published_ms = (node.cold_since + self._wall_offset) * 1000.0
        self._started_at_by_ms[published_ms] = node.cold_since
        return published_ms

    def _check_bounds(self) -> None:
        """Check the daemon's limits on every 32nd poll: memory, open requests, watch, deadlines."""
        self._polls += 1
        if self._polls % CHECK_EVERY_POLLS:
            return
        now, process = self.kernel.now, self.process
        if process.state == "down" or now < process.paused_until + 0.05:
            self._watched_at = now
            return
        proxy, listener = process.proxy, process.listener
        if listener.budget.used < 0:
            self.checker.report_fault(now, f"the budget is {listener.budget.used}")
        if proxy.open_requests > 20 * self.plan.clients + 200:
            self.checker.report_fault(now, f"{proxy.open_requests} requests are open")
        if process.state != "up" or not self._is_unwatched():
            self._watched_at = now
        elif now - self._watched_at > MAX_UNWATCHED:
            self.checker.report_fault(
                now, f"no watch for {MAX_UNWATCHED:g} s although discovery is reachable"
            )
            self._watched_at = now
        overdue = proxy.oldest_deadline
        if overdue is not None and now > overdue + 0.05:
            self.checker.report_fault(
                now, f"a request is open {now - overdue:.3f} s past its deadline"
            )

    async def _finish(self) -> None:
        """End the run: stop clients, daemon and stand-ins, and report resources still held."""
        for client in self.clients:
            client.close()
        for port in list(self.kernel.links):
            self.kernel.heal(port)
        self._ending = True
        while self.process.state == "draining":
            await asyncio.sleep(0.05)
        if self.process.state == "up":
            await self.process.term()
            self._report_leftovers(self.process.leftovers())
        self.checker.finish(self.kernel.now)
        for node in self.nodes:
            await node.crash()
        for discovery in (self.discovery, *self._replaced_discoveries):
            await discovery.stop()
        await self._end_sources()

    def _report_leftovers(self, leftovers: dict[str, int]) -> None:
        for resource, count in leftovers.items():
            if count:
                self.checker.report_fault(
                    self.kernel.now, f"{count} {resource} are left at the end"
                )

    async def _end_sources(self) -> None:
        """Stop the sources that `_start_sources` started."""

    def _on_list_line(self, owner: str, port: int, value: ListChange, burst: bool) -> None:
        """Report the nodes in a received line of a watch to the checker."""
        before, listed = self._listed, {} if value["reset"] else dict(self._listed)
        for entry in value["instances"]:
            name, ready = entry["instanceId"], entry["lifecycle"] == "in_service"
            if entry["lifecycle"] == "terminated":
                listed.pop(name, None)
            else:
                listed[name] = None
            self.checker.node_reported(
                self.kernel.now,
                name,
                ready,
                "platform",
                self._started_at_by_ms.get(entry.get("startedAtMs", 0.0)),
                burst,
            )
        for name in before:
            if value["reset"] and name not in listed:
                self.checker.node_reported(self.kernel.now, name, False, "platform", burst=burst)
        self._listed = listed

    def _on_answer(
        self, owner: str, port: int, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Handle a complete response; only Consul sends these, so `ConsulWorld` overrides this."""

    # --- faults ---
    def _inject(self, number: int, fault: Fault) -> None:
        """Count the states in which the fault occurs, and start its method."""
        self.note(f"fault {number}: {fault.kind} node {fault.node}")
        states = Counter(self.process.proxy.request_states())
        for state in states or {"none open": 1}:
            self.pair_counts[f"{fault.kind}/{state}"] += 1
        for state in self._list_states():
            self.pair_counts[f"{fault.kind}/{LIST_PREFIX}{state}"] += 1
        node = self.nodes[fault.node % len(self.nodes)]
        self.start(getattr(self, f"_{fault.kind}")(fault, node))

    def _list_states(self) -> set[str]:
        """The states of the node list that are counted with a fault, see `coverage`."""
        now = self.kernel.now
        if self.process.state == "down":
            return {"no process"}
        found = {
            f"a drain {'just told' if age < DRAIN_GRACE else 'kept'}, by "
            f"{source or 'the list before'}"
            for source, age in self.checker.active_drains(now)
        }
        if self.source_observer.last_received_at < self._started_at:
            found.add("not heard since its start")
        elif now - self.source_observer.last_received_at > SOURCE_TIMEOUT:
            found.add("silent")
        return found or {"told, nothing drains"}
