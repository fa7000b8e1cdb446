"""The sessions, keys and transactions of Consul's HTTP API, limited to what locks need.

`PUT /v1/session/create`, `renew/:id`, `destroy/:id`; `GET /v1/kv/:key` with `recurse` and blocking
queries; `PUT /v1/txn` with the verbs set, lock, unlock, delete, check-index, check-not-exists.
It reproduces these weaknesses: a session ends between one and two times its TTL after its last
renewal, a new leader restarts the TTL or has lost the sessions, `lock-delay` keeps a key locked
after its session was invalidated, and servers that have lost their data restart at index 1.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import uuid
from dataclasses import dataclass, field
from typing import Any, Protocol

DEFAULT_LOCK_DELAY_S = 15.0  # s for a session without LockDelay
MAX_VALUE_BYTES = 512 * 1024
MAX_TXN_OPERATIONS = 128


class CatalogueIndex(Protocol):
    """The index of the servers' state, which `Catalogue` has."""

    index: int

    def raise_index(self) -> None:
        """Raise the index after a change and wake all blocking queries."""
        ...

    async def wait_for_change(self, index: int, seconds: float) -> None:
        """Return when the index differs from `index`, or after `seconds`."""
        ...


@dataclass
class Session:
    """A session; `ttl` and `lock_delay` in seconds."""

    ttl: float
    lock_delay: float
    behavior: str
    timer: Any = None


@dataclass
class Entry:
    """A key's value, and the indexes of its creation and its last change."""

    value: bytes
    create: int
    modify: int
    lock: int = 0
    session: str = ""
    locked_until: float = 0.0  # end of the lock-delay


@dataclass
class KeyValues:
    """Sessions and keys of the servers, which share the index of the catalogue."""

    servers: CatalogueIndex
    rng: random.Random
    entries: dict[str, Entry] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    # index of each key's last change, kept after a deletion
    last_changes: dict[str, int] = field(default_factory=dict)
    calls: int = 0

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # --- faults ---
    def lose_data(self) -> None:
        """Forget all data, as servers that have lost their disks do."""
        for id_ in list(self.sessions):
            self._end(id_, notify=False)
        self.entries.clear()
        self.last_changes.clear()
        self.servers.index = 0
        self.servers.raise_index()

    def new_leader(self, loses_sessions: bool) -> None:
        """A new leader loses all sessions, or restarts their TTLs."""
        for id_ in list(self.sessions):
            if loses_sessions:
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

    def _end(self, id_: str, notify: bool = True) -> None:
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
                    entry.locked_until = self._now + session.lock_delay
                    entry.modify = self.servers.index + 1
                self.last_changes[key] = self.servers.index + 1
        if notify:
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
        self, method: str, path: list[str], query: dict[str, str], body: bytes
    ) -> tuple[int, bytes, int]:
        """Status, body and index; the index of a read is the highest among the keys it covers."""
        self.calls += 1
        if method == "GET":
            key, recurse = "/".join(path[1:]), "recurse" in query
            if "index" in query:
                await self._wait_for_key(key, recurse, int(query["index"]), query.get("wait", ""))
            return *self._get(key, recurse), self._index(key, recurse)
        return *self._put(method, path, body), self.servers.index

    def _index(self, key: str, recurse: bool) -> int:
        """Highest index of the covered keys; deleted ones count, so that queries see deletions."""
        return max(
            [
                1,
                *(
                    modify
                    for name, modify in self.last_changes.items()
                    if name == key or (recurse and name.startswith(key))
                ),
            ]
        )

    async def _wait_for_key(self, key: str, recurse: bool, index: int, wait: str) -> None:
        """Block until the covered keys change, or the wait time has passed."""
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

    def _transaction(self, raw_operations: list[dict[str, Any]]) -> tuple[int, bytes]:
        """Apply all operations or none; all checks run before the first change."""
        if len(raw_operations) > MAX_TXN_OPERATIONS:
            return 413, b"too many operations"
        operations = [operation["KV"] for operation in raw_operations]
        failed = [
            index for index, operation in enumerate(operations) if not self._is_allowed(operation)
        ]
        if failed:
            return 409, json.dumps(
                {
                    "Results": None,
                    "Errors": [{"OpIndex": index, "What": "failed"} for index in failed],
                }
            ).encode()
        for operation in operations:
            self._apply(operation)
        self.servers.raise_index()
        return 200, json.dumps({"Results": [], "Errors": None}).encode()

    def _is_allowed(self, operation: dict[str, Any]) -> bool:
        entry = self.entries.get(operation["Key"])
        match operation["Verb"]:
            case "check-index":
                return entry is not None and entry.modify == operation["Index"]
            case "check-not-exists":
                return entry is None
            case "set":
                return len(base64.b64decode(operation["Value"])) <= MAX_VALUE_BYTES
            case "lock":
                return operation["Session"] in self.sessions and (
                    entry is None
                    or entry.session == operation["Session"]
                    or (not entry.session and self._now >= entry.locked_until)
                )
            case "unlock":
                return entry is not None and entry.session == operation["Session"]
            case "delete":
                return True
        return False

    def _apply(self, operation: dict[str, Any]) -> None:
        key, verb, index = operation["Key"], operation["Verb"], self.servers.index + 1
        if not verb.startswith("check"):
            self.last_changes[key] = index
        if verb == "delete":
            self.entries.pop(key, None)
        elif verb in ("set", "lock", "unlock"):
            entry = self.entries.setdefault(key, Entry(b"", index, index))
            entry.value, entry.modify = base64.b64decode(operation["Value"]), index
            if verb == "lock" and entry.session != operation["Session"]:
                entry.session, entry.lock = operation["Session"], entry.lock + 1
            elif verb == "unlock":
                entry.session = ""


def duration(text: str) -> float:
    """Seconds of a Go duration with one unit, as clients send it; 0.0 for other text."""
    for unit, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(unit) and text.removesuffix(unit).isdecimal():
            return int(text.removesuffix(unit)) * factor
    return 0.0
