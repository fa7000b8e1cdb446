"""The platform's list of cache nodes, as discovery and PROXY_CONFIG carry it."""

from __future__ import annotations

from typing import Literal, TypedDict

Lifecycle = Literal["in_service", "terminating", "terminated"]


class NodeFields(TypedDict, total=False):
    """What an entry says of a node beside its name and lifecycle."""

    hostPort: str
    zone: str
    machineType: str
    cell: int
    weight: float
    startedAtMs: float  # Unix time


class NodeEntry(NodeFields):
    """A cache node in the list."""

    instanceId: str
    lifecycle: Lifecycle


class ListChange(TypedDict):
    """A line of the watch: entries that replace those of the same names, or the whole list."""

    generation: int
    reset: bool  # it is the whole list
    instances: list[NodeEntry]
