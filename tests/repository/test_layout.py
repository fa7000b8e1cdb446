"""The structure of the packages: imports run one way, limebridge -> violetroute -> snowstall.

`.importlinter` has the contracts between modules; each must also report a planted violation.
Further checks: the length of files, the policy files named in deploy/balancer.toml, and that only
violetroute.transport uses the transports of asyncio.
"""

from __future__ import annotations

import ast
import gc
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import grimp
import pytest

from tests.support.paths import ROOT

PACKAGES = ("snowstall", "violetroute", "limebridge")
KIT_LIBRARIES = (
    "duckdb",
    "hdrh",
    "highspy",
    "jinja2",
    "matplotlib",
    "numpy",
    "redis",
    "rich",
    "scipy",
    "textual",
    "tomli_w",
    "typer",
)
KERNEL_MODULES = ("select", "selectors", "signal", "socket", "ssl", "time")
LINT = "from importlinter.cli import lint_imports_command; lint_imports_command()"
LINT_S = 120.0  # real time, on a busy machine

LONGEST = 400  # lines of a file


def lint_imports(folder: Path) -> subprocess.CompletedProcess[str]:
    """`lint-imports` with the contracts of this repository, on the packages in `folder`."""
    return subprocess.run(
        [sys.executable, "-c", LINT, str(ROOT / ".importlinter"), "--no-cache", "--no-logo"],
        cwd=folder,
        env={**os.environ, "COLUMNS": "200"},  # no line of the report is wrapped
        capture_output=True,
        text=True,
        check=False,
        timeout=LINT_S,
    )


def sources(folder: Path) -> list[Path]:
    return [path for package in PACKAGES for path in (folder / package).rglob("*.py")]


def test_every_contract_is_kept() -> None:
    linted = lint_imports(ROOT)
    assert linted.returncode == 0, linted.stdout + linted.stderr


def test_every_file_is_read_by_the_contracts() -> None:
    """The contracts would not check the imports in a folder that has no __init__.py."""
    read = grimp.build_graph(*PACKAGES, cache_dir=None).modules
    files = [path.relative_to(ROOT).with_suffix("") for path in sources(ROOT)]
    modules = {".".join(path.parts).removesuffix(".__init__") for path in files}
    assert read == modules and len(modules) > 300


def forbidden_imports() -> dict[str, tuple[str, str]]:
    """A file for each kind of import that is forbidden: its text, and the line that reports it."""
    plants = {
        "snowstall/to_daemon.py": (
            "import violetroute",
            "snowstall.to_daemon -> violetroute (l.1)",
        ),
        "snowstall/to_kit.py": (
            "from limebridge import ports",
            "snowstall.to_kit -> limebridge.ports (l.1)",
        ),
        "violetroute/to_kit.py": (
            "def late():\n    from limebridge import ports",
            "violetroute.to_kit -> limebridge.ports (l.2)",
        ),
        "violetroute/resp/__main__.py": (
            "from time import monotonic",
            "violetroute.resp.__main__ -> time (l.1)",
        ),
        "violetroute/resp/first.py": ("from . import second", "No cycles are allowed in"),
        "violetroute/resp/second.py": (
            "from . import first",
            "No cycles are allowed in violetroute.resp.",
        ),
        "limebridge/scale/types_first.py": (
            "from .types_second import x\n",
            "No cycles are allowed in limebridge.scale.",
        ),
        "limebridge/scale/types_second.py": (
            "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from .types_first import x\n",
            "No cycles are allowed in limebridge.scale.",
        ),
        "limebridge/rules/late.py": (
            "def late():\n    from limebridge.virtual import world\n",
            "No cycles are allowed in limebridge.",
        ),
    }
    for library in KIT_LIBRARIES:
        plants[f"violetroute/resp/to_{library}.py"] = (
            f"import {library}.part",
            f"violetroute.resp.to_{library} -> {library} (l.1)",
        )
    for module in KERNEL_MODULES:
        plants[f"violetroute/resp/to_{module}.py"] = (
            f"from {module} import *",
            f"violetroute.resp.to_{module} -> {module} (l.1)",
        )
    return plants


@pytest.fixture(scope="module")
def report_of_forbidden(tmp_path_factory: pytest.TempPathFactory) -> str:
    """The report on a copy in which every forbidden import is planted."""
    copy = tmp_path_factory.mktemp("planted")
    for package in PACKAGES:
        shutil.copytree(
            ROOT / package, copy / package, ignore=shutil.ignore_patterns("__pycache__")
        )
    for name, (text, _) in forbidden_imports().items():
        assert not (copy / name).exists(), name
        (copy / name).write_text(text)
    linted = lint_imports(copy)
    assert linted.returncode == 1, linted.stdout + linted.stderr
    return linted.stdout


def test_each_forbidden_import_is_reported(report_of_forbidden: str) -> None:
    missing = [
        name for name, (_, line) in forbidden_imports().items() if line not in report_of_forbidden
    ]
    assert not missing, report_of_forbidden


def test_no_file_exceeds_the_allowed_length() -> None:
    for path in sources(ROOT):
        assert len(path.read_text().splitlines()) <= LONGEST, path


def test_each_policy_file_is_named_in_the_deploy_file() -> None:
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    named_files = {ROOT / name for name in named}
    assert named_files == set((ROOT / "snowstall").glob("*.py")) - {
        ROOT / "snowstall" / name for name in ("__init__.py", "adapter.py", "messages.py")
    }


# The names of asyncio and of its loop that only violetroute.transport may use.
TRANSPORTS = {
    "Protocol",
    "BufferedProtocol",
    "Transport",
    "open_connection",
    "start_server",
    "create_connection",
    "create_server",
    "connect_accepted_socket",
    "sock_connect",
    "sock_accept",
    "sock_recv",
    "sock_sendall",
    "add_reader",
    "add_writer",
}


@pytest.fixture
def collected_garbage() -> None:
    """Finalizers of objects that earlier tests left do not run while a test parses sources.

    One that raises within `ast.parse` makes CPython 3.11 raise SystemError ("AST constructor
    recursion depth mismatch").
    """
    gc.collect()


@pytest.mark.usefixtures("collected_garbage")
def test_only_the_transport_uses_the_transports_of_asyncio() -> None:
    seen = 0
    for path in (ROOT / "violetroute").rglob("*.py"):
        if path.parent.name == "transport":
            continue
        used = {
            node.attr
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and node.value.id in ("asyncio", "loop")
        }
        assert not used & TRANSPORTS, path
        seen += 1
    assert seen > 15
