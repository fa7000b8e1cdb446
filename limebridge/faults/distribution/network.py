"""The simulated network: requests and replies between named processes.

An exchange corresponds to a request and its reply on a persistent HTTP connection.  Either message
is delayed or lost, and a request may be delivered twice, as by a middlebox that retries.  A message
sent over a cut link is queued, like unacknowledged bytes of TCP, and is delivered after the cut or
lost with its connection.  A reply is dropped if its requester no longer waits for it.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from violetroute.distribution.messages import Message

from .simulation import Simulation

LATENCY_S = (0.0005, 0.005)  # range, one way
MAX_STORM_DELAY_S = 2.5  # one way, during a storm
STORM_DUPLICATE_SHARE = 0.25  # share of the requests that are delivered twice during a storm
LOSS_SHARE = 0.25  # share of the messages that are lost while the fault "loss" is active
DELIVERED_AFTER_CUT_SHARE = 0.5  # share of the messages that are delivered after a cut
MAX_QUEUED_PER_LINK = 64  # messages queued in one cut link; further ones are lost

OnReply = Callable[[Message | None], None]
Link = tuple[str, str]


class Endpoint(Protocol):
    """A process that receives requests."""

    def receive(self, request: Message, reply: OnReply) -> int:
        """Accepts a request; calling `reply` with None resets its connection.

        Returns a ticket for `abandon`; 0: the process is not up and will not reply.
        """

    def abandon(self, ticket: int) -> None:
        """Handles a closed connection: the requester of this ticket no longer waits for a reply."""
        ...


class Exchange:
    """One request and its reply, on the side of the requester.

    `on_reply` is called at most once, and not after `cancel`.
    """

    def __init__(self, requester: str, to: str, on_reply: OnReply) -> None:
        self.requester, self.to, self._on_reply = requester, to, on_reply
        self.open = True
        self.tickets: list[int] = []

    def finish(self, reply: Message | None) -> None:
        """Completes the exchange with its reply, or with None if the connection failed."""
        if self.open:
            self.open = False
            self._on_reply(reply)

    def cancel(self) -> None:
        """Closes the exchange; a later reply is ignored."""
        self.open = False


class Network:
    """The links between processes, with their delays, losses and cuts."""

    def __init__(self, simulation: Simulation, rng: random.Random) -> None:
        self._simulation, self._rng = simulation, rng
        self.endpoints: dict[str, Endpoint] = {}
        self.storm = self.loss = False
        self._cut: Counter[Link] = Counter()
        self._queued: dict[Link, list[Callable[[], None]]] = {}

    def cut(self, links: Iterable[Link]) -> None:
        """Cuts these links until `restore` was called as often as `cut`."""
        self._cut.update(links)

    def restore(self, links: Iterable[Link]) -> None:
        """Undoes one `cut`; messages queued in a link that is open again are delivered."""
        for link in links:
            self._cut[link] -= 1
            if self._cut[link] <= 0:
                for deliver in self._queued.pop(link, []):
                    self._simulation.schedule_after(self._delay(), deliver)

    def is_cut(self, link: Link) -> bool:
        """Whether the link from the first to the second name is cut now."""
        return self._cut[link] > 0

    def request(self, requester: str, to: str, message: Message, on_reply: OnReply) -> Exchange:
        """Sends a request; `on_reply` gets the reply, or None if the connection fails."""
        exchange = Exchange(requester, to, on_reply)
        copies = 2 if self.storm and self._rng.random() < STORM_DUPLICATE_SHARE else 1
        for _ in range(copies):
            self._send((requester, to), lambda: self._deliver(exchange, message))
        return exchange

    def abandon(self, exchange: Exchange) -> None:
        """Closes the connection of the requester; the other side is notified over the link."""
        exchange.cancel()
        for ticket in exchange.tickets:
            self._send((exchange.requester, exchange.to), self._abandon_event(exchange, ticket))

    def _abandon_event(self, exchange: Exchange, ticket: int) -> Callable[[], None]:
        return lambda: self.endpoints[exchange.to].abandon(ticket)

    def _deliver(self, exchange: Exchange, message: Message) -> None:
        reply_link = (exchange.to, exchange.requester)

        def send_reply(reply: Message | None) -> None:
            self._send(reply_link, lambda: exchange.finish(reply))

        ticket = self.endpoints[exchange.to].receive(message, send_reply)
        if ticket:
            exchange.tickets.append(ticket)
        else:
            self._send(reply_link, lambda: exchange.finish(None))  # connection refused

    def _send(self, link: Link, deliver: Callable[[], None]) -> None:
        if self.is_cut(link):
            queue = self._queued.setdefault(link, [])
            if self._rng.random() < DELIVERED_AFTER_CUT_SHARE and len(queue) < MAX_QUEUED_PER_LINK:
                queue.append(deliver)
            return
        if self.loss and self._rng.random() < LOSS_SHARE:
            return
        self._simulation.schedule_after(self._delay(), deliver)

    def _delay(self) -> float:
        if self.storm and self._rng.random() < 0.5:
            return MAX_STORM_DELAY_S * self._rng.random()
        return self._rng.uniform(*LATENCY_S)
