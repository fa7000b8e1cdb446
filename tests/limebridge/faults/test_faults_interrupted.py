"""A fault run that is told to end ends with every process that it started."""

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

MARK = "LIMEBRIDGE_FAULT_TEST"  # in the environment of all processes of one run
STARTED_S = 60.0  # until the processes of a run are there, on a busy machine
ENDED_S = 40.0  # until all are gone
INTERRUPTED = 130
RUNS = {
    "distribution run": ("distribution", "run", "--seeds", "6", "--jobs", "2"),
    "distribution replay": ("distribution", "replay", "3", "--real"),
    "run": ("run", "--seeds", "4", "--jobs", "1", "--store", "folder", "--beats"),
    "replay": ("replay", "1", "--store", "folder", "--beats"),
    "sharing run": ("sharing", "run", "--seeds", "4", "--jobs", "1"),
    "sharing replay": ("sharing", "replay", "1"),
}
SERVING = ("violetroute", "limebridge.faults.distribution.recording")  # in a command line


def marked(mark: str) -> dict[int, str]:
    """The command lines of all processes that have this mark in their environment, by id."""
    found = {}
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            if f"{MARK}={mark}".encode() in (folder / "environ").read_bytes().split(b"\0"):
                found[int(folder.name)] = (folder / "cmdline").read_text().replace("\0", " ")
        except OSError:  # of another user, or it has just ended
            continue
    return found


def serving(mark: str) -> int:
    """How many daemons, control machines and recording proxies run."""
    return sum(any(each in line for each in SERVING) for line in marked(mark).values())


def until(done: Callable[[], bool], seconds: float) -> bool:
    """Whether it came to be within this time."""
    end = time.monotonic() + seconds
    while not done():
        if time.monotonic() > end:
            return False
        time.sleep(0.1)
    return True


@pytest.fixture
def mark() -> Iterator[str]:
    """Of one run, of which nothing is left after the test."""
    made = uuid.uuid4().hex
    yield made
    kill_all(made)


@pytest.fixture
def folder() -> Iterator[Path]:
    """For the run's own folders.  Its name is short, since there are Unix sockets in them."""
    with tempfile.TemporaryDirectory(prefix="ends-", dir="/tmp") as name:
        yield Path(name)


def kill_all(mark: str) -> None:
    """End what the run has left."""
    for process in marked(mark):
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


def ends_with_all(run: subprocess.Popen[str], mark: str, folder: Path) -> None:
    try:
        _, errors = run.communicate(timeout=ENDED_S)
    except subprocess.TimeoutExpired:  # what is left holds the pipe open
        kill_all(mark)
        raise
    assert run.returncode == INTERRUPTED, errors[-2000:]
    assert "interrupted" in errors and "Traceback" not in errors, errors[-2000:]
    assert until(lambda: not marked(mark), 2.0), marked(mark)
    assert list(folder.iterdir()) == []


@pytest.mark.parametrize("name", RUNS)
def test_sigterm_ends_all_processes_of_a_run(name: str, mark: str, folder: Path) -> None:
    run = start(RUNS[name], mark, folder)
    assert until(lambda: serving(mark) >= 4, STARTED_S)
    run.terminate()
    ends_with_all(run, mark, folder)


def test_ctrl_c_ends_all_processes_of_a_run(mark: str, folder: Path) -> None:
    """As a terminal does it: every process of the group has the signal, and has it twice."""
    run = start(RUNS["distribution run"], mark, folder)
    assert until(lambda: serving(mark) >= 4, STARTED_S)
    os.killpg(run.pid, signal.SIGINT)
    time.sleep(0.2)
    os.killpg(run.pid, signal.SIGINT)
    ends_with_all(run, mark, folder)


def test_sigterm_while_processes_start_leaves_none(mark: str, folder: Path) -> None:
    run = start(RUNS["distribution run"], mark, folder)
    assert until(lambda: serving(mark) >= 1, STARTED_S)
    run.terminate()
    ends_with_all(run, mark, folder)
