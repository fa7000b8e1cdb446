"""Runs the daemon as a child process on loopback: for the demo, real-time runs and benchmarks."""

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

START_TIMEOUT_S = 20.0  # s until the daemon listens
DRAIN_TIMEOUT_S = 8.0  # the longest deadline of a request is 3 s
INSTALLED = (sys.executable, "-m", "violetroute")


class ChildState(StrEnum):
    """State by the last action on a child; it may have exited since then (`Child.ended`)."""

    DOWN = "down"  # not started, or ended by `term`
    UP = "up"  # listening
    DRAINING = "draining"  # SIGTERM was sent, and the process has not exited


class DaemonStartError(Exception):
    """A daemon could not be started; the message is one line."""


def print_warnings(line: str) -> None:
    """Copy a log line to standard error if it is a warning or an error."""
    if " WARNING " in line or " ERROR " in line:
        sys.stderr.write(line + "\n")


class Child:
    """A daemon process that can be started repeatedly.

    `command` starts it, in the folder `build` if given; `folder` holds its files.  Each line of its
    log is passed to `on_log_line`.  The log is always read, so a full pipe never blocks the daemon.
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
        self.last_line = "no log line"
        self.crashed = False  # it had exited before `term` was called

    @property
    def pid(self) -> int:
        """Process id of the latest start."""
        assert self._process is not None
        return self._process.pid

    @property
    def ended(self) -> bool:
        """Whether no process is running."""
        return self._process is None or self._process.returncode is not None

    async def start(self, raw: dict[str, Any], port: int, operator: Path | None = None) -> int:
        """Start the daemon; return `port` once it listens there.

        `raw`: its configuration without `listen`.  `operator`: its operator's file; by default that
        of the previous start.  Raises DaemonStartError, after which no process is left.
        """
        self.proxy_config, self.port = raw, port
        self._operator = operator = operator or self._operator
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
        finally:  # no process may be left when the start fails
            if self.state is not ChildState.UP:
                await self.kill()
        return port

    async def _read(self, process: asyncio.subprocess.Process, ready: asyncio.Future[bool]) -> None:
        """Read all of the log but keep only one line, so that a long log costs no memory."""
        assert process.stderr is not None
        while chunk := await process.stderr.read(65536):
            for line in chunk.decode(errors="replace").splitlines():
                # A line with this prefix gives the reason of the exit; it is not replaced.
                if not self.last_line.startswith("violetroute:"):
                    self.last_line = line.strip()[:300] or self.last_line
                if self._on_log_line is not None:
                    self._on_log_line(line)
            if not ready.done() and b"daemon.listens" in chunk:
                ready.set_result(True)
        if not ready.done():
            ready.set_result(False)

    async def wait(self) -> int:
        """Wait for the exit; return the exit status."""
        assert self._process is not None
        return await self._process.wait()

    async def term(self) -> bool:
        """Send SIGTERM; return whether it drained in time, and kill it if it did not."""
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
        """Kill the process and wait for its exit."""
        process = self._process
        if process is not None and process.returncode is None:
            child_signals.send(process.pid, signal.SIGKILL)
            await process.wait()
        if self._log is not None:
            self._log.cancel()
