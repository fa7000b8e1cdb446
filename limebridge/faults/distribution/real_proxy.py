"""Real proxies of the rig: processes that record what they apply, and one complete daemon."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import Protocol

import msgspec
import tomli_w

from limebridge.child import Child
from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery

from .checker import LogEntry, RuleChecker
from .recording import RecordedEvent, RecordingFile

RECORDING_COMMAND = (sys.executable, "-m", "limebridge.faults.distribution.recording")
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0  # s from SIGTERM to the end of the process
STATUS_TIMEOUT_S = 0.5  # a paused process does not reply


class ProxyStartError(Exception):
    """A recording proxy ended or was silent for START_TIMEOUT_S at its start; one line."""


class ProxyStatus(msgspec.Struct, frozen=True):
    """The fields of a proxy's own status that the checker uses."""

    incarnation: str
    position: int
    fresh: bool


class RealProxy(Protocol):
    """A proxy, whose process can be ended and started again."""

    name: str
    socket: Path
    running: bool
    build: Path | None  # the folder whose packages the next incarnation runs; None: this process's

    async def start(self) -> None:
        """Starts a new incarnation and returns once it is ready."""
        ...

    async def term(self) -> None:
        """Ends the process with SIGTERM, or kills it after a time limit; returns at its end."""
        ...

    async def kill(self) -> None:
        """Kills the process and returns when it has ended."""
        ...

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        ...


async def status_of(proxy: RealProxy) -> ProxyStatus | None:
    """Reads a proxy's status from its introspection socket; None if it does not reply in time."""
    try:
        async with asyncio.timeout(STATUS_TIMEOUT_S):
            reader, writer = await asyncio.open_unix_connection(str(proxy.socket))
            try:
                writer.write(b"distribution\n")
                line = await reader.readline()
            finally:
                writer.close()
        return msgspec.json.decode(line, type=ProxyStatus)
    except (OSError, ValueError):  # TimeoutError is an OSError, decoding errors are ValueErrors
        return None


class RecordingProxy:
    """A process that runs only the distribution service.

    What it reports to have applied is passed to the rule checker.
    """

    def __init__(self, folder: Path, file: RecordingFile, checker: RuleChecker) -> None:
        self.name, self.socket = file.name, Path(file.socket)
        self._path = folder / f"{file.name}.json"
        self._path.write_bytes(msgspec.json.encode(file))
        self._checker = checker
        self._process: asyncio.subprocess.Process | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._invalidated = False
        self.running = False
        self.build: Path | None = None

    async def start(self) -> None:
        """Starts the process and waits for its first line.  Raises ProxyStartError."""
        self._process = await asyncio.create_subprocess_exec(
            *RECORDING_COMMAND,
            str(self._path),
            stdout=asyncio.subprocess.PIPE,
            cwd=self.build,
            start_new_session=True,
        )
        stdout = self._process.stdout
        assert stdout is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            await self.kill()
            raise ProxyStartError(f"proxy {self.name} did not start")
        self.running, self._invalidated = True, False
        self._reader_task = asyncio.create_task(self._read_events(stdout))

    async def _read_events(self, stdout: asyncio.StreamReader) -> None:
        while (line := await stdout.readline()).endswith(b"\n"):
            self._handle_event(msgspec.json.decode(line, type=RecordedEvent))

    def _handle_event(self, event: RecordedEvent) -> None:
        now = asyncio.get_running_loop().time()
        if event.voided:
            self._invalidated = True
            return
        # A snapshot without configuration reports no base, which then precedes the next batch.
        if self._invalidated:
            self._invalidated = False
            base = event.base or event.position - 1
            self._checker.all_invalidated(now, self.name, event.incarnation, base)
            configuration = event.keys if event.base else ()
            self._checker.snapshot_applied(now, self.name, base, configuration)
        if event.base:
            return
        entry = LogEntry(event.position, event.fence, event.keys)
        self._checker.batch_applied(now, self.name, event.incarnation, entry)

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def term(self) -> None:
        """Sends SIGTERM; kills the process if it does not end within STOP_TIMEOUT_S."""
        self.signal(signal.SIGTERM)
        if self._process is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await self._process.wait()
        await self.kill()

    async def kill(self) -> None:
        """Kills the process; returns when it has ended and all its output was read."""
        self.running = False
        process = self._process
        if process is None:
            return
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        await process.wait()
        if self._reader_task is not None:
            await self._reader_task


class DaemonProxy:
    """A complete daemon.  Its status is observed, but not the batches that it applies."""

    def __init__(self, folder: Path, file: RecordingFile, key_file: Path, port: int) -> None:
        self.name, self.socket = file.name, Path(file.socket)
        self._folder, self._port = folder, port
        self._child = Child(folder, file.name)
        self._operator = folder / f"{file.name}.toml"
        table = {
            "controls": list(file.controls),
            "key_file": str(key_file),
            "socket": file.socket,
            "stale_after_s": file.stale_after_s,
            "configuration": True,
        }
        self._operator.write_text(tomli_w.dumps({"distribution": table}))
        self._discovery: Discovery | None = None
        self.running = False
        self.build: Path | None = None

    async def start(self) -> None:
        """Starts the daemon and waits until it listens.  Raises DaemonStartError."""
        if self._discovery is None:
            self._discovery = await Discovery().start()
        raw = configuration(self._discovery.port, []) | {"name": self.name}
        self._child = Child(self._folder, self.name, build=self.build)
        await self._child.start(raw, self._port, self._operator)
        self.running = True

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._child.pid, number)

    async def term(self) -> None:
        """Sends SIGTERM and waits for the end; a daemon that does not drain in time is killed."""
        await self._child.term()
        self.running = False

    async def kill(self) -> None:
        """Kills the daemon, also a paused one; returns when it has ended."""
        self.signal(signal.SIGCONT)
        self.running = False
        await self._child.kill()

    async def close(self) -> None:
        """Kills the daemon and stops its stand-in for discovery."""
        await self.kill()
        if self._discovery is not None:
            await self._discovery.stop()
