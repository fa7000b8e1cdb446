"""Builds the proxy's distribution service from the operator's table and connects its hooks."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from violetroute.hooks import EventHooks
from violetroute.sharing.table import read_keys
from violetroute.transport import Network
from violetroute.transport.introspection_socket import IntrospectionSocket

from .configuration import ApplyTables, PublishedConfiguration
from .configuration_change import ConfigurationChange
from .service import CountingReceiver, DistributionService
from .status import ServiceStatus
from .table import DistributionTable


class HooksReceiver(CountingReceiver):
    """Forwards purges and configuration changes to the proxy's hooks, and counts them."""

    __slots__ = ("_configuration", "_hooks")

    def __init__(
        self, hooks: EventHooks, configuration: PublishedConfiguration | None = None
    ) -> None:
        super().__init__()
        self._hooks = hooks
        self._configuration = configuration

    def purge(self, key: str) -> None:
        """Calls all purge hooks, then raises the first error of a hook if there is one."""
        super().purge(key)
        _call_all(self._hooks.on_purge, key)

    def invalidate_all(self, reason: str) -> None:
        """Calls all invalidation hooks; errors as for `purge`."""
        super().invalidate_all(reason)
        _call_all(self._hooks.on_purge_all, reason)

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Applies a table after the checks of the operator's file; returns reasons for refusal."""
        reasons = super().configure(change)
        return reasons if self._configuration is None else self._configuration.apply_change(change)


def _call_all(hooks: Sequence[Callable[[str], None]], text: str) -> None:
    first_error: Exception | None = None
    for hook in hooks:
        try:
            hook(text)
        except Exception as error:  # the other hooks still run
            first_error = first_error or error
    if first_error is not None:
        raise first_error


@dataclass(frozen=True, slots=True)
class ProxyDistribution:
    """The service, and the configuration published through the log."""

    service: DistributionService
    configuration: PublishedConfiguration


def make_distribution(
    table: DistributionTable, name: str, net: Network, hooks: EventHooks, apply_tables: ApplyTables
) -> ProxyDistribution:
    """Builds the service.  Raises OSError or ValueError if the key file cannot be read."""
    keys = read_keys(table.key_file)
    configuration = PublishedConfiguration(apply_tables)
    receiver = HooksReceiver(hooks, configuration)
    service = DistributionService(table, keys, name, table.region, net, receiver)
    return ProxyDistribution(service, configuration)


def introspection_listener(
    table: DistributionTable, service: DistributionService
) -> IntrospectionSocket | None:
    """Returns the local introspection socket, if the table configures one."""

    def view(what: str) -> ServiceStatus:
        if what != "distribution":
            raise KeyError(what)
        return service.status()

    return IntrospectionSocket(table.socket, view) if table.socket else None
