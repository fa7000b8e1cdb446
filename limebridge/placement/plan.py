"""The plan's file, which the daemon reads: written whole or not at all."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

import msgspec

from violetroute.placement.plan import VERSION, Plan

from .fleet import Fleet

DIGITS = 6  # of a share


def made(fleet: Fleet, shares: Mapping[str, float], at: float, note: str = "") -> Plan:
    """A plan of these shares, made `at` (Unix seconds).

    A node that discovery lists and the plan does not name gets what its like have on average: the
    same site and kind, else the same kind.
    """
    nodes = {name: round(share, DIGITS) for name, share in shares.items()}
    like: dict[str, list[float]] = {}
    for node in fleet.machines():
        if nodes[node.name] > 0.0:
            for mark in (f"{node.site}/{node.kind}", node.kind):
                like.setdefault(mark, []).append(nodes[node.name])
    others = {mark: round(sum(each) / len(each), DIGITS) for mark, each in sorted(like.items())}
    return Plan(VERSION, at, nodes, others, note)


def write(plan: Plan, path: Path) -> None:
    """Beside its place first: a daemon that reads meanwhile sees the old plan or the new."""
    draft = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        draft.write_bytes(msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n")
        draft.replace(path)
    finally:
        draft.unlink(missing_ok=True)
