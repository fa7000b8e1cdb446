"""The command `build` of deploy/balancer.toml, on a copy of the checkout."""

from __future__ import annotations

import importlib.util
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

from tests.support.paths import ROOT

PACKAGES = ("snowstall", "violetroute")


def copy_of_checkout(folder: Path) -> Path:
    """Copy the packages and the deploy file, with a .venv whose Python is that of this process."""
    for name in (*PACKAGES, "deploy"):
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "requirements.txt", folder)
    programs = folder / ".venv" / "bin"
    programs.mkdir(parents=True)
    (programs / "python").symlink_to(sys.executable)
    shutil.copy(ROOT / "requirements.txt", folder / ".venv" / "built-from")
    return folder


def test_the_build_compiles_every_module_so_that_a_start_compiles_none(tmp_path: Path) -> None:
    """On a read-only file system each start would compile the modules again.

    200 proxies that start at the same time have no CPU time to spare for that.
    """
    folder = copy_of_checkout(tmp_path)
    table = tomllib.loads((folder / "deploy" / "balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", table["build"]], cwd=folder, check=True, timeout=120.0)
    sources = [path for name in PACKAGES for path in (folder / name).rglob("*.py")]
    assert len(sources) > 100
    missing = [
        path for path in sources if not Path(importlib.util.cache_from_source(str(path))).exists()
    ]
    assert not missing
    check = (
        "import importlib.machinery as machinery\n"
        "def compiles(self, data, path, **options): raise SystemExit(f'{path} is compiled')\n"
        "machinery.SourceFileLoader.source_to_code = compiles\n"
        "import violetroute.__main__, snowstall.adapter\n"
    )
    started = subprocess.run(
        [sys.executable, "-c", check],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        check=False,
        timeout=60.0,
    )
    assert started.returncode == 0, started.stderr
