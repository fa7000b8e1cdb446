"""Ports for child processes: no other process gets one before the child listens on it."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time

import pytest

from limebridge import ports
from limebridge.ports import NoPortsLeftError, PortBlocks, free_ports, kernel_range


def test_allocated_ports_lie_outside_the_ephemeral_range() -> None:
    """Guards against a CI failure of 2026-12-02: an ephemeral port was taken before the daemon
    listened on it, as the kernel assigns such ports to outgoing connections.
    """
    first_of_kernel, last_of_kernel = kernel_range()
    allocated = set(free_ports(20))
    assert len(allocated) == 20
    assert not allocated & set(range(first_of_kernel, last_of_kernel + 1))


def test_concurrent_processes_get_different_ports() -> None:
    code = "from limebridge.ports import free_ports; print(*free_ports(50), flush=True); input()"
    children = [
        subprocess.Popen(
            [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(4)
    ]
    try:
        allocated = set(free_ports(50))
        for child in children:
            assert child.stdout is not None
            of_child = {int(port) for port in child.stdout.readline().split()}
            assert len(of_child) == 50 and not of_child & allocated
            allocated |= of_child
    finally:
        for child in children:
            child.communicate("\n", timeout=20.0)


def test_a_forked_process_allocates_no_port_of_its_parent() -> None:
    of_parent = set(free_ports(20))
    reading, writing = os.pipe()
    child = os.fork()
    if child == 0:  # nothing between fork and exit may fail
        os.write(writing, " ".join(map(str, ports._blocks.free_ports(20))).encode())
        os._exit(0)
    os.close(writing)
    with os.fdopen(reading) as answer:
        of_child = {int(port) for port in answer.read().split()}
    assert os.waitpid(child, 0)[1] == 0
    assert len(of_child) == 20 and not of_child & of_parent


def test_a_port_is_reused_only_after_all_others_of_its_block(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Checks the order alone: all ports count as free, since their use depends on the machine."""
    monkeypatch.setattr(ports, "_is_free", lambda port: True)
    blocks = PortBlocks()
    try:
        usable = ports.BLOCK_SIZE - 1
        first_round = blocks.free_ports(usable)
        assert len(set(first_round)) == usable
        assert blocks.free_ports(usable) == first_round
    finally:
        blocks.close()


ORPHAN = """
import subprocess, sys
from limebridge.ports import free_ports
port, = free_ports(1)
listens = (
    "import socket, sys; s = socket.create_server(('127.0.0.1', %d)); "
    "print(flush=True); sys.stdin.read()"
)
child = subprocess.Popen([sys.executable, "-c", listens % port], stdout=subprocess.PIPE)
child.stdout.readline()
print(port, flush=True)
"""


def test_ports_still_used_by_children_of_an_exited_owner_are_skipped() -> None:
    """The test above failed once beside another run, when it did not replace `_is_free` yet.

    The assumed cause, not proven, is that such a port became free between its two rounds.
    """
    owner = subprocess.Popen(
        [sys.executable, "-c", ORPHAN], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert owner.stdin is not None and owner.stdout is not None
    port = int(owner.stdout.readline())
    assert owner.wait(20.0) == 0  # the owner's claim is released, but its child still listens
    block = port - (port - ports.FIRST_PORT) % ports.BLOCK_SIZE
    blocks = PortBlocks(first=block, end=block + ports.BLOCK_SIZE)
    try:
        usable = ports.BLOCK_SIZE - 1
        first_round = blocks.free_ports(usable - 1)
        assert port not in first_round
        with pytest.raises(NoPortsLeftError):
            blocks.free_ports(usable)
        owner.stdin.close()
        deadline = time.monotonic() + 20.0
        while not ports._is_free(port):
            assert time.monotonic() < deadline, "the child exits when its standard input closes"
            time.sleep(0.01)
        assert set(blocks.free_ports(usable)) == {*first_round, port}
    finally:
        owner.stdin.close()
        blocks.close()


def leave_in_time_wait(port: int) -> None:
    """Leave a connection in TIME_WAIT at the port: the listener closes it first."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen()
        with socket.create_connection(("127.0.0.1", port)) as client:
            listener.accept()[0].close()
            assert client.recv(1) == b""


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_in_use_by_tcp_or_udp_is_skipped(kind: socket.SocketKind) -> None:
    blocks = PortBlocks()
    try:
        (port,) = blocks.free_ports(1)
        leave_in_time_wait(port)
        with socket.socket(type=kind) as user:
            # As listeners do, since connections of an earlier one may still be in TIME_WAIT.
            user.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind == socket.SOCK_STREAM)
            user.bind(("127.0.0.1", port))
            if kind == socket.SOCK_STREAM:
                user.listen()
            assert port not in blocks.free_ports(ports.BLOCK_SIZE)
    finally:
        blocks.close()


def test_running_out_of_blocks_raises_an_error() -> None:
    blocks = PortBlocks(first=kernel_range()[0] - 1)
    with pytest.raises(NoPortsLeftError, match="no block of"):
        blocks.free_ports(1)
    blocks.close()
