"""Arrows run one way: limebridge -> violetroute -> snowstall."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
FORBIDDEN = {"snowstall": {"violetroute", "limebridge"}, "violetroute": {"limebridge", "typer",
                                                                         "rich", "redis"}}


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


def test_the_policy_keeps_its_bound() -> None:
    lines = (ROOT / "snowstall" / "balance.py").read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 1200
