"""What a proxy tells clients of the cluster that it appears to be.  Pure.

Values are of plain Python (int, bytes, list, dict); `encode.py` frames them for the client's
protocol.  Forms by the published commands CLUSTER SLOTS, SHARDS, NODES and INFO.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from violetroute.transport import Address, parse_address

from .slots import SLOTS, owners, parse_ranges
from .table import ClusterTable

BUS = 10_000  # what the dialect adds to a port for the cluster's own bus, which nobody speaks here


@dataclass(frozen=True, slots=True)
class Part:
    """One of those that appear as nodes.  An empty host is the one that the client asked."""

    id: str  # 40 hexadecimal digits, the same for a name everywhere
    address: Address
    ranges: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Topology:
    """All of them, and which one this proxy is."""

    parts: tuple[Part, ...]
    me: int
    owner: list[int]  # of each slot, a place in `parts`
    foreign_moved: bool

    def moved(self, slot: int) -> bytes | None:
        """The redirection for a key of this slot; None where it is served here."""
        part = self.parts[self.owner[slot]]
        if not self.foreign_moved or self.owner[slot] == self.me:
            return None
        return b"-MOVED %d %b:%d\r\n" % (slot, part.address.host.encode(), part.address.port)

    def slots(self) -> list[object]:
        """CLUSTER SLOTS."""
        rows = sorted((first, last, part) for part in self.parts for first, last in part.ranges)
        return [
            [first, last, [part.address.host.encode(), part.address.port, part.id.encode(), []]]
            for first, last, part in rows
        ]

    def shards(self) -> list[object]:
        """CLUSTER SHARDS."""
        return [
            {
                b"slots": [slot for both in part.ranges for slot in both],
                b"nodes": [
                    {
                        b"id": part.id.encode(),
                        b"port": part.address.port,
                        b"ip": part.address.host.encode(),
                        b"endpoint": part.address.host.encode(),
                        b"role": b"master",
                        b"replication-offset": 0,
                        b"health": b"online",
                    }
                ],
            }
            for part in self.parts
        ]

    def nodes(self) -> bytes:
        """CLUSTER NODES."""
        lines = []
        for place, part in enumerate(self.parts):
            flags = "myself,master" if place == self.me else "master"
            ranges = " ".join(
                str(first) if first == last else f"{first}-{last}" for first, last in part.ranges
            )
            lines.append(
                f"{part.id} {part.address.host}:{part.address.port}"
                f"@{part.address.port + BUS} {flags} - 0 0 {place + 1} connected "
                f"{ranges}\n"
            )
        return "".join(lines).encode()

    def info(self) -> bytes:
        """CLUSTER INFO."""
        return (
            f"cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:{SLOTS}\r\n"
            f"cluster_slots_ok:{SLOTS}\r\ncluster_slots_pfail:0\r\ncluster_slots_fail:0\r\n"
            f"cluster_known_nodes:{len(self.parts)}\r\ncluster_size:{len(self.parts)}\r\n"
            f"cluster_current_epoch:{len(self.parts)}\r\n"
            f"cluster_my_epoch:{self.me + 1}\r\n"
        ).encode()


def topology(table: ClusterTable, name: str, listen: Address) -> Topology | None:
    """None where the dialect is off.  ValueError names the key of `[cluster]`."""
    if table.appear == "off":
        return None
    if table.appear == "one":
        address = listen
        if table.announce:
            address = _address("announce", table.announce)
        elif listen.host in ("0.0.0.0", "::"):
            address = Address("", listen.port)  # by the standard: the host that was asked
        whole = ((0, SLOTS - 1),)
        return Topology((Part(_id(name), address, whole),), 0, [0] * SLOTS, False)
    names = [proxy.name for proxy in table.proxies]
    if len(set(names)) != len(names):
        raise ValueError("proxies: a name stands there twice")
    if name not in names:
        raise ValueError(f"proxies: this proxy, {name!r}, is not among them")
    try:
        parts = tuple(
            Part(
                _id(proxy.name),
                _address(f"{proxy.name}: address", proxy.address),
                parse_ranges(proxy.slots),
            )
            for proxy in table.proxies
        )
        owner = owners((place, part.ranges) for place, part in enumerate(parts))
    except ValueError as error:
        raise ValueError(f"proxies: {error}") from None
    return Topology(parts, names.index(name), owner, table.foreign == "moved")


def _address(key: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None


def _id(name: str) -> str:
    return hashlib.sha1(name.encode(), usedforsecurity=False).hexdigest()
