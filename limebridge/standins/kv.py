"""Consul's sessions, keys and transactions, as far as locks need them, by the published HTTP API.

`PUT /v1/session/create`, `renew/:id`, `destroy/:id`; `GET /v1/kv/:key` with `recurse` and blocking
queries; `PUT /v1/txn` with the verbs set, lock, unlock, delete, check-index, check-not-exists.
With the known weak points: a session ends between one and two times its TTL after its last renewal,
a new leader begins the reckoning anew or has lost the sessions, `lock-delay` keeps a key locked
after a session was invalidated, and servers that have lost their data begin at index 1.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import uuid
from dataclasses import dataclass, field
from typing import Any, Protocol

DEFAULT_LOCK_DELAY_S = 15.0  # s, of a session that does not say
MAX_VALUE_BYTES = 512 * 1024  # bytes
MAX_TXN_OPERATIONS = 128  # of a transaction


class CatalogueIndex(Protocol):
    """What the servers agree on: `Catalogue`."""

    index: int

    def raise_index(self) -> None: ...

    async def wait_for_change(self, index: int, seconds: float) -> None: ...


@dataclass
class Session:
    ttl: float
    lock_delay: float
    behavior: str
    timer: Any = None


@dataclass
class Entry:
    value: bytes
    create: int
    modify: int
    lock: int = 0
    session: str = ""
    free_at: float = 0.0  # until then the lock-delay holds


@dataclass
class KeyValues:
    """The servers' state; `change` of the catalogue is their index."""

    servers: CatalogueIndex
    rng: random.Random
    entries: dict[str, Entry] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    marks: dict[str, int] = field(default_factory=dict)  # the last change of each key, gone or not
    calls: int = 0

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # --- what goes wrong ---
    def lose_data(self) -> None:
        """Servers that have lost their data."""
        for id_ in list(self.sessions):
            self._end(id_, tell=False)
        self.entries.clear()
        self.marks.clear()
        self.servers.index = 0
        self.servers.raise_index()

    def new_leader(self, loses: bool) -> None:
        """Sessions are lost, or live on from now."""
        for id_ in list(self.sessions):
            if loses:
                self._end(id_)
            else:
                self._restart_ttl(id_)

    # --- sessions ---
    def _restart_ttl(self, id_: str) -> None:
        session = self.sessions[id_]
        if session.timer is not None:
            session.timer.cancel()
        session.timer = asyncio.get_running_loop().call_later(
            session.ttl * self.rng.uniform(1.0, 2.0), self._end, id_
        )

    def _end(self, id_: str, tell: bool = True) -> None:
        session = self.sessions.pop(id_, None)
        if session is None:
            return
        session.timer.cancel()
        for key, entry in list(self.entries.items()):
            if entry.session == id_:
                if session.behavior == "delete":
                    del self.entries[key]
                else:
                    entry.session = ""
                    entry.free_at = self._now + session.lock_delay
                    entry.modify = self.servers.index + 1
                self.marks[key] = self.servers.index + 1
        if tell:
            self.servers.raise_index()

    def _create(self, body: dict[str, Any]) -> tuple[int, bytes]:
        id_ = str(uuid.UUID(int=self.rng.getrandbits(128)))
        ttl = duration(body.get("TTL", ""))
        if not ttl:
            return 400, b"Invalid Session TTL"
        delay = body.get("LockDelay")
        self.sessions[id_] = Session(
            ttl,
            DEFAULT_LOCK_DELAY_S if delay is None else duration(str(delay)),
            body.get("Behavior", "release"),
        )
        self._restart_ttl(id_)
        self.servers.raise_index()
        return 200, json.dumps({"ID": id_}).encode()

    # --- calls ---
    async def answer(
        self, method: str, path: list[str], asks: dict[str, str], body: bytes
    ) -> tuple[int, bytes, int]:
        """Status, body and index: of a read the highest of what it looked at, as a prefix has."""
        self.calls += 1
        if method == "GET":
            key, recurse = "/".join(path[1:]), "recurse" in asks
            if "index" in asks:
                await self._wait_for_key(key, recurse, int(asks["index"]), asks.get("wait", ""))
            return *self._get(key, recurse), self._index(key, recurse)
        return *self._put(method, path, body), self.servers.index

    def _index(self, key: str, recurse: bool) -> int:
        """What has gone leaves its mark, or nobody would hear of it."""
        return max(
            [
                1,
                *(
                    modify
                    for name, modify in self.marks.items()
                    if name == key or (recurse and name.startswith(key))
                ),
            ]
        )

    async def _wait_for_key(self, key: str, recurse: bool, index: int, wait: str) -> None:
        """Until this prefix has changed, or that long."""
        seconds = (duration(wait) or 300.0) * self.rng.uniform(1.0, 1.0625)
        until = self._now + seconds
        while self._index(key, recurse) == index and self._now < until:
            await self.servers.wait_for_change(self.servers.index, until - self._now)

    def _put(self, method: str, path: list[str], body: bytes) -> tuple[int, bytes]:
        match method, path:
            case "PUT", ["session", "create"]:
                return self._create(json.loads(body) if body else {})
            case "PUT", ["session", "renew", id_]:
                if id_ not in self.sessions:
                    return 404, f"Session id '{id_}' not found".encode()
                self._restart_ttl(id_)
                return 200, json.dumps([{"ID": id_}]).encode()
            case "PUT", ["session", "destroy", id_]:
                self._end(id_)
                return 200, b"true"
            case "PUT", ["txn"]:
                return self._transaction(json.loads(body))
        return 404, b"no such thing"

    def _get(self, key: str, recurse: bool) -> tuple[int, bytes]:
        found = {
            name: entry
            for name, entry in sorted(self.entries.items())
            if name == key or (recurse and name.startswith(key))
        }
        if not found:
            return 404, b""
        return 200, json.dumps(
            [
                {
                    "Key": name,
                    "Value": base64.b64encode(entry.value).decode(),
                    "Flags": 0,
                    "CreateIndex": entry.create,
                    "ModifyIndex": entry.modify,
                    "LockIndex": entry.lock,
                    **({"Session": entry.session} if entry.session else {}),
                }
                for name, entry in found.items()
            ]
        ).encode()

    def _transaction(self, steps: list[dict[str, Any]]) -> tuple[int, bytes]:
        """All of it or nothing: checks come before any change, whatever their order."""
        if len(steps) > MAX_TXN_OPERATIONS:
            return 413, b"too many operations"
        asked = [step["KV"] for step in steps]
        wrong = [place for place, step in enumerate(asked) if not self._holds(step)]
        if wrong:
            return 409, json.dumps(
                {
                    "Results": None,
                    "Errors": [{"OpIndex": place, "What": "failed"} for place in wrong],
                }
            ).encode()
        for step in asked:
            self._apply(step)
        self.servers.raise_index()
        return 200, json.dumps({"Results": [], "Errors": None}).encode()

    def _holds(self, step: dict[str, Any]) -> bool:
        entry = self.entries.get(step["Key"])
        match step["Verb"]:
            case "check-index":
                return entry is not None and entry.modify == step["Index"]
            case "check-not-exists":
                return entry is None
            case "set":
                return len(base64.b64decode(step["Value"])) <= MAX_VALUE_BYTES
            case "lock":
                return step["Session"] in self.sessions and (
                    entry is None
                    or entry.session == step["Session"]
                    or (not entry.session and self._now >= entry.free_at)
                )
            case "unlock":
                return entry is not None and entry.session == step["Session"]
            case "delete":
                return True
        return False

    def _apply(self, step: dict[str, Any]) -> None:
        key, verb, index = step["Key"], step["Verb"], self.servers.index + 1
        if not verb.startswith("check"):
            self.marks[key] = index
        if verb == "delete":
            self.entries.pop(key, None)
        elif verb in ("set", "lock", "unlock"):
            entry = self.entries.setdefault(key, Entry(b"", index, index))
            entry.value, entry.modify = base64.b64decode(step["Value"]), index
            if verb == "lock" and entry.session != step["Session"]:
                entry.session, entry.lock = step["Session"], entry.lock + 1
            elif verb == "unlock":
                entry.session = ""


def duration(text: str) -> float:
    """A Go duration of one unit, as clients send it."""
    for unit, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(unit) and text.removesuffix(unit).isdecimal():
            return int(text.removesuffix(unit)) * factor
    return 0.0
