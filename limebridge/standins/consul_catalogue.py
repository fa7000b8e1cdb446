"""What Consul's health and catalogue calls answer, field by field as its API has them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypedDict


class MachineFields(TypedDict):
    """The machine that an instance runs on: "Node" to Consul."""

    Node: str
    Address: str
    Datacenter: str
    Meta: dict[str, str]


class ServiceFields(TypedDict):
    """An instance of a service."""

    ID: str
    Service: str
    Address: str
    Port: int
    Tags: list[str]
    Meta: dict[str, str]
    Weights: dict[str, int]


class CheckFields(TypedDict):
    """One check of an instance."""

    Node: str
    CheckID: str
    Status: str  # passing, warning, critical
    ServiceID: str
    ServiceName: str


class HealthEntry(TypedDict):
    """An element of the answer of /v1/health/service/NAME."""

    Node: MachineFields
    Service: ServiceFields
    Checks: list[CheckFields]


@dataclass(frozen=True)
class FrozenAnswer:
    """What an agent goes on to answer that hears nothing from the servers."""

    index: int
    entries: list[HealthEntry]
