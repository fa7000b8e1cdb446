"""Leases and logs in Consul's KV store, under sessions, by its published HTTP API.

    PREFIX/lease/WORK                  the record, locked by its owner's session
    PREFIX/log/NAME/SHELF/POSITION     one position of a log, made only where there is none

One session is an incarnation's, made when it first asks for a work; renewing it renews all its
leases in one call.  Who only waits has no session: it has one blocking query, so a fleet at rest
costs one call a proxy and WAIT s.

What of Consul is weak, and what meets it: a session may live on for twice its TTL (others wait
longer; its owner has stopped by then); it may be lost with a leader (the owner is told at its next
renewal, or by a look; its effects are fenced); `lock-delay` is turned off, since what it would
guard against is the fence's business; an answer may be lost after the write (the record's nonce
says whose it is); a snapshot put back, or an empty store, begins its indexes anew (the fence is in
the record and in the logs, and what has met a higher one says so).
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

BLOCKING_WAIT_S = 30.0  # s of a look without news
WAIT_JITTER_DIVISOR = 16  # a server adds up to a 16th of it
SEGMENT_POSITIONS = 16  # positions of a log in one shelf, which one call reads
MAX_VALUE_BYTES = 512 * 1024  # bytes of a value, as servers have it unless told otherwise
MAX_BODY_BYTES = 1024 * 1024  # bytes of an answer
MAX_SEGMENT_BYTES = SEGMENT_POSITIONS * (
    MAX_VALUE_BYTES * 4 // 3 + 1024
)  # and of a shelf, in base64


@dataclass(frozen=True, slots=True)
class KvRequest:
    """One call: what is asked, and s for its answer."""

    method: str
    target: str
    body: bytes = b""
    limit: float = 0.0  # beyond the table's time for a call
    most: int = MAX_BODY_BYTES  # bytes of the answer


@dataclass(frozen=True, slots=True)
class KvResponse:
    status: int
    headers: Mapping[str, str]  # names in small letters
    body: bytes


class UnusableResponseError(Exception):
    """Nothing came, or nothing that counts."""


Exchange = Generator[KvRequest, KvResponse, Any]


class _Entry(msgspec.Struct, rename="pascal"):
    """One key, as GET /v1/kv answers."""

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
    """What is asked, and what answers mean.  Pure; `session` is this incarnation's, "" for none."""

    def __init__(self, table: FleetTable, me: IncarnationId) -> None:
        self._prefix = quote(table.prefix, safe="/-._~")
        self._me, self._term_s = me, table.term_s
        self.session = ""
        self.index = 0
        self._under: dict[str, str] = {}  # the session that each of our leases is locked by

    # --- looking ---
    def poll(self) -> Exchange:
        """All leases; waits for news where there was an index before."""
        target, limit = f"/v1/kv/{self._prefix}/lease/?recurse", 0.0
        if self.index:
            target += f"&index={self.index}&wait={round(BLOCKING_WAIT_S * 1000)}ms"
            limit = BLOCKING_WAIT_S * (1.0 + 1.0 / WAIT_JITTER_DIVISOR)
        answered = yield KvRequest("GET", target, limit=limit)
        entries = _entries(answered)
        text = answered.headers.get("x-consul-index", "0")
        index = int(text) if text.isdecimal() and len(text) < 20 else 0
        self.index = 0 if index < self.index else index
        found: dict[str, Lease] = {}
        unreadable: dict[str, str] = {}
        for entry in entries:
            work = entry.key.rpartition("/")[2]
            try:
                found[work] = _lease(entry, work)
            except UnreadableLeaseError as error:
                unreadable[work] = str(error)
        return StoreView(found, None, frozenset(), unreadable)

    def _read(self, work: str) -> Generator[KvRequest, KvResponse, tuple[int, Lease | None]]:
        answered = yield KvRequest("GET", f"/v1/kv/{self._lease_key(work)}?consistent")
        entries = _entries(answered)
        if not entries:
            return 0, None
        return entries[0].modify_index, _lease(entries[0], work)

    def _lease_key(self, work: str) -> str:
        return f"{self._prefix}/lease/{work}"

    # --- leases ---
    def acquire(self, ask: Acquire, wall: float) -> Exchange:
        """A session if there is none, and the record under it if it stands as we have read it."""
        index, current = yield from self._read(ask.work)
        # Only the store says that another's lease has ended: `over` is not looked at.
        made = leases.acquired(ask.work, current, None, ask.floor, self._me, wall)
        if made is None:
            return Answer(False, current)
        # One that was made for an earlier ask may be about to end: its time to live has to be
        # reckoned from after this asking, as the owner reckons its term.
        if not self.session or not (yield from self._renew_session()):
            yield from self._begin_session()
        session = self.session  # what comes back later may have made another
        key = self._lease_key(ask.work)
        stands = (
            {"Verb": "check-index", "Key": key, "Index": index}
            if index
            else {"Verb": "check-not-exists", "Key": key}
        )
        done = yield from self._transact(
            stands,
            {"Verb": "lock", "Key": key, "Value": _b64(leases.encode(made)), "Session": session},
        )
        if not done:  # another was first, or our session has gone: the next ask will see
            index, current = yield from self._read(ask.work)
        else:
            self._under[ask.work] = session
        return Answer(done, made if done else current)

    def _begin_session(self) -> Generator[KvRequest, KvResponse, None]:
        answered = yield KvRequest(
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
        if answered.status != 200:
            raise UnusableResponseError(f"no session: {answered.status} {_text(answered.body)}")
        try:
            told = msgspec.json.decode(answered.body)
            made = str(told["ID"])
        except (msgspec.DecodeError, KeyError, TypeError):
            raise UnusableResponseError("no session: an answer without an ID") from None
        # Where two works ask at once the second keeps to the first one's, renewed for its own
        # asking; the one that it has made just ends.
        if not self.session or not (yield from self._renew_session()):
            self.session = made

    def _renew_session(self) -> Generator[KvRequest, KvResponse, bool]:
        """Whether it stands."""
        session = self.session
        answered = yield KvRequest("PUT", f"/v1/session/renew/{quote(session, safe='')}")
        if answered.status == 404:
            if self.session == session:
                self.session = ""
            return False
        if answered.status != 200:
            raise UnusableResponseError(f"answered {answered.status}")
        return True

    def renew(self, terms: Sequence[tuple[str, int]]) -> Exchange:
        """A lease that was taken under a session before this one has gone with that one."""
        session = self.session
        stands = bool(session) and (yield from self._renew_session())
        return {
            work: Answer(stands and self._under.get(work) == session, None) for work, _ in terms
        }

    def release(self, work: str, fence: int) -> Exchange:
        index, current = yield from self._read(work)
        made = leases.released(current, fence, self._me)
        if made is None or not self.session:
            return Answer(False, current)
        key = self._lease_key(work)
        done = yield from self._transact(
            {"Verb": "check-index", "Key": key, "Index": index},
            {
                "Verb": "unlock",
                "Key": key,
                "Value": _b64(leases.encode(made)),
                "Session": self.session,
            },
        )
        return Answer(done, made if done else current)

    def _transact(self, *steps: dict[str, Any]) -> Generator[KvRequest, KvResponse, bool]:
        """Whether all of it was done: one by itself never is."""
        answered = yield KvRequest(
            "PUT", "/v1/txn", msgspec.json.encode([{"KV": step} for step in steps])
        )
        if answered.status not in (200, 409):
            raise UnusableResponseError(f"answered {answered.status} {_text(answered.body)}")
        return answered.status == 200

    # --- logs ---
    def _position(self, log: str, position: int) -> tuple[str, str]:
        """Shelf and key."""
        shelf = f"{self._prefix}/log/{log}/{position // SEGMENT_POSITIONS:09d}/"
        return shelf, f"{shelf}{position:012d}"

    def read(self, log: str, position: int) -> Exchange:
        """Records from there on, to the end of a shelf at most: a full one is followed."""
        shelf, _ = self._position(log, position)
        answered = yield KvRequest(
            "GET", f"/v1/kv/{shelf}?recurse&consistent", most=MAX_SEGMENT_BYTES
        )
        there = {entry.key: entry for entry in _entries(answered)}
        found: list[bytes] = []
        while (entry := there.get(self._position(log, position + len(found))[1])) is not None:
            found.append(entry.data)
        return found

    def run(self, steps: Steps) -> Exchange:
        """All steps of a log."""
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
                    key = self._position(log, position)[1]
                    answer = yield from self._transact(
                        {"Verb": "check-not-exists", "Key": key},
                        {"Verb": "set", "Key": key, "Value": _b64(data)},
                    )


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _text(body: bytes) -> str:
    return " ".join(body[:100].decode("utf-8", "replace").split())


def _entries(answered: KvResponse) -> list[_Entry]:
    """NoAnswer for an answer that tells nothing."""
    if answered.status == 404:
        return []
    if answered.status != 200:
        raise UnusableResponseError(f"answered {answered.status} {_text(answered.body)}")
    if answered.headers.get("x-consul-knownleader", "true").lower() == "false":
        raise UnusableResponseError("no leader")
    try:
        return msgspec.json.decode(answered.body, type=list[_Entry])
    except (msgspec.DecodeError, RecursionError) as error:
        raise UnusableResponseError(f"no list of keys: {error}") from None


def _lease(entry: _Entry, work: str) -> Lease:
    """Held is what a session holds; whoever wrote what it says."""
    lease = leases.decode(entry.data, work)
    return lease if entry.session else msgspec.structs.replace(lease, free=True)


class ConsulStore:
    """As `store.Store`: each call over connections of its own, one operation of a kind at a
    time.
    """

    expires_leases = True

    def __init__(self, table: FleetTable, net: Network, me: IncarnationId) -> None:
        self._table, self._net = table, net
        self.protocol = ConsulProtocol(table, me)
        self._tls = TlsKeys(table.tls) if table.tls.ca else None
        self._agent = 0
        self._calls: set[HttpCall] = set()
        self._closed = False

    def poll(self, told: Callback[StoreView]) -> None:
        self._run(self.protocol.poll(), told)

    def acquire(self, ask: Acquire, told: Callback[Answer]) -> None:
        self._run(self.protocol.acquire(ask, self._net.wall()), told)

    def renew(self, terms: Sequence[tuple[str, int]], told: Callback[Mapping[str, Answer]]) -> None:
        self._run(self.protocol.renew(terms), told)

    def release(self, work: str, fence: int, told: Callback[Answer]) -> None:
        self._run(self.protocol.release(work, fence), told)

    def run(self, steps: Steps, told: Callback[Result]) -> None:
        self._run(self.protocol.run(steps), told)

    def close(self) -> None:
        """A session ends with its time to live: nothing is waited for here."""
        self._closed = True
        for call in list(self._calls):
            call.stop()
        self._calls.clear()

    def _run(self, asking: Exchange, told: Callable[[Any, str], None]) -> None:
        self._net.loop.call_soon(self._go_on, asking, None, told)

    def _go_on(
        self, asking: Exchange, answered: KvResponse | None, told: Callable[[Any, str], None]
    ) -> None:
        if self._closed:
            return
        try:
            self._call(asking.send(answered), asking, told)  # type: ignore[arg-type]
        except StopIteration as end:
            told(end.value, "")
        except Exception as error:  # also of ours: who asked would wait for good
            told(None, one_line(error))

    def _call(self, ask: KvRequest, asking: Exchange, told: Callable[[Any, str], None]) -> None:
        table = self._table
        try:
            token = read_token(table.token_file)
        except OSError as error:
            told(None, f"token_file: {error.strerror}")
            return
        headers = {"X-Consul-Token": token} if token else {}
        call: HttpCall

        def done(status: int, headers: dict[str, str], body: bytes, why: str) -> None:
            self._calls.discard(call)
            if status:
                self._go_on(asking, KvResponse(status, headers, body), told)
            else:
                self._agent = (self._agent + 1) % len(table.agents)
                asking.close()
                told(None, why)

        call = HttpCall(
            self._net,
            parse_address(table.agents[self._agent]),
            self._tls,
            table.call_s + ask.limit,
            ask.target,
            headers,
            ask.body,
            done,
            ask.method,
            ask.most,
        )
        self._calls.add(call)
