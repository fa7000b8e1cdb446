"""Watches a service in Consul: one blocking query at a time over a persistent connection."""

from __future__ import annotations

import hashlib
from asyncio import TimerHandle
from collections.abc import Callable
from typing import Any

from violetroute import logs
from violetroute.transport import Network
from violetroute.transport.http_call import read_token
from violetroute.transport.tls import TlsKeys

from .agent_call import CALL_TIMEOUT, AgentAnswer, AgentCall
from .confirmation import LeaderRead
from .consul_health import HealthReader
from .entries import Listing
from .native import ListObserver
from .query import BlockingQuery, UnusableAnswer
from .staleness import CatalogueState
from .table import ConsulTable
from .updates import PendingUpdates

# s until the first byte, beyond the wait that was requested: a change that a silent query misses
# counts as told 2 s after the wait, and a new query has to be answered until then.
SILENCE_TIMEOUT = 1.7
DIGEST_SIZE = 16  # bytes
TIMER_SLACK = 0.001  # s by which a timer may fire early


class ConsulWatch:
    """Like `DiscoveryWatch`, reports its end once and leaves restarts to its owner.

    The accepted state outlives a watch, so an outage changes none of it; nor does the end of a
    watch end a confirmation, or keep a missing node from draining in time.  Bounds: two
    connections (the query, and the consistent read that confirms a doubted answer), a body of
    `body_mb` on each, four timers (request timeout, next request, confirmation, next change of the
    state without an answer).
    """

    def __init__(
        self, observer: ListObserver, table: ConsulTable, net: Network, clock: Callable[[], float]
    ) -> None:
        self._observer, self._table, self._net, self._loop = observer, table, net, net.loop
        self._clock = clock  # Unix ms on the proxy's clock, which never steps
        self._catalogue, self._reader = CatalogueState(table), HealthReader(table)
        self._pending = PendingUpdates()
        self._leader_read = LeaderRead(self, table, net)
        self._keys = TlsKeys(table.tls) if table.tls.ca else None
        self._query = BlockingQuery(table)
        self._digest = b""  # of the last answer to a query; empty if the next one must be applied
        self._first = True  # whether no answer of this watch was reported yet
        self._agent = 0
        self._last_index = 0  # index of the last answer; if it changes, drains are reported again
        self._requested_at = self._not_before = 0.0
        self._answered_at: float | None = None
        self._call: AgentCall | None = None
        self._request_timer: Any = None  # timer of a request that may not be sent yet
        self._change_timer: TimerHandle | None = None
        self._logged_state: tuple[bool, bool] = (False, False)

    def continue_from(self, before: ConsulWatch) -> None:
        """Take over the accepted state of the stopped watch on the same service."""
        self._catalogue, self._reader = before._catalogue, before._reader
        self._catalogue.table = self._table
        self._reader.table = self._table
        if self._catalogue.missing:
            self._leader_read.request(self._agent)
        self._schedule_change()

    def start(self, since: int) -> None:
        """Start requesting.  `since` is unused: it is a generation of the platform's list."""
        self._stop_requests()
        self._query, self._digest, self._first = BlockingQuery(self._table), b"", True
        self._schedule_request()

    def stop(self) -> None:
        """Stop requesting and reporting."""
        self._stop_requests()
        self._leader_read.stop()
        if self._change_timer is not None:
            self._change_timer.cancel()
            self._change_timer = None

    def assume_removed(self) -> None:
        """Report missing nodes as draining now, because the watch will be stopped for good."""
        if self._catalogue.missing:
            self._catalogue.assume_removed()
            self._report_changes(answered=False)

    def _stop_requests(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None
        if self._call is not None:
            self._call.stop()
            self._call = None

    # --- requests ---
    def _schedule_request(self) -> None:
        now = self._loop.time()
        at = max(self._not_before, self._requested_at + self._table.least_interval_s)
        if at > now:
            self._request_timer = self._loop.call_at(at, self._send_request)
        else:
            self._send_request()

    def _send_request(self) -> None:
        self._request_timer = None
        self._requested_at = self._loop.time()
        try:
            token = read_token(self._table.token_file)
        except OSError as error:
            self._failed(f"token_file: {error.strerror}")
            return
        if self._call is None:
            agent, max_body = self._table.agents[self._agent], self._table.max_body_bytes
            self._call = AgentCall(self, self._net, agent, max_body, self._keys)
        self._call.request(self._query.target(), token, self._time_limit())

    def _time_limit(self) -> float:
        """Seconds within which the answer has to begin."""
        waits = self._query.max_wait
        return waits + SILENCE_TIMEOUT if waits else CALL_TIMEOUT

    def call_answered(self, answer: AgentAnswer) -> None:
        """Handle a complete answer to a query."""
        unusable = self._query.check(answer.status, answer.headers)
        if unusable is not None:
            if unusable.drains_valid:
                self.apply_unusable(answer.body, unusable.is_complete)
            self._back_off(unusable)
            return
        digest = hashlib.blake2b(answer.body, digest_size=DIGEST_SIZE).digest()
        repeat_drains = self._query.index != self._last_index
        self._last_index = self._query.index
        if digest != self._digest:
            try:
                self._apply(answer.body)
            except ValueError as error:
                self._failed(f"not a list of nodes: {error}")
                return
            self._digest = digest
        self._answered_at = self._loop.time()
        self._report_changes(repeat_drains)
        if self._call is not None and not self._call.reusable:
            self._call.stop()
            self._call = None
        self._schedule_request()

    def _apply(self, body: bytearray) -> None:
        """Apply an answer, and ask the leader if it is in doubt.

        Raises ValueError if the body is not a list of nodes.
        """
        instances = self._reader.read(body, self._catalogue.missing)
        if self._reader.skipped:
            logs.event("consul.entries_left_out", count=self._reader.skipped)
        in_doubt = self._catalogue.apply(
            self._loop.time(),
            self._clock(),
            instances,
            self._query.answer_index,
            self._arrived_at(),
        )
        if in_doubt:
            logs.event("consul.doubted", count=len(self._catalogue.missing))
            self._leader_read.request(self._agent)
        else:
            self._leader_read.stop()
        self._log_state()

    def apply_unusable(self, body: bytearray, is_complete: bool) -> None:
        """Apply the drains of an answer that is otherwise not used.

        `is_complete`: also its removals, which are in doubt.
        """
        try:
            instances = self._reader.read(body, self._catalogue.missing)
        except ValueError:
            return
        others = self._catalogue.apply_drains(instances)
        if is_complete and self._catalogue.doubt_missing(self._arrived_at(), instances):
            logs.event("consul.doubted", count=len(self._catalogue.missing))
            self._leader_read.request(self._agent)
        if self._pending.full_list_sent or self._catalogue.has_nodes:
            self._report_changes()
        elif others:
            self._observer.list_changed(Listing(0, False, tuple(others)))

    def confirmed(self, body: bytearray, index: int, requested_at: float) -> None:
        """Apply the leader's list.  Raises ValueError if it is none."""
        instances = self._reader.read(body, self._catalogue.missing)
        in_doubt = self._catalogue.confirm(
            self._loop.time(), self._clock(), instances, index, requested_at
        )
        self._digest = b""  # the leader may have contradicted the last answer
        self._answered_at = self._loop.time()
        self._log_state()
        self._report_changes()
        if in_doubt:
            self._leader_read.request(self._agent)

    def _arrived_at(self) -> float:
        """The earliest loop time at which the data of this turn may have arrived."""
        now, turns = self._loop.time(), self._net.turns
        return now - max(turns.paused_for, turns.readable_for(now))

    def _log_state(self) -> None:
        catalogue = self._catalogue
        now = catalogue.panic_mode, catalogue.answer_empty
        if now != self._logged_state:
            self._logged_state = now
            if catalogue.answer_empty:
                logs.event("consul.emptied", count=len(catalogue.missing))
            elif catalogue.panic_mode:
                logs.event("consul.panic", floor=self._table.floor)

    def _back_off(self, unusable: UnusableAnswer) -> None:
        self._not_before = self._loop.time() + unusable.wait
        self._failed(unusable.reason)

    def call_failed(self, reason: str, silent: bool) -> None:
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
    def _report_changes(self, repeat_drains: bool = False, answered: bool = True) -> None:
        now = self._loop.time()
        whole, updates = self._pending.collect(self._catalogue, now, repeat_drains)
        # The first answer of a watch is always reported, since the balancer waits for it.
        if updates or whole or (self._first and answered):
            self._first = self._first and not answered
            listing = Listing(self._query.index, whole, tuple(updates), answered)
            self._observer.list_changed(listing)
        self._schedule_change()

    def _schedule_change(self) -> None:
        """Schedule the next report of what changes without an answer."""
        if self._change_timer is not None:
            self._change_timer.cancel()
            self._change_timer = None
        change_at = self._catalogue.next_change_at(self._loop.time())
        if change_at is not None:
            self._change_timer = self._loop.call_at(change_at + TIMER_SLACK, self._change_due)

    def report_due(self) -> None:
        """Report changes that became due during a pause, before other events are handled."""
        if self._change_timer is not None and self._change_timer.when() <= self._loop.time():
            self._change_due()

    def _change_due(self) -> None:
        self._report_changes(answered=False)
