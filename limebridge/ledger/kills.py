"""Kills real proxies with ledgers at random, restarts them, and reconciles their billed units.

Two daemon processes serve clients.  Stand-in nodes record the requests that they serve, and a
billing endpoint injects faults.  At the end the billed units are reconciled with the nodes'
records, corrections are signed, and the units are reconciled again.  The daemons' wall clock (of
the transport interface) delimits the billing periods.  It runs SPEED times as fast as real time, so
twenty minutes pass in seconds.

The daemons record what each write covers (`recorded_daemon`).  A kill may cost only the units that
no completed write covers: `KillReport.at_risk`.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from limebridge.ports import free_ports
from limebridge.standins.billing import BillingEndpoint
from limebridge.standins.configuration import configuration, environment
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import CacheNode
from limebridge.standins.served_log import ServedLog
from limebridge.standins.wire import command, read_answer
from violetroute.ledger.files import Folder
from violetroute.ledger.periods import Periods
from violetroute.ledger.store import SIGNED_PREFIX

from .reconcile import Line, Reconciliation, corrections, read_served, reconcile
from .recorded_daemon import covered_until, read_events, unwritten_time

SPEED = 240.0  # seconds of the daemons' wall clock per real second
START = 1_700_000_100.0  # Unix s; the daemons' wall clock when the run begins
TIMEOUT_S = 60.0  # s for all exports to complete
PROXIES = ("p1", "p2")
BILLING_FAULTS = ("lost before", "lost after", "500 after", "cut after", "503")


@dataclass
class KillReport:
    """Results of a run."""

    served: Counter[Line] = field(default_factory=Counter)  # units by the nodes' records
    uncorrected: Reconciliation | None = None  # result before the corrections
    corrected: Reconciliation | None = None  # result after the corrections
    kills: int = 0
    posts: int = 0  # requests to the billing endpoint
    excess: int = 0  # units billed but not served, before the corrections
    at_risk: int = 0  # units served by killed processes that no completed write covers
    longest_unwritten: float = 0.0  # s before a kill without a new write, less the time of writes


@dataclass
class _Process:
    """A daemon process.  Times are monotonic, in seconds."""

    proxy: str
    record: Path  # the file with its events
    started_at: float
    child: asyncio.subprocess.Process
    killed_at: float = math.inf


class _TestBed:
    """Proxies, nodes, discovery, billing endpoint and clients of one run."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder, self.rng = folder, random.Random(seed)
        self.began = time.monotonic()
        self.served = ServedLog(self.wall)
        self.ports: dict[str, int] = {}
        self.running: dict[str, _Process] = {}
        self.killed: list[_Process] = []
        self.answered_at: dict[str, float] = {}  # monotonic s, by request id
        self.last_answer = dict.fromkeys(PROXIES, 0.0)  # monotonic s, by proxy
        self.billing, self.discovery = BillingEndpoint(), Discovery()
        self.stopping = False
        self.requests = 0

    def wall(self) -> float:
        return START + (time.monotonic() - self.began) * SPEED

    async def open(self) -> None:
        await self.billing.start()
        self.billing.fault = lambda: (
            self.rng.choice(BILLING_FAULTS) if self.rng.random() < 0.4 else ""
        )
        await self.discovery.start()
        self.nodes = [await CacheNode(self.served.serve).start() for _ in range(2)]
        for name in PROXIES:
            self.ports[name] = free_ports(1)[0]
            known = [node.entry(f"s-{n}") for n, node in enumerate(self.nodes)]
            raw = configuration(self.discovery.port, known, listen=self.ports[name])
            (self.folder / f"{name}.json").write_text(json.dumps(raw | {"name": name}))
        (self.folder / "operator.toml").write_text(
            f"[ledger]\nfolder = {json.dumps(str(self.folder / 'ledgers'))}\nperiod_min = 5\n"
            "grace_s = 30.0\nflush_s = 0.05\nids = true\nretry_s = 0.05\nretry_most_s = 0.5\n"
            f'export = "http"\nendpoint = "127.0.0.1:{self.billing.port}"\ntimeout_s = 2.0\n'
        )

    async def start(self, name: str) -> None:
        started_at = time.monotonic()
        record = self.folder / f"writes-{name}-{len(self.killed)}"
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limebridge.ledger.recorded_daemon",
            str(record),
            f"{START} {self.began!r} {SPEED}",
            "--operator",
            str(self.folder / "operator.toml"),
            env=environment(self.folder / f"{name}.json"),
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.running[name] = _Process(name, record, started_at, child)

    async def client(self, name: str, number: int) -> None:
        """Sends requests to a proxy until the load stops.

        When the proxy is killed, the client does not repeat the failed request and reconnects.
        """
        rng = random.Random(f"{name}/{number}")
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[name])
                while not self.stopping:
                    self.requests += 1
                    attributes = b"c=%b,t=%b,d=3000" % (
                        rng.choice((b"lookup", b"optout")),
                        rng.choice((b"acme", b"zeta", b"city")),
                    )
                    if b"optout" in attributes:
                        attributes += b",k=k%d" % self.requests
                    id_ = f"{name}-{self.requests}".encode()
                    name_ = b"OBJ.GET" if b"lookup" in attributes else b"OBJ.SET"
                    value = (b"v",) if b"optout" in attributes else ()
                    writer.write(
                        command(name_, b"k%d" % rng.randrange(50), id_, attributes, *value)
                    )
                    async with asyncio.timeout(5.0):
                        await read_answer(reader)
                    self.answered_at[id_.decode()] = self.last_answer[name] = time.monotonic()
                    await asyncio.sleep(rng.expovariate(60.0))
                writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(0.05)

    async def serving(self, name: str) -> None:
        """Waits, at most TIMEOUT_S, until a client has had an answer of the running process."""
        process, until = self.running[name], time.monotonic() + TIMEOUT_S
        while process.started_at > self.last_answer[name] and time.monotonic() < until:
            await asyncio.sleep(0.01)

    async def kill_and_restart(self, name: str) -> None:
        """Sends SIGKILL to a proxy, waits for its end and starts it again."""
        process = self.running[name]
        process.child.send_signal(signal.SIGKILL)
        await process.child.wait()
        process.killed_at = time.monotonic()
        self.killed.append(process)
        await self.start(name)

    def units_at_risk(self, process: _Process, covered_until: float) -> int:
        """Units that nodes served for a killed process and no completed write of it covers.

        A unit is counted when its answer is sent, so a unit whose client had the answer before the
        units of a completed write were collected is on disk.
        """
        units = 0
        for row in map(json.loads, self.served.rows):
            served_at = self.began + (row["at"] - START) / SPEED
            if (
                row["proxy"] == process.proxy
                and process.started_at <= served_at <= process.killed_at
                and self.answered_at.get(row["id"], math.inf) > covered_until
            ):
                units += 1
        return units

    def billed(self) -> Counter[Line]:
        """Units that the billing endpoint has accepted."""
        return Counter(self.billing.billed)

    async def reconcile_when_idle(self, served: Counter[Line]) -> Reconciliation:
        """Waits until all due batches have been exported, then reconciles."""
        periods, until = Periods("UTC", 5), time.monotonic() + TIMEOUT_S
        last_posts, since = -1, time.monotonic()
        while time.monotonic() < until:
            # Without a post for two periods and 1 s, a time that covers grace_s, no batch is due.
            if self.billing.posts != last_posts:
                last_posts, since = self.billing.posts, time.monotonic()
            if time.monotonic() - since > 2.0 * 300.0 / SPEED + 1.0:
                break
            await asyncio.sleep(0.1)
        return reconcile(self.billed(), served, periods)

    async def reconcile_until_equal(self, served: Counter[Line]) -> Reconciliation:
        """Reconciles until nothing differs or TIMEOUT_S has passed.

        Used after the corrections are signed.  A wait for a time without posts is not enough then,
        since on a busy machine a proxy may check its folder for corrections late.
        """
        periods, until = Periods("UTC", 5), time.monotonic() + TIMEOUT_S
        while (
            found := reconcile(self.billed(), served, periods)
        ).differences and time.monotonic() < until:
            await asyncio.sleep(0.1)
        return found

    async def close(self) -> None:
        self.stopping = True
        children = [process.child for process in self.running.values()]
        for child in children:
            if child.returncode is None:
                child.send_signal(signal.SIGTERM)
        for child in children:
            await child.wait()
        for node in self.nodes:
            await node.stop()
        await self.discovery.stop()
        await self.billing.stop()


async def run_kills(folder: Path, kills: int, seconds: float, seed: int = 1) -> KillReport:
    """Runs about `seconds` of load with `kills` kills, then reconciles and signs corrections.

    Before each reconciliation it waits, at most TIMEOUT_S, for the proxies to export.
    """
    bed, report = _TestBed(folder, seed), KillReport()
    await bed.open()
    clients: list[asyncio.Task[None]] = []
    try:
        for name in PROXIES:
            await bed.start(name)
        clients = [
            asyncio.create_task(bed.client(name, number)) for name in PROXIES for number in range(3)
        ]
        for name in PROXIES:
            await bed.serving(name)
        for _ in range(kills):
            await asyncio.sleep(seconds / max(1, kills) * bed.rng.uniform(0.5, 1.5))
            name = bed.rng.choice(PROXIES)
            await bed.serving(name)
            await bed.kill_and_restart(name)
            report.kills += 1
        await asyncio.sleep(seconds / max(1, kills))
        bed.stopping = True
        await asyncio.gather(*clients)
        bed.billing.fault = lambda: ""
        periods = Periods("UTC", 5)
        report.served, _ = read_served(bed.served.rows, periods, "nodes")
        report.uncorrected = await bed.reconcile_when_idle(report.served)
        report.excess = report.uncorrected.long
        for process in bed.killed:
            events = read_events(process.record)
            covered = covered_until(events, process.started_at)
            report.at_risk += bed.units_at_risk(process, covered)
            report.longest_unwritten = max(
                report.longest_unwritten, unwritten_time(events, process.killed_at)
            )
        for name in PROXIES:
            if any(d.proxy == name for d in report.uncorrected.differences):
                Folder(folder / "ledgers" / name).put(
                    f"{SIGNED_PREFIX}0.json", corrections(report.uncorrected, name, "the operator")
                )
        report.corrected = await bed.reconcile_until_equal(report.served)
        report.posts = bed.billing.posts
    finally:
        bed.stopping = True
        for task in clients:
            task.cancel()
        await bed.close()
    return report
