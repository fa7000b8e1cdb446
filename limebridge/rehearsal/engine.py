"""One run of a scenario on the virtual clock: proxies, nodes, database, clients, judged as it goes.

The same seed gives the same run to the last digit, on any machine: one loop, one clock, a stream of
random numbers for each purpose.  Every proxy is the daemon's own code on sockets of its own; a
judge for each of them follows its requests and drains, one for the fleet follows cold nodes.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from limebridge.rules import RuleChecker, RuleLimits
from limebridge.standins.configuration import SETTINGS, configuration
from limebridge.standins.database import CustomerDatabase
from limebridge.standins.discovery import Discovery
from limebridge.standins.fleet import FleetNode, IdempotencyKeys
from limebridge.standins.node_list import Lifecycle, ListChange, NodeEntry
from limebridge.virtual import Kernel, VirtualLoop
from limebridge.virtual.costs import measured
from limebridge.virtual.process import Process
from limebridge.virtual.received import SourceObserver
from limebridge.virtual.session import quiet, run, sent_at
from violetroute.config import parse

from .attainable import STEP, Room, attainable, compare, troubles
from .crowd import Front
from .keys import KeyChooser
from .load import LoadGenerator
from .loss_attribution import Watch, costs, totals
from .result import Result
from .scenario import Scenario, spread
from .score import WINDOW, Asked, score
from .troubles import Troubles

if TYPE_CHECKING:
    from .fleet import Talk

WALL = 1.7e9  # Unix s at the kernel's 0
REST = 4.0  # s after the last question
TOLD = 15  # requests of the worst ten seconds, by name
STARTS = 0.5  # s until the first question


class Morning(Troubles):
    """Everything of one run."""

    _talk: Talk | None = None

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.kernel = Kernel(seed)
        self.loop = VirtualLoop(self.kernel)
        self.asked: list[Asked] = []
        self.events: list[tuple[float, str]] = []
        self.crossed = self.commands = 0
        self._partial, self._began = False, 0.0
        self.grace = 0.0  # s that clients wait beyond what they say
        self._sites: dict[str, str] = {}  # of proxies by owner, of nodes by name
        self._ports: dict[int, str] = {}  # sites of nodes
        self._worked: dict[str, list[float]] = {}
        self._slots: dict[str, int] = {}
        self.keys = KeyChooser(scenario.keys)
        self._speeds: dict[str, float] = {}
        self.rooms: list[Room] = []
        self._watch = Watch()
        effects = {c.name: c.effect for c in scenario.classes}
        terms = RuleLimits(
            effects, cold_share=scenario.nodes.cold_from, warm_up=scenario.nodes.warm
        )
        self.judges = {f"p{n}": RuleChecker(terms) for n in range(scenario.proxies.count)}
        self.fleet = RuleChecker(terms)

    def random(self, purpose: str) -> Random:  # a stream of its own for each purpose
        name = self.scenario.run.drawn_as or self.scenario.name
        return Random(f"{name}/{self.seed}/{purpose}")

    # --- what nodes saw ---
    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        owner = id_.partition("-")[0]
        judge = self.judges.get(owner)
        if judge is not None:
            judge.arrived(at, node, id_, sent_at)
        self.fleet._check_cold_load(
            at, node, self.fleet._nodes.setdefault(node, _node(self.fleet, node))
        )
        self._watch.came(id_, at - self._began, node)
        self.commands += 1
        self.crossed += self._sites.get(owner) != self._sites.get(node)

    def accepted(self, at: float, node: str, id_: str) -> None:
        judge = self.judges.get(id_.partition("-")[0])
        if judge is not None:
            judge.accepted(at, node, id_)

    def effect(self, at: float, node: str, id_: str) -> None:
        judge = self.judges.get(id_.partition("-")[0])
        if judge is not None:
            judge.effect(at, node, id_)

    def started(self, at: float, node: str, capacity: float) -> None:
        self.fleet.started(at, node, capacity)

    def _line(self, owner: str, port: int, value: ListChange, burst: bool) -> None:
        for entry in value["instances"]:
            self.judges[owner].node_reported(
                self.kernel.now,
                entry["instanceId"],
                entry["lifecycle"] == "in_service",
                burst=burst,
            )

    # --- the run ---
    def run(self) -> Result:
        try:
            with quiet(logging.CRITICAL):
                run(
                    self.loop,
                    self._play(),
                    lambda what: self.fleet.report_fault(self.kernel.now, what),
                )
        except KeyboardInterrupt:
            self._partial = True
        return self.result()

    def result(self) -> Result:
        """What came of it, so far."""
        broken = [b for judge in (*self.judges.values(), self.fleet) for b in judge.violations]
        length = self.scenario.run.seconds
        if self._partial:  # what was asked in the last moments had no time for its answer
            length = max(1.0, min(length, self.kernel.now - self._began - REST))
        seconds = range(int(self._began), int(self._began) + int(length) + 1)
        found = score((a for a in self.asked if a.at < length), length)
        worst = [
            a for a in self.asked if 0.0 <= a.at - found.worst_at < WINDOW and a.earned < a.worth
        ]
        worst.sort(key=lambda a: (a.earned - a.worth, a.at))
        in_run = [a for a in self.asked if a.at < length]
        could = attainable(in_run, self.rooms or [Room(0.0, 0.0)], len(found.seconds))
        work = [0.0] * len(found.seconds)
        for a in in_run:
            work[min(len(work) - 1, int(a.at))] += a.work
        span = troubles(
            ((e.at, min(length, e.at + e.lasts)) for e in self.scenario.event), work, self.rooms
        )
        seen = self._watch.seen(self._worked, self._slots)
        return Result(
            self.scenario,
            self.seed,
            found,
            broken,
            [self.database.fetches_by_second.get(second, 0) for second in seconds],
            self._worked,
            self.crossed,
            self.commands,
            self.events,
            self._slots,
            partial=self._partial,
            unserved=worst[:TOLD],
            share=compare(found.seconds, could, span),
            costs=costs(in_run, seen),
            blame=totals(in_run, seen),
        )

    async def _play(self) -> None:
        scenario = self.scenario
        await self._build()
        await asyncio.sleep(STARTS)
        self._began = self.kernel.now
        if self._talk is not None:
            self._talk.settle(self.kernel.now)
        for front in self.fronts:
            front.began = self._began
        for event in scenario.event:
            self.loop.call_at(self._began + event.at, self._strike, event)
        self.loop.call_at(self._began + 1.0, self._look)
        self._measure()
        load = LoadGenerator(
            scenario, self.kernel, self.fronts, self._sites, self.keys, self.database, self.asked
        )
        await load.run(self._began, self.random("load"))
        await asyncio.sleep(REST)
        for front in self.fronts:
            front.close()
        # All at once: one after another 710 of them would take six minutes of virtual time.
        await asyncio.gather(*(p.term() for p in self.processes if p.state == "up"))
        for process in self.processes:
            self._left(process)
        for judge in self.judges.values():
            judge.finish(self.kernel.now)
        await asyncio.gather(*(node.crash() for node in self.nodes))
        await self.discovery.stop()

    def _left(self, process: Process) -> None:
        """An exited process holds nothing any more."""
        if held := self.kernel.held(process.owner):
            self.judges[process.owner].report_fault(
                self.kernel.now, f"{process.owner} left {held} descriptors open at its end"
            )

    async def _build(self) -> None:
        scenario = self.scenario
        self._world()
        plan = scenario.database
        self.database = CustomerDatabase(
            plan.at_once,
            plan.latency_ms / 1000.0,
            plan.waiting,
            self.seed,
            plan.refusal_ms / 1000.0,
        )
        windows = [c.window_ms for c in scenario.classes if c.effect == "token"]
        self.effects = IdempotencyKeys(max(windows, default=1000.0) / 1000.0)
        self.discovery = await Discovery().start()
        self.nodes: list[FleetNode] = []
        self._kinds: dict[str, str] = {}
        speeds = self.random("speeds")
        for box in scenario.box:
            for site, count in sorted(box.at.items()):
                for _ in range(count):
                    await self._node(box.name, site, box.slots, speeds.uniform(*box.speed))
        self._hear()
        self._list(*(self._entry(node) for node in self.nodes), reset=True)
        self.processes: list[Any] = []
        self.fronts: list[Front] = []
        sites = [site.name for site in scenario.site]
        shares = [site.share for site in scenario.site]
        caps = {"connectTimeoutMs": 120.0, "secondCopies": True, "retryAfter": True}
        settings = {
            "classes": [c.told() for c in scenario.classes],
            "caps": SETTINGS["caps"] | caps,
        }
        homes = spread(sites, shares, scenario.proxies.count)
        for number in range(scenario.proxies.count):
            owner, site = f"p{number}", homes[number]
            self._sites[owner] = site
            raw = configuration(
                self.discovery.port,
                [self._entry(n) for n in self.nodes],
                sockets=scenario.proxies.descriptors,
                zone=site,
                balancers=scenario.proxies.count,
                **settings,
            )
            raw |= {"seed": f"{self.seed * 1000 + number:x}", "name": owner}
            process, port = await self._daemon(owner, raw)
            self.processes.append(process)
            self.fronts.append(
                Front(
                    self.loop,
                    owner,
                    lambda port=port: port,  # type: ignore[misc]
                    scenario.clients,
                    self.judges[owner],
                    f"{self.seed}/clients/{owner}",
                    self.grace,
                )
            )

    # --- what real.py does otherwise ---
    def _world(self) -> None:
        self.wall = WALL  # Unix s at the clock's 0
        self.kernel.extra_delay = self._distance
        if self.scenario.proxies.fleet:
            from .fleet import Talk  # an older build that is played has other names there

            self._talk = Talk(self.scenario, self.kernel, self.random("talk"))

    def _hear(self) -> None:
        """Judge by the bytes that each process was told."""
        self.kernel.link(self.discovery.port).latency = 0.001
        self._owners: dict[str, None] = {}
        source_observer = SourceObserver(self.kernel, self._owners, self._line, lambda *what: None)
        source_observer.follow(self.discovery.port)

    def _list(self, *entries: NodeEntry, reset: bool = False) -> None:
        self.discovery.publish(*entries, reset=reset)

    async def _daemon(self, owner: str, raw: dict[str, Any]) -> tuple[Any, int]:
        """A process of the daemon, and its port."""
        cores = self.scenario.proxies.cores
        self._owners[owner] = None
        self.kernel.limit(owner, self.scenario.proxies.descriptors)
        process = Process(
            self.kernel,
            self.loop,
            lambda: self.kernel.now + WALL,
            owner,
            measured().over(cores) if cores else None,
        )
        process.create_sharing = None if self._talk is None else self._talk.join
        return process, process.start(parse(raw, self.scenario.operator))

    async def _restart(self, process: Any, port: int) -> None:
        config = process.proxy_config
        if await process.term():  # its last timers may run out: they are told nothing any more
            self._left(process)
            self.judges[process.owner].proxy_restarted(self.kernel.now, {})
            process.start(config, port)

    def _links(self, port: int) -> None:
        link = self.kernel.link(port)
        link.latency = self.scenario.network.within_ms / 1000.0
        link.jitter = self.scenario.network.jitter_ms / 1000.0

    def _sent_at(self) -> Callable[[asyncio.StreamWriter, int], float] | None:
        return sent_at

    async def _node(
        self, kind: str, site: str, slots: int, speed: float, cold: bool = False
    ) -> FleetNode:
        scenario = self.scenario
        name = f"{site}-{len(self.nodes)}"
        work = {c.name: c.work_ms / 1000.0 / speed for c in scenario.classes}
        mean = sum(c.share * work[c.name] for c in scenario.classes) / sum(
            c.share for c in scenario.classes
        )
        node = FleetNode(
            name,
            self.database,
            self.effects,
            self,
            f"{self.seed}/{name}",
            slots,
            scenario.nodes.waiting,
            mean,
            scenario.nodes.cold_from,
            scenario.nodes.warm,
            self._sent_at(),
            work,
            scenario.nodes.keeps,
        )
        self._sites[name], self._kinds[name] = site, kind
        await node.start()
        self._ports[node.port] = site
        self._links(node.port)
        if cold:
            node.start_cold()
        self.nodes.append(node)
        self._worked[name], self._slots[name] = [], slots
        self._speeds[name] = speed
        return node

    def _distance(self, owner: str, port: int) -> float:
        there = self._ports.get(port)
        if there is None or owner not in self._sites or there == self._sites[owner]:
            return 0.0
        return self.scenario.network.between_ms / 1000.0

    def _entry(self, node: FleetNode, lifecycle: Lifecycle = "in_service") -> NodeEntry:
        born = 0.0 if node.cold_since is None else (node.cold_since + self.wall) * 1000.0
        return node.entry(
            node.name,
            lifecycle,
            zone=self._sites[node.name],
            machineType=self._kinds[node.name],
            startedAtMs=born,
        )

    # --- what is looked at meanwhile ---
    def _measure(self) -> None:
        """What there is to be had in the bin that begins."""
        now = self.kernel.now
        if now - self._began >= self.scenario.run.seconds + REST:
            return
        work = 0.0
        for node in self.nodes:
            able = node.available_capacity(now)
            work += self._speeds[node.name] * able
            self._watch.looked(node.name, now - self._began, able)
        plan, flows = self.scenario.database, self.database.running.is_set()
        fetches = flows * plan.at_once / (plan.latency_ms / 1000.0 * self.database.slowness)
        self.rooms.append(Room(work * STEP, fetches * STEP))
        self.loop.call_at(self._began + STEP * len(self.rooms), self._measure)

    def _look(self) -> None:
        """What each node worked in the second before."""
        for node in self.nodes:
            done = self._worked[node.name]
            done.append(round((node.busy_seconds - sum(done)), 6))
        if self.kernel.now < self._began + self.scenario.run.seconds:
            self.loop.call_at(self.kernel.now + 1.0, self._look)


def _node(judge: RuleChecker, name: str) -> Any:
    """The fleet's judge counts commands to a node that it may not have met."""
    judge.node_reported(0.0, name, True)
    return judge._nodes[name]


def play(scenario: Scenario, seed: int | None = None) -> Result:
    """One run."""
    return Morning(scenario, scenario.run.seed if seed is None else seed).run()
