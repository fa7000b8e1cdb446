"""Creates the gossip service from the operator's settings and connects it to the proxy's hooks."""

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
    """What the gossip service needs of the proxy, with its hooks."""

    hooks: EventHooks


def make_sharing(
    table: SharingTable, name: str, zone: str, max_backoff: float, net: Network, proxy: ProxyHost
) -> Sharing:
    """Create and attach the service.

    OSError if it cannot listen; OSError or ValueError if the key file is unreadable or invalid.
    """
    sharing = Sharing(table, read_keys(table.key_file), name, zone, max_backoff, net, proxy)
    attach(sharing, proxy)
    return sharing


def attach(sharing: Sharing, proxy: ProxyHost) -> None:
    """Register the service with the hooks for requests, attempts and node lists."""
    hooks = proxy.hooks
    if sharing.rounds.node_health is not None:
        hooks.on_attempt_ended.append(safely(sharing.record_attempt))
        hooks.on_list_change.append(safely(sharing.update_nodes))
        sharing.update_nodes(proxy.places.members())
    hooks.on_accepted.append(safely(sharing.record_request))
    hooks.admission_check = safely(sharing.admits)


def safely(hook: Callable[..., T]) -> Callable[..., T | None]:
    """Wrap a hook: an exception in the service is logged and does not fail the request."""

    def call(*args: object) -> T | None:
        try:
            return hook(*args)
        except Exception as error:
            logs.event("daemon.fault", what="in sharing", error=error)
            return None

    return call


def introspection_listener(table: SharingTable, sharing: Sharing) -> IntrospectionSocket | None:
    """The introspection socket of the service, not yet open; None if the table names no path."""
    return IntrospectionSocket(table.socket, partial(view, sharing)) if table.socket else None
