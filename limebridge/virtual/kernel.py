"""TCP and UDP sockets in memory that behave like those of the Linux kernel.

Simulated: connects that are refused, delayed or unanswered; a full backlog; latency and jitter per
link; send and receive buffers with back-pressure; segments split at any byte; FIN, half-close and
RST, after which buffered data can still be read; a peer that disappears; one direction of a path
that is blocked and recovers; a limited number of descriptors, lowest first; MSG_PEEK.
Not simulated: loss of single segments (a blocked path delays, as retransmission does), Nagle,
keepalive, urgent data, SO_RCVLOWAT, size limits of datagrams, and time in system calls or in the
program: an iteration of the loop takes no time unless its process has a meter (`costs`).

`tests/limebridge/virtual/test_conformance.py` runs the same scenario here and on real loopback
sockets and compares the results.

Sources: tcp(7), socket(7), connect(2), and observed Linux behaviour where they say nothing.
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
    """The network with constructors for its TCP and UDP sockets."""

    def socket(self, owner: str = "") -> VirtualSocket:
        """Create a TCP socket.  Raises OSError EMFILE if the owner has no descriptor left."""
        sock = VirtualSocket(self, owner)
        self.assign_descriptor(owner, sock)
        return sock

    def datagrams(self, owner: str = "") -> VirtualDatagrams:
        """Create a UDP socket.  Raises OSError EMFILE if the owner has no descriptor left."""
        sock = VirtualDatagrams(self, owner)
        self.assign_descriptor(owner, sock)
        return sock

    def maker(self, owner: str) -> Callable[[int, int], Any]:
        """The socket constructor for SocketNetwork: it creates sockets of this owner."""
        return lambda family, kind: (
            self.datagrams(owner) if kind & ~FLAGS == SOCK_DGRAM else self.socket(owner)
        )
