"""Thousands of connections of each kind of bad client: what is left of them afterwards.

    python benchmarks/bad_peers.py [--count 10000] [--build CHECKOUT]

A row a kind: connections a second, the daemon's descriptors and resident set before and after.
Exit status 1 when a descriptor is left, or a good client is not served at the end.
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

AT_ONCE = 100  # bad clients side by side
SETTLES = 10.0  # s for the daemon to be rid of them
GET = command(b"OBJ.GET", b"k", b"id", b"c=lookup,t=x,d=500")


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def to_the_end(reader: asyncio.StreamReader) -> None:
    while await reader.read(4096):
        pass


Kind = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def says_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    pass


async def noise(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"\x00\xff\x17" * 50)
    await to_the_end(reader)


async def endless_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"*" + b"1" * 20_000)
    await to_the_end(reader)


async def half_a_command(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(GET[:40])
    writer.write_eof()
    await to_the_end(reader)


async def asks_and_resets(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(GET)
    await asyncio.sleep(0)
    reset(writer)


async def huge_value(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(
        b"*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$12\r\nc=optout,d=9\r\n"
        b"$60000000\r\n" + b"x" * 10_000
    )
    await to_the_end(reader)


KINDS: dict[str, Kind] = {
    kind.__name__: kind
    for kind in (says_nothing, noise, endless_line, half_a_command, asks_and_resets, huge_value)
}


async def many(port: int, kind: Kind, count: int) -> None:
    left = count

    async def worker() -> None:
        nonlocal left
        while left > 0:
            left -= 1
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                await kind(reader, writer)
            except ConnectionError:
                pass
            finally:
                writer.close()

    await asyncio.gather(*(worker() for _ in range(AT_ONCE)))


def descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--build", type=Path, default=harness.ROOT, help="another checkout")
    options = parser.parse_args()
    bad = False
    async with (
        harness.nodes(2, 200) as ports,
        harness.daemon(ports, options.build.resolve(), sockets=512) as daemon,
    ):
        for name, kind in KINDS.items():
            before, memory = descriptors(daemon.pid), harness.resident_mb(daemon.pid)
            started = time.monotonic()
            await many(daemon.port, kind, options.count)
            took = time.monotonic() - started
            while descriptors(daemon.pid) > before and time.monotonic() - started - took < SETTLES:
                await asyncio.sleep(0.1)
            after = descriptors(daemon.pid)
            reader, writer = await asyncio.open_connection("127.0.0.1", daemon.port)
            writer.write(GET)
            served = not (await read_answer(reader)).startswith(b"-")
            writer.close()
            while descriptors(daemon.pid) > before + len(ports):
                await asyncio.sleep(0.1)
            bad |= after > before + len(ports) or not served  # each node may keep one
            print(
                json.dumps(
                    {
                        "kind": name,
                        "count": options.count,
                        "per_s": round(options.count / took),
                        "descriptors": [before, after],
                        "served_after": served,
                        "resident_mb": [
                            round(memory, 1),
                            round(harness.resident_mb(daemon.pid), 1),
                        ],
                    }
                ),
                flush=True,
            )
    return int(bad)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
