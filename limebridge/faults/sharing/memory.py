"""Simulates several proxies that share a budget under a plan of faults, deterministic by seed.

The simulation runs the gossip service of the daemon (`violetroute/sharing`) on a virtual network.
Each process has its own clock, whose rate is wrong by at most the configured drift.  Datagrams are
lost, delayed, duplicated and reordered by the faults of the plan, independently on each link.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from limebridge.faults import seed_runs
from limebridge.faults.process import DRIFT, START_UNIX_S, ProcessClock
from limebridge.faults.violation import Violation
from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from limebridge.virtual.session import isolated_run
from snowstall.messages import LoadSample
from violetroute.membership import NodeAddresses
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import BudgetTable, SharingTable
from violetroute.sharing.wire import Keys
from violetroute.transport.loop_lag import Turns
from violetroute.transport.sockets import SocketNetwork

from . import checker
from .checker import Admission, Note, Observed
from .plan import Fault, Link, Plan, cut_links, generate, without_fault

KEYS = Keys([b"a key of a world in memory"])
FIRST_PORT = 7000  # port of the process with number 0
# Run time after healing, in addition to three loan times: 50 probe intervals, in which all members
# are found alive after suspicions, and a loan and the next one take effect.
HEAL_S = 10.0
LOAD_FACTOR = 2.0  # load of the loaded proxy, in budgets
IDLE_RATE = 0.5  # requests a second at each other proxy
DEMAND_RISE_S = 1.5  # s until a proxy's demand average shows a load of 1.5 times its home part
MAX_WAIT_S = 0.2  # a client's wait that is longer is drawn anew after this time
CHECK_INTERVAL_S = 0.02  # s between two checks of the authority of all processes
LATENCY_S = 0.0005  # s, one way
# Share of the budget that must be spent at the end.  Below 1 because of clock drift and because
# the simulation proceeds in steps.
MIN_FINAL_SHARE = 0.85


class StubHost:
    """The proxy as the gossip service uses it, without nodes; ignores what other proxies report."""

    def __init__(self) -> None:
        self.places, self.load_samples = NodeAddresses(), deque[LoadSample]()

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        pass


class Process:
    """A proxy under one name: its current incarnation, if it runs, and its clock."""

    def __init__(self, world: World, number: int, port: int) -> None:
        self.world, self.number, self.name, self.port = world, number, f"p{number}", port
        self.rate = world.rng.uniform(1.0 - DRIFT, 1.0 + DRIFT)
        self.sharing: Sharing | None = None
        self.incarnation = ""  # name and number of the start, also the owner of its sockets
        self.restarting = False
        self.overloaded_since = math.inf  # time (s) since which its load is 1.5 times its home part

    def start(self) -> None:
        """Start a new incarnation and the client that sends it requests."""
        world = self.world
        world.start_count += 1
        self.clock = ProcessClock(world.loop, self.rate)
        self.incarnation = f"{self.name}/{world.start_count}"
        world.process_numbers[self.incarnation] = self.number
        net = SocketNetwork(
            self.clock,  # type: ignore[arg-type]
            Turns(),
            make=world.kernel.maker(self.incarnation),
            clock=lambda: START_UNIX_S + world.kernel.now,
        )
        table = SharingTable(
            listen=f"127.0.0.1:{self.port}",
            seeds=(f"127.0.0.1:{FIRST_PORT}", f"127.0.0.1:{FIRST_PORT + 1}"),
            proxies=world.plan.daemons,
            probe_s=0.2,
            loan_s=world.plan.loan_s,
            drift=DRIFT,
            burst_s=checker.BURST_S,
            budget=(BudgetTable("all", world.plan.per_s),),
        )
        self.sharing = Sharing(
            table, KEYS, self.name, "a", 1000.0, net, StubHost(), life=f"life{world.start_count}"
        )
        self._send_request(self.incarnation, False)

    def _send_request(self, incarnation: str, due: bool) -> None:
        """Send a client's request if `due`, and schedule the next call.

        The client runs by the clock of the world, not by that of this process.
        """
        sharing, world = self.sharing, self.world
        if sharing is None or incarnation != self.incarnation:
            return
        now = world.kernel.now
        if due and now >= self.clock.stopped_until and sharing.admits("", "lookup") is None:
            world.observed.admissions.append(Admission(now, self.incarnation))
        # The exponential distribution has no memory, so a long wait may be drawn anew later, by the
        # rate at that time.
        wait = world.request_rng.expovariate(world.rates[self.number])
        world.kernel.at(
            now + min(wait, MAX_WAIT_S),
            lambda: self._send_request(incarnation, wait < MAX_WAIT_S),
        )

    def kill(self) -> None:
        """Stop at once, as after SIGKILL; no-op if it does not run."""
        if self.sharing is None:
            return
        self.sharing, self.clock.killed = None, True
        kernel = self.world.kernel
        for sock in [sock for sock in kernel.sockets.values() if sock.owner == self.incarnation]:
            self.world.loop.remove_reader(sock.fileno())
            sock.close()
        kernel.paused.pop(self.incarnation, None)

    def term(self) -> None:
        """Announce the departure to the other members, then stop; no-op if it does not run."""
        if self.sharing is not None:
            self.sharing.leave()
            self.sharing.close()
            self.kill()

    def stop(self, seconds: float) -> None:
        """Do nothing for `seconds`, as after SIGSTOP; its clock goes on."""
        if self.sharing is not None:
            self.clock.stop(self.world.kernel, self.incarnation, seconds)


class World:
    """The simulated network, processes and clients of one plan."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.kernel = Kernel(plan.seed, start=1000.0)
        self.loop = VirtualLoop(self.kernel)
        self.rng = random.Random(f"world/{plan.seed}")
        # A generator of its own, so that faults do not change the load.
        self.request_rng = random.Random(f"asks/{plan.seed}")
        self.network_rng = random.Random(f"way/{plan.seed}")
        self.observed = Observed()
        self.start_count = 0
        self.process_numbers: dict[str, int] = {}  # by incarnation
        self.rates = [IDLE_RATE] * plan.daemons
        self.rates[-1] = LOAD_FACTOR * plan.per_s
        self.cut_counts: Counter[Link] = Counter()  # active faults that cut a link
        self.loss, self.storm = 0.0, 0.0
        self.kernel.datagram_delays = self._datagram_delays
        self.duplicates: list[Process] = []
        self.violations: list[Violation] = []

    def _datagram_delays(self, incarnation: str, port: int) -> list[float]:
        """Delays in s of a datagram's copies; empty if it is lost."""
        link = self.process_numbers[incarnation], (port - FIRST_PORT) % 100
        if self.cut_counts[link] or self.network_rng.random() < self.loss:
            return []
        latency = LATENCY_S * (1.0 + self.network_rng.random())
        if not self.storm:
            return [latency]
        delays = [latency + self.storm * self.network_rng.random() ** 3]
        if self.network_rng.random() < 0.3:  # a duplicate, which may come after much has changed
            delays.append(latency + 3.0 * self.storm * self.network_rng.random())
        return delays

    async def run(self) -> None:
        """Start the processes, apply the faults, heal them and run on until `end`."""
        plan = self.plan
        self.processes = [
            Process(self, number, FIRST_PORT + number) for number in range(plan.daemons)
        ]
        self.observed.started_at = self.kernel.now
        for process in self.processes:
            process.start()
        tasks = []
        checks = asyncio.create_task(self._check_authority())
        for fault in plan.fault:
            await asyncio.sleep(max(0.0, self.observed.started_at + fault.at - self.kernel.now))
            self.observed.notes.append(
                Note(
                    self.kernel.now, f"{fault.kind} p{fault.who % plan.daemons} for {fault.seconds}"
                )
            )
            tasks.append(asyncio.create_task(self._apply_fault(fault)))
        await asyncio.sleep(max(0.0, self.observed.started_at + plan.seconds - self.kernel.now))
        await asyncio.gather(*tasks)
        for duplicate in self.duplicates:
            duplicate.term()
        for process in self.processes:
            if process.sharing is None:
                process.start()
        self.observed.healed_at = self.kernel.now
        await asyncio.sleep(HEAL_S + 3.0 * plan.loan_s)
        self.end = self.kernel.now
        checks.cancel()

    async def _check_authority(self) -> None:
        """Check the sum of all authorities, each by its own clock, every CHECK_INTERVAL_S.

        Each duplicate process of a name may spend that name's home part once more.
        """
        duplicates = sum(fault.kind == "twin" for fault in self.plan.fault)
        limit = self.plan.per_s * 1000.0 * (1.0 + duplicates / self.plan.daemons)
        while not self.violations:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for process in self.processes:
                self._check_home_part(process)
            authority = sum(
                process.sharing.budgets["all"].loans.authority(process.clock.time())
                for process in (*self.processes, *self.duplicates)
                if process.sharing is not None
            )
            if authority > limit:
                at = self.kernel.now - self.observed.started_at
                text = (
                    f"all may spend {authority / 1000.0:.3f} requests/s, "
                    f"limit {limit / 1000.0:.3f}, at {at:.3f}"
                )
                self.violations.append(Violation("authority", text))

    def _check_home_part(self, process: Process) -> None:
        """Check that a proxy has its whole home part back after a long overload.

        Whoever borrowed from it, the loans must have expired by then without a renewal.
        """
        sharing, now = process.sharing, self.kernel.now
        if (
            sharing is None
            or now < process.clock.stopped_until
            or sharing.members.duplicate is not None
        ):
            process.overloaded_since = math.inf
            return
        loans, clock = sharing.budgets["all"].loans, process.clock.time()
        if (
            1000.0 * self.rates[process.number] < 1.5 * loans.home
            or clock < loans.home_available_at
        ):
            process.overloaded_since = math.inf
            return
        process.overloaded_since = min(process.overloaded_since, now)
        if (
            now - process.overloaded_since > DEMAND_RISE_S + 1.2 * self.plan.loan_s
            and loans.own_authority(clock) < loans.home
        ):
            self.violations.append(
                Violation(
                    "floor",
                    f"{process.incarnation} has {loans.own_authority(clock) / 1000.0:.3f} "
                    f"requests/s of its home part {loans.home / 1000.0:.3f} "
                    f"at {now - self.observed.started_at:.3f}",
                )
            )

    async def _apply_fault(self, fault: Fault) -> None:
        who = fault.who % self.plan.daemons
        match fault.kind:
            case "kill" | "term":
                await self._restart([self.processes[who]], fault.kind == "kill", fault.seconds)
            case "all":
                await self._restart(self.processes, True, 0.2)
            case "stop":
                self.processes[who].stop(fault.seconds)
            case "twin":
                duplicate = Process(self, who, FIRST_PORT + 100 * (1 + len(self.duplicates)) + who)
                duplicate.start()
                self.duplicates.append(duplicate)
            case "cut" | "deaf" | "mute" | "split":
                await self._cut(fault)
            case "loss":
                self.loss = 0.3
                await asyncio.sleep(fault.seconds)
                self.loss = 0.0
            case "storm":
                self.storm = 0.5
                await asyncio.sleep(fault.seconds)
                self.storm = 0.0
            case "crowd":
                before, self.rates = self.rates, [self.plan.per_s] * self.plan.daemons
                await asyncio.sleep(fault.seconds)
                self.rates = before
            case "moves":  # the load moves to other proxies, without notice
                self.rates = self.rates[1:] + self.rates[:1]

    async def _cut(self, fault: Fault) -> None:
        """Drop all datagrams on some links for a while."""
        links = cut_links(fault, self.plan.daemons)
        self.cut_counts.update(links)
        await asyncio.sleep(fault.seconds)
        self.cut_counts.subtract(links)

    async def _restart(self, processes: Sequence[Process], hard: bool, seconds: float) -> None:
        """Kill or terminate processes at the same time, and start them after `seconds`."""
        for process in processes:
            if not process.restarting:
                process.restarting = True
                process.kill() if hard else process.term()
        await asyncio.sleep(seconds)
        for process in processes:
            if process.sharing is None:
                process.start()
            process.restarting = False


@dataclass(frozen=True)
class Outcome:
    """The result of a run."""

    plan: Plan
    violations: tuple[Violation, ...]
    admitted: int  # admitted requests
    peak: int  # most requests admitted in any window of one second
    final_share: float  # share of the budget spent in the last two seconds
    digest: str  # digest of the admissions
    trace: str = ""  # the trace, if it was requested or there is a violation


def run_plan(plan: Plan, with_trace: bool = False) -> Outcome:
    """Run one plan; a plan has the same outcome each time and on every machine."""
    world = World(plan)
    try:
        with isolated_run(logging.CRITICAL, logging.NullHandler()):
            world.loop.run_until_complete(world.run())
    finally:
        for process in (*getattr(world, "processes", []), *world.duplicates):
            process.kill()
        world.loop.close()
    observed = world.observed
    violations = world.violations + checker.find_violations(plan, observed, real=False)
    final_share = checker.budget_share(plan, observed, world.end - 2.0, world.end)
    if final_share < MIN_FINAL_SHARE:
        violations.append(
            Violation("goes on", f"only {final_share:.3f} of the budget is spent at the end")
        )
    admissions = [(round(admission.at, 6), admission.proxy) for admission in observed.admissions]
    digest = blake2b(repr(admissions).encode(), digest_size=8)
    return Outcome(
        plan,
        tuple(violations),
        len(observed.admissions),
        max(
            (window.admitted for window in checker.sliding_windows(observed.admissions)), default=0
        ),
        final_share,
        digest.hexdigest(),
        checker.format_trace(observed, violations) if with_trace or violations else "",
    )


def explore(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None = None
) -> Iterator[list[Outcome]]:
    """Run `seeds` plans in `jobs` processes; outcomes in chunks, in the order of the seeds.

    `prepare`: called first in each process.
    """
    return seed_runs.explore(run_seed, first, seeds, jobs, prepare)


def shrink(found: Outcome) -> Outcome:
    """Leave out faults while the same rule is still violated; the outcome with its trace."""
    return run_plan(seed_runs.shrink(found, run_plan, without_fault).plan, with_trace=True)


def run_seed(seed: int, **changes: object) -> Outcome:
    """Run the plan of a seed; `changes` replace fields of the plan."""
    return run_plan(msgspec.structs.replace(generate(seed), **changes))
