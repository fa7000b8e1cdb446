"""Simulation of the usage ledger on the virtual clock with a stand-in disk and billing endpoint.

Units are served at random while the process is killed, the power fails at any write, the disk fails
or hangs, the endpoint fails and the clock steps.  At the end all faults stop, due batches are
exported, and the billed units are compared with the served ones.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from limebridge.standins.billing import BillingEndpoint
from limebridge.standins.disk import PowerLoss, PowerLossDisk
from violetroute.ledger import LedgerTable
from violetroute.ledger.accounts import Book
from violetroute.ledger.service import Ledger
from violetroute.ledger.store import Store
from violetroute.transport.writer import Job, JobCallback

from .kernel import Kernel
from .loop import VirtualLoop
from .net import network

NAME = "p1"
WRITE = 0.004  # s per write
ENDPOINT_FAULTS = (
    "lost before",
    "lost after",
    "500 after",
    "cut after",
    "503",
    "429",
    "409",
    "redirect",
    "noise",
)
TABLE = LedgerTable(
    folder="-",
    period_min=5,
    grace_s=5.0,
    flush_s=0.5,
    export="http",
    retry_s=0.5,
    retry_most_s=5.0,
    timeout_s=2.0,
    tenants_most=50,
    ids=True,
)
START = 1.7e9  # Unix s


@dataclass
class Trial:
    """Parameters of one trial; the power fails at write number `cut_at` (0: never)."""

    seed: int
    minutes: float = 20.0
    rate: float = 4.0  # units per second
    kills: int = 5
    cuts: int = 0
    cut_at: int = 0
    restored: bool = False  # once, an older copy of the disk is restored at a kill
    troubles: bool = True
    steps: bool = True  # of the wall clock


@dataclass
class Outcome:
    """Result of a trial; served, billed and held units by period, tenant and class."""

    served: Counter[tuple[int, str | None, str]] = field(default_factory=Counter)
    billed: Counter[tuple[int, str | None, str]] = field(default_factory=Counter)
    held: Counter[tuple[int, str | None, str]] = field(default_factory=Counter)
    at_risk: int = 0  # units not on the disk when the process was killed or the power failed
    killed: int = 0
    writes: int = 0
    posts: int = 0
    gaps: int = 0
    names: list[str] = field(default_factory=list)  # files on the disk at the end

    @property
    def missing(self) -> int:
        return sum((self.served - self.billed - self.held).values())

    @property
    def doubled(self) -> int:
        return sum((self.billed + self.held - self.served).values())


class TrialWriter:
    """Runs a job at once and reports its result after the duration of a write."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, fails: Callable[[], None], slow: Callable[[], float]
    ) -> None:
        self._loop, self._fails, self._slow = loop, fails, slow
        self.dead = False

    def submit(self, job: Job[Any], callback: JobCallback[Any]) -> None:
        if self.dead:
            return
        result: Any = None
        failure: BaseException | None = None
        try:
            result = job()
        except PowerLoss:
            self._fails()
            return
        except Exception as error:
            failure = error
        self._loop.call_later(self._slow(), self._report, callback, result, failure)

    def _report(
        self, callback: JobCallback[Any], result: Any, failure: BaseException | None
    ) -> None:
        if not self.dead:
            callback(result, failure)

    def close(self, wait_s: float) -> None:
        self.dead = True


class _Run:
    def __init__(self, trial: Trial) -> None:
        self.trial, self.out = trial, Outcome()
        self.kernel = Kernel(trial.seed, start=1000.0)
        self.loop = VirtualLoop(self.kernel)
        self.disk = PowerLossDisk(trial.seed, trial.cut_at)
        self.rng = random.Random(f"trial/{trial.seed}")
        self.wall_off = START - self.kernel.now
        self.billing = BillingEndpoint()
        self.ledger: Ledger | None = None
        self.slow = WRITE
        self.starts = 0
        self.on_disk: dict[tuple[int, str | None, str], int] = {}

    def wall(self) -> float:
        return self.kernel.now + self.wall_off

    def start(self) -> None:
        self.starts += 1
        net = network(self.kernel, "ledger", self.loop, self.wall)
        table = msgspec.structs.replace(TABLE, endpoint=f"127.0.0.1:{self.billing.port}")
        self.writer = TrialWriter(self.loop, self.power_fails, lambda: self.slow)
        self.ledger = Ledger(
            table,
            NAME,
            net,
            lambda: self.disk,
            self.writer,
            nonce=f"{self.trial.seed:x}-{self.starts}",
        )
        if self.writer.dead:  # the power failed while it opened its files
            self.stops()

    def stops(self, ended: bool = False) -> None:
        """Stop the ledger without a shutdown; counts not yet written are lost."""
        ledger, self.ledger = self.ledger, None
        if ledger is None:
            return
        self.writer.dead = True
        ledger.state = "closed"
        if ledger._timer is not None:
            ledger._timer.cancel()
        if ledger._post is not None:
            ledger._post.stop()
        if not ended:
            self.out.killed += 1

    def power_fails(self) -> None:
        self.writer.dead = True
        self.stops()
        self.disk.lose_power()
        self.loop.call_later(1.0, self.start)

    def serve(self) -> None:
        ledger = self.ledger
        if ledger is None:
            return
        tenant = f"t{int(self.rng.paretovariate(1.0)) % 80}"
        cls = self.rng.choice(("lookup", "optout", "template-save"))
        period = ledger._periods.of(self.wall())
        before = dict(ledger._counters.units)
        ledger.served(tenant, cls, b"%d" % self.rng.getrandbits(60))
        (key,) = [key for key, count in ledger._counters.units.items() if before.get(key) != count]
        assert key[0] == period
        self.out.served[key] += 1

    async def run_trial(self) -> Outcome:
        trial, rng = self.trial, self.rng
        await self.billing.start()
        if trial.troubles:
            self.billing.fault = lambda: rng.choice(ENDPOINT_FAULTS) if rng.random() < 0.4 else ""
        self.start()
        end = self.kernel.now + trial.minutes * 60.0
        events: list[tuple[float, Callable[[], None]]] = []
        for _ in range(trial.kills):
            events.append((rng.uniform(1.0, trial.minutes * 60.0), self.kill))
        for _ in range(trial.cuts):
            events.append((rng.uniform(1.0, trial.minutes * 60.0), self.fail_power_soon))
        if trial.steps:
            for _ in range(3):
                events.append((rng.uniform(1.0, trial.minutes * 60.0), self.step))
        if trial.troubles:
            for _ in range(4):
                events.append((rng.uniform(1.0, trial.minutes * 60.0), self.disk_trouble))
        if trial.restored:
            at = rng.uniform(0.4, 0.6) * trial.minutes * 60.0
            events += [(at, self.copy), (at + rng.uniform(30.0, 400.0), self.restore)]
        for at, action in events:
            self.loop.call_at(self.kernel.now + at, action)
        while self.kernel.now < end:
            await asyncio.sleep(rng.expovariate(trial.rate))
            self.serve()
        return await self.finish()

    async def finish(self) -> Outcome:
        """End all faults, wait until everything is exported, and collect the results."""
        self.billing.fault = lambda: ""
        self.disk.failing_writes, self.slow = 0, WRITE
        await asyncio.sleep(3.0)
        for _ in range(200):
            if self.ledger is None:
                self.start()
            await asyncio.sleep(10.0)
            ledger = self.ledger
            if (
                ledger is not None
                and ledger.state == "open"
                and not ledger._book.unbatched_units
                and ledger._book.next_batch is None
                and not ledger._counters.units
            ):
                break
        ledger, out = self.ledger, self.out
        assert ledger is not None
        for batch in ledger._book.batches.values():
            for tenant, cls, units in batch.lines:
                out.held[batch.period, tenant, cls] += units
        await ledger.close()
        for (_, period, tenant, cls), units in self.billing.billed.items():
            out.billed[period, tenant, cls] += units
        out.writes, out.posts, out.names = self.disk.writes, self.billing.posts, self.disk.names()
        out.gaps = len(ledger._book.gaps)
        await self.billing.stop()
        return out

    # --- faults ---
    def kill(self) -> None:
        if self.ledger is not None:
            self._risk()
            self.stops()
            self.loop.call_later(self.rng.uniform(0.01, 3.0), self.start)

    def _risk(self) -> None:
        """Count the units that are not on the disk: the counters, and the book if writes failed."""
        ledger = self.ledger
        assert ledger is not None
        self.out.at_risk += sum(ledger._counters.units.values())
        if ledger.state == "failed" and ledger._book.name:
            kept = Book(ledger._periods, TABLE.grace_s)
            Store(self.disk, NAME).open(kept)
            self.out.at_risk += _units(ledger._book) - _units(kept)

    def fail_power_soon(self) -> None:
        self.disk.fail_at_write = self.disk.writes + self.rng.randint(1, 6)

    def step(self) -> None:
        self.wall_off += self.rng.choice((-400.0, -30.0, 30.0, 400.0))

    def disk_trouble(self) -> None:
        if self.rng.random() < 0.5:
            self.disk.failing_writes = self.rng.randint(1, 5)
        else:
            self.slow = 30.0
            self.loop.call_later(0.2, setattr, self, "slow", WRITE)

    def copy(self) -> None:
        self.old = dict(self.disk._visible)

    def restore(self) -> None:
        """Kill the process and restore the older copy of the disk."""
        self.kill()
        self.disk._visible, self.disk._durable = dict(self.old), dict(self.old)


def _units(book: Book) -> int:
    return (
        sum(book.confirmed_units.values())
        + sum(batch.units for batch in book.batches.values())
        + sum(sum(of.values()) for of in book.unbatched_units.values())
    )


def run_trial(trial: Trial) -> Outcome:
    """Run one trial."""
    run = _Run(trial)
    try:
        return run.loop.run_until_complete(run.run_trial())
    finally:
        for task in asyncio.all_tasks(run.loop):
            task.cancel()
        run.loop.call_soon(run.loop.stop)
        run.loop.run_forever()
        run.loop.close()
