"""Answers of Consul's health and catalogue calls, with the field names of its API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypedDict


class MachineFields(TypedDict):
    """The machine that an instance runs on, which Consul calls "Node"."""

    Node: str
    Address: str
    Datacenter: str
    Meta: dict[str, str]


class ServiceFields(TypedDict):
    """The service fields of an instance."""

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
    """An element of an answer to /v1/health/service/NAME."""

    Node: MachineFields
    Service: ServiceFields
    Checks: list[CheckFields]


@dataclass(frozen=True)
class FrozenAnswer:
    """The answer that an agent without updates from the servers keeps giving."""

    index: int
    entries: list[HealthEntry]


def as_catalogue_row(entry: HealthEntry) -> dict[str, object]:
    """The entry in the format of /v1/catalog/service/NAME."""
    service = {f"Service{key}": value for key, value in entry["Service"].items()}
    return entry["Node"] | service
