"""Makes the part from the operator's table, and gives it what it hears of."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from violetroute.parts import Parts
from violetroute.transport import Network
from violetroute.transport.local import LocalDoor

from .look import look
from .table import SharingTable, read_keys
from .talk import Host, Sharing


class Heard(Host, Protocol):
    """The proxy."""

    parts: Parts

def make_sharing(table: SharingTable, name: str, zone: str, max_backoff: float, net: Network,
                 proxy: Heard) -> Sharing:
    """OSError where it cannot listen, OSError or ValueError where the key can't be read."""
    sharing = Sharing(table, read_keys(table.key_file), name, zone, max_backoff, net, proxy)
    attach(sharing, proxy)
    return sharing


def attach(sharing: Sharing, proxy: Heard) -> None:
    """It hears of requests, attempts and lists from now on."""
    parts = proxy.parts
    if sharing.hearsay is not None:
        parts.ended.append(sharing.met)
        parts.listed.append(sharing.listed)
        sharing.listed(proxy.places.members())
    parts.taken.append(sharing.asked)
    parts.admits = sharing.admits


def door_of(table: SharingTable, sharing: Sharing) -> LocalDoor | None:
    return LocalDoor(table.socket, partial(look, sharing)) if table.socket else None
