"""Loopback ports for processes that the kit starts.

A process is told its port before it listens there, so the port must stay free in between, and
again while the process is restarted.  A port that the kernel picks (bind to port 0) does not:
once the probe is closed, the kernel may give the same port to any outgoing connection.  So ports
are taken from below the range that the kernel picks from, in blocks.  A process claims a block
for as long as it lives, by a socket that it keeps bound to the first port of the block.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections import deque
from pathlib import Path

KERNEL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_KERNEL_RANGE = "32768 60999"  # where the file cannot be read
FIRST_PORT = 10_000
BLOCK_SIZE = 128  # the first port of a block is its claim


class NoPortsLeftError(Exception):
    """No block is left, or every port of the blocks of this process is in use."""


def kernel_range() -> tuple[int, int]:
    """The first and the last port that the kernel picks from."""
    try:
        text = KERNEL_RANGE.read_text()
    except OSError:
        text = DEFAULT_KERNEL_RANGE
    first, last = text.split()
    return int(first), int(last)


class PortBlocks:
    """Hands out the ports of the blocks that this process has claimed, the least recent first."""

    def __init__(self, first: int = FIRST_PORT, end: int | None = None) -> None:
        """Blocks lie from `first` up to, and without, `end` (the kernel's range if not given)."""
        self._next_block = first
        self._end = kernel_range()[0] if end is None else end
        self._claims: list[socket.socket] = []
        self._ports: deque[int] = deque()

    def free_ports(self, count: int) -> list[int]:
        """`count` different ports that nobody is bound to, for TCP and for UDP.

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
        """Give all blocks back."""
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
            except OSError:  # another process has it
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
os.register_at_fork(after_in_child=_blocks.close)  # the claims are the parent's


def free_ports(count: int) -> list[int]:
    """`count` different loopback ports, free for TCP and UDP, from the blocks of this process.

    Raises NoPortsLeftError.
    """
    return _blocks.free_ports(count)
