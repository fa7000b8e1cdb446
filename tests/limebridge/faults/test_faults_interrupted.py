"""A fault run that is interrupted ends every process that it started."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
import uuid
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.support.paths import ROOT

MARK = "LIMEBRIDGE_FAULT_TEST"  # environment variable of all processes of one run
START_TIMEOUT_S = 60.0  # until the processes of a run have started, on a busy machine
END_TIMEOUT_S = 40.0  # until all of them have ended
INTERRUPTED = 130
RUNS = {
    "distribution run": ("distribution", "run", "--seeds", "6", "--jobs", "2"),
    "distribution replay": ("distribution", "replay", "3", "--real"),
    "run": ("run", "--seeds", "4", "--jobs", "1", "--store", "folder", "--beats"),
    "replay": ("replay", "1", "--store", "folder", "--beats"),
    "sharing run": ("sharing", "run", "--seeds", "4", "--jobs", "1"),
    "sharing replay": ("sharing", "replay", "1"),
}
SERVER_MODULES = ("violetroute", "limebridge.faults.distribution.recording")  # in a command line


def marked_processes(mark: str) -> dict[int, str]:
    """The command lines of all processes with this mark in their environment, by process id."""
    found = {}
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            if f"{MARK}={mark}".encode() in (folder / "environ").read_bytes().split(b"\0"):
                found[int(folder.name)] = (folder / "cmdline").read_text().replace("\0", " ")
        except OSError:  # the process belongs to another user, or has just ended
            continue
    return found


def server_count(mark: str) -> int:
    """The number of running daemons, control machines and recording proxies."""
    return sum(
        any(each in line for each in SERVER_MODULES) for line in marked_processes(mark).values()
    )


def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait for a condition; returns whether it became true in time."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.1)
    return True


@pytest.fixture
def mark() -> Iterator[str]:
    """A unique mark for the processes of one run; kills what is left of them after the test."""
    unique = uuid.uuid4().hex
    yield unique
    kill_all(unique)


@pytest.fixture
def folder() -> Iterator[Path]:
    """A folder for the run's temporary files.  Its name is short because it holds Unix sockets."""
    with tempfile.TemporaryDirectory(prefix="ends-", dir="/tmp") as name:
        yield Path(name)


def kill_all(mark: str) -> None:
    """Kill all processes that are left of a run."""
    for process in marked_processes(mark):
        with contextlib.suppress(ProcessLookupError):
            os.kill(process, signal.SIGKILL)


def start(arguments: tuple[str, ...], mark: str, folder: Path) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "limebridge", "faults", *arguments],
        cwd=ROOT,
        env={**os.environ, MARK: mark, "TMPDIR": str(folder)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )


def assert_ends_with_all(run: subprocess.Popen[str], mark: str, folder: Path) -> None:
    try:
        _, errors = run.communicate(timeout=END_TIMEOUT_S)
    except subprocess.TimeoutExpired:  # a remaining process holds the pipe open
        kill_all(mark)
        raise
    assert run.returncode == INTERRUPTED, errors[-2000:]
    assert "interrupted" in errors and "Traceback" not in errors, errors[-2000:]
    assert wait_until(lambda: not marked_processes(mark), 2.0), marked_processes(mark)
    assert list(folder.iterdir()) == []


@pytest.mark.parametrize("name", RUNS)
def test_sigterm_ends_all_processes_of_a_run(name: str, mark: str, folder: Path) -> None:
    run = start(RUNS[name], mark, folder)
    assert wait_until(lambda: server_count(mark) >= 4, START_TIMEOUT_S)
    run.terminate()
    assert_ends_with_all(run, mark, folder)


def test_ctrl_c_ends_all_processes_of_a_run(mark: str, folder: Path) -> None:
    """A terminal sends SIGINT to every process of the group; the user presses Ctrl-C twice."""
    run = start(RUNS["distribution run"], mark, folder)
    assert wait_until(lambda: server_count(mark) >= 4, START_TIMEOUT_S)
    os.killpg(run.pid, signal.SIGINT)
    time.sleep(0.2)
    os.killpg(run.pid, signal.SIGINT)
    assert_ends_with_all(run, mark, folder)


def test_sigterm_while_processes_start_leaves_none(mark: str, folder: Path) -> None:
    run = start(RUNS["distribution run"], mark, folder)
    assert wait_until(lambda: server_count(mark) >= 1, START_TIMEOUT_S)
    run.terminate()
    assert_ends_with_all(run, mark, folder)
