"""What the cases 6 to 10 share: daemons, a record, and stand-ins for nodes, clients and discovery.

Standard library only.  Every address is a loopback address.  Daemons are separate processes,
started with the command `run` of the deploy file; the stand-ins are threads of the case's process.
Times in records are seconds since the case began.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
TIME_LIMIT = 115.0  # s after which a case ends in any event

# The settings of the site, as the page on the wire shows them; `settings` may change some.
SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "caps": {
        "cancel": True,
        "connIdleMs": 5000.0,
        "connectTimeoutMs": 120.0,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 5050000,
        "maxRetryAfterMs": 1500.0,
        "maxStreams": 32,
        "mostHeld": 1010000,
        "mostTries": 4,
        "peerMessages": False,
        "probes": False,
        "retryAfter": False,
        "secondCopies": True,
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
            "streaming": False,
            "worth": 2.0,
        },
        {
            "name": "optout",
            "promiseMs": 300.0,
            "deadlineMs": 1200.0,
            "effect": "token",
            "group": "all",
            "keyTtlMs": 2500.0,
            "lateValue": 0.2,
            "streaming": False,
            "worth": 5.0,
        },
        {
            "name": "template-save",
            "promiseMs": 750.0,
            "deadlineMs": 3000.0,
            "effect": "token",
            "group": "all",
            "keyTtlMs": 2000.0,
            "lateValue": 0.5,
            "streaming": False,
            "worth": 5.0,
        },
    ],
    "clientHabits": {"marksRetry": False},
    "familyInfo": {"mode": "through", "originFallMs": 3000.0, "originFallMultiple": 2.5},
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
    "me": 0,
    "membershipMode": "subscribe",
    "tariffs": {"crossZone": 0.12, "lateFail": 0.08, "waste": 0.02},
    "tickMs": 5.0,
    "zone": "catania-nord",
    "zones": ["catania-nord", "acireale", "paterno"],
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line with its time."""
        line = f"{self.now() if at is None else at:9.4f} {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()


def free_port() -> int:
    """A loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Daemon:
    """One proxy: a process of its own, started with the deploy file's `run`."""

    def __init__(
        self,
        case: Case,
        name: str,
        known: list[dict[str, Any]],
        discovery: int,
        operator: str = "",
        settings: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
    ) -> None:
        self.case, self.name, self.port = case, name, free_port()
        self.killed = False  # by the case, in the place of the platform
        folder = case.folder / name
        (folder / "tmp").mkdir(parents=True)
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{random.Random(name).getrandbits(64):016x}",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": known},
            "settings": settings or SETTINGS,
        }
        self.config_path = folder / "config.json"
        self.config_path.write_text(json.dumps(config))
        env = {k: v for k, v in os.environ.items() if k not in ("LIMEBRIDGE_OPERATOR", "TROUBLE")}
        env.pop("PYTHONPATH", None)
        env |= {"PROXY_CONFIG": str(self.config_path), "PROXY_NAME": name}
        env["TMPDIR"] = str(folder / "tmp")
        if operator:
            (folder / "operator.toml").write_text(operator)
            env["LIMEBRIDGE_OPERATOR"] = str(folder / "operator.toml")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = (folder / "log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        case.daemons.append(self)

    def wait_ready(self, seconds: float = 20.0) -> None:
        """Return once it answers PING; CaseError if it does not."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                break
            with contextlib.suppress(OSError), Client(self.port, 1.0) as client:
                if client.call(b"PING") == b"+PONG":
                    self.case.record.write(f"{self.name} is ready")
                    return
            time.sleep(0.05)
        raise CaseError(f"{self.name} is not ready: {self.log_text()[-400:]}")

    def log_text(self) -> str:
        """What the process has written."""
        return Path(self.log.name).read_text(errors="replace")

    def end(self) -> None:
        """Kill the process if it runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Case:
    """One run of a case: its record, its daemons, its threads, and its exit status."""

    def __init__(self, file: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(file).resolve().parent / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.daemons: list[Daemon] = []
        self.over = threading.Event()
        self._threads: list[threading.Thread] = []
        self.errors: list[str] = []
        self.record.write(f"trouble: {int(self.trouble)}")

    def thread(self, target: Callable[..., None], *args: Any) -> None:
        """Run `target` in a thread; an exception makes the case one that could not run."""

        def run() -> None:
            try:
                target(*args)
            except Exception as error:
                if not self.over.is_set():
                    self.errors.append(f"{target.__name__}: {error!r}")

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def play(self, body: Callable[[Case], list[str]]) -> int:
        """Run `body`, which returns the breaks of the rule; end all processes; the exit status."""
        watchdog = threading.Timer(TIME_LIMIT, self._expired)
        watchdog.daemon = True
        watchdog.start()
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        try:
            breaks = body(self)
            for daemon in self.daemons:
                if daemon.process.poll() is not None and not daemon.killed:
                    raise CaseError(f"{daemon.name} has ended: {daemon.log_text()[-400:]}")
            if self.errors:
                raise CaseError("; ".join(self.errors[:3]))
            status = BROKEN if breaks else HELD
            for text in breaks[:20]:
                self.record.write(f"BROKEN {text}")
                print(f"broken: {text}")
            print(f"{len(breaks)} breaks of the rule" if breaks else "the rule held")
        except CaseError as error:
            self.record.write(f"could not run: {error}")
            print(f"could not run: {error}", file=sys.stderr)
            status = NOT_RUN
        finally:
            self.close()
            watchdog.cancel()
        self.record.write(f"exit {status}")
        return status

    def close(self) -> None:
        """End all processes and copy their logs into the record."""
        self.over.set()
        for daemon in self.daemons:
            daemon.end()
            for line in daemon.log_text().splitlines()[:60]:
                self.record.write(f"log of {daemon.name}: {line}")
        self._temporary.cleanup()

    def _expired(self) -> None:
        self.record.write("could not run: out of time")
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.process.kill()
        os._exit(NOT_RUN)


# --- RESP2 ---
def bulk(data: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def command(*words: bytes) -> bytes:
    """A command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


def served(value: bytes, how: bytes = b"hit") -> bytes:
    """A cache node's answer: the value, how it went, no load report."""
    return b"*3\r\n" + bulk(value) + bulk(how) + b"$-1\r\n"


class Reader:
    """Reads lines and bodies from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock, self._buffer = sock, bytearray()

    def _more(self) -> None:
        data = self._sock.recv(65536)
        if not data:
            raise ConnectionError("the peer has ended")
        self._buffer += data

    def line(self) -> bytes:
        """One line without its end."""
        while (end := self._buffer.find(b"\r\n")) < 0:
            self._more()
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line

    def body(self, size: int) -> bytes:
        """`size` bytes."""
        while len(self._buffer) < size:
            self._more()
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    @property
    def empty(self) -> bool:
        """Whether nothing is unread, here or in the kernel."""
        if self._buffer:
            return False
        try:
            return not self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False

    def words(self) -> list[bytes]:
        """One command."""
        count = int(self.line()[1:])
        words = []
        for _ in range(count):
            size = int(self.line()[1:])
            words.append(self.body(size + 2)[:-2])
        return words


def fields(options: bytes) -> dict[str, str]:
    """The list of names and values of a command."""
    pairs = (item.partition(b"=") for item in options.split(b","))
    return {name.decode(): value.decode() for name, _, value in pairs}


class Client:
    """A client's connection to a proxy, one command at a time."""

    def __init__(self, port: int, seconds: float = 5.0) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=seconds)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = Reader(self.sock)

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()

    def call(self, *words: bytes) -> bytes:
        """Send a command; its answer."""
        self.sock.sendall(command(*words))
        return self.answer()

    def answer(self) -> bytes:
        """The next answer: the line, or `$` and the value of a bulk string."""
        line = self._reader.line()
        if line.startswith(b"$") and line != b"$-1":
            return b"$" + self._reader.body(int(line[1:]) + 2)[:-2]
        return line


# --- stand-ins ---
def serve_connections(
    case: Case, handle: Callable[[socket.socket], None], port: int = 0
) -> socket.socket:
    """Listen on a loopback port, with a thread for each connection."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(1024)

    def connection(sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError, ValueError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(sock)

    def accept() -> None:
        while not case.over.is_set():
            sock, _ = listener.accept()
            case.thread(connection, sock)

    case.thread(accept)
    return listener


class Discovery:
    """The platform's discovery: a watch with the whole list first, and an empty line each 2 s."""

    def __init__(self, case: Case, instances: list[dict[str, Any]]) -> None:
        self._case, self._instances = case, instances
        self._listener = serve_connections(case, self._serve)
        self.port = int(self._listener.getsockname()[1])

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        while reader.line():
            pass
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        whole = {"generation": 2, "reset": True, "instances": self._instances}
        text = json.dumps(whole).encode() + b"\n"
        while not self._case.over.is_set():
            sock.sendall(b"%x\r\n%b\r\n" % (len(text), text))
            text = b"\n"
            self._case.over.wait(1.9)


def entry(name: str, port: int, **more: Any) -> dict[str, Any]:
    """An entry of the platform's list."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "catania-nord",
        "machineType": "standard",
        "cell": 0,
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 0,
    } | more


def paced(case: Case, interval: float, seconds: float) -> Iterator[int]:
    """Count up at this interval, for so many seconds."""
    began = time.monotonic()
    number = 0
    while not case.over.is_set() and time.monotonic() - began < seconds:
        yield number
        number += 1
        wait = began + number * interval - time.monotonic()
        if wait > 0:
            time.sleep(wait)
