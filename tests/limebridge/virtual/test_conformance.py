"""The simulated kernel gives the same events as real loopback sockets.

The results of all simulations depend on this.  A script drives both ends of a connection through
the transport interface, once on each kind of socket, and records the events of both ends.  Times
and the sizes of receptions are not compared.
"""

from __future__ import annotations

import asyncio
import errno
import resource
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from limebridge.virtual import Kernel, VirtualLoop
from limebridge.virtual.net import network
from violetroute.transport import Address, Stream
from violetroute.transport.sockets import SocketNetwork

LOOPBACK = "127.0.0.1"
BIG = bytes(range(256)) * 32 * 1024  # 8 MiB: more than any socket buffer holds


class Endpoint:
    """Protocol of one end; it records events, and consecutive receptions as one event."""

    def __init__(self) -> None:
        self._buffer = memoryview(bytearray(65536))
        self.events: list[str] = []
        self.data = bytearray()
        self.stream: Stream | None = None
        self.changed = asyncio.Event()

    def _record(self, event: str) -> None:
        if not (self.events and self.events[-1] == event == "received"):
            self.events.append(event)
        self.changed.set()

    def opened(self) -> None:
        self._record("opened")

    def buffer(self) -> memoryview:
        return self._buffer

    def received(self, count: int) -> None:
        self.data += self._buffer[:count]
        self._record("received")

    def ended(self) -> None:
        self._record("ended")

    def drained(self) -> None:
        self._record("drained")

    def lost(self, error: OSError | None) -> None:
        self._record(
            "lost"
            if error is None or error.errno is None
            else f"lost {errno.errorcode[error.errno]}"
        )

    async def wait_until(self, condition: Callable[[], object]) -> None:
        async with asyncio.timeout(20.0):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    def has(self, prefix: str) -> bool:
        return any(event.startswith(prefix) for event in self.events)


class Endpoints:
    """A network with a listening socket; `pair` creates two connected ends."""

    def __init__(self, net: SocketNetwork, name: str) -> None:
        self.net, self.name = net, name
        self.acceptable = asyncio.Event()  # set when a connection can be accepted

    def listen(self, backlog: int = 16) -> None:
        self.listener = self.net.listen(Address(LOOPBACK, 0), backlog, self._ready)
        self.listener.watch(True)

    def _ready(self) -> None:
        self.acceptable.set()
        self.listener.watch(False)

    async def pair(self) -> tuple[Endpoint, Endpoint]:
        client, server = Endpoint(), Endpoint()
        self.acceptable.clear()
        self.listener.watch(True)
        client.stream = self.net.connect(self.listener.address, client, 5.0)
        async with asyncio.timeout(20.0):
            await self.acceptable.wait()
        server.stream = self.listener.accept(server)
        await client.wait_until(lambda: client.has("opened"))
        return client, server


Script = Callable[[Endpoints], Awaitable[object]]


def stream(end: Endpoint) -> Stream:
    assert end.stream is not None
    return end.stream


def linger(end: Endpoint) -> None:
    """Set SO_LINGER to 0, so that a close sends a reset."""
    end.stream._socket.setsockopt(  # type: ignore[union-attr]
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


async def exchange_and_close(endpoints: Endpoints) -> object:
    client, server = await endpoints.pair()
    assert stream(client).write(b"hello")
    await server.wait_until(lambda: server.data == b"hello")
    stream(server).write(b"yes")
    stream(server).close()
    await client.wait_until(lambda: client.has("ended"))
    stream(client).abort()
    await client.wait_until(lambda: client.has("lost"))
    await server.wait_until(lambda: server.has("lost"))
    return client.events, server.events, bytes(client.data), bytes(server.data)


async def back_pressure(endpoints: Endpoints) -> object:
    client, server = await endpoints.pair()
    stream(server).pause()
    all_taken = stream(client).write(BIG)
    has_unsent = stream(client).unsent > 0
    stream(server).resume()
    await server.wait_until(lambda: len(server.data) == len(BIG))
    await client.wait_until(lambda: client.has("drained"))
    stream(client).abort()
    await server.wait_until(lambda: server.has("ended"))
    stream(server).abort()
    await client.wait_until(lambda: client.has("lost"))
    return all_taken, has_unsent, client.events, server.data == BIG


async def half_close(endpoints: Endpoints) -> object:
    client, server = await endpoints.pair()
    stream(client).write(BIG)
    stream(client).end()
    await server.wait_until(lambda: server.has("ended"))
    whole = server.data == BIG
    stream(server).write(b"late")
    await client.wait_until(lambda: client.data == b"late")
    stream(server).close()
    await client.wait_until(lambda: client.has("ended"))
    stream(client).close()
    await client.wait_until(lambda: client.has("lost"))
    return whole, client.events, server.events


async def reset_with_unread(endpoints: Endpoints) -> object:
    """A close with unread input sends a reset; data sent before it still arrives."""
    client, server = await endpoints.pair()
    stream(server).pause()
    stream(client).write(b"never read")
    stream(server).write(b"answer")
    await client.wait_until(lambda: client.data == b"answer")
    await asyncio.sleep(0.05)
    stream(server).abort()
    await client.wait_until(lambda: client.has("lost"))
    return client.events, stream(client).write(b"x")


async def reset_by_linger(endpoints: Endpoints) -> object:
    client, server = await endpoints.pair()
    linger(server)
    stream(server).abort()
    await client.wait_until(lambda: client.has("lost"))
    return client.events


async def data_then_reset(endpoints: Endpoints) -> object:
    client, server = await endpoints.pair()
    stream(client).pause()
    stream(server).write(b"before the reset")
    await asyncio.sleep(0.05)
    linger(server)
    stream(server).abort()
    await asyncio.sleep(0.05)
    stream(client).resume()
    await client.wait_until(lambda: client.has("lost"))
    return bytes(client.data), client.events


async def reset_right_after_data(endpoints: Endpoints) -> object:
    """A reset discards only undelivered data; on an open path the data was delivered before."""
    client, server = await endpoints.pair()
    stream(server).write(b"just before")
    stream(server).abort(discard=True)
    await client.wait_until(lambda: client.has("lost"))
    return bytes(client.data), client.events


async def write_after_the_peer_closed(endpoints: Endpoints) -> object:
    client, server = await endpoints.pair()
    stream(client).pause()
    stream(server).abort()
    await asyncio.sleep(0.05)
    first = stream(client).write(b"accepted, although the peer has closed")
    await asyncio.sleep(0.05)
    second = stream(client).write(b"not accepted: the reset was received")
    await client.wait_until(lambda: client.has("lost"))
    return first, second, client.events


async def connection_refused(endpoints: Endpoints) -> object:
    endpoints.listener.close()
    client = Endpoint()
    client.stream = endpoints.net.connect(endpoints.listener.address, client, 5.0)
    at_once = list(client.events)
    await client.wait_until(lambda: client.events)
    return at_once, client.events


async def full_backlog(endpoints: Endpoints) -> object:
    """Without accept, Linux opens one connection more than the backlog; others get no response."""
    endpoints.listener.close()
    endpoints.listen(1)
    endpoints.listener.watch(False)
    ends = [Endpoint() for _ in range(4)]
    for end in ends:
        end.stream = endpoints.net.connect(endpoints.listener.address, end, 0.3)
        await asyncio.sleep(0.02)
    for end in ends:
        await end.wait_until(lambda end=end: end.events)  # type: ignore[misc]
    events = [list(end.events) for end in ends]
    for end in ends:
        stream(end).abort()
    return events


async def closed_in_the_backlog(endpoints: Endpoints) -> object:
    client = Endpoint()
    client.stream = endpoints.net.connect(endpoints.listener.address, client, 5.0)
    await client.wait_until(lambda: client.has("opened"))
    endpoints.listener.close()
    await client.wait_until(lambda: client.has("lost") or client.has("ended"))
    return client.events


async def peeks_for_pending_input(endpoints: Endpoints) -> object:
    client, server = await endpoints.pair()
    results = [stream(client).no_pending_input()]
    stream(client).pause()
    stream(server).write(b"x")
    await asyncio.sleep(0.05)
    results.append(stream(client).no_pending_input())
    stream(client).resume()
    await client.wait_until(lambda: client.data)
    results.append(stream(client).no_pending_input())
    stream(client).pause()
    stream(server).close()
    await asyncio.sleep(0.05)
    results.append(stream(client).no_pending_input())
    stream(client).abort()
    return results


async def reports_delivery(endpoints: Endpoints) -> object:
    client, server = await endpoints.pair()
    stream(client).write(b"small")
    await asyncio.sleep(0.1)
    seen = [stream(client).delivered()]
    stream(server).pause()
    stream(client).write(BIG)
    await asyncio.sleep(0.1)
    seen.append(stream(client).delivered())
    stream(server).resume()
    await server.wait_until(lambda: len(server.data) == len(BIG) + 5)
    await asyncio.sleep(0.1)
    seen.append(stream(client).delivered())
    stream(client).abort()
    return [*seen, stream(client).delivered()]


async def undelivered_data_times_out(endpoints: Endpoints) -> object:
    """TCP_USER_TIMEOUT ends the connection; delivered data stays with the peer."""
    client, server = await endpoints.pair()
    stream(client).deliver_within(0.25)
    stream(client).write(b"in time")
    await server.wait_until(lambda: server.data == b"in time")
    await asyncio.sleep(0.5)  # delivered data does not start the timeout
    events_before = list(client.events)
    stream(server).pause()
    stream(client).write(BIG)
    await client.wait_until(lambda: client.has("lost"))
    return events_before, client.events


async def cancelled_connect(endpoints: Endpoints) -> object:
    client = Endpoint()
    stream_ = endpoints.net.connect(endpoints.listener.address, client, 5.0)
    stream_.abort()
    await client.wait_until(lambda: client.events)
    await asyncio.sleep(0.05)
    return client.events


async def lowest_descriptor_first(endpoints: Endpoints) -> object:
    client, server = await endpoints.pair()
    number = stream(client).descriptor
    stream(client).abort()
    other = Endpoint()
    other.stream = endpoints.net.connect(endpoints.listener.address, other, 5.0)
    same = stream(other).descriptor == number
    stream(other).abort()
    stream(server).abort()
    return same


async def end_while_the_peer_writes(endpoints: Endpoints) -> object:
    """Both ends send all data and half-close; both receive everything."""
    client, server = await endpoints.pair()
    for one in (client, server):
        stream(one).write(BIG)
        stream(one).end()
    for one in (client, server):
        await one.wait_until(lambda one=one: one.has("ended"))  # type: ignore[misc]
    whole = client.data == server.data == BIG
    for one in (client, server):
        stream(one).close()
        await one.wait_until(lambda one=one: one.has("lost"))  # type: ignore[misc]
    return whole, sorted(set(client.events)), sorted(set(server.events))


async def peer_ended_behind_unread_input(endpoints: Endpoints) -> object:
    """`peer_ended` detects the peer's FIN or reset while reading is paused and input is unread.

    No event reports it then, and `no_pending_input` does not distinguish it from unread input.
    """
    seen = []
    for end in ("nothing", "half-close", "close", "reset"):
        client, server = await endpoints.pair()
        stream(server).pause()
        stream(client).write(b"sent and not read")
        while stream(server).no_pending_input():
            await asyncio.sleep(0.001)
        seen.append(stream(server).peer_ended())
        if end == "half-close":
            stream(client).end()
        elif end == "close":
            stream(client).close()
        elif end == "reset":
            linger(client)
            stream(client).abort()
        async with asyncio.timeout(20.0):
            while end != "nothing" and not stream(server).peer_ended():
                await asyncio.sleep(0.001)
        seen.append(stream(server).peer_ended())
        stream(server).abort()
        seen.append(stream(server).peer_ended())  # closed at this end, so the kernel is not queried
    return seen


SCRIPTS = (
    peer_ended_behind_unread_input,
    undelivered_data_times_out,
    exchange_and_close,
    back_pressure,
    half_close,
    reset_with_unread,
    reset_by_linger,
    data_then_reset,
    reset_right_after_data,
    write_after_the_peer_closed,
    connection_refused,
    full_backlog,
    closed_in_the_backlog,
    peeks_for_pending_input,
    reports_delivery,
    cancelled_connect,
    lowest_descriptor_first,
    end_while_the_peer_writes,
)


def run_script(
    net: Callable[[asyncio.AbstractEventLoop], SocketNetwork],
    loop: asyncio.AbstractEventLoop,
    script: Script,
) -> object:
    async def run() -> object:
        endpoints = Endpoints(net(loop), script.__name__)
        endpoints.listen()
        try:
            return await script(endpoints)
        finally:
            endpoints.listener.close()
            await asyncio.sleep(0)

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def run_simulated(script: Script, cut: bool = False, seed: int = 1) -> object:
    kernel = Kernel(seed)
    if cut:  # all paths split segments at random places and add jitter
        original_link = kernel.link

        def link(port: int) -> object:
            path = original_link(port)
            path.cut, path.jitter = True, 0.000_2
            return path

        kernel.link = link  # type: ignore[assignment, method-assign]
    return run_script(
        lambda loop: network(kernel, "p", loop, lambda: kernel.now),
        VirtualLoop(kernel, kernel.random("order")),
        script,
    )


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.__name__)
def test_real_and_simulated_networks_give_the_same_events(script: Script) -> None:
    real = run_script(SocketNetwork, asyncio.SelectorEventLoop(), script)
    assert run_simulated(script) == real
    assert run_simulated(script, cut=True, seed=2) == real


def test_lack_of_descriptors_gives_the_same_events() -> None:
    async def script(endpoints: Endpoints) -> object:
        client = Endpoint()
        endpoints.net.connect(endpoints.listener.address, client, 5.0)
        at_once = list(client.events)
        await client.wait_until(lambda: client.events)
        return at_once, client.events

    kernel = Kernel()
    kernel.limit("p", 1)  # used by the listening socket
    simulated = run_script(
        lambda loop: SocketNetwork(loop, make=kernel.maker("p")), VirtualLoop(kernel), script
    )
    loop = asyncio.SelectorEventLoop()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    async def limited(endpoints: Endpoints) -> object:
        with socket.socket() as probe:
            lowest_free = probe.fileno()
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
        try:
            return await script(endpoints)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    assert simulated == run_script(SocketNetwork, loop, limited) == ([], ["lost EMFILE"])
