"""Whether the daemon leaks descriptors or memory on thousands of connections of faulty clients.

    python benchmarks/bad_peers.py [--count 10000] [--build CHECKOUT]

One row is printed for each kind of fault: connections per second, and the daemon's descriptors and
resident set before and after.  The exit status is 1 if descriptors remain open, or if a correct
client is not served afterwards.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import harness

from limebridge.standins.wire import command, read_answer

CONCURRENCY = 100  # faulty clients at a time
SETTLE_S = 10.0  # s within which the daemon must close their connections
GET = command(b"OBJ.GET", b"k", b"id", b"c=lookup,t=x,d=500")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset, which a linger time of 0 causes."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_to_end(reader: asyncio.StreamReader) -> None:
    """Discard what the daemon sends until it closes the connection."""
    while await reader.read(4096):
        pass


ClientFault = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def says_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Connect and close without sending anything."""
    pass


async def noise(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send bytes that are not RESP."""
    writer.write(b"\x00\xff\x17" * 50)
    await read_to_end(reader)


async def endless_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send the first 20 kB of a line that never ends."""
    writer.write(b"*" + b"1" * 20_000)
    await read_to_end(reader)


async def half_a_command(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send the first 40 bytes of a command, then the end of the stream."""
    writer.write(GET[:40])
    writer.write_eof()
    await read_to_end(reader)


async def asks_and_resets(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send a request and reset the connection before its answer."""
    writer.write(GET)
    await asyncio.sleep(0)
    reset(writer)


async def huge_value(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Announce a value of 60 MB and send 10 kB of it."""
    writer.write(
        b"*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$12\r\nc=optout,d=9\r\n"
        b"$60000000\r\n" + b"x" * 10_000
    )
    await read_to_end(reader)


FAULTS: dict[str, ClientFault] = {
    fault.__name__: fault
    for fault in (says_nothing, noise, endless_line, half_a_command, asks_and_resets, huge_value)
}


async def run_clients(port: int, fault: ClientFault, count: int) -> None:
    """Open `count` connections with this fault, CONCURRENCY at a time."""
    remaining = count

    async def worker() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                await fault(reader, writer)
            except ConnectionError:
                pass
            finally:
                writer.close()

    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))


def descriptors(pid: int) -> int:
    """Number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def main() -> int:
    """Run each fault of the clients; return 1 if descriptors leak or requests fail afterwards."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--build", type=Path, default=harness.ROOT, help="another checkout")
    options = parser.parse_args()
    failed = False
    async with (
        harness.nodes(2, 200) as ports,
        harness.daemon(ports, options.build.resolve(), sockets=512) as daemon,
    ):
        for name, fault in FAULTS.items():
            before, memory_before = descriptors(daemon.pid), harness.resident_mb(daemon.pid)
            started = time.monotonic()
            await run_clients(daemon.port, fault, options.count)
            elapsed = time.monotonic() - started
            while (
                descriptors(daemon.pid) > before and time.monotonic() - started - elapsed < SETTLE_S
            ):
                await asyncio.sleep(0.1)
            after = descriptors(daemon.pid)
            reader, writer = await asyncio.open_connection("127.0.0.1", daemon.port)
            writer.write(GET)
            served = not (await read_answer(reader)).startswith(b"-")
            writer.close()
            while descriptors(daemon.pid) > before + len(ports):
                await asyncio.sleep(0.1)
            # One idle connection to each node may stay open.
            failed |= after > before + len(ports) or not served
            print(
                json.dumps(
                    {
                        "kind": name,
                        "count": options.count,
                        "per_s": round(options.count / elapsed),
                        "descriptors": [before, after],
                        "served_after": served,
                        "resident_mb": [
                            round(memory_before, 1),
                            round(harness.resident_mb(daemon.pid), 1),
                        ],
                    }
                ),
                flush=True,
            )
    return int(failed)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
