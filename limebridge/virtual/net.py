"""The daemon's transport interface on the simulated kernel."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from violetroute.transport import Turns
from violetroute.transport.sockets import SocketNetwork

from .kernel import Kernel


def network(
    kernel: Kernel, owner: str, loop: Any, clock: Callable[[], float], turns: Turns | None = None
) -> SocketNetwork:
    """The network interface of process `owner`; `clock` gives its wall clock in Unix s.

    `hung_up`, `unread`, `receive_window` and `connection_waits` are set as attributes, so that
    older builds of the daemon, which don't have them, can run as well.
    """
    net = SocketNetwork(
        loop,
        turns,
        make=kernel.maker(owner),
        clock=clock,
        undelivered=lambda sock: int(sock.undelivered()),  # type: ignore[attr-defined]
    )
    net.hung_up = _hung_up
    net.receive_window = lambda sock: None  # virtual segments have no length
    net.unread = lambda sock: len(sock._received)  # type: ignore[attr-defined]
    net.connection_waits = _connection_waits
    return net


def _connection_waits(sock: Any) -> bool:
    """Whether poll would report POLLIN for a listening socket."""
    return bool(sock._queue)


def _hung_up(sock: Any) -> bool:
    """Whether poll would report POLLRDHUP, POLLHUP or POLLERR."""
    return bool(sock._fin_received or sock._reset or sock._error)
