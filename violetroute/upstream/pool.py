"""All connections to cache nodes: a pool for each node, bounded in total and for each."""

from __future__ import annotations

import math
from bisect import bisect_right

from snowstall import Result
from violetroute.config import Config, Limits
from violetroute.transport import Address, Network

from .attempt import Attempt, AttemptOwner
from .connection import NodeConnection

IDLE_TIME_SHARE = 0.6  # of the node's own idle time; a request must never meet its close
AGE_BOUNDS = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0)  # s; idle times that are judged apart
AGE_GAIN = 0.1  # of one more reuse at an age
AGE_DECAY_TIME = 10.0  # s over which what is known of an age fades, so that it is tried again
MAX_BREAK_SHARE = 0.1  # share of reuses that may break before connections of this age are closed
MIN_QUIET_TIME = 0.002  # s after an answer in which what belongs to no request would come, at least
MAX_QUIET_TIME, QUIET_TIME_FACTOR = (
    0.1,
    2.0,
)  # s learned at most; times the latest that was seen lately
SWEEP_INTERVAL = 0.5  # s between looks at idle connections
DEFAULTS = Limits()


class Node:
    """One cache node's address and connections."""

    __slots__ = ("address", "idle", "open", "waiting")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle: list[NodeConnection] = []  # the most recently used last
        self.open: dict[NodeConnection, None] = {}  # in the order of their opening
        self.waiting: dict[Attempt, NodeConnection] = {}  # with what was opened for each


class Pool:
    """All connections to cache nodes, bounded in total and for each node."""

    def __init__(
        self,
        sink: AttemptOwner,
        net: Network,
        limit: int,
        connect_timeout: float,
        idle_timeout: float,
        limits: Limits = DEFAULTS,
    ) -> None:
        self.limits = limits  # may be replaced at any time
        self.follows_redirects = False  # redirections are understood; likewise
        self.sink, self._net, self.loop = sink, net, net.loop
        self._limit = limit
        self.configure(connect_timeout, idle_timeout)
        # By age, the share of reuses that broke, and when it was last learned.
        self._lost = [(0.0, 0.0)] * (len(AGE_BOUNDS) + 1)
        self._stray, self._stray_at = 0.0, 0.0  # how late one came that nobody waited for, and when
        self._nodes: dict[int, Node] = {}
        self._open: dict[NodeConnection, None] = {}
        self._sweeping = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    @classmethod
    def of(cls, sink: AttemptOwner, net: Network, config: Config) -> Pool:
        """A pool with the limits and times of the configuration."""
        pool = cls(sink, net, config.upstream_sockets, config.connect_timeout, config.idle_timeout)
        pool.reload(config)
        return pool

    def reload(self, config: Config) -> None:
        """Take on what may change while connections are open: not their number."""
        self.limits, self.follows_redirects = config.limits, config.operator.cluster.follow
        self.configure(config.connect_timeout, config.idle_timeout)

    def configure(self, connect_timeout: float, idle_timeout: float) -> None:
        """What the settings say of cache nodes' connections; holds for those that are open, too."""
        self._connect_timeout, self._idle_for = connect_timeout, idle_timeout * IDLE_TIME_SHARE

    # --- the list ---
    def place(self, cache_id: int, address: Address) -> None:
        """A node is listed here, and nowhere else: the one before it was removed."""
        if cache_id not in self._nodes:
            self._nodes[cache_id] = Node(address)

    def address(self, cache_id: int) -> Address | None:
        node = self._nodes.get(cache_id)
        return None if node is None else node.address

    def remove(self, cache_id: int) -> None:
        """Nothing new goes to this node, not even what waits for a connection to it."""
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
                connection.end_unsent()

    def ids(self) -> list[int]:
        return list(self._nodes)

    # --- attempts ---
    def send(self, attempt: Attempt) -> None:
        node = self._nodes.get(attempt.cache_id)
        if node is None:
            self._fail(attempt, Result.NO_CONNECTION)
            return
        now = self.loop.time()
        quiet_time = self._quiet_time(now)
        while node.idle:
            connection = node.idle[-1]
            if now - connection.answered_at < quiet_time:  # the last used: look behind it
                connection = node.idle[0]
                if now - connection.answered_at < quiet_time:
                    break
            if (
                self.likely_alive(now - connection.idle_since, now)
                and connection.no_pending_input()
            ):
                if self.sink.may_send(attempt):
                    node.idle.remove(connection)
                    connection.run(attempt)
                else:
                    self._fail(attempt, Result.NEVER_SENT)
                return
            self._discard(connection)
        if len(self._open) >= self._limit and not self._close_an_idle_one():
            self._fail(attempt, Result.NEVER_SENT)  # no socket is left to ask with
            return
        connection = NodeConnection(self, node, attempt)
        node.waiting[attempt] = connection
        node.open[connection] = None
        self._open[connection] = None
        connection.stream = self._net.connect(
            node.address, connection, self._connect_timeout, first=True
        )

    def give_up(self, attempt: Attempt) -> bool:
        """Nothing of it may come back; whether it can have run."""
        if attempt.connection is not None:
            may_have_run = attempt.connection.fully_sent
            attempt.connection.give_up()
            return may_have_run
        node = self._nodes.get(attempt.cache_id)
        if node is not None:
            node.waiting.pop(attempt, None)  # what is being opened for it will find use
        return False

    def delivered(self, attempt: Attempt) -> bool:
        """Whether its node has the whole command, as far as its kernel has said so."""
        connection = attempt.connection
        return (
            connection is not None
            and connection.stream is not None
            and connection.stream.delivered()
        )

    def _fail(self, attempt: Attempt, result: Result) -> None:
        # Later, not from within the module's own action.
        self.loop.call_soon(self.sink.attempt_ended, attempt, result)

    # --- connections ---
    def reused(self, connection: NodeConnection, broken: bool) -> None:
        """Whether the first sign on a kept connection was a byte of an answer or its end."""
        place = bisect_right(AGE_BOUNDS, connection.idle_for)
        share, _ = self._lost[place]
        self._lost[place] = share + AGE_GAIN * (broken - share), self.loop.time()

    def unsolicited_data(self, connection: NodeConnection) -> None:
        """Something came on a free connection: how long after its last answer.

        What comes later than QUIET_MOST, or where nothing was answered, is noise and no second
        answer: a node that makes some would have all connections left alone.
        """
        now = self.loop.time()
        age = now - connection.answered_at
        late = min(MAX_QUIET_TIME, QUIET_TIME_FACTOR * age)
        if age <= MAX_QUIET_TIME and late > self._faded(now):
            self._stray, self._stray_at = late, now

    def _faded(self, now: float) -> float:
        return self._stray * math.exp((self._stray_at - now) / AGE_DECAY_TIME)

    def _quiet_time(self, now: float) -> float:
        """s for which a connection is left alone after an answer.

        Guards against second answers, which would be given to the next request: no byte tells them
        apart, and 1.6 to 3.5 ms after the first were measured on join+brink.  Weighed: 5 ms always
        cost service where requests follow each other at once (site-lost 0.832 for 0.856).  Harm: a
        connection more there, while it lasts.
        """
        return max(MIN_QUIET_TIME, self._faded(now))

    def likely_alive(self, age: float, now: float) -> bool:
        """Whether a connection that has been idle for so long is likely to be alive.

        Guards against nodes, or boxes between, that drop kept connections long before the
        stated time and say so only when the next request comes.  Should also catch nodes
        that close after a number of requests.  Harm: where all connections break alike,
        new ones cost their handshake and break as well.
        """
        share, learned_at = self._lost[bisect_right(AGE_BOUNDS, age)]
        return (
            age < self._idle_for
            and share * math.exp((learned_at - now) / AGE_DECAY_TIME) < MAX_BREAK_SHARE
        )

    def opened(self, connection: NodeConnection) -> None:
        if connection.retired:
            connection.close()
            return
        connection.idle_since = self.loop.time()
        connection.node.idle.append(connection)
        self._offer(connection)

    def release(self, connection: NodeConnection) -> None:
        """Free after an answer: for who waits, once it has been quiet for a moment."""
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
        """To the attempt it was opened for, else to the one that waits longest, else idle."""
        node = connection.node
        if connection not in node.idle:
            return
        if not connection.no_pending_input():
            self._discard(connection)  # whoever it was opened for hears of it from `closed`
            return
        wanted_by, connection.wanted_by = connection.wanted_by, None
        while node.waiting:
            attempt = wanted_by if wanted_by in node.waiting else next(iter(node.waiting))
            assert attempt is not None
            del node.waiting[attempt]
            if self.sink.may_send(attempt):
                node.idle.remove(connection)
                connection.run(attempt)
                return
            self._fail(attempt, Result.NEVER_SENT)

    def closed(self, connection: NodeConnection) -> None:
        """It is gone, or never came up."""
        node, connection.stream, connection.up = connection.node, None, False
        self._open.pop(connection, None)
        node.open.pop(connection, None)
        if connection in node.idle:
            node.idle.remove(connection)
        attempt, connection.wanted_by = connection.wanted_by, None
        if attempt is not None and node.waiting.pop(attempt, None) is not None:
            self.sink.attempt_ended(attempt, Result.NO_CONNECTION)

    def _discard(self, connection: NodeConnection) -> None:
        if connection in connection.node.idle:
            connection.node.idle.remove(connection)
        connection.close()
        if not connection.up:
            self.closed(connection)  # now: who waits for it hears at once

    def _idle(self) -> list[NodeConnection]:
        """Of all nodes.  Costs by the connections that are open, however many nodes there are."""
        return [connection for connection in self._open if connection in connection.node.idle]

    def _close_an_idle_one(self) -> bool:
        oldest = min(self._idle(), key=lambda c: c.idle_since, default=None)
        if oldest is None:
            return False
        self._discard(oldest)
        self._open.pop(oldest, None)  # its descriptor is free, though it hears so later
        return True

    def _sweep(self) -> None:
        self._sweeping = self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        now = self.loop.time()
        for connection in self._idle():
            if now - connection.idle_since >= self._idle_for:
                self._discard(connection)

    def close(self) -> None:
        self._sweeping.cancel()
        for connection in list(self._open):
            self._discard(connection)
