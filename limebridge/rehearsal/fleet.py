"""A rehearsal's proxies talk to each other: who is there, what they met at the nodes.

They begin as a fleet that has stood for long: each knows all.  `deaf`: a share of them hear nothing
from the others; `liars`: a share tell of trouble at each node they know.
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

PORT = 20_000  # of the first proxy
WAY = 0.0005  # s one way
KEYS = Keys([b"a key of an emulated fleet"])


class Talk:
    """All proxies of one run."""

    def __init__(self, scenario: Scenario, kernel: Kernel, random: Random) -> None:
        self._proxies = scenario.proxies
        self._lives = 0
        names = [f"p{number}" for number in range(scenario.proxies.count)]
        random.shuffle(names)
        deaf = round(scenario.proxies.deaf * len(names))
        self._deaf = {PORT + int(name[1:]) for name in names[:deaf]}
        self._liars = set(names[deaf : deaf + round(scenario.proxies.liars * len(names))])
        kernel.datagram_delays = lambda owner, port: [] if port in self._deaf else [WAY]
        self.here: list[Sharing] = []

    def join(self, process: Any, net: SocketNetwork) -> Sharing:
        """One more life of a proxy."""
        number, settings = int(process.owner[1:]), process.proxy_config.settings
        self._lives += 1
        table = SharingTable(
            listen=f"127.0.0.1:{PORT + number}",
            proxies=self._proxies.count,
            seeds=(f"127.0.0.1:{PORT}", f"127.0.0.1:{PORT + 1}"),
        )
        sharing = Sharing(
            table,
            KEYS,
            process.owner,
            settings.zone,
            settings.max_backoff,
            net,
            process.proxy,
            life=f"life{self._lives}",
        )
        factory.attach(sharing, process.proxy)
        node_health = sharing.rounds.node_health
        if process.owner in self._liars and node_health is not None:
            node_health.reports_to_send = (  # type: ignore[method-assign]
                lambda now, most=24: [
                    HealthReport(node, known.started, 0.0, 9.0)
                    for node, known in list(node_health._nodes.items())[:most]
                ]
            )
        self.here.append(sharing)
        return sharing

    def settle(self, now: float) -> None:
        """Each knows all, and had a word of it."""
        own = [(sharing.name, sharing.members.own_rumor()) for sharing in self.here]
        for sharing in self.here:
            for name, rumor in own:
                if name != sharing.name and name not in sharing.members.members:
                    sharing.members.add_member(rumor, now)

    def cost(self, seconds: float) -> dict[str, float]:
        """Datagrams and bytes a second of one member."""
        many = max(1, len(self.here)) * seconds
        return {
            "datagrams": sum(sharing.sent for sharing in self.here) / many,
            "bytes": sum(sharing.bytes_sent for sharing in self.here) / many,
        }
