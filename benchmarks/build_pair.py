"""Two builds of the daemon for a comparison; the same load script of this checkout runs on both."""

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
    """The folders that hold the packages of the two builds."""

    base: Path
    build: Path


@contextlib.contextmanager
def unpack_builds(base: str, build: str) -> Iterator[BuildPair]:
    """Unpack two builds into a temporary folder, which is removed at the end of the context.

    Each is named by a commit, or by `.` for this checkout with its uncommitted changes.  Raises
    BuildError for an unknown commit.
    """
    with tempfile.TemporaryDirectory() as folder:
        parent = Path(folder)
        yield BuildPair(builds.build_folder(base, parent), builds.build_folder(build, parent))


def load_command(load: str, requests: int, count: bool) -> list[str]:
    """The command line that runs a load, for the environment of `load_environment`.

    `count`: also count bytecode instructions.
    """
    flags = ["--count"] if count else []
    return [sys.executable, str(LOAD_SCRIPT), load, str(requests), *flags]


def load_environment(folder: Path) -> dict[str, str]:
    """Environment of a process that runs a load on the build in `folder`.

    The hash seed is fixed, so that each run executes the same.
    """
    return os.environ | {"PYTHONPATH": str(folder), "PYTHONHASHSEED": "0"}


def decode_result(line: bytes) -> RunResult:
    """Decode the line that a load process has printed.  Raises msgspec.DecodeError."""
    return msgspec.json.decode(line, type=RunResult)
