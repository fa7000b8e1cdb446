"""Redirections from cache nodes: parsing them, and the slot owners learned from them.  Pure.

See "MOVED Redirection" and "ASK redirection" in the Redis Cluster specification.  A redirected
command has not run.  MOVED gives the owner of the slot; ASK holds for one command only.  The
balancer decides whether to follow a redirection, by attempts and time left, drains, cold starts and
windows.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from violetroute.transport import Address, parse_address

from .slots import SLOTS, key_slot

MOVED, ASK = b"MOVED", b"ASK"
# Error words of a node that did not run the command and names no other node.
NOT_RUN = frozenset({b"TRYAGAIN", b"CLUSTERDOWN", b"LOADING", b"READONLY", b"MASTERDOWN"})
ASKING = b"*1\r\n$6\r\nASKING\r\n"


@dataclass(frozen=True, slots=True)
class Redirect:
    """A MOVED or ASK reply.  If it is invalid, `address` is None and `slot` is -1."""

    is_ask: bool
    slot: int
    address: Address | None


def parse_redirect(text: bytes, sender: Address) -> Redirect | None:
    """Parse an error line without its dash; None if it is no redirection.

    `sender`: the node that sent it.  By the specification, an empty host means the sender's.
    """
    word, *rest = text.split(b" ")
    if word not in (MOVED, ASK):
        return None
    invalid = Redirect(word == ASK, -1, None)
    if len(rest) < 2 or not rest[0].isdigit() or len(rest[0]) > 5 or int(rest[0]) >= SLOTS:
        return invalid
    host, colon, port = rest[1].rpartition(b":")
    if not colon or len(host) > 64:
        return invalid
    try:
        name = host.decode("ascii").strip("[]") or sender.host
        address = parse_address(f"[{name}]:{port.decode('ascii')}")
    except ValueError:
        return invalid
    return Redirect(word == ASK, int(rest[0]), address) if address.port else invalid


class SlotMap:
    """The slot owners learned from redirections and replies: at most one node per slot."""

    def __init__(self) -> None:
        self._owner: dict[int, Address] = {}

    def learn(self, redirect: Redirect) -> None:
        """Record the owner that a MOVED names; ASK and invalid redirections are ignored."""
        if redirect.address is not None and not redirect.is_ask:
            self._owner[redirect.slot] = redirect.address

    def served(self, key: bytes, address: Address | None) -> None:
        """Record that a node served this key, unless a redirection already named an owner."""
        if address is not None:
            self._owner.setdefault(key_slot(key), address)

    def owner(self, key: bytes, at: Callable[[Address], int | None]) -> int | None:
        """The id of the node that owns the key's slot, None if unknown or not listed.

        `at` returns the id of the listed node with an address.
        """
        if not self._owner:
            return None
        address = self._owner.get(key_slot(key))
        return None if address is None else at(address)
