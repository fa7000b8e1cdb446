"""Runs a scenario in real time, with the installed daemon as processes on loopback.

Stand-ins, clients, events and score are those of engine.py.  The differences: real time, no delays
between sites (`[network]` is ignored), and the daemon's own CPU time counts.

The test kit measures the lateness of its own event loop.  If the 99th percentile exceeds
MAX_LATENESS_S, the run is void, since its result would show the kit's delays and not the daemon's.

Rule 3 is checked against the published node list, not against the bytes that a process has
received, so changes take effect LIST_DELAY_S later.  The time at which a real process sent a
command is unknown; the time of its arrival is used instead.
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

from .engine import Rehearsal
from .result import Result
from .scenario import Scenario

LATENESS_INTERVAL_S = 0.01  # s between measurements of the lateness of the kit's event loop
# A run is void if the 99th percentile of the lateness exceeds this.  Clients wait this much longer
# than the deadline that they announce, so an answer that has arrived but is unread is not lost.
MAX_LATENESS_S = 0.05
MAX_DAEMONS = 24  # daemons on one machine
LIST_DELAY_S = 0.1  # s until a change of the node list must have reached a daemon


class RealTimeKernel:
    """The part of limebridge.virtual.Kernel that engine.py needs, on the clock of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    @property
    def now(self) -> float:
        """The time of the event loop in seconds."""
        return self._loop.time()


class RealTimeRehearsal(Rehearsal):
    """A run in real time; `command` starts the daemon, `folder` holds its files."""

    def __init__(
        self, scenario: Scenario, seed: int, command: tuple[str, ...], folder: Path
    ) -> None:
        super().__init__(scenario, seed)
        self._command, self._folder = command, folder
        self._lateness: list[float] = []
        self.grace = MAX_LATENESS_S

    async def run_in_real_time(self) -> Result:
        """Run to the end or to Ctrl-C, and stop all daemons.

        Raises DaemonStartError if a daemon could not be started.
        """
        self.loop = asyncio.get_running_loop()
        self.kernel = RealTimeKernel(self.loop)
        lateness_task = asyncio.create_task(self._measure_lateness())
        try:
            await self._run_scenario()
        except asyncio.CancelledError:  # Ctrl-C: stop everything and report the result so far
            self._partial = True
            self.loop.set_exception_handler(lambda *what: None)  # connections are cut off now
        finally:
            lateness_task.cancel()
            await asyncio.gather(*(p.kill() for p in getattr(self, "processes", [])))
        result = self.result()
        lateness = sorted(self._lateness)[int(0.99 * len(self._lateness))]
        result.late_ms = lateness * 1000.0
        result.void = lateness > MAX_LATENESS_S
        return result

    async def _measure_lateness(self) -> None:
        while True:
            due = self.loop.time() + LATENESS_INTERVAL_S
            await asyncio.sleep(LATENESS_INTERVAL_S)
            self._lateness.append(self.loop.time() - due)

    # --- overrides of engine.py ---
    def _set_up_network(self) -> None:
        self.epoch = time.time() - self.loop.time()

    def _observe_sources(self) -> None:
        pass

    def _publish(self, *entries: NodeEntry, reset: bool = False) -> None:
        super()._publish(*entries, reset=reset)
        for checker in self.checkers.values():
            for entry in entries:
                checker.node_reported(
                    self.kernel.now + LIST_DELAY_S,
                    entry["instanceId"],
                    entry["lifecycle"] == "in_service",
                )

    def _set_link_delay(self, port: int) -> None:
        pass

    def _sent_at(self) -> None:
        return None

    async def _start_proxy(self, owner: str, raw: dict[str, Any]) -> tuple[Any, int]:
        daemon = Child(self._folder, owner, self._command)
        operator = None
        if self.scenario.operator != Operator():
            operator = self._folder / f"{owner}.toml"
            operator.write_text(operator_file(self.scenario.operator))
        return daemon, await daemon.start(raw, free_ports(1)[0], operator)

    async def _restart_proxy(self, process: Any, port: int) -> None:
        if await process.term():
            self._check_leftovers(process)
            self.checkers[process.owner].proxy_restarted(self.kernel.now, {})
            await process.start(process.proxy_config, port)

    def _check_leftovers(self, process: Any) -> None:
        if process.crashed:
            self.checkers[process.owner].report_fault(
                self.kernel.now, f"{process.owner} crashed: {process.last_line}"
            )


def run_real(scenario: Scenario, seed: int | None = None, run: str = "") -> Result:
    """Run in real time; `run` is the daemon's command line, by default the installed one.

    Raises DaemonStartError if a daemon does not start or the scenario needs the virtual clock.
    """
    if scenario.proxies.count > MAX_DAEMONS:
        raise DaemonStartError(
            f"{scenario.proxies.count} daemons on one machine; {MAX_DAEMONS} at most"
        )
    if scenario.proxies.cores:
        raise DaemonStartError(
            "[proxies] cores: a share of a core can only be emulated on the virtual clock"
        )
    if scenario.operator.log.level not in ("debug", "info"):
        raise DaemonStartError(
            "[operator.log] level: debug or info, since the log line of the start is needed"
        )
    command = tuple(shlex.split(run)) if run else INSTALLED
    with tempfile.TemporaryDirectory() as folder:
        rehearsal = RealTimeRehearsal(
            scenario, scenario.run.seed if seed is None else seed, command, Path(folder)
        )
        return asyncio.run(rehearsal.run_in_real_time())
