"""One child process of a scale run: start, wait until it is ready, talk to it, end it by its id."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections import deque
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from .process_usage import Usage, usage

READY_TIMEOUT_S = 90.0  # for a process to be ready: many start at once
REPLY_TIMEOUT_S = 60.0  # for its answer to a line
STOP_TIMEOUT_S = 8.0  # for it to end by itself
MAX_STDERR_LINES = 20  # of its standard error
MAX_ERROR_CHARS = 900  # characters of them in an error
MAX_LINE_BYTES = 1024 * 1024  # bytes of one line of its standard output

Reply = TypeVar("Reply")


class ProcessError(Exception):
    """A child process did not start, answer or last; one line."""


class RunProcess:
    """A child in a session of its own: Ctrl-C reaches this program alone, which ends its children.

    Its standard input is a pipe that closes when this program ends, however it does.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.stderr_lines = deque[str](maxlen=MAX_STDERR_LINES)
        self._process: asyncio.subprocess.Process | None = None
        self._stderr_task: asyncio.Task[None] | None = None
        self._marker = ""
        self._marker_seen = asyncio.Event()

    async def start(
        self, command: tuple[str, ...], marker: str = "", env: Mapping[str, str] | None = None
    ) -> None:
        """Start it.  With `marker`, until it has written that to standard error.  ProcessError."""
        self._marker = marker
        self._process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=env,
            start_new_session=True,
            limit=MAX_LINE_BYTES,
        )
        self._stderr_task = asyncio.create_task(self._read_errors(self._process))
        if marker:
            await self._wait_for_marker()

    async def _read_errors(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while chunk := await process.stderr.read(65536):
            self.stderr_lines.extend(chunk.decode(errors="replace").splitlines())
            if self._marker and self._marker.encode() in chunk:
                self._marker_seen.set()
        self._marker_seen.set()  # it has ended

    async def _wait_for_marker(self) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._marker_seen.wait()
        except TimeoutError:
            raise self.error(f"is not ready after {READY_TIMEOUT_S:g} s") from None
        if self.has_exited:
            raise self.error("ended at its start")

    def error(self, message: str) -> ProcessError:
        """What happened to it, with the last that it wrote."""
        written = [line.strip() for line in self.stderr_lines if line.strip()]
        last = " | ".join(written[-3:])[-MAX_ERROR_CHARS:] if written else "it wrote nothing"
        return ProcessError(f"{self.name} {message}: {last}")

    @property
    def exit_code(self) -> int | None:
        """None while it runs."""
        return None if self._process is None else self._process.returncode

    @property
    def pid(self) -> int:
        """Its id."""
        assert self._process is not None
        return self._process.pid

    @property
    def has_exited(self) -> bool:
        """Whether it is gone, or was never started."""
        return self._process is None or self._process.returncode is not None

    def usage(self) -> Usage | None:
        """CPU time and memory until now; None when it is gone."""
        return None if self.has_exited else usage(self.pid)

    async def read_reply(
        self, reply_type: type[Reply], timeout_s: float = READY_TIMEOUT_S
    ) -> Reply:
        """Its next line of standard output.  ProcessError when none comes."""
        assert self._process is not None and self._process.stdout is not None
        try:
            async with asyncio.timeout(timeout_s):
                line = await self._process.stdout.readline()
        except TimeoutError:
            raise self.error(f"said nothing for {timeout_s:g} s") from None
        if not line:
            await asyncio.sleep(0.1)  # for the rest of its standard error
            raise self.error("ended")
        try:
            return msgspec.json.decode(line, type=reply_type)
        except msgspec.MsgspecError as error:
            raise self.error(f"wrote {line[:80]!r} ({error})") from None

    async def send(self, line: str) -> None:
        """Write a line to its standard input.  ProcessError."""
        assert self._process is not None and self._process.stdin is not None
        try:
            self._process.stdin.write(line.encode() + b"\n")
            await self._process.stdin.drain()
        except OSError:
            raise self.error("ended") from None

    async def request(self, line: str, reply_type: type[Reply]) -> Reply:
        """Send a line and wait for the answer.  ProcessError."""
        await self.send(line)
        return await self.read_reply(reply_type, REPLY_TIMEOUT_S)

    def kill(self) -> None:
        """SIGKILL, as a machine that fails."""
        with contextlib.suppress(ProcessLookupError):
            if self._process is not None and self._process.returncode is None:
                self._process.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """It is gone when this returns: asked by the end of its input and SIGTERM, else killed."""
        process = self._process
        if process is None:
            return
        if process.returncode is None:
            with contextlib.suppress(OSError, ProcessLookupError):
                assert process.stdin is not None
                process.stdin.close()
                process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                self.kill()
                await process.wait()
        if self._stderr_task is not None:
            self._stderr_task.cancel()


class ProcessGroup:
    """All children of a run.  `close` leaves none behind, also when it is cancelled."""

    def __init__(self) -> None:
        self.processes: list[RunProcess] = []

    def add(self, name: str) -> RunProcess:
        """A new one that will be ended with the others."""
        process = RunProcess(name)
        self.processes.append(process)
        return process

    async def close(self) -> None:
        """End all.  What has to be killed is killed even if the wait is interrupted."""
        try:
            await asyncio.gather(*(process.stop() for process in self.processes))
        finally:
            for process in self.processes:
                process.kill()
