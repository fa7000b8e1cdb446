"""A process that hosts hollow proxies.

    python -m limebridge.scale.hollow_host FILE

FILE is a `HostFile` as JSON. The process prints one JSON line once its proxies are made, and lets
them run after the first line on its standard input. Each line after that is an `Order` as JSON,
answered with a JSON line. It ends when its standard input does.
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
from .membership_looks import MEMBERSHIP_LOOK_S, MembershipLook, look
from .process_usage import resident_bytes
from .run_plan import SEEDS, ProxyLocation
from .standard_input import input_lines, wait_for_line
from .traffic import Counters, DatagramShaper

LAG_INTERVAL_S = 0.1  # between two looks at how late the event loop is
POLL_START_SPREAD_S = 3.0  # over which the first polls are spread


class HostFile(msgspec.Struct, frozen=True, kw_only=True):
    """What one hosting process is told."""

    places: tuple[ProxyLocation, ...]  # of its own hollow proxies
    fleet: tuple[ProxyLocation, ...]  # of all hollow proxies
    counters: str  # the file for its counters, which it makes
    links: str
    regions: int
    seed: int
    members: int  # of the fleet, hollow and real
    nodes: int
    gossip_port: int  # 0: no gossip
    key_file: str
    start_s: float  # wall clock at the run's start
    probe_s: float
    requests: float
    failed_share: float
    distribution: tuple[DistributionTable, ...] = ()  # of each region; empty: none


class HostReady(msgspec.Struct, frozen=True, kw_only=True):
    """The proxies are made."""

    empty_bytes: int  # resident memory before the first proxy


class HostObservations(msgspec.Struct, frozen=True, kw_only=True):
    """What the process saw so far; times are CLOCK_MONOTONIC."""

    members_up: tuple[int, ...]  # fleet size that each proxy believes
    # Hollow proxies that each one knows as their present process; empty without restarts.
    members_current: tuple[int, ...] = ()
    membership: tuple[MembershipLook, ...] = ()
    loop_lag: tuple[float, ...]  # s that the event loop was late, one value each LAG_EVERY_S
    applied: tuple[Applied, ...] = ()


class Report(msgspec.Struct, frozen=True, tag=True):
    """Write what was seen since the last report to a file."""

    path: str


class Restart(msgspec.Struct, frozen=True, tag=True):
    """Restart every proxy, spread evenly over this time; `killed`: none tells of its end."""

    within_s: float
    killed: bool = False


Order = Report | Restart


class HollowHost:
    """The proxies of this process, and how late its event loop is."""

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
        self._membership: list[MembershipLook] = []
        self._restarts = 0
        self._gossip: GossipSetup | None = None

    def create_proxies(self) -> None:
        """Make all proxies, to run once the loop's clock is released.  OSError: a taken port."""
        if self._file.gossip_port:
            self._start_gossip()
        if self._file.distribution:
            self._start_distribution()
        gc.collect()
        gc.freeze()  # as the daemon does: collections need not walk what start-up made
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
        gc.disable()  # nothing of what is made here is garbage
        for proxy in self.proxies:
            proxy.start_gossip(setup, fleet)
        gc.enable()
        self._gossip = setup
        self._loop.call_later(MEMBERSHIP_LOOK_S, self._sample_membership)

    def release(self) -> None:
        """Let the clocks go on, and so the proxies begin."""
        self._loop.release()
        if self._gossip is not None:
            self._gossip.clock.release()

    def restart(self, within_s: float, killed: bool) -> None:
        """Restart all proxies over this time."""
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
        """The first proxies of its region, as an operator's file would name them."""
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
        self._loop.call_later(MEMBERSHIP_LOOK_S, self._sample_membership)
        if sizes := self._member_counts():
            self._membership.append(look(sizes, self._loop.time() + self._loop.behind_s))

    def _member_counts(self) -> list[int]:
        return [proxy.sharing.members.size for proxy in self.proxies if proxy.sharing]

    def _current_process_counts(self) -> tuple[int, ...]:
        """Of each proxy, the hollow ones that it knows as their present process, with itself."""
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
        """What was seen since the last call."""
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
        """End all proxies."""
        for proxy in self.proxies:
            proxy.close()


async def host(file: HostFile, loop: HeldLoop) -> None:
    """Host the proxies until the standard input ends."""
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
    """One order.  What it came to, in a word."""
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
    """The process."""
    file = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HostFile)
    loop = HeldLoop()
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(host(file, loop))


if __name__ == "__main__":
    main()
