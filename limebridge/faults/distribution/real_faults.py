"""Applies the faults of a plan to real processes and to the relays between them."""

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

from .checker import Rule
from .network import Link
from .plan import Fault
from .real_proxy import RealProxy

if TYPE_CHECKING:
    from .rig import Rig

POLL_INTERVAL_S = 0.05  # s between checks whether a fault is over


def send_signal(process: ControlProcess, number: int) -> None:
    """Sends a signal to a control process, if it runs."""
    if process.running:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)


class RealFaults:
    """Applies faults to a rig, each in a task of its own, and undoes them."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self._healing = False
        self._down: set[str] = set()  # processes that are being ended and restarted
        self._lost_disks: set[str] = set()  # those of them that lose their disk
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, fault: Fault) -> None:
        """Starts the fault in a task, which undoes it after `fault.seconds`."""
        self._rig.note(f"{fault.kind} {fault.who} for {fault.seconds}")
        self.tasks.add(asyncio.create_task(self._fault(fault)))

    async def heal(self) -> None:
        """Undoes all faults now.  Raises the exception of a restart that failed."""
        self._healing = True
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def _fault(self, fault: Fault) -> None:
        number = fault.who % len(self._rig.names)
        proxy = self._rig.proxies[fault.who % len(self._rig.proxies)]
        match fault.kind:
            case "kill" | "lose_disk":
                await self._kill(number, fault)
            case "pause":
                process = self._rig.machines.processes[number]
                await self._pause(
                    lambda signal_number: send_signal(process, signal_number), fault.seconds
                )
            case "kill_proxy" | "end_proxy":
                await self._restart_proxy(proxy, fault)
            case "pause_proxy":
                await self._pause(proxy.signal, fault.seconds)
            case "twin_proxy":
                await self._run_duplicate(proxy, fault)
            case _:
                await self._cut_links(fault)

    async def _wait_for(self, seconds: float) -> None:
        """Returns after `seconds`, or earlier when `heal` is called."""
        deadline = self._rig.now + seconds
        while self._rig.now < deadline and not self._healing:
            await asyncio.sleep(min(POLL_INTERVAL_S, max(0.0, deadline - self._rig.now)))

    async def _pause(self, send_process_signal: Callable[[int], None], seconds: float) -> None:
        send_process_signal(signal.SIGSTOP)
        try:
            await self._wait_for(seconds)
        finally:
            send_process_signal(signal.SIGCONT)

    async def _kill(self, number: int, fault: Fault) -> None:
        name, process = self._rig.names[number], self._rig.machines.processes[number]
        if name in self._down or not process.running:
            return
        lost = fault.kind == "lose_disk" and self._can_lose_disk(name)
        with self.reserve(name, lost):
            await process.kill()
            if lost:
                shutil.rmtree(self._rig.machines.data_folder(number))
            await self._wait_for(fault.seconds)
            if lost:
                await self._replace(number)
                self._rig.recovering.add(name)  # until its new process says that it has recovered
            await process.start()

    def is_down(self, name: str) -> bool:
        """Whether this process is being ended and restarted by a fault or a rollout."""
        return name in self._down

    @contextlib.contextmanager
    def reserve(self, name: str, lost: bool = False) -> Iterator[None]:
        """Keeps faults from ending or starting this process inside the `with` block.

        It has to be entered when the restart is decided, because a process still answers while it
        ends.  `lost`: the process also loses its disk.
        """
        self._down.add(name)
        if lost:
            self._lost_disks.add(name)
        try:
            yield
        finally:
            self._down.discard(name)
            self._lost_disks.discard(name)

    def _can_lose_disk(self, name: str) -> bool:
        """Whether the machines without their disk would still be a minority with this one."""
        others = (self._rig.recovering | self._lost_disks) - {name}
        return len(others) + 1 <= (len(self._rig.names) - 1) // 2

    async def _replace(self, number: int) -> None:
        """Initializes a new data folder, as an operator does after a disk was lost."""
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
            self._rig.checker.report_violation(
                Rule.CRASH, f"limebridge control init ended with exit status {status}"
            )

    async def _restart_proxy(self, proxy: RealProxy, fault: Fault) -> None:
        if proxy.name in self._down or not proxy.running:
            return
        with self.reserve(proxy.name):
            await (proxy.kill() if fault.kind == "kill_proxy" else proxy.term())
            await self._wait_for(fault.seconds)
            await proxy.start()

    async def _run_duplicate(self, proxy: RealProxy, fault: Fault) -> None:
        """Runs a second process of the same name, which has no relays that a fault could cut."""
        duplicate = self._rig.make_duplicate(proxy.name)
        try:
            await duplicate.start()
            await self._wait_for(fault.seconds)
        finally:
            await duplicate.kill()
            self._rig.duplicates.remove(duplicate)

    async def _cut_links(self, fault: Fault) -> None:
        links = self._links_to_cut(fault)
        self._rig.links.cut(links)
        try:
            await self._wait_for(fault.seconds)
        finally:
            self._rig.links.restore(links)

    def _links_to_cut(self, fault: Fault) -> list[Link]:
        names = {*self._rig.names, *self._rig.proxy_names}
        isolated = {self._rig.names[fault.who % len(self._rig.names)]}
        if fault.kind == "cut_proxy":
            isolated = {self._rig.proxy_names[fault.who % len(self._rig.proxy_names)]}
        elif fault.kind.startswith("split"):
            isolated |= set(self._rig.proxy_names[::2])
        links: list[Link] = []
        for isolated_name, other_name in itertools.product(
            sorted(isolated), sorted(names - isolated)
        ):
            if not fault.kind.endswith("_in"):
                links.append((isolated_name, other_name))
            if not fault.kind.endswith("_out"):
                links.append((other_name, isolated_name))
        return links
