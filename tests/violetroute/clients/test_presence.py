"""Clients that write much and close at once: their close may be behind unread data."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import random
import socket
import sys
import time
from collections.abc import Callable
from termios import FIONREAD

import pytest

from tests.support import stall_free_loop
from tests.support.rig import CacheNode, Rig, put, read_answer, serves, wait_until
from violetroute.clients.presence import MAX_UNSEEN_TIME, QUIET_TIME, ClientPresence
from violetroute.transport.tcp_info import ReceiveWindow, receive_window
from violetroute.upstream import Attempt
from violetroute.upstream.connection import NodeConnection

DEPARTURE_LIMIT = 0.1  # s after a client's close in which the last attempt may be sent
BUFFER = 128 * 1024  # bytes of a receive buffer
SIOCOUTQNSD = 0x894B  # linux/sockios.h
Sent = list[tuple[float, bytes]]


@pytest.fixture
def sent(monkeypatch: pytest.MonkeyPatch) -> Sent:
    """The time and id of each attempt, when its first byte is sent."""
    attempts: Sent = []
    run = NodeConnection.run

    def recorded(self: NodeConnection, attempt: Attempt) -> None:
        attempts.append((self._pool.loop.time(), attempt.command.id))
        run(self, attempt)

    monkeypatch.setattr(NodeConnection, "run", recorded)
    return attempts


async def slow(words: list[bytes], writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.12)
    await serves(words, writer)


def saves(client: int, count: int, size: int) -> bytes:
    return b"".join(put(1000 * client + number, b"v" * size) for number in range(count))


async def write_and_leave(rig: Rig, data: bytes, half_close: bool, stays_s: float = 0.0) -> float:
    """Write on a new connection, and close it `stays_s` seconds later; returns when."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", rig.port))
        await loop.sock_sendall(sock, data)
        await asyncio.sleep(stays_s)
        left_at = loop.time()
        if half_close:
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(3 * DEPARTURE_LIMIT)
    return left_at


@pytest.mark.parametrize("half_close", [False, True])
@pytest.mark.parametrize(
    ("clients", "count", "size", "memory_mb", "stays_s"),
    [
        (12, 60, 16_000, 192, 0.0),
        (12, 40, 60_000, 192, 0.0),
        (6, 60, 60_000, 32, 0.0),
        (20, 100, 3000, 64, 0.0),
        (12, 60, 60_000, 192, 0.05),
    ],
)
def test_nothing_is_sent_for_clients_that_wrote_much_and_closed(
    sent: Sent,
    clients: int,
    count: int,
    size: int,
    memory_mb: int,
    stays_s: float,
    half_close: bool,
) -> None:
    # Guards against a fault that operators reported: up to 43% of the saves of such clients began
    # over 0.1 s after the close, which the kernel had not received behind the unread saves.
    async def run() -> None:
        async with Rig(CacheNode(slow), memory_mb=memory_mb, sockets=1024) as rig:
            written = [saves(client, count, size) for client in range(clients)]
            left = await asyncio.gather(
                *(write_and_leave(rig, data, half_close, stays_s) for data in written)
            )
            await wait_until(lambda: not rig.listener.connections)
            await wait_until(lambda: not rig.proxy.open_requests)
            assert not rig.listener.budget.used and not rig.listener.turn_share.waiting
        late = [at - left[int(name[2:]) // 1000] for at, name in sent]
        assert sent and max(late) <= DEPARTURE_LIMIT

    stall_free_loop.run(run())


@pytest.mark.parametrize(("clients", "count", "size"), [(1, 60, 60_000), (6, 20, 16_000)])
def test_clients_that_write_much_and_stay_are_answered(clients: int, count: int, size: int) -> None:
    # Their input is read ahead until it is certain that they are there.
    async def client(rig: Rig, number: int) -> None:
        reader, writer = await rig.client()
        writer.write(saves(number, count, size))
        served = 0
        for place in range(count):
            answer = await read_answer(reader)
            served += answer == b"value of id%d" % (1000 * number + place)
            assert answer.startswith((b"value of id", b"-BUSY"))
        assert served > count / 2
        writer.close()

    async def run() -> None:
        nodes = [CacheNode() for _ in range(4)]
        async with Rig(*nodes, memory_mb=192, sockets=1024) as rig:
            await asyncio.gather(*(client(rig, number) for number in range(clients)))
            await wait_until(lambda: not rig.listener.budget.used)

    stall_free_loop.run(run())


# The window of a usual path, of a loopback path, and one that the kernel does not report.
ETHERNET = ReceiveWindow(advertised=64_000, segment=1_448, longest_segment=1_448)
LOOPBACK = ReceiveWindow(advertised=65_483, segment=32_741, longest_segment=65_483)
WINDOWS = [ETHERNET, None]


class FakeStream:
    def __init__(self, window: ReceiveWindow | None) -> None:
        self.unread, self.has_ended, self.window = 0, False, window

    def peer_ended(self) -> bool:
        return self.has_ended

    def unread_bytes(self) -> int:
        return self.unread

    def receive_buffer(self) -> int:
        return BUFFER

    def receive_window(self) -> ReceiveWindow | None:
        return self.window


class Scene:
    """A connection that was accepted at 10 s, with a clock that moves by `after`."""

    def __init__(self, window: ReceiveWindow | None = ETHERNET) -> None:
        self.presence, self.stream, self.now = ClientPresence(), FakeStream(window), 10.0
        self.presence.accepted(self.now)

    def read(self, count: int, emptied: bool) -> None:
        self.presence.read(count, emptied, self.now, self.now, self.stream)

    def after(self, seconds: float) -> bool:
        """Whether the client may have left, so much later."""
        self.now += seconds
        return self.presence.may_have_left(self.stream, self.now)


def busy_with_small_reads(scene: Scene) -> None:
    for _ in range(1000):
        scene.now += 0.005
        scene.read(1000, True)


def idle(scene: Scene) -> None:
    scene.read(100, True)
    scene.now += 60.0


def paused_with_little_unread(scene: Scene) -> None:
    scene.read(100, True)
    scene.presence.pause_reading(scene.now)
    scene.stream.unread = 1000
    scene.now += 5.0


def long_saves_with_gaps(scene: Scene) -> None:
    for _ in range(50):
        scene.now += 0.02
        for _ in range(3):
            scene.read(16 * 1024, False)
        scene.read(12 * 1024, True)
        scene.now += QUIET_TIME


@pytest.mark.parametrize("window", WINDOWS, ids=["ethernet", "unknown"])
@pytest.mark.parametrize(
    "behaviour", [busy_with_small_reads, idle, paused_with_little_unread, long_saves_with_gaps]
)
def test_the_client_of_an_ordinary_connection_is_certain_to_be_there(
    behaviour: Callable[[Scene], None], window: ReceiveWindow | None
) -> None:
    scene = Scene(window)
    behaviour(scene)
    assert not scene.after(0.0)
    scene.read(100, True)
    assert not scene.after(0.0) and not scene.after(2 * MAX_UNSEEN_TIME)


@pytest.mark.parametrize("window", WINDOWS, ids=["ethernet", "unknown"])
@pytest.mark.parametrize("paused", [False, True])
def test_a_client_is_uncertain_while_much_is_unread_and_for_a_moment_after(
    paused: bool, window: ReceiveWindow | None
) -> None:
    scene = Scene(window)
    scene.stream.unread = BUFFER
    scene.read(16 * 1024, False)
    if paused:
        scene.presence.pause_reading(scene.now)
    assert not scene.after(MAX_UNSEEN_TIME * 0.9)
    assert scene.after(MAX_UNSEEN_TIME * 0.2)
    scene.stream.unread = 0
    scene.read(BUFFER, True)
    assert scene.after(0.0) and scene.after(QUIET_TIME * 0.9)
    assert not scene.after(QUIET_TIME * 0.2)


@pytest.mark.parametrize(
    "window",
    [
        LOOPBACK,
        ReceiveWindow(advertised=0, segment=1_448, longest_segment=1_448),
        ReceiveWindow(advertised=3_000, segment=1_448, longest_segment=1_448),
    ],
    ids=["longer segments than the window", "closed", "half a segment left"],
)
def test_a_client_is_uncertain_while_little_is_unread_behind_a_shut_window(
    window: ReceiveWindow,
) -> None:
    # Guards against saves that were sent up to 0.29 s after the close: little unread input counted
    # as an open window, while segments of loopback need 64 KB of it.
    scene = Scene(window)
    scene.read(100, True)
    scene.presence.pause_reading(scene.now)
    scene.stream.unread = 9000
    assert not scene.after(MAX_UNSEEN_TIME * 0.9)
    assert scene.after(MAX_UNSEEN_TIME * 0.2)
    scene.stream.unread = 0
    scene.read(9000, True)  # this opens the window, and the rest of the input is on its way
    assert scene.after(0.0) and scene.after(QUIET_TIME * 0.9)
    assert not scene.after(QUIET_TIME * 0.2)


def test_a_client_that_sends_single_bytes_while_it_is_not_read_becomes_certain() -> None:
    # Each byte, read after a pause, counted as the end of a shut window, so that commands behind a
    # shortage of memory waited for good.
    scene = Scene(LOOPBACK)
    for _ in range(20):
        scene.presence.pause_reading(scene.now)
        scene.now += QUIET_TIME
        scene.read(1, True)
    scene.presence.pause_reading(scene.now)
    assert not scene.after(MAX_UNSEEN_TIME * 2)


@pytest.mark.parametrize("window", WINDOWS, ids=["ethernet", "unknown"])
def test_a_close_behind_little_unread_input_is_seen(window: ReceiveWindow | None) -> None:
    scene = Scene(window)
    scene.presence.pause_reading(scene.now)
    scene.stream.unread = 1000
    assert not scene.after(5.0)
    scene.stream.has_ended = True
    assert scene.after(0.0)


def held_back(sock: socket.socket) -> int:
    """The bytes that the sender's kernel has not sent yet (SIOCOUTQNSD)."""
    return int.from_bytes(fcntl.ioctl(sock, SIOCOUTQNSD, b"\0" * 4), sys.byteorder)


@pytest.mark.parametrize("seed", range(20))
def test_a_sender_is_not_held_back_while_its_window_has_room(seed: int) -> None:
    """The kernel's own word on a real connection, with reads of any size at any time."""
    rng = random.Random(seed)
    with socket.create_server(("127.0.0.1", 0)) as server:
        sender = socket.create_connection(server.getsockname())
        receiver, _ = server.accept()
    with sender, receiver:
        sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sender.setblocking(False)
        receiver.setblocking(False)
        left = rng.choice((20_000, 150_000, 600_000, 3_600_000))
        for _ in range(400):
            with contextlib.suppress(BlockingIOError):
                left -= sender.send(b"v" * min(left, rng.choice((1000, 16_000, 262_144))))
            with contextlib.suppress(BlockingIOError):
                receiver.recv(rng.choice((1000, 16_384, 65_536)))
            unread = int.from_bytes(fcntl.ioctl(receiver, FIONREAD, b"\0" * 4), sys.byteorder)
            window = receive_window(receiver)
            if not unread or (window is not None and window.has_room(unread)):
                # A window update that was sent just now may be handled on another core.
                until = time.monotonic() + QUIET_TIME
                while held_back(sender) and time.monotonic() < until:
                    pass
                assert not held_back(sender)


def test_the_window_of_a_socket_that_is_no_tcp_connection_is_unknown() -> None:
    one, other = socket.socketpair()
    with one, other:
        assert receive_window(one) is None
