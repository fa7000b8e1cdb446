"""One script on real loopback sockets and on the virtual kernel: each side sees the same.

This is what makes a simulated morning worth believing.  A script plays two ends through the
seam and notes what each was told, without times and without how bytes were cut.
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
BIG = bytes(range(256)) * 32 * 1024  # 8 MiB: more than any buffer takes


class End:
    """Notes what it is told; runs of bytes count once."""

    def __init__(self) -> None:
        self._buffer = memoryview(bytearray(65536))
        self.saw: list[str] = []
        self.data = bytearray()
        self.stream: Stream | None = None
        self.changed = asyncio.Event()

    def _tell(self, what: str) -> None:
        if not (self.saw and self.saw[-1] == what == "received"):
            self.saw.append(what)
        self.changed.set()

    def opened(self) -> None:
        self._tell("opened")

    def buffer(self) -> memoryview:
        return self._buffer

    def received(self, count: int) -> None:
        self.data += self._buffer[:count]
        self._tell("received")

    def ended(self) -> None:
        self._tell("ended")

    def drained(self) -> None:
        self._tell("drained")

    def lost(self, error: OSError | None) -> None:
        self._tell(
            "lost"
            if error is None or error.errno is None
            else f"lost {errno.errorcode[error.errno]}"
        )

    async def until(self, true: Callable[[], object]) -> None:
        async with asyncio.timeout(20.0):
            while not true():
                self.changed.clear()
                await self.changed.wait()

    def has(self, what: str) -> bool:
        return any(word.startswith(what) for word in self.saw)


class World:
    """A network, and a way to make two connected ends."""

    def __init__(self, net: SocketNetwork, name: str) -> None:
        self.net, self.name = net, name
        self.waiting = asyncio.Event()

    def listen(self, backlog: int = 16) -> None:
        self.door = self.net.listen(Address(LOOPBACK, 0), backlog, self._ready)
        self.door.watch(True)

    def _ready(self) -> None:
        self.waiting.set()
        self.door.watch(False)

    async def pair(self) -> tuple[End, End]:
        near, far = End(), End()
        self.waiting.clear()
        self.door.watch(True)
        near.stream = self.net.connect(self.door.address, near, 5.0)
        async with asyncio.timeout(20.0):
            await self.waiting.wait()
        far.stream = self.door.accept(far)
        await near.until(lambda: near.has("opened"))
        return near, far


Script = Callable[[World], Awaitable[object]]


def stream(end: End) -> Stream:
    assert end.stream is not None
    return end.stream


def linger(end: End) -> None:
    """Make its close a reset."""
    end.stream._socket.setsockopt(  # type: ignore[union-attr]
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


async def hello_and_close(world: World) -> object:
    near, far = await world.pair()
    assert stream(near).write(b"hello")
    await far.until(lambda: far.data == b"hello")
    stream(far).write(b"yes")
    stream(far).close()
    await near.until(lambda: near.has("ended"))
    stream(near).abort()
    await near.until(lambda: near.has("lost"))
    await far.until(lambda: far.has("lost"))
    return near.saw, far.saw, bytes(near.data), bytes(far.data)


async def back_pressure(world: World) -> object:
    near, far = await world.pair()
    stream(far).pause()
    taken = stream(near).write(BIG)
    held = stream(near).unsent > 0
    stream(far).resume()
    await far.until(lambda: len(far.data) == len(BIG))
    await near.until(lambda: near.has("drained"))
    stream(near).abort()
    await far.until(lambda: far.has("ended"))
    stream(far).abort()
    await near.until(lambda: near.has("lost"))
    return taken, held, near.saw, far.data == BIG


async def half_close(world: World) -> object:
    near, far = await world.pair()
    stream(near).write(BIG)
    stream(near).end()
    await far.until(lambda: far.has("ended"))
    whole = far.data == BIG
    stream(far).write(b"late")
    await near.until(lambda: near.data == b"late")
    stream(far).close()
    await near.until(lambda: near.has("ended"))
    stream(near).close()
    await near.until(lambda: near.has("lost"))
    return whole, near.saw, far.saw


async def reset_with_unread(world: World) -> object:
    """A close with input unread is a reset; what was sent before it still arrives."""
    near, far = await world.pair()
    stream(far).pause()
    stream(near).write(b"never read")
    stream(far).write(b"answer")
    await near.until(lambda: near.data == b"answer")
    await asyncio.sleep(0.05)
    stream(far).abort()
    await near.until(lambda: near.has("lost"))
    return near.saw, stream(near).write(b"x")


async def reset_by_linger(world: World) -> object:
    near, far = await world.pair()
    linger(far)
    stream(far).abort()
    await near.until(lambda: near.has("lost"))
    return near.saw


async def data_then_reset(world: World) -> object:
    near, far = await world.pair()
    stream(near).pause()
    stream(far).write(b"before the reset")
    await asyncio.sleep(0.05)
    linger(far)
    stream(far).abort()
    await asyncio.sleep(0.05)
    stream(near).resume()
    await near.until(lambda: near.has("lost"))
    return bytes(near.data), near.saw


async def reset_right_behind_data(world: World) -> object:
    """Thrown away is what has not crossed; on a path that is open it has."""
    near, far = await world.pair()
    stream(far).write(b"just before")
    stream(far).abort(discard=True)
    await near.until(lambda: near.has("lost"))
    return bytes(near.data), near.saw


async def write_after_the_peer_closed(world: World) -> object:
    near, far = await world.pair()
    stream(near).pause()
    stream(far).abort()
    await asyncio.sleep(0.05)
    first = stream(near).write(b"taken, though nobody is there")
    await asyncio.sleep(0.05)
    second = stream(near).write(b"not taken: the reset has come")
    await near.until(lambda: near.has("lost"))
    return first, second, near.saw


async def refused(world: World) -> object:
    world.door.close()
    near = End()
    near.stream = world.net.connect(world.door.address, near, 5.0)
    at_once = list(near.saw)
    await near.until(lambda: near.saw)
    return at_once, near.saw


async def full_backlog(world: World) -> object:
    """Nobody accepts: one more than the backlog stands, the next has no answer."""
    world.door.close()
    world.listen(1)
    world.door.watch(False)
    ends = [End() for _ in range(4)]
    for end in ends:
        end.stream = world.net.connect(world.door.address, end, 0.3)
        await asyncio.sleep(0.02)
    for end in ends:
        await end.until(lambda end=end: end.saw)  # type: ignore[misc]
    saw = [list(end.saw) for end in ends]
    for end in ends:
        stream(end).abort()
    return saw


async def closed_in_the_backlog(world: World) -> object:
    near = End()
    near.stream = world.net.connect(world.door.address, near, 5.0)
    await near.until(lambda: near.has("opened"))
    world.door.close()
    await near.until(lambda: near.has("lost") or near.has("ended"))
    return near.saw


async def peeks(world: World) -> object:
    near, far = await world.pair()
    quiet = [stream(near).no_pending_input()]
    stream(near).pause()
    stream(far).write(b"x")
    await asyncio.sleep(0.05)
    quiet.append(stream(near).no_pending_input())
    stream(near).resume()
    await near.until(lambda: near.data)
    quiet.append(stream(near).no_pending_input())
    stream(near).pause()
    stream(far).close()
    await asyncio.sleep(0.05)
    quiet.append(stream(near).no_pending_input())
    stream(near).abort()
    return quiet


async def tells_what_arrived(world: World) -> object:
    near, far = await world.pair()
    stream(near).write(b"small")
    await asyncio.sleep(0.1)
    seen = [stream(near).delivered()]
    stream(far).pause()
    stream(near).write(BIG)
    await asyncio.sleep(0.1)
    seen.append(stream(near).delivered())
    stream(far).resume()
    await far.until(lambda: len(far.data) == len(BIG) + 5)
    await asyncio.sleep(0.1)
    seen.append(stream(near).delivered())
    stream(near).abort()
    return [*seen, stream(near).delivered()]


async def ends_what_is_not_delivered(world: World) -> object:
    """The kernel's own clock ends it; what the peer has got by then it keeps."""
    near, far = await world.pair()
    stream(near).deliver_within(0.25)
    stream(near).write(b"in time")
    await far.until(lambda: far.data == b"in time")
    await asyncio.sleep(0.5)  # delivered: it may stand for longer than that
    told = list(near.saw)
    stream(far).pause()
    stream(near).write(BIG)
    await near.until(lambda: near.has("lost"))
    return told, near.saw


async def called_off(world: World) -> object:
    near = End()
    stream_ = world.net.connect(world.door.address, near, 5.0)
    stream_.abort()
    await near.until(lambda: near.saw)
    await asyncio.sleep(0.05)
    return near.saw


async def lowest_descriptor_first(world: World) -> object:
    near, far = await world.pair()
    number = stream(near).descriptor
    stream(near).abort()
    other = End()
    other.stream = world.net.connect(world.door.address, other, 5.0)
    same = stream(other).descriptor == number
    stream(other).abort()
    stream(far).abort()
    return same


async def end_while_the_peer_writes(world: World) -> object:
    """Both half-close; both get all."""
    near, far = await world.pair()
    for one in (near, far):
        stream(one).write(BIG)
        stream(one).end()
    for one in (near, far):
        await one.until(lambda one=one: one.has("ended"))  # type: ignore[misc]
    whole = near.data == far.data == BIG
    for one in (near, far):
        stream(one).close()
        await one.until(lambda one=one: one.has("lost"))  # type: ignore[misc]
    return whole, sorted(set(near.saw)), sorted(set(far.saw))


async def ended_behind_what_is_not_read(world: World) -> object:
    """What no event tells while reading is paused, and what a quiet look does not tell apart."""
    seen = []
    for end in ("nothing", "half-close", "close", "reset"):
        near, far = await world.pair()
        stream(far).pause()
        stream(near).write(b"asked and not read")
        while stream(far).no_pending_input():
            await asyncio.sleep(0.001)
        seen.append(stream(far).peer_ended())
        if end == "half-close":
            stream(near).end()
        elif end == "close":
            stream(near).close()
        elif end == "reset":
            linger(near)
            stream(near).abort()
        async with asyncio.timeout(20.0):
            while end != "nothing" and not stream(far).peer_ended():
                await asyncio.sleep(0.001)
        seen.append(stream(far).peer_ended())
        stream(far).abort()
        seen.append(stream(far).peer_ended())  # ours: nobody is asked any more
    return seen


SCRIPTS = (
    ended_behind_what_is_not_read,
    ends_what_is_not_delivered,
    hello_and_close,
    back_pressure,
    half_close,
    reset_with_unread,
    reset_by_linger,
    data_then_reset,
    reset_right_behind_data,
    write_after_the_peer_closed,
    refused,
    full_backlog,
    closed_in_the_backlog,
    peeks,
    tells_what_arrived,
    called_off,
    lowest_descriptor_first,
    end_while_the_peer_writes,
)


def in_the_world(
    net: Callable[[asyncio.AbstractEventLoop], SocketNetwork],
    loop: asyncio.AbstractEventLoop,
    script: Script,
) -> object:
    async def run() -> object:
        world = World(net(loop), script.__name__)
        world.listen()
        try:
            return await script(world)
        finally:
            world.door.close()
            await asyncio.sleep(0)

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def virtual(script: Script, cut: bool = False, seed: int = 1) -> object:
    kernel = Kernel(seed)
    if cut:  # paths that cut segments anywhere and let them come unevenly
        plain = kernel.link

        def link(port: int) -> object:
            found = plain(port)
            found.cut, found.jitter = True, 0.000_2
            return found

        kernel.link = link  # type: ignore[assignment, method-assign]
    return in_the_world(
        lambda loop: network(kernel, "p", loop, lambda: kernel.now),
        VirtualLoop(kernel, kernel.random("order")),
        script,
    )


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.__name__)
def test_both_networks_show_the_same(script: Script) -> None:
    real = in_the_world(SocketNetwork, asyncio.SelectorEventLoop(), script)
    assert virtual(script) == real
    assert virtual(script, cut=True, seed=2) == real


def test_no_descriptor_is_told_alike() -> None:
    async def script(world: World) -> object:
        near = End()
        world.net.connect(world.door.address, near, 5.0)
        at_once = list(near.saw)
        await near.until(lambda: near.saw)
        return at_once, near.saw

    kernel = Kernel()
    kernel.limit("p", 1)  # the door's
    seen = in_the_world(
        lambda loop: SocketNetwork(loop, make=kernel.maker("p")), VirtualLoop(kernel), script
    )
    loop = asyncio.SelectorEventLoop()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    async def limited(world: World) -> object:
        with socket.socket() as probe:
            free = probe.fileno()
        resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
        try:
            return await script(world)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    assert seen == in_the_world(SocketNetwork, loop, limited) == ([], ["lost EMFILE"])
