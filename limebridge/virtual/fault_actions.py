"""Faults of an explored run: method `_KIND` injects the fault of that kind."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import msgspec

from limebridge.rules import RuleChecker
from limebridge.standins.discovery import Discovery
from limebridge.standins.fleet import FleetNode
from limebridge.standins.node_list import Lifecycle, NodeEntry
from violetroute.config import Config
from violetroute.membership import parse_listing
from violetroute.transport import Address

from .client import Client
from .kernel import Kernel
from .plan import Fault, Plan
from .process import OWNER, Process
from .received import SourceObserver
from .session import refuse_watches, set_temporarily, stall_nodes

MALFORMED_INPUTS = (
    b"\x00\xff noise",
    b"*4\r\n$7\r\nOBJ.G",
    b"*999999\r\n",
    b"*1\r\n$4\r\nNOPE\r\n",
    b"*1\r\n$4\r\nPING\r\n" * 40,
)


class FaultActions:
    """Base class of `World` with the methods that inject faults; `World` sets the attributes."""

    plan: Plan
    kernel: Kernel
    checker: RuleChecker
    source_observer: SourceObserver
    nodes: list[FleetNode]
    clients: list[Client]
    discovery: Discovery
    process: Process
    config: Config
    port: int
    draining: dict[str, None]  # nodes reported as draining
    note: Callable[[str], None]
    _replaced_discoveries: list[Discovery]
    _listed: dict[str, None]
    _starts: int
    _started_at: float
    _ending: bool
    _wall_offset: float

    def _entry(self, node: FleetNode, lifecycle: Lifecycle = "in_service") -> NodeEntry:
        raise NotImplementedError

    def _report_leftovers(self, leftovers: dict[str, int]) -> None:
        raise NotImplementedError

    def _publish_replacement(self, old: NodeEntry, node: FleetNode) -> None:
        """Publish that `node` has replaced the node of entry `old` at its address."""
        self.discovery.publish(old, self._entry(node))

    def _publish(self, node: FleetNode, lifecycle: Lifecycle) -> None:
        """Publish the node's state; a node that is not in service counts as draining."""
        if lifecycle == "in_service":
            self.draining.pop(node.name, None)
        else:
            self.draining[node.name] = None
        self.note(f"told: {node.name} {lifecycle}")
        self.discovery.publish(self._entry(node, lifecycle))

    def _sources_changed(self) -> None:
        """Report to the checker that the process now uses other list sources."""
        self.checker.sources_replaced()

    def _proxy_restarted(self, states: dict[str, bool]) -> None:
        """Report a restart to the checker; `states`: node -> in service, in the initial list."""
        self._listed = dict.fromkeys(name for name in states)
        self.checker.proxy_restarted(self.kernel.now, states)

    # --- nodes ---
    async def _node_slow(self, fault: Fault, node: FleetNode) -> None:
        await set_temporarily(fault.lasts, [node], "slowness", max(1.0, fault.amount), 1.0)

    async def _node_stalls(self, fault: Fault, node: FleetNode) -> None:
        await stall_nodes(fault.lasts, [node])

    async def _node_swallows(self, fault: Fault, node: FleetNode) -> None:
        await set_temporarily(fault.lasts, [node], "no_answer_share", fault.amount, 0.0)

    async def _node_spoils(self, fault: Fault, node: FleetNode) -> None:
        await set_temporarily(fault.lasts, [node], "malformed_share", fault.amount, 0.0)

    async def _node_errors(self, fault: Fault, node: FleetNode) -> None:
        await set_temporarily(fault.lasts, [node], "error_share", fault.amount, 0.0)

    async def _node_resets(self, fault: Fault, node: FleetNode) -> None:
        for writer in list(node.open):
            writer.transport.abort()

    async def _node_closes_idle(self, fault: Fault, node: FleetNode) -> None:
        for writer in list(node.open):
            writer.close()

    async def _node_dies(self, fault: Fault, node: FleetNode) -> None:
        await node.crash()
        await asyncio.sleep(fault.lasts)
        await self._start_again(node)

    async def _start_again(self, node: FleetNode) -> None:
        if node.port not in self.kernel.listening:
            node.start_cold()
            await node.start(node.port)
            self._publish(node, "in_service")

    async def _node_drains(self, fault: Fault, node: FleetNode) -> None:
        self._publish(node, "terminating")
        await asyncio.sleep(0.5 + fault.lasts)
        node.draining = True
        await asyncio.sleep(fault.lasts)
        await node.crash()
        self._publish(node, "terminated")
        await asyncio.sleep(fault.lasts)
        await self._start_again(node)

    async def _node_replaced(self, fault: Fault, node: FleetNode) -> None:
        """A cold node with another id takes over the address; the list is updated late."""
        await node.crash()
        await asyncio.sleep(fault.lasts)
        if node.port not in self.kernel.listening:
            # The node gets its new id only now, since updates sent meanwhile concern the old node.
            old = self._entry(node, "terminated")
            node.name = f"{node.name}'"
            node.start_cold()
            await node.start(node.port)
            self.draining.pop(node.name, None)  # an earlier drain concerned an older node
            self._publish_replacement(old, node)

    async def _block_path(self, fault: Fault, port: int, to: bool, back: bool) -> None:
        self.kernel.block(port, to, back)
        await asyncio.sleep(fault.lasts)
        self.kernel.heal(port)

    async def _path_cut(self, fault: Fault, node: FleetNode) -> None:
        await self._block_path(fault, node.port, True, True)

    async def _path_cut_to(self, fault: Fault, node: FleetNode) -> None:
        await self._block_path(fault, node.port, True, False)

    async def _path_cut_back(self, fault: Fault, node: FleetNode) -> None:
        await self._block_path(fault, node.port, False, True)

    async def _discovery_cut(self, fault: Fault, node: FleetNode) -> None:
        await self._block_path(fault, self.discovery.port, True, True)

    async def _discovery_ends(self, fault: Fault, node: FleetNode) -> None:
        await refuse_watches(fault.lasts, self.discovery)

    async def _discovery_lies(self, fault: Fault, node: FleetNode) -> None:
        """Discovery reports a healthy node as terminated, later as in service again."""
        self._publish(node, "terminated")
        await asyncio.sleep(fault.lasts)
        if node.port in self.kernel.listening:
            self._publish(node, "in_service")

    async def _discovery_moves(self, fault: Fault, node: FleetNode) -> None:
        """Move to a new discovery; the old one still runs and reports every node in service."""
        old, self.discovery = self.discovery, await Discovery().start()
        self._replaced_discoveries.append(old)
        self.source_observer.follow(self.discovery.port)
        link = self.kernel.link(self.discovery.port)
        link.latency, link.jitter, link.cut = 0.000_5, self.plan.jitter, self.plan.cut
        entries = [
            self._entry(one, "in_service" if one.name not in self.draining else "terminating")
            for one in self.nodes
        ]
        self.discovery.publish(*entries, reset=True)
        self.config = replace(
            self.config, discovery=Address(self.config.discovery.host, self.discovery.port)
        )
        await self._reload_config(lambda: self.config)
        for _ in range(3):
            await asyncio.sleep(0.1 + fault.lasts / 3)
            old.publish(*(self._entry(one) for one in self.nodes))

    async def _clients_leave(self, fault: Fault, node: FleetNode) -> None:
        for client in self.clients[:: 2 if fault.amount < 0.5 else 1]:
            client.leave()

    async def _client_rude(self, fault: Fault, node: FleetNode) -> None:
        random = self.kernel.random("rude")
        for _ in range(1 + int(10 * fault.amount)):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(random.choice(MALFORMED_INPUTS))
                await asyncio.sleep(fault.lasts / 5)
                writer.transport.abort()
            except OSError:
                pass

    async def _reload(self, fault: Fault, node: FleetNode) -> None:
        depth = 64 if fault.amount < 0.5 else 128
        await self._reload_config(lambda: replace_limits(self.config, depth))

    async def _reload_config(self, read: Callable[[], Config]) -> None:
        """Deliver SIGHUP: ignored unless the process is up, delayed while the process is paused.

        `read` is called when the signal is handled, so the latest configuration is applied.
        """
        while self.kernel.now < self.process.paused_until:
            await asyncio.sleep(self.process.paused_until - self.kernel.now)
        if self.process.state == "up":
            config, proxy = read(), self.process.proxy
            source_before = proxy.list_source
            self.process.listener.limits = config.limits
            proxy.reload(config)
            if proxy.list_source is not source_before:
                self._sources_changed()

    # --- the process itself ---
    async def _proxy_term(self, fault: Fault, node: FleetNode) -> None:
        if (
            self.process.state == "up"
            and self.kernel.now >= self.process.paused_until
            and await self.process.term()
        ):
            self._report_leftovers(self.process.leftovers_after_exit())
            await self._restart_process(fault)

    async def _proxy_killed(self, fault: Fault, node: FleetNode) -> None:
        if self.process.state == "down":
            return
        self.process.kill()
        # The platform permits a killed process to lose the requests that it had accepted.
        for client in self.clients:
            for id_ in client.open:
                self.checker.excuse(id_)
        if self.kernel.held(OWNER):
            self.checker.report_fault(self.kernel.now, "a killed process still holds descriptors")
        await self._restart_process(fault)

    async def _restart_process(self, fault: Fault) -> None:
        """Restart the proxy after the fault's time.

        Its initial list is the last one, or one without the current drains (`amount` 0.5 or more).
        """
        await asyncio.sleep(fault.lasts)
        if self._ending:
            return
        self._starts += 1
        self._started_at = self.kernel.now
        fresh = fault.amount < 0.5
        states = {node.name: not fresh or node.name not in self.draining for node in self.nodes}
        known = parse_listing(
            {
                "instances": [
                    self._entry(node, "in_service" if states[node.name] else "terminating")
                    for node in self.nodes
                ]
            }
        )
        self.note(f"the proxy starts again, with {'its last' if fresh else 'an old'} list")
        self._proxy_restarted(states)
        self.process.start(
            replace(self.config, known=known, seed=self.config.seed + self._starts), self.port
        )

    async def _proxy_paused(self, fault: Fault, node: FleetNode) -> None:
        if self.process.state == "up" and self.kernel.now >= self.process.paused_until:
            self.process.pause(fault.lasts)
            self.checker.proxy_paused(self.kernel.now, self.process.paused_until)

    async def _wall_steps(self, fault: Fault, node: FleetNode) -> None:
        self._wall_offset += fault.amount


def replace_limits(config: Config, depth: int) -> Config:
    """The configuration with another value of the limit `depth`, as after an operator's change."""
    limits = msgspec.structs.replace(config.operator.limits, depth=depth)
    return replace(config, operator=msgspec.structs.replace(config.operator, limits=limits))
