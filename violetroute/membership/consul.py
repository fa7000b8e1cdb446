"""Watches a service in Consul: one blocking query at a time over a persistent connection."""

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

CALL_TIMEOUT = 3.0  # s until the first byte of an answer that Consul does not hold back
# s until the first byte, beyond the wait that was requested: a change that a silent query misses
# counts as told 2 s after the wait, and a new query has to be answered until then.
SILENCE_TIMEOUT = 1.7
BODY_IDLE_TIMEOUT = 3.0  # s between bytes of a body
BODY_TIMEOUT = 10.0  # s for a whole body
# s between a request and its confirmation, even if `least_interval_s` is longer.
CONFIRM_INTERVAL = 0.1
CONFIRM_TIMEOUT = 0.3  # s for a confirmation: a drain must take effect within 0.5 s

_shared = memoryview(bytearray(READ_SIZE))


class ConsulWatch:
    """Like `DiscoveryWatch`, reports its end once and leaves restarts to its owner.

    The accepted state outlives a watch, so an outage changes none of it.  Bounds: one connection,
    one body of `body_mb`, three timers (request timeout, next request, return of a flapping node).
    """

    def __init__(
        self, observer: ListObserver, table: ConsulTable, net: Network, clock: Callable[[], float]
    ) -> None:
        self._observer, self._table, self._net, self._loop = observer, table, net, net.loop
        self._clock = clock  # Unix ms on the proxy's clock, which never steps
        self._catalogue, self._reader = CatalogueState(table), HealthReader(table)
        self._pending = PendingUpdates()
        self._keys = TlsKeys(table.tls) if table.tls.ca else None
        self._agent = 0
        self._last_index = 0  # index of the last answer; if it changes, drains are reported again
        self._requested_at = self._not_before = 0.0
        self._answered_at: float | None = None
        self._call: _AgentCall | None = None
        self._request_timer: Any = None  # timer of a request that may not be sent yet
        self._change_timer: Any = None
        self._logged_state: tuple[bool, bool] = (False, False)

    def start(self, since: int) -> None:
        """Start requesting.  `since` is unused: it is a generation of the platform's list."""
        self._stop_requests()
        self._query, self._digest, self._first = BlockingQuery(self._table), b"", True
        self._schedule_request()

    def stop(self) -> None:
        """Stop requesting and reporting."""
        self._stop_requests()
        if self._change_timer is not None:
            self._change_timer.cancel()
            self._change_timer = None

    def _stop_requests(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None
        if self._call is not None:
            self._call.stop()
            self._call = None

    # --- requests ---
    def _schedule_request(self, confirm: bool = False) -> None:
        now = self._loop.time()
        interval = self._table.least_interval_s
        if confirm:  # at most one per answer; removals must take effect in time
            interval = min(interval, CONFIRM_INTERVAL)
        at = max(self._not_before, self._requested_at + interval)
        if at > now:
            self._request_timer = self._loop.call_at(at, self._send_request, confirm)
        else:
            self._send_request(confirm)

    def _send_request(self, confirm: bool) -> None:
        self._request_timer = None
        self._requested_at = self._loop.time()
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
        self._call.request(self._query.target(confirm), token, self._time_limit(confirm), confirm)

    def _time_limit(self, confirm: bool) -> float:
        """Seconds within which the answer has to begin."""
        if confirm:
            return CONFIRM_TIMEOUT
        waits = self._query.max_wait
        return waits + SILENCE_TIMEOUT if waits else CALL_TIMEOUT

    def answered(
        self, status: int, headers: dict[str, str], body: bytearray, confirm: bool
    ) -> None:
        """Handle a complete answer."""
        unusable = self._query.check(status, headers)
        if unusable is not None:
            if unusable.drains_valid:
                self._apply_drains(body)
            self._back_off(unusable)
            return
        digest = hashlib.blake2b(body, digest_size=16).digest()
        needs_confirmation, repeat_drains = False, self._query.index != self._last_index
        self._last_index = self._query.index
        if digest != self._digest or confirm:
            try:
                instances = self._reader.read(body)
            except ValueError as error:
                self._failed(f"not a list of nodes: {error}")
                return
            self._digest = digest
            if self._reader.skipped:
                logs.event("consul.entries_left_out", count=self._reader.skipped)
            needs_confirmation = self._catalogue.apply(
                self._loop.time(), self._clock(), instances, confirm
            )
            self._log_state(needs_confirmation)
        self._answered_at = self._loop.time()
        self._report_changes(repeat_drains)
        if self._call is not None and not self._call.reusable:
            self._call.stop()
            self._call = None
        self._schedule_request(needs_confirmation)

    def _apply_drains(self, body: bytearray) -> None:
        try:
            others = self._catalogue.apply_drains(self._reader.read(body))
        except ValueError:
            return
        if self._pending.full_list_sent:
            self._report_changes()
        elif others:
            self._observer.list_changed(Listing(0, False, tuple(others)))

    def _log_state(self, needs_confirmation: bool) -> None:
        catalogue = self._catalogue
        if needs_confirmation:
            logs.event("consul.doubted", count=catalogue.unconfirmed)
        now = catalogue.panic_mode, catalogue.answer_empty
        if now != self._logged_state:
            self._logged_state = now
            if catalogue.answer_empty:
                logs.event("consul.emptied", count=catalogue.unconfirmed)
            elif catalogue.panic_mode:
                logs.event("consul.panic", floor=self._table.floor)

    def _back_off(self, unusable: UnusableAnswer) -> None:
        self._not_before = self._loop.time() + unusable.wait
        self._failed(unusable.reason)

    def failed(self, reason: str, silent: bool = False) -> None:
        """Handle the end of a call that got no answer; `silent`: nothing came of it."""
        self._failed(reason, silent)

    def _failed(self, reason: str, silent: bool = False) -> None:
        """Log the last list's age and report the end.  The next watch uses the next agent."""
        agent = self._table.agents[self._agent]
        self._stop_requests()
        self._agent = (self._agent + 1) % len(self._table.agents)
        age = -1.0 if self._answered_at is None else self._loop.time() - self._answered_at
        logs.event("consul.failed", reason=reason, agent=agent, age_s=round(age, 1))
        self._observer.list_failed(silent)

    # --- reports ---
    def _report_changes(self, repeat_drains: bool = False) -> None:
        now = self._loop.time()
        whole, updates = self._pending.collect(self._catalogue, now, repeat_drains)
        # The first answer of a watch is always reported, since the balancer waits for it.
        if updates or whole or self._first:
            self._first = False
            self._observer.list_changed(Listing(self._query.index, whole, tuple(updates)))
        change_at = self._catalogue.next_change_at(now)
        if self._change_timer is not None:
            self._change_timer.cancel()
        self._change_timer = (
            None
            if change_at is None
            else self._loop.call_at(change_at + 0.001, self._report_changes)
        )


class _AgentCall:
    """One HTTP connection to an agent, with one request at a time."""

    def __init__(
        self, watch: ConsulWatch, net: Network, agent: str, max_body: int, keys: TlsKeys | None
    ) -> None:
        self._watch, self._loop, self._agent, self._max_body = watch, net.loop, agent, max_body
        self._http = h11.Connection(h11.CLIENT)
        self._connected = self._closed = False
        self.reusable = True  # whether the next request can use the connection
        self._pending: bytes | None = None
        self._body, self._status = bytearray(), 0
        self._headers: dict[str, str] = {}
        self._confirm = False
        self._timeout: Any = None
        self._body_started_at = 0.0
        address = parse_address(agent)
        self._stream: Stream = (
            TlsStream(net, address, self, CALL_TIMEOUT, keys)
            if keys is not None
            else net.connect(address, self, CALL_TIMEOUT, first=True)
        )

    def request(self, target: str, token: str, limit: float, confirm: bool) -> None:
        """Send a request.  The answer has to begin within `limit` s."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        headers = [("Host", self._agent), ("Accept", "application/json")]
        if token:
            headers.append(("X-Consul-Token", token))
        data = (
            self._http.send(h11.Request(method="GET", target=target, headers=headers)) or b""
        ) + (self._http.send(h11.EndOfMessage()) or b"")
        self._body, self._status, self._confirm = bytearray(), 0, confirm
        self._set_timeout(limit)
        if self._connected:
            self._stream.write(data)
        else:
            self._pending = data

    def stop(self) -> None:
        self._closed = True
        if self._timeout is not None:
            self._timeout.cancel()
        self._stream.abort()

    def _set_timeout(self, seconds: float) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = self._loop.call_later(seconds, self._expired)

    def _expired(self) -> None:
        self._fail("no answer in time", silent=not (self._confirm or self._status))

    def _fail(self, reason: str, silent: bool = False) -> None:
        if not self._closed:
            self.stop()
            self._watch.failed(reason, silent)

    # --- stream ---
    def opened(self) -> None:
        self._connected = True
        if self._pending is not None:
            self._stream.write(self._pending)
            self._pending = None

    def buffer(self) -> memoryview:
        return _shared

    def received(self, count: int) -> None:
        try:
            self._http.receive_data(bytes(_shared[:count]))
            while not self._closed and self._event():
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
                self._status, self._body_started_at = status, self._loop.time()
                self._headers = {
                    name.decode("ascii"): value.decode("latin-1") for name, value in headers
                }
                self._set_timeout(BODY_IDLE_TIMEOUT)
            case h11.Data(data=data):
                if len(self._body) + len(data) > self._max_body:
                    raise WatchError("the answer is too large")
                if self._loop.time() - self._body_started_at > BODY_TIMEOUT:
                    raise WatchError("the answer takes too long")
                self._body += data
                self._set_timeout(BODY_IDLE_TIMEOUT)
            case h11.EndOfMessage():
                self._done()
                return False
            case h11.ConnectionClosed():
                raise WatchError("the agent closed")
            case _:
                pass
        return True

    def _done(self) -> None:
        self._timeout.cancel()
        # Bytes after the answer would be parsed as the beginning of the next one.
        self.reusable = (
            self._http.their_state is h11.DONE
            and self._http.our_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        self._watch.answered(self._status, self._headers, self._body, self._confirm)
