"""Paths, packets, descriptors and the clock of a network in memory; `sockets` are its ends."""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

BUFFER = 64 * 1024  # bytes each way; Linux has more and lets it grow, so less is kept here
FIRST_PORT = 40_000  # of those that are given out
LATENCY = 0.000_05  # s one way


@dataclass
class Link:
    """The path to one listening port, both ways: `to` it and `back` from it."""

    port: int
    latency: float = LATENCY
    jitter: float = 0.0  # s, drawn evenly for each arrival
    blocked_to: bool = False
    blocked_back: bool = False
    cut: bool = False  # segments are cut at places that the seed gives
    held: list[Callable[[], None]] = field(default_factory=list)


class Network:
    """All sockets and packets, and the clock that moves when nothing is left to do now."""

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
        self._given_back: list[int] = []  # a heap of those below the highest ever given out
        self._highest = 2
        self._next_port = FIRST_PORT
        self.hot: dict[int, None] = {}  # descriptors that may be ready, in the order they became so
        self.packets = 0
        self.paused: dict[str, float] = {}  # owners that get no CPU, and until when
        self.meters: dict[str, Any] = {}  # of owners whose own time is played, see costs.py
        self.woken = False  # a packet's arrival gave the loop itself something to do
        self.charged: list[Any] = []  # those that have worked in this turn
        # s one way beyond its link's, of a connection of this owner to this port.
        self.extra_delay: Callable[[str, int], float] = lambda owner, port: 0.0
        # By port, sockets for datagrams; and for one to a port, when its copies come, in s: none
        # is a loss, two are a copy, and their differences are their order.
        self.bound: dict[int, Any] = {}
        self.datagram_delays: Callable[[str, int], list[float]] = lambda owner, port: [LATENCY]
        # Told of bytes that a socket has received, and of those that it was given to send.
        self.on_received: Callable[[Any, bytes], None] = lambda sock, data: None
        self.on_sent: Callable[[Any, bytes], None] = lambda sock, data: None
        # Told of a socket that its peer's end, or a reset, has come to.
        self.on_end: Callable[[Any], None] = lambda sock: None

    # --- time ---
    def at(self, when: float, what: Callable[[], None]) -> None:
        """Do `what` at this time; what is told first of one time is done first."""
        self._number += 1
        heappush(self._packets, (when, self._number, what))

    @property
    def next_at(self) -> float | None:
        return self._packets[0][0] if self._packets else None

    def deliver(self) -> None:
        """Do what is due."""
        while self._packets and self._packets[0][0] <= self.now:
            self.packets += 1
            heappop(self._packets)[2]()

    def settle(self) -> None:
        """A turn of the loop is over: who has worked in it is busy for as long as that takes."""
        charged, self.charged = self.charged, []
        for meter in charged:
            meter.settle()

    def random(self, purpose: str) -> random.Random:
        """A stream of its own for each purpose, so that one does not shift another."""
        found = self._randoms.get(purpose)
        if found is None:
            found = self._randoms[purpose] = random.Random(f"{self._seed}/{purpose}")
        return found

    # --- sockets ---
    def limit(self, owner: str, descriptors: int) -> None:
        """How many descriptors this process may hold."""
        self._limits[owner] = descriptors

    def held(self, owner: str) -> int:
        """How many it holds."""
        return self._held.get(owner, 0)

    def take(self, owner: str, sock: Any) -> None:
        """Give it the lowest free descriptor.  OSError EMFILE when the owner has none left."""
        if owner in self._limits and self.held(owner) >= self._limits[owner]:
            raise error(errno.EMFILE)
        if self._given_back:
            sock.number = heappop(self._given_back)
        else:
            self._highest += 1
            sock.number = self._highest
        self.sockets[sock.number] = sock
        self._held[owner] = self._held.get(owner, 0) + 1

    def give_back(self, sock: Any) -> None:
        """Its descriptor is free: the lowest free one is given out next."""
        if sock.number in self.sockets and self.sockets[sock.number] is sock:
            del self.sockets[sock.number]
            self._held[sock.owner] -= 1
            heappush(self._given_back, sock.number)

    def port(self) -> int:
        self._next_port += 1
        return self._next_port

    def link(self, port: int) -> Link:
        """The path to what listens there; it may be changed at any time."""
        return self.links.setdefault(port, Link(port))

    def block(self, port: int, to: bool = True, back: bool = True) -> None:
        """Nothing crosses this way any more, and nobody is told."""
        link = self.link(port)
        link.blocked_to, link.blocked_back = link.blocked_to or to, link.blocked_back or back

    def heal(self, port: int) -> None:
        """What was held crosses now, in its order."""
        link = self.link(port)
        link.blocked_to = link.blocked_back = False
        held, link.held = link.held, []
        for send in held:
            send()

    def touch(self, sock: Any) -> None:
        """Its state has changed: look at it in the next poll."""
        if sock.number >= 0:
            self.hot[sock.number] = None

    def touch_all(self, owner: str) -> None:
        """All of this process's sockets."""
        for sock in self.sockets.values():
            if sock.owner == owner:
                self.touch(sock)


def error(number: int) -> OSError:
    """As the kernel would word it."""
    return OSError(number, os.strerror(number))
