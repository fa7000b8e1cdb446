"""The plan of a scale run: its arguments, their checks, and the addresses of its proxies."""

from __future__ import annotations

import math
import os
import resource

import msgspec

from violetroute.distribution.control_file import Timings
from violetroute.sharing.table import SharingTable

from .links import loopback_host

MAX_PROCESSES = 300
MAX_MEMBERS = 4000  # proxies of one fleet: the upper bound of `[sharing] proxies`
MAX_CONTROLS = 16
MAX_REGIONS = 64
SEEDS = 4  # proxies of its region that a starting proxy has as gossip seeds
HOLLOW_PER_HOST = 330  # per process; a low soft limit of descriptors may allow fewer
REGIONS_PER_RELAY = 3
DESCRIPTORS_PER_HOLLOW = 4  # a UDP socket, one or two TCP connections, one to spare
DESCRIPTORS_OF_HOST = 64  # descriptors of a host process besides those of its hollow proxies
BURST_SHARE = 0.1  # length of the burst as a share of the measured time
MB = 1_000_000

# Memory use, measured with `limebridge scale run` and rounded up.
HOST_BASE_MB = 55.0  # a process that hosts hollow proxies, before the first of them
HOLLOW_MB = 0.10  # a hollow proxy with distribution, without members and nodes
MEMBER_BYTES = 350.0  # one member in the member list of one hollow proxy
NODE_BYTES = 700.0  # one cache node in the health reports of one hollow proxy
REAL_MB = 45.0  # a real daemon
CONTROL_MB = 80.0  # a control machine
RELAY_MB = 60.0  # a relay, or the process that controls the run


class PlanError(Exception):
    """The plan is invalid or too large for this machine; a one-line message."""


class ProxyLocation(msgspec.Struct, frozen=True):
    """The identity and location of a proxy of the run."""

    name: str
    number: int  # index among all proxies, hollow ones first
    region: int
    zone: str
    host: str  # its loopback address, which encodes the region (`links.region_of_host`)


class RunPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The arguments of `limebridge scale run`; stored in the report."""

    proxies: int = 2600  # hollow proxies
    sites: int = 170
    regions: int = 10
    nodes: int = 1200
    real: int = 8
    controls: int = 8
    seconds: float = 60.0  # length of the measurement
    warm_seconds: float = 10.0  # warm-up before the measurement, once all processes have started
    purges: float = 71.0  # per second
    changes: float = 0.0  # configuration changes per second
    burst: float = 1.0  # factor of `purges` for BURST_SHARE of the time, from the middle on
    loss: float = 0.0  # share of datagrams and TCP segments that the links lose
    kill_control: bool = False  # the leader is killed after a third of the time
    # If above 0, all hollow proxies restart, spread over this time, after a third of the time.
    restart_within_s: float = 0.0
    restart_killed: bool = False  # restarting proxies are killed and do not end their sessions
    gossip: bool = True
    probe_s: float = SharingTable().probe_s  # interval at which a proxy probes another member
    # Synthetic requests per second of each hollow proxy: input of its health reports and counts.
    requests: float = 8.0
    failed_share: float = 0.0  # share of the synthetic requests: failures to report
    hosts: int = 0  # processes that host hollow proxies; 0: as few as needed
    seed: int = 1
    slowdown: float = 1.0  # factor by which the clocks of all processes are slowed
    distribution: bool = True
    batch_s: float = Timings().batch_s  # this and the next two: as in a control machine's file
    spread_s: float = Timings().spread_s
    stale_after_s: float = Timings().stale_after_s

    @property
    def host_count(self) -> int:
        """The number of processes that host hollow proxies."""
        return self.hosts or math.ceil(self.proxies / HOLLOW_PER_HOST)

    @property
    def relay_count(self) -> int:
        """The number of processes that relay TCP between regions."""
        return math.ceil(self.regions / REGIONS_PER_RELAY)

    @property
    def process_count(self) -> int:
        """The number of processes, including this one.

        With real daemons there is one more, without control protocols, for comparison.
        """
        baseline = 1 if self.real else 0
        return self.host_count + self.relay_count + self.real + baseline + self.controls + 1

    @property
    def members(self) -> int:
        """The number of proxies of the fleet, hollow and real."""
        return self.proxies + self.real

    @property
    def memory_mb(self) -> float:
        """Estimate of the memory of all processes in MB."""
        tables = self.nodes * NODE_BYTES + (self.members * MEMBER_BYTES if self.gossip else 0.0)
        hollow = self.proxies * (HOLLOW_MB + tables / MB)
        others = self.host_count * HOST_BASE_MB + (self.relay_count + 1) * RELAY_MB
        return hollow + others + (self.real + 1) * REAL_MB + self.controls * CONTROL_MB

    def hollow_locations(self) -> list[ProxyLocation]:
        """All hollow proxies, assigned to sites in turn; each site is in one region."""
        return [self._location(number, f"h{number}") for number in range(self.proxies)]

    def real_locations(self) -> list[ProxyLocation]:
        """The real daemons, spread over the regions."""
        return [self._location(self.proxies + number, f"p{number}") for number in range(self.real)]

    def _location(self, number: int, name: str) -> ProxyLocation:
        region = number % self.sites % self.regions
        return ProxyLocation(name, number, region, f"r{region}", loopback_host(region, number))

    def control_region(self, number: int) -> int:
        """The region of a control machine."""
        return number % self.regions


def check_plan(plan: RunPlan, memory_mb: float | None = None) -> None:
    """Raise PlanError if an argument is invalid or this machine is too small for the run.

    A run may use half of `memory_mb`, by default the physical memory of this machine.
    """
    _check_arguments(plan)
    if plan.process_count > MAX_PROCESSES:
        raise PlanError(
            f"{plan.process_count} processes are needed, at most {MAX_PROCESSES} are allowed"
            " (fewer --real, --controls or --hosts)"
        )
    memory = total_memory_mb() if memory_mb is None else memory_mb
    if plan.memory_mb > memory / 2.0:
        raise PlanError(
            f"about {plan.memory_mb:.0f} MB are needed, half of this machine's memory is"
            f" {memory / 2.0:.0f} MB (fewer --proxies)"
        )
    _check_descriptors(plan)


def _check_arguments(plan: RunPlan) -> None:
    bounds = (
        ("--proxies", plan.proxies, 1, MAX_MEMBERS - plan.real),
        ("--sites", plan.sites, 1, plan.proxies),
        ("--regions", plan.regions, 1, min(MAX_REGIONS, plan.sites)),
        ("--nodes", plan.nodes, 0, 10_000),
        ("--real", plan.real, 0, MAX_PROCESSES),
        ("--controls", plan.controls, 1, MAX_CONTROLS),
        ("--seconds", plan.seconds, 1.0, 3600.0),
        ("--warm", plan.warm_seconds, 0.0, 600.0),
        ("--purges", plan.purges, 0.1, 1000.0),
        ("--changes", plan.changes, 0.0, 100.0),
        ("--burst", plan.burst, 1.0, 100.0),
        ("--loss", plan.loss, 0.0, 0.5),
        ("--restart-within", plan.restart_within_s, 0.0, plan.seconds / 2.0),
        ("--requests", plan.requests, 0.0, 1000.0),
        ("--failed", plan.failed_share, 0.0, 1.0),
        ("--probe", plan.probe_s, 0.05, 60.0),  # the bounds of `[sharing] probe_s`
        ("--hosts", plan.hosts, 0, plan.proxies),
        ("--slowdown", plan.slowdown, 1.0, 20.0),
        ("--batch", plan.batch_s, 0.0, 60.0),
        ("--spread", plan.spread_s, 0.0, 60.0),
        ("--stale-after", plan.stale_after_s, 1.0, 3600.0),
    )
    for name, value, minimum, maximum in bounds:
        if not minimum <= value <= maximum:
            raise PlanError(f"{name}: {value:g} is not between {minimum:g} and {maximum:g}")
    if plan.kill_control and plan.controls < 3:
        raise PlanError("--kill-control: needs three control machines, so that two remain")


def _check_descriptors(plan: RunPlan) -> None:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    per_host = math.ceil(plan.proxies / plan.host_count)
    needed = per_host * DESCRIPTORS_PER_HOLLOW + DESCRIPTORS_OF_HOST
    if soft != resource.RLIM_INFINITY and needed > soft:
        raise PlanError(
            f"--hosts: {plan.host_count} processes would need {needed} file descriptors each,"
            f" the soft limit is {soft}"
        )


def total_memory_mb() -> float:
    """The physical memory of this machine in MB."""
    return os.sysconf("SC_PHYS_PAGES") * resource.getpagesize() / MB
