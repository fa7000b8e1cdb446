"""Several installed daemons that share a budget, with a relay on each way between two of them.

Clients ask one proxy for more than all may let in and the others for little; a cache node counts
what comes.  Faults are those of the plan: signals to processes, and ways that are cut, lose, copy,
delay and reorder datagrams.  Afterwards all is healed, and the budget has to be spent again.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomli_w

from limebridge.child import Child, Unready, free_ports
from limebridge.faults.relay import Datagrams
from limebridge.faults.relay import Path as Way
from limebridge.faults.rig import CHILD
from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import CacheNode
from limebridge.standins.wire import command, read_answer, reply

from . import judge
from .judge import Seen
from .plan import Fault, Plan

LOADED = 1.6  # times the budget that the loaded proxy is asked for
IDLE = 1.0  # requests a second of each other
HEAL = 4.0  # s after the faults, and three loans
ENOUGH = 0.7  # of the budget that is spent in the last two seconds, on a machine as busy as it is
REUSED = 1.5  # s: a daemon closes what has been idle for 2
WITHOUT = 0.2  # of the requests are of a class that may run once alone
STEP = 0.02  # s between looks whether the rig itself is late
FIRST_PORT, RANGE, RIGS = 20_000, 40, 280  # below those that the kernel gives out


@dataclass
class Outcome:
    """What came of a plan."""

    plan: Plan
    seen: Seen
    broken: list[tuple[str, str]] = field(default_factory=list)
    again: float = 0.0
    asked: int = 0
    refused: int = 0


class Daemon:
    """One of them, over its lives, and its client."""

    def __init__(self, rig: Rig, number: int, port: int) -> None:
        self.rig, self.number, self.name, self.port = rig, number, f"p{number}", port
        self.child: Child | None = None
        self.lives: list[Child] = []
        self.busy = asyncio.Lock()
        self.died = False  # a client of it may have lost an answer with it
        self.sent = self.answered = 0

    def operator(self, port: int, tag: str) -> Path:
        rig = self.rig
        ways = {
            f"p{other}": f"127.0.0.1:{relay.port}"
            for (here, other), relay in rig.relays.items()
            if here == self.number
        }
        path = rig.folder / f"{tag}.toml"
        path.write_text(
            tomli_w.dumps(
                {
                    "log": {"format": "json", "per_second": 1000.0},
                    "sharing": {
                        "listen": f"127.0.0.1:{port}",
                        "key_file": str(rig.key),
                        "probe_s": 0.2,
                        "seeds": [ways[name] for name in ("p0", "p1") if name in ways],
                        "ways": ways,
                        "proxies": rig.plan.daemons,
                        "loan_s": rig.plan.loan_s,
                        "drift": judge.DRIFT,
                        "burst_s": judge.BURST_S,
                        "socket": str(rig.folder / f"{tag}.sock"),
                        "budget": [{"name": "all", "per_s": rig.plan.per_s}],
                    },
                }
            )
        )
        return path

    async def start(self, tag: str = "", port: int = 0) -> Child:
        rig, tag = self.rig, tag or self.name

        def told(line: str) -> None:
            if '"event":"sharing.' in line:
                rig.seen.notes.append((rig.now, f"  {tag} {line[line.index('event') + 8 :][:120]}"))

        child = Child(rig.folder, tag, rig.command, told=told)
        self.lives.append(child)
        raw = configuration(rig.discovery.port, rig.known) | {"name": self.name}
        await child.start(raw, free_ports(1)[0], self.operator(port or self.port, tag))
        if tag == self.name:
            self.child = child
        return child

    @property
    def up(self) -> bool:
        return self.child is not None and self.child.state == "up"

    async def ends(self, hard: bool) -> None:
        child = self.child
        if child is None or child.state != "up":
            return
        self.died = True
        with contextlib.suppress(ProcessLookupError):
            os.kill(child.pid, signal.SIGCONT)
        if hard:
            child.state = "down"
            await child.kill()
        elif not await child.term():
            self.rig.broken.append(("ends", f"{self.name} did not drain: {child.last}"))

    async def asks(self) -> None:
        """Its clients: requests at the rate of the hour, answers as they come."""
        rng = random.Random(f"client/{self.rig.plan.seed}/{self.name}")
        while not self.rig.ends:
            if not self.up:
                await asyncio.sleep(0.02)
                continue
            assert self.child is not None
            reading: asyncio.Task[None] | None = None
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.child.port)
                reading = asyncio.create_task(self._reads(reader))
                used = self.rig.now
                while not self.rig.ends:
                    wait = rng.expovariate(self.rig.rates[self.number])
                    await asyncio.sleep(min(wait, 0.2))
                    # Idle for long it may be closed while a request is on its way.
                    if reading.done() or self.rig.now - used > REUSED:
                        break
                    if wait < 0.2:
                        used = self.rig.now
                        self.sent += 1
                        writer.write(self._command(rng))
                if not reading.done():  # the last answers
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(4.0):
                            while self.answered < self.sent and not reading.done():
                                await asyncio.sleep(0.02)
                writer.close()
            except OSError:
                await asyncio.sleep(0.02)
            finally:
                if reading is not None:
                    reading.cancel()
                    await asyncio.gather(reading, return_exceptions=True)
            if self.answered < self.sent and self.died:
                self.answered = self.sent  # lost with its process, not by it

    def _command(self, rng: random.Random) -> bytes:
        id_ = b"%b-%d" % (self.name.encode(), self.sent)
        if rng.random() < WITHOUT:
            return command(b"OBJ.SET", b"k%d" % rng.randrange(50), id_, b"c=once,d=3000", b"v")
        return command(b"OBJ.GET", b"k%d" % rng.randrange(50), id_, b"c=lookup,d=3000")

    async def _reads(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                answer = await read_answer(reader)
                self.answered += 1
                self.rig.refused += answer.startswith(b"-BUSY")


class Rig:
    """`patch`: a file whose plant() every daemon runs first."""

    def __init__(self, plan: Plan, folder: Path, patch: str = "") -> None:
        self.plan, self.folder = plan, folder
        self.command = (sys.executable, "-c", CHILD.format(patch=patch))
        self.seen, self.broken = Seen(), list[tuple[str, str]]()
        self.rates = [IDLE] * plan.daemons
        self.rates[-1] = LOADED * plan.per_s
        self.ids: Counter[bytes] = Counter()
        self.refused = 0
        self.ends = False
        self.faults: list[asyncio.Task[None]] = []
        self.twins: list[Child] = []
        self.cut: Counter[tuple[int, int]] = Counter()
        self.rng = random.Random(f"rig/{plan.seed}")

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def play(self) -> Outcome:
        plan = self.plan
        self.key = self.folder / "key"
        self.key.write_text(f"a key of the rig {plan.seed}\n")
        ports = _ports(2 * plan.daemons)
        self.daemons = [Daemon(self, number, ports[number]) for number in range(plan.daemons)]
        self.spare = ports[plan.daemons :]
        self.relays = {
            (here, there): await Datagrams(ports[there], f"{plan.seed}/{here}/{there}").start()
            for here in range(plan.daemons)
            for there in range(plan.daemons)
            if here != there
        }
        self.discovery = await Discovery().start()
        self.node = await CacheNode(self._serves).start()
        self.known = [self.node.entry("s-0")]
        tasks: list[asyncio.Task[None]] = []
        try:
            self.seen.began = self.now
            # All of them come to an end before one's failure is told: none may start afterwards.
            for failed in await asyncio.gather(
                *(daemon.start() for daemon in self.daemons), return_exceptions=True
            ):
                if isinstance(failed, BaseException):
                    raise failed
            self.seen.began = self.now
            tasks = [asyncio.create_task(daemon.asks()) for daemon in self.daemons]
            tasks.append(asyncio.create_task(self._lateness()))
            await self._schedule()
            await self._heal()
            await asyncio.sleep(HEAL + 3.0 * plan.loan_s)
            end = self.now
            self.ends = True
            await asyncio.gather(*tasks)
            await asyncio.gather(*(daemon.ends(hard=False) for daemon in self.daemons))
        except Unready as error:
            self.broken.append(("starts", str(error)))
            end = self.now
        finally:
            self.ends = True
            for task in (*tasks, *self.faults):
                task.cancel()
            await asyncio.gather(*tasks, *self.faults, return_exceptions=True)
            for child in (*self.twins, *(c for d in self.daemons for c in d.lives)):
                await child.kill()
            for relay in self.relays.values():
                relay.stop()
            await self.discovery.stop()
            await self.node.stop()
        return self._judge(end)

    def _judge(self, end: float) -> Outcome:
        plan, seen = self.plan, self.seen
        self.broken += judge.broken(plan, seen, real=True)
        again = judge.share(plan, seen, end - 2.0, end)
        if again < ENOUGH:
            self.broken.append(("goes on", f"{again:.3f} of the budget is spent in the end"))
        twice = [id_ for id_, times in self.ids.items() if times > 1]
        if twice:
            self.broken.append(
                ("no effect twice", f"{twice[0].decode()} came {self.ids[twice[0]]} times")
            )
        for daemon in self.daemons:
            if daemon.answered != daemon.sent:
                self.broken.append(
                    (
                        "no request lost",
                        f"{daemon.name}: {daemon.sent} asked, {daemon.answered} answered",
                    )
                )
        return Outcome(
            plan, seen, self.broken, again, sum(d.sent for d in self.daemons), self.refused
        )

    async def _serves(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        id_ = words[2]
        if words[0] == b"OBJ.SET":
            self.ids[id_] += 1
        self.seen.spent.append((self.now, id_.partition(b"-")[0].decode()))
        writer.write(reply(b"value"))

    async def _lateness(self) -> None:
        while not self.ends:
            due = self.now + STEP
            await asyncio.sleep(STEP)
            self.seen.late = max(self.seen.late, self.now - due)

    # --- faults ---
    async def _schedule(self) -> None:
        tasks = self.faults
        for fault in self.plan.fault:
            await asyncio.sleep(max(0.0, self.seen.began + fault.at - self.now))
            self.seen.notes.append(
                (self.now, f"{fault.kind} p{fault.who % self.plan.daemons} for {fault.seconds}")
            )
            tasks.append(asyncio.create_task(self._fault(fault)))
        await asyncio.sleep(max(0.0, self.seen.began + self.plan.seconds - self.now))
        await asyncio.gather(*tasks)

    async def _fault(self, fault: Fault) -> None:
        plan, who = self.plan, fault.who % self.plan.daemons
        daemon, others = self.daemons[who], [n for n in range(plan.daemons) if n != who]
        match fault.kind:
            case "kill" | "term":
                await self._again(daemon, fault.kind == "kill", fault.seconds)
            case "all":
                await asyncio.gather(*(self._again(each, True, 0.1) for each in self.daemons))
            case "stop":
                async with daemon.busy:
                    await self._stop(daemon, fault.seconds)
            case "twin":
                port = self.spare.pop()
                self.twins.append(await daemon.start(f"{daemon.name}-twin{port}", port))
            case "cut" | "deaf" | "mute" | "split":
                if fault.kind == "split":
                    here = range(who + 1)
                    ways = [way for way in self.relays if (way[0] in here) != (way[1] in here)]
                else:
                    ways = [(n, who) for n in others if fault.kind != "mute"]
                    ways += [(who, n) for n in others if fault.kind != "deaf"]
                self.cut.update(ways)
                self._ways()
                await asyncio.sleep(fault.seconds)
                self.cut.subtract(ways)
                self._ways()
            case "loss" | "storm":
                way = (
                    Way(drop=0.3)
                    if fault.kind == "loss"
                    else Way(double=0.3, jitter=0.3, reorder=0.3)
                )
                for relay in self.relays.values():
                    relay.there = relay.back = way
                await asyncio.sleep(fault.seconds)
                self._ways()
            case "crowd":
                before, self.rates = self.rates, [plan.per_s / 2.0] * plan.daemons
                await asyncio.sleep(fault.seconds)
                self.rates = before
            case "moves":
                self.rates = self.rates[1:] + self.rates[:1]

    def _ways(self) -> None:
        for way, relay in self.relays.items():
            relay.there = relay.back = Way(cut=self.cut[way] > 0)

    async def _again(self, daemon: Daemon, hard: bool, seconds: float) -> None:
        if daemon.busy.locked():
            return
        async with daemon.busy:
            await daemon.ends(hard)
            await asyncio.sleep(seconds)
            await daemon.start()

    async def _stop(self, daemon: Daemon, seconds: float) -> None:
        if daemon.child is None or not daemon.up:
            return
        with contextlib.suppress(ProcessLookupError):
            os.kill(daemon.child.pid, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            os.kill(daemon.child.pid, signal.SIGCONT)

    async def _heal(self) -> None:
        self.cut.clear()
        self._ways()
        for twin in self.twins:
            if not await twin.term():
                self.broken.append(("ends", f"a twin did not drain: {twin.last}"))
        for daemon in self.daemons:
            if daemon.child is None or daemon.child.ended:
                self.broken.append(
                    ("ends", f"{daemon.name} crashed: {daemon.child.last if daemon.child else ''}")
                )
        self.seen.healed_at = self.now


def _ports(count: int) -> list[int]:
    """Ports for datagrams that nobody has, from this process's own range of them."""
    found: list[int] = []
    first = FIRST_PORT + (os.getpid() % RIGS) * RANGE
    for port in range(first, first + RANGE):
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe,
            contextlib.suppress(OSError),
        ):
            probe.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise Unready("no ports are left for datagrams")


def play(plan: Plan, patch: str = "") -> Outcome:
    """One plan, in a folder of its own that is gone afterwards."""
    with tempfile.TemporaryDirectory(prefix="sharing-") as folder:
        return asyncio.run(Rig(plan, Path(folder), patch).play())


def one(plan: Plan, patch: str = "") -> dict[str, Any]:
    """One plan, told.  A fault of the rig's own is told too, and costs no other plan."""
    try:
        outcome = play(plan, patch)
    except Exception as error:
        return {
            "plan": plan,
            "broken": [("rig", f"{type(error).__name__}: {error}")],
            "again": 0.0,
            "spent": 0,
            "asked": 0,
            "late": 0.0,
            "story": "",
        }
    return {
        "plan": plan,
        "broken": outcome.broken,
        "again": outcome.again,
        "spent": len(outcome.seen.spent),
        "asked": outcome.asked,
        "late": outcome.seen.late,
        "story": judge.tell(outcome.seen, outcome.broken) if outcome.broken else "",
    }
