"""Control machines as child processes on loopback: for tests and runs at scale."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomli_w

from limebridge import child_signals
from violetroute.distribution.storage import init_folder

READY_S = 30.0  # for a process to serve
END_S = 10.0  # for one to hand its lease back and end
ENDING_S = 0.3  # for one that may have ended by itself
COMMAND = (sys.executable, "-m", "violetroute.distribution")


class UnreadyError(Exception):
    """A control process did not start; one line."""


class ControlProcess:
    """One machine's process, and one incarnation of it after another.

    Every line of its log goes to `told`; the last 50 are kept in `log`.  `build`: the folder whose
    packages the next incarnation runs; None: those of this process.
    """

    def __init__(self, file: Path, told: Callable[[str], None] | None = None) -> None:
        self.file = file
        self.address = ""
        self.build: Path | None = None
        self.log: list[str] = []
        self._told = told
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Of the process that was started last."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> str:
        """Until it serves; its address.  UnreadyError when it does not: then it is gone."""
        self._process = await asyncio.create_subprocess_exec(
            *COMMAND,
            str(self.file),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=self.build,
            start_new_session=True,
        )
        assert self._process.stdout is not None
        self._reading = asyncio.create_task(self._read(self._process))
        try:
            async with asyncio.timeout(READY_S):
                line = await self._process.stdout.readline()
        except TimeoutError:
            line = b""
        if not line:
            await self._end(END_S)
            raise UnreadyError(f"{self.file.stem}: {self.log[-1] if self.log else 'no word'}")
        self.address = str(json.loads(line)["control"])
        return self.address

    async def wait(self) -> int:
        """Its exit code, once it has ended."""
        assert self._process is not None
        code = await self._process.wait()
        if self._reading is not None:
            await self._reading
        return code

    async def term(self) -> int:
        """SIGTERM; its exit code, or that of a kill where it does not end in time."""
        if self._process is not None and self.running:
            child_signals.send(self._process.pid, signal.SIGTERM)
            await self._end(END_S)
        return await self.wait()

    async def kill(self) -> None:
        """SIGKILL; it is gone when this returns."""
        if self._process is None:
            return
        child_signals.send(self._process.pid, signal.SIGKILL)
        await self.wait()

    async def _end(self, within_s: float) -> None:
        """Killed unless it ends by itself in time."""
        assert self._process is not None
        try:
            async with asyncio.timeout(within_s):
                await self._process.wait()
        except TimeoutError:
            await self.kill()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            self.log = [*self.log[-49:], text]
            if self._told is not None:
                self._told(text)


@dataclass
class ControlMachines:
    """The files and processes of all control machines of one log, under one folder.

    `timings` and `fleet` are added to the tables of each file.
    """

    folder: Path
    ports: Sequence[int]
    regions: Sequence[str] = ()
    timings: dict[str, Any] = field(default_factory=dict)
    fleet: dict[str, Any] = field(default_factory=dict)
    told: Callable[[str], None] | None = None
    log: str = "log"

    def __post_init__(self) -> None:
        self.key_file = self.folder / "key"
        self.processes = [
            ControlProcess(self.folder / f"c{number}.toml", self.told)
            for number in range(len(self.ports))
        ]

    @property
    def addresses(self) -> list[str]:
        """Of all machines, whether they run or not."""
        return [f"127.0.0.1:{port}" for port in self.ports]

    def region(self, number: int) -> str:
        """Of the machine of this number."""
        return self.regions[number % len(self.regions)] if self.regions else ""

    def write(self) -> None:
        """Key, files and empty logs."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.key_file.write_text("a key of sixteen bytes and more\n")
        for number, process in enumerate(self.processes):
            process.file.write_text(tomli_w.dumps(self.table(number)))
            init_folder(self.data_folder(number), f"c{number}", self.log, recovering=False)

    def data_folder(self, number: int) -> Path:
        """The log's."""
        return self.folder / f"c{number}"

    def table(self, number: int) -> dict[str, Any]:
        """The machine's file."""
        lease = {"store": "folder", "folder": str(self.folder / "lease"), "term_s": 3.0}
        return {
            "name": f"c{number}",
            "listen": self.addresses[number],
            "region": self.region(number),
            "folder": str(self.data_folder(number)),
            "key_file": str(self.key_file),
            "socket": str(self.folder / f"c{number}.sock"),
            "machine": [
                {"name": f"c{each}", "address": address, "region": self.region(each)}
                for each, address in enumerate(self.addresses)
            ],
            "fleet": lease | {"look_s": 0.2} | self.fleet,
            "timings": self.timings,
        }

    async def start(self) -> None:
        """All of them.  UnreadyError."""
        await asyncio.gather(*(process.start() for process in self.processes))

    async def stop(self) -> None:
        """All are gone when this returns."""
        await asyncio.gather(*(process.kill() for process in self.processes))
