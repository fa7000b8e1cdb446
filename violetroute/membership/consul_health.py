"""Parses Consul's answers about cache nodes.  Pure.

Consul's HTTP API: `GET /v1/health/service/:service` returns a list of {Node, Service, Checks}, and
`GET /v1/catalog/service/:service` a list of flat records without checks, in which only the drain
tag and a weight of 0 mark a node as not to be used.
An instance's health is the worst of its checks, including those of its machine.  Maintenance mode
appears as a critical check with a reserved name; it is a planned removal, not a failure.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from violetroute.transport import Address, parse_address

from .table import ConsulTable

NODE_MAINTENANCE, SERVICE_MAINTENANCE = "_node_maintenance", "_service_maintenance:"
MAX_INSTANCES = 20_000  # instances in an answer


class Health(Enum):
    """The worst check of an instance, or DRAINS for a planned removal."""

    PASSING = "passing"
    WARNING = "warning"
    CRITICAL = "critical"
    DRAINS = "drains"


@dataclass(frozen=True, slots=True)
class Instance:
    """One cache node as an answer describes it."""

    name: str
    address: Address
    health: Health
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0  # Unix ms; 0 if not given
    machine: str = ""  # name of the machine whose agent has registered it


class _Node(msgspec.Struct):
    Node: str = ""
    Address: str = ""


class _Weights(msgspec.Struct):
    Passing: float = 1.0
    Warning: float = 1.0


class _Service(msgspec.Struct):
    ID: str
    Service: str = ""
    Address: str = ""
    Port: int = 0
    Tags: list[str] | None = None
    Meta: dict[str, str] | None = None
    Weights: _Weights | None = None


class _Check(msgspec.Struct):
    CheckID: str = ""
    Status: str = ""


class _Element(msgspec.Struct):
    Node: _Node
    Service: _Service
    Checks: list[_Check] | None = None


class _CatalogRow(msgspec.Struct):
    """One record of the catalog endpoint."""

    ServiceID: str
    Node: str = ""
    Address: str = ""
    ServiceName: str = ""
    ServiceAddress: str = ""
    ServicePort: int = 0
    ServiceTags: list[str] | None = None
    ServiceMeta: dict[str, str] | None = None
    ServiceWeights: _Weights | None = None

    def element(self) -> _Element:
        return _Element(
            _Node(self.Node, self.Address),
            _Service(
                self.ServiceID,
                self.ServiceName,
                self.ServiceAddress,
                self.ServicePort,
                self.ServiceTags,
                self.ServiceMeta,
                self.ServiceWeights,
            ),
        )


_elements = msgspec.json.Decoder(list[msgspec.Raw])
_element = msgspec.json.Decoder(_Element)
_catalog_row = msgspec.json.Decoder(_CatalogRow)


class HealthReader:
    """Parses answers, and reuses the parsed instances of the last answer by their bytes.

    Usually one of two thousand instances changes at a time.  A service's id is unique per agent
    only, so an instance is known by its id and machine.  The first one has the id as its name, and
    further ones the id and the machine, for as long as they are listed or held, in whatever order.
    """

    def __init__(self, table: ConsulTable) -> None:
        self.table = table  # replaced when the settings change
        self._cache: dict[bytes, Instance | None] = {}
        # By id and machine: the names of the last answer, and those that are held.
        self._names: dict[tuple[str, str], str] = {}
        self._listed: set[tuple[str, str]] = set()  # ids and machines of the last answer
        self.skipped = 0  # invalid entries of the last answer

    def read(self, body: bytes | bytearray, held: Collection[str] = ()) -> dict[str, Instance]:
        """The instances by name.  Raises ValueError if the body is not a list of instances.

        `held`: names that are kept for instances that the last answers lacked.
        """
        raw = _elements.decode(body)
        if len(raw) > MAX_INSTANCES:
            raise ValueError(f"more than {MAX_INSTANCES} instances")
        cache: dict[bytes, Instance | None] = {}
        for item in raw:
            data = bytes(item)
            cache[data] = self._cache[data] if data in self._cache else self._read(data)
        self._cache = cache
        instances = [instance for instance in cache.values() if instance is not None]
        self.skipped = len(raw) - len(instances)
        return self._named(instances, held)

    def _named(self, instances: list[Instance], held: Collection[str]) -> dict[str, Instance]:
        """The instances by the names that they keep while they are listed or held."""
        before = self._names
        keys = [(instance.name, instance.machine) for instance in instances]
        taken = {before[key] for key in keys if key in before}
        taken.update(held)
        self._names = {}
        found: dict[str, Instance] = {}
        for key, instance in zip(keys, instances, strict=True):
            name = before.get(key)
            if name is None:
                name = instance.name if instance.name not in taken else f"{key[0]}@{key[1]}"
                taken.add(name)
            self._names[key] = name
            found[name] = instance if name == instance.name else replace(instance, name=name)
        for key, name in before.items():
            # Whether an instance that is missing for the first time is held, the next read tells.
            kept = key in self._listed or name in held
            if kept and key not in self._names and name not in found:
                self._names[key] = name
        self._listed = set(keys)
        return found

    def _read(self, data: bytes) -> Instance | None:
        """One instance; None if it is invalid, so that the others are used."""
        try:
            element = (
                _element.decode(data)
                if self.table.endpoint == "health"
                else _catalog_row.decode(data).element()
            )
            return self._instance(element)
        except (ValueError, OverflowError):
            return None

    def _instance(self, element: _Element) -> Instance:
        service, table = element.Service, self.table
        host = service.Address or element.Node.Address
        if not 0 < service.Port < 65536:
            raise ValueError("port out of range")
        address = parse_address(f"[{host}]:{service.Port}")
        meta = service.Meta or {}
        health = _health(element, table.drain_tag)
        weights = service.Weights or _Weights()
        weight = weights.Warning if health is Health.WARNING else weights.Passing
        started = float(meta.get(table.started_meta) or 0.0)
        cell = int(meta.get(table.cell_meta) or 0)
        if not (0.0 <= weight < math.inf and 0.0 <= started < math.inf):
            raise ValueError("weight or start time out of range")
        if weight == 0.0 and health is not Health.DRAINS:
            health = Health.CRITICAL  # Consul's own DNS leaves it out too
        # The id defaults to the service's name, which is the same on all machines.
        name = service.ID if service.Service != service.ID else element.Node.Node or service.ID
        if not name:
            raise ValueError("no id")
        return Instance(
            name,
            address,
            health,
            meta.get(table.zone_meta, ""),
            meta.get(table.kind_meta, ""),
            cell,
            weight,
            started,
            element.Node.Node,
        )


def _health(element: _Element, drain_tag: str) -> Health:
    checks = element.Checks or []
    if drain_tag and drain_tag in (element.Service.Tags or ()):
        return Health.DRAINS
    for check in checks:
        if check.Status == "critical" and (
            check.CheckID == NODE_MAINTENANCE or check.CheckID.startswith(SERVICE_MAINTENANCE)
        ):
            return Health.DRAINS
    statuses = {check.Status for check in checks}
    if statuses - {"passing", "warning"}:
        return Health.CRITICAL  # unknown statuses count as critical
    return Health.WARNING if "warning" in statuses else Health.PASSING
