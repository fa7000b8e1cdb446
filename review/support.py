"""What the cases share: starting the proxy, stand-ins for nodes and discovery, and clients.

Everything here uses the standard library only and loopback addresses only.  The stand-ins follow
the protocol page (`PROTOCOL-limebridge.md`); where it is silent they do what a sound server does.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import select
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOLDS, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


def free_port(host: str = "127.0.0.1") -> int:
    """A port that is free now; below the range from which the kernel takes client ports."""
    for _ in range(200):
        port = 10_000 + int.from_bytes(os.urandom(2), "big") % 20_000
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise CannotRun("no free port")


class Record:
    """`record.txt` of a case: one line an event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, kind: str, /, **facts: object) -> None:
        """Write one event."""
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{time.monotonic() - self._start:9.4f} {kind} {text}\n")

    def append(self, title: str, text: str) -> None:
        """Add the record of another process."""
        self._file.write(f"--- {title}\n{text}")

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.write("note", text=text)
        print(text, flush=True)

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


# --- settings ---
def settings(**changes: Any) -> dict[str, Any]:
    """Settings like those of the site page for a small deployment."""
    made: dict[str, Any] = {
        "balancers": 4,
        "caps": {
            "cancel": True,
            "connIdleMs": 5000.0,
            "connectTimeoutMs": 120.0,
            "maxRetryAfterMs": 1500.0,
            "mostTries": 4,
            "retryAfter": True,
            "secondCopies": True,
            "probes": False,
            "peerMessages": False,
            "maxStreams": 32,
            "mostHeld": 1010000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 5050000,
        },
        "classes": [
            {
                "name": "lookup",
                "promiseMs": 300.0,
                "deadlineMs": 600.0,
                "effect": "pure",
                "group": "all",
                "keyTtlMs": 5000.0,
                "lateValue": 0.3,
                "worth": 2.0,
                "streaming": False,
            },
            {
                "name": "optout",
                "promiseMs": 300.0,
                "deadlineMs": 1200.0,
                "effect": "token",
                "group": "all",
                "keyTtlMs": 2500.0,
                "lateValue": 0.2,
                "worth": 5.0,
                "streaming": False,
            },
            {
                "name": "template-save",
                "promiseMs": 750.0,
                "deadlineMs": 3000.0,
                "effect": "token",
                "group": "all",
                "keyTtlMs": 2000.0,
                "lateValue": 0.5,
                "worth": 5.0,
                "streaming": False,
            },
        ],
        "clientHabits": {"marksRetry": False},
        "familyInfo": {
            "mode": "through",
            "originFallMs": 3000.0,
            "originFallMultiple": 2.5,
            "originKind": -1,
        },
        "feedback": {"fields": [], "source": "off"},
        "guarantees": {
            "answerSlackMs": 20.0,
            "askWithinMs": 10000.0,
            "coldFrom": 0.13,
            "fallMs": 3000.0,
            "overloadFactor": 3.0,
            "stopSendingWithinMs": 500.0,
            "warmWithinMs": 23000.0,
        },
        "kindOfService": "cache",
        "kinds": ["fast", "standard", "old"],
        "layers": ["template-cache"],
        "me": 0,
        "membershipMode": "subscribe",
        "overShareWorth": 0.1,
        "realms": [],
        "stage": 0,
        "tariffs": {"crossZone": 0.12, "lateFail": 0.08, "waste": 0.02},
        "tickMs": 5.0,
        "valueBy": "work",
        "weightKind": "off",
        "zone": "catania-nord",
        "zones": ["catania-nord", "acireale", "paterno"],
    }
    made.update(changes)
    return made


# --- the project's own program ---
class ProxyProcess:
    """One proxy, started with the command `run` of the deploy file."""

    def __init__(self, folder: Path, name: str, config: dict[str, Any], operator: str = "") -> None:
        self.folder, self.name = folder, name
        self.port = free_port()
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": os.urandom(8).hex(),
            **config,
        }
        self.config_path = folder / f"{name}.json"
        self.config_path.write_text(json.dumps(config))
        self._operator = ""
        if operator:
            path = folder / f"{name}.toml"
            path.write_text(operator)
            self._operator = str(path)
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it and wait until it answers PING."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        temporary = self.folder / f"tmp-{self.name}"
        temporary.mkdir(exist_ok=True)
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "PROXY_CONFIG": str(self.config_path),
        }
        if self._operator:
            env["LIMEBRIDGE_OPERATOR"] = self._operator
        log = (self.folder / f"{self.name}.log").open("ab")
        with log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        for _ in range(300):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            if self._process.returncode is not None:
                raise CannotRun(f"proxy ended at its start: {self.log()[-500:]}")
            await asyncio.sleep(0.1)
        raise CannotRun("proxy is not ready in 30 s")

    @property
    def running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.returncode is None

    def state(self) -> str:
        """Whether it runs, or its exit status, as words."""
        if self.running or self._process is None:
            return "still runs"
        return f"has ended with status {self._process.returncode}"

    def log(self) -> str:
        """What it has written to standard output and error."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        assert self._process is not None
        self._process.send_signal(number)

    async def stop(self) -> None:
        """End it."""
        if self._process is None or self._process.returncode is not None:
            return
        self._process.kill()
        await self._process.wait()


# --- cache nodes ---
def bulk(data: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """One command; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    args = []
    for _ in range(int(line[1:])):
        head = await reader.readline()
        args.append((await reader.readexactly(int(head[1:]) + 2))[:-2])
    return args


def value_for(key: bytes, request: bytes) -> bytes:
    """The value that a node makes for one request: no other request has the same."""
    return b"value of " + key + b" for " + request


def options_of(args: list[bytes]) -> dict[str, str]:
    """The names and values of a command's list."""
    return dict(item.split("=", 1) for item in args[3].decode().split(","))


class Node:
    """A cache node: runs each command for `work` seconds and answers in order."""

    def __init__(
        self, record: Record, name: str, work: float = 0.01, started_at: float = 0.0
    ) -> None:
        self.record, self.name, self.work, self.started_at = record, name, work, started_at
        self.port = free_port()
        self.listed_port = self.port  # a relay may stand before the node
        self.commands: list[tuple[float, bytes]] = []  # monotonic time and id of each command
        self.zone = "catania-nord"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Called after an answer was written, for bytes that do not belong to it.
        self.after_answer: Callable[[Connection, bytes], Awaitable[None]] | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=1024)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(self, reader, writer)
        self._writers.add(writer)
        try:
            await connection.run()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            connection.closed = True
            self._writers.discard(writer)
            writer.close()

    async def answer(self, args: list[bytes]) -> bytes:
        """Run a command and return its answer."""
        await asyncio.sleep(self.work)
        return b"*3\r\n" + bulk(value_for(args[1], args[2])) + bulk(b"hit") + b"$-1\r\n"

    def entry(self, lifecycle: str = "in_service") -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.listed_port}",
            "zone": self.zone,
            "machineType": "standard",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at,
        }

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.close()


class Connection:
    """One connection to a node."""

    def __init__(
        self, node: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.node, self._reader, self.writer = node, reader, writer
        self.begun = 0  # commands whose first byte has come
        self.closed = False

    def input_waits(self) -> bool:
        """Whether bytes of a next command have come that were not read yet."""
        sock = self.writer.get_extra_info("socket")
        if sock is None:
            return True
        waiting = select.select([sock], [], [], 0)[0]
        buffered = getattr(self._reader, "_buffer", b"")  # what the event loop has read already
        return bool(waiting) or bool(buffered)

    async def run(self) -> None:
        """Run the commands in their order."""
        node = self.node
        while True:
            args = await read_command(self._reader)
            if args is None:
                return
            self.begun += 1
            now = time.monotonic()
            name = args[0].upper()
            if name in (b"CLIENT", b"SELECT"):
                self.writer.write(b"+OK\r\n")
                continue
            if name not in (b"OBJ.GET", b"OBJ.SET"):
                self.writer.write(b"-ERR unknown command\r\n")
                continue
            node.commands.append((now, args[2]))
            node.record.write("run", node=node.name, id=args[2].decode(), list=args[3].decode())
            answer = await node.answer(args)
            self.writer.write(answer)
            if node.after_answer is not None:
                await node.after_answer(self, answer)


# --- discovery ---
class Discovery:
    """The list over HTTP/1.1: the whole list, and a watch on its changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = free_port()
        self.generation = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    def set_initial(self, entries: list[dict[str, Any]]) -> None:
        """Set the list before the start."""
        self._entries = {entry["instanceId"]: entry for entry in entries}

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": list(self._entries.values()),
        }

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def change(self, entry: dict[str, Any]) -> None:
        """Change one entry and tell the watches."""
        async with self._changed:
            self.generation += 1
            if entry["lifecycle"] == "terminated":
                self._entries.pop(entry["instanceId"], None)
            else:
                self._entries[entry["instanceId"]] = entry
            self._changes.append((self.generation, entry))
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ", 2)[1]
            if "follow=1" not in target:
                body = json.dumps(self.listing()).encode() + b"\n"
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
                return
            since = int(target.partition("since=")[2] or 0)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            if 0 < since <= self.generation and (not self._changes or self._changes[0][0] > 1):
                self._line(writer, self._since(since))
            else:
                self._line(writer, self.listing())
            known = self.generation
            while True:
                async with self._changed:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._until_after(known), 2.0)
                if self.generation > known:
                    self._line(writer, self._since(known))
                    self.record.write("told", generation=self.generation)
                    known = self.generation
                else:
                    writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _until_after(self, generation: int) -> None:
        await self._changed.wait_for(lambda: self.generation > generation)

    def _since(self, generation: int) -> dict[str, Any]:
        latest = {e["instanceId"]: e for number, e in self._changes if number > generation}
        return {
            "generation": self.generation,
            "reset": False,
            "instances": list(latest.values()),
        }

    @staticmethod
    def _line(writer: asyncio.StreamWriter, listing: dict[str, Any]) -> None:
        data = json.dumps(listing, separators=(",", ":")).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


# --- a network path ---
class Relay:
    """Stands before a node and delays all bytes by a fixed time, in order, each way."""

    def __init__(self, target: int, delay: float) -> None:
        self.port, self._target, self._delay = free_port(), target, delay
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any] | None] = set()  # else they could be collected

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=1024)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(task := asyncio.current_task())
        try:
            await self._relay(reader, writer)
        finally:
            self._tasks.discard(task)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.close()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                data = b""
            if not data:
                loop.call_later(self._delay, writer.close)
                return
            loop.call_later(self._delay, self._write, writer, data)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


# --- clients ---
class Answer:
    """What a client saw for one request.

    `kind`: served, refused, failed; none (no answer came on the open connection), closed
    (the connection ended without one) or unreachable.
    """

    def __init__(self, kind: str, value: bytes, seconds: float, command: bytes) -> None:
        self.kind, self.value, self.seconds, self.command = kind, value, seconds, command


class Clients:
    """Keeps connections to one proxy, and opens more when all are busy."""

    # s after the request's time: half a second, 50 ms on sockets, 50 ms for this process itself.
    SLACK = 0.6

    def __init__(self, record: Record, port: int, most: int = 1000) -> None:
        self._record, self._port = record, port
        self._free = asyncio.Semaphore(most)  # connections that they hold for requests
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._numbers = itertools.count(1)
        self.answers: list[tuple[bytes, Answer]] = []

    def new_id(self) -> bytes:
        """An id that was never used."""
        return f"{next(self._numbers):06d}-{os.urandom(4).hex()}".encode()

    async def request(
        self, key: bytes, wait_ms: int, cls: str = "lookup", value: bytes | None = None
    ) -> Answer:
        """Send one request and wait for its answer, up to half a second beyond its time."""
        async with self._free:
            return await self._request(key, wait_ms, cls, value)

    async def _request(self, key: bytes, wait_ms: int, cls: str, value: bytes | None) -> Answer:
        request = self.new_id()
        options = f"c={cls},t=clinic,d={wait_ms}"
        if value is not None:
            options += f",k={os.urandom(8).hex()}"
        parts = [b"OBJ.GET" if value is None else b"OBJ.SET", key, request, options.encode()]
        if value is not None:
            parts.append(value)
        command = b"*%d\r\n" % len(parts) + b"".join(map(bulk, parts))
        self._record.write("sent", id=request.decode(), c=cls, d=wait_ms, bytes=len(command))
        began = time.monotonic()
        try:
            async with asyncio.timeout(wait_ms / 1000.0 + self.SLACK):
                kind, body = await self._exchange(command)
        except TimeoutError:
            kind, body = "none", b"nothing, on an open connection"
        answer = Answer(kind, body, time.monotonic() - began, command)
        self._record.write(
            "answer",
            id=request.decode(),
            kind=kind,
            ms=round(answer.seconds * 1000.0),
            text=body[:60],
        )
        self.answers.append((request, answer))
        if kind == "served" and body != value_for(key, request):
            self._record.write("FOREIGN", id=request.decode(), got=body[:80])
        return answer

    async def _exchange(self, command: bytes) -> tuple[str, bytes]:
        for attempt in range(2):
            kept = bool(self._idle) and attempt == 0
            if kept:
                reader, writer = self._idle.pop()
            else:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                except OSError:
                    return "unreachable", b""
            try:
                writer.write(command)
                line = await reader.readline()
                if line[:1] == b"$" and line != b"$-1\r\n":
                    body = (await reader.readexactly(int(line[1:]) + 2))[:-2]
                    kind = "served"
                else:
                    body = line.rstrip()
                    kind = "refused" if line.startswith(b"-BUSY") else "failed"
            except (ConnectionError, asyncio.IncompleteReadError):
                line = b""
            except asyncio.CancelledError:
                writer.transport.abort()
                raise
            if line:
                self._idle.append((reader, writer))
                return kind, body
            writer.close()
            if not kept:
                return "closed", b""
            # A resting connection that the proxy closed: once more on a new one.
        return "closed", b""

    def close(self) -> None:
        """Close the resting connections."""
        for _, writer in self._idle:
            writer.close()


class Lateness:
    """The longest time by which this process was late to handle an event."""

    def __init__(self) -> None:
        self.most = 0.0
        self._task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            at = loop.time() + 0.02
            await asyncio.sleep(0.02)
            self.most = max(self.most, loop.time() - at)

    def check(self, bound: float) -> None:
        """CannotRun if it was later than `bound` seconds."""
        self._task.cancel()
        if self.most > bound:
            raise CannotRun(f"this process was {self.most:.2f} s late: too little CPU to judge")


async def run_case(
    folder: Path, play: Callable[[Record, Path], Awaitable[bool]], limit: float = 115.0
) -> int:
    """Play a case in a temporary folder; `play` returns whether the rule held."""
    record = Record(folder)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):  # end what was started, too
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            async with asyncio.timeout(limit):
                held = await play(record, Path(temporary))
    except (Exception, asyncio.CancelledError) as error:
        # Neither a fault of the case nor its end by a signal may pass for a broken rule.
        record.say(f"not run: {type(error).__name__}: {error}")
        return NOT_RUN
    finally:
        record.close()
    return HOLDS if held else BROKEN


def main(file: str, play: Callable[[Record, Path], Awaitable[bool]]) -> None:
    """Run a case and exit with its status."""
    sys.exit(asyncio.run(run_case(Path(file).resolve().parent, play)))
