"""Helpers of all simulated runs: isolation of the run, its shutdown, and temporary faults."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
from collections.abc import Callable, Coroutine, Iterable, Iterator
from typing import Any

from limebridge.standins.discovery import Discovery
from limebridge.standins.fleet import FleetNode

from .loop import Deadlock, Livelock


@contextlib.contextmanager
def isolated_run(level: int, *handlers: logging.Handler) -> Iterator[None]:
    """Context manager around a run: captures the daemon's log and disables garbage collection.

    Records of `level` and above go to `handlers` only.  Garbage collection is disabled because its
    times depend on earlier allocations, which would make runs non-deterministic.
    """
    ours, collects = logging.getLogger("violetroute"), gc.isenabled()
    before = ours.level, ours.propagate
    ours.setLevel(level)
    ours.propagate = False
    for handler in handlers:
        ours.addHandler(handler)
    gc.disable()
    try:
        yield
    finally:
        for handler in handlers:
            ours.removeHandler(handler)
        ours.setLevel(before[0])  # also clears the logger's cache of enabled levels
        ours.propagate = before[1]
        if collects:
            gc.enable()


def run(
    loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, None], fault: Callable[[str], None]
) -> None:
    """Run `work` to its end and close the loop; report a deadlock or livelock to `fault`."""
    try:
        loop.run_until_complete(work)
    except (Deadlock, Livelock) as error:
        fault(f"{type(error).__name__}: {error}")
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.call_soon(loop.stop)
        with contextlib.suppress(Deadlock, Livelock):
            loop.run_forever()
        loop.close()


async def set_temporarily(
    seconds: float, nodes: Iterable[FleetNode], name: str, value: float, normal: float | None
) -> None:
    """Set attribute `name` of the nodes to `value` for `seconds` s, then to `normal`."""
    changed = list(nodes)
    for node in changed:
        setattr(node, name, value)
    await asyncio.sleep(seconds)
    for node in changed:
        setattr(node, name, normal)


async def stall_nodes(seconds: float, nodes: Iterable[FleetNode]) -> None:
    """Stop the nodes from serving requests for `seconds` s; no connection is closed."""
    stalled = list(nodes)
    for node in stalled:
        node.running.clear()
    await asyncio.sleep(seconds)
    for node in stalled:
        node.running.set()


async def refuse_watches(seconds: float, discovery: Discovery) -> None:
    """Reset the open watches of discovery, which answers new ones with 503 for `seconds` s."""
    discovery.unavailable = True
    for writer in list(discovery.open):
        writer.transport.abort()
    await asyncio.sleep(seconds)
    discovery.unavailable = False


def sent_at(writer: asyncio.StreamWriter, offset: int) -> float:
    """Time in s at which the peer handed byte `offset` of the stream to its kernel."""
    return float(writer.get_extra_info("socket")._sock.sent_at(offset))
