"""A hollow proxy: the control protocols of a proxy without clients and request path.

It runs the daemon's own `Sharing` and `DistributionService` on the daemon's own `SocketNetwork`.
Hundreds of them share a process and an event loop.  To give health reports and counts some content,
a hollow proxy records a few synthetic requests per second; `Sharing` receives their outcomes as it
does those of a real proxy.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Sequence

from snowstall import CacheState, LoadSample, Member, Result
from violetroute.distribution.service import DistributionService
from violetroute.distribution.table import DistributionTable
from violetroute.membership import NodeAddresses
from violetroute.sharing.members import Members
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import SharingTable
from violetroute.sharing.wire import Keys, Rumor
from violetroute.transport.sockets import SocketNetwork

from .applied import AppliedTimes
from .held_loop import HeldLoop
from .run_plan import ProxyLocation
from .traffic import CountedSocket, DatagramShaper

MAX_BACKOFF_MS = 1500.0
SYNTHETIC_INTERVAL_S = 0.5  # mean time between two batches of synthetic requests
KEY_COUNT = 100_000  # number of different keys of the synthetic requests


class HeldWallClock:
    """A wall clock that shows the start time of the run until it is released.

    The incarnation of a member is the wall-clock time of its start.  With a stopped clock, all
    hollow proxies have the same incarnation, so each process knows it without an exchange.
    """

    def __init__(self, start_s: float) -> None:
        self._start_s: float | None = start_s

    def release(self) -> None:
        """Show the true time from now on."""
        self._start_s = None

    def __call__(self) -> float:
        return time.time() if self._start_s is None else self._start_s


class GossipSetup:
    """The gossip settings that all hollow proxies of a process share.

    `requests` is the number of synthetic requests per second of each proxy, `failed_share` the
    share of them that fails.
    """

    def __init__(
        self,
        port: int,
        keys: Keys,
        members: int,
        nodes: int,
        clock: HeldWallClock,
        probe_s: float,
        requests: float,
        failed_share: float,
    ) -> None:
        self.port, self.keys, self.members, self.clock = port, keys, members, clock
        self.probe_s = probe_s
        self.requests, self.failed_share = requests, failed_share
        self.nodes = [
            Member(number, CacheState.READY, started_at=1.0) for number in range(1, nodes + 1)
        ]


def life_nonce(location: ProxyLocation, restarts: int = 0) -> str:
    """The nonce of a hollow proxy after `restarts` restarts; each start has another one."""
    return f"hollow{location.number}" + (f"/{restarts}" if restarts else "")


def initial_rumor(location: ProxyLocation, port: int, incarnation: int) -> Rumor:
    """What a hollow proxy announces about itself when it starts for the first time."""
    address = f"{location.host}:{port}"
    return Rumor(location.name, life_nonce(location), incarnation, "a", address, location.zone)


class HollowProxy:
    """The control protocols of one proxy.  Implements `Host` of `violetroute.sharing.service`."""

    def __init__(
        self, location: ProxyLocation, loop: HeldLoop, counters: memoryview, shaper: DatagramShaper
    ) -> None:
        self.location = location
        self.places, self.load_samples = NodeAddresses(), deque[LoadSample]()
        self.socket_factory = CountedSocket.socket_factory(counters, shaper)
        self.loop = loop
        self.net = SocketNetwork(loop, make=self.socket_factory)
        self.sharing: Sharing | None = None
        self.distribution: DistributionService | None = None
        self._leave_task: asyncio.Task[None] | None = None  # ends the session before a restart
        self.applied = AppliedTimes()
        self._random = random.Random(f"hollow/{location.number}")
        self._synthetic_timer: asyncio.TimerHandle | None = None
        self._restarts = 0

    # --- gossip ---
    def start_gossip(
        self, setup: GossipSetup, fleet: Sequence[Rumor], seeds: tuple[str, ...] = ()
    ) -> None:
        """Start gossip.  Raises OSError if the address cannot be bound.

        With `fleet`, all its members are known at once, as in a fleet that has run for long.
        Without it, the proxy discovers members through `seeds`.
        """
        location = self.location
        table = SharingTable(
            listen=f"{location.host}:{setup.port}",
            proxies=setup.members,
            seeds=seeds,
            probe_s=setup.probe_s,
        )
        self.net = SocketNetwork(self.loop, make=self.socket_factory, clock=setup.clock)
        self.sharing = Sharing(
            table,
            setup.keys,
            location.name,
            location.zone,
            MAX_BACKOFF_MS,
            self.net,
            self,
            life=life_nonce(location, self._restarts),
        )
        if fleet:
            self._add_members(self.sharing.members, fleet)
        self.sharing.update_nodes(setup.nodes)
        if setup.requests > 0.0:
            self._record_synthetic_requests(setup.requests, setup.failed_share, len(setup.nodes))

    def _add_members(self, members: Members, fleet: Sequence[Rumor]) -> None:
        now = self.loop.time()
        for rumor in fleet:
            if rumor.name != self.location.name:
                members.add_member(rumor, now)

    def _record_synthetic_requests(self, requests: float, failed_share: float, nodes: int) -> None:
        """Record a batch of synthetic requests now and, by a timer, every SYNTHETIC_INTERVAL_S.

        `requests` is per second.  The intervals vary by up to 20%, so that the proxies of a host
        are not synchronized.
        """
        wait = SYNTHETIC_INTERVAL_S * self._random.uniform(0.8, 1.2)
        self._synthetic_timer = self.loop.call_later(
            wait, self._record_synthetic_requests, requests, failed_share, nodes
        )
        sharing = self.sharing
        if sharing is None:
            return
        for _ in range(round(requests * SYNTHETIC_INTERVAL_S)):
            sharing.record_request("", self._random.randrange(KEY_COUNT))
            if nodes:
                failed = self._random.random() < failed_share
                result = Result.LATE if failed else Result.OK
                sharing.record_attempt(self._random.randrange(1, nodes + 1), result)

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        """Ignored: a real proxy passes the reports of its peers to its load balancer."""

    # --- distribution ---
    def start_distribution(self, table: DistributionTable, keys: Keys) -> None:
        """Start to poll a control machine."""
        location = self.location
        self.distribution = DistributionService(
            table, keys, location.name, table.region, self.net, self.applied
        )
        self.applied.attach(self.distribution, table.stale_after_s)

    # --- end and restart ---
    def restart(self, killed: bool) -> None:
        """Stop all protocols, as on SIGTERM or, with `killed`, without ending the session.

        All state is dropped; the caller starts gossip and distribution again.  In both cases some
        members are notified that it leaves: the detection of killed members is measured elsewhere.
        """
        if self.distribution is not None and not killed:
            self._leave_task = self.loop.create_task(self.distribution.leave())
        self.close()  # `leave` has already closed the distribution; a second close has no effect
        self._synthetic_timer = self.sharing = self.distribution = None
        self._restarts += 1
        self.applied.record_restart()

    def sample_staleness(self) -> None:
        """Record the `as_of` of the proxy, from which its stale periods are derived."""
        self.applied.observe(self.loop.behind_s)

    def close(self) -> None:
        """Stop all protocols and notify some members, as a daemon does at its shutdown."""
        if self._synthetic_timer is not None:
            self._synthetic_timer.cancel()
        if self.sharing is not None:
            self.sharing.close()
        if self.distribution is not None:
            self.distribution.close()
