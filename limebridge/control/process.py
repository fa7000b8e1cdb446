"""Control machines as child processes on loopback, for tests and scale runs."""

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

READY_S = 30.0  # time limit from the start of a process until it serves
END_S = 10.0  # time limit for a process to release its lease and exit after SIGTERM
ENDING_S = 0.3  # time for a process that may be exiting already to end by itself
COMMAND = (sys.executable, "-m", "violetroute.distribution")


class UnreadyError(Exception):
    """A control process did not start; the message is one line."""


class ControlProcess:
    """The process of one control machine; it can be started again after it has ended.

    Each line of its log is passed to `on_log_line`; the last 50 lines are kept in `log`.  `address`
    is HOST:PORT of the last start.  `build` is the folder whose packages the next start runs; None
    stands for the packages of this process.
    """

    def __init__(self, file: Path, on_log_line: Callable[[str], None] | None = None) -> None:
        self.file = file
        self.address = ""
        self.build: Path | None = None
        self.log: list[str] = []
        self._on_log_line = on_log_line
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Process id of the process that was started last."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> str:
        """Starts the process, waits until it serves, and returns its address as HOST:PORT.

        Raises UnreadyError when it does not serve within READY_S, after the process has ended.
        """
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
            raise UnreadyError(f"{self.file.stem}: {self.log[-1] if self.log else 'no log output'}")
        self.address = str(json.loads(line)["control"])
        return self.address

    async def wait(self) -> int:
        """Waits until the process and the reading of its log have ended; returns the exit code."""
        assert self._process is not None
        code = await self._process.wait()
        if self._reading is not None:
            await self._reading
        return code

    async def term(self) -> int:
        """Sends SIGTERM, and SIGKILL after END_S; returns the exit code."""
        if self._process is not None and self.running:
            child_signals.send(self._process.pid, signal.SIGTERM)
            await self._end(END_S)
        return await self.wait()

    async def kill(self) -> None:
        """Sends SIGKILL and waits until the process has ended."""
        if self._process is None:
            return
        child_signals.send(self._process.pid, signal.SIGKILL)
        await self.wait()

    async def _end(self, within_s: float) -> None:
        """Waits `within_s` for the process to exit by itself, then kills it."""
        assert self._process is not None
        try:
            async with asyncio.timeout(within_s):
                await self._process.wait()
        except TimeoutError:
            await self.kill()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        """Reads the log of the process until it ends."""
        assert process.stderr is not None
        while line := await process.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            self.log = [*self.log[-49:], text]
            if self._on_log_line is not None:
                self._on_log_line(text)


@dataclass
class ControlMachines:
    """The files and processes of all control machines of one log, under one folder.

    Machine c0 listens at the first of `ports`, and so on; `regions` are assigned in turn.
    `timings` is the table of that name in each configuration file; `fleet` overrides keys of its
    `fleet` table.
    """

    folder: Path
    ports: Sequence[int]
    regions: Sequence[str] = ()
    timings: dict[str, Any] = field(default_factory=dict)
    fleet: dict[str, Any] = field(default_factory=dict)
    on_log_line: Callable[[str], None] | None = None
    log: str = "log"

    def __post_init__(self) -> None:
        self.key_file = self.folder / "key"
        self.processes = [
            ControlProcess(self.folder / f"c{number}.toml", self.on_log_line)
            for number in range(len(self.ports))
        ]

    @property
    def addresses(self) -> list[str]:
        """Addresses of all machines, running or not."""
        return [f"127.0.0.1:{port}" for port in self.ports]

    def region(self, number: int) -> str:
        """Region of the machine with this number; "" if `regions` is empty."""
        return self.regions[number % len(self.regions)] if self.regions else ""

    def write(self) -> None:
        """Writes the key, each machine's configuration file, and empty logs."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.key_file.write_text("a key of sixteen bytes and more\n")
        for number, process in enumerate(self.processes):
            process.file.write_text(tomli_w.dumps(self.table(number)))
            init_folder(self.data_folder(number), f"c{number}", self.log, recovering=False)

    def data_folder(self, number: int) -> Path:
        """Folder of this machine's log."""
        return self.folder / f"c{number}"

    def table(self, number: int) -> dict[str, Any]:
        """Contents of the machine's configuration file."""
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
        """Starts all machines.  Raises UnreadyError when one does not serve in time."""
        await asyncio.gather(*(process.start() for process in self.processes))

    async def stop(self) -> None:
        """Kills all processes and waits until they have ended."""
        await asyncio.gather(*(process.kill() for process in self.processes))
