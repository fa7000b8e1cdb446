"""A Consul agent with its catalogue, as far as a client of services sees it, on loopback.

By the published HTTP API: `PUT /v1/agent/service/register`, `deregister/:id`, `maintenance/:id`,
`PUT /v1/agent/check/update/:id`, `GET /v1/health/service/:name`, `/v1/catalog/service/:name`,
`/v1/catalog/services`, `/v1/status/leader`, `/v1/agent/self`, with blocking queries.  Several
agents may stand before one `Catalogue`, as agents do before the servers.  Troubles are plain
attributes of an agent, to be set while it runs.  Written against asyncio alone, so that it runs
on the virtual network as well.
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

from .consul_catalogue import FrozenAnswer, HealthEntry, MachineFields
from .kv import KeyValues, duration

DEFAULT_WAIT_S = 300.0  # s of a blocking query that does not say for how long
MAX_BODY_BYTES = 1024 * 1024  # bytes of what a client sends


@dataclass
class Registered:
    """One instance and its checks."""

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
    """What the servers agree on, and its index."""

    def __init__(self) -> None:
        self.index = 10
        self.services: dict[str, Registered] = {}
        self.leader = True
        self._changed = asyncio.Event()

    def raise_index(self) -> None:
        """After any change: the index rises, who waits is answered."""
        self.index += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def restore_snapshot(self) -> None:
        """As servers restored from a snapshot: the same content under a small index."""
        self.index = 0
        self.raise_index()

    async def wait_for_change(self, index: int, seconds: float) -> None:
        """Until the index has passed `index`, or that long."""
        try:
            async with asyncio.timeout(seconds):
                while self.index == index:
                    await self._changed.wait()
        except TimeoutError:
            pass

    # --- what a deployment does ---
    def register(self, id_: str, port: int, service: str = "cache", **more: Any) -> None:
        self.services[id_] = Registered(id_, service, port, **more)
        self.raise_index()

    def deregister(self, *ids: str) -> None:
        for id_ in ids:
            self.services.pop(id_, None)
        self.raise_index()

    def check(self, id_: str, status: str, check: str = "") -> None:
        self.services[id_].checks[check or f"service:{id_}"] = status
        self.raise_index()

    def set_maintenance(self, id_: str, on: bool) -> None:
        name = f"_service_maintenance:{id_}"
        if on:
            self.services[id_].checks[name] = "critical"
        else:
            self.services[id_].checks.pop(name, None)
        self.raise_index()

    def health_entries(
        self, service: str, tag: str = "", passing: bool = False
    ) -> list[HealthEntry]:
        return [
            self._element(each)
            for each in self.services.values()
            if each.service == service
            and (not tag or tag in each.tags)
            and not (passing and set(each.checks.values()) - {"passing"})
        ]

    def _element(self, each: Registered) -> HealthEntry:
        node: MachineFields = {
            "Node": each.machine,
            "Address": "127.0.0.1",
            "Datacenter": "dc1",
            "Meta": {},
        }
        return {
            "Node": node,
            "Service": {
                "ID": each.id,
                "Service": each.service,
                "Address": each.address,
                "Port": each.port,
                "Tags": each.tags,
                "Meta": each.meta,
                "Weights": each.weights,
            },
            "Checks": [
                {
                    "Node": each.machine,
                    "CheckID": name,
                    "Status": status,
                    "ServiceID": each.id,
                    "ServiceName": each.service,
                }
                for name, status in ({"serfHealth": "passing"} | each.checks).items()
            ],
        }


class Consul:
    """One agent."""

    def __init__(self, catalogue: Catalogue | None = None, seed: int = 1) -> None:
        self.catalogue = catalogue or Catalogue()
        self._random = random.Random(seed)
        self.requests: list[str] = []  # targets
        self.tokens: list[str] = []
        self.token = ""  # that is demanded, if any
        self.delay = 0.0  # s before any answer
        self.canned_answers: list[bytes] = []  # raw answers that are given first, once each
        self.unresponsive = False  # takes connections and says nothing
        self.status = 200  # of all answers
        self.retry_after = ""
        self.headers: dict[str, str] = {}  # more of them, or others
        self.truncate_after = 0  # bytes after which an answer breaks off; 0: whole
        self.byte_interval = 0.0  # s between the bytes of an answer
        self.frozen: FrozenAnswer | None = None  # a replica that hears nothing
        self.on_answered: Callable[[str, bytes], None] = lambda target, body: (
            None
        )  # whole good answers
        self.open: dict[asyncio.StreamWriter, None] = {}
        self.kv = KeyValues(self.catalogue, self._random)
        self.drops_answers = False  # what was asked is done, and then the connection is reset
        self.port = 0

    async def start(self, port: int = 0, tls: ssl.SSLContext | None = None) -> Consul:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, ssl=tls)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Gone at once; `start` with the same port brings it back."""
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def inject_fault(self, kind: str, seconds: float) -> None:
        """Of `limebridge.faults.plan`; `heal` ends what lasts."""
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
        self.catalogue.leader, self.drops_answers = True, False

    def logs(self) -> dict[str, list[bytes]]:
        """The fleet's logs: their records in order."""
        found: dict[str, list[bytes]] = {}
        for key, entry in sorted(self.kv.entries.items()):
            parts = key.split("/")
            if "log" in parts:
                found.setdefault(parts[parts.index("log") + 1], []).append(entry.value)
        return found

    def freeze(self, service: str = "cache") -> None:
        """From now on this agent answers with what there is now."""
        self.frozen = FrozenAnswer(self.catalogue.index, self.catalogue.health_entries(service))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open[writer] = None
        try:
            while await self._one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        length = int(headers.get("content-length", "0"))
        if length > MAX_BODY_BYTES:
            raise ValueError("too much")
        body = await reader.readexactly(length)
        self.requests.append(target)
        token = headers.get("x-consul-token", "")
        self.tokens.append(token)
        parts = urlsplit(target)
        index: int | None = None
        if parts.path.startswith(("/v1/kv/", "/v1/session/", "/v1/txn")):
            if self.catalogue.leader:
                asks = {
                    name: values[0]
                    for name, values in parse_qs(parts.query, keep_blank_values=True).items()
                }
                path = [unquote(part) for part in parts.path.removeprefix("/v1/").split("/")]
                status, said, index = await self.kv.answer(method, path, asks, body)
            else:
                status, said = 500, b"No cluster leader"
        else:
            status, said = await self._answer(method, target, body)
        await asyncio.sleep(self.delay)
        # Troubles last: one that begins while a query blocks meets its answer.
        if self.drops_answers and method == "PUT":
            writer.transport.abort()
            return False
        if self.unresponsive:
            await asyncio.Event().wait()
        if self.canned_answers:
            writer.write(self.canned_answers.pop(0))
            return True
        if token != self.token:
            status, said = 403, b"Permission denied"
        elif self.status != 200:
            status, said = self.status, b"No cluster leader"
        answer = self._framed(status, said, index)
        if self.byte_interval:
            for place in range(len(answer)):
                writer.write(answer[place : place + 1])
                await asyncio.sleep(self.byte_interval)
        elif self.truncate_after:
            writer.write(answer[: self.truncate_after])
            return False
        else:
            writer.write(answer)
            if status == 200 and not reader.at_eof() and reader.exception() is None:
                self.on_answered(target, said)  # who had asked is still there
        return True

    def _framed(self, status: int, body: bytes, index: int | None) -> bytes:
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
        if self._random.random() < 0.5:  # both framings are to be met
            return (
                f"HTTP/1.1 {status} X\r\n{text}Transfer-Encoding: chunked\r\n\r\n".encode()
                + (b"%x\r\n%b\r\n" % (len(body), body) if body else b"")
                + b"0\r\n\r\n"
            )
        return f"HTTP/1.1 {status} X\r\n{text}Content-Length: {len(body)}\r\n\r\n".encode() + body

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        parts = urlsplit(target)
        asks = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        path = [unquote(part) for part in parts.path.strip("/").split("/")]
        if method == "PUT":
            return self._put(path, asks, json.loads(body) if body else {})
        match path:
            case ["v1", "health" | "catalog" as kind, "service", name]:
                if "index" in asks and "consistent" not in asks:
                    await self._block(asks)
                listed = (
                    self.frozen.entries
                    if self.frozen and "consistent" not in asks
                    else self.catalogue.health_entries(name, asks.get("tag", ""), "passing" in asks)
                )
                said = listed if kind == "health" else [_as_catalogue(each) for each in listed]
                return 200, json.dumps(said).encode()
            case ["v1", "catalog", "services"]:
                tags: dict[str, list[str]] = {}
                for each in self.catalogue.services.values():
                    tags[each.service] = sorted({*tags.get(each.service, []), *each.tags})
                return 200, json.dumps(tags).encode()
            case ["v1", "status", "leader"]:
                return 200, b'"127.0.0.1:8300"' if self.catalogue.leader else b'""'
            case ["v1", "agent", "self"]:
                return 200, b'{"Config": {"Datacenter": "dc1", "NodeName": "machine-1"}}'
        return 404, b"no such thing"

    async def _block(self, asks: dict[str, str]) -> None:
        """Wait, as a blocking query does, for the index to pass the one that is named."""
        seconds = duration(asks.get("wait", "")) or DEFAULT_WAIT_S
        seconds += self._random.uniform(0.0, seconds / 16)
        if self.frozen is not None:
            await asyncio.sleep(seconds)
        else:
            await self.catalogue.wait_for_change(int(asks["index"]), seconds)

    def _put(self, path: list[str], asks: dict[str, str], body: Any) -> tuple[int, bytes]:
        catalogue = self.catalogue
        match path:
            case ["v1", "agent", "service", "register"]:
                body = {key.lower(): value for key, value in body.items()}  # as Go decodes it
                checks = body.get("checks") or ([body["check"]] if body.get("check") else [])
                id_ = body.get("id") or body["name"]
                catalogue.services[id_] = Registered(
                    id_,
                    body["name"],
                    int(body.get("port") or 0),
                    body.get("address") or "",
                    body.get("tags") or [],
                    body.get("meta") or {},
                    body.get("weights") or {"Passing": 1, "Warning": 1},
                    {
                        f"service:{id_}": {key.lower(): value for key, value in each.items()}.get(
                            "status"
                        )
                        or "critical"
                        for each in checks
                    },
                )
                catalogue.raise_index()
            case ["v1", "agent", "service", "deregister", id_] if id_ in catalogue.services:
                catalogue.deregister(id_)
            case ["v1", "agent", "service", "maintenance", id_] if id_ in catalogue.services:
                catalogue.set_maintenance(id_, asks.get("enable", "").lower() in ("1", "t", "true"))
            case ["v1", "agent", "check", ("update" | "pass" | "warn" | "fail") as verb, check]:
                id_ = check.removeprefix("service:")
                if id_ not in catalogue.services:
                    return 404, b"unknown check"
                words = {"pass": "passing", "warn": "warning", "fail": "critical"}
                catalogue.check(id_, words.get(verb) or body["Status"], check)
            case _:
                return 404, b"unknown service"
        return 200, b""


def _as_catalogue(entry: HealthEntry) -> dict[str, object]:
    """The entry as /v1/catalog/service/NAME has it."""
    service = {f"Service{key}": value for key, value in entry["Service"].items()}
    return entry["Node"] | service
