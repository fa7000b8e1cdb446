"""The seam's promises on real sockets: what the kernel can do to a stream, caused."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import resource
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from tests.support.rig import until
from violetroute.transport import Address, Stream
from violetroute.transport.sockets import SocketNetwork

LOOPBACK = "127.0.0.1"


class Peer:
    """A handler that notes what it was told; `on` reacts from within the call."""

    def __init__(self, **on: Callable[[], None]) -> None:
        self._buffer = memoryview(bytearray(65536))
        self.told: list[str] = []
        self.data = bytearray()
        self.error: OSError | None = None
        self._on = on
        self.stream: Stream | None = None

    def _tell(self, name: str) -> None:
        assert "lost" not in self.told, f"{name} after the last word"
        self.told.append(name)
        if name in self._on:
            self._on[name]()

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
        self.error = error
        self._tell("lost")


def play(part: Callable[[SocketNetwork], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        faults: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, context: faults.append(context))
        before = len(os.listdir("/proc/self/fd"))
        await part(SocketNetwork(loop))
        await asyncio.sleep(0)
        assert len(os.listdir("/proc/self/fd")) == before, "a descriptor is left open"
        assert not faults

    asyncio.run(run())


def listening(backlog: int = 16) -> socket.socket:
    sock = socket.socket()
    sock.bind((LOOPBACK, 0))
    sock.listen(backlog)
    return sock


async def pair(net: SocketNetwork, peer: Peer) -> socket.socket:
    """`peer` connected to a plain socket, which is returned."""
    with listening() as door:
        peer.stream = net.connect(Address(LOOPBACK, door.getsockname()[1]), peer, 5.0)
        await until(lambda: "opened" in peer.told)
        far, _ = door.accept()
    return far


async def taken(far: socket.socket) -> int:
    """Bytes that come until the end."""
    loop, got = asyncio.get_running_loop(), 0
    while piece := await loop.sock_recv(far, 1 << 20):
        got += len(piece)
    return got


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def test_a_large_write_is_kept_and_follows_and_the_taking_is_told_once() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        far.setblocking(False)
        assert peer.stream is not None
        big = os.urandom(8 * 1024 * 1024)
        assert not peer.stream.write_all([b"head", big]), "no kernel takes that at once"
        assert not peer.stream.write(b"tail"), "behind what waits"
        assert 0 < peer.stream.unsent <= len(big) + 8
        got = bytearray()
        loop = asyncio.get_running_loop()
        while len(got) < len(big) + 8:
            got += await loop.sock_recv(far, 1 << 20)
        assert got == b"head" + big + b"tail"
        await until(lambda: "drained" in peer.told)
        assert peer.told == ["opened", "drained"] and not peer.stream.unsent
        assert peer.stream.write(b"small"), "the kernel has taken it"
        peer.stream.abort()
        await until(lambda: "lost" in peer.told)
        far.close()

    play(part)


def test_what_came_before_a_reset_is_read_although_a_write_failed_first() -> None:
    # asyncio's own transport closes at the failed write and throws the answer away.
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        assert peer.stream is not None
        peer.stream.pause()
        peer.stream.write(b"unread by the peer: its close becomes a reset")
        far.sendall(b"answer")
        far.close()
        peer.stream.resume()
        while peer.stream.write(b"x"):  # until the reset is known
            pass
        assert "lost" not in peer.told and peer.stream.unsent
        await until(lambda: "lost" in peer.told)
        assert peer.data == b"answer" and peer.error is not None

    play(part)


def test_a_failed_write_while_reading_is_paused_ends_the_stream() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        assert peer.stream is not None
        peer.stream.pause()
        reset(far)
        while peer.stream.write(b"x"):
            pass
        await until(lambda: "lost" in peer.told)
        assert peer.told == ["opened", "lost"]

    play(part)


def test_half_close_follows_what_was_written_and_reading_goes_on() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        far.setblocking(False)
        assert peer.stream is not None
        big = b"x" * (8 * 1024 * 1024)
        peer.stream.write(big)
        peer.stream.end()
        assert await taken(far) == len(big)
        await asyncio.get_running_loop().sock_sendall(far, b"late")
        far.shutdown(socket.SHUT_WR)
        await until(lambda: "ended" in peer.told)
        assert peer.data == b"late"
        peer.stream.close()
        await until(lambda: "lost" in peer.told)
        far.close()

    play(part)


def test_the_peers_half_close_while_our_write_waits_loses_nothing() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        far.setblocking(False)
        assert peer.stream is not None
        big = b"x" * (8 * 1024 * 1024)
        peer.stream.write(big)
        far.shutdown(socket.SHUT_WR)
        await until(lambda: "ended" in peer.told)
        peer.stream.close()
        assert "lost" not in peer.told
        assert await taken(far) == len(big)
        await until(lambda: "lost" in peer.told)
        assert peer.error is None
        far.close()

    play(part)


def test_one_callback_ends_itself_and_another_of_the_same_batch() -> None:
    async def part(net: SocketNetwork) -> None:
        streams: list[Peer] = []

        def all_end() -> None:
            for peer in streams:
                assert peer.stream is not None
                peer.stream.abort()

        fars = []
        for _ in range(2):
            streams.append(Peer(received=all_end))
            fars.append(await pair(net, streams[-1]))
        for far in fars:
            far.sendall(b"x")  # both are ready in the same poll
        await until(lambda: all("lost" in peer.told for peer in streams))
        assert sorted(peer.told.count("received") for peer in streams) == [0, 1]
        for far in fars:
            far.close()

    play(part)


def test_a_descriptor_number_reused_in_the_same_turn_gets_no_event_of_the_old() -> None:
    async def part(net: SocketNetwork) -> None:
        door = listening()
        address = Address(LOOPBACK, door.getsockname()[1])
        victims: list[Peer] = []
        fresh = Peer()

        def swap() -> None:
            if fresh.stream is None:  # the first of the two that is told
                for victim in victims:
                    assert victim.stream is not None
                numbers = {v.stream.descriptor for v in victims if v.stream is not None}
                for victim in victims:
                    assert victim.stream is not None
                    victim.stream.abort()
                fresh.stream = net.connect(address, fresh, 5.0)
                assert fresh.stream.descriptor in numbers

        fars = []
        for _ in range(2):
            victim = Peer(received=swap)
            victim.stream = net.connect(address, victim, 5.0)
            await until(lambda victim=victim: "opened" in victim.told)  # type: ignore[misc]
            fars.append(door.accept()[0])
            victims.append(victim)
        for far in fars:
            far.sendall(b"old")
        await until(lambda: "opened" in fresh.told)
        assert not fresh.data and fresh.told == ["opened"]
        assert fresh.stream is not None
        fresh.stream.abort()
        await until(lambda: "lost" in fresh.told)
        for sock in (*fars, door):
            sock.close()

    play(part)


def test_ten_thousand_connects_that_are_called_off_leave_nothing() -> None:
    async def part(net: SocketNetwork) -> None:
        door = listening(1)
        address = Address(LOOPBACK, door.getsockname()[1])
        peer_count = 0
        for _ in range(100):
            peers = [Peer() for _ in range(100)]
            for peer in peers:
                net.connect(address, peer, 5.0).abort()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            peer_count += sum(peer.told == ["lost"] for peer in peers)
        assert peer_count == 10_000
        door.close()
        loop: Any = asyncio.get_running_loop()
        assert sum(not timer._cancelled for timer in loop._scheduled) <= 1, "a timer is left"

    play(part)


def test_a_connect_that_nobody_answers_ends_at_its_limit() -> None:
    async def part(net: SocketNetwork) -> None:
        with listening(0) as door:
            address = Address(LOOPBACK, door.getsockname()[1])
            peers = [Peer() for _ in range(4)]  # more than the backlog: the rest get no answer
            for peer in peers:
                peer.stream = net.connect(address, peer, 0.2)
            await until(lambda: all(peer.told for peer in peers))
            late = [peer for peer in peers if peer.told == ["lost"]]
            assert late and all(p.error and p.error.errno == errno.ETIMEDOUT for p in late)
            for peer in peers:
                assert peer.stream is not None
                peer.stream.abort()
            await until(lambda: all("lost" in peer.told for peer in peers))

    play(part)


def test_a_refused_connect_is_told_later_and_never_opened() -> None:
    async def part(net: SocketNetwork) -> None:
        with listening() as door:
            address = Address(LOOPBACK, door.getsockname()[1])
        peer = Peer()
        peer.stream = net.connect(address, peer, 5.0)
        assert not peer.told, "never from within the call"
        await until(lambda: peer.told)
        assert peer.told == ["lost"] and isinstance(peer.error, ConnectionRefusedError)

    play(part)


def test_no_descriptor_left_is_an_end_for_a_connect_and_an_error_for_an_accept() -> None:
    async def part(net: SocketNetwork) -> None:
        waits: list[int] = []
        door = net.listen(Address(LOOPBACK, 0), 16, lambda: waits.append(1))
        door.watch(True)
        with socket.create_connection((LOOPBACK, door.address.port)) as far:
            await until(lambda: waits)
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            used = max(int(name) for name in os.listdir("/proc/self/fd")) + 1
            filler = []
            resource.setrlimit(resource.RLIMIT_NOFILE, (used, hard))
            try:
                with pytest.raises(OSError) as raised:
                    while True:
                        filler.append(os.dup(0))
                assert raised.value.errno == errno.EMFILE
                peer = Peer()
                net.connect(door.address, peer, 5.0)
                assert not peer.told
                with pytest.raises(OSError, match="Too many"):
                    door.accept(Peer())
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                for number in filler:
                    os.close(number)
            await until(lambda: peer.told)
            assert peer.told == ["lost"]
            assert peer.error is not None and peer.error.errno == errno.EMFILE
            taken = Peer()
            stream = door.accept(taken)  # who waited goes on waiting
            assert stream is not None
            far.sendall(b"hello")
            await until(lambda: taken.data == b"hello")
            stream.abort()
            await until(lambda: "lost" in taken.told)
        door.close()

    play(part)


def test_who_has_reset_before_the_accept_ends_like_any_other() -> None:
    async def part(net: SocketNetwork) -> None:
        door = net.listen(Address(LOOPBACK, 0), 16, lambda: None)
        reset(socket.create_connection((LOOPBACK, door.address.port)))
        peer = Peer()
        assert door.accept(peer) is not None
        await until(lambda: "lost" in peer.told)
        assert peer.told == ["lost"] and isinstance(peer.error, ConnectionResetError)
        door.close()

    play(part)


def test_a_fault_of_one_owner_ends_its_stream_and_no_other() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        faults: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, context: faults.append(context))
        net = SocketNetwork(loop)

        def fails() -> None:
            raise ValueError("ours")

        one, other = Peer(received=fails), Peer()
        fars = [await pair(net, one), await pair(net, other)]
        for far in fars:
            far.sendall(b"x")
        await until(lambda: "lost" in one.told and other.data)
        assert len(faults) == 1 and "lost" not in other.told
        assert other.stream is not None
        other.stream.abort()
        await until(lambda: "lost" in other.told)
        for far in fars:
            far.close()

    asyncio.run(run())


def test_quiet_tells_of_what_the_loop_has_not_yet_told() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        assert peer.stream is not None and peer.stream.no_pending_input()
        far.sendall(b"x")
        assert not peer.stream.no_pending_input()
        await until(lambda: peer.data)
        assert peer.stream.no_pending_input()
        far.close()
        assert not peer.stream.no_pending_input()
        await until(lambda: "ended" in peer.told)
        peer.stream.abort()
        assert not peer.stream.no_pending_input()
        await until(lambda: "lost" in peer.told)

    play(part)


def test_after_the_end_every_call_does_nothing_and_says_so() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        stream = peer.stream
        assert stream is not None and not stream.closing and stream.descriptor > 0
        stream.abort()
        assert stream.closing and stream.descriptor == -1, "at once"
        assert not stream.write(b"x") and not stream.write_all([b"y" * 9000, b"z"])
        assert stream.unsent == 9002, "never taken"
        for call in (stream.pause, stream.resume, stream.end, stream.close, stream.abort):
            call()
        await until(lambda: "lost" in peer.told)
        assert peer.told == ["opened", "lost"]
        assert await asyncio.get_running_loop().run_in_executor(None, far.recv, 10) == b""
        far.close()

    play(part)


def test_nothing_is_received_while_a_close_waits_for_the_kernel() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        far.setblocking(False)
        assert peer.stream is not None
        peer.stream.write(b"x" * (8 * 1024 * 1024))
        peer.stream.close()
        assert peer.stream.closing and "lost" not in peer.told
        far.sendall(b"too late")
        with contextlib.suppress(ConnectionResetError):  # as input was unread at the close
            await taken(far)
        await until(lambda: "lost" in peer.told)
        assert peer.told == ["opened", "lost"] and not peer.data
        far.close()

    play(part)


def test_a_failed_write_is_not_taken_however_it_is_made() -> None:
    async def part(net: SocketNetwork) -> None:
        for write in ("write", "write_all"):
            peer = Peer()
            far = await pair(net, peer)
            assert peer.stream is not None
            peer.stream.pause()
            reset(far)
            data: Any = b"x" * 10_000 if write == "write" else [b"x" * 9000, b"x" * 1000]
            assert not getattr(peer.stream, write)(data), "the reset has come"
            assert peer.stream.unsent == 10_000
            peer.stream.end()
            await until(lambda peer=peer: "lost" in peer.told)  # type: ignore[misc]
            assert peer.error is not None

    play(part)


def test_a_half_close_of_what_was_reset_is_told() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        assert peer.stream is not None
        peer.stream.pause()
        reset(far)
        peer.stream.end()
        await until(lambda: "lost" in peer.told)
        assert isinstance(peer.error, OSError)

    play(part)


def test_discarding_sends_a_reset_in_place_of_what_is_left() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        far = await pair(net, peer)
        assert peer.stream is not None
        peer.stream.write(b"x" * (8 * 1024 * 1024))
        peer.stream.abort(discard=True)
        with pytest.raises(ConnectionResetError):
            while far.recv(1 << 20):
                pass
        await until(lambda: "lost" in peer.told)
        far.close()

    play(part)


def test_priority_ends_with_the_stream_and_is_nobody_elses() -> None:
    async def part(net: SocketNetwork) -> None:
        prefers: dict[int, bool] = {}
        net.turns.prefer = prefers.__setitem__  # type: ignore[method-assign]
        door = net.listen(Address(LOOPBACK, 0), 4, lambda: None)
        first, usual, taken = Peer(), Peer(), Peer()
        first.stream = net.connect(door.address, first, 5.0, first=True)
        number = first.stream.descriptor
        usual.stream = net.connect(door.address, usual, 5.0)
        await until(lambda: "opened" in first.told and "opened" in usual.told)
        accepted = door.accept(taken)
        assert accepted is not None and prefers == {number: True}
        for stream in (first.stream, usual.stream, accepted):
            stream.abort()
        assert prefers == {number: False}
        await until(lambda: "lost" in taken.told)
        door.close()

    play(part)


def test_a_listener_that_cannot_be_leaves_no_descriptor() -> None:
    async def part(net: SocketNetwork) -> None:
        with listening() as door, pytest.raises(OSError, match="in use"):
            net.listen(Address(LOOPBACK, door.getsockname()[1]), 4, lambda: None)

    play(part)


def test_reading_asked_for_while_connecting_waits_for_the_connection() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        with listening() as door:
            peer.stream = net.connect(Address(LOOPBACK, door.getsockname()[1]), peer, 5.0)
            peer.stream.resume()
            await until(lambda: peer.told)
            assert peer.told == ["opened"]
            far, _ = door.accept()
        far.sendall(b"x")
        await until(lambda: peer.data)
        peer.stream.abort()
        await until(lambda: "lost" in peer.told)
        far.close()

    play(part)
