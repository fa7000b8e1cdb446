"""What a plan's faults do to real processes and to the relays between them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import shutil
import signal
import sys
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from limebridge.control.process import ControlProcess

from .judge import Rule
from .network import Link
from .plan import Fault
from .real_proxy import RealProxy

if TYPE_CHECKING:
    from .rig import Rig

STEP_S = 0.05  # between two looks whether a fault is over


def send(process: ControlProcess, number: int) -> None:
    """A signal to a control process, if it runs."""
    if process.running:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)


class RealFaults:
    """Applies faults to a rig, each in a task of its own, and undoes them."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self._healing = False
        self._down: set[str] = set()  # names of processes that are ended and started anew
        self._lost: set[str] = set()  # those of them whose disk was lost
        self.tasks: set[asyncio.Task[None]] = set()

    def begin(self, fault: Fault) -> None:
        """The fault happens now, and is undone after its time."""
        self._rig.note(f"{fault.kind} {fault.who} for {fault.seconds}")
        self.tasks.add(asyncio.create_task(self._fault(fault)))

    async def heal(self) -> None:
        """All faults end now.  Raises what starting a process again raised."""
        self._healing = True
        for done in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(done, Exception):
                raise done

    async def _fault(self, fault: Fault) -> None:
        number = fault.who % len(self._rig.names)
        proxy = self._rig.proxies[fault.who % len(self._rig.proxies)]
        match fault.kind:
            case "kill" | "lose_disk":
                await self._kill(number, fault)
            case "pause":
                process = self._rig.machines.processes[number]
                await self._paused(lambda sent: send(process, sent), fault.seconds)
            case "kill_proxy" | "end_proxy":
                await self._restart_proxy(proxy, fault)
            case "pause_proxy":
                await self._paused(proxy.signal, fault.seconds)
            case "twin_proxy":
                await self._twin(proxy, fault)
            case _:
                await self._cut(fault)

    async def _wait(self, seconds: float) -> None:
        """Until the fault is over, or everything is healed."""
        end = self._rig.now + seconds
        while self._rig.now < end and not self._healing:
            await asyncio.sleep(min(STEP_S, max(0.0, end - self._rig.now)))

    async def _paused(self, signals: Callable[[int], None], seconds: float) -> None:
        signals(signal.SIGSTOP)
        try:
            await self._wait(seconds)
        finally:
            signals(signal.SIGCONT)

    async def _kill(self, number: int, fault: Fault) -> None:
        name, process = self._rig.names[number], self._rig.machines.processes[number]
        if name in self._down or not process.running:
            return
        lost = fault.kind == "lose_disk" and self._may_lose_disk(name)
        with self.taken_down(name, lost):
            await process.kill()
            if lost:
                shutil.rmtree(self._rig.machines.data_folder(number))
            await self._wait(fault.seconds)
            if lost:
                await self._replace(number)
                self._rig.recovering.add(name)  # until its new process says that it has recovered
            await process.start()

    def is_down(self, name: str) -> bool:
        """Whether somebody has ended this process and will start it again."""
        return name in self._down

    @contextlib.contextmanager
    def taken_down(self, name: str, lost: bool = False) -> Iterator[None]:
        """For as long as a process is replaced: no fault ends or starts it meanwhile.

        From the decision on: ending a process takes time, in which it still answers.
        """
        self._down.add(name)
        if lost:
            self._lost.add(name)
        try:
            yield
        finally:
            self._down.discard(name)
            self._lost.discard(name)

    def _may_lose_disk(self, name: str) -> bool:
        """Only a minority may be lost at a time."""
        others = (self._rig.recovering | self._lost) - {name}
        return len(others) + 1 <= (len(self._rig.names) - 1) // 2

    async def _replace(self, number: int) -> None:
        """What the operator does."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limebridge",
            "control",
            "init",
            str(self._rig.machines.data_folder(number)),
            "--name",
            self._rig.names[number],
            "--log",
            self._rig.machines.log,
            "--replace",
            stdout=asyncio.subprocess.DEVNULL,
        )
        try:
            status = await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
        if status != 0:
            self._rig.judge.complain(Rule.CRASH, f"limebridge control init ended with {status}")

    async def _restart_proxy(self, proxy: RealProxy, fault: Fault) -> None:
        if proxy.name in self._down or not proxy.running:
            return
        with self.taken_down(proxy.name):
            await (proxy.kill() if fault.kind == "kill_proxy" else proxy.term())
            await self._wait(fault.seconds)
            await proxy.start()

    async def _twin(self, proxy: RealProxy, fault: Fault) -> None:
        """A second process of the same name, which no fault cuts off."""
        twin = self._rig.make_twin(proxy.name)
        try:
            await twin.start()
            await self._wait(fault.seconds)
        finally:
            await twin.kill()
            self._rig.twins.remove(twin)

    async def _cut(self, fault: Fault) -> None:
        links = self._links_of(fault)
        self._rig.links.cut(links)
        try:
            await self._wait(fault.seconds)
        finally:
            self._rig.links.mend(links)

    def _links_of(self, fault: Fault) -> list[Link]:
        names = {*self._rig.names, *self._rig.proxy_names}
        away = {self._rig.names[fault.who % len(self._rig.names)]}
        if fault.kind == "cut_proxy":
            away = {self._rig.proxy_names[fault.who % len(self._rig.proxy_names)]}
        elif fault.kind.startswith("split"):
            away |= set(self._rig.proxy_names[::2])
        links: list[Link] = []
        for inside, outside in itertools.product(sorted(away), sorted(names - away)):
            if not fault.kind.endswith("_in"):
                links.append((inside, outside))
            if not fault.kind.endswith("_out"):
                links.append((outside, inside))
        return links
