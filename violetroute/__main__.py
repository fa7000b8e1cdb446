"""The daemon's entry point: start-up, signals, reload, drain and exit."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from . import garbage_collection, logs
from .clients import Listener
from .cluster import Dialect
from .config import Config, ConfigError, LogTable, effective_operator, load, restart_needed
from .logs import Logs
from .proxy import Proxy
from .transport.lines import LineWriter
from .transport.loop_lag import Turns, TurnSelector
from .transport.sockets import SocketNetwork, monotonic, wall

if TYPE_CHECKING:
    from .distribution.configuration import PublishedConfiguration, PublishedTables
    from .distribution.service import DistributionService
    from .fleet.runner import Fleet
    from .ledger.service import Ledger
    from .sharing.service import Sharing
    from .transport.introspection_socket import IntrospectionSocket

DRAIN_SLACK = 0.05  # s that a drain lasts beyond the longest deadline, to send the last answers


def log_loop_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an unhandled exception; the event loop's exception handler.  The daemon goes on."""
    logs.event("daemon.fault", what=str(context.get("message")), error=context.get("exception"))


class Daemon:
    """The running daemon: its subsystems and their current configuration."""

    def __init__(self, config: Config, net: SocketNetwork, log_handler: Logs) -> None:
        self.config, self._log_handler = config, log_handler
        self.proxy = Proxy(config, net)
        self.listener = Listener(
            self.proxy,
            config.client_sockets,
            config.client_memory_bytes,
            net,
            config.limits,
            _dialect(config),
        )
        self.ledger = _ledger(config, net)
        if self.ledger is not None:
            self.proxy.hooks.on_served.append(self.ledger.served)
        self.fleet = _fleet(config, net)
        self.sharing: Sharing | None = None
        self.distribution: DistributionService | None = None
        self.published: PublishedConfiguration | None = None
        self.draining = False

    def drain_time(self) -> float:
        """Seconds that a drain may take until all open requests are answered.

        Open requests keep the deadline they were accepted with.  A drain limited by the deadlines
        of one configuration would cut off requests accepted under another with longer ones.
        """
        return max(self.config.longest_deadline, self.proxy.deadlines.time_left) + DRAIN_SLACK

    def reload(self) -> None:
        """Handle SIGHUP: apply the new configuration if it is valid, else keep the old one."""
        if self.draining:
            return
        reason = self.apply_configuration() if self.published is None else self.published.reload()
        if reason:
            logs.event("config.unusable", reason=reason)

    def apply_configuration(self, tables: PublishedTables | None = None) -> str:
        """Read the files again, check them with the published tables, and apply them.

        Returns "" on success, else the reason in one line; then nothing has changed.
        """
        if self.draining:
            return "the proxy drains"
        merged, origin = None, "file"
        if tables is not None and tables.position:
            merged, origin = tables.merged, f"position {tables.position}"
        try:
            config = load(operator=self.config.operator_path, merge_tables=merged, read_known=False)
        except ConfigError as error:
            return str(error)
        self._replace(config, origin)
        return ""

    def _replace(self, config: Config, origin: str) -> None:
        before = self.config
        fixed = [
            name
            for name in ("name", "listen", "sockets", "memory_mb")
            if getattr(config, name) != getattr(before, name)
        ]
        fixed += restart_needed(before.operator, config.operator)
        if fixed:
            logs.event("config.restart_needed", keys=",".join(fixed))
        config = replace(config, operator=effective_operator(before.operator, config.operator))
        self.config = config
        self._log_handler.configure(config.operator.log)
        self.listener.limits = config.limits
        if config.topology != before.topology:
            self.listener.dialect = _dialect(config)
        self.proxy.reload(config)
        if self.fleet is not None and "fleet" not in fixed:
            self.fleet.configure(config.operator.fleet.works)
        if self.sharing is not None and "sharing" not in fixed:
            self.sharing.configure(config.operator.sharing)
            self.sharing.max_backoff = config.settings.max_backoff
        if self.distribution is not None and "distribution" not in fixed:
            self.distribution.configure(config.operator.distribution)
        logs.event(
            "config.reloaded",
            discovery=f"{config.discovery.host}:{config.discovery.port}",
            operator=config.operator_path or "",
            origin=origin,
        )


def _ledger(config: Config, net: SocketNetwork) -> Ledger | None:
    """The ledger if enabled.  Imported only then, since it needs threads and compression."""
    if not config.operator.ledger.folder:
        return None
    from .ledger.service import Ledger

    return Ledger(config.operator.ledger, config.name, net)


def _fleet(config: Config, net: SocketNetwork) -> Fleet | None:
    if config.operator.fleet.store == "off":
        return None
    from .fleet.make import make_fleet

    return make_fleet(config.operator.fleet, config.operator.ledger, config.name, net)


def _sharing(config: Config, net: SocketNetwork, proxy: Proxy) -> Sharing | None:
    if not config.operator.sharing.listen:
        return None
    from .sharing.factory import make_sharing

    return make_sharing(
        config.operator.sharing,
        config.name,
        config.settings.zone,
        config.settings.max_backoff,
        net,
        proxy,
    )


def _start_distribution(daemon: Daemon, net: SocketNetwork) -> None:
    """Start it if enabled.  Raises OSError or ValueError if the key file cannot be read."""
    table = daemon.config.operator.distribution
    if not table.controls:
        return
    from .distribution.factory import make_distribution

    made = make_distribution(
        table, daemon.config.name, net, daemon.proxy.hooks, daemon.apply_configuration
    )
    daemon.distribution, daemon.published = made.service, made.configuration


def _dialect(config: Config) -> Dialect | None:
    return None if config.topology is None else Dialect(config.topology)


async def _open_sharing_socket(sharing: Sharing) -> IntrospectionSocket | None:
    from .sharing.factory import introspection_listener

    introspection_socket = introspection_listener(sharing.table, sharing)
    if introspection_socket is not None:
        await introspection_socket.open()
    return introspection_socket


async def _open_distribution_socket(
    service: DistributionService | None, config: Config
) -> IntrospectionSocket | None:
    if service is None:
        return None
    from .distribution.factory import introspection_listener

    introspection_socket = introspection_listener(config.operator.distribution, service)
    if introspection_socket is not None:
        await introspection_socket.open()
    return introspection_socket


class EarlySignal:
    """Records a SIGHUP that arrives before the daemon handles signals.

    If it were ignored, a file replaced after it was read and before the event loop runs would not
    be read again, so the daemon would go on using the old discovery address.
    """

    def __init__(self) -> None:
        self.pending = False

    def record(self, number: int, frame: object) -> None:
        """Record the signal; this is its handler."""
        self.pending = True


async def serve(
    config: Config, log_handler: Logs, turns: Turns | None = None, early: EarlySignal | None = None
) -> int:
    """Run the daemon until a signal and a drain end it; return the exit status."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_loop_exception)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)  # a second signal has no effect
    daemon = Daemon(config, net := SocketNetwork(loop, turns), log_handler)
    try:
        daemon.sharing = _sharing(config, net, daemon.proxy)
        sharing_socket = (
            None if daemon.sharing is None else await _open_sharing_socket(daemon.sharing)
        )
    except (OSError, ValueError) as error:  # ValueError: the key has changed since it was checked
        print(f"violetroute: [sharing]: {error}", file=sys.stderr)
        return 1
    try:
        _start_distribution(daemon, net)
        distribution_socket = await _open_distribution_socket(daemon.distribution, config)
    except (OSError, ValueError) as error:
        print(f"violetroute: [distribution]: {error}", file=sys.stderr)
        return 1
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    if early is not None and early.pending:
        loop.call_soon(daemon.reload)
    try:
        address = daemon.listener.start(config.listen)
    except OSError as error:
        print(
            f"violetroute: cannot listen on {config.listen.host}:{config.listen.port}: "
            f"{error.strerror}",
            file=sys.stderr,
        )
        return 1
    garbage_collection.configure()
    if config.unknown:
        logs.event("config.unknown_keys", keys=",".join(config.unknown))
    logs.event("daemon.listens", address=f"{address.host}:{address.port}", proxy=config.name)
    await ended.wait()
    daemon.draining = True  # no reload during a drain
    logs.event("daemon.drains", proxy=config.name)
    if daemon.sharing is not None:
        daemon.sharing.leave()
    releasing_leases = None if daemon.fleet is None else loop.create_task(daemon.fleet.close())
    await daemon.listener.drain(daemon.drain_time())
    if releasing_leases is not None:
        await releasing_leases
    daemon.proxy.close()
    if daemon.sharing is not None:
        daemon.sharing.close()
    if daemon.distribution is not None:  # distribution continues until the drain has ended
        await daemon.distribution.leave()
    for each in (sharing_socket, distribution_socket):
        if each is not None:
            each.close()
    if daemon.ledger is not None:
        await daemon.ledger.close()
    logs.event("daemon.drained", proxy=config.name)
    await asyncio.sleep(0)  # lets the loop run the last close callbacks
    return 0


def main() -> int:
    """Parse the command line, load the configuration and run the daemon."""
    parser = argparse.ArgumentParser(prog="violetroute", description="The limebridge proxy.")
    parser.add_argument(
        "--operator",
        metavar="FILE",
        help="the operator's file (TOML); wins over LIMEBRIDGE_OPERATOR",
    )
    options = parser.parse_args()
    early = EarlySignal()
    signal.signal(signal.SIGHUP, early.record)
    log_handler = Logs(LineWriter(sys.stderr.fileno()).write, monotonic, wall, LogTable())
    log_handler.install()
    try:
        config = load(operator=options.operator)
    except ConfigError as error:
        print(f"violetroute: {error}", file=sys.stderr)
        return 2
    log_handler.configure(config.operator.log)
    selector = TurnSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        return runner.run(serve(config, log_handler, Turns(selector), early))


if __name__ == "__main__":
    sys.exit(main())
