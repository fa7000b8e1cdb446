"""Loopback ports for processes that the test kit starts.

A process is given its port before it listens there, so the port must stay free until then, and
while the process restarts.  A port that the kernel picked (bind to port 0) may not: once the probe
is closed, the kernel may assign it to any outgoing connection.  So ports are allocated in blocks
below the kernel's ephemeral range.  A process claims a block, until it exits, by keeping a socket
bound to the first port of the block.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections import deque
from pathlib import Path

KERNEL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_KERNEL_RANGE = "32768 60999"  # used if the file cannot be read
FIRST_PORT = 10_000
BLOCK_SIZE = 128  # ports; the first one is bound as the claim on the block


class NoPortsLeftError(Exception):
    """No block of ports is left to claim."""


def kernel_range() -> tuple[int, int]:
    """First and last port of the kernel's ephemeral range."""
    try:
        text = KERNEL_RANGE.read_text()
    except OSError:
        text = DEFAULT_KERNEL_RANGE
    first, last = text.split()
    return int(first), int(last)


class PortBlocks:
    """Allocates ports from the blocks claimed by this process, the least recently used first."""

    def __init__(self, first: int = FIRST_PORT, end: int | None = None) -> None:
        """Blocks lie in [first, end); `end` is the start of the kernel's range by default."""
        self._next_block = first
        self._end = kernel_range()[0] if end is None else end
        self._claims: list[socket.socket] = []
        self._ports: deque[int] = deque()

    def free_ports(self, count: int) -> list[int]:
        """Return `count` different ports to which no TCP or UDP socket is bound.

        Raises NoPortsLeftError.
        """
        found: list[int] = []
        for _ in range(len(self._ports)):
            if len(found) == count:
                return found
            port = self._ports.popleft()
            self._ports.append(port)
            if _is_free(port):
                found.append(port)
        if len(found) == count:
            return found
        self._claim_block()
        return found + self.free_ports(count - len(found))

    def close(self) -> None:
        """Release all blocks."""
        while self._claims:
            self._claims.pop().close()
        self._ports.clear()

    def _claim_block(self) -> None:
        while self._next_block + BLOCK_SIZE <= self._end:
            first = self._next_block
            self._next_block += BLOCK_SIZE
            claim = socket.socket()
            try:
                claim.bind(("127.0.0.1", first))
            except OSError:  # claimed by another process
                claim.close()
                continue
            self._claims.append(claim)
            self._ports.extendleft(range(first + BLOCK_SIZE - 1, first, -1))
            return
        raise NoPortsLeftError(f"no block of {BLOCK_SIZE} ports is left below {self._end}")


def _is_free(port: int) -> bool:
    with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # as every listener does
        with contextlib.suppress(OSError):
            stream.bind(("127.0.0.1", port))
            datagram.bind(("127.0.0.1", port))
            return True
    return False


_blocks = PortBlocks()
os.register_at_fork(after_in_child=_blocks.close)  # the claims belong to the parent


def free_ports(count: int) -> list[int]:
    """Return `count` different loopback ports that are free for TCP and UDP.

    Raises NoPortsLeftError.
    """
    return _blocks.free_ports(count)
