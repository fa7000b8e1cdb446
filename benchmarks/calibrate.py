"""Measures the CPU costs of the daemon on this machine, for the simulation on the virtual clock.

    python benchmarks/calibrate.py [--write]

Runs the real daemon on loopback under loads that differ in one respect each, and solves for the
terms of `limebridge/virtual/costs.py`; --write stores them with today's date.  Each load is run
three times and the median counts.  A term that noise makes negative is set to almost 0.
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
MIN_COST_S = 1e-7  # least cost of every term but `byte`
LARGE, SMALL = 32 * 1024, 200  # bytes of an answer
NO_WAIT = b"0.001"  # ms; a request with this wait is refused as soon as it is read


def socket_call_costs(count: int = 20_000) -> tuple[float, float]:
    """Mean time in s of a send and of a read of 100 B on a TCP connection over loopback."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as sender,
        listener.accept()[0] as receiver,
    ):
        data, send_s, read_s = bytes(100), 0.0, 0.0
        for _ in range(count):
            started = time.perf_counter()
            sender.send(data)
            between = time.perf_counter()
            receiver.recv(65536)
            send_s, read_s = (
                send_s + between - started,
                read_s + time.perf_counter() - between,
            )
    return send_s / count, read_s / count


def send_requests(port: int, wait_field: bytes, depth: int, count: int) -> None:
    """Send `count` requests on one connection, in pipelined batches of `depth`.

    Each batch is sent as soon as the one before it is answered.  So the daemon is never idle for
    long: the cost of a sleep of its event loop would be taken for a cost of its work.
    """
    with socket.create_connection(("127.0.0.1", port)) as sock, sock.makefile("rb") as answers:
        number = 0
        for _ in range(count // depth):
            data = b""
            for _ in range(depth):
                number += 1
                data += command(
                    b"OBJ.GET",
                    b"k%d" % (number % 500),
                    b"%016x" % number,
                    b"c=lookup,t=x,d=" + wait_field,
                )
            sock.sendall(data)
            for _ in range(depth):
                line = answers.readline()
                if line.startswith(b"$"):
                    answers.read(int(line[1:]) + 2)


def send_on_new_connections(port: int, wait_field: bytes, depth: int, count: int) -> None:
    """Send `count` requests, each on a connection of its own; `depth` is ignored."""
    for _ in range(count):
        send_requests(port, wait_field, depth, 1)


async def measure(
    load: Callable[[int, bytes, int, int], None],
    size: int = SMALL,
    wait_field: bytes = NO_WAIT,
    depth: int = 1,
    count: int = 4000,
) -> float:
    """CPU time in s of the daemon per request of a load, after a warm-up with a quarter of it."""
    async with harness.nodes(4, size) as ports, harness.daemon(ports, sockets=2048) as daemon:
        await asyncio.to_thread(load, daemon.port, wait_field, depth, count // 4)
        before = harness.cpu_seconds(daemon.pid)
        await asyncio.to_thread(load, daemon.port, wait_field, depth, count)
        return (harness.cpu_seconds(daemon.pid) - before) / count


async def solve_terms() -> dict[str, float]:
    """Measure the loads and solve for the terms, in s; prints the CPU time per request in us."""
    samples: dict[str, list[float]] = {}
    for _ in range(3):
        for name, measurement in (
            ("refused", measure(send_requests)),
            ("together", measure(send_requests, depth=16, count=32_000)),
            ("served", measure(send_requests, wait_field=b"600")),
            ("large", measure(send_requests, LARGE, b"600")),
            ("connect", measure(send_on_new_connections)),
        ):
            samples.setdefault(name, []).append(await measurement)
    medians = {name: statistics.median(each) for name, each in samples.items()}
    write, read = socket_call_costs()
    parsing = (16.0 * medians["together"] - medians["refused"]) / 15.0
    iteration = medians["refused"] - parsing  # cost of a wake, a read and a write
    # A served request takes two iterations and two decisions: on its arrival and on its outcome.
    decision = (medians["served"] - parsing - 2.0 * iteration) / 2.0
    solved = {
        "wake": iteration - read - write,
        "read": read,
        "write": write,
        "command": parsing,
        "decision": decision,
        "byte": (medians["large"] - medians["served"]) / 2.0 / (LARGE - SMALL),
        "connect": medians["connect"] - medians["refused"],
    }
    print(json.dumps({name: round(each * 1e6, 2) for name, each in medians.items()}))
    return {
        name: max(MIN_COST_S if name != "byte" else 1e-11, value) for name, value in solved.items()
    }


async def main() -> int:
    """Print the costs as JSON; `--write` also replaces the stored file."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    solved = {name: float(f"{value:.3g}") for name, value in (await solve_terms()).items()}
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
