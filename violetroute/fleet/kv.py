"""Leases and logs in Consul's KV store, with sessions, over its HTTP API.

    PREFIX/lease/WORK                  the record, locked by its owner's session
    PREFIX/log/NAME/SEGMENT/POSITION   one position of a log, created only if absent

An incarnation creates one session when it first acquires a lease; renewing it renews all its leases
in one call.  A candidate without leases has no session, only one blocking query, so an idle fleet
costs one call per proxy in BLOCKING_WAIT_S.

Weak guarantees of Consul and how they are handled:

- A session may outlive its TTL by a factor of two: candidates wait longer, its owner has stopped.
- A session may be lost with the leader: the owner learns it from its next renewal or poll, and its
  effects are rejected by their fence.
- `lock-delay` is turned off: the fence already protects against the late writes that it is for.
- A response may be lost after the write: the nonce in the record tells whose it is.
- A restored snapshot or an empty store restarts its indexes: the fence is kept in the record and in
  the logs, and a target that has seen a higher fence reports it.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Generator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec

from violetroute.error_text import one_line
from violetroute.transport import Network, parse_address
from violetroute.transport.http_call import HttpCall, read_token
from violetroute.transport.tls import TlsKeys

from . import lease as leases
from .election import Acquire
from .lease import IncarnationId, Lease, UnreadableLeaseError
from .log import MAX_RECORDS_PER_READ, Put, Read, Result, Steps
from .store import Answer, Callback, StoreView
from .table import FleetTable

BLOCKING_WAIT_S = 30.0  # s that a blocking query without a change takes
WAIT_JITTER_DIVISOR = 16  # a server waits up to 1/16 longer
SEGMENT_POSITIONS = 16  # positions of a log in one segment, which one call reads
MAX_VALUE_BYTES = 512 * 1024  # the servers' default limit for a value
MAX_BODY_BYTES = 1024 * 1024  # bytes of a response body
# Maximum size of the response that holds one segment, in base64.
MAX_SEGMENT_BYTES = SEGMENT_POSITIONS * (MAX_VALUE_BYTES * 4 // 3 + 1024)


@dataclass(frozen=True, slots=True)
class KvRequest:
    """One HTTP request to an agent."""

    method: str
    target: str
    body: bytes = b""
    extra_timeout_s: float = 0.0  # s in addition to `call_s`
    max_bytes: int = MAX_BODY_BYTES  # limit for the response body


@dataclass(frozen=True, slots=True)
class KvResponse:
    """One HTTP response."""

    status: int
    headers: Mapping[str, str]  # names in lower case
    body: bytes


class UnusableResponseError(Exception):
    """The response has an error status or an invalid body."""


Exchange = Generator[KvRequest, KvResponse, Any]


class _Entry(msgspec.Struct, rename="pascal"):
    """One key in the response of GET /v1/kv."""

    key: str
    modify_index: int
    value: str | None = None
    session: str = ""

    @property
    def data(self) -> bytes:
        try:
            return base64.b64decode(self.value or "", validate=True)
        except binascii.Error as error:
            raise UnusableResponseError(f"{self.key}: {error}") from None


class ConsulProtocol:
    """The HTTP exchange of each operation.  Pure; `session` is the session's ID, "" for none."""

    def __init__(self, table: FleetTable, me: IncarnationId) -> None:
        self._prefix = quote(table.prefix, safe="/-._~")
        self._me, self._term_s = me, table.term_s
        self.session = ""
        self.index = 0
        self._session_by_work: dict[str, str] = {}  # id of the session that locks each own lease

    # --- polling ---
    def poll(self) -> Exchange:
        """Read all leases; once an index is known, by a blocking query that waits for a change."""
        target, extra_timeout_s = f"/v1/kv/{self._prefix}/lease/?recurse", 0.0
        if self.index:
            target += f"&index={self.index}&wait={round(BLOCKING_WAIT_S * 1000)}ms"
            extra_timeout_s = BLOCKING_WAIT_S * (1.0 + 1.0 / WAIT_JITTER_DIVISOR)
        response = yield KvRequest("GET", target, extra_timeout_s=extra_timeout_s)
        entries = _decode_entries(response)
        text = response.headers.get("x-consul-index", "0")
        index = int(text) if text.isdecimal() and len(text) < 20 else 0
        self.index = 0 if index < self.index else index
        found: dict[str, Lease] = {}
        unreadable: dict[str, str] = {}
        for entry in entries:
            work = entry.key.rpartition("/")[2]
            try:
                found[work] = _decode_lease(entry, work)
            except UnreadableLeaseError as error:
                unreadable[work] = str(error)
        return StoreView(found, None, frozenset(), unreadable)

    def _read(self, work: str) -> Generator[KvRequest, KvResponse, tuple[int, Lease | None]]:
        response = yield KvRequest("GET", f"/v1/kv/{self._lease_key(work)}?consistent")
        entries = _decode_entries(response)
        if not entries:
            return 0, None
        return entries[0].modify_index, _decode_lease(entries[0], work)

    def _lease_key(self, work: str) -> str:
        return f"{self._prefix}/lease/{work}"

    # --- leases ---
    def acquire(self, request: Acquire, wall: float) -> Exchange:
        """Create a session if there is none, then lock the record by compare-and-set."""
        index, current = yield from self._read(request.work)
        # Only Consul decides that another holder's lease has ended, so `expected` is not used.
        made = leases.acquired(request.work, current, None, request.floor, self._me, wall)
        if made is None:
            return Answer(False, current)
        # An earlier session may be about to expire.  Its TTL must start after this request was
        # sent, since the owner counts its term from then.
        if not self.session or not (yield from self._renew_session()):
            yield from self._begin_session()
        session = self.session  # a concurrent call may replace it
        key = self._lease_key(request.work)
        precondition = (
            {"Verb": "check-index", "Key": key, "Index": index}
            if index
            else {"Verb": "check-not-exists", "Key": key}
        )
        committed = yield from self._transact(
            precondition,
            {"Verb": "lock", "Key": key, "Value": _b64(leases.encode(made)), "Session": session},
        )
        if not committed:  # another was first, or the session has ended: the next request decides
            index, current = yield from self._read(request.work)
        else:
            self._session_by_work[request.work] = session
        return Answer(committed, made if committed else current)

    def _begin_session(self) -> Generator[KvRequest, KvResponse, None]:
        response = yield KvRequest(
            "PUT",
            "/v1/session/create",
            msgspec.json.encode(
                {
                    "Name": f"limebridge {self._me.name}",
                    "TTL": f"{round(self._term_s * 1000)}ms",
                    "LockDelay": "0s",
                    "Behavior": "release",
                    "NodeChecks": [],
                }
            ),
        )
        if response.status != 200:
            raise UnusableResponseError(f"no session: {response.status} {_excerpt(response.body)}")
        try:
            decoded = msgspec.json.decode(response.body)
            created = str(decoded["ID"])
        except (msgspec.DecodeError, KeyError, TypeError):
            raise UnusableResponseError("no session: an answer without an ID") from None
        # If two works create a session at once, the second uses the first one's after renewing it
        # for its own request; the session that it has created expires unused.
        if not self.session or not (yield from self._renew_session()):
            self.session = created

    def _renew_session(self) -> Generator[KvRequest, KvResponse, bool]:
        """Whether the session still exists."""
        session = self.session
        response = yield KvRequest("PUT", f"/v1/session/renew/{quote(session, safe='')}")
        if response.status == 404:
            if self.session == session:
                self.session = ""
            return False
        if response.status != 200:
            raise UnusableResponseError(f"answered {response.status}")
        return True

    def renew(self, terms: Sequence[tuple[str, int]]) -> Exchange:
        """Renew the session.  A lease that was locked by an earlier session is lost with that."""
        session = self.session
        exists = bool(session) and (yield from self._renew_session())
        return {
            work: Answer(exists and self._session_by_work.get(work) == session, None)
            for work, _ in terms
        }

    def release(self, work: str, fence: int) -> Exchange:
        """Unlock the record and mark it as free by compare-and-set."""
        index, current = yield from self._read(work)
        made = leases.released(current, fence, self._me)
        if made is None or not self.session:
            return Answer(False, current)
        key = self._lease_key(work)
        committed = yield from self._transact(
            {"Verb": "check-index", "Key": key, "Index": index},
            {
                "Verb": "unlock",
                "Key": key,
                "Value": _b64(leases.encode(made)),
                "Session": self.session,
            },
        )
        return Answer(committed, made if committed else current)

    def _transact(self, *steps: dict[str, Any]) -> Generator[KvRequest, KvResponse, bool]:
        """Run a transaction: all steps or none.  Whether it was committed."""
        response = yield KvRequest(
            "PUT", "/v1/txn", msgspec.json.encode([{"KV": step} for step in steps])
        )
        if response.status not in (200, 409):
            raise UnusableResponseError(f"answered {response.status} {_excerpt(response.body)}")
        return response.status == 200

    # --- logs ---
    def _position_key(self, log: str, position: int) -> tuple[str, str]:
        """The prefix of the segment, and the key."""
        segment = f"{self._prefix}/log/{log}/{position // SEGMENT_POSITIONS:09d}/"
        return segment, f"{segment}{position:012d}"

    def read(self, log: str, position: int) -> Exchange:
        """The records from `position` to the end of its segment at most."""
        segment, _ = self._position_key(log, position)
        response = yield KvRequest(
            "GET", f"/v1/kv/{segment}?recurse&consistent", max_bytes=MAX_SEGMENT_BYTES
        )
        by_key = {entry.key: entry for entry in _decode_entries(response)}
        found: list[bytes] = []
        while (entry := by_key.get(self._position_key(log, position + len(found))[1])) is not None:
            found.append(entry.data)
        return found

    def run(self, steps: Steps) -> Exchange:
        """Run all steps of a log operation; a read continues in the next segment."""
        answer: Any = None
        while True:
            try:
                step = steps.send(answer)
            except StopIteration as end:
                return end.value
            match step:
                case Read(log, position):
                    answer = yield from self.read(log, position)
                    while (
                        0 < len(answer) < MAX_RECORDS_PER_READ
                        and (position + len(answer)) % SEGMENT_POSITIONS == 0
                    ):
                        more = yield from self.read(log, position + len(answer))
                        answer += more
                        if not more:
                            break
                case Put(log, position, data):
                    key = self._position_key(log, position)[1]
                    answer = yield from self._transact(
                        {"Verb": "check-not-exists", "Key": key},
                        {"Verb": "set", "Key": key, "Value": _b64(data)},
                    )


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _excerpt(body: bytes) -> str:
    return " ".join(body[:100].decode("utf-8", "replace").split())


def _decode_entries(response: KvResponse) -> list[_Entry]:
    """The keys in a response; none for 404.  Raises UnusableResponseError."""
    if response.status == 404:
        return []
    if response.status != 200:
        raise UnusableResponseError(f"answered {response.status} {_excerpt(response.body)}")
    if response.headers.get("x-consul-knownleader", "true").lower() == "false":
        raise UnusableResponseError("no leader")
    try:
        return msgspec.json.decode(response.body, type=list[_Entry])
    except (msgspec.DecodeError, RecursionError) as error:
        raise UnusableResponseError(f"no list of keys: {error}") from None


def _decode_lease(entry: _Entry, work: str) -> Lease:
    """The lease of an entry.  It is held only while a session locks it, whatever the value says."""
    lease = leases.decode(entry.data, work)
    return lease if entry.session else msgspec.structs.replace(lease, free=True)


class ConsulStore:
    """A `store.Store` in Consul.  Each HTTP call has its own connection."""

    expires_leases = True

    def __init__(self, table: FleetTable, net: Network, me: IncarnationId) -> None:
        self._table, self._net = table, net
        self.protocol = ConsulProtocol(table, me)
        self._tls = TlsKeys(table.tls) if table.tls.ca else None
        self._agent = 0
        self._calls: set[HttpCall] = set()
        self._closed = False

    def poll(self, callback: Callback[StoreView]) -> None:
        self._run(self.protocol.poll(), callback)

    def acquire(self, request: Acquire, callback: Callback[Answer]) -> None:
        self._run(self.protocol.acquire(request, self._net.wall()), callback)

    def renew(
        self, terms: Sequence[tuple[str, int]], callback: Callback[Mapping[str, Answer]]
    ) -> None:
        self._run(self.protocol.renew(terms), callback)

    def release(self, work: str, fence: int, callback: Callback[Answer]) -> None:
        self._run(self.protocol.release(work, fence), callback)

    def run(self, steps: Steps, callback: Callback[Result]) -> None:
        self._run(self.protocol.run(steps), callback)

    def close(self) -> None:
        """Cancel all calls without waiting; the session expires after its TTL."""
        self._closed = True
        for call in list(self._calls):
            call.stop()
        self._calls.clear()

    def _run(self, exchange: Exchange, callback: Callable[[Any, str], None]) -> None:
        self._net.loop.call_soon(self._resume, exchange, None, callback)

    def _resume(
        self, exchange: Exchange, response: KvResponse | None, callback: Callable[[Any, str], None]
    ) -> None:
        if self._closed:
            return
        try:
            self._call(exchange.send(response), exchange, callback)  # type: ignore[arg-type]
        except StopIteration as end:
            callback(end.value, "")
        except Exception as error:  # internal errors too, or the callback would never be called
            callback(None, one_line(error))

    def _call(
        self, request: KvRequest, exchange: Exchange, callback: Callable[[Any, str], None]
    ) -> None:
        table = self._table
        try:
            token = read_token(table.token_file)
        except OSError as error:
            callback(None, f"token_file: {error.strerror}")
            return
        headers = {"X-Consul-Token": token} if token else {}
        call: HttpCall

        def done(status: int, headers: dict[str, str], body: bytes, error: str) -> None:
            self._calls.discard(call)
            if status:
                self._resume(exchange, KvResponse(status, headers, body), callback)
            else:
                self._agent = (self._agent + 1) % len(table.agents)
                exchange.close()
                callback(None, error)

        call = HttpCall(
            self._net,
            parse_address(table.agents[self._agent]),
            self._tls,
            table.call_s + request.extra_timeout_s,
            request.target,
            headers,
            request.body,
            done,
            request.method,
            request.max_bytes,
        )
        self._calls.add(call)
