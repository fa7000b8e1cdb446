"""Several proxies' sharing in one virtual world: a plan of faults, exact from its seed.

What runs is the daemon's own part (`violetroute/sharing`), from the datagram up.  Each process has
a clock of its own rate within the stated drift; datagrams are lost, late, twice and out of order as
the plan's faults have it, on every way by itself.
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

from limebridge.faults import many
from limebridge.faults.process import DRIFT, START_UNIX_S, ProcessClock
from limebridge.faults.violation import Violation
from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from limebridge.virtual.session import quiet
from snowstall.messages import LoadSample
from violetroute.membership import NodeAddresses
from violetroute.sharing.service import Sharing
from violetroute.sharing.table import BudgetTable, SharingTable
from violetroute.sharing.wire import Keys
from violetroute.transport.loop_lag import Turns
from violetroute.transport.sockets import SocketNetwork

from . import judge
from .judge import Admission, Note, Seen
from .plan import Fault, Plan, Way, cut_ways, draw, without_fault

KEYS = Keys([b"a key of a world in memory"])
PORT = 7000  # of the first
HEAL = 10.0  # s, fifty probes, until all is found well again: suspicions, a loan, another
LOADED = 2.0  # times the budget that the loaded proxy is asked for
IDLE = 0.5  # requests a second of each other
KNOWN = 1.5  # s until a proxy knows a demand of half as much again as its part
REDRAWN = 0.2  # s after which a client's wait is drawn anew
LOOK = 0.02  # s between two looks at what all may spend
LATENCY = 0.0005  # s one way
ENOUGH = 0.85  # of the budget that is spent again in the end, clocks and steps being what they are


class Proxy:
    """What the part asks of the proxy."""

    def __init__(self) -> None:
        self.places, self.load_samples = NodeAddresses(), deque[LoadSample]()

    def apply_peer_reports(self, bad: list[int], outcomes: list[LoadSample]) -> None:
        pass


class Process:
    """The incarnations of one name, one after another."""

    def __init__(self, world: World, number: int, port: int) -> None:
        self.world, self.number, self.name, self.port = world, number, f"p{number}", port
        self.rate = world.rng.uniform(1.0 - DRIFT, 1.0 + DRIFT)
        self.sharing: Sharing | None = None
        self.owner = ""
        self.busy = False
        self.needs = math.inf  # since when it is asked for more than its part

    def start(self) -> None:
        world = self.world
        world.started += 1
        self.clock = ProcessClock(world.loop, self.rate)
        self.owner = f"{self.name}/{world.started}"
        world.numbers[self.owner] = self.number
        net = SocketNetwork(
            self.clock,  # type: ignore[arg-type]
            Turns(),
            make=world.kernel.maker(self.owner),
            clock=lambda: START_UNIX_S + world.kernel.now,
        )
        table = SharingTable(
            listen=f"127.0.0.1:{self.port}",
            seeds=(f"127.0.0.1:{PORT}", f"127.0.0.1:{PORT + 1}"),
            proxies=world.plan.daemons,
            probe_s=0.2,
            loan_s=world.plan.loan_s,
            drift=DRIFT,
            burst_s=judge.BURST_S,
            budget=(BudgetTable("all", world.plan.per_s),),
        )
        self.sharing = Sharing(
            table, KEYS, self.name, "a", 1000.0, net, Proxy(), life=f"life{world.started}"
        )
        self._ask(self.owner, False)

    def _ask(self, owner: str, asks: bool) -> None:
        """A client's next request; its time is the world's, not this process's."""
        sharing, world = self.sharing, self.world
        if sharing is None or owner != self.owner:
            return
        now = world.kernel.now
        if asks and now >= self.clock.stopped_until and sharing.admits("", "lookup") is None:
            world.seen.spent.append(Admission(now, self.owner))
        # Without memory: one that would come late is drawn anew, by the rate that is then.
        wait = world.asks.expovariate(world.rates[self.number])
        world.kernel.at(now + min(wait, REDRAWN), lambda: self._ask(owner, wait < REDRAWN))

    def kill(self) -> None:
        if self.sharing is None:
            return
        self.sharing, self.clock.killed = None, True
        kernel = self.world.kernel
        for sock in [sock for sock in kernel.sockets.values() if sock.owner == self.owner]:
            self.world.loop.remove_reader(sock.fileno())
            sock.close()
        kernel.paused.pop(self.owner, None)

    def term(self) -> None:
        if self.sharing is not None:
            self.sharing.leave()
            self.sharing.close()
            self.kill()

    def stop(self, seconds: float) -> None:
        if self.sharing is not None:
            self.clock.stop(self.world.kernel, self.owner, seconds)


class World:
    """One plan."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.kernel = Kernel(plan.seed, start=1000.0)
        self.loop = VirtualLoop(self.kernel)
        self.rng = random.Random(f"world/{plan.seed}")
        self.asks = random.Random(f"asks/{plan.seed}")  # its own: a fault must not shift the load
        self.way = random.Random(f"way/{plan.seed}")
        self.seen = Seen()
        self.started = 0
        self.numbers: dict[str, int] = {}  # of processes, by owner
        self.rates = [IDLE] * plan.daemons
        self.rates[-1] = LOADED * plan.per_s
        self.cut: Counter[Way] = Counter()  # how many faults cut it
        self.loss, self.storm = 0.0, 0.0
        self.kernel.datagram_delays = self._weather
        self.twins: list[Process] = []
        self.violations: list[Violation] = []

    def _weather(self, owner: str, port: int) -> list[float]:
        way = self.numbers[owner], (port - PORT) % 100
        if self.cut[way] or self.way.random() < self.loss:
            return []
        late = LATENCY * (1.0 + self.way.random())
        if not self.storm:
            return [late]
        copies = [late + self.storm * self.way.random() ** 3]
        if self.way.random() < 0.3:  # some come long after, when much has changed
            copies.append(late + 3.0 * self.storm * self.way.random())
        return copies

    async def play(self) -> None:
        plan = self.plan
        self.processes = [Process(self, number, PORT + number) for number in range(plan.daemons)]
        self.seen.began = self.kernel.now
        for process in self.processes:
            process.start()
        tasks = []
        watch = asyncio.create_task(self._watch())
        for fault in plan.fault:
            await asyncio.sleep(max(0.0, self.seen.began + fault.at - self.kernel.now))
            self.seen.notes.append(
                Note(
                    self.kernel.now, f"{fault.kind} p{fault.who % plan.daemons} for {fault.seconds}"
                )
            )
            tasks.append(asyncio.create_task(self._fault(fault)))
        await asyncio.sleep(max(0.0, self.seen.began + plan.seconds - self.kernel.now))
        await asyncio.gather(*tasks)
        for twin in self.twins:
            twin.term()
        for process in self.processes:
            if process.sharing is None:
                process.start()
        self.seen.healed_at = self.kernel.now
        await asyncio.sleep(HEAL + 3.0 * plan.loan_s)
        self.end = self.kernel.now
        watch.cancel()

    async def _watch(self) -> None:
        """Sum what all processes may spend, each by its own clock, every LOOK seconds."""
        twins = sum(fault.kind == "twin" for fault in self.plan.fault)
        most = self.plan.per_s * 1000.0 * (1.0 + twins / self.plan.daemons)
        while not self.violations:
            await asyncio.sleep(LOOK)
            for process in self.processes:
                self._floor(process)
            may = sum(
                process.sharing.budgets["all"].loans.authority(process.clock.time())
                for process in (*self.processes, *self.twins)
                if process.sharing is not None
            )
            if may > most:
                at = self.kernel.now - self.seen.began
                text = f"{may / 1000.0:.3f} a second of {most / 1000.0:.3f} at {at:.3f}"
                self.violations.append(Violation("authority", text))

    def _floor(self, process: Process) -> None:
        """Who has been asked for more than its part for long has all of that, whoever borrows."""
        sharing, now = process.sharing, self.kernel.now
        if (
            sharing is None
            or now < process.clock.stopped_until
            or sharing.members.duplicate is not None
        ):
            process.needs = math.inf
            return
        loans, clock = sharing.budgets["all"].loans, process.clock.time()
        if (
            1000.0 * self.rates[process.number] < 1.5 * loans.home
            or clock < loans.home_available_at
        ):
            process.needs = math.inf
            return
        process.needs = min(process.needs, now)
        if (
            now - process.needs > KNOWN + 1.2 * self.plan.loan_s
            and loans.own_authority(clock) < loans.home
        ):
            self.violations.append(
                Violation(
                    "floor",
                    f"{process.owner} has {loans.own_authority(clock) / 1000.0:.3f} of "
                    f"its {loans.home / 1000.0:.3f} at {now - self.seen.began:.3f}",
                )
            )

    async def _fault(self, fault: Fault) -> None:
        who = fault.who % self.plan.daemons
        match fault.kind:
            case "kill" | "term":
                await self._restart([self.processes[who]], fault.kind == "kill", fault.seconds)
            case "all":
                await self._restart(self.processes, True, 0.2)
            case "stop":
                self.processes[who].stop(fault.seconds)
            case "twin":
                twin = Process(self, who, PORT + 100 * (1 + len(self.twins)) + who)
                twin.start()
                self.twins.append(twin)
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
            case "moves":  # the load goes to other proxies, which nothing announces
                self.rates = self.rates[1:] + self.rates[:1]

    async def _cut(self, fault: Fault) -> None:
        """Datagrams of some ways are lost for a while."""
        ways = cut_ways(fault, self.plan.daemons)
        self.cut.update(ways)
        await asyncio.sleep(fault.seconds)
        self.cut.subtract(ways)

    async def _restart(self, processes: Sequence[Process], hard: bool, seconds: float) -> None:
        """End processes, all at once, and start them after a while."""
        for process in processes:
            if not process.busy:
                process.busy = True
                process.kill() if hard else process.term()
        await asyncio.sleep(seconds)
        for process in processes:
            if process.sharing is None:
                process.start()
            process.busy = False


@dataclass(frozen=True)
class Outcome:
    """What is kept of a run.  `again`: of the budget, spent in the last seconds."""

    plan: Plan
    violations: tuple[Violation, ...]
    spent: int
    most: int  # in a second
    again: float
    digest: str
    trace: str = ""


def play(plan: Plan, tells: bool = False) -> Outcome:
    """One plan; the same outcome each time and everywhere."""
    world = World(plan)
    try:
        with quiet(logging.CRITICAL, logging.NullHandler()):
            world.loop.run_until_complete(world.play())
    finally:
        for process in (*getattr(world, "processes", []), *world.twins):
            process.kill()
        world.loop.close()
    seen = world.seen
    violations = world.violations + judge.broken(plan, seen, real=False)
    again = judge.share(plan, seen, world.end - 2.0, world.end)
    if again < ENOUGH:
        violations.append(Violation("goes on", f"{again:.3f} of the budget is spent in the end"))
    admitted = [(round(admission.at, 6), admission.proxy) for admission in seen.spent]
    digest = blake2b(repr(admitted).encode(), digest_size=8)
    return Outcome(
        plan,
        tuple(violations),
        len(seen.spent),
        max((window.admitted for window in judge.windows(seen.spent)), default=0),
        again,
        digest.hexdigest(),
        judge.tell(seen, violations) if tells or violations else "",
    )


def explore(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None = None
) -> Iterator[list[Outcome]]:
    """Outcomes by chunks, in the seeds' order."""
    return many.explore(played, first, seeds, jobs, prepare)


def shrink(found: Outcome) -> Outcome:
    """The fewest faults with which the same property breaks, and its story."""
    return play(many.shrink(found, play, without_fault).plan, tells=True)


def played(seed: int, **changes: object) -> Outcome:
    """The plan of a seed, perhaps with other figures."""
    return play(msgspec.structs.replace(draw(seed), **changes))
