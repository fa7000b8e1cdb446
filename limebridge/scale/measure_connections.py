"""Costs of one proxy's connections to its cache nodes, at the target's rate of requests.

The proxy and its connection pool are those of the daemon; nodes and discovery are stand-ins on a
virtual network.  Memory per connection is measured with real sockets, opened by the daemon's pool.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
from functools import partial
from typing import Any

from limebridge.standins.configuration import configuration
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import CacheNode
from limebridge.standins.wire import reply
from limebridge.virtual import Kernel, VirtualLoop
from limebridge.virtual.session import isolated_run
from snowstall import Result
from violetroute import resp
from violetroute.clients import Answer
from violetroute.config import parse
from violetroute.proxy import Proxy
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork
from violetroute.upstream import Attempt, Pool

from .cost_definition import define_cost
from .measure_module import KEYS, ZIPF_EXPONENT
from .process_facts import allow_descriptors, resident_bytes
from .registry import MeasurementError, Subject, Values
from .sample_list import create_proxy
from .target import load_target
from .virtual_members import LOG_LEVEL

SERVICE_TIME_S = 0.02  # time that a node takes to answer a request
# Virtual time, several times the 3 s after which idle connections are closed.
WARM_UP_S, MEASURED_S = 10.0, 20.0
SAMPLE_INTERVAL_S = 0.5  # s between two counts of open connections
MAX_SOCKETS = 16_384  # the proxy's limit, so high that it does not affect the measurement
MIN_SERVED_SHARE = 0.99  # if a smaller share of the requests is served, the values are invalid
MEMORY_CONNECTIONS = 3000  # connections opened to measure the memory per connection
OPEN_TIMEOUT_S = 20.0
SPARE_DESCRIPTORS = 64
IDLE_TIMEOUT_S = 600.0  # so long that no connection is closed while memory is measured


def measure(size: int) -> Values:
    """Measure all costs of connections to `size` nodes."""
    # Memory is measured first: later, connections could reuse memory that this process has freed.
    memory = asyncio.run(_memory_per_connection(size))
    load = ProxyUnderLoad(size)
    with isolated_run(LOG_LEVEL):
        load.loop.run_until_complete(load.run())
    average_open = sum(load.open_samples) / len(load.open_samples)
    return {
        "connections.open": average_open,
        "connections.opened_per_s": load.opened / MEASURED_S,
        "connections.waited_share": len(load.delayed_requests) / load.requests,
        "connections.memory_mb": memory * average_open / 1e6,
    }


class DiscardedAnswer(Answer):
    """The answer to a request without a client connection; only records whether it was served."""

    def __init__(self) -> None:
        self.charge, self.done, self.request = 0, False, None
        self.served = False

    def client_left(self) -> bool:
        """False: there is no client that could close its connection."""
        return False

    def client_may_have_left(self) -> bool:
        """False: it is certain that the client is there."""
        return False

    def finish(self, *parts: bytes | bytearray) -> None:
        """Record the end of the request; it is served if the reply is a bulk string."""
        self.done, self.request = True, None
        self.served = parts[0].startswith(b"$")


class ProxyUnderLoad:
    """The daemon's proxy with stand-in nodes, which receives requests at the target's rate."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._kernel = Kernel(1)
        self.loop = VirtualLoop(self._kernel)
        self.requests = self.opened = 0
        self.delayed_requests: set[int] = set()  # requests that waited for a connection
        self.open_samples: list[int] = []
        self._measuring = False
        self._request_ids = itertools.count(1)
        self._rng = random.Random(1)
        weights = (1.0 / rank**ZIPF_EXPONENT for rank in range(1, KEYS + 1))
        self._weights = list(itertools.accumulate(weights))

    async def run(self) -> None:
        """Start the nodes, discovery and the proxy; warm up, measure, and stop all of them.

        Raises MeasurementError if fewer than MIN_SERVED_SHARE of the requests were served.
        """
        nodes = [await CacheNode(_serve).start() for _ in range(self._size)]
        discovery = await Discovery().start()
        known = [node.entry(f"cache-{number:05d}") for number, node in enumerate(nodes)]
        discovery.publish(*known, reset=True)
        config = parse(configuration(discovery.port, known, sockets=MAX_SOCKETS))
        proxy = create_proxy(self._kernel, self.loop, config)
        self._watch_pool(proxy)
        await self._send_requests(proxy, WARM_UP_S)
        self._measuring = True
        answers = await self._send_requests(proxy, MEASURED_S)
        self._measuring = False
        await asyncio.sleep(1.0)
        proxy.close()
        await discovery.stop()
        for node in nodes:
            await node.stop()
        served = sum(answer.served for answer in answers)
        if served < MIN_SERVED_SHARE * len(answers):
            raise MeasurementError(f"{served} of {len(answers)} requests were served")

    def _watch_pool(self, proxy: Proxy) -> None:
        """Count attempts for which the pool opens a connection: those that wait after `send`."""
        pool, send = proxy._pool, proxy._pool.send

        def send_counted(attempt: Attempt) -> None:
            send(attempt)
            node = pool._nodes.get(attempt.cache_id)
            if self._measuring and node is not None and attempt in node.waiting:
                self.opened += 1
                self.delayed_requests.add(attempt.request_id)

        pool.send = send_counted  # type: ignore[method-assign]

    async def _send_requests(self, proxy: Proxy, seconds: float) -> list[DiscardedAnswer]:
        """Send requests as a Poisson process for `seconds`; return their answers."""
        loop, answers = self.loop, list[DiscardedAnswer]()
        rate = load_target().requests_per_proxy
        end, sample_at = loop.time() + seconds, loop.time()
        next_at = loop.time()
        while (next_at := next_at + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, next_at - loop.time()))
            answers.append(self._send_request(proxy))
            if loop.time() >= sample_at:
                sample_at += SAMPLE_INTERVAL_S
                if self._measuring:
                    self.open_samples.append(len(proxy._pool._open))
        return answers

    def _send_request(self, proxy: Proxy) -> DiscardedAnswer:
        (key,) = self._rng.choices(range(KEYS), cum_weights=self._weights)
        answer = DiscardedAnswer()
        proxy.take(_command(next(self._request_ids), key), answer)
        self.requests += self._measuring
        return answer


def _command(number: int, key: int) -> resp.Command:
    words = [b"OBJ.GET", b"key-%d" % key, b"request-%d" % number, b"c=lookup,t=x,d=5000"]
    return resp.parse_command(words)


async def _serve(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(SERVICE_TIME_S)
    writer.write(reply(b"value of " + words[1]))


class IdleSink:
    """Lets the pool open connections, and rejects each attempt before it is sent."""

    def __init__(self) -> None:
        self.ended = 0

    def clock(self) -> float:
        """A constant time: no attempt expires."""
        return 0.0

    def may_send(self, attempt: Attempt) -> bool:
        """False: no request is sent on the new connection."""
        return False

    def attempt_ended(self, attempt: Attempt, result: Result, *details: Any, **more: Any) -> None:
        """Count the ended attempts."""
        self.ended += 1


async def _memory_per_connection(nodes: int) -> float:
    """Resident bytes of one open connection, in the process that opened it.

    The listeners do not accept the connections; the kernel completes the handshakes.
    """
    allow_descriptors(MEMORY_CONNECTIONS + nodes + SPARE_DESCRIPTORS)
    listeners = [_listener() for _ in range(nodes)]
    sink = IdleSink()
    pool = Pool(
        sink,
        SocketNetwork(asyncio.get_running_loop()),
        2 * MEMORY_CONNECTIONS,
        OPEN_TIMEOUT_S,
        IDLE_TIMEOUT_S,
    )
    for number, listener in enumerate(listeners):
        pool.add(number, Address(*listener.getsockname()))
    before = resident_bytes()
    for number in range(MEMORY_CONNECTIONS):
        pool.send(Attempt(number, 0, number % nodes, _command(number, 1), 0.0, 0.0))
    async with asyncio.timeout(OPEN_TIMEOUT_S):
        while sink.ended < MEMORY_CONNECTIONS:
            await asyncio.sleep(0.05)
    opened = sum(connection.up for connection in pool._open)
    memory = resident_bytes() - before
    pool.close()
    for listener in listeners:
        listener.close()
    if opened < MEMORY_CONNECTIONS:
        raise MeasurementError(f"{opened} of {MEMORY_CONNECTIONS} connections were opened")
    return memory / MEMORY_CONNECTIONS


def _listener() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(MEMORY_CONNECTIONS)
    return sock


_cost = partial(define_cost, "connections", "violetroute/upstream/pool.py")

SUBJECT = Subject(
    name="connections",
    per="node",
    costs=(
        _cost("open", "connections", "Open connections of one proxy to all its nodes."),
        _cost("opened_per_s", "1/s", "Connections that one proxy opens."),
        _cost("waited_share", "of requests", "Requests that waited for a connection to be opened."),
        _cost("memory_mb", "MB", "Resident memory of the open connections in the proxy."),
    ),
    sizes=(46, 200, 600, 1200, 2400),
    quick_sizes=(10, 20, 30, 46, 60),
    measure=measure,
)
