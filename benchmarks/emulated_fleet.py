"""A fleet of proxies that gossip over an in-memory network, on one virtual clock."""

from __future__ import annotations

import asyncio
import random
from collections import deque

from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from limebridge.virtual.session import isolated_run
from snowstall import LoadSample
from violetroute.membership import NodeAddresses
from violetroute.sharing import wire
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import SharingTable
from violetroute.transport.sockets import SocketNetwork

KEYS = wire.Keys([b"a key of a measurement"])


class RecordingProxy:
    """The proxy of a member: stores which nodes its peers report as unhealthy."""

    def __init__(self) -> None:
        self.places, self.load_samples = NodeAddresses(), deque[LoadSample]()
        self.unhealthy: list[int] = []

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        """Store the nodes; the outcomes of the peers' requests are ignored."""
        self.unhealthy = bad


class EmulatedFleet:
    """A fleet of `count` members whose network loses each datagram with probability `loss`.

    With `all_known`, each member knows all others from the start, as in a long-running fleet.
    """

    def __init__(self, count: int, loss: float = 0.0, all_known: bool = True) -> None:
        self.kernel = Kernel(1, start=1000.0)
        self.loop = VirtualLoop(self.kernel)
        self.random = random.Random(1)
        self.kernel.datagram_delays = lambda owner, port: (
            [] if self.random.random() < loss else [0.0005]
        )
        self.proxies = [RecordingProxy() for _ in range(count)]
        self.state_changes: list[tuple[float, str, str]] = []  # time, member and new state
        self.sharings: list[Sharing] = []
        for number in range(count):
            self.start(number)
        if all_known:
            own = [sharing.members.own_rumor() for sharing in self.sharings]
            for sharing in self.sharings:
                for rumor in own:
                    if rumor.name != sharing.name:
                        sharing.members.add_member(rumor, self.kernel.now)

    def start(self, number: int) -> None:
        """Start member `number`, whose view of the others' states is recorded."""
        net = SocketNetwork(
            self.loop, make=self.kernel.maker(f"p{number}"), clock=lambda: 1.7e9 + self.kernel.now
        )
        table = SharingTable(
            listen=f"127.0.0.1:{20_000 + number}",
            proxies=len(self.proxies),
            seeds=("127.0.0.1:20000", "127.0.0.1:20001"),
        )
        sharing = Sharing(
            table, KEYS, f"p{number}", "a", 1000.0, net, self.proxies[number], life=f"l{number}"
        )
        original = sharing.members._changed

        def record_change(name: str, state: str, previous: str) -> None:
            self.state_changes.append((self.kernel.now, name, state))
            original(name, state, previous)

        sharing.members._changed = record_change
        self.sharings.append(sharing)

    def run(self, seconds: float) -> None:
        """Run all members for `seconds` of virtual time, without the daemon's log."""
        with isolated_run(50):
            self.loop.run_until_complete(asyncio.sleep(seconds))
