"""A rig with ledgers, clients and the settlement: compares settled bills with what nodes served.

The wall clock of the daemons runs SPEED times as fast, so that billing periods of minutes pass in
seconds.  A killed daemon loses what its ledger had counted and not yet written.  As in production,
an operator signs the corrections that reconciliation finds, and then the settled bills must equal
what the nodes served.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from pathlib import Path
from typing import Final

from limebridge.ledger.reconcile import Exported, Line, corrections, read_served, reconcile
from limebridge.standins.nodes import CacheNode
from limebridge.standins.served_log import ServedLog
from limebridge.standins.wire import command, read_answer
from violetroute.fleet.settlement import MAX_BATCHES_PER_ENTRY
from violetroute.ledger.files import Folder
from violetroute.ledger.periods import Periods
from violetroute.ledger.store import SIGNED_PREFIX
from violetroute.ledger.table import LedgerTable

from .daemon import Daemon
from .launch import daemon_command
from .plan import Plan
from .rig import Rig

SPEED = 240.0  # speed of the fast wall clock, relative to real time
START_UNIX_S = 1_700_000_100.0  # first time of the fast clock
PERIOD_MIN: Final = 5  # minutes of a billing period
RATE = 25.0  # requests per second to each daemon
FAST_CLOCK = """
import time
from violetroute.transport.sockets import SocketNetwork
SocketNetwork.wall = lambda self: {start} + (time.monotonic() - {began}) * {speed}
"""

BillLine = tuple[str | None, str]  # tenant, class


class SettlementRig(Rig):
    """A rig in which the daemons serve clients, keep ledgers and run the settlement work."""

    def __init__(self, plan: Plan, folder: Path, patch: str = "") -> None:
        super().__init__(plan, folder, patch)
        self.clock_started_at = time.monotonic()
        clock = FAST_CLOCK.format(
            start=START_UNIX_S, began=repr(self.clock_started_at), speed=SPEED
        )
        self.command = daemon_command(patch, prelude=clock)
        self.works = [*self.works, "settlement"]
        self.export_folder, self.ledgers = folder / "out", folder / "ledgers"
        self.served = ServedLog(self.wall)
        self.sent_requests = 0
        self.clients_stop = False
        self.clients: list[asyncio.Task[None]] = []
        self.periods = Periods("UTC", PERIOD_MIN)

    def ledger_table(self) -> LedgerTable:
        """Ledgers with short periods on the fast clock, exported to files."""
        return LedgerTable(
            folder=str(self.ledgers),
            period_min=PERIOD_MIN,
            grace_s=30.0,
            flush_s=0.05,
            ids=True,
            retry_s=0.05,
            retry_most_s=0.5,
            export="files",
            export_folder=str(self.export_folder),
            closings=True,
        )

    async def open(self) -> None:
        """Start the stand-ins, with a cache node that records what it served."""
        await super().open()
        await self.node.stop()
        self.node = await CacheNode(self.served.serve).start()
        self.cache_nodes = [self.node.entry("s-0")]

    def wall(self) -> float:
        """The fast wall clock in Unix s."""
        return START_UNIX_S + (time.monotonic() - self.clock_started_at) * SPEED

    async def inject_faults(self) -> None:
        """Start one client per daemon, then inject the faults."""
        self.clients = [asyncio.create_task(self._client(daemon)) for daemon in self.daemons]
        await super().inject_faults()

    async def _client(self, daemon: Daemon) -> None:
        """Send requests to one daemon until the end; reconnect if the daemon fails.

        Repeating a request whose proxy crashes is up to the client; this one sends another request.
        """
        rng = random.Random(f"client/{daemon.name}")
        while not self.clients_stop:
            try:
                assert daemon.child is not None
                reader, writer = await asyncio.open_connection("127.0.0.1", daemon.child.port)
                while not self.clients_stop:
                    self.sent_requests += 1
                    tenant, cls = (
                        rng.choice((b"acme", b"zeta", b"city")),
                        rng.choice((b"lookup", b"optout")),
                    )
                    options = b"c=%b,t=%b,d=3000" % (cls, tenant)
                    id_ = f"{daemon.name}-{self.sent_requests}".encode()
                    words = [b"OBJ.GET", b"k%d" % rng.randrange(50), id_, options]
                    if cls == b"optout":
                        words = [
                            b"OBJ.SET",
                            *words[1:3],
                            options + b",k=k%d" % self.sent_requests,
                            b"v",
                        ]
                    writer.write(command(*words))
                    async with asyncio.timeout(5.0):
                        await read_answer(reader)
                    await asyncio.sleep(rng.expovariate(RATE))
                writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(0.05)

    async def wait_for_progress(self) -> None:
        """Wait for progress of the example works; the settlement has an effect only per bill."""
        before, self.works = self.works, self.works[:-1]
        await super().wait_for_progress()
        self.works = before

    async def settle(self) -> None:
        """Stop the clients, sign the corrections that reconciliation finds, and check the bills."""
        self.clients_stop = True
        await asyncio.gather(*self.clients)
        served, unreadable = read_served(self.served.rows, self.periods, "nodes")
        if unreadable:
            self.report_violation("bills", unreadable[0])
        await self.wait_until(self._all_exported, "bills", lambda: "some ledgers do not close")
        found = reconcile(self._exported().units, served, self.periods)
        self._check_exported(served)
        for daemon in self.daemons:
            if any(difference.proxy == daemon.name for difference in found.differences):
                Folder(self.ledgers / daemon.name).put(
                    f"{SIGNED_PREFIX}0.json", corrections(found, daemon.name, "the operator")
                )
        self.history.notes.append(
            f"{sum(served.values())} served, {found.short} short, {found.moved} moved"
        )
        await self._until_billed(served)
        self._check_batches()

    def _check_exported(self, served: Counter[Line]) -> None:
        """Check that no proxy exports more units of a tenant and class than nodes served for it.

        Periods are not compared: on the fast clock, a proxy suspended for some seconds counts a
        unit several periods later.
        """
        surplus: Counter[tuple[str, str | None, str]] = Counter()
        for (proxy, _, tenant, cls), count in self._exported().units.items():
            surplus[proxy, tenant, cls] += count
        for (proxy, _, tenant, cls), count in served.items():
            surplus[proxy, tenant, cls] -= count
        for line, count in surplus.items():
            if count > 0:
                self.report_violation(
                    "bills", f"{count} units of {line} exported that no node has served"
                )

    async def _until_billed(self, served: Counter[Line]) -> None:
        """Wait until the bills contain exactly the served units, by tenant and class."""
        units: Counter[BillLine] = Counter()
        for (_, _, tenant, cls), count in served.items():
            units[tenant, cls] += count
        await self.wait_until(
            lambda: +self._billed() == +units,
            "bills",
            lambda: (
                f"served {sum(units.values())}, settled {sum(self._billed().values())}: "
                f"{dict(units - self._billed())} short, {dict(self._billed() - units)} too many"
            ),
        )

    def _billed(self) -> Counter[BillLine]:
        """The units of all bills so far, by tenant and class."""
        units: Counter[BillLine] = Counter()
        for effect in self.effects.applied:
            if effect.key.startswith("settlement/"):
                for tenant, cls, count in effect.body["lines"]:
                    units[tenant, cls] += count
        return units

    def _all_exported(self) -> bool:
        """Whether every ledger has closed the period of the last served request."""
        last = self.periods.of(self.wall()) - 1
        if self.served.rows:
            last = self.periods.end(self.periods.of(json.loads(self.served.rows[-1])["at"]))
        closed = {}
        for path in self.export_folder.glob("*.through"):
            closing = json.loads(path.read_bytes())
            closed[closing["ledger"]] = closing["until"]
        return all(closed.get(daemon.name, 0.0) >= last for daemon in self.daemons)

    def _exported(self) -> Exported:
        """All exported batches, settled or not."""
        found = Exported()
        for name in sorted(
            {
                path.name
                for path in (
                    *self.export_folder.glob("*.jsonl"),
                    *self.export_folder.glob("settled/*.jsonl"),
                )
            }
        ):
            try:  # the settlement moves a settled file to the folder "settled" and never back
                text = (self.export_folder / name).read_text()
            except FileNotFoundError:
                text = (self.export_folder / "settled" / name).read_text()
            found.add(text, name)
        return found

    def _check_batches(self) -> None:
        """Check that no batch is in two bills, and that a bill has the units of its batches."""
        seen: Counter[str] = Counter()
        exported = self._exported()
        sizes = {key: json.loads(row)["units"] for key, row in exported.batches.items()}
        for effect in self.effects.applied:
            if effect.key.startswith("settlement/"):
                seen.update(effect.body["keys"])
                units = sum(sizes.get(key, 0) for key in effect.body["keys"])
                if (
                    units != effect.body["units"]
                    or len(effect.body["keys"]) > MAX_BATCHES_PER_ENTRY
                ):
                    self.report_violation("bills", f"{effect.key}: its batches have {units} units")
        twice = [key for key, times in seen.items() if times > 1]
        if twice:
            self.report_violation("bills", f"{twice[0]} is in {seen[twice[0]]} bills")
