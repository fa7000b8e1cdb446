"""The guarantees of the transport interface on real sockets, under kernel events and errors."""

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

from tests.support.rig import wait_until
from violetroute.transport import Address, Stream
from violetroute.transport.sockets import SocketNetwork

LOOPBACK = "127.0.0.1"


class Peer:
    """A handler that records its callbacks; `on` runs code within them."""

    def __init__(self, **on: Callable[[], None]) -> None:
        self._buffer = memoryview(bytearray(65536))
        self.callbacks: list[str] = []
        self.data = bytearray()
        self.error: OSError | None = None
        self._on = on
        self.stream: Stream | None = None

    def _record(self, name: str) -> None:
        assert "lost" not in self.callbacks, f"{name} after the last word"
        self.callbacks.append(name)
        if name in self._on:
            self._on[name]()

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
        self.error = error
        self._record("lost")


def run_scenario(part: Callable[[SocketNetwork], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        faults: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, context: faults.append(context))
        before = len(os.listdir("/proc/self/fd"))
        await part(SocketNetwork(loop))
        await asyncio.sleep(0)
        assert len(os.listdir("/proc/self/fd")) == before, "a descriptor leaked"
        assert not faults

    asyncio.run(run())


def listening(backlog: int = 16) -> socket.socket:
    sock = socket.socket()
    sock.bind((LOOPBACK, 0))
    sock.listen(backlog)
    return sock


async def pair(net: SocketNetwork, peer: Peer) -> socket.socket:
    """Connect `peer` to a plain socket, which is returned."""
    with listening() as listener:
        peer.stream = net.connect(Address(LOOPBACK, listener.getsockname()[1]), peer, 5.0)
        await wait_until(lambda: "opened" in peer.callbacks)
        remote, _ = listener.accept()
    return remote


async def count_received(remote: socket.socket) -> int:
    """The number of bytes received until the end."""
    loop, got = asyncio.get_running_loop(), 0
    while piece := await loop.sock_recv(remote, 1 << 20):
        got += len(piece)
    return got


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def test_a_large_write_is_buffered_and_drained_is_called_once() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        remote.setblocking(False)
        assert peer.stream is not None
        big = os.urandom(8 * 1024 * 1024)
        assert not peer.stream.write_all([b"head", big]), "larger than the kernel's buffer"
        assert not peer.stream.write(b"tail"), "buffered after the earlier data"
        assert 0 < peer.stream.unsent <= len(big) + 8
        got = bytearray()
        loop = asyncio.get_running_loop()
        while len(got) < len(big) + 8:
            got += await loop.sock_recv(remote, 1 << 20)
        assert got == b"head" + big + b"tail"
        await wait_until(lambda: "drained" in peer.callbacks)
        assert peer.callbacks == ["opened", "drained"] and not peer.stream.unsent
        assert peer.stream.write(b"small"), "the kernel has taken it"
        peer.stream.abort()
        await wait_until(lambda: "lost" in peer.callbacks)
        remote.close()

    run_scenario(part)


def test_data_received_before_a_reset_is_read_after_a_failed_write() -> None:
    # An asyncio transport would close at the failed write and discard the received data.
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        assert peer.stream is not None
        peer.stream.pause()
        peer.stream.write(b"unread by the peer: its close becomes a reset")
        remote.sendall(b"answer")
        remote.close()
        peer.stream.resume()
        while peer.stream.write(b"x"):  # writes until the reset is detected
            pass
        assert "lost" not in peer.callbacks and peer.stream.unsent
        await wait_until(lambda: "lost" in peer.callbacks)
        assert peer.data == b"answer" and peer.error is not None

    run_scenario(part)


def test_a_failed_write_while_reading_is_paused_ends_the_stream() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        assert peer.stream is not None
        peer.stream.pause()
        reset(remote)
        while peer.stream.write(b"x"):
            pass
        await wait_until(lambda: "lost" in peer.callbacks)
        assert peer.callbacks == ["opened", "lost"]

    run_scenario(part)


def test_half_close_follows_written_data_and_reading_goes_on() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        remote.setblocking(False)
        assert peer.stream is not None
        big = b"x" * (8 * 1024 * 1024)
        peer.stream.write(big)
        peer.stream.end()
        assert await count_received(remote) == len(big)
        await asyncio.get_running_loop().sock_sendall(remote, b"late")
        remote.shutdown(socket.SHUT_WR)
        await wait_until(lambda: "ended" in peer.callbacks)
        assert peer.data == b"late"
        peer.stream.close()
        await wait_until(lambda: "lost" in peer.callbacks)
        remote.close()

    run_scenario(part)


def test_a_half_close_of_the_peer_loses_no_buffered_write() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        remote.setblocking(False)
        assert peer.stream is not None
        big = b"x" * (8 * 1024 * 1024)
        peer.stream.write(big)
        remote.shutdown(socket.SHUT_WR)
        await wait_until(lambda: "ended" in peer.callbacks)
        peer.stream.close()
        assert "lost" not in peer.callbacks
        assert await count_received(remote) == len(big)
        await wait_until(lambda: "lost" in peer.callbacks)
        assert peer.error is None
        remote.close()

    run_scenario(part)


def test_a_callback_can_abort_its_own_stream_and_others_of_the_same_poll() -> None:
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
        for remote in fars:
            remote.sendall(b"x")  # both become ready in one poll
        await wait_until(lambda: all("lost" in peer.callbacks for peer in streams))
        assert sorted(peer.callbacks.count("received") for peer in streams) == [0, 1]
        for remote in fars:
            remote.close()

    run_scenario(part)


def test_a_descriptor_number_reused_in_the_same_turn_gets_no_old_event() -> None:
    async def part(net: SocketNetwork) -> None:
        listener = listening()
        address = Address(LOOPBACK, listener.getsockname()[1])
        victims: list[Peer] = []
        fresh = Peer()

        def swap() -> None:
            if fresh.stream is None:  # the first of the two callbacks
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
            await wait_until(lambda victim=victim: "opened" in victim.callbacks)  # type: ignore[misc]
            fars.append(listener.accept()[0])
            victims.append(victim)
        for remote in fars:
            remote.sendall(b"old")
        await wait_until(lambda: "opened" in fresh.callbacks)
        assert not fresh.data and fresh.callbacks == ["opened"]
        assert fresh.stream is not None
        fresh.stream.abort()
        await wait_until(lambda: "lost" in fresh.callbacks)
        for sock in (*fars, listener):
            sock.close()

    run_scenario(part)


def test_ten_thousand_aborted_connects_leave_nothing_behind() -> None:
    async def part(net: SocketNetwork) -> None:
        listener = listening(1)
        address = Address(LOOPBACK, listener.getsockname()[1])
        peer_count = 0
        for _ in range(100):
            peers = [Peer() for _ in range(100)]
            for peer in peers:
                net.connect(address, peer, 5.0).abort()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            peer_count += sum(peer.callbacks == ["lost"] for peer in peers)
        assert peer_count == 10_000
        listener.close()
        loop: Any = asyncio.get_running_loop()
        assert sum(not timer._cancelled for timer in loop._scheduled) <= 1, "a timer leaked"

    run_scenario(part)


def test_an_unanswered_connect_ends_at_its_time_limit() -> None:
    async def part(net: SocketNetwork) -> None:
        with listening(0) as listener:
            address = Address(LOOPBACK, listener.getsockname()[1])
            peers = [Peer() for _ in range(4)]  # more than the backlog, so some are not answered
            for peer in peers:
                peer.stream = net.connect(address, peer, 0.2)
            await wait_until(lambda: all(peer.callbacks for peer in peers))
            late = [peer for peer in peers if peer.callbacks == ["lost"]]
            assert late and all(p.error and p.error.errno == errno.ETIMEDOUT for p in late)
            for peer in peers:
                assert peer.stream is not None
                peer.stream.abort()
            await wait_until(lambda: all("lost" in peer.callbacks for peer in peers))

    run_scenario(part)


def test_a_refused_connect_is_reported_later_and_never_opened() -> None:
    async def part(net: SocketNetwork) -> None:
        with listening() as listener:
            address = Address(LOOPBACK, listener.getsockname()[1])
        peer = Peer()
        peer.stream = net.connect(address, peer, 5.0)
        assert not peer.callbacks, "no callback during the call"
        await wait_until(lambda: peer.callbacks)
        assert peer.callbacks == ["lost"] and isinstance(peer.error, ConnectionRefusedError)

    run_scenario(part)


def test_without_descriptors_a_connect_is_lost_and_an_accept_raises() -> None:
    async def part(net: SocketNetwork) -> None:
        waits: list[int] = []
        listener = net.listen(Address(LOOPBACK, 0), 16, lambda: waits.append(1))
        listener.watch(True)
        with socket.create_connection((LOOPBACK, listener.address.port)) as remote:
            await wait_until(lambda: waits)
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
                net.connect(listener.address, peer, 5.0)
                assert not peer.callbacks
                with pytest.raises(OSError, match="Too many"):
                    listener.accept(Peer())
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                for number in filler:
                    os.close(number)
            await wait_until(lambda: peer.callbacks)
            assert peer.callbacks == ["lost"]
            assert peer.error is not None and peer.error.errno == errno.EMFILE
            accepted_peer = Peer()
            stream = listener.accept(accepted_peer)  # the waiting connection stays queued
            assert stream is not None
            remote.sendall(b"hello")
            await wait_until(lambda: accepted_peer.data == b"hello")
            stream.abort()
            await wait_until(lambda: "lost" in accepted_peer.callbacks)
        listener.close()

    run_scenario(part)


def test_a_connection_reset_before_the_accept_is_lost() -> None:
    async def part(net: SocketNetwork) -> None:
        listener = net.listen(Address(LOOPBACK, 0), 16, lambda: None)
        reset(socket.create_connection((LOOPBACK, listener.address.port)))
        peer = Peer()
        assert listener.accept(peer) is not None
        await wait_until(lambda: "lost" in peer.callbacks)
        assert peer.callbacks == ["lost"] and isinstance(peer.error, ConnectionResetError)
        listener.close()

    run_scenario(part)


def test_an_exception_of_an_owner_ends_only_its_stream() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        faults: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, context: faults.append(context))
        net = SocketNetwork(loop)

        def fails() -> None:
            raise ValueError("ours")

        one, other = Peer(received=fails), Peer()
        fars = [await pair(net, one), await pair(net, other)]
        for remote in fars:
            remote.sendall(b"x")
        await wait_until(lambda: "lost" in one.callbacks and other.data)
        assert len(faults) == 1 and "lost" not in other.callbacks
        assert other.stream is not None
        other.stream.abort()
        await wait_until(lambda: "lost" in other.callbacks)
        for remote in fars:
            remote.close()

    asyncio.run(run())


def test_no_pending_input_sees_data_that_the_loop_has_not_reported() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        assert peer.stream is not None and peer.stream.no_pending_input()
        remote.sendall(b"x")
        assert not peer.stream.no_pending_input()
        await wait_until(lambda: peer.data)
        assert peer.stream.no_pending_input()
        remote.close()
        assert not peer.stream.no_pending_input()
        await wait_until(lambda: "ended" in peer.callbacks)
        peer.stream.abort()
        assert not peer.stream.no_pending_input()
        await wait_until(lambda: "lost" in peer.callbacks)

    run_scenario(part)


def test_calls_after_the_end_have_no_effect() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        stream = peer.stream
        assert stream is not None and not stream.closing and stream.descriptor > 0
        stream.abort()
        assert stream.closing and stream.descriptor == -1, "at once"
        assert not stream.write(b"x") and not stream.write_all([b"y" * 9000, b"z"])
        assert stream.unsent == 9002, "never taken"
        for call in (stream.pause, stream.resume, stream.end, stream.close, stream.abort):
            call()
        await wait_until(lambda: "lost" in peer.callbacks)
        assert peer.callbacks == ["opened", "lost"]
        assert await asyncio.get_running_loop().run_in_executor(None, remote.recv, 10) == b""
        remote.close()

    run_scenario(part)


def test_nothing_is_received_while_a_close_drains() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        remote.setblocking(False)
        assert peer.stream is not None
        peer.stream.write(b"x" * (8 * 1024 * 1024))
        peer.stream.close()
        assert peer.stream.closing and "lost" not in peer.callbacks
        remote.sendall(b"too late")
        # The close sends a reset, since input was unread.
        with contextlib.suppress(ConnectionResetError):
            await count_received(remote)
        await wait_until(lambda: "lost" in peer.callbacks)
        assert peer.callbacks == ["opened", "lost"] and not peer.data
        remote.close()

    run_scenario(part)


def test_a_failed_write_is_reported_by_each_way_of_writing() -> None:
    async def part(net: SocketNetwork) -> None:
        for write in ("write", "write_all"):
            peer = Peer()
            remote = await pair(net, peer)
            assert peer.stream is not None
            peer.stream.pause()
            reset(remote)
            data: Any = b"x" * 10_000 if write == "write" else [b"x" * 9000, b"x" * 1000]
            assert not getattr(peer.stream, write)(data), "the reset has come"
            assert peer.stream.unsent == 10_000
            peer.stream.end()
            await wait_until(lambda peer=peer: "lost" in peer.callbacks)  # type: ignore[misc]
            assert peer.error is not None

    run_scenario(part)


def test_a_half_close_after_a_reset_is_reported() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        assert peer.stream is not None
        peer.stream.pause()
        reset(remote)
        peer.stream.end()
        await wait_until(lambda: "lost" in peer.callbacks)
        assert isinstance(peer.error, OSError)

    run_scenario(part)


def test_discarding_sends_a_reset_instead_of_the_remaining_data() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        remote = await pair(net, peer)
        assert peer.stream is not None
        peer.stream.write(b"x" * (8 * 1024 * 1024))
        peer.stream.abort(discard=True)
        with pytest.raises(ConnectionResetError):
            while remote.recv(1 << 20):
                pass
        await wait_until(lambda: "lost" in peer.callbacks)
        remote.close()

    run_scenario(part)


def test_priority_ends_with_its_stream() -> None:
    async def part(net: SocketNetwork) -> None:
        prefers: dict[int, bool] = {}
        net.turns.prefer = prefers.__setitem__  # type: ignore[method-assign]
        listener = net.listen(Address(LOOPBACK, 0), 4, lambda: None)
        first, usual, accepted_peer = Peer(), Peer(), Peer()
        first.stream = net.connect(listener.address, first, 5.0, first=True)
        number = first.stream.descriptor
        usual.stream = net.connect(listener.address, usual, 5.0)
        await wait_until(lambda: "opened" in first.callbacks and "opened" in usual.callbacks)
        accepted = listener.accept(accepted_peer)
        assert accepted is not None and prefers == {number: True}
        for stream in (first.stream, usual.stream, accepted):
            stream.abort()
        assert prefers == {number: False}
        await wait_until(lambda: "lost" in accepted_peer.callbacks)
        listener.close()

    run_scenario(part)


def test_a_failed_listen_leaves_no_descriptor() -> None:
    async def part(net: SocketNetwork) -> None:
        with listening() as listener, pytest.raises(OSError, match="in use"):
            net.listen(Address(LOOPBACK, listener.getsockname()[1]), 4, lambda: None)

    run_scenario(part)


def test_resume_while_connecting_waits_for_the_connection() -> None:
    async def part(net: SocketNetwork) -> None:
        peer = Peer()
        with listening() as listener:
            peer.stream = net.connect(Address(LOOPBACK, listener.getsockname()[1]), peer, 5.0)
            peer.stream.resume()
            await wait_until(lambda: peer.callbacks)
            assert peer.callbacks == ["opened"]
            remote, _ = listener.accept()
        remote.sendall(b"x")
        await wait_until(lambda: peer.data)
        peer.stream.abort()
        await wait_until(lambda: "lost" in peer.callbacks)
        remote.close()

    run_scenario(part)
