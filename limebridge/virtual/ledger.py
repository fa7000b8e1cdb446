"""Simulation of the usage ledger on the virtual clock with a stand-in disk and billing endpoint.

The simulation counts random units in a ledger while it injects faults: kills of the process, power
failures at any write, failing or slow writes, faults of the endpoint, and steps of the wall clock.
At the end it removes all faults, waits until the due batches are exported, and compares the billed
units with the served ones.
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

LEDGER_NAME = "p1"
WRITE_TIME = 0.004  # s per write
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
LEDGER_TABLE = LedgerTable(
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
START = 1.7e9  # wall clock at the start of a trial, Unix s


@dataclass
class Trial:
    """Parameters of one trial."""

    seed: int
    minutes: float = 20.0
    rate: float = 4.0  # units per second
    kills: int = 5  # number of kills of the process
    power_failures: int = 0  # number of power failures at random times
    fail_power_at: int = 0  # number of the write at which the power fails; 0: none
    restore_disk: bool = False  # restore an older copy of the disk once, with a kill
    faults: bool = True  # whether the disk and the endpoint have faults
    clock_steps: bool = True  # steps of the wall clock


@dataclass
class Outcome:
    """Result of a trial; `served`, `billed` and `held` are units by period, tenant and class.

    `held` are the units in batches that remain in the ledger at the end.
    """

    served: Counter[tuple[int, str | None, str]] = field(default_factory=Counter)
    billed: Counter[tuple[int, str | None, str]] = field(default_factory=Counter)
    held: Counter[tuple[int, str | None, str]] = field(default_factory=Counter)
    at_risk: int = 0  # units that were not on the disk when the process was killed
    killed: int = 0  # ends of the process by a kill or a power failure
    writes: int = 0  # number of writes to the disk
    posts: int = 0  # requests to the endpoint
    gaps: int = 0  # times for which the ledger records that it is incomplete
    names: list[str] = field(default_factory=list)  # files on the disk at the end

    @property
    def missing(self) -> int:
        """Units that were served, but are neither billed nor held."""
        return sum((self.served - self.billed - self.held).values())

    @property
    def excess(self) -> int:
        """Units that are billed or held, but were not served."""
        return sum((self.billed + self.held - self.served).values())


class TrialWriter:
    """Stand-in for the ledger's writer thread.

    A job runs at once; its result is reported after `write_time()` s.  If the job raises PowerLoss,
    `on_power_loss` is called instead.  A stopped writer ignores jobs and reports no results.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_power_loss: Callable[[], None],
        write_time: Callable[[], float],
    ) -> None:
        self._loop, self._on_power_loss, self._write_time = loop, on_power_loss, write_time
        self.stopped = False

    def submit(self, job: Job[Any], callback: JobCallback[Any]) -> None:
        """Run the job and schedule `callback` with its result or its exception."""
        if self.stopped:
            return
        result: Any = None
        failure: BaseException | None = None
        try:
            result = job()
        except PowerLoss:
            self._on_power_loss()
            return
        except Exception as error:
            failure = error
        self._loop.call_later(self._write_time(), self._report, callback, result, failure)

    def _report(
        self, callback: JobCallback[Any], result: Any, failure: BaseException | None
    ) -> None:
        if not self.stopped:
            callback(result, failure)

    def close(self, wait_s: float) -> None:
        """Stop the writer; jobs run at once, so there is none to wait for."""
        self.stopped = True


class _Run:
    """One run of a trial: the ledger's process, its disk, the endpoint, and the injected faults."""

    def __init__(self, trial: Trial) -> None:
        self.trial, self.outcome = trial, Outcome()
        self.kernel = Kernel(trial.seed, start=1000.0)
        self.loop = VirtualLoop(self.kernel)
        self.disk = PowerLossDisk(trial.seed, trial.fail_power_at)
        self.rng = random.Random(f"trial/{trial.seed}")
        self.wall_offset = START - self.kernel.now
        self.billing = BillingEndpoint()
        self.ledger: Ledger | None = None  # None while the process is down
        self.write_time = WRITE_TIME
        self.starts = 0
        self.on_disk: dict[tuple[int, str | None, str], int] = {}

    def wall_clock(self) -> float:
        return self.kernel.now + self.wall_offset

    def start_process(self) -> None:
        """Open the ledger; the power may fail during this."""
        self.starts += 1
        net = network(self.kernel, "ledger", self.loop, self.wall_clock)
        table = msgspec.structs.replace(LEDGER_TABLE, endpoint=f"127.0.0.1:{self.billing.port}")
        self.writer = TrialWriter(self.loop, self.fail_power, lambda: self.write_time)
        self.ledger = Ledger(
            table,
            LEDGER_NAME,
            net,
            lambda: self.disk,
            self.writer,
            nonce=f"{self.trial.seed:x}-{self.starts}",
        )
        if self.writer.stopped:  # the power failed while it opened its files
            self.stop_process()

    def stop_process(self, ended: bool = False) -> None:
        """Stop the ledger without a shutdown: units that it has not written are lost.

        `ended`: the process ended by itself, so that it is not counted as killed.
        """
        ledger, self.ledger = self.ledger, None
        if ledger is None:
            return
        self.writer.stopped = True
        ledger.state = "closed"
        if ledger._timer is not None:
            ledger._timer.cancel()
        if ledger._post is not None:
            ledger._post.stop()
        if not ended:
            self.outcome.killed += 1

    def fail_power(self) -> None:
        """Stop the process, apply the power loss to the disk, and restart the process after 1 s."""
        self.writer.stopped = True
        self.stop_process()
        self.disk.lose_power()
        self.loop.call_later(1.0, self.start_process)

    def serve_unit(self) -> None:
        """Count one random unit in the ledger, and in `served` by the key that the ledger chose."""
        ledger = self.ledger
        if ledger is None:
            return
        tenant = f"t{int(self.rng.paretovariate(1.0)) % 80}"
        cls = self.rng.choice(("lookup", "optout", "template-save"))
        period = ledger._periods.of(self.wall_clock())
        units_before = dict(ledger._counters.units)
        ledger.served(tenant, cls, b"%d" % self.rng.getrandbits(60))
        (key,) = [
            key for key, count in ledger._counters.units.items() if units_before.get(key) != count
        ]
        assert key[0] == period
        self.outcome.served[key] += 1

    async def run(self) -> Outcome:
        """Serve units and inject faults for the trial's time; return the results."""
        trial, rng = self.trial, self.rng
        await self.billing.start()
        if trial.faults:
            self.billing.fault = lambda: rng.choice(ENDPOINT_FAULTS) if rng.random() < 0.4 else ""
        self.start_process()
        end = self.kernel.now + trial.minutes * 60.0
        events: list[tuple[float, Callable[[], None]]] = []
        for _ in range(trial.kills):
            events.append((rng.uniform(1.0, trial.minutes * 60.0), self.kill))
        for _ in range(trial.power_failures):
            events.append((rng.uniform(1.0, trial.minutes * 60.0), self.fail_power_soon))
        if trial.clock_steps:
            for _ in range(3):
                events.append((rng.uniform(1.0, trial.minutes * 60.0), self.step_clock))
        if trial.faults:
            for _ in range(4):
                events.append((rng.uniform(1.0, trial.minutes * 60.0), self.inject_disk_fault))
        if trial.restore_disk:
            at = rng.uniform(0.4, 0.6) * trial.minutes * 60.0
            events += [(at, self.copy_disk), (at + rng.uniform(30.0, 400.0), self.restore_disk)]
        for at, action in events:
            self.loop.call_at(self.kernel.now + at, action)
        while self.kernel.now < end:
            await asyncio.sleep(rng.expovariate(trial.rate))
            self.serve_unit()
        return await self.finish()

    async def finish(self) -> Outcome:
        """Remove all faults, wait up to 2,000 s for the exports, and collect the results."""
        self.billing.fault = lambda: ""
        self.disk.failing_writes, self.write_time = 0, WRITE_TIME
        await asyncio.sleep(3.0)
        for _ in range(200):
            if self.ledger is None:
                self.start_process()
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
        ledger, outcome = self.ledger, self.outcome
        assert ledger is not None
        for batch in ledger._book.batches.values():
            for tenant, cls, units in batch.lines:
                outcome.held[batch.period, tenant, cls] += units
        await ledger.close()
        for (_, period, tenant, cls), units in self.billing.billed.items():
            outcome.billed[period, tenant, cls] += units
        outcome.writes, outcome.posts, outcome.names = (
            self.disk.writes,
            self.billing.posts,
            self.disk.names(),
        )
        outcome.gaps = len(ledger._book.gaps)
        await self.billing.stop()
        return outcome

    # --- faults ---
    def kill(self) -> None:
        """Kill the process if it is up; it restarts after at most 3 s."""
        if self.ledger is not None:
            self._count_units_at_risk()
            self.stop_process()
            self.loop.call_later(self.rng.uniform(0.01, 3.0), self.start_process)

    def _count_units_at_risk(self) -> None:
        """Count the units not on the disk: the counters, and the book's units if writes failed."""
        ledger = self.ledger
        assert ledger is not None
        self.outcome.at_risk += sum(ledger._counters.units.values())
        if ledger.state == "failed" and ledger._book.name:
            stored = Book(ledger._periods, LEDGER_TABLE.grace_s)
            Store(self.disk, LEDGER_NAME).open(stored)
            self.outcome.at_risk += _total_units(ledger._book) - _total_units(stored)

    def fail_power_soon(self) -> None:
        """Let the power fail at one of the next six writes."""
        self.disk.fail_at_write = self.disk.writes + self.rng.randint(1, 6)

    def step_clock(self) -> None:
        """Step the wall clock by 30 or 400 s in either direction."""
        self.wall_offset += self.rng.choice((-400.0, -30.0, 30.0, 400.0))

    def inject_disk_fault(self) -> None:
        """Let the next writes fail, or let writes that start in the next 0.2 s take 30 s."""
        if self.rng.random() < 0.5:
            self.disk.failing_writes = self.rng.randint(1, 5)
        else:
            self.write_time = 30.0
            self.loop.call_later(0.2, setattr, self, "write_time", WRITE_TIME)

    def copy_disk(self) -> None:
        """Keep a copy of the disk for `restore_disk`."""
        self.disk_copy = dict(self.disk._visible)

    def restore_disk(self) -> None:
        """Kill the process and replace the contents of the disk by the older copy."""
        self.kill()
        self.disk._visible, self.disk._durable = dict(self.disk_copy), dict(self.disk_copy)


def _total_units(book: Book) -> int:
    """All units of a book: confirmed, in batches, and not yet in a batch."""
    return (
        sum(book.confirmed_units.values())
        + sum(batch.units for batch in book.batches.values())
        + sum(sum(units.values()) for units in book.unbatched_units.values())
    )


def run_trial(trial: Trial) -> Outcome:
    """Run one trial; its outcome is deterministic."""
    run = _Run(trial)
    try:
        return run.loop.run_until_complete(run.run())
    finally:
        for task in asyncio.all_tasks(run.loop):
            task.cancel()
        run.loop.call_soon(run.loop.stop)
        run.loop.run_forever()
        run.loop.close()
