"""The cluster topology that a proxy reports to clients.  Pure.

The methods return plain values (int, bytes, list, dict), which `encode.py` encodes for the client's
protocol.  Their forms are those of CLUSTER SLOTS, SHARDS, NODES and INFO.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from violetroute.transport import Address, parse_address

from .slots import SLOTS, owners, parse_ranges
from .table import ClusterTable

BUS_PORT_OFFSET = 10_000  # port of the cluster bus, as in Redis; no proxy listens there


@dataclass(frozen=True, slots=True)
class ClusterMember:
    """A proxy that appears as a cluster node.  An empty host is the one the client connected to."""

    id: str  # 40 hexadecimal digits, derived from the name
    address: Address
    ranges: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Topology:
    """All members of the cluster, and the index of this proxy."""

    members: tuple[ClusterMember, ...]
    own_index: int
    slot_owners: list[int]  # by slot: the owner's index in `members`
    foreign_moved: bool

    def moved_reply(self, slot: int) -> bytes | None:
        """The MOVED line for a key of this slot; None if it is served here."""
        member = self.members[self.slot_owners[slot]]
        if not self.foreign_moved or self.slot_owners[slot] == self.own_index:
            return None
        return b"-MOVED %d %b:%d\r\n" % (slot, member.address.host.encode(), member.address.port)

    def slots(self) -> list[object]:
        """The answer to CLUSTER SLOTS."""
        rows = sorted(
            (first, last, member) for member in self.members for first, last in member.ranges
        )
        return [
            [
                first,
                last,
                [member.address.host.encode(), member.address.port, member.id.encode(), []],
            ]
            for first, last, member in rows
        ]

    def shards(self) -> list[object]:
        """The answer to CLUSTER SHARDS."""
        return [
            {
                b"slots": [slot for both in member.ranges for slot in both],
                b"nodes": [
                    {
                        b"id": member.id.encode(),
                        b"port": member.address.port,
                        b"ip": member.address.host.encode(),
                        b"endpoint": member.address.host.encode(),
                        b"role": b"master",
                        b"replication-offset": 0,
                        b"health": b"online",
                    }
                ],
            }
            for member in self.members
        ]

    def nodes(self) -> bytes:
        """The answer to CLUSTER NODES."""
        lines = []
        for index, member in enumerate(self.members):
            flags = "myself,master" if index == self.own_index else "master"
            ranges = " ".join(
                str(first) if first == last else f"{first}-{last}" for first, last in member.ranges
            )
            lines.append(
                f"{member.id} {member.address.host}:{member.address.port}"
                f"@{member.address.port + BUS_PORT_OFFSET} {flags} - 0 0 {index + 1} connected "
                f"{ranges}\n"
            )
        return "".join(lines).encode()

    def info(self) -> bytes:
        """The answer to CLUSTER INFO."""
        return (
            f"cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:{SLOTS}\r\n"
            f"cluster_slots_ok:{SLOTS}\r\ncluster_slots_pfail:0\r\ncluster_slots_fail:0\r\n"
            f"cluster_known_nodes:{len(self.members)}\r\ncluster_size:{len(self.members)}\r\n"
            f"cluster_current_epoch:{len(self.members)}\r\n"
            f"cluster_my_epoch:{self.own_index + 1}\r\n"
        ).encode()


def topology(table: ClusterTable, name: str, listen: Address) -> Topology | None:
    """The topology that `[cluster]` configures, None if it is off.

    `name`: PROXY_NAME of this proxy.  ValueError names the invalid key of `[cluster]`.
    """
    if table.appear == "off":
        return None
    if table.appear == "one":
        address = listen
        if table.announce:
            address = _address("announce", table.announce)
        elif listen.host in ("0.0.0.0", "::"):
            # An empty host means the one that the client connected to.
            address = Address("", listen.port)
        whole = ((0, SLOTS - 1),)
        return Topology((ClusterMember(_id(name), address, whole),), 0, [0] * SLOTS, False)
    names = [proxy.name for proxy in table.proxies]
    if len(set(names)) != len(names):
        raise ValueError("proxies: duplicate name")
    if name not in names:
        raise ValueError(f"proxies: this proxy, {name!r}, is not among them")
    try:
        members = tuple(
            ClusterMember(
                _id(proxy.name),
                _address(f"{proxy.name}: address", proxy.address),
                parse_ranges(proxy.slots),
            )
            for proxy in table.proxies
        )
        owner = owners((index, member.ranges) for index, member in enumerate(members))
    except ValueError as error:
        raise ValueError(f"proxies: {error}") from None
    return Topology(members, names.index(name), owner, table.foreign == "moved")


def _address(key: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None


def _id(name: str) -> str:
    return hashlib.sha1(name.encode(), usedforsecurity=False).hexdigest()
