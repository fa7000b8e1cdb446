"""The same scenario with the installed daemon as processes on loopback.

Stand-ins, clients, troubles and score are engine.py's own; what differs is time, the network
(no distances between sites, so `[network]` is not played), and that the daemon's own CPU counts.
The kit measures how late it is itself: a run in which its loop was later than LATE is void, since
then it judged itself and not the daemon.  Rule three is judged by what the list told, not by the
bytes that a process had, so with `slack` for the way; nobody knows when a real process sent
a command, so each is taken to have been sent when it came.
"""

from __future__ import annotations

import asyncio
import shlex
import tempfile
import time
from pathlib import Path
from typing import Any

from limebridge.child import INSTALLED, Child, DaemonStartError
from limebridge.ports import free_ports
from limebridge.standins.node_list import NodeEntry
from limebridge.standins.operator_file import operator_file
from violetroute.config import Operator

from .engine import Morning
from .result import Result
from .scenario import Scenario

BEAT = 0.01  # s between looks at how late the kit's own loop is
LATE = 0.05  # s, of the latest hundredth of the looks: more and the run is void.  Clients here
#              wait so much longer than they say: what has come and is not read yet is no loss
MOST = 24  # daemons of one machine
SLACK = 0.1  # s for what a list tells to reach a daemon


class RealKernel:
    """What engine.py asks of the virtual one."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    @property
    def now(self) -> float:
        return self._loop.time()


class RealMorning(Morning):
    """A run in real time."""

    def __init__(
        self, scenario: Scenario, seed: int, command: tuple[str, ...], folder: Path
    ) -> None:
        super().__init__(scenario, seed)
        self._command, self._folder = command, folder
        self._lateness: list[float] = []
        self.grace = LATE

    async def play(self) -> Result:
        """DaemonStartError: a daemon could not be started."""
        self.loop = asyncio.get_running_loop()
        self.kernel = RealKernel(self.loop)
        beat = asyncio.create_task(self._beat())
        try:
            await self._play()
        except asyncio.CancelledError:  # Ctrl-C: all is ended, and what there is is told
            self._partial = True
            self.loop.set_exception_handler(lambda *what: None)  # of what is cut off with it
        finally:
            beat.cancel()
            await asyncio.gather(*(p.kill() for p in getattr(self, "processes", [])))
        result = self.result()
        late = sorted(self._lateness)[int(0.99 * len(self._lateness))]
        result.late_ms = late * 1000.0
        result.void = late > LATE
        return result

    async def _beat(self) -> None:
        while True:
            due = self.loop.time() + BEAT
            await asyncio.sleep(BEAT)
            self._lateness.append(self.loop.time() - due)

    # --- what is done otherwise here ---
    def _world(self) -> None:
        self.wall = time.time() - self.loop.time()

    def _hear(self) -> None:
        pass

    def _list(self, *entries: NodeEntry, reset: bool = False) -> None:
        super()._list(*entries, reset=reset)
        for judge in self.judges.values():
            for entry in entries:
                judge.node_reported(
                    self.kernel.now + SLACK, entry["instanceId"], entry["lifecycle"] == "in_service"
                )

    def _links(self, port: int) -> None:
        pass

    def _sent_at(self) -> None:
        return None

    async def _daemon(self, owner: str, raw: dict[str, Any]) -> tuple[Any, int]:
        daemon = Child(self._folder, owner, self._command)
        operator = None
        if self.scenario.operator != Operator():
            operator = self._folder / f"{owner}.toml"
            operator.write_text(operator_file(self.scenario.operator))
        return daemon, await daemon.start(raw, free_ports(1)[0], operator)

    async def _restart(self, process: Any, port: int) -> None:
        if await process.term():
            self._left(process)
            self.judges[process.owner].proxy_restarted(self.kernel.now, {})
            await process.start(process.proxy_config, port)

    def _left(self, process: Any) -> None:
        if process.crashed:
            self.judges[process.owner].report_fault(
                self.kernel.now, f"{process.owner} crashed: {process.last_line}"
            )


def play_real(scenario: Scenario, seed: int | None = None, run: str = "") -> Result:
    """One run in real time; `run` is the daemon's command line, the installed one without it."""
    if scenario.proxies.count > MOST:
        raise DaemonStartError(f"{scenario.proxies.count} daemons on one machine; {MOST} at most")
    if scenario.proxies.cores:
        raise DaemonStartError(
            "[proxies] cores: a share of a core is played on the virtual clock alone"
        )
    if scenario.operator.log.level not in ("debug", "info"):
        raise DaemonStartError(
            "[operator.log] level: debug or info, since a start is read in the log"
        )
    command = tuple(shlex.split(run)) if run else INSTALLED
    with tempfile.TemporaryDirectory() as folder:
        morning = RealMorning(
            scenario, scenario.run.seed if seed is None else seed, command, Path(folder)
        )
        return asyncio.run(morning.play())
