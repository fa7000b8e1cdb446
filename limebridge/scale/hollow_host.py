"""A process that hosts hollow proxies.

    python -m limebridge.scale.hollow_host FILE

FILE is a `HostFile` as JSON.  The process creates its proxies, prints a `HostReady` as one JSON
line, and lets the proxies run once it has read a line from its standard input.  Each further line
is an `Order` as JSON, which is answered with a JSON line.  The process exits when its standard
input ends.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import sys
from pathlib import Path

import msgspec

from violetroute.distribution.table import DistributionTable
from violetroute.sharing.table import read_keys

from .applied import STALE_SAMPLE_INTERVAL_S, Applied
from .held_loop import HeldLoop
from .hollow import GossipSetup, HeldWallClock, HollowProxy, initial_rumor, life_nonce
from .links import LinkTable
from .membership_samples import MEMBERSHIP_SAMPLE_INTERVAL_S, MembershipSample, membership_sample
from .process_usage import resident_bytes
from .run_plan import SEEDS, ProxyLocation
from .standard_input import input_lines, wait_for_line
from .traffic import Counters, DatagramShaper

LAG_INTERVAL_S = 0.1  # interval at which the lag of the event loop is measured
POLL_START_SPREAD_S = 3.0  # time over which the first polls of the proxies are spread


class HostFile(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration of one host process; see `RunPlan` for the figures of the run."""

    places: tuple[ProxyLocation, ...]  # its own hollow proxies
    fleet: tuple[ProxyLocation, ...]  # all hollow proxies of the run
    counters: str  # path of the file for its counters, which it creates
    links: str  # path of the link table
    regions: int
    seed: int
    members: int  # proxies of the fleet, hollow and real
    nodes: int
    gossip_port: int  # 0: no gossip
    key_file: str
    start_s: float  # wall-clock time of the run's start
    probe_s: float
    requests: float
    failed_share: float
    distribution: tuple[DistributionTable, ...] = ()  # one per region; empty: no distribution


class HostReady(msgspec.Struct, frozen=True, kw_only=True):
    """Printed once all proxies are created."""

    empty_bytes: int  # resident memory before the first proxy


class HostObservations(msgspec.Struct, frozen=True, kw_only=True):
    """What the process has observed since the last report; times are CLOCK_MONOTONIC.

    `applied` covers the whole run.
    """

    members_up: tuple[int, ...]  # members that each proxy lists as alive or suspected, and itself
    # Hollow proxies whose latest start each proxy has in its list; empty without restarts.
    members_current: tuple[int, ...] = ()
    membership: tuple[MembershipSample, ...] = ()
    loop_lag: tuple[float, ...]  # seconds by which a timer was late, one per LAG_INTERVAL_S
    applied: tuple[Applied, ...] = ()


class Report(msgspec.Struct, frozen=True, tag=True):
    """Order to write the `HostObservations` since the last report to the file `path` (msgpack)."""

    path: str


class Restart(msgspec.Struct, frozen=True, tag=True):
    """Order to restart all proxies, spread evenly over `within_s` seconds.

    With `killed`, they do not end their sessions at the control machines.
    """

    within_s: float
    killed: bool = False


Order = Report | Restart


class HollowHost:
    """Runs the hollow proxies of this process, and measures their state and the loop's lag."""

    def __init__(self, file: HostFile, loop: HeldLoop) -> None:
        self._file, self._loop = file, loop
        links = LinkTable(Path(file.links), file.regions)
        counters = Counters(Path(file.counters), len(file.places), create=True)
        self.proxies = [
            HollowProxy(
                location,
                self._loop,
                counters.block(number),
                DatagramShaper(links, location.region, f"{file.seed}/{location.number}"),
            )
            for number, location in enumerate(file.places)
        ]
        self._lags: list[float] = []
        self._membership: list[MembershipSample] = []
        self._restarts = 0
        self._gossip: GossipSetup | None = None

    def create_proxies(self) -> None:
        """Start gossip and distribution of all proxies; they run once the clock is released.

        Raises OSError if an address is in use.
        """
        if self._file.gossip_port:
            self._start_gossip()
        if self._file.distribution:
            self._start_distribution()
        gc.collect()
        gc.freeze()  # as the daemon does: collections skip the objects created at start-up
        gc.set_threshold(10_000, 20, 20)
        self._loop.call_later(LAG_INTERVAL_S, self._measure_lag, self._loop.time() + LAG_INTERVAL_S)

    def _start_gossip(self) -> None:
        file = self._file
        setup = GossipSetup(
            file.gossip_port,
            read_keys(file.key_file),
            file.members,
            file.nodes,
            HeldWallClock(file.start_s),
            file.probe_s,
            file.requests,
            file.failed_share,
        )
        incarnation = int(file.start_s * 1000.0)
        fleet = [initial_rumor(location, file.gossip_port, incarnation) for location in file.fleet]
        gc.disable()  # nothing created here is garbage, so collections would find none
        for proxy in self.proxies:
            proxy.start_gossip(setup, fleet)
        gc.enable()
        self._gossip = setup
        self._loop.call_later(MEMBERSHIP_SAMPLE_INTERVAL_S, self._sample_membership)

    def release(self) -> None:
        """Start the loop's and the wall clock, so that the proxies run."""
        self._loop.release()
        if self._gossip is not None:
            self._gossip.clock.release()

    def restart(self, within_s: float, killed: bool) -> None:
        """Schedule the restart of all proxies, spread evenly over `within_s` seconds."""
        self._restarts += 1
        for number, proxy in enumerate(self.proxies):
            wait_s = within_s * number / len(self.proxies)
            self._loop.call_later(wait_s, self._restart_one, proxy, killed)

    def _restart_one(self, proxy: HollowProxy, killed: bool) -> None:
        proxy.restart(killed)
        if self._gossip is not None:
            proxy.start_gossip(self._gossip, (), self._seed_addresses(proxy.location))
        if self._file.distribution:
            keys = read_keys(self._file.key_file)
            proxy.start_distribution(self._file.distribution[proxy.location.region], keys)

    def _seed_addresses(self, location: ProxyLocation) -> tuple[str, ...]:
        """Gossip addresses of the first other proxies of its region, as in an operator's file."""
        same_region = (other for other in self._file.fleet if other.region == location.region)
        others = (other for other in same_region if other.name != location.name)
        return tuple(
            f"{other.host}:{self._file.gossip_port}" for other in itertools.islice(others, SEEDS)
        )

    def _start_distribution(self) -> None:
        keys = read_keys(self._file.key_file)
        for number, proxy in enumerate(self.proxies):
            table = self._file.distribution[proxy.location.region]
            wait = POLL_START_SPREAD_S * number / len(self.proxies)
            self._loop.call_later(wait, proxy.start_distribution, table, keys)
        self._loop.call_later(STALE_SAMPLE_INTERVAL_S, self._sample_staleness)

    def _sample_staleness(self) -> None:
        for proxy in self.proxies:
            proxy.sample_staleness()
        self._loop.call_later(STALE_SAMPLE_INTERVAL_S, self._sample_staleness)

    def _sample_membership(self) -> None:
        self._loop.call_later(MEMBERSHIP_SAMPLE_INTERVAL_S, self._sample_membership)
        if sizes := self._member_counts():
            self._membership.append(
                membership_sample(sizes, self._loop.time() + self._loop.behind_s)
            )

    def _member_counts(self) -> list[int]:
        return [proxy.sharing.members.size for proxy in self.proxies if proxy.sharing]

    def _current_process_counts(self) -> tuple[int, ...]:
        """For each proxy, the number of hollow proxies whose latest start it knows, with itself."""
        present = [
            (location.name, life_nonce(location, self._restarts)) for location in self._file.fleet
        ]
        return tuple(
            1 + sum(proxy.sharing.members.is_up(name, life) for name, life in present)
            for proxy in self.proxies
            if proxy.sharing
        )

    def _measure_lag(self, due: float) -> None:
        now = self._loop.time()
        self._lags.append(max(0.0, now - due))
        self._loop.call_later(LAG_INTERVAL_S, self._measure_lag, now + LAG_INTERVAL_S)

    def take_observations(self) -> HostObservations:
        """What was observed since the last call; `applied` since the start."""
        lags, self._lags = self._lags, []
        membership, self._membership = self._membership, []
        return HostObservations(
            members_up=tuple(self._member_counts()),
            members_current=self._current_process_counts() if self._restarts else (),
            membership=tuple(membership),
            loop_lag=tuple(lags),
            applied=tuple(proxy.applied.snapshot(proxy.location.name) for proxy in self.proxies),
        )

    def close(self) -> None:
        """Stop all proxies."""
        for proxy in self.proxies:
            proxy.close()


async def host(file: HostFile, loop: HeldLoop) -> None:
    """Host the proxies of `file` until the standard input ends."""
    empty_bytes = resident_bytes()
    hollow_host = HollowHost(file, loop)
    hollow_host.create_proxies()
    _print_message(HostReady(empty_bytes=empty_bytes))
    if not wait_for_line():
        return
    hollow_host.release()
    async for line in input_lines():
        _print_message(_execute(hollow_host, msgspec.json.decode(line, type=Order)))
    hollow_host.close()


def _execute(hollow_host: HollowHost, order: Order) -> str:
    """Execute one order, and return the reply to print."""
    match order:
        case Report(path):
            Path(path).write_bytes(msgspec.msgpack.encode(hollow_host.take_observations()))
            return "reported"
        case Restart(within_s, killed):
            hollow_host.restart(within_s, killed)
            return "restarting"


def _print_message(message: object) -> None:
    print(msgspec.json.encode(message).decode(), flush=True)


def main() -> None:
    """Run the host process with the `HostFile` named by the first argument."""
    file = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HostFile)
    loop = HeldLoop()
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(host(file, loop))


if __name__ == "__main__":
    main()
