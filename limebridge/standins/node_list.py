"""The platform's list of cache nodes, in the format of discovery and PROXY_CONFIG."""

from __future__ import annotations

from typing import Literal, TypedDict

Lifecycle = Literal["in_service", "terminating", "terminated"]


class NodeFields(TypedDict, total=False):
    """Fields of an entry besides the name and the lifecycle."""

    hostPort: str
    zone: str
    machineType: str
    cell: int
    weight: float
    startedAtMs: float  # Unix time in ms


class NodeEntry(NodeFields):
    """A cache node in the list."""

    instanceId: str
    lifecycle: Lifecycle


class ListChange(TypedDict):
    """A line of the watch: entries that replace those with the same names, or the full list."""

    generation: int
    reset: bool  # True: the full list
    instances: list[NodeEntry]
