"""Simulation in which the proxy reads its node list from Consul, with the faults of Consul.

The platform's discovery runs too, so a plan can use both sources at once or switch between them.
"""

from __future__ import annotations

import asyncio
import copy
import json
from dataclasses import replace
from random import Random
from typing import Any

import msgspec

from limebridge.standins.consul import Catalogue, Consul
from limebridge.standins.consul_catalogue import FrozenAnswer, HealthEntry
from limebridge.standins.fleet import FleetNode
from limebridge.standins.node_list import Lifecycle, NodeEntry
from violetroute.config import Operator
from violetroute.membership import ConsulTable, MembershipTable
from violetroute.placement import PlacementTable
from violetroute.placement import Plan as PlacementPlan

from .plan import Fault, Plan
from .world import World

FLAP_INTERVAL = 0.3  # s between two state changes of a flapping node
# Attributes of a stand-in agent (`Consul`) without faults.
HEALTHY_AGENT: dict[str, Any] = {
    "unresponsive": False,
    "status": 200,
    "retry_after": "",
    "delay": 0.0,
    "truncate_after": 0,
    "canned_answers": [],
    "headers": {},
    "frozen": None,
}
CONSUL_TABLE = ConsulTable(
    wait_s=2.0, least_interval_s=0.05, return_s=0.3, return_most_s=2.0, cold_after_s=1.0
)


class ConsulWorld(World):
    """`World` with two Consul agents that serve one catalogue.

    The proxy reads its list from Consul only, or from both sources if the plan sets `sources`.
    """

    def __init__(self, plan: Plan) -> None:
        super().__init__(plan)
        self.agents: list[Consul] = []
        self._reported_nodes: set[str] = set()  # nodes in the accepted Consul responses
        # Index, body, known leader, and whether it is a consistent read.
        self._last_answer: tuple[str, bytes, str | None, bool] | None = None
        self._last_index = 0  # of the newest of these responses
        self._active_faults: dict[Fault, dict[str, Any]] = {}  # fault -> changed agent attributes
        self._recovering = 0  # number of faults that ended in the last 2 s

    async def _start_sources(self) -> Operator:
        self.catalogue = Catalogue()
        for number in range(2):
            agent = await Consul(self.catalogue, self.plan.seed * 2 + number).start()
            link = self.kernel.link(agent.port)
            link.latency, link.jitter, link.cut = 0.000_5, self.plan.jitter, self.plan.cut
            self.source_observer.follow(agent.port)
            self.agents.append(agent)
        for node in self.nodes:
            self._register(node)
        self.table = consul_table(self.agents)
        if self.plan.sources:
            self.discovery.publish(*(self._entry(node) for node in self.nodes), reset=True)
        return Operator(
            consul=self.table,
            membership=MembershipTable(sources=self.plan.sources, patience_s=2.0, settle_s=0.5),
        )

    async def _end_sources(self) -> None:
        for agent in self.agents:
            await agent.stop()

    def _is_unwatched(self) -> bool:
        if self.plan.sources:  # with both sources the proxy always watches discovery
            return super()._is_unwatched()
        if super()._is_unwatched() is False:
            return False
        if self._active_faults or self._recovering or any(agent.open for agent in self.agents):
            return False
        if any(agent.port not in self.kernel.listening for agent in self.agents):
            return False
        links = [self.kernel.link(agent.port) for agent in self.agents]
        return not any(link.blocked_to or link.blocked_back for link in links)

    # --- updates of the catalogue ---
    def _register(self, node: FleetNode) -> None:
        self.catalogue.register(
            node.name,
            node.port,
            address="127.0.0.1",
            meta={"zone": "a", "started_at_ms": repr(self._start_time_ms(node))},
            checks={f"service:{node.name}": "passing"},
        )

    def _publish(self, node: FleetNode, lifecycle: Lifecycle) -> None:
        super()._publish(node, lifecycle)
        if lifecycle == "in_service":
            self._register(node)
        elif lifecycle == "terminating":
            if node.name in self.catalogue.services:
                self.catalogue.set_maintenance(node.name, True)
        else:
            self.catalogue.deregister(node.name)

    def _publish_replacement(self, old: NodeEntry, node: FleetNode) -> None:
        super()._publish_replacement(old, node)
        self.catalogue.services.pop(old["instanceId"], None)
        self._register(node)

    # --- responses received by the proxy ---
    def _on_answer(
        self, owner: str, port: int, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Report the nodes in a Consul response to the checker, as the proxy must apply it."""
        leader = headers.get("x-consul-knownleader")
        is_leader_read = "consistent" in target
        answer = headers.get("x-consul-index", ""), body, leader, is_leader_read
        if answer == self._last_answer or not answer[0]:
            return  # an expired blocking query or an invalid response: no new data
        self._last_answer = answer
        entries = {entry["Service"]["ID"]: entry for entry in json.loads(body)}
        removed = self._reported_nodes - entries.keys()
        if leader == "false":
            # Without a leader the response may be stale: it can't bring nodes into service.
            entries = {name: entry for name, entry in entries.items() if _is_draining(entry)}
        # An answer that is not newer takes nodes out of service, but brings none back.
        index = int(headers.get("x-consul-index", "0"))
        is_newest = index > self._last_index or is_leader_read
        if is_newest and leader != "false":
            self._last_index = index
        self._reported_nodes = (self._reported_nodes - removed) | entries.keys()
        now = self.kernel.now
        for name in removed:
            self.checker.node_reported(now, name, False, "consul")
        for name, entry in entries.items():
            if not is_newest and not _is_draining(entry):
                continue
            started = float(entry["Service"]["Meta"]["started_at_ms"])
            self.checker.node_reported(
                now, name, not _is_draining(entry), "consul", self._started_at_by_ms.get(started)
            )

    def _proxy_restarted(self, states: dict[str, bool]) -> None:
        super()._proxy_restarted(states)
        self._reported_nodes.clear()
        self._last_answer, self._last_index = None, 0

    def _sources_changed(self) -> None:
        super()._sources_changed()
        self._reported_nodes.clear()  # the proxy's new reader has no earlier response
        self._last_answer, self._last_index = None, 0

    # --- faults of Consul ---
    async def _with_agent_fault(self, fault: Fault, **attributes: Any) -> None:
        """Set these attributes of both agents for the fault's time, as if the servers failed."""
        self._active_faults[fault] = attributes
        self._apply_agent_faults()
        await asyncio.sleep(fault.lasts)
        del self._active_faults[fault]
        self._apply_agent_faults()
        self._recovering += 1
        await asyncio.sleep(2.0)  # the proxy polls again within this time
        self._recovering -= 1

    def _apply_agent_faults(self) -> None:
        """Set the agents' attributes for all active faults; later faults override earlier ones."""
        for agent in self.agents:
            vars(agent).update(copy.deepcopy(HEALTHY_AGENT))
            for attributes in self._active_faults.values():
                vars(agent).update(copy.deepcopy(attributes))

    async def _consul_stops(self, fault: Fault, node: FleetNode) -> None:
        agent = self.agents[fault.node % 2]
        if agent.port not in self.kernel.listening:
            return
        await agent.stop()
        await asyncio.sleep(fault.lasts)
        if agent.port not in self.kernel.listening:
            await agent.start(agent.port)

    async def _consul_black(self, fault: Fault, node: FleetNode) -> None:
        await self._with_agent_fault(fault, unresponsive=True)
        # The agents never answer the queries of this time, so they close their connections.
        for agent in self.agents:
            for writer in list(agent.open):
                writer.transport.abort()

    async def _consul_500(self, fault: Fault, node: FleetNode) -> None:
        await self._with_agent_fault(
            fault,
            status=500 if fault.amount < 0.5 else 429,
            retry_after="1" if fault.amount < 0.5 else "",
        )

    async def _consul_late(self, fault: Fault, node: FleetNode) -> None:
        await self._with_agent_fault(fault, delay=fault.amount)

    async def _consul_breaks_off(self, fault: Fault, node: FleetNode) -> None:
        await self._with_agent_fault(fault, truncate_after=200 if fault.amount < 0.5 else 900)

    async def _consul_noise(self, fault: Fault, node: FleetNode) -> None:
        await self._with_agent_fault(
            fault,
            canned_answers=[
                b"\x00\xff\r\n\r\n",
                b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}",
                b"HTTP/1.1 200 X\r\n\r\n[}",
            ],
        )

    async def _consul_no_leader(self, fault: Fault, node: FleetNode) -> None:
        await self._with_agent_fault(fault, headers={"X-Consul-KnownLeader": "false"})

    async def _consul_lags(self, fault: Fault, node: FleetNode) -> None:
        """The agents return the catalogue as it was when the fault began, as if cut off."""
        frozen = FrozenAnswer(self.catalogue.index, self.catalogue.health_entries("cache"))
        await self._with_agent_fault(fault, frozen=frozen)

    async def _consul_index(self, fault: Fault, node: FleetNode) -> None:
        self.catalogue.restore_snapshot()

    async def _consul_empty(self, fault: Fault, node: FleetNode) -> None:
        await self._deregister_during(fault, list(self.catalogue.services))

    async def _consul_halved(self, fault: Fault, node: FleetNode) -> None:
        names = sorted(self.catalogue.services)
        await self._deregister_during(fault, names[: len(names) * 3 // 4])

    async def _deregister_during(self, fault: Fault, names: list[str]) -> None:
        """Deregister these nodes; register them again after the fault's time, with their drains."""
        deregistered = {name: self.catalogue.services[name] for name in names}
        self.catalogue.deregister(*names)
        await asyncio.sleep(fault.lasts)
        for name, service in deregistered.items():
            self.catalogue.services.setdefault(name, service)
            if name in self.draining:
                self.catalogue.set_maintenance(name, True)
        self.catalogue.raise_index()

    async def _consul_flaps(self, fault: Fault, node: FleetNode) -> None:
        end = self.kernel.now + fault.lasts
        while self.kernel.now < end and node.name in self.catalogue.services:
            self.catalogue.check(node.name, "critical")
            await asyncio.sleep(FLAP_INTERVAL)
            if node.name in self.catalogue.services:
                self.catalogue.check(node.name, "passing")
            await asyncio.sleep(FLAP_INTERVAL)

    async def _consul_all_critical(self, fault: Fault, node: FleetNode) -> None:
        names = list(self.catalogue.services)
        for name in names:
            self.catalogue.services[name].checks["serf"] = "critical"
        self.catalogue.raise_index()
        await asyncio.sleep(fault.lasts)
        for service in self.catalogue.services.values():
            service.checks.pop("serf", None)
        self.catalogue.raise_index()

    async def _plan_changes(self, fault: Fault, node: FleetNode) -> None:
        """Apply a placement plan with random shares under load, later remove it."""
        shares = _random_shares(
            [each.name for each in self.nodes], fault.amount, self.kernel.random(f"plan/{fault.at}")
        )
        table = PlacementTable(file="-", least_match=0.1, moved_per_s=0.3)
        operator = msgspec.structs.replace(self.config.operator, placement=table)
        await self._reload_config(
            lambda: replace(self.config, operator=operator, plan=PlacementPlan(1, 0.0, shares))
        )
        await asyncio.sleep(0.5 + fault.lasts)
        await self._reload_config(lambda: self.config)

    async def _discovery_moves(self, fault: Fault, node: FleetNode) -> None:
        """Switch the proxy from Consul to the platform's list and back."""
        configs = self.config, replace(self.config, operator=Operator())
        self.discovery.changes.clear()
        self.discovery.publish(
            *(
                self._entry(each, "in_service" if each.name not in self.draining else "terminating")
                for each in self.nodes
            ),
            reset=True,
        )
        await self._reload_config(lambda: configs[1])
        await asyncio.sleep(0.5 + fault.lasts)
        await self._reload_config(lambda: configs[0])


def _random_shares(names: list[str], amount: float, random: Random) -> dict[str, float]:
    """Random shares with sum 1; a smaller `amount` gives more nodes a share of 0."""
    weights = {
        name: random.uniform(0.05, 1.0) if random.random() < 0.2 + amount else 0.0 for name in names
    }
    weights[names[0]] += 0.01  # so that the sum is not 0
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def _is_draining(entry: HealthEntry) -> bool:
    """Whether the node is in maintenance mode, by which Consul reports a drain."""
    return any("_maintenance" in check["CheckID"] for check in entry["Checks"])


def consul_table(agents: list[Consul]) -> ConsulTable:
    """The proxy's Consul settings in this simulation, with the addresses of these agents."""
    return msgspec.structs.replace(
        CONSUL_TABLE, agents=tuple(f"127.0.0.1:{a.port}" for a in agents)
    )
