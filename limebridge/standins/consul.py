"""A Consul agent with its catalogue on loopback, limited to what clients of services use.

It implements these calls of the published HTTP API, with blocking queries:
`PUT /v1/agent/service/register`, `deregister/:id`, `maintenance/:id`,
`PUT /v1/agent/check/update/:id`, `GET /v1/health/service/:name`, `/v1/catalog/service/:name`,
`/v1/catalog/services`, `/v1/status/leader` and `/v1/agent/self`.  Several
agents may share one `Catalogue`, as agents share the servers.  Faults are plain attributes of an
agent that can be set while it runs.  It uses asyncio alone, so it also runs on the virtual
network.
"""

from __future__ import annotations

import asyncio
import json
import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from .consul_catalogue import FrozenAnswer, HealthEntry, MachineFields, as_catalogue_row
from .kv import KeyValues, duration

DEFAULT_WAIT_S = 300.0  # s for a blocking query without a `wait` parameter
MAX_BODY_BYTES = 1024 * 1024  # limit on a request's body


@dataclass
class ServiceInstance:
    """A registered service instance and its checks."""

    id: str
    service: str
    port: int
    address: str = ""
    tags: list[str] = field(default_factory=list)
    meta: dict[str, str] = field(default_factory=dict)
    weights: dict[str, int] = field(default_factory=lambda: {"Passing": 1, "Warning": 1})
    checks: dict[str, str] = field(default_factory=dict)  # id: passing, warning, critical
    machine: str = "machine-1"


class Catalogue:
    """The replicated state of the servers and its index."""

    def __init__(self) -> None:
        self.index = 10
        self.services: dict[str, ServiceInstance] = {}
        self.leader = True
        self._changed = asyncio.Event()

    def raise_index(self) -> None:
        """Raise the index after a change and wake all blocking queries."""
        self.index += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def restore_snapshot(self) -> None:
        """Keep the content but restart the index at 1, as servers restored from a snapshot do."""
        self.index = 0
        self.raise_index()

    async def wait_for_change(self, index: int, seconds: float) -> None:
        """Return when the index differs from `index`, or after `seconds`."""
        try:
            async with asyncio.timeout(seconds):
                while self.index == index:
                    await self._changed.wait()
        except TimeoutError:
            pass

    # --- what a deployment does ---
    def register(self, id_: str, port: int, service: str = "cache", **more: Any) -> None:
        """Add or replace an instance; `more` are fields of ServiceInstance."""
        self.services[id_] = ServiceInstance(id_, service, port, **more)
        self.raise_index()

    def deregister(self, *ids: str) -> None:
        """Remove instances with a single rise of the index."""
        for id_ in ids:
            self.services.pop(id_, None)
        self.raise_index()

    def check(self, id_: str, status: str, check: str = "") -> None:
        """Set the status of a check, by default of the service's own."""
        self.services[id_].checks[check or f"service:{id_}"] = status
        self.raise_index()

    def set_maintenance(self, id_: str, on: bool) -> None:
        """Switch the maintenance mode of an instance, which is a critical check."""
        name = f"_service_maintenance:{id_}"
        if on:
            self.services[id_].checks[name] = "critical"
        else:
            self.services[id_].checks.pop(name, None)
        self.raise_index()

    def health_entries(
        self, service: str, tag: str = "", passing: bool = False
    ) -> list[HealthEntry]:
        """Entries of a service; `passing`: only those whose checks all pass."""
        return [
            self._health_entry(instance)
            for instance in self.services.values()
            if instance.service == service
            and (not tag or tag in instance.tags)
            and not (passing and set(instance.checks.values()) - {"passing"})
        ]

    def _health_entry(self, instance: ServiceInstance) -> HealthEntry:
        node: MachineFields = {
            "Node": instance.machine,
            "Address": "127.0.0.1",
            "Datacenter": "dc1",
            "Meta": {},
        }
        return {
            "Node": node,
            "Service": {
                "ID": instance.id,
                "Service": instance.service,
                "Address": instance.address,
                "Port": instance.port,
                "Tags": instance.tags,
                "Meta": instance.meta,
                "Weights": instance.weights,
            },
            "Checks": [
                {
                    "Node": instance.machine,
                    "CheckID": name,
                    "Status": status,
                    "ServiceID": instance.id,
                    "ServiceName": instance.service,
                }
                for name, status in ({"serfHealth": "passing"} | instance.checks).items()
            ],
        }


class Consul:
    """One agent; its constructor lists the faults that can be set."""

    def __init__(self, catalogue: Catalogue | None = None, seed: int = 1) -> None:
        self.catalogue = catalogue or Catalogue()
        self._random = random.Random(seed)
        self.requests: list[str] = []  # request targets
        self.tokens: list[str] = []
        self.token = ""  # the token that is required, if any
        self.delay = 0.0  # s before each answer
        self.canned_answers: list[bytes] = []  # raw answers, each sent once before any normal one
        self.unresponsive = False  # accepts connections and sends nothing
        self.status = 200  # HTTP status of all answers
        self.retry_after = ""
        self.headers: dict[str, str] = {}  # added to the answer's headers, or replacing them
        self.truncate_after = 0  # bytes after which an answer is cut off; 0: never
        self.byte_interval = 0.0  # s between two bytes of an answer; 0: sent at once
        self.frozen: FrozenAnswer | None = None  # answer of a replica without updates
        self.leader_delay = 0.0  # s before each answer to a consistent read, beside `delay`
        self.leader_status = 0  # HTTP status of all answers to consistent reads, unless 0
        self.leader_silent = False  # consistent reads get no answer
        # called with target and body of each complete answer with status 200
        self.on_answered: Callable[[str, bytes], None] = lambda target, body: None
        self.open: dict[asyncio.StreamWriter, None] = {}
        self.kv = KeyValues(self.catalogue, self._random)
        self.drops_answers = False  # writes are applied, and then the connection is reset
        self.port = 0

    async def start(self, port: int = 0, tls: ssl.SSLContext | None = None) -> Consul:
        """Listen; port 0 lets the kernel pick one, which is then in `port`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, ssl=tls)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop at once; `start` with the same port starts it again."""
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def inject_fault(self, kind: str, seconds: float) -> None:
        """Inject a fault of `limebridge.faults.plan`; return when it is over."""
        if kind == "leader":
            self.catalogue.leader = False
            await asyncio.sleep(seconds)
            self.kv.new_leader(self._random.random() < 0.5)
            self.end_fault()
        elif kind == "lose_answers":
            self.drops_answers = True
            await asyncio.sleep(seconds)
            self.end_fault()
        else:
            self.kv.lose_data()

    def end_fault(self) -> None:
        """End a missing leader and dropped answers."""
        self.catalogue.leader, self.drops_answers = True, False

    def logs(self) -> dict[str, list[bytes]]:
        """The records of the fleet's logs in order, by work."""
        found: dict[str, list[bytes]] = {}
        for key, entry in sorted(self.kv.entries.items()):
            parts = key.split("/")
            if "log" in parts:
                found.setdefault(parts[parts.index("log") + 1], []).append(entry.value)
        return found

    def freeze(self, service: str = "cache") -> None:
        """From now on answer with the current state of the catalogue."""
        self.frozen = FrozenAnswer(self.catalogue.index, self.catalogue.health_entries(service))

    def count_leader_reads(self) -> int:
        """The number of consistent reads that were requested."""
        return sum(target.endswith("consistent") for target in self.requests)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open[writer] = None
        try:
            while await self._handle_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        length = int(headers.get("content-length", "0"))
        if length > MAX_BODY_BYTES:
            raise ValueError("request body too large")
        body = await reader.readexactly(length)
        self.requests.append(target)
        token = headers.get("x-consul-token", "")
        self.tokens.append(token)
        parts = urlsplit(target)
        index: int | None = None
        if parts.path.startswith(("/v1/kv/", "/v1/session/", "/v1/txn")):
            if self.catalogue.leader:
                query = {
                    name: values[0]
                    for name, values in parse_qs(parts.query, keep_blank_values=True).items()
                }
                path = [unquote(part) for part in parts.path.removeprefix("/v1/").split("/")]
                status, content, index = await self.kv.answer(method, path, query, body)
            else:
                status, content = 500, b"No cluster leader"
        else:
            status, content = await self._answer(method, target, body)
        await asyncio.sleep(self.delay)
        # Faults are read after the wait, so one that starts during a blocking query applies to it.
        if self.drops_answers and method == "PUT":
            writer.transport.abort()
            return False
        is_leader_read = target.endswith("consistent")
        if is_leader_read:
            await asyncio.sleep(self.leader_delay)
        if self.unresponsive or (is_leader_read and self.leader_silent):
            await asyncio.Event().wait()
        if self.canned_answers:
            writer.write(self.canned_answers.pop(0))
            return True
        if token != self.token:
            status, content = 403, b"Permission denied"
        elif self.status != 200:
            status, content = self.status, b"No cluster leader"
        elif is_leader_read and self.leader_status:
            status, content = self.leader_status, b"No cluster leader"
        answer = self._encode(status, content, index)
        if self.byte_interval:
            for offset in range(len(answer)):
                writer.write(answer[offset : offset + 1])
                await asyncio.sleep(self.byte_interval)
        elif self.truncate_after:
            writer.write(answer[: self.truncate_after])
            return False
        else:
            writer.write(answer)
            if status == 200 and not reader.at_eof() and reader.exception() is None:
                self.on_answered(target, content)  # only for a client that is still connected
        return True

    def _encode(self, status: int, body: bytes, index: int | None) -> bytes:
        if index is None:
            index = self.frozen.index if self.frozen else self.catalogue.index
        headers = {
            "Content-Type": "application/json",
            "X-Consul-Index": str(index),
            "X-Consul-KnownLeader": str(self.catalogue.leader).lower(),
            "X-Consul-LastContact": "0",
        }
        if self.retry_after:
            headers["Retry-After"] = self.retry_after
        headers |= self.headers
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if self._random.random() < 0.5:  # half of the answers are chunked, to test both framings
            return (
                f"HTTP/1.1 {status} X\r\n{text}Transfer-Encoding: chunked\r\n\r\n".encode()
                + (b"%x\r\n%b\r\n" % (len(body), body) if body else b"")
                + b"0\r\n\r\n"
            )
        return f"HTTP/1.1 {status} X\r\n{text}Content-Length: {len(body)}\r\n\r\n".encode() + body

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        path = [unquote(part) for part in parts.path.strip("/").split("/")]
        if method == "PUT":
            return self._put(path, query, json.loads(body) if body else {})
        match path:
            case ["v1", "health" | "catalog" as kind, "service", name]:
                if "index" in query and "consistent" not in query:
                    await self._wait_for_index(query)
                listed = (
                    self.frozen.entries
                    if self.frozen and "consistent" not in query
                    else self.catalogue.health_entries(
                        name, query.get("tag", ""), "passing" in query
                    )
                )
                content = listed if kind == "health" else [as_catalogue_row(e) for e in listed]
                return 200, json.dumps(content).encode()
            case ["v1", "catalog", "services"]:
                tags: dict[str, list[str]] = {}
                for instance in self.catalogue.services.values():
                    tags[instance.service] = sorted(
                        {*tags.get(instance.service, []), *instance.tags}
                    )
                return 200, json.dumps(tags).encode()
            case ["v1", "status", "leader"]:
                return 200, b'"127.0.0.1:8300"' if self.catalogue.leader else b'""'
            case ["v1", "agent", "self"]:
                return 200, b'{"Config": {"Datacenter": "dc1", "NodeName": "machine-1"}}'
        return 404, b"no such thing"

    async def _wait_for_index(self, query: dict[str, str]) -> None:
        """Block until the index differs from the query's, or its wait time has passed."""
        seconds = duration(query.get("wait", "")) or DEFAULT_WAIT_S
        seconds += self._random.uniform(0.0, seconds / 16)
        if self.frozen is not None:
            await asyncio.sleep(seconds)
        else:
            await self.catalogue.wait_for_change(int(query["index"]), seconds)

    def _put(self, path: list[str], query: dict[str, str], body: Any) -> tuple[int, bytes]:
        catalogue = self.catalogue
        match path:
            case ["v1", "agent", "service", "register"]:
                # Go decodes JSON keys case-insensitively.
                body = {key.lower(): value for key, value in body.items()}
                checks = body.get("checks") or ([body["check"]] if body.get("check") else [])
                id_ = body.get("id") or body["name"]
                catalogue.services[id_] = ServiceInstance(
                    id_,
                    body["name"],
                    int(body.get("port") or 0),
                    body.get("address") or "",
                    body.get("tags") or [],
                    body.get("meta") or {},
                    body.get("weights") or {"Passing": 1, "Warning": 1},
                    {
                        f"service:{id_}": {
                            key.lower(): value for key, value in definition.items()
                        }.get("status")
                        or "critical"
                        for definition in checks
                    },
                )
                catalogue.raise_index()
            case ["v1", "agent", "service", "deregister", id_] if id_ in catalogue.services:
                catalogue.deregister(id_)
            case ["v1", "agent", "service", "maintenance", id_] if id_ in catalogue.services:
                catalogue.set_maintenance(
                    id_, query.get("enable", "").lower() in ("1", "t", "true")
                )
            case ["v1", "agent", "check", ("update" | "pass" | "warn" | "fail") as verb, check]:
                id_ = check.removeprefix("service:")
                if id_ not in catalogue.services:
                    return 404, b"unknown check"
                words = {"pass": "passing", "warn": "warning", "fail": "critical"}
                catalogue.check(id_, words.get(verb) or body["Status"], check)
            case _:
                return 404, b"unknown service"
        return 200, b""
