"""`python -m violetroute.distribution FILE`: runs one control machine.

Prints one JSON line once it serves.  SIGHUP reloads the file and applies its `[log]` table.

Exit codes: 0 after SIGTERM or SIGINT; 1 if it cannot start or an error ends it, such as a failed
disk; 2 for an invalid file.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Sequence
from typing import Any

from violetroute import logs
from violetroute.config import ConfigError, LogTable
from violetroute.logs import Logs
from violetroute.transport.lines import LineWriter
from violetroute.transport.sockets import SocketNetwork, monotonic, wall

from .control import ControlServer, introspection_listener
from .control_file import ControlFile, load_control_file, restart_needed
from .storage import StorageError


def report(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Event loop exception handler: a stray error is logged and ends only its connection."""
    logs.event("control.fault", what=str(context.get("message")), error=context.get("exception"))


class Reloader:
    """Handles SIGHUP: applies the file's `[log]` table and logs which keys need a restart.

    An invalid file changes nothing.  A signal before the process serves takes effect once it does.
    """

    def __init__(self, path: str, file: ControlFile, log_handler: Logs) -> None:
        self._path, self._running, self._log_handler = path, file, log_handler

    def reload(self) -> None:
        """Reloads the file."""
        try:
            file = load_control_file(self._path)
        except ConfigError as error:
            logs.event("config.unusable", reason=str(error))
            return
        keys = restart_needed(self._running, file)
        if keys:
            logs.event("config.restart_needed", keys=",".join(keys))
        self._log_handler.configure(file.log)
        logs.event("control.reloaded", file=self._path)


class EarlySignal:
    """Records an early SIGHUP, whose default action would end the process."""

    def __init__(self) -> None:
        self.pending = False

    def record(self, number: int, frame: object) -> None:
        """Signal handler."""
        self.pending = True


async def serve(file: ControlFile, reloader: Reloader, early: EarlySignal) -> int:
    """Runs until a signal or a failure, and returns the exit code."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(report)
    ended: asyncio.Future[int] = loop.create_future()

    def end(code: int) -> None:
        if not ended.done():
            ended.set_result(code)

    def failed(reason: str) -> None:
        logs.event("control.ends", reason=reason)
        end(1)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end, 0)
    try:
        control = ControlServer(file, SocketNetwork(loop), failed)
        listener = introspection_listener(file, control)
        if listener is not None:
            await listener.open()
    except (OSError, ValueError, StorageError) as error:
        print(f"violetroute.distribution: {error}", file=sys.stderr)
        return 1
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    if early.pending:
        loop.call_soon(reloader.reload)
    address = f"{control.address.host}:{control.address.port}"
    logs.event("control.serves", address=address, machine=file.name)
    print(json.dumps({"control": address}), flush=True)
    code = await ended
    if listener is not None:
        listener.close()
    await control.close()
    logs.event("control.ended", machine=file.name)
    await asyncio.sleep(0)  # lets callbacks of closed transports run
    return code


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program; returns the exit code.  `arguments` replace those of the command line."""
    parser = argparse.ArgumentParser(
        prog="violetroute.distribution", description="A control machine of limebridge."
    )
    parser.add_argument("file", metavar="FILE", help="the control machine's file (TOML)")
    options = parser.parse_args(arguments)
    early = EarlySignal()
    signal.signal(signal.SIGHUP, early.record)
    log_handler = Logs(LineWriter(sys.stderr.fileno()).write, monotonic, wall, LogTable())
    log_handler.install()
    try:
        file = load_control_file(options.file)
    except ConfigError as error:
        print(f"violetroute.distribution: {error}", file=sys.stderr)
        return 2
    log_handler.configure(file.log)
    return asyncio.run(serve(file, Reloader(options.file, file, log_handler), early))


if __name__ == "__main__":
    sys.exit(main())
