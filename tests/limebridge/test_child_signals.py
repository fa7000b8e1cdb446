"""Signals to children: the exit code of a child that has just exited is not lost."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from limebridge import child_signals
from limebridge.child import Child
from limebridge.control.process import ControlProcess

EXIT_CODE = 3
MAX_WAIT_S = 20.0  # far above the duration of any step
EXITS_AT_ONCE = (sys.executable, "-c", f"raise SystemExit({EXIT_CODE})")
KEEPS_RUNNING = (sys.executable, "-c", "import time; print(flush=True); time.sleep(600)")


async def start(*command: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)


def wait_for_exit(pid: int) -> None:
    """Block the loop's thread until the exit, so that asyncio has not noticed it yet."""
    end = time.monotonic() + MAX_WAIT_S
    while not child_signals.has_ended(pid):
        assert time.monotonic() < end
        time.sleep(0.005)


def wrapped(process: asyncio.subprocess.Process, kind: str) -> Child | ControlProcess:
    """The process wrapped by one of the two classes that end children."""
    if kind == "daemon":
        child = Child(Path(), "p0")
        child._process = process
        return child
    control = ControlProcess(Path("c0.toml"))
    control._process = process
    return control


@pytest.fixture
def watcher_resumes(monkeypatch: pytest.MonkeyPatch) -> Iterator[threading.Event]:
    """Keep asyncio's watcher from reaping exit codes until this is set, as on a busy machine."""
    resumed, waitpid = threading.Event(), os.waitpid

    def delayed_waitpid(pid: int, options: int) -> tuple[int, int]:
        resumed.wait()
        return waitpid(pid, options)

    monkeypatch.setattr(os, "waitpid", delayed_waitpid)
    yield resumed
    resumed.set()


@pytest.mark.parametrize("kind", ["daemon", "control"])
@pytest.mark.parametrize("method", ["kill", "term"])
def test_ending_a_child_that_has_just_exited_keeps_its_exit_code(
    kind: str, method: str, watcher_resumes: threading.Event
) -> None:
    async def run() -> None:
        process = await start(*EXITS_AT_ONCE)
        wait_for_exit(process.pid)
        owner = wrapped(process, kind)
        ending = asyncio.create_task(getattr(owner, method)())
        await asyncio.sleep(0)  # if a signal is sent, it is sent now
        watcher_resumes.set()
        await ending
        assert await owner.wait() == EXIT_CODE

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["daemon", "control"])
def test_a_running_child_is_killed_and_a_second_kill_has_no_effect(kind: str) -> None:
    async def run() -> None:
        process = await start(*KEEPS_RUNNING)
        owner = wrapped(process, kind)
        for _ in range(2):
            await owner.kill()
            assert await owner.wait() == -signal.SIGKILL

    asyncio.run(run())


def test_a_stopped_child_is_killed_and_no_signal_is_sent_to_an_exited_one() -> None:
    async def run() -> None:
        process = await start(*KEEPS_RUNNING)
        assert process.stdout is not None
        await process.stdout.readline()
        os.kill(process.pid, signal.SIGSTOP)
        assert not child_signals.has_ended(process.pid)
        child_signals.send(process.pid, signal.SIGKILL)
        assert await process.wait() == -signal.SIGKILL
        assert child_signals.has_ended(process.pid)
        child_signals.send(process.pid, signal.SIGKILL)

    asyncio.run(run())
