"""Makes the part from the operator's table, and gives it what it hears of."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol, TypeVar

from violetroute import logs
from violetroute.hooks import EventHooks
from violetroute.transport import Network
from violetroute.transport.introspection_socket import IntrospectionSocket

from .introspection import view
from .service import Host, Sharing
from .table import SharingTable, read_keys

T = TypeVar("T")


class ProxyHost(Host, Protocol):
    """The proxy."""

    hooks: EventHooks


def make_sharing(
    table: SharingTable, name: str, zone: str, max_backoff: float, net: Network, proxy: ProxyHost
) -> Sharing:
    """OSError where it cannot listen, OSError or ValueError where the key can't be read."""
    sharing = Sharing(table, read_keys(table.key_file), name, zone, max_backoff, net, proxy)
    attach(sharing, proxy)
    return sharing


def attach(sharing: Sharing, proxy: ProxyHost) -> None:
    """It hears of requests, attempts and lists from now on."""
    hooks = proxy.hooks
    if sharing.rounds.node_health is not None:
        hooks.on_attempt_ended.append(safely(sharing.record_attempt))
        hooks.on_list_change.append(safely(sharing.update_nodes))
        sharing.update_nodes(proxy.places.members())
    hooks.on_accepted.append(safely(sharing.record_request))
    hooks.admission_check = safely(sharing.admits)


def safely(hook: Callable[..., T]) -> Callable[..., T | None]:
    """A fault of ours costs no request: it is told, and the request goes its way."""

    def call(*args: object) -> T | None:
        try:
            return hook(*args)
        except Exception as error:
            logs.event("daemon.fault", what="in sharing", error=error)
            return None

    return call


def introspection_listener(table: SharingTable, sharing: Sharing) -> IntrospectionSocket | None:
    return IntrospectionSocket(table.socket, partial(view, sharing)) if table.socket else None
