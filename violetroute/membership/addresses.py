"""Which node stands at which address.  Pure.

An address has one node: of two ids the one that started later is there, and the other is gone
though the list may say so only later, or never.  Else a new and cold node would be given all that
its predecessor was due.  A node that drains keeps its address: found by exploration, a stale entry
for the same address went on being used while the node there drained.  A start that is inferred
from when a node was first seen settles nothing against a drain: a stale entry that is registered
anew looks like a start.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from snowstall import CacheState, Member
from violetroute.transport import Address


@dataclass(slots=True)
class Change:
    """What follows from one entry."""

    members: list[Member] = field(default_factory=list)  # to be told to the module
    removed: list[int] = field(default_factory=list)  # nothing new goes there, told first
    placed: bool = False  # the entry's node is reached at its address


class NodeAddresses:
    """The nodes that are listed and not gone."""

    def __init__(self) -> None:
        self._at: dict[Address, tuple[Member, bool]] = {}  # and whether its start is inferred
        self._where: dict[int, Address] = {}

    def apply(self, member: Member, address: Address | None, inferred: bool = False) -> Change:
        """Apply one entry of a list.  Entries come in the order of the list."""
        change = Change([member])
        if member.state is CacheState.GONE or address is None:
            self._drop(member.id, change)
            return change
        other, guessed = self._at.get(address, (member, False))
        if other.id != member.id:
            if not _follows(member, other, inferred or guessed):
                self._drop(member.id, change)
                change.members = [member._replace(state=CacheState.GONE)]
                return change
            self._drop(other.id, change)
            change.members.append(member._replace(id=other.id, state=CacheState.GONE))
        if self._where.get(member.id) != address or member.state is CacheState.DRAINING:
            self._drop(member.id, change)
        self._at[address], self._where[member.id] = (member, inferred), address
        change.placed = member.state is CacheState.READY
        return change

    def members(self) -> list[Member]:
        """Those that have an address, as they were told last."""
        return [member for member, _ in self._at.values()]

    def has_address(self, node: int) -> bool:
        """Whether the node has an address."""
        return node in self._where

    def ready_node_at(self, address: Address) -> int | None:
        """Id of the ready node at this address, or None."""
        member = self._at.get(address, (None, False))[0]
        return member.id if member is not None and member.state is CacheState.READY else None

    def describe(self, node: int) -> str:
        """Where it is reached, for the log; "gone" when it is nowhere."""
        where = self._where.get(node)
        return f"{where.host}:{where.port}" if where is not None else "gone"

    def retain(self, listed: Iterable[int]) -> list[int]:
        """Drop every node that a whole list does not name; return the dropped ids."""
        change, kept = Change(), set(listed)
        for node in [node for node in self._where if node not in kept]:
            self._drop(node, change)
        return change.removed

    def _drop(self, node: int, change: Change) -> None:
        address = self._where.pop(node, None)
        if address is not None:
            del self._at[address]
        change.removed.append(node)


def _follows(member: Member, other: Member, inferred: bool) -> bool:
    """Whether it is there: the later one; where that is not known, the one that drains."""
    drains = member.state is CacheState.DRAINING
    if (inferred or member.started_at == other.started_at) and drains is not (
        other.state is CacheState.DRAINING
    ):
        return drains
    return member.started_at >= other.started_at
