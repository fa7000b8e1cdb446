"""Arrows run one way: limebridge -> violetroute -> snowstall."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
FORBIDDEN = {
    "snowstall": {"violetroute", "limebridge"},
    "violetroute": {
        "limebridge",
        "typer",
        "rich",
        "redis",
        "highspy",
        "numpy",
        "jinja2",
        "scipy",
        "matplotlib",
        "duckdb",
        "textual",
        "tomli_w",
        "hdrh",
    },
}

LONGEST = 400  # lines of a file


def imported(path: Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            found.add(node.module.partition(".")[0])
    return found


def test_nothing_runs_back_up() -> None:
    seen = 0
    for package, forbidden in FORBIDDEN.items():
        for path in (ROOT / package).rglob("*.py"):
            assert not imported(path) & forbidden, path
            seen += 1
    assert seen > 8


def test_no_file_is_too_long_to_read() -> None:
    for path in (p for room in (*FORBIDDEN, "limebridge") for p in (ROOT / room).rglob("*.py")):
        assert len(path.read_text().splitlines()) <= LONGEST, path


def test_the_policy_keeps_its_bound() -> None:
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    told = {ROOT / name for name in named}
    assert told == set((ROOT / "snowstall").glob("*.py")) - {
        ROOT / "snowstall" / name for name in ("__init__.py", "adapter.py", "messages.py")
    }
    lines = [line for path in told for line in path.read_text().splitlines()]
    assert sum(bool(line.strip()) for line in lines) <= 1200


# What only the seam may use.  The start-up owns the process's signals.
KERNEL = {"socket", "select", "selectors", "time", "signal", "ssl"}
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


def test_only_the_seam_touches_the_kernel() -> None:
    seen = 0
    for path in (ROOT / "violetroute").rglob("*.py"):
        text = path.read_text()
        if path.parent.name == "transport":
            continue
        allowed = {"signal"} if path.name == "__main__.py" else set()
        assert not (imported(path) & KERNEL) - allowed, path
        used = {
            node.attr
            for node in ast.walk(ast.parse(text))
            if isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and node.value.id in ("asyncio", "loop")
        }
        assert not used & TRANSPORTS, path
        seen += 1
    assert seen > 15
