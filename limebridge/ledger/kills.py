"""Real proxies with ledgers, killed and restarted at random, on a clock that runs fast.

Two daemons as processes of their own, stand-in nodes that write down what they served, a billing
endpoint with troubles, clients; at the end what was billed is reconciled with what nodes served,
the corrections are signed, and what is billed then is told.  The wall clock of the daemons (the
seam's, by which periods are cut) runs SPEED times as fast as the world, so that twenty minutes pass
in seconds.
"""

from __future__ import annotations

import asyncio
import json
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

from .reconcile import Found, Line, corrections, read_served, reconcile

SPEED = 240.0  # times
START = 1_700_000_100.0  # Unix s at which the fast clock begins
PATIENCE = 60.0  # s for anything that has to come
PROXIES = ("p1", "p2")
CHILD = """
import time
from violetroute.transport.sockets import SocketNetwork
SocketNetwork.wall = lambda self: {start} + (time.monotonic() - {began}) * {speed}
from violetroute.__main__ import main
raise SystemExit(main())
"""
TROUBLES = ("lost before", "lost after", "500 after", "cut after", "503")


@dataclass
class Report:
    """What came of it."""

    served: Counter[Line] = field(default_factory=Counter)  # by nodes' records
    before: Found | None = None  # what reconciling found before the corrections
    after: Found | None = None
    kills: int = 0
    posts: int = 0
    doubled: int = 0  # billed beyond what was served, before any correction


class _Field:
    """All of it."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder, self.rng = folder, random.Random(seed)
        self.began = time.monotonic()
        self.served = ServedLog(self.wall)
        self.ports: dict[str, int] = {}
        self.running: dict[str, asyncio.subprocess.Process] = {}
        self.billing, self.discovery = BillingEndpoint(), Discovery()
        self.ends = False
        self.asked = 0

    def wall(self) -> float:
        return START + (time.monotonic() - self.began) * SPEED

    async def open(self) -> None:
        await self.billing.start()
        self.billing.fault = lambda: self.rng.choice(TROUBLES) if self.rng.random() < 0.4 else ""
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
        child = CHILD.format(start=START, began=repr(self.began), speed=SPEED)
        self.running[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            child,
            "--operator",
            str(self.folder / "operator.toml"),
            env=environment(self.folder / f"{name}.json"),
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def client(self, name: str, number: int) -> None:
        """Asks on and on; a question whose proxy dies is the client's to ask anew."""
        rng = random.Random(f"{name}/{number}")
        while not self.ends:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[name])
                while not self.ends:
                    self.asked += 1
                    listed = b"c=%b,t=%b,d=3000" % (
                        rng.choice((b"lookup", b"optout")),
                        rng.choice((b"acme", b"zeta", b"city")),
                    )
                    if b"optout" in listed:
                        listed += b",k=k%d" % self.asked
                    id_ = f"{name}-{self.asked}".encode()
                    name_ = b"OBJ.GET" if b"lookup" in listed else b"OBJ.SET"
                    value = (b"v",) if b"optout" in listed else ()
                    writer.write(command(name_, b"k%d" % rng.randrange(50), id_, listed, *value))
                    async with asyncio.timeout(5.0):
                        await read_answer(reader)
                    await asyncio.sleep(rng.expovariate(60.0))
                writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(0.05)

    async def kill(self, name: str) -> None:
        process = self.running[name]
        process.send_signal(signal.SIGKILL)
        await process.wait()
        await self.start(name)

    def billed(self) -> Counter[Line]:
        return Counter(self.billing.billed)

    async def settled(self, served: Counter[Line]) -> Found:
        """What differs once all that is due has been exported."""
        periods, until = Periods("UTC", 5), time.monotonic() + PATIENCE
        last, since = -1, time.monotonic()
        while time.monotonic() < until:
            # Quiet for two periods and their grace: nothing more can fall due.
            if self.billing.posts != last:
                last, since = self.billing.posts, time.monotonic()
            if time.monotonic() - since > 2.0 * 300.0 / SPEED + 1.0:
                break
            await asyncio.sleep(0.1)
        return reconcile(self.billed(), served, periods)

    async def equal(self, served: Counter[Line]) -> Found:
        """What differs once nothing does, or PATIENCE is over: signed corrections are exported.

        Quiet alone is no end of that: on a busy machine a proxy may look at its folder late.
        """
        periods, until = Periods("UTC", 5), time.monotonic() + PATIENCE
        while (
            found := reconcile(self.billed(), served, periods)
        ).differences and time.monotonic() < until:
            await asyncio.sleep(0.1)
        return found

    async def close(self) -> None:
        self.ends = True
        for process in self.running.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self.running.values():
            await process.wait()
        for node in self.nodes:
            await node.stop()
        await self.discovery.stop()
        await self.billing.stop()


async def play(folder: Path, kills: int, seconds: float, seed: int = 1) -> Report:
    """`seconds` of load with so many kills, then the month's end."""
    field_, report = _Field(folder, seed), Report()
    await field_.open()
    clients: list[asyncio.Task[None]] = []
    try:
        for name in PROXIES:
            await field_.start(name)
        clients = [
            asyncio.create_task(field_.client(name, number))
            for name in PROXIES
            for number in range(3)
        ]
        for _ in range(kills):
            await asyncio.sleep(seconds / max(1, kills) * field_.rng.uniform(0.5, 1.5))
            await field_.kill(field_.rng.choice(PROXIES))
            report.kills += 1
        await asyncio.sleep(seconds / max(1, kills))
        field_.ends = True
        await asyncio.gather(*clients)
        field_.billing.fault = lambda: ""
        periods = Periods("UTC", 5)
        report.served, _ = read_served(field_.served.rows, periods, "nodes")
        report.before = await field_.settled(report.served)
        report.doubled = report.before.long
        for name in PROXIES:
            if any(d.proxy == name for d in report.before.differences):
                Folder(folder / "ledgers" / name).put(
                    f"{SIGNED_PREFIX}0.json", corrections(report.before, name, "the operator")
                )
        report.after = await field_.equal(report.served)
        report.posts = field_.billing.posts
    finally:
        field_.ends = True
        for task in clients:
            task.cancel()
        await field_.close()
    return report
