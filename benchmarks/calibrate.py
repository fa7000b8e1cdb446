"""What the daemon's own time costs on this machine, for the virtual clock.

    python benchmarks/calibrate.py [--write]

Runs the real daemon on loopback under loads that differ by one thing each, and solves for the
terms of `limebridge/virtual/costs.py`; --write stores them with today's date.  Each load is run
three times, the middle counts, and what comes out negative by noise is set to next to nothing.
"""

from __future__ import annotations

import argparse
import asyncio
import datetime
import json
import socket
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path

import harness

from limebridge.standins.wire import command

STORED = harness.ROOT / "limebridge" / "virtual" / "costs.json"
LEAST = 1e-7  # s
LARGE, SMALL = 32 * 1024, 200
NO_TIME = b"0.001"  # ms that such a client waits: refused when it is read


def calls(count: int = 20_000) -> tuple[float, float]:
    """Seconds of a send and of a read of 100 B on a TCP connection over loopback."""
    with (
        socket.create_server(("127.0.0.1", 0)) as door,
        socket.create_connection(door.getsockname()) as one,
        door.accept()[0] as other,
    ):
        data, sent, read = bytes(100), 0.0, 0.0
        for _ in range(count):
            began = time.perf_counter()
            one.send(data)
            between = time.perf_counter()
            other.recv(65536)
            sent, read = sent + between - began, read + time.perf_counter() - between
    return sent / count, read / count


def ask(port: int, told: bytes, deep: int, count: int) -> None:
    """So many questions one behind the other, `deep` at once, each when the one before is over.

    The process is never idle for long: what sleeping costs a loop would count for its work.
    """
    with socket.create_connection(("127.0.0.1", port)) as sock, sock.makefile("rb") as answers:
        number = 0
        for _ in range(count // deep):
            words = b""
            for _ in range(deep):
                number += 1
                words += command(
                    b"OBJ.GET",
                    b"k%d" % (number % 500),
                    b"%016x" % number,
                    b"c=lookup,t=x,d=" + told,
                )
            sock.sendall(words)
            for _ in range(deep):
                line = answers.readline()
                if line.startswith(b"$"):
                    answers.read(int(line[1:]) + 2)


def connect(port: int, told: bytes, deep: int, count: int) -> None:
    """A connection for each question."""
    for _ in range(count):
        ask(port, told, deep, 1)


async def cost(
    work: Callable[[int, bytes, int, int], None],
    size: int = SMALL,
    told: bytes = NO_TIME,
    deep: int = 1,
    count: int = 4000,
) -> float:
    """Seconds of CPU a question."""
    async with harness.nodes(4, size) as ports, harness.daemon(ports, sockets=2048) as daemon:
        await asyncio.to_thread(work, daemon.port, told, deep, count // 4)
        before = harness.cpu_seconds(daemon.pid)
        await asyncio.to_thread(work, daemon.port, told, deep, count)
        return (harness.cpu_seconds(daemon.pid) - before) / count


async def terms() -> dict[str, float]:
    found: dict[str, list[float]] = {}
    for _ in range(3):
        for name, work in (
            ("refused", cost(ask)),
            ("together", cost(ask, deep=16, count=32_000)),
            ("served", cost(ask, told=b"600")),
            ("large", cost(ask, LARGE, b"600")),
            ("connect", cost(connect)),
        ):
            found.setdefault(name, []).append(await work)
    mean = {name: statistics.median(each) for name, each in found.items()}
    write, read = calls()
    parsed = (16.0 * mean["together"] - mean["refused"]) / 15.0
    turn = mean["refused"] - parsed  # a wake, a read and a write
    decided = (mean["served"] - parsed - 2.0 * turn) / 2.0
    solved = {
        "wake": turn - read - write,
        "read": read,
        "write": write,
        "command": parsed,
        "decision": decided,
        "byte": (mean["large"] - mean["served"]) / 2.0 / (LARGE - SMALL),
        "connect": mean["connect"] - mean["refused"],
    }
    print(json.dumps({name: round(each * 1e6, 2) for name, each in mean.items()}))
    return {name: max(LEAST if name != "byte" else 1e-11, value) for name, value in solved.items()}


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    solved = {name: float(f"{value:.3g}") for name, value in (await terms()).items()}
    text = (
        json.dumps({"measured": datetime.date.today().isoformat(), "seconds": solved}, indent=1)
        + "\n"
    )
    print(text, end="")
    if options.write:
        Path(STORED).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
