"""The daemon as a child on loopback: for the demo, rehearsals in real time and benchmarks."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any

from . import child_signals
from .standins.configuration import environment

START_TIMEOUT_S = 20.0  # s for a daemon to listen
DRAIN_TIMEOUT_S = 8.0  # s for it to drain; its longest deadline is 3 s
INSTALLED = (sys.executable, "-m", "violetroute")


class ChildState(StrEnum):
    """What was last done to a child; it may have ended by itself since (`Child.ended`)."""

    DOWN = "down"  # not started yet, or ended as it was told to
    UP = "up"  # it listens
    DRAINING = "draining"  # between SIGTERM and its end


class DaemonStartError(Exception):
    """A daemon did not start, or ended by itself; one line."""


def print_warnings(line: str) -> None:
    """Its warnings go on to our own standard error."""
    if " WARNING " in line or " ERROR " in line:
        sys.stderr.write(line + "\n")


class Child:
    """One process of the daemon, and its incarnations, one after another.

    `command` starts it, from the folder `build` if one is given; `folder` holds its files; every
    line of its log goes to `told`, and all of it is taken, so that a flood blocks nothing.
    """

    def __init__(
        self,
        folder: Path,
        owner: str,
        command: tuple[str, ...] = INSTALLED,
        build: Path | None = None,
        on_log_line: Callable[[str], None] | None = None,
    ) -> None:
        self.owner, self._command, self._folder, self._build = owner, command, folder, build
        self._on_log_line = on_log_line
        self.state = ChildState.DOWN
        self.proxy_config: dict[str, Any] = {}
        self.port = 0
        self._operator: Path | None = None
        self._process: asyncio.subprocess.Process | None = None
        self._log: asyncio.Task[None] | None = None
        self.last_line = "no word from it"
        self.crashed = False  # it had ended before it was told to

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def ended(self) -> bool:
        return self._process is None or self._process.returncode is not None

    async def start(self, raw: dict[str, Any], port: int, operator: Path | None = None) -> int:
        """Until it listens on the port.  DaemonStartError when it does not: then it is gone."""
        self.proxy_config, self.port = raw, port
        self._operator = operator = operator or self._operator  # of its earlier incarnations
        path = self._folder / f"{self.owner}.json"
        path.write_text(json.dumps(raw | {"listen": f"127.0.0.1:{port}"}))
        more = () if operator is None else ("--operator", str(operator))
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            *more,
            stderr=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.DEVNULL,
            env=environment(path),
            cwd=self._build,
            start_new_session=True,
        )
        ready = asyncio.get_running_loop().create_future()
        self._log = asyncio.create_task(self._read(self._process, ready))
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await ready
        except TimeoutError:
            raise DaemonStartError(
                f"{self.owner} is not ready after {START_TIMEOUT_S:g} s: {self.last_line}"
            ) from None
        else:
            if not ready.result():
                raise DaemonStartError(f"{self.owner} ended at its start: {self.last_line}")
            self.state = ChildState.UP
        finally:  # whoever called holds only daemons that are up
            if self.state is not ChildState.UP:
                await self.kill()
        return port

    async def _read(self, process: asyncio.subprocess.Process, ready: asyncio.Future[bool]) -> None:
        """All of its log is taken, a line of it kept: a flood of it costs no memory here."""
        assert process.stderr is not None
        while chunk := await process.stderr.read(65536):
            for line in chunk.decode(errors="replace").splitlines():
                if not self.last_line.startswith("violetroute:"):  # why it ends; nothing tops that
                    self.last_line = line.strip()[:300] or self.last_line
                if self._on_log_line is not None:
                    self._on_log_line(line)
            if not ready.done() and b"daemon.listens" in chunk:
                ready.set_result(True)
        if not ready.done():
            ready.set_result(False)

    async def wait(self) -> int:
        """Its exit status, once it has ended."""
        assert self._process is not None
        return await self._process.wait()

    async def term(self) -> bool:
        """SIGTERM, and whether it drained in time; killed if not."""
        process = self._process
        if process is None:
            return False
        self.state, self.crashed = ChildState.DRAINING, process.returncode is not None
        child_signals.send(process.pid, signal.SIGTERM)
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await process.wait()
            ended = True
        except TimeoutError:
            await self.kill()
            ended = False
        self.state = ChildState.DOWN
        return ended

    async def kill(self) -> None:
        """It is gone when this returns."""
        process = self._process
        if process is not None and process.returncode is None:
            child_signals.send(process.pid, signal.SIGKILL)
            await process.wait()
        if self._log is not None:
            self._log.cancel()
