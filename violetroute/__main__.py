"""Start-up, signals, exit."""

from __future__ import annotations

import argparse
import asyncio
import gc
import signal
import sys
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from . import logs
from .clients import Listener
from .cluster import Dialect
from .config import Config, ConfigError, LogTable, load, restart_needed, until_restart
from .logs import Logs
from .proxy import Proxy
from .transport.lines import LineWriter
from .transport.loop_lag import Turns, TurnSelector
from .transport.sockets import SocketNetwork, monotonic, wall

if TYPE_CHECKING:
    from .distribution.configuration import PublishedConfiguration, PublishedTables
    from .distribution.service import DistributionService
    from .fleet.runner import Fleet
    from .ledger.keeper import Ledger
    from .sharing.service import Sharing
    from .transport.local import LocalDoor

DRAIN_SLACK = 0.05  # s beyond the longest deadline: the last answers are given at their own
GC_THRESHOLD = 10_000  # new containers between two collections: next to no cycles are made


def report(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """The loop's exception handler: one stray error ends its own connection alone."""
    logs.event("daemon.fault", what=str(context.get("message")), error=context.get("exception"))


class Daemon:
    """What signals act on: the parts, and the configuration they have."""

    def __init__(self, config: Config, net: SocketNetwork, log_handler: Logs) -> None:
        self.config, self._log_handler = config, log_handler
        self.proxy = Proxy(config, net)
        self.listener = Listener(
            self.proxy,
            config.client_sockets,
            config.value_room,
            net,
            config.limits,
            _dialect(config),
        )
        self.ledger = _ledger(config, net)
        if self.ledger is not None:
            self.proxy.parts.served.append(self.ledger.served)
        self.fleet = _fleet(config, net)
        self.sharing: Sharing | None = None
        self.distribution: DistributionService | None = None
        self.published: PublishedConfiguration | None = None
        self.draining = False

    def drain_time(self) -> float:
        """Seconds for which what was taken may still be answered.

        Found by reading: after a reload a drain ended by the deadlines of the start, and cut off
        what had been taken under longer ones.  Open requests keep those they came under.
        """
        return max(self.config.longest_deadline, self.proxy.deadlines.time_left) + DRAIN_SLACK

    def reload(self) -> None:
        """SIGHUP: the new configuration if all of it can be used, else the old one goes on."""
        if self.draining:
            return
        reason = self.take_on() if self.published is None else self.published.reload()
        if reason:
            logs.event("config.unusable", reason=reason)

    def take_on(self, tables: PublishedTables | None = None) -> str:
        """Read the files anew, check them with the published tables, and take all of it on.

        The reason in one line if it cannot be used: then nothing has changed; else "".
        """
        if self.draining:
            return "the proxy drains"
        merged, origin = None, "file"
        if tables is not None and tables.position:
            merged, origin = tables.merged, f"position {tables.position}"
        try:
            config = load(operator=self.config.operator_path, merged=merged, with_known=False)
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
        config = replace(config, operator=until_restart(before.operator, config.operator))
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
    """Imported where it is on: threads and compression are nothing to a proxy without it."""
    if not config.operator.ledger.folder:
        return None
    from .ledger.keeper import Ledger

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
    """Nothing where it is off.  OSError or ValueError where the key file cannot be read."""
    table = daemon.config.operator.distribution
    if not table.controls:
        return
    from .distribution.make import make_distribution

    made = make_distribution(table, daemon.config.name, net, daemon.proxy.parts, daemon.take_on)
    daemon.distribution, daemon.published = made.service, made.configuration


def _dialect(config: Config) -> Dialect | None:
    return None if config.topology is None else Dialect(config.topology)


async def _door(sharing: Sharing) -> LocalDoor | None:
    from .sharing.factory import introspection_listener

    door = introspection_listener(sharing.table, sharing)
    if door is not None:
        await door.open()
    return door


async def _distribution_door(
    service: DistributionService | None, config: Config
) -> LocalDoor | None:
    if service is None:
        return None
    from .distribution.make import door_of

    door = door_of(config.operator.distribution, service)
    if door is not None:
        await door.open()
    return door


class EarlySignal:
    """A SIGHUP that comes before there is a daemon: kept until there is.

    Found by reading: it was ignored, so a file that was replaced after it had been read and before
    the loop stood was never taken, and discovery stayed where it had been.
    """

    def __init__(self) -> None:
        self.pending = False

    def came(self, number: int, frame: object) -> None:
        self.pending = True


async def serve(
    config: Config, log_handler: Logs, turns: Turns | None = None, early: EarlySignal | None = None
) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(report)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)  # a second one changes nothing
    daemon = Daemon(config, net := SocketNetwork(loop, turns), log_handler)
    try:
        daemon.sharing = _sharing(config, net, daemon.proxy)
        door = None if daemon.sharing is None else await _door(daemon.sharing)
    except (OSError, ValueError) as error:  # ValueError: the key is another since it was checked
        print(f"violetroute: [sharing]: {error}", file=sys.stderr)
        return 1
    try:
        _start_distribution(daemon, net)
        distribution_door = await _distribution_door(daemon.distribution, config)
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
    gc.freeze()  # what start-up made stays; collections need not walk it
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    if config.unknown:
        logs.event("config.unknown_keys", keys=",".join(config.unknown))
    logs.event("daemon.listens", address=f"{address.host}:{address.port}", proxy=config.name)
    await ended.wait()
    daemon.draining = True  # nothing new on the way out
    logs.event("daemon.drains", proxy=config.name)
    if daemon.sharing is not None:
        daemon.sharing.leave()
    handing_back = None if daemon.fleet is None else loop.create_task(daemon.fleet.close())
    await daemon.listener.drain(daemon.drain_time())
    if handing_back is not None:
        await handing_back
    daemon.proxy.close()
    if daemon.sharing is not None:
        daemon.sharing.close()
    if daemon.distribution is not None:  # fresh until here: it has followed during the drain
        await daemon.distribution.leave()
    for each in (door, distribution_door):
        if each is not None:
            each.close()
    if daemon.ledger is not None:
        await daemon.ledger.close()
    logs.event("daemon.drained", proxy=config.name)
    await asyncio.sleep(0)  # lets the loop tell what was closed last
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="violetroute", description="The limebridge proxy.")
    parser.add_argument(
        "--operator",
        metavar="FILE",
        help="the operator's file (TOML); wins over LIMEBRIDGE_OPERATOR",
    )
    options = parser.parse_args()
    early = EarlySignal()
    signal.signal(signal.SIGHUP, early.came)
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
