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
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from limebridge.faults import many
from limebridge.faults.lives import DRIFT, START, ProcessClock
from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from limebridge.virtual.stage import quiet
from snowstall.messages import Judged
from violetroute.membership import Places
from violetroute.sharing.table import BudgetTable, SharingTable
from violetroute.sharing.talk import Sharing
from violetroute.sharing.wire import Keys
from violetroute.transport.sockets import SocketNetwork
from violetroute.transport.turns import Turns

from . import judge
from .judge import Seen
from .plan import Fault, Plan, draw, without

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
        self.places, self.judged = Places(), deque[Judged]()

    def others(self, bad: list[int], outcomes: list[Judged]) -> None:
        pass


class Process:
    """One life after another of one name."""

    def __init__(self, world: World, number: int, port: int) -> None:
        self.world, self.number, self.name, self.port = world, number, f"p{number}", port
        self.rate = world.rng.uniform(1.0 - DRIFT, 1.0 + DRIFT)
        self.sharing: Sharing | None = None
        self.owner = ""
        self.busy = False
        self.needs = math.inf  # since when it is asked for more than its part

    def start(self) -> None:
        world = self.world
        world.lives += 1
        self.clock = ProcessClock(world.loop, self.rate)
        self.owner = f"{self.name}/{world.lives}"
        world.numbers[self.owner] = self.number
        net = SocketNetwork(
            self.clock,
            Turns(),  # type: ignore[arg-type]
            make=world.kernel.maker(self.owner),
            clock=lambda: START + world.kernel.now,
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
            table, KEYS, self.name, "a", 1000.0, net, Proxy(), life=f"life{world.lives}"
        )
        self._ask(self.owner, False)

    def _ask(self, owner: str, asks: bool) -> None:
        """A client's next request; its time is the world's, not this process's."""
        sharing, world = self.sharing, self.world
        if sharing is None or owner != self.owner:
            return
        now = world.kernel.now
        if asks and now >= self.clock.until and sharing.admits("", "lookup") is None:
            world.seen.spent.append((now, self.owner))
        # Without memory: one that would come late is drawn anew, by the rate that is then.
        wait = world.asks.expovariate(world.rates[self.number])
        world.kernel.at(now + min(wait, REDRAWN), lambda: self._ask(owner, wait < REDRAWN))

    def kill(self) -> None:
        if self.sharing is None:
            return
        self.sharing, self.clock.dead = None, True
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
        self.lives = 0
        self.numbers: dict[str, int] = {}  # of processes, by owner
        self.rates = [IDLE] * plan.daemons
        self.rates[-1] = LOADED * plan.per_s
        self.blocked: dict[tuple[int, int], int] = {}  # ways that are cut, and how often
        self.loss, self.storm = 0.0, 0.0
        self.kernel.weather = self._weather
        self.twins: list[Process] = []
        self.wrong: list[tuple[str, str]] = []

    def _weather(self, owner: str, port: int) -> list[float]:
        way = self.numbers[owner], (port - PORT) % 100
        if self.blocked.get(way) or self.way.random() < self.loss:
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
                (self.kernel.now, f"{fault.kind} p{fault.who % plan.daemons} for {fault.seconds}")
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
        """What all lives may spend together, each by its own clock, at instants of the world's."""
        most = (
            self.plan.per_s
            * 1000.0
            * (
                1.0
                + len([fault for fault in self.plan.fault if fault.kind == "twin"])
                / self.plan.daemons
            )
        )
        while not self.wrong:
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
                self.wrong.append(
                    ("authority", f"{may / 1000.0:.3f} a second of {most / 1000.0:.3f} at {at:.3f}")
                )

    def _floor(self, process: Process) -> None:
        """Who has been asked for more than its part for long has all of that, whoever borrows."""
        sharing, now = process.sharing, self.kernel.now
        if sharing is None or now < process.clock.until or sharing.members.twin is not None:
            process.needs = math.inf
            return
        loans, clock = sharing.budgets["all"].loans, process.clock.time()
        if 1000.0 * self.rates[process.number] < 1.5 * loans.home or clock < loans.waits_until:
            process.needs = math.inf
            return
        process.needs = min(process.needs, now)
        if now - process.needs > KNOWN + 1.2 * self.plan.loan_s and loans.own(clock) < loans.home:
            self.wrong.append(
                (
                    "floor",
                    f"{process.owner} has {loans.own(clock) / 1000.0:.3f} of "
                    f"its {loans.home / 1000.0:.3f} at {now - self.seen.began:.3f}",
                )
            )

    async def _fault(self, fault: Fault) -> None:
        plan, who = self.plan, fault.who % self.plan.daemons
        process, others = self.processes[who], [n for n in range(plan.daemons) if n != who]
        match fault.kind:
            case "kill" | "term" | "all":
                for each in self.processes if fault.kind == "all" else (process,):
                    if not each.busy:
                        each.busy = True
                        each.term() if fault.kind == "term" else each.kill()
                await asyncio.sleep(fault.seconds if fault.kind != "all" else 0.2)
                for each in self.processes if fault.kind == "all" else (process,):
                    if each.sharing is None:
                        each.start()
                    each.busy = False
            case "stop":
                process.stop(fault.seconds)
            case "twin":
                twin = Process(self, who, PORT + 100 * (1 + len(self.twins)) + who)
                twin.start()
                self.twins.append(twin)
            case "cut" | "deaf" | "mute" | "split":
                if fault.kind == "split":
                    here = range(who + 1)
                    ways = [
                        (a, b)
                        for a in range(plan.daemons)
                        for b in range(plan.daemons)
                        if (a in here) != (b in here)
                    ]
                else:
                    ways = [(n, who) for n in others if fault.kind != "mute"]
                    ways += [(who, n) for n in others if fault.kind != "deaf"]
                for way in ways:
                    self.blocked[way] = self.blocked.get(way, 0) + 1
                await asyncio.sleep(fault.seconds)
                for way in ways:
                    self.blocked[way] -= 1
            case "loss":
                self.loss = 0.3
                await asyncio.sleep(fault.seconds)
                self.loss = 0.0
            case "storm":
                self.storm = 0.5
                await asyncio.sleep(fault.seconds)
                self.storm = 0.0
            case "crowd":
                before, self.rates = self.rates, [plan.per_s] * plan.daemons
                await asyncio.sleep(fault.seconds)
                self.rates = before
            case "moves":  # the load goes elsewhere, and is not told
                self.rates = self.rates[1:] + self.rates[:1]


@dataclass(frozen=True)
class Outcome:
    """What is kept of a run.  `again`: of the budget, spent in the last seconds."""

    plan: Plan
    broken: tuple[tuple[str, str], ...]
    spent: int
    most: int  # in a second
    again: float
    digest: str
    story: str = ""


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
    wrong = world.wrong + judge.broken(plan, seen, real=False)
    again = judge.share(plan, seen, world.end - 2.0, world.end)
    if again < ENOUGH:
        wrong.append(("goes on", f"{again:.3f} of the budget is spent in the end"))
    digest = blake2b(repr([(round(at, 6), who) for at, who in seen.spent]).encode(), digest_size=8)
    return Outcome(
        plan,
        tuple(wrong),
        len(seen.spent),
        max((count for _, count in judge.windows(seen.spent)), default=0),
        again,
        digest.hexdigest(),
        judge.tell(seen, wrong) if tells or wrong else "",
    )


def explore(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None = None
) -> Iterator[list[Outcome]]:
    """Outcomes by chunks, in the seeds' order."""
    return many.explore(played, first, seeds, jobs, prepare)


def shrink(found: Outcome) -> Outcome:
    """The fewest faults with which the same property breaks, and its story."""
    return play(many.shrink(found, play, without).plan, tells=True)


def played(seed: int, **changes: object) -> Outcome:
    """The plan of a seed, perhaps with other figures."""
    return play(msgspec.structs.replace(draw(seed), **changes))
