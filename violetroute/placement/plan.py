"""A plan: the share of the keys that each node is meant for, worked out ahead.

A size is a share in units of an even one among the nodes that the plan gives any: sizes do not
depend on who is listed just now, so a node that goes away moves its own keys and no others.
"""

from __future__ import annotations

import math
import os
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

LARGEST = 1024 * 1024  # bytes of a plan: some ten thousand nodes
VERSION = 1
CLOSE = 1e-3  # by which the shares may miss 1

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class PlacementTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[placement]`: off without a file.  Changes with SIGHUP."""

    file: str = ""  # the plan; read at the start and on SIGHUP
    least_match: Share = 0.5  # share of the listed nodes that a plan has to know of
    moved_per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 0.02  # of the keys, on the way
    #                           from one plan to the next
    every_s: Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)] = 0.0  # between looks at whether the
    #                           file is another one; 0: only with SIGHUP
    seen: str = ""  # a file that keeps the highest fence of any plan taken, over restarts
    stale_h: Annotated[float, msgspec.Meta(gt=0.0, le=100_000.0)] = 168.0  # age that is logged


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What `limebridge placement solve` writes, as JSON."""

    limebridge_placement: int  # version of this form
    made_at: float  # Unix seconds
    nodes: dict[str, Share]  # by the id that discovery gives; they add up to 1
    others: dict[str, Share] = {}  # for nodes that are not named, by "SITE/KIND" or "KIND"
    note: str = ""
    fence: int = 0  # of the owner who has published it; 0: made by hand
    position: int = 0  # in its log

    @property
    def version(self) -> tuple[int, int]:
        """What rises: an owner's fence, and within its term the log's position."""
        return self.fence, self.position

    def share(self, name: str, site: str, kind: str) -> float | None:
        """Of a node; None where the plan knows nothing of its like."""
        share = self.nodes.get(name)
        if share is None:
            share = self.others.get(f"{site}/{kind}", self.others.get(kind))
        return share

    def size(self, name: str, site: str, kind: str) -> float | None:
        """Of a node, 1 being an even share; for many nodes take `sizes`."""
        share = self.share(name, site, kind)
        return None if share is None else share * self.even

    @property
    def even(self) -> int:
        """Nodes that are meant for any keys."""
        return sum(share > 0.0 for share in self.nodes.values())


class ListedNode(msgspec.Struct, frozen=True):
    """What a plan goes by."""

    name: str
    site: str
    kind: str


def load_plan(path: str) -> Plan:
    """The plan at `path`.  ValueError, one line with the file and the key, for anything else."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
        if len(data) > LARGEST:
            raise ValueError(f"larger than {LARGEST} bytes")
        plan = msgspec.json.decode(data, type=Plan)
        if plan.limebridge_placement != VERSION:
            raise ValueError(
                f"limebridge_placement: version {plan.limebridge_placement}, not {VERSION}"
            )
        total = sum(plan.nodes.values())
        if not math.isclose(total, 1.0, abs_tol=CLOSE):
            raise ValueError(f"nodes: the shares add up to {total:g}, not to 1")
        return plan
    except (OSError, ValueError, RecursionError) as error:
        text, _, place = " ".join(str(error).split()).partition(" - at `$.")
        key = f"{place.strip('`')}: " if place else ""
        raise ValueError(f"{path}: {key}{text}") from error


def sizes(plan: Plan, listed: Iterable[ListedNode]) -> dict[str, float]:
    """The size of each listed node that the plan knows the like of."""
    found = ((node.name, plan.share(node.name, node.site, node.kind)) for node in listed)
    even = plan.even  # costs a look at each node of the plan
    return {name: share * even for name, share in found if share is not None}


def unfit(plan: Plan, listed: Mapping[str, ListedNode], least_match: float) -> str:
    """Why a plan is not for these nodes; empty when it is.

    Guards against the plan of another fleet, or one from before most nodes were replaced: its
    sizes would be a few nodes' alone.  Nor is a plan kept whose nodes have all gone, since what is
    left has no place at all by it.
    """
    if not listed:
        return ""
    known = sizes(plan, listed.values())
    if len(known) < least_match * len(listed):
        return f"it knows {len(known)} of {len(listed)} nodes"
    if not any(size > 0.0 for size in known.values()):
        return "it gives no listed node a share"
    return ""


def read_seen(path: str) -> tuple[int, int]:
    """The highest version that was taken, (0, 0) where nothing is kept or it can't be read."""
    try:
        with open(path, "rb") as file:
            fence, position = msgspec.json.decode(file.read(256), type=tuple[int, int])
        return fence, position
    except (OSError, ValueError):
        return 0, 0


def write_seen(path: str, version: tuple[int, int]) -> None:
    """Whole, in place of the one before; OSError.

    Kept over a kill, and over a power cut as the file system pleases: requests are not to wait for
    a sync, and an older plan that is taken after one is put right by the owner at its next look.
    """
    with open(f"{path}.new", "wb") as file:
        file.write(msgspec.json.encode(version))
    os.replace(f"{path}.new", path)


def changed(path: str) -> object:
    """What differs when the file is another one."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_ino, status.st_mtime_ns, status.st_size
