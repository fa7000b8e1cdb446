"""Makes the proxy's side from the operator's table, and lets it tell the proxy's parts."""

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
    """Hands what comes to the proxy's parts, and counts it."""

    __slots__ = ("_configuration", "_hooks")

    def __init__(
        self, hooks: EventHooks, configuration: PublishedConfiguration | None = None
    ) -> None:
        super().__init__()
        self._hooks = hooks
        self._configuration = configuration

    def purge(self, key: str) -> None:
        """The first fault of a part is raised once all parts have been told."""
        super().purge(key)
        _tell_all(self._hooks.on_purge, key)

    def invalidate_all(self, reason: str) -> None:
        """As `purge`."""
        super().invalidate_all(reason)
        _tell_all(self._hooks.on_purge_all, reason)

    def configure(self, change: ConfigurationChange) -> tuple[str, ...]:
        """Taken on by the same checks as the operator's file."""
        reasons = super().configure(change)
        return reasons if self._configuration is None else self._configuration.apply_change(change)


def _tell_all(parts: Sequence[Callable[[str], None]], text: str) -> None:
    fault: Exception | None = None
    for part in parts:
        try:
            part(text)
        except Exception as error:  # of one part: the others are told
            fault = fault or error
    if fault is not None:
        raise fault


@dataclass(frozen=True, slots=True)
class ProxyDistribution:
    """The service, and what it has published of the operator's file."""

    service: DistributionService
    configuration: PublishedConfiguration


def make_distribution(
    table: DistributionTable, name: str, net: Network, hooks: EventHooks, apply_tables: ApplyTables
) -> ProxyDistribution:
    """OSError or ValueError where the key file cannot be read."""
    keys = read_keys(table.key_file)
    configuration = PublishedConfiguration(apply_tables)
    receiver = HooksReceiver(hooks, configuration)
    service = DistributionService(table, keys, name, table.region, net, receiver)
    return ProxyDistribution(service, configuration)


def introspection_listener(
    table: DistributionTable, service: DistributionService
) -> IntrospectionSocket | None:
    """Where it can be looked in at from this machine, if the table names a place."""

    def answer(what: str) -> ServiceStatus:
        if what != "distribution":
            raise KeyError(what)
        return service.status()

    return IntrospectionSocket(table.socket, answer) if table.socket else None
