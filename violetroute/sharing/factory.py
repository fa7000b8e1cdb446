"""Makes the part from the operator's table, and gives it what it hears of."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol, TypeVar

from violetroute import logs
from violetroute.hooks import EventHooks
from violetroute.transport import Network
from violetroute.transport.introspection_socket import IntrospectionSocket

from .introspection import look
from .service import Host, Sharing
from .table import SharingTable, read_keys

T = TypeVar("T")


class Heard(Host, Protocol):
    """The proxy."""

    hooks: EventHooks


def make_sharing(
    table: SharingTable, name: str, zone: str, max_backoff: float, net: Network, proxy: Heard
) -> Sharing:
    """OSError where it cannot listen, OSError or ValueError where the key can't be read."""
    sharing = Sharing(table, read_keys(table.key_file), name, zone, max_backoff, net, proxy)
    attach(sharing, proxy)
    return sharing


def attach(sharing: Sharing, proxy: Heard) -> None:
    """It hears of requests, attempts and lists from now on."""
    hooks = proxy.hooks
    if sharing.rounds.node_health is not None:
        hooks.on_attempt_ended.append(safely(sharing.met))
        hooks.on_list_change.append(safely(sharing.listed))
        sharing.listed(proxy.places.members())
    hooks.on_accepted.append(safely(sharing.asked))
    hooks.admission_check = safely(sharing.admits)


def safely(told: Callable[..., T]) -> Callable[..., T | None]:
    """A fault of ours costs no request: it is told, and the request goes its way."""

    def call(*args: object) -> T | None:
        try:
            return told(*args)
        except Exception as error:
            logs.event("daemon.fault", what="in sharing", error=error)
            return None

    return call


def door_of(table: SharingTable, sharing: Sharing) -> IntrospectionSocket | None:
    return IntrospectionSocket(table.socket, partial(look, sharing)) if table.socket else None
