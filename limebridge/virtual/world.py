"""One run of a plan: the daemon's own code among stand-ins, in memory, judged as it goes."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import hashlib
import logging
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from limebridge.rules import Break, Judge, Terms
from limebridge.standins.configuration import SETTINGS, configuration
from limebridge.standins.database import CustomerDatabase
from limebridge.standins.discovery import Discovery
from limebridge.standins.fleet import Effects, FleetNode
from limebridge.standins.wire import command, read_answer
from violetroute.config import Config, Operator, parse
from violetroute.membership import parse_listing

from .coverage import LIST
from .ears import Ears
from .kernel import Kernel
from .loop import Deadlock, Livelock, VirtualLoop
from .plan import Fault, Plan
from .process import OWNER, Process

CLASSES: list[dict[str, Any]] = [
    {"name": "lookup", "promiseMs": 300.0, "deadlineMs": 600.0, "effect": "pure", "worth": 2.0},
    {"name": "optout", "promiseMs": 300.0, "deadlineMs": 1200.0, "effect": "token",
     "group": "all", "keyTtlMs": 800.0, "worth": 5.0},
    {"name": "once", "promiseMs": 300.0, "deadlineMs": 1500.0, "effect": "side_effect"},
]
WAITS = {c["name"]: c["deadlineMs"] / 1000.0 for c in CLASSES}
CAPS = SETTINGS["caps"] | {"connectTimeoutMs": 120.0, "secondCopies": True}
WINDOW = 0.8  # s for which nodes know a key: less than a request may take
DESCRIPTORS = 96  # of the proxy
REST = 3.0  # s after the last question, in which everything has to end
UNWATCHED = 8.0  # s without a watch, though discovery can be reached: drains go unheard
SILENT = 2.5  # s without a byte of any source; an empty line comes every 2 s
DRAIN_NEW = 0.5  # s from the telling of a drain; rule three's grace
LOOK = 32  # polls between two looks at the program's own bounds
RUDE = (b"\x00\xff noise", b"*4\r\n$7\r\nOBJ.G", b"*999999\r\n", b"*1\r\n$4\r\nNOPE\r\n",
        b"*1\r\n$4\r\nPING\r\n" * 40)


@dataclass
class Outcome:
    """What came of a run."""

    plan: Plan
    broken: list[Break]
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
        self._world.judge.fault(self._world.kernel.now, f"{record.getMessage()}: "
                                f"{fields.get('what', '')} {error!r}")


class Client:
    """One connection at a time; answers in order; asks again on a new one when it closes."""

    def __init__(self, world: World, number: int) -> None:
        self._world, self.number = world, number
        self._writer: asyncio.StreamWriter | None = None
        self.open: dict[str, asyncio.TimerHandle] = {}
        self._opening = asyncio.Lock()
        self._leaving = False

    async def ask(self, id_: str, words: bytes, cls: str) -> None:
        """Write one question; on a connection of its own time where there is none."""
        world = self._world
        async with self._opening:
            if self._writer is None or self._writer.transport.is_closing():
                self._leaving = False
                try:
                    reader, self._writer = await asyncio.open_connection("127.0.0.1", world.port)
                except OSError:
                    return  # the proxy is away: nothing was taken
                world.start(self._read(reader, self._writer))
            writer = self._writer
        writer.write(words)
        now, wait = world.kernel.now, WAITS[cls]
        world.judge.asked(now, id_, cls, wait)
        world.note(f"asked {id_} {cls} by {self.number}")
        self.open[id_] = world.loop.call_at(now + wait, self._expire, id_)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        world = self._world
        try:
            while True:
                answer = await read_answer(reader)
                kind = "refused" if answer.startswith(b"-BUSY") else \
                    "failed" if answer.startswith(b"-") else "served"
                if not self.open:
                    world.judge.stray(world.kernel.now, repr(answer[:40]))
                    break
                id_ = next(iter(self.open))
                self.open.pop(id_).cancel()
                if kind == "served" and answer not in (b"stored",
                                                       b"template of " + world.keys[id_]):
                    world.judge.fault(world.kernel.now, f"{id_} got another's answer: {answer!r}")
                world.note(f"{kind} {id_}")
                world.judge.answered(world.kernel.now, id_, kind)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        writer.close()
        for id_, timer in self.open.items():
            timer.cancel()
            if not self._leaving:
                world.note(f"closed under {id_}")
                world.judge.closed_under(world.kernel.now, id_)
        self.open.clear()

    def _expire(self, id_: str) -> None:
        world = self._world
        if next(iter(self.open), id_) != id_:  # it asked behind one that may take longer, and
            world.judge.excuse(id_)  # answers come in order: only the first can be judged
        self.open.pop(id_, None)
        world.note(f"expired {id_}")
        world.judge.expired(world.kernel.now, id_)
        self.leave()

    def leave(self) -> None:
        """Go away with whatever is open."""
        world = self._world
        self._leaving = True
        for id_, timer in self.open.items():
            timer.cancel()
            world.judge.gone(world.kernel.now, id_)
        if self._writer is not None:
            self._writer.transport.abort()

    def close(self) -> None:
        self._leaving = True
        if self._writer is not None:
            self._writer.close()


class World:
    """Everything of one run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.kernel = Kernel(plan.seed, buffer=plan.buffer)
        self.loop = VirtualLoop(self.kernel,
                                self.kernel.random("order") if plan.shuffle else None)
        self.judge = Judge(Terms({c["name"]: c["effect"] for c in CLASSES}))
        self.trace: list[str] = []
        self.keys: dict[str, bytes] = {}
        self.met: Counter[str] = Counter()
        self.draining: dict[str, None] = {}  # nodes of which discovery has said so
        self._births: dict[float, float] = {}  # starts as they are told, and when they were
        self._listed: dict[str, None] = {}  # by the watch that the process follows
        self.ears = Ears(self.kernel, {OWNER}, self._line, self._answer)
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
        faults = Faults(self)
        ours = logging.getLogger("violetroute")
        level, gc_was_on = ours.level, gc.isenabled()
        ours.setLevel(logging.ERROR)
        ours.addHandler(faults)
        ours.propagate = False
        gc.disable()  # its moments depend on all that was allocated before
        try:
            self.loop.set_exception_handler(self._stray)
            self.loop.run_until_complete(self._play())
        except (Deadlock, Livelock) as error:
            self.judge.fault(self.kernel.now, f"{type(error).__name__}: {error}")
        finally:
            ours.removeHandler(faults)
            ours.setLevel(level)
            ours.propagate = True
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.call_soon(self.loop.stop)
            with contextlib.suppress(Deadlock, Livelock):
                self.loop.run_forever()
            self.loop.close()
            if gc_was_on:
                gc.enable()
        digest = hashlib.sha256("\n".join(self.trace).encode()).hexdigest()
        return Outcome(self.plan, self.judge.broken, self.judge.requests, self.judge.answers,
                       digest, self.kernel.now - self._began, self.trace, self.met)

    def _stray(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if isinstance(error, ConnectionError | asyncio.IncompleteReadError):
            return  # a stand-in's stream that nobody waits for
        self.judge.fault(self.kernel.now, f"{context.get('message')}: {error!r}")

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
                words = command(b"OBJ.SET", key, id_.encode(), listed, b"v" * random.choice(
                    (10, 10, 3000, 60_000)))
            self.start(client.ask(id_, words, cls))
        await asyncio.sleep(REST)
        await self._finish()

    async def _build(self) -> None:
        plan, loop = self.plan, self.loop
        self.database = CustomerDatabase(latency=0.03, seed=plan.seed)
        effects = Effects(WINDOW)
        self.discovery = await Discovery().start()
        self.ears.follow(self.discovery.port)
        self.nodes = []
        for number in range(plan.nodes):
            node = FleetNode(f"n{number}", self.database, effects, self,
                             f"{plan.seed}/node{number}", slots=1, service=0.06, sent_at=_sent_at)
            await node.start()
            self.nodes.append(node)
        for port in (self.discovery.port, *(node.port for node in self.nodes)):
            link = self.kernel.link(port)
            link.latency, link.jitter, link.cut = 0.000_5, plan.jitter, plan.cut
        raw = configuration(self.discovery.port, [self._entry(node) for node in self.nodes],
                            sockets=DESCRIPTORS, classes=CLASSES, caps=CAPS)
        raw["seed"] = f"{plan.seed:x}"
        self.config: Config = parse(raw, await self._sources())
        self.kernel.limit(OWNER, DESCRIPTORS)
        self.process = Process(self.kernel, loop, lambda: self.kernel.now + self._wall_off,
                               _undelivered)
        self.port = self.process.start(self.config)
        loop.poll.before = self._look

    async def _sources(self) -> Operator:
        """Starts what else tells of nodes; the operator's file that goes with it."""
        return Operator()

    def _unwatched(self) -> bool:
        """Whether nobody follows the list though it could be had."""
        link = self.kernel.link(self.discovery.port)
        return not (self.discovery.open or self.discovery.refuse or link.blocked_to
                    or link.blocked_back)

    def _entry(self, node: FleetNode, lifecycle: str = "in_service") -> dict[str, Any]:
        born = self._born(node)
        return node.entry(node.name, lifecycle, startedAtMs=born)

    def _born(self, node: FleetNode) -> float:
        """Its start as sources tell of it: Unix ms by the wall clock of now."""
        if node.born is None:
            return 0.0
        said = (node.born + self._wall_off) * 1000.0
        self._births[said] = node.born
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
            self.judge.fault(now, f"the budget is {listener.budget.used}")
        if proxy.open_requests > 20 * self.plan.clients + 200:
            self.judge.fault(now, f"{proxy.open_requests} requests are open")
        if process.state != "up" or not self._unwatched():
            self._watched_at = now
        elif now - self._watched_at > UNWATCHED:
            self.judge.fault(now, f"nobody watches discovery for {UNWATCHED:g} s, which is there")
            self._watched_at = now
        overdue = proxy.oldest_deadline
        if overdue is not None and now > overdue + 0.05:
            self.judge.fault(now, f"a request is open {now - overdue:.3f} s past its time")

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
        self.judge.end(self.kernel.now)
        for node in self.nodes:
            await node.die()
        for discovery in (self.discovery, *self._old):
            await discovery.stop()
        await self._end_sources()

    def _nothing(self, left: dict[str, int]) -> None:
        for what, count in left.items():
            if count:
                self.judge.fault(self.kernel.now, f"{count} {what} are left at the end")

    async def _end_sources(self) -> None:
        """What `_sources` has started."""

    # --- faults ---
    def _strike(self, number: int, fault: Fault) -> None:
        self.note(f"fault {number}: {fault.kind} node {fault.node}")
        states = Counter(self.process.proxy.states())
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
        found = {f"a drain {'just told' if age < DRAIN_NEW else 'kept'}, by "
                 f"{source or 'the list before'}" for source, age in self.judge.told_by(now)}
        if self.ears.heard_at < self._started_at:
            found.add("not heard since its start")
        elif now - self.ears.heard_at > SILENT:
            found.add("silent")
        return found or {"told, nothing drains"}

    async def _for(self, fault: Fault, begin: Callable[[], object],
                   end: Callable[[], object]) -> None:
        begin()
        await asyncio.sleep(fault.lasts)
        end()

    async def _node_slow(self, fault: Fault, node: FleetNode) -> None:
        await self._for(fault, lambda: setattr(node, "slowness", max(1.0, fault.amount)),
                        lambda: setattr(node, "slowness", 1.0))

    async def _node_stalls(self, fault: Fault, node: FleetNode) -> None:
        await self._for(fault, node.flowing.clear, node.flowing.set)

    async def _node_swallows(self, fault: Fault, node: FleetNode) -> None:
        await self._for(fault, lambda: setattr(node, "swallows", fault.amount),
                        lambda: setattr(node, "swallows", 0.0))

    async def _node_spoils(self, fault: Fault, node: FleetNode) -> None:
        await self._for(fault, lambda: setattr(node, "spoils", fault.amount),
                        lambda: setattr(node, "spoils", 0.0))

    async def _node_errors(self, fault: Fault, node: FleetNode) -> None:
        await self._for(fault, lambda: setattr(node, "errors", fault.amount),
                        lambda: setattr(node, "errors", 0.0))

    async def _node_resets(self, fault: Fault, node: FleetNode) -> None:
        for writer in list(node.open):
            writer.transport.abort()

    async def _node_closes_idle(self, fault: Fault, node: FleetNode) -> None:
        for writer in list(node.open):
            writer.close()

    async def _node_dies(self, fault: Fault, node: FleetNode) -> None:
        await node.die()
        await asyncio.sleep(fault.lasts)
        await self._start_again(node)

    async def _start_again(self, node: FleetNode) -> None:
        if node.port not in self.kernel.listening:
            node.begin_cold()
            await node.start(node.port)
            self._tell(node, "in_service")

    async def _node_drains(self, fault: Fault, node: FleetNode) -> None:
        self._tell(node, "terminating")
        await asyncio.sleep(0.5 + fault.lasts)
        node.draining = True
        await asyncio.sleep(fault.lasts)
        await node.die()
        self._tell(node, "terminated")
        await asyncio.sleep(fault.lasts)
        await self._start_again(node)

    async def _node_replaced(self, fault: Fault, node: FleetNode) -> None:
        """Another id, cold, at the same address; the list says so late."""
        await node.die()
        await asyncio.sleep(fault.lasts)
        if node.port not in self.kernel.listening:
            # Only now: what is told meanwhile is told of the one that was there.
            old = self._entry(node, "terminated")
            node.name = f"{node.name}'"
            node.begin_cold()
            await node.start(node.port)
            self.draining.pop(node.name, None)  # what was said of it before it was there
            self._replaced(old, node)

    def _replaced(self, old: dict[str, Any], node: FleetNode) -> None:
        self.discovery.tell(old, self._entry(node))

    def _tell(self, node: FleetNode, lifecycle: str) -> None:
        if lifecycle == "in_service":
            self.draining.pop(node.name, None)
        else:
            self.draining[node.name] = None
        self.note(f"told: {node.name} {lifecycle}")
        self.discovery.tell(self._entry(node, lifecycle))

    def _line(self, owner: str, port: int, value: dict[str, Any], burst: bool) -> None:
        """A line of a watch has reached the process."""
        before, listed = self._listed, {} if value["reset"] else dict(self._listed)
        for entry in value["instances"]:
            name, ready = entry["instanceId"], entry["lifecycle"] == "in_service"
            if entry["lifecycle"] == "terminated":
                listed.pop(name, None)
            else:
                listed[name] = None
            self.judge.heard(self.kernel.now, name, ready, "platform",
                             self._births.get(entry.get("startedAtMs", 0.0)), burst)
        for name in before:
            if value["reset"] and name not in listed:
                self.judge.heard(self.kernel.now, name, False, "platform", burst=burst)
        self._listed = listed

    def _answer(self, owner: str, port: int, target: str, headers: dict[str, str],
                body: bytes) -> None:
        """Only Consul answers without a watch."""

    async def _path(self, fault: Fault, port: int, to: bool, back: bool) -> None:
        self.kernel.block(port, to, back)
        await asyncio.sleep(fault.lasts)
        self.kernel.heal(port)

    async def _path_cut(self, fault: Fault, node: FleetNode) -> None:
        await self._path(fault, node.port, True, True)

    async def _path_cut_to(self, fault: Fault, node: FleetNode) -> None:
        await self._path(fault, node.port, True, False)

    async def _path_cut_back(self, fault: Fault, node: FleetNode) -> None:
        await self._path(fault, node.port, False, True)

    async def _discovery_cut(self, fault: Fault, node: FleetNode) -> None:
        await self._path(fault, self.discovery.port, True, True)

    async def _discovery_ends(self, fault: Fault, node: FleetNode) -> None:
        self.discovery.refuse = True
        for writer in list(self.discovery.open):
            writer.transport.abort()
        await asyncio.sleep(fault.lasts)
        self.discovery.refuse = False

    async def _discovery_lies(self, fault: Fault, node: FleetNode) -> None:
        """Says that a healthy node is gone, and takes it back."""
        self._tell(node, "terminated")
        await asyncio.sleep(fault.lasts)
        if node.port in self.kernel.listening:
            self._tell(node, "in_service")

    async def _discovery_moves(self, fault: Fault, node: FleetNode) -> None:
        """Another discovery from now on; the old one still runs and praises every node."""
        old, self.discovery = self.discovery, await Discovery().start()
        self._old.append(old)
        self.ears.follow(self.discovery.port)
        link = self.kernel.link(self.discovery.port)
        link.latency, link.jitter, link.cut = 0.000_5, self.plan.jitter, self.plan.cut
        entries = [self._entry(one, "in_service" if one.name not in self.draining
                               else "terminating") for one in self.nodes]
        self.discovery.tell(*entries, reset=True)
        self.config = replace(self.config, discovery=replace(
            self.config.discovery, port=self.discovery.port))
        await self._reloads(self.config)
        for _ in range(3):
            await asyncio.sleep(0.1 + fault.lasts / 3)
            old.tell(*(self._entry(one) for one in self.nodes))

    async def _clients_leave(self, fault: Fault, node: FleetNode) -> None:
        for client in self.clients[:: 2 if fault.amount < 0.5 else 1]:
            client.leave()

    async def _client_rude(self, fault: Fault, node: FleetNode) -> None:
        random = self.kernel.random("rude")
        for _ in range(1 + int(10 * fault.amount)):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(random.choice(RUDE))
                await asyncio.sleep(fault.lasts / 5)
                writer.transport.abort()
            except OSError:
                pass

    async def _reload(self, fault: Fault, node: FleetNode) -> None:
        limits = replace_limits(self.config, 64 if fault.amount < 0.5 else 128)
        await self._reloads(limits)

    async def _reloads(self, config: Config) -> None:
        """SIGHUP with this file: not for a process that drains or is away, later for one that
        gets no CPU."""
        while self.kernel.now < self.process.paused_until:
            await asyncio.sleep(self.process.paused_until - self.kernel.now)
        if self.process.state == "up":
            proxy = self.process.proxy
            before = proxy.follows
            self.process.listener.limits = config.limits
            proxy.reload(config)
            if proxy.follows is not before:
                self._moved()

    def _moved(self) -> None:
        """The process follows other sources from here on."""
        self.judge.follows_others()

    # --- the process itself ---
    async def _proxy_term(self, fault: Fault, node: FleetNode) -> None:
        if self.process.state == "up" and self.kernel.now >= self.process.paused_until \
                and await self.process.term():
            self._nothing(self.process.gone())
            await self._again(fault)

    async def _proxy_killed(self, fault: Fault, node: FleetNode) -> None:
        if self.process.state == "down":
            return
        self.process.kill()
        for client in self.clients:  # what it had taken may be lost, by the platform's word
            for id_ in client.open:
                self.judge.excuse(id_)
        if self.kernel.held(OWNER):
            self.judge.fault(self.kernel.now, "a killed process has descriptors")
        await self._again(fault)

    async def _again(self, fault: Fault) -> None:
        """A new process with the list that the last one had, which may be old as to drains."""
        await asyncio.sleep(fault.lasts)
        if self._ending:
            return
        self._starts += 1
        self._started_at = self.kernel.now
        fresh = fault.amount < 0.5
        states = {node.name: not fresh or node.name not in self.draining for node in self.nodes}
        known = parse_listing({"instances": [
            self._entry(node, "in_service" if states[node.name] else "terminating")
            for node in self.nodes]})
        self.note(f"the proxy starts again, with {'its last' if fresh else 'an old'} list")
        self._restarted(states)
        self.process.start(replace(self.config, known=known,
                                   seed=self.config.seed + self._starts), self.port)

    def _restarted(self, states: dict[str, bool]) -> None:
        self._listed = dict.fromkeys(name for name in states)
        self.judge.restarted(self.kernel.now, states)

    async def _proxy_paused(self, fault: Fault, node: FleetNode) -> None:
        if self.process.state == "up" and self.kernel.now >= self.process.paused_until:
            self.process.pause(fault.lasts)
            self.judge.paused(self.kernel.now, self.process.paused_until)

    async def _wall_steps(self, fault: Fault, node: FleetNode) -> None:
        self._wall_off += fault.amount


def replace_limits(config: Config, depth: int) -> Config:
    """The configuration with another depth: what an operator's reload may bring."""
    limits = msgspec.structs.replace(config.operator.limits, depth=depth)
    return replace(config, operator=msgspec.structs.replace(config.operator, limits=limits))


def _sent_at(writer: asyncio.StreamWriter, offset: int) -> float:
    sock = writer.get_extra_info("socket")._sock
    return float(sock.sent_at(offset))


def _undelivered(sock: Any) -> int:
    return int(sock.undelivered())


def play(plan: Plan) -> Outcome:
    """Run a plan once."""
    if plan.consul:
        from .consul import ConsulWorld  # which builds on this module

        return ConsulWorld(plan).run()
    return World(plan).run()
