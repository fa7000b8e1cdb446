"""Signals to children: who ended by itself keeps its exit code, whoever is slow to hear of it."""

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
PATIENCE_S = 20.0  # a bound on waiting, far above what any step needs
ENDS = (sys.executable, "-c", f"raise SystemExit({EXIT_CODE})")
STAYS = (sys.executable, "-c", "import time; print(flush=True); time.sleep(600)")


async def started(*command: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)


def wait_for_the_end(pid: int) -> None:
    """In the loop's own thread, so that asyncio hears of it later."""
    end = time.monotonic() + PATIENCE_S
    while not child_signals.has_ended(pid):
        assert time.monotonic() < end
        time.sleep(0.005)


def holding(process: asyncio.subprocess.Process, kind: str) -> Child | ControlProcess:
    """The process in the hands of one of the two that end children."""
    if kind == "daemon":
        child = Child(Path(), "p0")
        child._process = process
        return child
    control = ControlProcess(Path("c0.toml"))
    control._process = process
    return control


@pytest.fixture
def watcher_goes_on(monkeypatch: pytest.MonkeyPatch) -> Iterator[threading.Event]:
    """asyncio's watcher takes no exit code until this is set, as one that gets no CPU."""
    goes_on, waitpid = threading.Event(), os.waitpid

    def late(pid: int, options: int) -> tuple[int, int]:
        goes_on.wait()
        return waitpid(pid, options)

    monkeypatch.setattr(os, "waitpid", late)
    yield goes_on
    goes_on.set()


@pytest.mark.parametrize("kind", ["daemon", "control"])
@pytest.mark.parametrize("how", ["kill", "term"])
def test_one_that_has_just_ended_keeps_its_exit_code(
    kind: str, how: str, watcher_goes_on: threading.Event
) -> None:
    async def part() -> None:
        process = await started(*ENDS)
        wait_for_the_end(process.pid)
        held = holding(process, kind)
        ending = asyncio.create_task(getattr(held, how)())
        await asyncio.sleep(0)  # its signal, if any, is sent
        watcher_goes_on.set()
        await ending
        assert await held.wait() == EXIT_CODE

    asyncio.run(part())


@pytest.mark.parametrize("kind", ["daemon", "control"])
def test_one_that_stays_is_killed_at_once_and_once_more_is_nothing(kind: str) -> None:
    async def part() -> None:
        process = await started(*STAYS)
        held = holding(process, kind)
        for _ in range(2):
            await held.kill()
            assert await held.wait() == -signal.SIGKILL

    asyncio.run(part())


def test_one_that_was_stopped_is_killed_and_no_signal_goes_to_one_that_is_gone() -> None:
    async def part() -> None:
        process = await started(*STAYS)
        assert process.stdout is not None
        await process.stdout.readline()
        os.kill(process.pid, signal.SIGSTOP)
        assert not child_signals.has_ended(process.pid)
        child_signals.send(process.pid, signal.SIGKILL)
        assert await process.wait() == -signal.SIGKILL
        assert child_signals.has_ended(process.pid)
        child_signals.send(process.pid, signal.SIGKILL)

    asyncio.run(part())
