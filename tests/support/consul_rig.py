"""A proxy in this process that watches stand-in agents of Consul."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from limebridge.standins.consul import Catalogue, Consul
from tests.support import stall_free_loop
from tests.support.rig import CacheNode, Rig, serves, wait_until
from violetroute.config import Operator
from violetroute.membership import ConsulTable, stable_hash
from violetroute.membership.consul import ConsulWatch


class Setting:
    """A proxy that watches Consul, with registered nodes; its discovery is unused."""

    def __init__(self, rig: Rig, catalogue: Catalogue, agents: list[Consul]) -> None:
        self.rig, self.catalogue, self.agents = rig, catalogue, agents

    @property
    def agent(self) -> Consul:
        """The first agent."""
        return self.agents[0]

    @property
    def consul_watch(self) -> ConsulWatch:
        """The proxy's watch on Consul."""
        watch = self.rig.proxy._watch.active_watch
        assert isinstance(watch, ConsulWatch)
        return watch

    def used(self) -> set[str]:
        """The nodes that may receive new requests."""
        known = set(self.rig.proxy.nodes)
        return {
            name
            for name in (*(f"s-{n}" for n in range(40)), *(f"c{n}" for n in range(40)))
            if stable_hash(name.encode()) in known
        }

    async def uses(self, *wanted: str) -> None:
        """Wait until exactly these nodes may receive new requests."""
        await wait_until(lambda: self.used() == set(wanted))

    async def next_requests(self) -> None:
        """Wait for two more requests to the agents."""
        count = sum(len(agent.requests) for agent in self.agents)
        await wait_until(lambda: sum(len(agent.requests) for agent in self.agents) > count + 1)


def follow(
    part: Callable[[Setting], Awaitable[None]], agents: int = 1, nodes: int = 4, **table: Any
) -> None:
    """Run `part` with a proxy that serves `nodes` nodes of `agents` agents.

    `table`: settings of `[consul]`, beside short intervals.
    """

    async def run() -> None:
        catalogue = Catalogue()
        started = [await Consul(catalogue, n).start() for n in range(agents)]
        caches = [await CacheNode(serves).start() for _ in range(nodes)]
        for number, node in enumerate(caches):
            catalogue.register(f"c{number}", node.port, address="127.0.0.1")
        operator = Operator(
            consul=ConsulTable(
                agents=tuple(f"127.0.0.1:{agent.port}" for agent in started),
                **({"least_interval_s": 0.01, "return_s": 0.05, "wait_s": 0.5} | table),
            )
        )
        async with Rig(*caches, operator=operator) as rig:
            setting = Setting(rig, catalogue, started)
            # The nodes keep the platform's names, under which they are in the initial list.
            await wait_until(lambda: started[0].requests or agents > 1)
            await setting.uses(*(f"s-{number}" for number in range(nodes)))
            await wait_until(
                lambda: any("index" in request for a in started for request in a.requests)
            )
            await part(setting)
            assert not rig.discovery.requests  # no list is requested from the platform
        for agent in started:
            await agent.stop()

    stall_free_loop.run(run())
