"""What goes wrong in a rehearsal: one method a kind of event."""

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
from limebridge.virtual.session import during, refused, stalled

from .crowd import Front
from .keys import KeyChooser
from .scenario import Event, Scenario


class Troubles:
    """Played on what the morning has built."""

    scenario: Scenario
    kernel: Any  # the virtual one, or real.py's
    loop: Any  # likewise
    fleet: RuleChecker
    nodes: list[FleetNode]
    database: CustomerDatabase
    discovery: Discovery
    processes: list[Any]
    fronts: list[Front]
    events: list[tuple[float, str]]
    _began: float
    _sites: dict[str, str]
    _worked: dict[str, list[float]]
    keys: KeyChooser

    def random(self, purpose: str) -> Random:
        raise NotImplementedError

    def _entry(self, node: FleetNode, lifecycle: Lifecycle = "in_service") -> NodeEntry:
        raise NotImplementedError

    def _list(self, *entries: NodeEntry, reset: bool = False) -> None:
        raise NotImplementedError

    async def _node(
        self, kind: str, site: str, slots: int, speed: float, cold: bool = False
    ) -> FleetNode:
        raise NotImplementedError

    async def _restart(self, process: Any, port: int) -> None:
        raise NotImplementedError

    def _strike(self, event: Event) -> None:
        self.events.append((event.at, event.kind))
        task = self.loop.create_task(getattr(self, f"_{event.kind}")(event))
        task.add_done_callback(lambda done: self._struck(event, done))

    def _struck(self, event: Event, done: asyncio.Task[None]) -> None:
        """A trouble that could not be played, or a daemon that did not come back, fails the run."""
        if not done.cancelled() and (error := done.exception()) is not None:
            self.fleet.report_fault(self.kernel.now, f"{event.kind} at {event.at:g} s: {error}")

    def _some(self, event: Event) -> list[FleetNode]:
        here = [
            node for node in self.nodes if not event.site or self._sites[node.name] == event.site
        ]
        count = max(1, round(event.share * len(here)))
        return self.random(f"event/{event.at}/{event.kind}").sample(here, min(count, len(here)))

    async def _slow(self, event: Event) -> None:
        await during(event.lasts, self._some(event), "slowness", event.amount, 1.0)

    async def _stalls(self, event: Event) -> None:
        await stalled(event.lasts, self._some(event))

    async def _loses_answers(self, event: Event) -> None:
        await during(event.lasts, self._some(event), "reset_after", event.amount, None)

    async def _dies(self, event: Event) -> None:
        some = self._some(event)
        for node in some:
            await node.crash()
        await asyncio.sleep(event.lasts)
        for node in some:
            await self._back(node)

    async def _back(self, node: FleetNode) -> None:
        if not node.up:
            node.start_cold()
            await node.start(node.port)
            self._list(self._entry(node))

    async def _drains(self, event: Event) -> None:
        for node in self._some(event):
            self._list(self._entry(node, "terminating"))
            await asyncio.sleep(1.0)
            node.draining = True
            await asyncio.sleep(1.0)
            await node.crash()
            self._list(self._entry(node, "terminated"))
            await asyncio.sleep(event.lasts)
            await self._back(node)

    async def _site_lost(self, event: Event) -> None:
        await self._dies(msgspec.structs.replace(event, share=1.0))

    async def _joins(self, event: Event) -> None:
        box = self.scenario.box[0]
        speeds = self.random(f"joins/{event.at}")
        site = event.site or self.scenario.site[0].name
        for _ in range(max(1, round(event.share * len(self.nodes)))):
            speed = speeds.uniform(*box.speed)
            node = await self._node(box.name, site, box.slots, speed, cold=True)
            self._worked[node.name] = [0.0] * int(self.kernel.now - self._began)
            self._list(self._entry(node))

    async def _hot_key(self, event: Event) -> None:
        hot = (b"hot-%d" % int(event.at * 1000), event.share)
        self.keys.hot.append(hot)
        await asyncio.sleep(event.lasts)
        self.keys.hot.remove(hot)

    async def _scan(self, event: Event) -> None:
        self.keys.once += event.share
        await asyncio.sleep(event.lasts)
        self.keys.once -= event.share

    async def _database_slow(self, event: Event) -> None:
        self.database.slowness = event.amount
        await asyncio.sleep(event.lasts)
        self.database.slowness = 1.0

    async def _database_stops(self, event: Event) -> None:
        self.database.running.clear()
        await asyncio.sleep(event.lasts)
        self.database.running.set()

    async def _discovery_down(self, event: Event) -> None:
        await refused(event.lasts, self.discovery)

    async def _proxies_restart(self, event: Event) -> None:
        """One by one, as a deploy does."""
        for process, front in zip(self.processes, self.fronts, strict=True):
            await self._restart(process, front._port())
            await asyncio.sleep(event.lasts / len(self.processes))
