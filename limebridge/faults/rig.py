"""Several daemons as processes, stand-ins, and relays between them; a plan of faults played on it.

Every daemon has relays of its own to what it shares with the others, so that one can be cut off and
the rest not.  Faults of a process need no privilege: signals, limits and affinity of one's own
children.  Once the plan is over all is healed, and it is waited until each work goes on; then the
daemons are asked to end, and what was seen is judged (`history`).
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import resource
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomli_w

from limebridge.child import Child, Unready, free_ports
from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.effects import Effects
from limebridge.standins.nodes import CacheNode

from . import history as histories
from .history import History
from .plan import FORGETS, Fault, Plan
from .relay import Path as Way
from .relay import Relay

PATIENCE = 30.0  # s until a work goes on after the healing: many terms, on a busy machine
LOOK = 0.05  # s between looks at what is waited for
BEAT = 0.02  # s between two effects of a work
LONG = 3600.0  # s of a fault that ends with the plan
NO_FILES = 8  # descriptors, of a process that has more open: nothing new can be opened
CHILD = """
import runpy, sys
patch = {patch!r}
if patch:
    runpy.run_path(patch)["plant"]()
from violetroute.__main__ import main
sys.argv = ["violetroute", *sys.argv[1:]]
raise SystemExit(main())
"""


@dataclass
class Outcome:
    """What came of a plan."""

    plan: Plan
    history: History
    broken: list[tuple[str, str]] = field(default_factory=list)
    seconds: float = 0.0
    effects: int = 0
    gaps: list[tuple[str, float, float]] = field(default_factory=list)


class Daemon:
    """One of them, over its lives, with its relays."""

    def __init__(self, rig: Rig, number: int) -> None:
        self.rig, self.number, self.name = rig, number, f"p{number}"
        self.child: Child | None = None
        self.twins: list[Child] = []
        self.lives: list[Child] = []  # all that were ever started
        self.works: list[str] = rig.works
        self.busy = asyncio.Lock()  # one change of its process at a time
        self.limits: dict[int, tuple[int, int]] = {}
        self.stopped = 0

    async def open(self) -> None:
        rig, seed = self.rig, f"{self.rig.plan.seed}/{self.number}"
        self.ways = [await Relay(rig.effects.port, f"{seed}/e").start()]
        if rig.consul_port:
            self.ways.append(await Relay(rig.consul_port, f"{seed}/c").start())

    def operator(self) -> Path:
        plan = self.rig.plan
        fleet: dict[str, Any] = {
            "store": plan.store, "works": self.works, "term_s": plan.term_s, "look_s": 0.1,
            "call_s": 0.4, "beat_s": BEAT, "move_s": 1.0,
            "endpoint": f"127.0.0.1:{self.ways[0].port}"}
        if plan.store == "folder":
            fleet["folder"] = str(self.rig.shared)
        else:
            fleet["agents"] = [f"127.0.0.1:{self.ways[1].port}"]
        path = self.rig.folder / f"{self.name}.toml"
        path.write_text(tomli_w.dumps(
            {"log": {"format": "json", "per_second": 1000.0}, "fleet": fleet}
            | self.rig.more_tables(self)))
        return path

    async def start(self) -> None:
        self.child = await self._start(self.name)

    async def _start(self, owner: str) -> Child:
        rig = self.rig

        def told(line: str) -> None:
            said = histories.parse(line)
            if said is not None:
                rig.history.said.append((rig.now, owner, *said))

        child = Child(rig.folder, owner, rig.command, told=told)
        self.lives.append(child)
        raw = configuration(rig.discovery.port, rig.known) | {"name": self.name}
        for last in (False, False, True):
            try:
                await child.start(raw, free_ports(1)[0], self.operator())
                break
            except Unready as error:  # another rig on this machine has taken the port since
                if last or "cannot listen" not in str(error):
                    raise
                child.last = ""
        return child

    @property
    def pid(self) -> int:
        return self.child.pid if self.child is not None and self.child.state == "up" else 0

    def signal(self, number: int) -> bool:
        """Whether there was a process to take it."""
        if not self.pid:
            return False
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)
            return True
        return False

    async def ends(self, hard: bool) -> None:
        child = self.child
        if child is None or child.state != "up":
            return
        self.signal(signal.SIGCONT)
        self.stopped = 0
        if hard:
            child.state = "down"
            os.kill(child.pid, signal.SIGKILL)
            await child.kill()
        elif not await child.term():
            self.rig.complain("ends", f"{self.name} did not drain: {child.last}")
        self.limits.clear()

    async def close(self) -> None:
        for child in self.lives:
            await child.kill()
        for way in self.ways:
            await way.stop()


class Rig:
    """`patch`: a file whose plant() every daemon runs first."""

    def __init__(self, plan: Plan, folder: Path, patch: str = "") -> None:
        self.plan, self.folder = plan, folder
        self.shared = folder / "fleet"
        self.copies: list[Path] = []
        self.command = (sys.executable, "-c", CHILD.format(patch=patch))
        self.works = [f"beat-{number}" for number in range(plan.works)]
        self.history = History()
        self.effects, self.discovery = Effects(), Discovery()
        self.consul: Any = None
        self.consul_port = 0
        self.rng = random.Random(f"rig/{plan.seed}")
        self.broken: list[tuple[str, str]] = []

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def complain(self, name: str, what: str) -> None:
        self.broken.append((name, what))

    def more_tables(self, daemon: Daemon) -> dict[str, Any]:
        """Tables of the operator's file beside [log] and [fleet]."""
        return {}

    # --- one run ---
    async def play(self) -> Outcome:
        began = self.now
        self.daemons = [Daemon(self, number) for number in range(self.plan.daemons)]
        try:
            await self.open()
            for daemon in self.daemons:
                await daemon.open()
            await asyncio.gather(*(daemon.start() for daemon in self.daemons))
            self.history.began = self.now
            await self.schedule()
            await self.heal()
            await self.goes_on()
            await self.settle()
            await self.end()
        except Unready as error:
            self.complain("starts", str(error))
        finally:
            await asyncio.gather(*(daemon.close() for daemon in self.daemons))
            await self.close()
        self.read_logs()
        history = self.history
        history.effects = self.effects.taken
        if self.effects.conflicts:
            self.complain("once", f"{self.effects.conflicts} keys came with another body")
        self.broken += histories.broken(history)
        return Outcome(self.plan, history, self.broken, self.now - began, len(history.effects),
                       histories.without_owner(history))

    async def open(self) -> None:
        await self.effects.start()
        await self.discovery.start()
        self.node = await CacheNode().start()
        self.known = [self.node.entry("s-0")]
        if self.plan.store == "consul":
            from limebridge.standins.consul import Consul

            self.consul = await Consul(seed=self.plan.seed).start()
            self.consul_port = self.consul.port

    async def close(self) -> None:
        for part in (self.effects, self.discovery, self.node, self.consul):
            if part is not None:
                await part.stop()

    async def schedule(self) -> None:
        tasks = []
        for fault in self.plan.fault:
            await asyncio.sleep(max(0.0, self.history.began + fault.at - self.now))
            daemon = self.daemons[fault.who % len(self.daemons)]
            self.history.faults.append((self.now, f"{fault.kind} {fault.seconds:g} s", daemon.name))
            if fault.kind in FORGETS:
                self.history.forgot = True
            tasks.append(asyncio.create_task(self._fault(fault, daemon)))
        await asyncio.sleep(max(0.0, self.history.began + self.plan.seconds - self.now))
        for task in tasks:
            task.cancel()
        for done in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(done, Exception):
                raise done

    async def _fault(self, fault: Fault, daemon: Daemon) -> None:
        name = fault.kind
        if name in ("cut", "cut_there", "cut_back", "slow", "half", "drip", "reset"):
            await self._way(fault, daemon)
        elif name in ("endpoint", "gone", "older", "torn", "leader", "lose_answers", "forget"):
            await self._shared(fault)
        else:
            async with daemon.busy:
                await getattr(self, f"_{name}")(fault, daemon)

    # --- faults of a process ---
    async def _kill(self, fault: Fault, daemon: Daemon) -> None:
        await daemon.ends(hard=True)
        await asyncio.sleep(fault.seconds)
        await daemon.start()

    async def _term(self, fault: Fault, daemon: Daemon) -> None:
        await daemon.ends(hard=False)
        await asyncio.sleep(fault.seconds)
        await daemon.start()

    async def _stop(self, fault: Fault, daemon: Daemon) -> None:
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        daemon.signal(signal.SIGCONT)

    async def _hup(self, fault: Fault, daemon: Daemon) -> None:
        """The works are turned off, perhaps while owned, and on again."""
        daemon.works = []
        daemon.operator()
        daemon.signal(signal.SIGHUP)
        await asyncio.sleep(fault.seconds)
        daemon.works = self.works
        daemon.operator()
        daemon.signal(signal.SIGHUP)

    async def _core(self, fault: Fault, daemon: Daemon) -> None:
        """All that it has is the lowest share of one core, with the rig's other starved ones."""
        if daemon.pid:
            core = min(os.sched_getaffinity(0))
            with contextlib.suppress(ProcessLookupError):
                os.sched_setaffinity(daemon.pid, {core})
                os.setpriority(os.PRIO_PROCESS, daemon.pid, 19)  # stays: that is not ours to undo
            await asyncio.sleep(fault.seconds)
            with contextlib.suppress(ProcessLookupError):
                os.sched_setaffinity(daemon.pid or os.getpid(), os.sched_getaffinity(0))

    async def _no_files(self, fault: Fault, daemon: Daemon) -> None:
        await self._limited(resource.RLIMIT_NOFILE, NO_FILES, fault, daemon)

    async def _no_room(self, fault: Fault, daemon: Daemon) -> None:
        await self._limited(resource.RLIMIT_FSIZE, 0, fault, daemon)

    async def _limited(self, what: int, most: int, fault: Fault, daemon: Daemon) -> None:
        if not daemon.pid:
            return
        soft, hard = resource.prlimit(daemon.pid, what)
        daemon.limits.setdefault(what, (soft, hard))
        resource.prlimit(daemon.pid, what, (most, hard))
        await asyncio.sleep(fault.seconds)
        self._unlimit(daemon)

    @staticmethod
    def _unlimit(daemon: Daemon) -> None:
        for what, limits in daemon.limits.items():
            if daemon.pid:
                with contextlib.suppress(ProcessLookupError):
                    resource.prlimit(daemon.pid, what, limits)
        daemon.limits.clear()

    async def _twin(self, fault: Fault, daemon: Daemon) -> None:
        """Another process under the same name."""
        daemon.twins.append(await daemon._start(f"{daemon.name}-twin{len(daemon.twins)}"))

    # --- faults of a way ---
    async def _way(self, fault: Fault, daemon: Daemon) -> None:
        way = self.rng.choice(daemon.ways)
        match fault.kind:
            case "cut":
                way.set(Way(cut=True), Way(cut=True))
            case "cut_there":
                way.set(there=Way(cut=True))
            case "cut_back":
                way.set(back=Way(cut=True))
            case "slow":
                way.set(Way(delay=0.05, jitter=0.2), Way(delay=0.05, jitter=0.2))
            case "half":
                way.set(back=Way(half=20))
            case "drip":
                way.set(back=Way(drip=0.005))
            case _:
                way.reset()
        await asyncio.sleep(fault.seconds)
        way.set()

    # --- faults of what is shared ---
    async def _shared(self, fault: Fault) -> None:
        match fault.kind:
            case "endpoint":
                troubles = ("lost before", "lost after", "500 after")
                self.effects.trouble = lambda: (
                    self.rng.choice(troubles) if self.rng.random() < 0.5 else "")
                await asyncio.sleep(fault.seconds)
                self.effects.trouble = lambda: ""
            case "gone":
                with contextlib.suppress(FileNotFoundError):
                    os.rename(self.shared, self.folder / f"gone-{self.rng.random()}")
            case "older":
                copy = self.folder / f"copy-{self.rng.random()}"
                with contextlib.suppress(OSError, shutil.Error):
                    shutil.copytree(self.shared, copy)
                await asyncio.sleep(fault.seconds)
                while copy.exists():  # daemons make theirs anew in between
                    with contextlib.suppress(OSError):
                        os.rename(self.shared, self.folder / f"gone-{self.rng.random()}")
                        os.rename(copy, self.shared)
                    await asyncio.sleep(0)
            case "torn":
                leases = sorted((self.shared / "lease").glob("beat*"))
                for path in leases[-1:]:
                    with contextlib.suppress(FileNotFoundError):
                        path.write_bytes(path.read_bytes()[:9])
                        await asyncio.sleep(fault.seconds)
                        path.unlink()  # by hand, as the operators' page says
            case _:
                await self.consul.fault(fault.kind, fault.seconds)

    # --- afterwards ---
    async def heal(self) -> None:
        """All that can be mended is, and every daemon runs."""
        self.effects.trouble = lambda: ""
        if self.consul is not None:
            self.consul.heal()
        for path in (self.shared / "lease").glob("beat*"):
            with contextlib.suppress(FileNotFoundError):
                if path.stat().st_size < 10:
                    path.unlink()
        for daemon in self.daemons:
            for way in daemon.ways:
                way.set()
            daemon.signal(signal.SIGCONT)
            self._unlimit(daemon)
            daemon.works = self.works
            daemon.operator()
            daemon.signal(signal.SIGHUP)
        for daemon in self.daemons:
            if daemon.child is None or daemon.child.state != "up" or daemon.child.ended:
                if daemon.child is not None and daemon.child.state == "up":
                    self.complain("ends", f"{daemon.name} crashed: {daemon.child.last}")
                for child in daemon.lives:  # one that was cut short in its draining
                    await child.kill()
                await daemon.start()
        self.history.healed_at = self.now

    async def until(self, what: Callable[[], bool], name: str, why: Callable[[], str]) -> None:
        end = self.now + PATIENCE
        while not what():
            if self.now > end:
                self.complain(name, why())
                return
            await asyncio.sleep(LOOK)

    async def goes_on(self) -> None:
        """Each work has an effect that was begun after the healing."""
        def waits() -> set[str]:
            done = {effect.key.partition("/")[0] for effect in self.effects.taken
                    if effect.at > self.history.healed_at + BEAT}
            return set(self.works) - done

        await self.until(lambda: not waits(), "goes on",
                         lambda: f"nobody does {', '.join(sorted(waits()))}")

    async def settle(self) -> None:
        """What has to be waited for before the end."""

    async def end(self) -> None:
        """SIGTERM to all: each drains, and hands back what it owns."""
        for daemon in self.daemons:
            for twin in daemon.twins:
                await twin.term()
        await asyncio.gather(*(daemon.ends(hard=False) for daemon in self.daemons))

    def read_logs(self) -> None:
        if self.consul is not None:
            self.history.logs = self.consul.logs()
            return
        for log in sorted((self.shared / "log").glob("*")):
            self.history.logs[log.name] = [path.read_bytes() for path in sorted(log.glob("*/0*"))]


def play(plan: Plan, patch: str = "") -> Outcome:
    """One plan, in a folder of its own that is gone afterwards."""
    with tempfile.TemporaryDirectory(prefix="faults-") as folder:
        if plan.settles:
            from .billed import Billed

            return asyncio.run(Billed(plan, Path(folder), patch).play())
        return asyncio.run(Rig(plan, Path(folder), patch).play())
