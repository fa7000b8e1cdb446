"""Two builds of the daemon side by side, both under this checkout's kit."""

from __future__ import annotations

import contextlib
import os
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import harness
import msgspec
from request_load import RunResult

from limebridge.experiments import builds

LOAD_SCRIPT = harness.ROOT / "benchmarks" / "request_load.py"


@dataclass(frozen=True)
class BuildPair:
    """Folders with the packages of each build."""

    base: Path
    build: Path


@contextlib.contextmanager
def unpack_builds(base: str, build: str) -> Iterator[BuildPair]:
    """Each a commit, or `.` for this checkout as it is now.  Raises BuildError if there is none."""
    with tempfile.TemporaryDirectory() as folder:
        under = Path(folder)
        yield BuildPair(builds.build_folder(base, under), builds.build_folder(build, under))


def load_command(load: str, requests: int, count: bool) -> list[str]:
    """Plays the load; to be run in the environment of a build."""
    more = ["--count"] if count else []
    return [sys.executable, str(LOAD_SCRIPT), load, str(requests), *more]


def load_environment(folder: Path) -> dict[str, str]:
    """Of a process that plays the build in this folder, the same way each time."""
    return os.environ | {"PYTHONPATH": str(folder), "PYTHONHASHSEED": "0"}


def decode_result(line: bytes) -> RunResult:
    """What a load has printed."""
    return msgspec.json.decode(line, type=RunResult)
