"""The simulated network: requests and their answers between named processes.

A request and its answer are what one exchange over a kept HTTP connection is: each is delivered
late, or not at all, or the request twice, as a retrying middlebox does it.  What is sent into a
cut link waits there, as unacknowledged bytes do, and is delivered after the cut or lost with its
connection.  An answer that nobody waits for any more is dropped.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from violetroute.distribution.messages import Message

from .simulation import Simulation

LATENCY = (0.0005, 0.005)  # s one way
STORM_DELAY = 2.5  # s one way at most, in a storm
STORM_COPIES = 0.25  # share of requests that come twice
LOST = 0.25  # share of messages that are lost while there is loss
KEPT_IN_A_CUT = 0.5  # share of messages that are delivered once a cut is over
WAITING_AT_MOST = 64  # messages that wait in one cut link

OnReply = Callable[[Message | None], None]
Link = tuple[str, str]


class Endpoint(Protocol):
    """A process that takes requests."""

    def receive(self, request: Message, reply: OnReply) -> int:
        """Take a request; `reply` with None resets its connection.

        Returns a ticket for `abandon`; 0: the process is not up and nothing will come.
        """

    def abandon(self, ticket: int) -> None: ...


class Exchange:
    """One request and what comes of it, for the one who asked.

    `on_reply` is called at most once; `cancel` when the asker has given up.
    """

    def __init__(self, requester: str, to: str, on_reply: OnReply) -> None:
        self.requester, self.to, self._on_reply = requester, to, on_reply
        self.open = True
        self.tickets: list[int] = []

    def finish(self, reply: Message | None) -> None:
        """The answer has arrived, or it is known that none will."""
        if self.open:
            self.open = False
            self._on_reply(reply)

    def cancel(self) -> None:
        """Nobody waits any more."""
        self.open = False


class Network:
    """Links between processes and what they do to messages."""

    def __init__(self, simulation: Simulation, rng: random.Random) -> None:
        self._simulation, self._rng = simulation, rng
        self.endpoints: dict[str, Endpoint] = {}
        self.storm = self.loss = False
        self._cut: Counter[Link] = Counter()
        self._waiting: dict[Link, list[Callable[[], None]]] = {}

    def cut(self, links: Iterable[Link]) -> None:
        """Nothing passes these links, until `mend` was called as often."""
        self._cut.update(links)

    def restore(self, links: Iterable[Link]) -> None:
        """Undo one `cut`; what waited in a link that is open again is delivered."""
        for link in links:
            self._cut[link] -= 1
            if self._cut[link] <= 0:
                for deliver in self._waiting.pop(link, []):
                    self._simulation.after(self._delay(), deliver)

    def is_cut(self, link: Link) -> bool:
        """Whether nothing passes from the first to the second name now."""
        return self._cut[link] > 0

    def request(self, requester: str, to: str, message: Message, on_reply: OnReply) -> Exchange:
        """Send a request; `on_reply` gets the answer, or None if the connection fails."""
        exchange = Exchange(requester, to, on_reply)
        copies = 2 if self.storm and self._rng.random() < STORM_COPIES else 1
        for _ in range(copies):
            self._send((requester, to), lambda: self._arrive(exchange, message))
        return exchange

    def abandon(self, exchange: Exchange) -> None:
        """The asker closes its connection; the other side hears of it, if it is reached."""
        exchange.cancel()
        for ticket in exchange.tickets:
            self._send((exchange.requester, exchange.to), self._abandonment(exchange, ticket))

    def _abandonment(self, exchange: Exchange, ticket: int) -> Callable[[], None]:
        return lambda: self.endpoints[exchange.to].abandon(ticket)

    def _arrive(self, exchange: Exchange, message: Message) -> None:
        back = (exchange.to, exchange.requester)

        def answer(reply: Message | None) -> None:
            self._send(back, lambda: exchange.finish(reply))

        ticket = self.endpoints[exchange.to].receive(message, answer)
        if ticket:
            exchange.tickets.append(ticket)
        else:
            self._send(back, lambda: exchange.finish(None))  # refused

    def _send(self, link: Link, deliver: Callable[[], None]) -> None:
        if self.is_cut(link):
            waiting = self._waiting.setdefault(link, [])
            if self._rng.random() < KEPT_IN_A_CUT and len(waiting) < WAITING_AT_MOST:
                waiting.append(deliver)
            return
        if self.loss and self._rng.random() < LOST:
            return
        self._simulation.after(self._delay(), deliver)

    def _delay(self) -> float:
        if self.storm and self._rng.random() < 0.5:
            return STORM_DELAY * self._rng.random()
        return self._rng.uniform(*LATENCY)
