"""The events of a rehearsal: faults, drains, joins and changes of the load; a method per kind."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import msgspec

from limebridge.rules import RuleChecker
from limebridge.standins.database import CustomerDatabase
from limebridge.standins.discovery import Discovery
from limebridge.standins.fleet import FleetNode
from limebridge.standins.node_list import Lifecycle, NodeEntry
from limebridge.virtual.session import refuse_watches, set_temporarily, stall_nodes

from .clients import ClientPool
from .keys import KeyChooser
from .scenario import Event, Scenario


class EventInjector:
    """Applies a scenario's events to the system that the subclass has built.

    The method of an event has the name of its kind, with an underscore before it.
    """

    scenario: Scenario
    kernel: Any  # limebridge.virtual.Kernel, or RealTimeKernel in real.py
    loop: Any  # VirtualLoop, or the event loop of asyncio in real.py
    fleet_checker: RuleChecker
    nodes: list[FleetNode]
    database: CustomerDatabase
    discovery: Discovery
    processes: list[Any]
    pools: list[ClientPool]
    events: list[tuple[float, str]]
    _start: float
    _sites: dict[str, str]
    _busy_by_second: dict[str, list[float]]
    keys: KeyChooser

    def random(self, purpose: str) -> Random:
        """A random stream of its own for each purpose."""
        raise NotImplementedError

    def _node_entry(self, node: FleetNode, lifecycle: Lifecycle = "in_service") -> NodeEntry:
        raise NotImplementedError

    def _publish(self, *entries: NodeEntry, reset: bool = False) -> None:
        raise NotImplementedError

    async def _add_node(
        self, machine_type: str, site: str, slots: int, speed: float, cold: bool = False
    ) -> FleetNode:
        raise NotImplementedError

    async def _restart_proxy(self, process: Any, port: int) -> None:
        raise NotImplementedError

    def _start_event(self, event: Event) -> None:
        self.events.append((event.at, event.kind))
        task = self.loop.create_task(getattr(self, f"_{event.kind}")(event))
        task.add_done_callback(lambda ended: self._event_ended(event, ended))

    def _event_ended(self, event: Event, task: asyncio.Task[None]) -> None:
        """Fail the run if the event raised, for example because a daemon did not come back."""
        if not task.cancelled() and (error := task.exception()) is not None:
            self.fleet_checker.report_fault(
                self.kernel.now, f"{event.kind} at {event.at:g} s: {error}"
            )

    def _affected_nodes(self, event: Event) -> list[FleetNode]:
        """A random share of the nodes, or of those at the event's site; at least one."""
        candidates = [
            node for node in self.nodes if not event.site or self._sites[node.name] == event.site
        ]
        count = max(1, round(event.share * len(candidates)))
        return self.random(f"event/{event.at}/{event.kind}").sample(
            candidates, min(count, len(candidates))
        )

    async def _slow(self, event: Event) -> None:
        await set_temporarily(
            event.lasts, self._affected_nodes(event), "slowness", event.amount, 1.0
        )

    async def _stalls(self, event: Event) -> None:
        await stall_nodes(event.lasts, self._affected_nodes(event))

    async def _loses_answers(self, event: Event) -> None:
        await set_temporarily(
            event.lasts, self._affected_nodes(event), "reset_after", event.amount, None
        )

    async def _dies(self, event: Event) -> None:
        affected = self._affected_nodes(event)
        for node in affected:
            await node.crash()
        await asyncio.sleep(event.lasts)
        for node in affected:
            await self._restart_cold(node)

    async def _restart_cold(self, node: FleetNode) -> None:
        """Start a node that is down with an empty cache, and list it again."""
        if not node.up:
            node.start_cold()
            await node.start(node.port)
            self._publish(self._node_entry(node))

    async def _drains(self, event: Event) -> None:
        """Drain the nodes one by one: announced, refusing, stopped, and later started again."""
        for node in self._affected_nodes(event):
            self._publish(self._node_entry(node, "terminating"))
            await asyncio.sleep(1.0)
            node.draining = True
            await asyncio.sleep(1.0)
            await node.crash()
            self._publish(self._node_entry(node, "terminated"))
            await asyncio.sleep(event.lasts)
            await self._restart_cold(node)

    async def _site_lost(self, event: Event) -> None:
        await self._dies(msgspec.structs.replace(event, share=1.0))

    async def _joins(self, event: Event) -> None:
        box = self.scenario.box[0]
        rng = self.random(f"joins/{event.at}")
        site = event.site or self.scenario.site[0].name
        for _ in range(max(1, round(event.share * len(self.nodes)))):
            speed = rng.uniform(*box.speed)
            node = await self._add_node(box.name, site, box.slots, speed, cold=True)
            self._busy_by_second[node.name] = [0.0] * int(self.kernel.now - self._start)
            self._publish(self._node_entry(node))

    async def _hot_key(self, event: Event) -> None:
        hot = (b"hot-%d" % int(event.at * 1000), event.share)
        self.keys.hot_keys.append(hot)
        await asyncio.sleep(event.lasts)
        self.keys.hot_keys.remove(hot)

    async def _scan(self, event: Event) -> None:
        self.keys.once_share += event.share
        await asyncio.sleep(event.lasts)
        self.keys.once_share -= event.share

    async def _database_slow(self, event: Event) -> None:
        self.database.slowness = event.amount
        await asyncio.sleep(event.lasts)
        self.database.slowness = 1.0

    async def _database_stops(self, event: Event) -> None:
        self.database.running.clear()
        await asyncio.sleep(event.lasts)
        self.database.running.set()

    async def _discovery_down(self, event: Event) -> None:
        await refuse_watches(event.lasts, self.discovery)

    async def _proxies_restart(self, event: Event) -> None:
        """Restart the proxies one by one, as a deployment does."""
        for process, pool in zip(self.processes, self.pools, strict=True):
            await self._restart_proxy(process, pool._port())
            await asyncio.sleep(event.lasts / len(self.processes))
