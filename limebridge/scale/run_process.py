"""A child process of a scale run: starts it, exchanges lines with it, and stops it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections import deque
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from .process_usage import Usage, usage

READY_TIMEOUT_S = 90.0  # s for a process to become ready; many start at once
REPLY_TIMEOUT_S = 60.0  # s for the reply to a line
STOP_TIMEOUT_S = 8.0  # s for a process to exit after SIGTERM, before SIGKILL
MAX_STDERR_LINES = 20  # last lines of standard error that are kept
MAX_ERROR_CHARS = 900  # characters of standard error in an error message
MAX_LINE_BYTES = 1024 * 1024  # bytes of one line of standard output

Reply = TypeVar("Reply")


class ProcessError(Exception):
    """A child process did not start, did not reply, or exited early; a one-line message."""


class RunProcess:
    """A child process in its own session, so that Ctrl-C reaches only the parent, which stops it.

    Its standard input is a pipe, which the kernel closes when the parent ends for any reason; the
    child exits at the end of its input.
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
        """Start the process; with `marker`, wait until it has written that to standard error.

        Raises ProcessError if the marker does not come within READY_TIMEOUT_S or the process exits.
        """
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
        self._marker_seen.set()  # the process has exited, so stop waiting for the marker

    async def _wait_for_marker(self) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._marker_seen.wait()
        except TimeoutError:
            raise self.error(f"is not ready after {READY_TIMEOUT_S:g} s") from None
        if self.has_exited:
            raise self.error("exited during its start")

    def error(self, message: str) -> ProcessError:
        """A ProcessError with the name, `message` and the last lines of standard error."""
        written = [line.strip() for line in self.stderr_lines if line.strip()]
        last = " | ".join(written[-3:])[-MAX_ERROR_CHARS:] if written else "no error output"
        return ProcessError(f"{self.name} {message}: {last}")

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative after a signal; None before the start and while it runs."""
        return None if self._process is None else self._process.returncode

    @property
    def pid(self) -> int:
        """The process id; only after `start`."""
        assert self._process is not None
        return self._process.pid

    @property
    def has_exited(self) -> bool:
        """Whether the process has exited or was never started."""
        return self._process is None or self._process.returncode is not None

    def usage(self) -> Usage | None:
        """CPU time and memory until now; None if the process does not run."""
        return None if self.has_exited else usage(self.pid)

    async def read_reply(
        self, reply_type: type[Reply], timeout_s: float = READY_TIMEOUT_S
    ) -> Reply:
        """Decode the next line of standard output, which is JSON.

        Raises ProcessError without a valid line within `timeout_s`.
        """
        assert self._process is not None and self._process.stdout is not None
        try:
            async with asyncio.timeout(timeout_s):
                line = await self._process.stdout.readline()
        except TimeoutError:
            raise self.error(f"wrote no reply within {timeout_s:g} s") from None
        if not line:
            await asyncio.sleep(0.1)  # lets the rest of its standard error arrive
            raise self.error("exited")
        try:
            return msgspec.json.decode(line, type=reply_type)
        except msgspec.MsgspecError as error:
            raise self.error(f"wrote {line[:80]!r} ({error})") from None

    async def send(self, line: str) -> None:
        """Write a line to its standard input.  Raises ProcessError if the process has exited."""
        assert self._process is not None and self._process.stdin is not None
        try:
            self._process.stdin.write(line.encode() + b"\n")
            await self._process.stdin.drain()
        except OSError:
            raise self.error("exited") from None

    async def request(self, line: str, reply_type: type[Reply]) -> Reply:
        """Send a line and return the decoded reply.  Raises ProcessError."""
        await self.send(line)
        return await self.read_reply(reply_type, REPLY_TIMEOUT_S)

    def kill(self) -> None:
        """Send SIGKILL if the process runs; does not wait.  Simulates the failure of a machine."""
        with contextlib.suppress(ProcessLookupError):
            if self._process is not None and self._process.returncode is None:
                self._process.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Close its input and send SIGTERM; kill it if it still runs after STOP_TIMEOUT_S.

        The process has exited when this returns.
        """
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
    """All child processes of a run.  `close` ends them all, even if it is cancelled."""

    def __init__(self) -> None:
        self.processes: list[RunProcess] = []

    def add(self, name: str) -> RunProcess:
        """Add a process, which the caller starts and `close` stops."""
        process = RunProcess(name)
        self.processes.append(process)
        return process

    async def close(self) -> None:
        """Stop all processes.  If the wait is cancelled, those that still run are killed."""
        try:
            await asyncio.gather(*(process.stop() for process in self.processes))
        finally:
            for process in self.processes:
                process.kill()
