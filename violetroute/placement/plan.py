"""The placement plan: the precomputed share of the keys for each node.

A size is a share divided by the even share of the nodes that have keys in the plan.  Sizes do not
depend on the nodes that are listed at present, so removing a node moves only that node's keys.
"""

from __future__ import annotations

import math
import os
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

MAX_PLAN_BYTES = 1024 * 1024  # enough for about ten thousand nodes
VERSION = 1
SHARE_SUM_TOLERANCE = 1e-3  # the sum of the shares may differ from 1 by this

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class PlacementTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[placement]`: off without a file.  Reloaded with SIGHUP."""

    file: str = ""  # the plan file; read at the start and on SIGHUP
    least_match: Share = 0.5  # fraction of the listed nodes that a plan has to cover
    # Fraction of the keys that may move per second when the plan changes.
    moved_per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 0.02
    # Seconds between checks for a changed file; 0: it is read again only on SIGHUP.
    every_s: Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)] = 0.0
    seen: str = ""  # file that keeps the highest accepted version over restarts
    # Hours: the age from which a plan is logged as stale.
    stale_h: Annotated[float, msgspec.Meta(gt=0.0, le=100_000.0)] = 168.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The plan, as JSON written by `limebridge placement solve`."""

    limebridge_placement: int  # format version
    made_at: float  # Unix seconds
    nodes: dict[str, Share]  # shares of the keys by instance id, which add up to 1
    others: dict[str, Share] = {}  # shares of unnamed nodes, by "SITE/KIND" or "KIND"
    note: str = ""
    fence: int = 0  # fence of the owner that published it; 0: made by hand
    position: int = 0  # position in the owner's log

    @property
    def version(self) -> tuple[int, int]:
        """Increases with each published plan: the owner's fence, then the log position."""
        return self.fence, self.position

    def share(self, name: str, site: str, kind: str) -> float | None:
        """The share of a node; None if neither its name nor its site and kind are in the plan."""
        share = self.nodes.get(name)
        if share is None:
            share = self.others.get(f"{site}/{kind}", self.others.get(kind))
        return share

    def size(self, name: str, site: str, kind: str) -> float | None:
        """The size of a node; 1 is an even share.  For many nodes, `sizes` is faster."""
        share = self.share(name, site, kind)
        return None if share is None else share * self.used_nodes

    @property
    def used_nodes(self) -> int:
        """The number of nodes with a share above 0."""
        return sum(share > 0.0 for share in self.nodes.values())


class ListedNode(msgspec.Struct, frozen=True):
    """The attributes of a listed node by which a plan finds its share."""

    name: str
    site: str
    kind: str


def load_plan(path: str) -> Plan:
    """Load the plan at `path`.  ValueError in one line names the file and the invalid key."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_PLAN_BYTES + 1)
        if len(data) > MAX_PLAN_BYTES:
            raise ValueError(f"larger than {MAX_PLAN_BYTES} bytes")
        plan = msgspec.json.decode(data, type=Plan)
        if plan.limebridge_placement != VERSION:
            raise ValueError(
                f"limebridge_placement: version {plan.limebridge_placement}, not {VERSION}"
            )
        total = sum(plan.nodes.values())
        if not math.isclose(total, 1.0, abs_tol=SHARE_SUM_TOLERANCE):
            raise ValueError(f"nodes: the shares add up to {total:g}, not to 1")
        return plan
    except (OSError, ValueError, RecursionError) as error:
        text, _, place = " ".join(str(error).split()).partition(" - at `$.")
        key = f"{place.strip('`')}: " if place else ""
        raise ValueError(f"{path}: {key}{text}") from error


def sizes(plan: Plan, listed: Iterable[ListedNode]) -> dict[str, float]:
    """The size of each listed node that the plan covers, by name."""
    found = ((node.name, plan.share(node.name, node.site, node.kind)) for node in listed)
    used_nodes = plan.used_nodes  # computed once: it iterates over all nodes of the plan
    return {name: share * used_nodes for name, share in found if share is not None}


def mismatch_reason(plan: Plan, listed: Mapping[str, ListedNode], least_match: float) -> str:
    """Why a plan does not fit these nodes; "" if it does.

    A plan of another fleet, or one from before most nodes were replaced, would give keys to only a
    few nodes.  A plan whose nodes with keys are all removed would leave the rest without keys.
    """
    if not listed:
        return ""
    known = sizes(plan, listed.values())
    if len(known) < least_match * len(listed):
        return f"it knows {len(known)} of {len(listed)} nodes"
    if not any(size > 0.0 for size in known.values()):
        return "it gives no listed node a share"
    return ""


def read_version(path: str) -> tuple[int, int]:
    """The highest accepted version; (0, 0) if the file is missing or unreadable."""
    try:
        with open(path, "rb") as file:
            fence, position = msgspec.json.decode(file.read(256), type=tuple[int, int])
        return fence, position
    except (OSError, ValueError):
        return 0, 0


def write_version(path: str, version: tuple[int, int]) -> None:
    """Replace the file atomically.  Raises OSError.

    It survives a kill of the process, but not always a power cut: requests would wait for an fsync.
    If an older plan is accepted after a power cut, the owner rewrites the plan file at its next
    check.
    """
    with open(f"{path}.new", "wb") as file:
        file.write(msgspec.json.encode(version))
    os.replace(f"{path}.new", path)


def file_signature(path: str) -> object:
    """A value that changes when the file is replaced or written; None if it is missing."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_ino, status.st_mtime_ns, status.st_size
