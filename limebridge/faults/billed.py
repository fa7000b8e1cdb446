"""The rig with ledgers, clients and the settlement: what is settled, against what nodes served.

The wall clock of the daemons runs SPEED times as fast, so that periods of minutes pass in seconds.
Kills cost what a ledger had counted and not written; the operator signs what reconciling finds, as
in service, and then the settled bills have to be what the nodes served.
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

SPEED = 240.0  # times
START = 1_700_000_100.0  # Unix s at which the fast clock begins
MINUTES: Final = 5  # of a period
RATE = 25.0  # requests a second to each daemon
CLOCK = """
import time
from violetroute.transport.sockets import SocketNetwork
SocketNetwork.wall = lambda self: {start} + (time.monotonic() - {began}) * {speed}
"""

BillLine = tuple[str | None, str]  # tenant, class


class Billed(Rig):
    """A rig whose owners settle."""

    def __init__(self, plan: Plan, folder: Path, patch: str = "") -> None:
        super().__init__(plan, folder, patch)
        self.began_at = time.monotonic()
        clock = CLOCK.format(start=START, began=repr(self.began_at), speed=SPEED)
        self.command = daemon_command(patch, prelude=clock)
        self.works = [*self.works, "settlement"]
        self.out, self.ledgers = folder / "out", folder / "ledgers"
        self.served = ServedLog(self.wall)
        self.asked = 0
        self.ends = False
        self.clients: list[asyncio.Task[None]] = []
        self.periods = Periods("UTC", MINUTES)

    def ledger_table(self) -> LedgerTable:
        return LedgerTable(
            folder=str(self.ledgers),
            period_min=MINUTES,
            grace_s=30.0,
            flush_s=0.05,
            ids=True,
            retry_s=0.05,
            retry_most_s=0.5,
            export="files",
            export_folder=str(self.out),
            closings=True,
        )

    async def open(self) -> None:
        await super().open()
        await self.node.stop()
        self.node = await CacheNode(self.served.serve).start()
        self.known = [self.node.entry("s-0")]

    def wall(self) -> float:
        return START + (time.monotonic() - self.began_at) * SPEED

    async def schedule(self) -> None:
        self.clients = [asyncio.create_task(self._client(daemon)) for daemon in self.daemons]
        await super().schedule()

    async def _client(self, daemon: Daemon) -> None:
        """Asks on and on; a question whose proxy dies is the client's to ask anew."""
        rng = random.Random(f"client/{daemon.name}")
        while not self.ends:
            try:
                assert daemon.child is not None
                reader, writer = await asyncio.open_connection("127.0.0.1", daemon.child.port)
                while not self.ends:
                    self.asked += 1
                    tenant, cls = (
                        rng.choice((b"acme", b"zeta", b"city")),
                        rng.choice((b"lookup", b"optout")),
                    )
                    listed = b"c=%b,t=%b,d=3000" % (cls, tenant)
                    id_ = f"{daemon.name}-{self.asked}".encode()
                    words = [b"OBJ.GET", b"k%d" % rng.randrange(50), id_, listed]
                    if cls == b"optout":
                        words = [b"OBJ.SET", *words[1:3], listed + b",k=k%d" % self.asked, b"v"]
                    writer.write(command(*words))
                    async with asyncio.timeout(5.0):
                        await read_answer(reader)
                    await asyncio.sleep(rng.expovariate(RATE))
                writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(0.05)

    async def goes_on(self) -> None:
        before, self.works = self.works, self.works[:-1]  # a bill comes when there is one
        await super().goes_on()
        self.works = before

    async def settle(self) -> None:
        """Close the month: sign what reconciling finds; then bills have to say what was served."""
        self.ends = True
        await asyncio.gather(*self.clients)
        served, unreadable = read_served(self.served.rows, self.periods, "nodes")
        if unreadable:
            self.complain("bills", unreadable[0])
        await self.until(self._all_out, "bills", lambda: "ledgers do not close")
        found = reconcile(self._exported().units, served, self.periods)
        self._judge_exported(served)
        for daemon in self.daemons:
            if any(difference.proxy == daemon.name for difference in found.differences):
                Folder(self.ledgers / daemon.name).put(
                    f"{SIGNED_PREFIX}0.json", corrections(found, daemon.name, "the operator")
                )
        self.history.notes.append(
            f"{sum(served.values())} served, {found.short} short, {found.moved} moved"
        )
        await self._until_billed(served)
        self._judge_keys()

    def _judge_exported(self, served: Counter[Line]) -> None:
        """No proxy exports more units of a tenant and class than nodes have served for it.

        Not by period: on the fast clock a stop of some seconds moves a unit past several of them.
        """
        surplus: Counter[tuple[str, str | None, str]] = Counter()
        for (proxy, _, tenant, cls), count in self._exported().units.items():
            surplus[proxy, tenant, cls] += count
        for (proxy, _, tenant, cls), count in served.items():
            surplus[proxy, tenant, cls] -= count
        for line, count in surplus.items():
            if count > 0:
                self.complain("bills", f"{count} units of {line} exported that no node has served")

    async def _until_billed(self, served: Counter[Line]) -> None:
        """Wait until the bills have the units that were served, by tenant and class."""
        units: Counter[BillLine] = Counter()
        for (_, _, tenant, cls), count in served.items():
            units[tenant, cls] += count
        await self.until(
            lambda: +self._billed() == +units,
            "bills",
            lambda: (
                f"served {sum(units.values())}, settled {sum(self._billed().values())}: "
                f"{dict(units - self._billed())} short, {dict(self._billed() - units)} too many"
            ),
        )

    def _billed(self) -> Counter[BillLine]:
        """The units of all bills until now."""
        units: Counter[BillLine] = Counter()
        for effect in self.effects.applied:
            if effect.key.startswith("settlement/"):
                for tenant, cls, count in effect.body["lines"]:
                    units[tenant, cls] += count
        return units

    def _all_out(self) -> bool:
        """Every ledger has closed what its clients made."""
        last = self.periods.of(self.wall()) - 1
        if self.served.rows:
            last = self.periods.end(self.periods.of(json.loads(self.served.rows[-1])["at"]))
        closed = {}
        for path in self.out.glob("*.through"):
            told = json.loads(path.read_bytes())
            closed[told["ledger"]] = told["until"]
        return all(closed.get(daemon.name, 0.0) >= last for daemon in self.daemons)

    def _exported(self) -> Exported:
        found = Exported()
        for name in sorted(
            {path.name for path in (*self.out.glob("*.jsonl"), *self.out.glob("settled/*.jsonl"))}
        ):
            try:  # an owner moves them when they are settled, and never back
                text = (self.out / name).read_text()
            except FileNotFoundError:
                text = (self.out / "settled" / name).read_text()
            found.add(text, name)
        return found

    def _judge_keys(self) -> None:
        """No batch is in two bills, and what a bill says is what its batches say."""
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
                    self.complain("bills", f"{effect.key}: its batches have {units} units")
        twice = [key for key, times in seen.items() if times > 1]
        if twice:
            self.complain("bills", f"{twice[0]} is in {seen[twice[0]]} bills")
