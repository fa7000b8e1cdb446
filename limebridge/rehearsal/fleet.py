"""The gossip between the proxies of a rehearsal: membership and health reports about nodes.

The run begins with a fleet in steady state, in which each proxy knows all others.  A share `deaf`
of the proxies receives no datagrams, a share `liars` reports every node it knows as unhealthy.
"""

from __future__ import annotations

from random import Random
from typing import Any

from limebridge.virtual.kernel import Kernel
from violetroute.sharing import factory
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import SharingTable
from violetroute.sharing.wire import HealthReport, Keys
from violetroute.transport.sockets import SocketNetwork

from .scenario import Scenario

FIRST_PORT = 20_000  # datagram port of proxy 0; proxy n has FIRST_PORT + n
ONE_WAY_S = 0.0005  # network delay of a datagram
FLEET_KEYS = Keys([b"a key of an emulated fleet"])


class ProxySharing:
    """Creates the sharing service of every proxy of a run."""

    def __init__(self, scenario: Scenario, kernel: Kernel, random: Random) -> None:
        self._proxies = scenario.proxies
        self._incarnations = 0
        names = [f"p{number}" for number in range(scenario.proxies.count)]
        random.shuffle(names)
        deaf_count = round(scenario.proxies.deaf * len(names))
        self._deaf_ports = {FIRST_PORT + int(name[1:]) for name in names[:deaf_count]}
        self._liars = set(
            names[deaf_count : deaf_count + round(scenario.proxies.liars * len(names))]
        )
        kernel.datagram_delays = lambda owner, port: [] if port in self._deaf_ports else [ONE_WAY_S]
        self.services: list[Sharing] = []

    def create_sharing(self, process: Any, net: SocketNetwork) -> Sharing:
        """Create the sharing service of a proxy that starts; each start is a new incarnation."""
        number, settings = int(process.owner[1:]), process.proxy_config.settings
        self._incarnations += 1
        table = SharingTable(
            listen=f"127.0.0.1:{FIRST_PORT + number}",
            proxies=self._proxies.count,
            seeds=(f"127.0.0.1:{FIRST_PORT}", f"127.0.0.1:{FIRST_PORT + 1}"),
        )
        sharing = Sharing(
            table,
            FLEET_KEYS,
            process.owner,
            settings.zone,
            settings.max_backoff,
            net,
            process.proxy,
            life=f"life{self._incarnations}",
        )
        factory.attach(sharing, process.proxy)
        node_health = sharing.rounds.node_health
        if process.owner in self._liars and node_health is not None:
            node_health.reports_to_send = (  # type: ignore[method-assign]
                lambda now, most=24: [
                    HealthReport(node, node_state.started, 0.0, 9.0)
                    for node, node_state in list(node_health._nodes.items())[:most]
                ]
            )
        self.services.append(sharing)
        return sharing

    def introduce_all(self, now: float) -> None:
        """Add every proxy to the member list of every other one, at time `now` (s)."""
        own_rumors = [(sharing.name, sharing.members.own_rumor()) for sharing in self.services]
        for sharing in self.services:
            for name, rumor in own_rumors:
                if name != sharing.name and name not in sharing.members.members:
                    sharing.members.add_member(rumor, now)

    def traffic(self, seconds: float) -> dict[str, float]:
        """Mean datagrams and bytes sent per second by a member, over `seconds`."""
        member_seconds = max(1, len(self.services)) * seconds
        return {
            "datagrams": sum(sharing.sent for sharing in self.services) / member_seconds,
            "bytes": sum(sharing.bytes_sent for sharing in self.services) / member_seconds,
        }
