"""A process's own network, in memory: the daemon's seam over the kernel of this package."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from violetroute.transport import Turns
from violetroute.transport.sockets import SocketNetwork

from .kernel import Kernel


def network(
    kernel: Kernel, owner: str, loop: Any, clock: Callable[[], float], turns: Turns | None = None
) -> SocketNetwork:
    """What an older build does not ask of its sockets it does not miss: it is played here too."""
    net = SocketNetwork(
        loop,
        turns,
        make=kernel.maker(owner),
        clock=clock,
        undelivered=lambda sock: int(sock.undelivered()),  # type: ignore[attr-defined]
    )
    net.hung_up = _hung_up
    return net


def _hung_up(sock: Any) -> bool:
    """POLLRDHUP, POLLHUP or POLLERR."""
    return bool(sock._fin_received or sock._reset or sock._error)
