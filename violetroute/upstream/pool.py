"""The pool of connections to cache nodes, bounded in total and for each node."""

from __future__ import annotations

import math
from bisect import bisect_right

from snowstall import Result
from violetroute.config import Config, Limits
from violetroute.reason_counter import ReasonCounter, log_held_replies, log_malformed
from violetroute.transport import Address, Network

from .answer_times import AnswerTimes
from .attempt import Attempt, AttemptOwner
from .connection import NodeConnection
from .reply_memory import ReplyMemory

IDLE_TIME_SHARE = 0.6  # share of the node's idle timeout, so that no request meets its close
AGE_BOUNDS = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0)  # s; upper bounds of the idle-time buckets
AGE_LEARNING_RATE = 0.1  # weight of one reuse in its bucket's break share
AGE_DECAY_TIME = 10.0  # s; a break share decays, so that its bucket is tried again
MAX_BREAK_SHARE = 0.1  # share of broken reuses at which idle connections are closed
MIN_QUIET_TIME = 0.002  # s without reuse after an answer, in case stray data follows it
# The quiet time follows the recent delay of stray data: at most 0.1 s, twice that delay.
MAX_QUIET_TIME, QUIET_TIME_FACTOR = 0.1, 2.0
SWEEP_INTERVAL = 0.5  # s between checks for expired idle connections
DEFAULTS = Limits()
DEFAULT_REPLY_BYTES = 16 * 1024 * 1024


class Node:
    """One cache node's address and connections."""

    __slots__ = ("address", "answer_times", "idle", "open", "waiting")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.answer_times = AnswerTimes()
        self.idle: list[NodeConnection] = []  # the most recently used last
        self.open: dict[NodeConnection, None] = {}  # a set in order of opening
        # Waiting attempts, each with the connection opened for it.
        self.waiting: dict[Attempt, NodeConnection] = {}


class Pool:
    """Opens, reuses and closes connections to cache nodes.

    `limit`: connections in total.  Timeouts are in seconds.  `reply_bytes`: memory for long replies
    while they are received.
    """

    def __init__(
        self,
        owner: AttemptOwner,
        net: Network,
        limit: int,
        connect_timeout: float,
        idle_timeout: float,
        limits: Limits = DEFAULTS,
        reply_bytes: int = DEFAULT_REPLY_BYTES,
    ) -> None:
        self.limits = limits  # replaced on reload
        self.follows_redirects = False  # whether cluster redirects are parsed; replaced on reload
        self.owner, self._net, self.loop = owner, net, net.loop
        self._limit = limit
        self.configure(connect_timeout, idle_timeout)
        # For each idle-time bucket: the share of broken reuses, and its last update (loop time).
        self._break_shares = [(0.0, 0.0)] * (len(AGE_BOUNDS) + 1)
        # The recent longest delay (s) of unsolicited data after an answer, and its loop time.
        self._stray_delay, self._stray_seen_at = 0.0, 0.0
        self.malformed_replies = ReasonCounter(self.loop, log_malformed)
        self.reply_memory = ReplyMemory(reply_bytes)
        self.held_replies = ReasonCounter(self.loop, log_held_replies)
        self._nodes: dict[int, Node] = {}
        self._open: dict[NodeConnection, None] = {}
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    @classmethod
    def from_config(cls, owner: AttemptOwner, net: Network, config: Config) -> Pool:
        """A pool with the limits and times of the configuration."""
        pool = cls(
            owner,
            net,
            config.upstream_sockets,
            config.connect_timeout,
            config.idle_timeout,
            reply_bytes=config.reply_memory_bytes,
        )
        pool.reload(config)
        return pool

    def reload(self, config: Config) -> None:
        """Apply the settings that may change while in service; the total limit does not."""
        self.limits, self.follows_redirects = config.limits, config.operator.cluster.follow
        self.configure(config.connect_timeout, config.idle_timeout)

    def configure(self, connect_timeout: float, idle_timeout: float) -> None:
        """Set the timeouts in seconds; the idle timeout applies to open connections too."""
        self._connect_timeout, self._idle_for = connect_timeout, idle_timeout * IDLE_TIME_SHARE

    # --- the list ---
    def add(self, cache_id: int, address: Address) -> None:
        """Add a node at its address.  If the node has moved, the caller has removed it before."""
        if cache_id not in self._nodes:
            self._nodes[cache_id] = Node(address)

    def address(self, cache_id: int) -> Address | None:
        """The node's address, or None for an unknown node."""
        node = self._nodes.get(cache_id)
        return None if node is None else node.address

    def remove(self, cache_id: int) -> None:
        """Remove a node; attempts that are waiting or not fully sent end with NO_CONNECTION."""
        node = self._nodes.pop(cache_id, None)
        if node is None:
            return
        for attempt in node.waiting:
            self._fail(attempt, Result.NO_CONNECTION)
        node.waiting.clear()
        for connection in list(node.open) if node.open else ():
            connection.retired = True
            if connection.attempt is None:
                self._discard(connection)
            else:
                connection.abort_if_unsent()

    def node_ids(self) -> list[int]:
        """The ids of all nodes."""
        return list(self._nodes)

    # --- attempts ---
    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection to its node, else on a new one once it opens."""
        node = self._nodes.get(attempt.cache_id)
        if node is None:
            self._fail(attempt, Result.NO_CONNECTION)
            return
        now = self.loop.time()
        quiet_time = self._quiet_time(now)
        while node.idle:
            connection = node.idle[-1]
            if now - connection.answered_at < quiet_time:  # try the least recently used
                connection = node.idle[0]
                if now - connection.answered_at < quiet_time:
                    break
            if (
                self.likely_alive(now - connection.idle_since, now)
                and connection.no_pending_input()
            ):
                if self.owner.may_send(attempt):
                    node.idle.remove(connection)
                    connection.run(attempt)
                else:
                    self._fail(attempt, Result.NEVER_SENT)
                return
            self._discard(connection)
        if len(self._open) >= self._limit and not self._close_oldest_idle():
            self._fail(attempt, Result.NEVER_SENT)  # the socket limit is reached
            return
        connection = NodeConnection(self, node, attempt)
        node.waiting[attempt] = connection
        node.open[connection] = None
        self._open[connection] = None
        connection.stream = self._net.connect(
            node.address, connection, self._connect_timeout, first=True
        )

    def give_up(self, attempt: Attempt) -> bool:
        """Abandon an attempt without an outcome; return whether it may have run."""
        if attempt.connection is not None:
            may_have_run = attempt.connection.fully_sent
            attempt.connection.give_up()
            return may_have_run
        node = self._nodes.get(attempt.cache_id)
        if node is not None:
            node.waiting.pop(attempt, None)  # its connection serves another attempt
        return False

    def delivered(self, attempt: Attempt) -> bool:
        """Whether the node's kernel has acknowledged the whole command."""
        connection = attempt.connection
        return (
            connection is not None
            and connection.stream is not None
            and connection.stream.delivered()
        )

    def _fail(self, attempt: Attempt, result: Result) -> None:
        # Deferred, so that an outcome is not reported while the balancer's actions are performed.
        self.loop.call_soon(self.owner.attempt_ended, attempt, result)

    # --- connections ---
    def record_reuse(self, connection: NodeConnection, broken: bool) -> None:
        """Record whether a reused connection broke before the first byte of an answer."""
        bucket = bisect_right(AGE_BOUNDS, connection.idle_for)
        share, _ = self._break_shares[bucket]
        self._break_shares[bucket] = share + AGE_LEARNING_RATE * (broken - share), self.loop.time()

    def unsolicited_data(self, connection: NodeConnection) -> None:
        """Record how long after the last answer data came on an idle connection.

        Data that comes later than MAX_QUIET_TIME, or before any answer, is not a second answer.  It
        is ignored: otherwise the connections of a node that sends such data would not be reused.
        """
        now = self.loop.time()
        age = now - connection.answered_at
        delay = min(MAX_QUIET_TIME, QUIET_TIME_FACTOR * age)
        if age <= MAX_QUIET_TIME and delay > self._decayed_stray_delay(now):
            self._stray_delay, self._stray_seen_at = delay, now

    def _decayed_stray_delay(self, now: float) -> float:
        return self._stray_delay * math.exp((self._stray_seen_at - now) / AGE_DECAY_TIME)

    def _quiet_time(self, now: float) -> float:
        """Seconds for which a connection is not reused after an answer.

        A second answer would be given to the next request, since nothing in it identifies its
        request; second answers came 1.6 to 3.5 ms after the first in the scenario join+brink.  A
        fixed 5 ms lowered the score where requests follow each other at once (0.832 against 0.856
        in the scenario site-lost).  Drawback: such traffic needs another connection meanwhile.
        """
        return max(MIN_QUIET_TIME, self._decayed_stray_delay(now))

    def likely_alive(self, age: float, now: float) -> bool:
        """Whether a connection that was idle for `age` seconds is likely still open.

        Nodes or middleboxes may drop idle connections long before the configured timeout, which
        shows only when the next request is sent.  The check should also help with nodes that close
        after a number of requests.  Drawback: if connections break regardless of their idle time,
        new ones cost a handshake and break too.
        """
        share, learned_at = self._break_shares[bisect_right(AGE_BOUNDS, age)]
        return (
            age < self._idle_for
            and share * math.exp((learned_at - now) / AGE_DECAY_TIME) < MAX_BREAK_SHARE
        )

    def opened(self, connection: NodeConnection) -> None:
        """Take a connection whose connect succeeded, and offer it to a waiting attempt."""
        if connection.retired:
            connection.close()
            return
        connection.idle_since = self.loop.time()
        connection.node.idle.append(connection)
        self._offer(connection)

    def release(self, connection: NodeConnection) -> None:
        """Take back a connection after an answer; attempts reuse it after the quiet time."""
        node = connection.node
        if connection.retired or connection.stream is None or connection.stream.closing:
            connection.close()
            return
        connection.idle_since = connection.answered_at = now = self.loop.time()
        node.idle.append(connection)
        if node.waiting:
            self.loop.call_later(self._quiet_time(now), self._offer, connection)
        elif len(node.idle) > self.limits.idle_per_node:
            self._discard(node.idle[0])

    def _offer(self, connection: NodeConnection) -> None:
        """Give an idle connection to the attempt it was opened for, else to the longest waiting."""
        node = connection.node
        if connection not in node.idle:
            return
        if not connection.no_pending_input():
            self._discard(connection)  # `closed` fails the attempt that it was opened for
            return
        opened_for, connection.opened_for = connection.opened_for, None
        while node.waiting:
            attempt = opened_for if opened_for in node.waiting else next(iter(node.waiting))
            assert attempt is not None
            del node.waiting[attempt]
            if self.owner.may_send(attempt):
                node.idle.remove(connection)
                connection.run(attempt)
                return
            self._fail(attempt, Result.NEVER_SENT)

    def closed(self, connection: NodeConnection) -> None:
        """Forget a connection that ended or could not be opened, and fail its waiting attempt."""
        node, connection.stream, connection.up = connection.node, None, False
        self._open.pop(connection, None)
        node.open.pop(connection, None)
        if connection in node.idle:
            node.idle.remove(connection)
        attempt, connection.opened_for = connection.opened_for, None
        if attempt is not None and node.waiting.pop(attempt, None) is not None:
            self.owner.attempt_ended(attempt, Result.NO_CONNECTION)

    def _discard(self, connection: NodeConnection) -> None:
        if connection in connection.node.idle:
            connection.node.idle.remove(connection)
        connection.close()
        if not connection.up:
            self.closed(connection)  # fail the waiting attempt at once

    def _idle_connections(self) -> list[NodeConnection]:
        """The idle connections of all nodes, in time proportional to the open connections."""
        return [connection for connection in self._open if connection in connection.node.idle]

    def _close_oldest_idle(self) -> bool:
        oldest = min(self._idle_connections(), key=lambda c: c.idle_since, default=None)
        if oldest is None:
            return False
        self._discard(oldest)
        self._open.pop(oldest, None)  # its descriptor is already free, before `closed` is called
        return True

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        now = self.loop.time()
        for connection in self._idle_connections():
            if now - connection.idle_since >= self._idle_for:
                self._discard(connection)

    def close(self) -> None:
        """Close all connections and stop the sweep."""
        self._sweep_timer.cancel()
        self.malformed_replies.close()
        self.held_replies.close()
        for connection in list(self._open):
            self._discard(connection)
