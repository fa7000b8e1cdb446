"""What Consul's answers say of cache nodes.  Pure.

By the published HTTP API, `GET /v1/health/service/:service`: a list of {Node, Service, Checks};
`GET /v1/catalog/service/:service`: a list of flat records without checks, where only the drain tag
and a weight of 0 say that a node is not to be used.
An instance's state is the worst of its checks, those of its machine included; maintenance mode
shows as a critical check of a reserved name, and is a plan and no failure.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from violetroute.transport import Address, parse_address

from .table import ConsulTable

NODE_MAINTENANCE, SERVICE_MAINTENANCE = "_node_maintenance", "_service_maintenance:"
MAX_INSTANCES = 20_000  # instances of an answer


class Health(Enum):
    """State of an instance: its worst check, or DRAINS for a planned removal."""

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
    started_at: float = 0.0  # Unix ms; 0 when it does not say


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


class _Row(msgspec.Struct):
    """The catalogue's form of an element."""

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
_row = msgspec.json.Decoder(_Row)


class HealthReader:
    """Reads answers; what has not changed since the last one is not read again.

    Of two thousand instances one changes at a time: each is known by its bytes.
    """

    def __init__(self, table: ConsulTable) -> None:
        self._table = table
        self._known: dict[bytes, tuple[Instance, str] | None] = {}
        self.left_out = 0  # of the last answer, since they make no sense

    def read(self, body: bytes | bytearray) -> dict[str, Instance]:
        """The instances by name.  ValueError when it is no such answer."""
        raw = _elements.decode(body)
        if len(raw) > MAX_INSTANCES:
            raise ValueError(f"more than {MAX_INSTANCES} instances")
        known: dict[bytes, tuple[Instance, str] | None] = {}
        found: dict[str, Instance] = {}
        self.left_out = 0
        for each in raw:
            data = bytes(each)
            read = known[data] = self._known[data] if data in self._known else self._read(data)
            if read is None:
                self.left_out += 1
                continue
            instance, machine = read
            if instance.name in found:  # an id is unique at its agent alone
                instance = replace(instance, name=f"{instance.name}@{machine}")
            found[instance.name] = instance
        self._known = known
        return found

    def _read(self, data: bytes) -> tuple[Instance, str] | None:
        """None for an entry that makes no sense: the others hold."""
        try:
            element = (
                _element.decode(data)
                if self._table.endpoint == "health"
                else _row.decode(data).element()
            )
            return self._instance(element), element.Node.Node
        except (ValueError, OverflowError):
            return None

    def _instance(self, element: _Element) -> Instance:
        service, table = element.Service, self._table
        host = service.Address or element.Node.Address
        if not 0 < service.Port < 65536:
            raise ValueError("no port")
        address = parse_address(f"[{host}]:{service.Port}")
        meta = service.Meta or {}
        health = _health(element, table.drain_tag)
        weights = service.Weights or _Weights()
        weight = weights.Warning if health is Health.WARNING else weights.Passing
        started = float(meta.get(table.started_meta) or 0.0)
        cell = int(meta.get(table.cell_meta) or 0)
        if not (0.0 <= weight < math.inf and 0.0 <= started < math.inf):
            raise ValueError("weight or start is no number")
        if weight == 0.0 and health is not Health.DRAINS:
            health = Health.CRITICAL  # as Consul's own DNS leaves it out
        # An id that was not given is the service's name, alike on all machines.
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
    said = {check.Status for check in checks}
    if said - {"passing", "warning"}:
        return Health.CRITICAL  # also a state that is not known here
    return Health.WARNING if "warning" in said else Health.PASSING
