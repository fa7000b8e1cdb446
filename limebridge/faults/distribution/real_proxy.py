"""Real proxies of the rig: processes that record what they apply, and one whole daemon."""

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

from .judge import Content, Judge
from .recording import Recorded, RecordingFile

COMMAND = (sys.executable, "-m", "limebridge.faults.distribution.recording")
READY_S = 30.0
END_S = 10.0  # for one that was told to end
ASK_S = 0.5  # for a status; a process that is paused gives none


class NotReady(Exception):
    """A process did not start; one line."""


class ProxyStatus(msgspec.Struct, frozen=True):
    """The part of a proxy's own status that is judged."""

    incarnation: str
    position: int
    fresh: bool


class RealProxy(Protocol):
    """A proxy process over its incarnations."""

    name: str
    socket: Path
    running: bool
    build: Path | None  # the folder whose packages the next incarnation runs; None: this process's

    async def start(self) -> None: ...
    async def term(self) -> None: ...
    async def kill(self) -> None: ...
    def signal(self, number: int) -> None: ...


async def status_of(proxy: RealProxy) -> ProxyStatus | None:
    """What it says of itself; None where it does not answer in time."""
    try:
        async with asyncio.timeout(ASK_S):
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
    """A process that runs the distribution service alone; the judge is told what it applies."""

    def __init__(self, folder: Path, file: RecordingFile, judge: Judge) -> None:
        self.name, self.socket = file.name, Path(file.socket)
        self._path = folder / f"{file.name}.json"
        self._path.write_bytes(msgspec.json.encode(file))
        self._judge = judge
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._voided = False
        self.running = False
        self.build: Path | None = None

    async def start(self) -> None:
        """Until it polls.  Raises NotReady."""
        self._process = await asyncio.create_subprocess_exec(
            *COMMAND,
            str(self._path),
            stdout=asyncio.subprocess.PIPE,
            cwd=self.build,
            start_new_session=True,
        )
        stdout = self._process.stdout
        assert stdout is not None
        try:
            async with asyncio.timeout(READY_S):
                line = await stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            await self.kill()
            raise NotReady(f"{self.name} did not start")
        self.running, self._voided = True, False
        self._reading = asyncio.create_task(self._read(stdout))

    async def _read(self, stdout: asyncio.StreamReader) -> None:
        while (line := await stdout.readline()).endswith(b"\n"):
            self._take(msgspec.json.decode(line, type=Recorded))

    def _take(self, line: Recorded) -> None:
        now = asyncio.get_running_loop().time()
        if line.voided:
            self._voided = True
            return
        if self._voided:  # without configuration the base stands before the first batch after it
            self._voided = False
            base = line.base or line.position - 1
            self._judge.all_voided(now, self.name, line.incarnation, base)
            configuration = line.keys if line.base else ()
            self._judge.snapshot_taken(now, self.name, base, configuration)
        if line.base:
            return
        content = Content(line.position, line.fence, line.keys)
        self._judge.batch_applied(now, self.name, line.incarnation, content)

    def signal(self, number: int) -> None:
        """To the process, if there is one."""
        if self._process is not None and self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def term(self) -> None:
        """SIGTERM; killed where it does not end in time."""
        self.signal(signal.SIGTERM)
        if self._process is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(END_S):
                    await self._process.wait()
        await self.kill()

    async def kill(self) -> None:
        """It is gone when this returns, and all that it wrote is read."""
        self.running = False
        process = self._process
        if process is None:
            return
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        await process.wait()
        if self._reading is not None:
            await self._reading


class DaemonProxy:
    """A whole daemon.  What it applies is not seen, what it says of itself is."""

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
        """Until it listens.  Raises DaemonStartError."""
        if self._discovery is None:
            self._discovery = await Discovery().start()
        raw = configuration(self._discovery.port, []) | {"name": self.name}
        self._child = Child(self._folder, self.name, build=self.build)
        await self._child.start(raw, self._port, self._operator)
        self.running = True

    def signal(self, number: int) -> None:
        """To the process, if there is one."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._child.pid, number)

    async def term(self) -> None:
        """SIGTERM; killed where it does not drain in time."""
        await self._child.term()
        self.running = False

    async def kill(self) -> None:
        """It is gone when this returns."""
        self.signal(signal.SIGCONT)
        self.running = False
        await self._child.kill()

    async def close(self) -> None:
        """The stand-in for discovery ends too."""
        await self.kill()
        if self._discovery is not None:
            await self._discovery.stop()
