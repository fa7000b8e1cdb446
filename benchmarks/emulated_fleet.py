"""So many proxies that talk to each other, in memory on one virtual clock."""

from __future__ import annotations

import asyncio
import random
from collections import deque

from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from limebridge.virtual.session import quiet
from snowstall import LoadSample
from violetroute.membership import NodeAddresses
from violetroute.sharing import wire
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import SharingTable
from violetroute.transport.sockets import SocketNetwork

KEYS = wire.Keys([b"a key of a measurement"])


class RecordingProxy:
    """A proxy that remembers which nodes it was told to leave alone."""

    def __init__(self) -> None:
        self.places, self.load_samples = NodeAddresses(), deque[LoadSample]()
        self.unhealthy: list[int] = []

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        self.unhealthy = bad


class EmulatedFleet:
    """So many members on one virtual clock, in a fleet that has stood for long."""

    def __init__(self, count: int, loss: float = 0.0, settled: bool = True) -> None:
        self.kernel = Kernel(1, start=1000.0)
        self.loop = VirtualLoop(self.kernel)
        self.random = random.Random(1)
        self.kernel.datagram_delays = lambda owner, port: (
            [] if self.random.random() < loss else [0.0005]
        )
        self.proxies = [RecordingProxy() for _ in range(count)]
        self.state_changes: list[tuple[float, str, str]] = []
        self.sharings: list[Sharing] = []
        for number in range(count):
            self.start(number)
        if settled:
            own = [sharing.members.own_rumor() for sharing in self.sharings]
            for sharing in self.sharings:
                for rumor in own:
                    if rumor.name != sharing.name:
                        sharing.members.add_member(rumor, self.kernel.now)

    def start(self, number: int) -> None:
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
        before = sharing.members._changed

        def changed(name: str, state: str, was: str) -> None:
            self.state_changes.append((self.kernel.now, name, state))
            before(name, state, was)

        sharing.members._changed = changed
        self.sharings.append(sharing)

    def run(self, seconds: float) -> None:
        with quiet(50):
            self.loop.run_until_complete(asyncio.sleep(seconds))
