"""TCP sockets that exist only in memory, with the manners of the kernel's.

What is played: connects that are refused, come late or never do; a backlog that fills; latency and
jitter a link; send and receive buffers with back-pressure; segments cut anywhere; FIN, half-close
and RST, with what came before it still to be read; a peer that vanishes; one direction of a path
that is blocked and heals; descriptors as a limited resource, given out lowest first; MSG_PEEK.
Not played: lost segments as such (a blocked path delays, as retransmission does), Nagle, keepalive,
urgent data, SO_RCVLOWAT, limits of a datagram's size, time in system calls or in
the program: a turn of the loop takes no time.

`tests/limebridge/virtual/test_conformance.py` runs one script here and on real loopback sockets
and compares.

Sources: tcp(7), socket(7), connect(2), and what Linux was seen to do where they are silent.
"""

from __future__ import annotations

from collections.abc import Callable
from socket import SOCK_CLOEXEC, SOCK_DGRAM, SOCK_NONBLOCK
from typing import Any

from .datagrams import VirtualDatagrams
from .network import Network
from .sockets import VirtualSocket

FLAGS = SOCK_NONBLOCK | SOCK_CLOEXEC


class Kernel(Network):
    """All sockets and packets, and the clock that moves when nothing is left to do now."""

    def socket(self, owner: str = "") -> VirtualSocket:
        """OSError EMFILE when the owner has no descriptor left."""
        sock = VirtualSocket(self, owner)
        self.take(owner, sock)
        return sock

    def datagrams(self, owner: str = "") -> VirtualDatagrams:
        """OSError EMFILE when the owner has no descriptor left."""
        sock = VirtualDatagrams(self, owner)
        self.take(owner, sock)
        return sock

    def maker(self, owner: str) -> Callable[[int, int], Any]:
        """For SocketNetwork."""
        return lambda family, kind: (
            self.datagrams(owner) if kind & ~FLAGS == SOCK_DGRAM else self.socket(owner)
        )
