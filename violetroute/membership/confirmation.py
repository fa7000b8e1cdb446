"""Confirms doubted answers of Consul's agents by a consistent read from the leader.

The read has a connection of its own, so the watch goes on while the leader is slow or silent.  A
read that fails is repeated at the next agent for as long as the doubt lasts: an agent passes
consistent reads on to the leader, so any of them will do.
"""

from __future__ import annotations

import math
from typing import Any, Protocol

from violetroute import logs
from violetroute.transport import Network
from violetroute.transport.http_call import read_token
from violetroute.transport.tls import TlsKeys

from .agent_call import CALL_TIMEOUT, AgentAnswer, AgentCall
from .query import BlockingQuery
from .table import ConsulTable

READ_INTERVAL = 0.1  # s between two reads, even if `least_interval_s` is longer
RETRY_INTERVAL = 0.5  # s between a read that failed and the next one


class ConfirmationOwner(Protocol):
    """Receives the leader's answers."""

    def confirmed(self, body: bytearray, index: int, requested_at: float) -> None:
        """Apply the leader's list, its index (0: unknown) and the loop time of the request.

        Raises ValueError if the body is not a list of nodes.
        """

    def apply_unusable(self, body: bytearray, is_complete: bool) -> None:
        """Apply the drains, and if it is complete the removals, of an answer not used otherwise."""


class LeaderRead:
    """At most one consistent read at a time.  Bounds: one connection, one body, one timer."""

    def __init__(self, owner: ConfirmationOwner, table: ConsulTable, net: Network) -> None:
        self._owner, self._table, self._net, self._loop = owner, table, net, net.loop
        self._keys = TlsKeys(table.tls) if table.tls.ca else None
        self._agent = 0
        self._requested_at = -math.inf  # loop time of the last read
        self._call: AgentCall | None = None
        self._timer: Any = None

    def request(self, agent: int) -> None:
        """Read from the leader by way of `agent`, unless a read is pending already."""
        if self._call is None and self._timer is None:
            self._agent = agent
            interval = min(self._table.least_interval_s, READ_INTERVAL)
            self._schedule(self._requested_at + interval)

    def stop(self) -> None:
        """End the read, if one is pending."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._call is not None:
            self._call.stop()
            self._call = None

    def _schedule(self, at: float) -> None:
        now = self._loop.time()
        if at > now:
            self._timer = self._loop.call_at(at, self._send)
        else:
            self._send()

    def _send(self) -> None:
        self._timer = None
        self._requested_at = self._loop.time()
        try:
            token = read_token(self._table.token_file)
        except OSError as error:
            self._retry(f"token_file: {error.strerror}")
            return
        agent, max_body = self._table.agents[self._agent], self._table.max_body_bytes
        self._call = AgentCall(self, self._net, agent, max_body, self._keys)
        self._call.request(BlockingQuery(self._table).target(confirm=True), token, CALL_TIMEOUT)

    def call_answered(self, answer: AgentAnswer) -> None:
        """Report the leader's list; repeat the read if the answer cannot be used."""
        self.stop()
        query = BlockingQuery(self._table)
        unusable = query.check(answer.status, answer.headers)
        if unusable is not None:
            self._retry(unusable.reason, unusable.wait)
            if unusable.drains_valid:
                self._owner.apply_unusable(answer.body, unusable.is_complete)
            return
        try:
            self._owner.confirmed(answer.body, query.answer_index, self._requested_at)
        except ValueError as error:
            self._retry(f"not a list of nodes: {error}")

    def call_failed(self, reason: str, silent: bool) -> None:
        """Repeat the read."""
        self._retry(reason)

    def _retry(self, reason: str, wait: float = 0.0) -> None:
        self._call = None
        agent = self._table.agents[self._agent]
        logs.event("consul.unconfirmed", reason=reason, agent=agent)
        self._agent = (self._agent + 1) % len(self._table.agents)
        self._schedule(self._loop.time() + max(RETRY_INTERVAL, wait))
