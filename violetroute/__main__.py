"""Start-up, signals, exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from typing import Any

from .clients import Listener
from .config import Config, ConfigError, load
from .proxy import Proxy
from .transport.sockets import SocketNetwork
from .transport.turns import Turns, TurnSelector

log = logging.getLogger("violetroute")

DRAIN_SLACK = 0.05  # s beyond the longest deadline: the last answers are given at their own
GC_THRESHOLD = 10_000  # new containers between two collections: next to no cycles are made
REPORT_PAUSE = 1.0  # s between two reports of errors that peers or bugs caused in callbacks


class Reporter:
    """The loop's exception handler: one stray error ends its own connection alone."""

    def __init__(self) -> None:
        self._reported_at = -REPORT_PAUSE

    def __call__(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        now = loop.time()
        if now - self._reported_at >= REPORT_PAUSE:
            self._reported_at = now
            log.error("%s", context.get("message"), exc_info=context.get("exception"))


def reload(proxy: Proxy, before: Config) -> Config:
    """SIGHUP: the new configuration if it can be used, else the one at hand goes on."""
    try:
        config = load()
    except ConfigError as error:
        log.error("not reloaded: %s", error)
        return before
    fixed = [name for name in ("name", "listen", "sockets", "memory_mb")
             if getattr(config, name) != getattr(before, name)]
    if fixed:
        log.warning("needs a restart to change: %s", ", ".join(fixed))
    proxy.reload(config)
    log.info("reloaded; discovery at %s:%d", config.discovery.host, config.discovery.port)
    return config


async def serve(config: Config, turns: Turns | None = None) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(Reporter())
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)  # a second one changes nothing
    net = SocketNetwork(loop, turns)
    proxy = Proxy(config, net)

    def reload_now() -> None:
        nonlocal config
        config = reload(proxy, config)

    loop.add_signal_handler(signal.SIGHUP, reload_now)
    listener = Listener(proxy, config.client_sockets, config.value_room, net)
    try:
        listener.start(config.listen)
    except OSError as error:
        print(f"violetroute: cannot listen on {config.listen.host}:{config.listen.port}: "
              f"{error.strerror}", file=sys.stderr)
        return 1
    gc.freeze()  # what start-up made stays; collections need not walk it
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    log.info("%s listens on %s:%d", config.name, config.listen.host, config.listen.port)
    await ended.wait()
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # nothing new on the way out
    log.info("%s drains", config.name)
    await listener.drain(config.longest_deadline + DRAIN_SLACK)
    proxy.close()
    log.info("%s has drained", config.name)
    await asyncio.sleep(0)  # lets the loop close what was closed last
    return 0


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # one that comes before we can reload
    try:
        config = load()
    except ConfigError as error:
        print(f"violetroute: {error}", file=sys.stderr)
        return 2
    selector = TurnSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        return runner.run(serve(config, Turns(selector)))


if __name__ == "__main__":
    sys.exit(main())
