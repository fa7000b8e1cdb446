"""The watch on Consul: one ask at a time over a kept connection, and what came of it told on."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

import h11

from violetroute import logs
from violetroute.transport import Network, Stream, parse_address
from violetroute.transport.http_call import read_token
from violetroute.transport.tls import TlsKeys, TlsStream

from .consul_health import HealthReader
from .entries import Listing
from .list_reader import WatchError
from .native import READ_SIZE, ListObserver
from .query import BlockingQuery, UnusableAnswer
from .staleness import CatalogueState, PendingUpdates
from .table import ConsulTable

CALL_TIMEOUT = 3.0  # s until the first byte, beyond the wait that was asked for
BODY_IDLE_TIMEOUT = 3.0  # s without a byte of a body
BODY_TIMEOUT = 10.0  # s over one body
CONFIRM_MIN_INTERVAL = 0.1  # s from one ask to the leader's word, however few asks the table allows
CONFIRM_TIMEOUT = 0.3  # s for the leader's word: a drain has to be kept after 0.5

_shared = memoryview(bytearray(READ_SIZE))


class ConsulWatch:
    """As `native.Watch`: its end is told once, and asking again is not decided here.

    What is believed outlives a watch: an outage changes nothing of it.  Bounds: one connection,
    one body of `body_mb`, three timers (the ask's limit, the next ask, a return that is due).
    """

    def __init__(
        self, observer: ListObserver, table: ConsulTable, net: Network, clock: Callable[[], float]
    ) -> None:
        self._observer, self._table, self._net, self._loop = observer, table, net, net.loop
        self._clock = clock  # Unix ms as the proxy counts them: it never steps
        self._catalogue, self._reader = CatalogueState(table), HealthReader(table)
        self._pending = PendingUpdates()
        self._keys = TlsKeys(table.tls) if table.tls.ca else None
        self._agent = 0
        self._said = 0  # the index of the last answer: with another one the same says it anew
        self._asked_at = self._not_before = 0.0
        self._heard_at: float | None = None
        self._call: _AgentCall | None = None
        self._next: Any = None  # the timer of an ask that may not be made yet
        self._due: Any = None
        self._was: tuple[bool, bool] = (False, False)

    # --- as the module asks ---
    def start(self, since: int) -> None:
        """Ask from now on.  `since` belongs to the platform's list and means nothing here."""
        self._stop_asking()
        self._query, self._digest, self._first = BlockingQuery(self._table), b"", True
        self._ask_when_due()

    def stop(self) -> None:
        """Nothing more is told, nor asked."""
        self._stop_asking()
        if self._due is not None:
            self._due.cancel()
            self._due = None

    def _stop_asking(self) -> None:
        if self._next is not None:
            self._next.cancel()
            self._next = None
        if self._call is not None:
            self._call.stop()
            self._call = None

    # --- asking ---
    def _ask_when_due(self, confirm: bool = False) -> None:
        now = self._loop.time()
        interval = self._table.least_interval_s
        if confirm:  # one for each answer at most, and what it confirms is a matter of rule three
            interval = min(interval, CONFIRM_MIN_INTERVAL)
        at = max(self._not_before, self._asked_at + interval)
        if at > now:
            self._next = self._loop.call_at(at, self._ask, confirm)
        else:
            self._ask(confirm)

    def _ask(self, confirm: bool) -> None:
        self._next = None
        self._asked_at = self._loop.time()
        try:
            token = read_token(self._table.token_file)
        except OSError as error:
            self._failed(f"token_file: {error.strerror}")
            return
        if self._call is None:
            self._call = _AgentCall(
                self,
                self._net,
                self._table.agents[self._agent],
                round(self._table.body_mb * 1024 * 1024),
                self._keys,
            )
        limit = CONFIRM_TIMEOUT if confirm else CALL_TIMEOUT + self._query.max_wait
        self._call.ask(self._query.target(confirm), token, limit, confirm)

    def answered(
        self, status: int, headers: dict[str, str], body: bytearray, confirm: bool
    ) -> None:
        """A whole answer."""
        refused = self._query.answered(status, headers)
        if refused is not None:
            if refused.drains_valid:
                self._apply_drains(body)
            self._refused(refused)
            return
        digest = hashlib.blake2b(body, digest_size=16).digest()
        doubt, again = False, self._query.index != self._said
        self._said = self._query.index
        if digest != self._digest or confirm:
            try:
                seen = self._reader.read(body)
            except ValueError as error:
                self._failed(f"no list of nodes: {error}")
                return
            self._digest = digest
            if self._reader.left_out:
                logs.event("consul.entries_left_out", count=self._reader.left_out)
            doubt = self._catalogue.apply(self._loop.time(), self._clock(), seen, confirm)
            self._say(doubt)
        self._heard_at = self._loop.time()
        self._tell(again)
        if self._call is not None and not self._call.kept:
            self._call.stop()
            self._call = None
        self._ask_when_due(doubt)

    def _apply_drains(self, body: bytearray) -> None:
        try:
            others = self._catalogue.apply_drains(self._reader.read(body))
        except ValueError:
            return
        if self._pending.full_list_sent:
            self._tell()
        elif others:
            self._observer.list_changed(Listing(0, False, tuple(others)))

    def _say(self, doubt: bool) -> None:
        belief = self._catalogue
        if doubt:
            logs.event("consul.doubted", count=belief.unconfirmed)
        now = belief.panic_mode, belief.answer_empty
        if now != self._was:
            self._was = now
            if belief.answer_empty:
                logs.event("consul.emptied", count=belief.unconfirmed)
            elif belief.panic_mode:
                logs.event("consul.panic", floor=self._table.floor)

    def _refused(self, refused: UnusableAnswer) -> None:
        self._not_before = self._loop.time() + refused.wait
        self._failed(refused.reason)

    def failed(self, reason: str) -> None:
        """The call has ended without an answer."""
        self._failed(reason)

    def _failed(self, reason: str) -> None:
        """The last list holds, with its age told; another agent is asked next."""
        agent = self._table.agents[self._agent]
        self._stop_asking()
        self._agent = (self._agent + 1) % len(self._table.agents)
        age = -1.0 if self._heard_at is None else self._loop.time() - self._heard_at
        logs.event("consul.failed", reason=reason, agent=agent, age_s=round(age, 1))
        self._observer.list_failed()

    # --- telling ---
    def _tell(self, again: bool = False) -> None:
        now = self._loop.time()
        whole, told = self._pending.collect(self._catalogue, now, again)
        # The first answer of a watch is told even when nothing changed: the module waits for it.
        if told or whole or self._first:
            self._first = False
            self._observer.list_changed(Listing(self._query.index, whole, tuple(told)))
        due = self._catalogue.next_change_at(now)
        if self._due is not None:
            self._due.cancel()
        self._due = None if due is None else self._loop.call_at(due + 0.001, self._tell)


class _AgentCall:
    """One connection to an agent, with one ask at a time."""

    def __init__(
        self, watch: ConsulWatch, net: Network, agent: str, most: int, keys: TlsKeys | None
    ) -> None:
        self._watch, self._loop, self._agent, self._most = watch, net.loop, agent, most
        self._http = h11.Connection(h11.CLIENT)
        self._open = self._over = False
        self.kept = True  # whether the next ask can use it
        self._pending: bytes | None = None
        self._body, self._status = bytearray(), 0
        self._headers: dict[str, str] = {}
        self._confirm = False
        self._limit: Any = None
        self._began = 0.0
        address = parse_address(agent)
        self._stream: Stream = (
            TlsStream(net, address, self, CALL_TIMEOUT, keys)
            if keys is not None
            else net.connect(address, self, CALL_TIMEOUT, first=True)
        )

    def ask(self, target: str, token: str, limit: float, confirm: bool) -> None:
        """Send one ask; its answer has to begin within `limit` s."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        headers = [("Host", self._agent), ("Accept", "application/json")]
        if token:
            headers.append(("X-Consul-Token", token))
        data = (
            self._http.send(h11.Request(method="GET", target=target, headers=headers)) or b""
        ) + (self._http.send(h11.EndOfMessage()) or b"")
        self._body, self._status, self._confirm = bytearray(), 0, confirm
        self._patience(limit)
        if self._open:
            self._stream.write(data)
        else:
            self._pending = data

    def stop(self) -> None:
        self._over = True
        if self._limit is not None:
            self._limit.cancel()
        self._stream.abort()

    def _patience(self, seconds: float) -> None:
        if self._limit is not None:
            self._limit.cancel()
        self._limit = self._loop.call_later(seconds, self._fail, "no answer in time")

    def _fail(self, reason: str) -> None:
        if not self._over:
            self.stop()
            self._watch.failed(reason)

    # --- stream ---
    def opened(self) -> None:
        self._open = True
        if self._pending is not None:
            self._stream.write(self._pending)
            self._pending = None

    def buffer(self) -> memoryview:
        return _shared

    def received(self, count: int) -> None:
        try:
            self._http.receive_data(bytes(_shared[:count]))
            while not self._over and self._event():
                pass
        except Exception as error:
            kind = "" if isinstance(error, WatchError) else f"{type(error).__name__}: "
            self._fail(f"{kind}{error}")

    def ended(self) -> None:
        self._fail("the agent closed")

    def lost(self, error: OSError | None) -> None:
        self._fail(str(error or "the connection is gone"))

    def drained(self) -> None:
        pass

    def _event(self) -> bool:
        match self._http.next_event():
            case h11.NEED_DATA | h11.PAUSED:
                return False
            case h11.Response(status_code=status, headers=headers):
                self._status, self._began = status, self._loop.time()
                self._headers = {
                    name.decode("ascii"): value.decode("latin-1") for name, value in headers
                }
                self._patience(BODY_IDLE_TIMEOUT)
            case h11.Data(data=data):
                if len(self._body) + len(data) > self._most:
                    raise WatchError("the answer is too large")
                if self._loop.time() - self._began > BODY_TIMEOUT:
                    raise WatchError("the answer takes too long")
                self._body += data
                self._patience(BODY_IDLE_TIMEOUT)
            case h11.EndOfMessage():
                self._done()
                return False
            case h11.ConnectionClosed():
                raise WatchError("the agent closed")
            case _:
                pass
        return True

    def _done(self) -> None:
        self._limit.cancel()
        # Bytes behind an answer would be taken for the next one's.
        self.kept = (
            self._http.their_state is h11.DONE
            and self._http.our_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        self._watch.answered(self._status, self._headers, self._body, self._confirm)
