"""Makes placement plans and writes the plan file that the daemon reads."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

import msgspec

from violetroute.placement.plan import VERSION, Plan

from .fleet import Fleet

SHARE_DIGITS = 6  # digits after the point


def make_plan(fleet: Fleet, shares: Mapping[str, float], at: float, note: str = "") -> Plan:
    """A plan with the given shares by node; `at`: Unix seconds.

    The plan also has shares for nodes that discovery lists and the plan does not name: the mean of
    the nodes with keys of the same site and kind, else of the same kind.
    """
    nodes = {name: round(share, SHARE_DIGITS) for name, share in shares.items()}
    shares_by_group: dict[str, list[float]] = {}
    for node in fleet.expanded_nodes():
        if nodes[node.name] > 0.0:
            for group in (f"{node.site}/{node.kind}", node.kind):
                shares_by_group.setdefault(group, []).append(nodes[node.name])
    others = {
        group: round(sum(group_shares) / len(group_shares), SHARE_DIGITS)
        for group, group_shares in sorted(shares_by_group.items())
    }
    return Plan(VERSION, at, nodes, others, note)


def write_plan(plan: Plan, path: Path) -> None:
    """Replace the file atomically: a daemon reads the old plan or the new one.  Raises OSError."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_bytes(msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n")
        temporary.replace(path)
    finally:
        temporary.unlink(missing_ok=True)
