"""Ports of processes that the kit starts: nobody else is given them before they listen there."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time

import pytest

from limebridge import ports
from limebridge.ports import NoPortsLeftError, PortBlocks, free_ports, kernel_range


def test_a_port_that_was_handed_out_is_given_to_no_outgoing_connection() -> None:
    """The fault of CI's run of 2026-12-02: a daemon's port was taken before it listened there."""
    first_of_kernel, last_of_kernel = kernel_range()
    handed_out = set(free_ports(20))
    assert len(handed_out) == 20
    assert not handed_out & set(range(first_of_kernel, last_of_kernel + 1))


def test_processes_side_by_side_have_ports_of_their_own() -> None:
    code = "from limebridge.ports import free_ports; print(*free_ports(50), flush=True); input()"
    children = [
        subprocess.Popen(
            [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(4)
    ]
    try:
        handed_out = set(free_ports(50))
        for child in children:
            assert child.stdout is not None
            of_the_child = {int(port) for port in child.stdout.readline().split()}
            assert len(of_the_child) == 50 and not of_the_child & handed_out
            handed_out |= of_the_child
    finally:
        for child in children:
            child.communicate("\n", timeout=20.0)


def test_a_forked_process_hands_out_no_port_of_its_parent() -> None:
    of_the_parent = set(free_ports(20))
    reading, writing = os.pipe()
    child = os.fork()
    if child == 0:  # only what cannot fail stands between fork and exit
        os.write(writing, " ".join(map(str, ports._blocks.free_ports(20))).encode())
        os._exit(0)
    os.close(writing)
    with os.fdopen(reading) as answer:
        of_the_child = {int(port) for port in answer.read().split()}
    assert os.waitpid(child, 0)[1] == 0
    assert len(of_the_child) == 20 and not of_the_child & of_the_parent


def test_a_port_is_handed_out_again_only_after_all_others_of_its_block(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The order alone: whether a port is in use is the machine's, and the tests' below."""
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


def test_a_block_whose_process_has_ended_leaves_out_what_its_children_still_use() -> None:
    """Why the test above failed once beside another run: such a port came free between rounds."""
    owner = subprocess.Popen(
        [sys.executable, "-c", ORPHAN], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert owner.stdin is not None and owner.stdout is not None
    port = int(owner.stdout.readline())
    assert owner.wait(20.0) == 0  # its claim is gone, and what it started listens
    block = port - (port - ports.FIRST_PORT) % ports.BLOCK_SIZE
    blocks = PortBlocks(first=block, end=block + ports.BLOCK_SIZE)
    try:
        usable = ports.BLOCK_SIZE - 1
        first_round = blocks.free_ports(usable - 1)
        assert port not in first_round
        with pytest.raises(NoPortsLeftError):
            blocks.free_ports(usable)
        owner.stdin.close()
        ends = time.monotonic() + 20.0
        while not ports._is_free(port):
            assert time.monotonic() < ends, "the child has ended with its standard input"
            time.sleep(0.01)
        assert set(blocks.free_ports(usable)) == {*first_round, port}
    finally:
        owner.stdin.close()
        blocks.close()


def leave_in_time_wait(port: int) -> None:
    """Listen on the port, and close a connection there from the listener's side first."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen()
        with socket.create_connection(("127.0.0.1", port)) as client:
            listener.accept()[0].close()
            assert client.recv(1) == b""


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_in_use_is_left_out_for_tcp_and_udp(kind: socket.SocketKind) -> None:
    blocks = PortBlocks()
    try:
        (port,) = blocks.free_ports(1)
        leave_in_time_wait(port)
        with socket.socket(type=kind) as user:
            # As every listener does: connections of an earlier one may still be in TIME_WAIT.
            user.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind == socket.SOCK_STREAM)
            user.bind(("127.0.0.1", port))
            if kind == socket.SOCK_STREAM:
                user.listen()
            assert port not in blocks.free_ports(ports.BLOCK_SIZE)
    finally:
        blocks.close()


def test_no_block_left_is_an_error() -> None:
    blocks = PortBlocks(first=kernel_range()[0] - 1)
    with pytest.raises(NoPortsLeftError, match="no block of"):
        blocks.free_ports(1)
    blocks.close()
