"""Paths, packets, descriptors and the clock of the simulated network."""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

# Bytes per direction.  Linux has larger, growing buffers; the smaller size fills sooner.
BUFFER = 64 * 1024
FIRST_PORT = 40_000  # ephemeral ports are assigned upwards from here
LATENCY = 0.000_05  # s one way


@dataclass
class Link:
    """The path to one listening port, in both directions: `to` it and `back` from it."""

    port: int
    latency: float = LATENCY
    jitter: float = 0.0  # s, maximum of a packet's additional delay, which is uniform
    blocked_to: bool = False
    blocked_back: bool = False
    cut: bool = False  # segments are split at random places given by the seed
    held: list[Callable[[], None]] = field(default_factory=list)  # packets of a blocked path


class Network:
    """All sockets and packets, and the clock, which the event loop advances.

    An owner is the name of a simulated process; sockets of stand-ins have the owner "".
    """

    def __init__(self, seed: int = 0, start: float = 1000.0, buffer: int = BUFFER) -> None:
        self.buffer = buffer
        self.now = start  # s
        self._seed = seed
        self._packets: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self.sockets: dict[int, Any] = {}
        self.listening: dict[int, Any] = {}
        self.links: dict[int, Link] = {}
        self._randoms: dict[str, random.Random] = {}
        self._limits: dict[str, int] = {}
        self._held: dict[str, int] = {}  # descriptors by owner
        self._free_descriptors: list[int] = []  # heap of free descriptors
        self._highest = 2
        self._next_port = FIRST_PORT
        # Descriptors to check for readiness, in the order of their changes.
        self.to_check: dict[int, None] = {}
        self.packets = 0  # number of calls made by `deliver`
        self.paused: dict[str, float] = {}  # owner that gets no CPU -> end of the pause
        self.meters: dict[str, Any] = {}  # by owner, where CPU time is simulated; see costs.py
        self.woken = False  # a packet's arrival scheduled a callback on the loop
        self.charged_meters: list[Any] = []  # meters charged in this loop iteration
        # Additional one-way latency in s of a connection from an owner to a port.
        self.extra_delay: Callable[[str, int], float] = lambda owner, port: 0.0
        self.bound: dict[int, Any] = {}  # UDP sockets by port
        # Delays in s of the copies of a datagram from an owner to a port: an empty list drops it,
        # two entries duplicate it, and unequal delays reorder datagrams.
        self.datagram_delays: Callable[[str, int], list[float]] = lambda owner, port: [LATENCY]
        # Called with the bytes that a socket received, and those that a program sent on it.
        self.on_received: Callable[[Any, bytes], None] = lambda sock, data: None
        self.on_sent: Callable[[Any, bytes], None] = lambda sock, data: None
        # Called when a FIN or RST reaches a socket.
        self.on_end: Callable[[Any], None] = lambda sock: None

    # --- time ---
    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a call at this time; calls for one time run in the order of scheduling."""
        self._number += 1
        heappush(self._packets, (when, self._number, callback))

    @property
    def next_at(self) -> float | None:
        """Time of the next scheduled call in s, or None if there is none."""
        return self._packets[0][0] if self._packets else None

    def deliver(self) -> None:
        """Make all scheduled calls that are due."""
        while self._packets and self._packets[0][0] <= self.now:
            self.packets += 1
            heappop(self._packets)[2]()

    def end_turns(self) -> None:
        """End an iteration of the loop: charged processes become busy for the charged time."""
        charged_meters, self.charged_meters = self.charged_meters, []
        for meter in charged_meters:
            meter.end_turn()

    def random(self, purpose: str) -> random.Random:
        """The random stream of this purpose; each has its own, so that they are independent."""
        stream = self._randoms.get(purpose)
        if stream is None:
            stream = self._randoms[purpose] = random.Random(f"{self._seed}/{purpose}")
        return stream

    # --- sockets ---
    def limit(self, owner: str, descriptors: int) -> None:
        """Set the maximum number of descriptors of this process."""
        self._limits[owner] = descriptors

    def held(self, owner: str) -> int:
        """Number of descriptors that this process holds."""
        return self._held.get(owner, 0)

    def assign_descriptor(self, owner: str, sock: Any) -> None:
        """Assign the lowest free descriptor.  Raises OSError EMFILE at the owner's limit."""
        if owner in self._limits and self.held(owner) >= self._limits[owner]:
            raise error(errno.EMFILE)
        if self._free_descriptors:
            sock.number = heappop(self._free_descriptors)
        else:
            self._highest += 1
            sock.number = self._highest
        self.sockets[sock.number] = sock
        self._held[owner] = self._held.get(owner, 0) + 1

    def release_descriptor(self, sock: Any) -> None:
        """Release the socket's descriptor for reuse."""
        if sock.number in self.sockets and self.sockets[sock.number] is sock:
            del self.sockets[sock.number]
            self._held[sock.owner] -= 1
            heappush(self._free_descriptors, sock.number)

    def port(self) -> int:
        """Assign the next ephemeral port."""
        self._next_port += 1
        return self._next_port

    def link(self, port: int) -> Link:
        """The path to this port, created on first use; its settings may change at any time."""
        return self.links.setdefault(port, Link(port))

    def block(self, port: int, to: bool = True, back: bool = True) -> None:
        """Block the path in these directions; neither end is notified."""
        link = self.link(port)
        link.blocked_to, link.blocked_back = link.blocked_to or to, link.blocked_back or back

    def heal(self, port: int) -> None:
        """Unblock the path and send the held packets in order."""
        link = self.link(port)
        link.blocked_to = link.blocked_back = False
        held, link.held = link.held, []
        for send in held:
            send()

    def touch(self, sock: Any) -> None:
        """Check the socket's readiness in the next poll, since its state has changed."""
        if sock.number >= 0:
            self.to_check[sock.number] = None

    def touch_all(self, owner: str) -> None:
        """Check all sockets of this process in the next poll."""
        for sock in self.sockets.values():
            if sock.owner == owner:
                self.touch(sock)


def error(number: int) -> OSError:
    """OSError with the kernel's text for this errno."""
    return OSError(number, os.strerror(number))
