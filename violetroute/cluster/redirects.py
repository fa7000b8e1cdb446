"""Redirections from cache nodes: what they say, and what they teach.  Pure.

By the Redis Cluster specification, "MOVED Redirection" and "ASK redirection". A redirected command
has not run. MOVED teaches which node owns the slot; ASK is for one command and teaches nothing.
Whether to follow is the decision module's to say: attempts and time left, drains, cold starts,
windows.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from violetroute.transport import Address, parse_address

from .slots import SLOTS, key_slot

MOVED, ASK = b"MOVED", b"ASK"
# Words of a node that did not run the command, and names no other one.
NOT_RUN = frozenset({b"TRYAGAIN", b"CLUSTERDOWN", b"LOADING", b"READONLY", b"MASTERDOWN"})
ASKING = b"*1\r\n$6\r\nASKING\r\n"


@dataclass(frozen=True, slots=True)
class Redirect:
    """`address` is None where it makes no sense; `slot` is -1 then too."""

    is_ask: bool
    slot: int
    address: Address | None


def parse_redirect(text: bytes, asked: Address) -> Redirect | None:
    """An error line without its dash; None if it is no redirection.  `asked`: who said it.

    An empty host is that of the node that was asked, by the specification.
    """
    word, *rest = text.split(b" ")
    if word not in (MOVED, ASK):
        return None
    nowhere = Redirect(word == ASK, -1, None)
    if len(rest) < 2 or not rest[0].isdigit() or len(rest[0]) > 5 or int(rest[0]) >= SLOTS:
        return nowhere
    host, colon, port = rest[1].rpartition(b":")
    if not colon or len(host) > 64:
        return nowhere
    try:
        name = host.decode("ascii").strip("[]") or asked.host
        address = parse_address(f"[{name}]:{port.decode('ascii')}")
    except ValueError:
        return nowhere
    return Redirect(word == ASK, int(rest[0]), address) if address.port else nowhere


class SlotMap:
    """What redirections have taught: at most one node a slot."""

    def __init__(self) -> None:
        self._owner: dict[int, Address] = {}

    def learn(self, redirect: Redirect) -> None:
        """Take in a redirection; ASK and those that make no sense teach nothing."""
        if redirect.address is not None and not redirect.is_ask:
            self._owner[redirect.slot] = redirect.address

    def served(self, key: bytes, address: Address | None) -> None:
        """A node has served this key, so it owns the slot; what a redirection said is newer."""
        if address is not None:
            self._owner.setdefault(key_slot(key), address)

    def owner(self, key: bytes, at: Callable[[Address], int | None]) -> int | None:
        """The node that owns the key's slot; `at` tells which listed node stands at an address."""
        if not self._owner:
            return None
        address = self._owner.get(key_slot(key))
        return None if address is None else at(address)
