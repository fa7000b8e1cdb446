"""Builds of the daemon by commit, each combined with this checkout's test kit.

`.` is this checkout as it is now.  The daemon of any other commit is unpacked from git into a
folder beside the store, with a copy of this checkout's kit, so that the same kit measures all
builds.
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

from .plan import THIS_CHECKOUT

ROOT = Path(__file__).resolve().parent.parent.parent
DAEMON_PACKAGES = ("snowstall", "violetroute")
KIT_FOLDERS = ("limebridge", "rehearsals", "experiments")
EXCLUDED_FROM_DIGEST = ("experiments", "placement", "ledger")  # kit packages that no run uses
MAX_BUILDS = 8  # unpacked builds that are kept; older ones are removed
MIN_AGE_S = 86_400.0  # a younger build is never removed, since runs may be using it


class BuildError(Exception):
    """A build can't be provided; the message is one line."""


def build_id(build: str) -> str:
    """Identifies a build: the daemon (a commit, or a digest of this checkout) and a kit digest.

    An edit of daemon or kit makes another build; an edit of documents or experiments does not.
    Raises BuildError for an unknown commit.
    """
    if build == THIS_CHECKOUT:
        daemon = f"here-{_source_digest(*(ROOT / package for package in DAEMON_PACKAGES))}"
    else:
        daemon = _git(
            "rev-parse",
            "--verify",
            "--quiet",
            "--end-of-options",
            f"{build}^{{commit}}",
            message=f"build {build}: no such commit",
        )
    kit = [
        path
        for path in sorted((ROOT / "limebridge").iterdir())
        if path.is_dir() and path.name not in EXCLUDED_FROM_DIGEST
    ]
    return f"{daemon}.{_source_digest(*kit, ROOT / 'limebridge' / 'experiments' / 'worker.py')}"


@functools.cache
def head_commit() -> str:
    """The commit checked out here; empty if there is no git history."""
    try:
        return _git("rev-parse", "HEAD", message="")
    except BuildError:
        return ""


def _source_digest(*paths: Path) -> str:
    digest = hashlib.blake2b(digest_size=4)
    for entry in paths:
        for path in sorted(entry.rglob("*.py")) if entry.is_dir() else [entry]:
            digest.update(path.read_bytes())
    return digest.hexdigest()


def build_folder(build: str, parent: Path) -> Path:
    """The folder from which a worker of this build runs; it is created below `parent` if needed.

    Raises BuildError if the build can't be provided.
    """
    target = parent / build_id(build)[:24]
    if target.is_dir():
        os.utime(target)
        return target
    parent.mkdir(parents=True, exist_ok=True)
    _remove_old_builds(parent)
    temporary = Path(tempfile.mkdtemp(dir=parent))
    if build == THIS_CHECKOUT:  # copied: an edit during the runs would mix two builds
        for package in (*DAEMON_PACKAGES, *KIT_FOLDERS):
            if (ROOT / package).is_dir():
                shutil.copytree(
                    ROOT / package,
                    temporary / package,
                    ignore=shutil.ignore_patterns("__pycache__"),
                )
    else:
        _unpack_commit(build, temporary)
    try:
        os.rename(temporary, target)
    except OSError:  # another process has created it meanwhile
        shutil.rmtree(temporary, ignore_errors=True)
        if not target.is_dir():
            raise BuildError(f"build {build}: can't be moved to {target}") from None
    return target


def _remove_old_builds(parent: Path) -> None:
    """Remove builds older than MIN_AGE_S except the newest MAX_BUILDS.

    This includes unfinished builds of processes that were killed.
    """
    builds_by_age = sorted(
        ((path.stat().st_mtime, path) for path in parent.iterdir()), reverse=True
    )
    for modified_at, path in builds_by_age[MAX_BUILDS:]:
        if modified_at < time.time() - MIN_AGE_S:
            shutil.rmtree(path, ignore_errors=True)


def _unpack_commit(build: str, temporary: Path) -> None:
    """Unpack the daemon of a commit and copy this checkout's kit to the same folder."""
    commit_hash = build_id(build).partition(".")[0]
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit_hash, *DAEMON_PACKAGES],
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        raise BuildError(f"build {build}: {archive.stderr.decode().strip()}")
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(temporary, filter="data")
    for package in KIT_FOLDERS:
        if (ROOT / package).is_dir():
            shutil.copytree(
                ROOT / package, temporary / package, ignore=shutil.ignore_patterns("__pycache__")
            )


def _git(*arguments: str, message: str) -> str:
    try:
        completed = subprocess.run(
            ["git", "-C", str(ROOT), *arguments], capture_output=True, text=True, check=False
        )
    except OSError as error:
        raise BuildError(f"{message}: {error}") from None
    if completed.returncode:
        raise BuildError(message or completed.stderr.strip())
    return completed.stdout.strip()
