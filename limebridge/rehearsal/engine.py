"""Runs a scenario on the virtual clock, with proxies, nodes, database, clients and rule checkers.

The same seed gives exactly the same run on any machine: there is one loop, one clock, and a random
stream per purpose.  Every proxy is the daemon's own code on sockets of its own.  A rule checker per
proxy checks its requests and drains; one for the fleet checks the load on cold nodes.
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
from limebridge.virtual.costs import load_costs
from limebridge.virtual.process import Process
from limebridge.virtual.received import SourceObserver
from limebridge.virtual.session import isolated_run, run, sent_at
from violetroute.config import parse

from .attainable import BIN_S, Capacity, attainable_worth, attained_share, fault_span
from .clients import ClientPool
from .events import EventInjector
from .keys import KeyChooser
from .load import LoadGenerator
from .loss_attribution import RunRecorder, costs_by_second, loss_shares
from .result import Result
from .scenario import Scenario, distribute
from .score import WORST_WINDOW_S, RequestRecord, score

if TYPE_CHECKING:
    from .fleet import ProxySharing

UNIX_START_S = 1.7e9  # Unix time at time 0 of the kernel
COOL_DOWN_S = 4.0  # s from the end of the load until the proxies are stopped
MAX_UNSERVED = 15  # requests of the worst ten seconds that a result lists
START_DELAY_S = 0.5  # s before the load begins


class Rehearsal(EventInjector):
    """One run: the whole emulated system, its load and its events."""

    _sharing: ProxySharing | None = None

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.kernel = Kernel(seed)
        self.loop = VirtualLoop(self.kernel)
        self.requests: list[RequestRecord] = []
        self.events: list[tuple[float, str]] = []
        self.cross_site_commands = self.commands = 0
        self._partial, self._start = False, 0.0
        self.grace = 0.0  # s that clients wait beyond the deadline that they announce
        self._sites: dict[str, str] = {}  # sites by a proxy's owner and by a node's name
        self._ports: dict[int, str] = {}  # site by port of a node
        self._busy_by_second: dict[str, list[float]] = {}
        self._slots: dict[str, int] = {}
        self.keys = KeyChooser(scenario.keys)
        self._speeds: dict[str, float] = {}
        self.bins: list[Capacity] = []
        self._recorder = RunRecorder()
        effects = {c.name: c.effect for c in scenario.classes}
        limits = RuleLimits(
            effects, cold_share=scenario.nodes.cold_from, warm_up=scenario.nodes.warm
        )
        self.checkers = {f"p{n}": RuleChecker(limits) for n in range(scenario.proxies.count)}
        self.fleet_checker = RuleChecker(limits)

    def random(self, purpose: str) -> Random:
        """A random stream of its own for each purpose, determined by scenario and seed."""
        name = self.scenario.run.drawn_as or self.scenario.name
        return Random(f"{name}/{self.seed}/{purpose}")

    # --- called by the nodes (NodeObserver) ---
    def arrived(self, at: float, node: str, id_: str, sent_at: float) -> None:
        owner = id_.partition("-")[0]
        checker = self.checkers.get(owner)
        if checker is not None:
            checker.arrived(at, node, id_, sent_at)
        self.fleet_checker._check_cold_load(
            at, node, self.fleet_checker._nodes.setdefault(node, _node_of(self.fleet_checker, node))
        )
        self._recorder.record_arrival(id_, at - self._start, node)
        self.commands += 1
        self.cross_site_commands += self._sites.get(owner) != self._sites.get(node)

    def accepted(self, at: float, node: str, id_: str) -> None:
        checker = self.checkers.get(id_.partition("-")[0])
        if checker is not None:
            checker.accepted(at, node, id_)

    def effect(self, at: float, node: str, id_: str) -> None:
        checker = self.checkers.get(id_.partition("-")[0])
        if checker is not None:
            checker.effect(at, node, id_)

    def started(self, at: float, node: str, capacity: float) -> None:
        self.fleet_checker.started(at, node, capacity)

    def _on_list(self, owner: str, port: int, value: ListChange, burst: bool) -> None:
        for entry in value["instances"]:
            self.checkers[owner].node_reported(
                self.kernel.now,
                entry["instanceId"],
                entry["lifecycle"] == "in_service",
                burst=burst,
            )

    # --- the run ---
    def run(self) -> Result:
        """Run to the end, or until Ctrl-C: then the result is partial."""
        try:
            with isolated_run(logging.CRITICAL):
                run(
                    self.loop,
                    self._run_scenario(),
                    lambda what: self.fleet_checker.report_fault(self.kernel.now, what),
                )
        except KeyboardInterrupt:
            self._partial = True
        return self.result()

    def result(self) -> Result:
        """Evaluate the run so far."""
        violated = [v for c in (*self.checkers.values(), self.fleet_checker) for v in c.violations]
        duration_s = self.scenario.run.seconds
        if self._partial:  # leave out the last requests, whose answers were still due
            duration_s = max(1.0, min(duration_s, self.kernel.now - self._start - COOL_DOWN_S))
        seconds = range(int(self._start), int(self._start) + int(duration_s) + 1)
        scored = score((r for r in self.requests if r.at < duration_s), duration_s)
        worst = [
            r
            for r in self.requests
            if 0.0 <= r.at - scored.worst_at < WORST_WINDOW_S and r.earned < r.worth
        ]
        worst.sort(key=lambda r: (r.earned - r.worth, r.at))
        in_run = [r for r in self.requests if r.at < duration_s]
        bound = attainable_worth(in_run, self.bins or [Capacity(0.0, 0.0)], len(scored.seconds))
        work = [0.0] * len(scored.seconds)
        for r in in_run:
            work[min(len(work) - 1, int(r.at))] += r.work
        span = fault_span(
            ((e.at, min(duration_s, e.at + e.lasts)) for e in self.scenario.event), work, self.bins
        )
        observations = self._recorder.observations(self._busy_by_second, self._slots)
        return Result(
            self.scenario,
            self.seed,
            scored,
            violated,
            [self.database.fetches_by_second.get(second, 0) for second in seconds],
            self._busy_by_second,
            self.cross_site_commands,
            self.commands,
            self.events,
            self._slots,
            partial=self._partial,
            unserved=worst[:MAX_UNSERVED],
            share=attained_share(scored.seconds, bound, span),
            costs=costs_by_second(in_run, observations),
            blame=loss_shares(in_run, observations),
        )

    async def _run_scenario(self) -> None:
        scenario = self.scenario
        await self._build()
        await asyncio.sleep(START_DELAY_S)
        self._start = self.kernel.now
        if self._sharing is not None:
            self._sharing.introduce_all(self.kernel.now)
        for pool in self.pools:
            pool.started_at = self._start
        for event in scenario.event:
            self.loop.call_at(self._start + event.at, self._start_event, event)
        self.loop.call_at(self._start + 1.0, self._sample_busy_time)
        self._sample_capacity()
        load = LoadGenerator(
            scenario, self.kernel, self.pools, self._sites, self.keys, self.database, self.requests
        )
        await load.run(self._start, self.random("load"))
        await asyncio.sleep(COOL_DOWN_S)
        for pool in self.pools:
            pool.close()
        # Concurrently: stopping 710 proxies in turn would take six minutes of virtual time.
        await asyncio.gather(*(p.term() for p in self.processes if p.state == "up"))
        for process in self.processes:
            self._check_leftovers(process)
        for checker in self.checkers.values():
            checker.finish(self.kernel.now)
        await asyncio.gather(*(node.crash() for node in self.nodes))
        await self.discovery.stop()

    def _check_leftovers(self, process: Process) -> None:
        """Report a fault if an exited process still has open file descriptors."""
        if held := self.kernel.held(process.owner):
            self.checkers[process.owner].report_fault(
                self.kernel.now, f"{process.owner} left {held} descriptors open at its end"
            )

    async def _build(self) -> None:
        scenario = self.scenario
        self._set_up_network()
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
        self._machine_types: dict[str, str] = {}
        speeds = self.random("speeds")
        for box in scenario.box:
            for site, count in sorted(box.at.items()):
                for _ in range(count):
                    await self._add_node(box.name, site, box.slots, speeds.uniform(*box.speed))
        self._observe_sources()
        self._publish(*(self._node_entry(node) for node in self.nodes), reset=True)
        self.processes: list[Any] = []
        self.pools: list[ClientPool] = []
        sites = [site.name for site in scenario.site]
        shares = [site.share for site in scenario.site]
        caps = {"connectTimeoutMs": 120.0, "secondCopies": True, "retryAfter": True}
        settings = {
            "classes": [c.to_settings() for c in scenario.classes],
            "caps": SETTINGS["caps"] | caps,
        }
        sites_of_proxies = distribute(sites, shares, scenario.proxies.count)
        for number in range(scenario.proxies.count):
            owner, site = f"p{number}", sites_of_proxies[number]
            self._sites[owner] = site
            raw = configuration(
                self.discovery.port,
                [self._node_entry(n) for n in self.nodes],
                sockets=scenario.proxies.descriptors,
                zone=site,
                balancers=scenario.proxies.count,
                **settings,
            )
            raw |= {"seed": f"{self.seed * 1000 + number:x}", "name": owner}
            process, port = await self._start_proxy(owner, raw)
            self.processes.append(process)
            self.pools.append(
                ClientPool(
                    self.loop,
                    owner,
                    lambda port=port: port,  # type: ignore[misc]
                    scenario.clients,
                    self.checkers[owner],
                    f"{self.seed}/clients/{owner}",
                    self.grace,
                )
            )

    # --- overridden in real.py ---
    def _set_up_network(self) -> None:
        self.epoch = UNIX_START_S  # Unix time at time 0 of the clock
        self.kernel.extra_delay = self._cross_site_delay
        if self.scenario.proxies.fleet:
            from .fleet import ProxySharing  # only if needed: older builds have other names there

            self._sharing = ProxySharing(self.scenario, self.kernel, self.random("talk"))

    def _observe_sources(self) -> None:
        """Report list changes to a proxy's checker when their bytes reach the proxy's process."""
        self.kernel.link(self.discovery.port).latency = 0.001
        self._owners: dict[str, None] = {}
        observer = SourceObserver(self.kernel, self._owners, self._on_list, lambda *what: None)
        observer.follow(self.discovery.port)

    def _publish(self, *entries: NodeEntry, reset: bool = False) -> None:
        self.discovery.publish(*entries, reset=reset)

    async def _start_proxy(self, owner: str, raw: dict[str, Any]) -> tuple[Any, int]:
        """Start a daemon process; return it and its port."""
        cores = self.scenario.proxies.cores
        self._owners[owner] = None
        self.kernel.limit(owner, self.scenario.proxies.descriptors)
        process = Process(
            self.kernel,
            self.loop,
            lambda: self.kernel.now + UNIX_START_S,
            owner,
            load_costs().for_cores(cores) if cores else None,
        )
        process.create_sharing = None if self._sharing is None else self._sharing.create_sharing
        return process, process.start(parse(raw, self.scenario.operator))

    async def _restart_proxy(self, process: Any, port: int) -> None:
        config = process.proxy_config
        if await process.term():  # leftover timers may still fire, but receive nothing any more
            self._check_leftovers(process)
            self.checkers[process.owner].proxy_restarted(self.kernel.now, {})
            process.start(config, port)

    def _set_link_delay(self, port: int) -> None:
        link = self.kernel.link(port)
        link.latency = self.scenario.network.within_ms / 1000.0
        link.jitter = self.scenario.network.jitter_ms / 1000.0

    def _sent_at(self) -> Callable[[asyncio.StreamWriter, int], float] | None:
        return sent_at

    async def _add_node(
        self, machine_type: str, site: str, slots: int, speed: float, cold: bool = False
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
        self._sites[name], self._machine_types[name] = site, machine_type
        await node.start()
        self._ports[node.port] = site
        self._set_link_delay(node.port)
        if cold:
            node.start_cold()
        self.nodes.append(node)
        self._busy_by_second[name], self._slots[name] = [], slots
        self._speeds[name] = speed
        return node

    def _cross_site_delay(self, owner: str, port: int) -> float:
        site = self._ports.get(port)
        if site is None or owner not in self._sites or site == self._sites[owner]:
            return 0.0
        return self.scenario.network.between_ms / 1000.0

    def _node_entry(self, node: FleetNode, lifecycle: Lifecycle = "in_service") -> NodeEntry:
        start_ms = 0.0 if node.cold_since is None else (node.cold_since + self.epoch) * 1000.0
        return node.entry(
            node.name,
            lifecycle,
            zone=self._sites[node.name],
            machineType=self._machine_types[node.name],
            startedAtMs=start_ms,
        )

    # --- sampled during the run ---
    def _sample_capacity(self) -> None:
        """Sample the capacity of nodes and database at the start of a bin of `attainable`."""
        now = self.kernel.now
        if now - self._start >= self.scenario.run.seconds + COOL_DOWN_S:
            return
        work = 0.0
        for node in self.nodes:
            capacity = node.available_capacity(now)
            work += self._speeds[node.name] * capacity
            self._recorder.record_capacity(node.name, now - self._start, capacity)
        plan, running = self.scenario.database, self.database.running.is_set()
        fetches = running * plan.at_once / (plan.latency_ms / 1000.0 * self.database.slowness)
        self.bins.append(Capacity(work * BIN_S, fetches * BIN_S))
        self.loop.call_at(self._start + BIN_S * len(self.bins), self._sample_capacity)

    def _sample_busy_time(self) -> None:
        """Record each node's seconds of work during the past second."""
        for node in self.nodes:
            busy = self._busy_by_second[node.name]
            busy.append(round((node.busy_seconds - sum(busy)), 6))
        if self.kernel.now < self._start + self.scenario.run.seconds:
            self.loop.call_at(self.kernel.now + 1.0, self._sample_busy_time)


def _node_of(checker: RuleChecker, name: str) -> Any:
    """The fleet checker's record of a node, reported as in service: it gets no node lists."""
    checker.node_reported(0.0, name, True)
    return checker._nodes[name]


def run_scenario(scenario: Scenario, seed: int | None = None) -> Result:
    """Run a scenario on the virtual clock, by default with the scenario's own seed."""
    return Rehearsal(scenario, scenario.run.seed if seed is None else seed).run()
