"""A build by its commit: the daemon of then under the kit of now.

`.` is this checkout as it is now.  Any other is unpacked from git into a folder beside the store,
with this checkout's kit next to it, so that all builds are judged by one and the same stage.
"""

from __future__ import annotations

import functools
import hashlib
import io
import os
import shutil
import subprocess
import tarfile
import tempfile
import time
from pathlib import Path

from .plan import HERE

ROOT = Path(__file__).resolve().parent.parent.parent
THEIRS = ("snowstall", "violetroute")
OURS = ("limebridge", "rehearsals", "experiments")
NO_MATTER = ("experiments", "placement", "ledger")  # of the kit: what no run is played by
COPIES = 8  # unpacked builds that are kept; older ones go
DAY = 86_400.0  # s for which any is left alone: runs may be going on in it


class NoBuild(Exception):
    """One line: why there is no such build."""


def commit(build: str) -> str:
    """What tells builds apart: the daemon (a commit, or this checkout's sources) and the kit that
    plays it.  An edit of either is another build; one of a page or an experiment is not."""
    if build == HERE:
        daemon = f"here-{_print(*(ROOT / room for room in THEIRS))}"
    else:
        daemon = _git(
            "rev-parse",
            "--verify",
            "--quiet",
            "--end-of-options",
            f"{build}^{{commit}}",
            why=f"build {build}: no such commit",
        )
    kit = [
        path
        for path in sorted((ROOT / "limebridge").iterdir())
        if path.is_dir() and path.name not in NO_MATTER
    ]
    return f"{daemon}.{_print(*kit, ROOT / 'limebridge' / 'experiments' / 'worker.py')}"


@functools.cache
def head() -> str:
    """The commit that this checkout stands on; empty without a history."""
    try:
        return _git("rev-parse", "HEAD", why="")
    except NoBuild:
        return ""


def _print(*places: Path) -> str:
    told = hashlib.blake2b(digest_size=4)
    for place in places:
        for path in sorted(place.rglob("*.py")) if place.is_dir() else [place]:
            told.update(path.read_bytes())
    return told.hexdigest()


def folder(build: str, under: Path) -> Path:
    """Where a worker of this build runs from.  NoBuild where it can't be had."""
    place = under / commit(build)[:24]
    if place.is_dir():
        os.utime(place)
        return place
    under.mkdir(parents=True, exist_ok=True)
    _tidy(under)
    made = Path(tempfile.mkdtemp(dir=under))
    if build == HERE:  # a copy: an edit while runs go on would mix two builds
        for room in (*THEIRS, *OURS):
            if (ROOT / room).is_dir():
                shutil.copytree(
                    ROOT / room, made / room, ignore=shutil.ignore_patterns("__pycache__")
                )
    else:
        _unpack(build, made)
    try:
        os.rename(made, place)
    except OSError:  # another writer was quicker
        shutil.rmtree(made, ignore_errors=True)
        if not place.is_dir():
            raise NoBuild(f"build {build}: can't be put into {place}") from None
    return place


def _tidy(under: Path) -> None:
    """All but the newest, and those of the last day; what a kill left half made goes so too."""
    found = sorted(((path.stat().st_mtime, path) for path in under.iterdir()), reverse=True)
    for at, path in found[COPIES:]:
        if at < time.time() - DAY:
            shutil.rmtree(path, ignore_errors=True)


def _unpack(build: str, made: Path) -> None:
    """The daemon of a commit, beside this checkout's kit as it is now."""
    whole = commit(build).partition(".")[0]
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", whole, *THEIRS], capture_output=True, check=False
    )
    if archive.returncode:
        raise NoBuild(f"build {build}: {archive.stderr.decode().strip()}")
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(made, filter="data")
    for room in OURS:
        if (ROOT / room).is_dir():
            shutil.copytree(ROOT / room, made / room, ignore=shutil.ignore_patterns("__pycache__"))


def _git(*words: str, why: str) -> str:
    try:
        done = subprocess.run(
            ["git", "-C", str(ROOT), *words], capture_output=True, text=True, check=False
        )
    except OSError as error:
        raise NoBuild(f"{why}: {error}") from None
    if done.returncode:
        raise NoBuild(why or done.stderr.strip())
    return done.stdout.strip()
