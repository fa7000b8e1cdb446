"""Maps each address to the one node that is reached there.  Pure.

When two ids share an address, the one that started later owns it and the other is treated as gone,
although the list may report that only later or never.  Otherwise a new, cold node would be sent
the full load of its predecessor.  A draining node keeps its address: exploration found that a stale
entry for the same address stayed in use while the node there drained.  A start time that was
inferred from when a node was first seen doesn't override a drain, because a stale entry that is
registered again looks like a new start.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from snowstall import CacheState, Member
from violetroute.transport import Address


@dataclass(slots=True)
class Change:
    """The effects of applying one entry."""

    members: list[Member] = field(default_factory=list)  # updates to report to the balancer
    removed: list[int] = field(default_factory=list)  # ids to stop sending to, applied first
    placed: bool = False  # whether the entry's node is ready and owns its address


class NodeAddresses:
    """The listed nodes that are not gone, by address and by id."""

    def __init__(self) -> None:
        # The node at each address, and whether its start time is inferred.
        self._by_address: dict[Address, tuple[Member, bool]] = {}
        self._addresses: dict[int, Address] = {}

    def apply(self, member: Member, address: Address | None, inferred: bool = False) -> Change:
        """Apply one entry of a list.  Entries have to be applied in the order of the list."""
        change = Change([member])
        if member.state is CacheState.GONE or address is None:
            self._drop(member.id, change)
            return change
        other, other_inferred = self._by_address.get(address, (member, False))
        if other.id != member.id:
            if not _takes_over(member, other, inferred or other_inferred):
                self._drop(member.id, change)
                change.members = [member._replace(state=CacheState.GONE)]
                return change
            self._drop(other.id, change)
            change.members.append(member._replace(id=other.id, state=CacheState.GONE))
        if self._addresses.get(member.id) != address or member.state is CacheState.DRAINING:
            self._drop(member.id, change)
        self._by_address[address], self._addresses[member.id] = (member, inferred), address
        change.placed = member.state is CacheState.READY
        return change

    def update_in_place(self, member: Member, address: Address, inferred: bool = False) -> bool:
        """Apply an entry of a node that has this address already, which changes no other node.

        False: it is not such an entry, and `apply` has to be called.  `apply` gives the same result
        but takes longer, and thousands of entries are applied in one turn of the event loop.
        """
        other, _ = self._by_address.get(address, (None, False))
        if other is None or other.id != member.id or member.state is CacheState.GONE:
            return False
        self._by_address[address] = (member, inferred)
        return True

    def __len__(self) -> int:
        """The number of nodes that have an address."""
        return len(self._addresses)

    def members(self) -> list[Member]:
        """All nodes that have an address, as of their last entry."""
        return [member for member, _ in self._by_address.values()]

    def has_address(self, node: int) -> bool:
        """Whether the node has an address."""
        return node in self._addresses

    def ready_node_at(self, address: Address) -> int | None:
        """Id of the ready node at this address, or None."""
        member = self._by_address.get(address, (None, False))[0]
        return member.id if member is not None and member.state is CacheState.READY else None

    def describe(self, node: int) -> str:
        """The node's HOST:PORT for logs, or "gone" without an address."""
        address = self._addresses.get(node)
        return f"{address.host}:{address.port}" if address is not None else "gone"

    def remove(self, nodes: Iterable[int]) -> None:
        """Drop nodes that are no longer listed."""
        addresses, by_address = self._addresses, self._by_address
        for node in nodes:
            address = addresses.pop(node, None)
            if address is not None:
                del by_address[address]

    def _drop(self, node: int, change: Change) -> None:
        self.remove((node,))
        change.removed.append(node)


def _takes_over(member: Member, other: Member, inferred: bool) -> bool:
    """Whether `member` takes the address over from `other`: it does unless it started earlier.

    If the start times are equal or inferred and one of the two drains, that one has the address.
    """
    drains = member.state is CacheState.DRAINING
    if (inferred or member.started_at == other.started_at) and drains is not (
        other.state is CacheState.DRAINING
    ):
        return drains
    return member.started_at >= other.started_at
