"""The client listener: accepts connections, and evicts one when no slot is free."""

from __future__ import annotations

import asyncio
from itertools import islice

from violetroute import logs
from violetroute.cluster import Dialect
from violetroute.config.operator import Limits
from violetroute.transport import Address, ListeningSocket, Network

from .answers import RequestHandler
from .budget import Budget
from .connection import ClientConnection
from .drain import DrainSchedule, run_drain
from .eviction import slow_command, stalled_reader
from .shortage_log import ShortageLog
from .turn_share import TurnShare

BACKLOG = 4096  # connections that the kernel queues while no slot is free
MAX_ACCEPTS_PER_TURN = 32  # leaves time in the turn for open connections
ACCEPT_RETRY_INTERVAL = 0.05  # s until the next accept when no connection could be evicted
PAUSED_CHECK_INTERVAL = 0.04  # s; a client's departure must be noticed within 0.1 s
SWEEP_INTERVAL = 0.25  # s between checks of all connections for expired time limits
FIRST_BYTE_TIMEOUT_WHEN_FULL = 0.15  # s; a real client sends a command at once
STALL_TIMEOUT_WHEN_FULL = 0.03  # s without a byte of a command that has begun
READER_TIMEOUT_WHEN_FULL = 1.0  # s for a client that reads nothing, if its memory is needed
MAX_EVICTION_CANDIDATES = 8  # connections checked in the kernel per state and eviction
MIN_IDLE_TIME = 0.2  # s for which an idle connection keeps its slot when others need one
DEFAULTS = Limits()


class Listener:
    """Accepts client connections and enforces their slots, time limits and shared budget.

    `slots`: maximum number of connections.  `budget_bytes`: memory that they may use together.
    """

    def __init__(
        self,
        handler: RequestHandler,
        slots: int,
        budget_bytes: int,
        net: Network,
        limits: Limits = DEFAULTS,
        dialect: Dialect | None = None,
    ) -> None:
        self.handler, self._net, self._slots = handler, net, slots
        self.loop, self.turns = net.loop, net.turns
        self.limits = limits  # replaceable at any time; `idle_share` has no effect then
        self.dialect = dialect  # may be replaced at any time
        self._idle_limit = max(1, int(slots * limits.idle_share))
        self.budget = Budget(budget_bytes)
        self.turn_share = TurnShare(net.loop)
        self.draining = False
        self.drain_schedule: DrainSchedule | None = None  # set once the drain has begun
        self._server_socket: ListeningSocket | None = None
        self._accept_timer: asyncio.TimerHandle | None = None  # set while accepting is paused
        self._slots_used = 0  # slots are used from accept until the descriptor is closed
        # Each connection is in one of these sets; the one that entered it first comes first, of the
        # partial ones the one without progress for longest.
        self._awaiting_first_byte: dict[ClientConnection, None] = {}
        self._partial: dict[ClientConnection, None] = {}
        self._idle: dict[ClientConnection, None] = {}
        self._serving: dict[ClientConnection, None] = {}
        self._lingering: dict[ClientConnection, None] = {}
        self._states = (
            self._awaiting_first_byte,
            self._partial,
            self._idle,
            self._serving,
            self._lingering,
        )
        self._paused: dict[ClientConnection, None] = {}  # connections that are not being read
        self._departure_timer: asyncio.TimerHandle | None = None  # set while `_paused` is checked
        self._shortages = ShortageLog(self.budget, self.turn_share)
        self._all_closed = asyncio.Event()
        self._sweep_timer: asyncio.TimerHandle | None = None

    def start(self, address: Address) -> Address:
        """Listen and return the bound address.  Raises OSError."""
        self._server_socket = self._net.listen(address, BACKLOG, self._accept)
        self._server_socket.watch(True)
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        return self._server_socket.address

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return self._slots_used

    # --- accepting ---
    def _resume_accepting(self) -> None:
        self._accept_timer = None
        if self._server_socket is not None:
            self._server_socket.watch(True)

    def _pause_accepting(self) -> None:
        if self._server_socket is not None and self._accept_timer is None:
            self._server_socket.watch(False)
            self._accept_timer = self.loop.call_later(ACCEPT_RETRY_INTERVAL, self._resume_accepting)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.slots_full and not self._make_room():
                return
            if not self._accept_one():
                return

    def _make_room(self) -> bool:
        """Free a slot for a connection that waits for one; False if none waits or none is free."""
        if self._server_socket is None or not self._server_socket.has_waiting():
            return False
        if self._evict_one():
            return True
        self._pause_accepting()
        return False

    def _accept_one(self) -> bool:
        assert self._server_socket is not None
        connection = ClientConnection(self)
        try:
            stream = self._server_socket.accept(connection)
        except OSError as error:  # no descriptors or memory left
            logs.event("clients.accept_failed", reason=str(error))
            self._pause_accepting()
            return False
        if stream is None:
            return False
        self._slots_used += 1
        connection.accepted(stream)
        return True

    def _evict_one(self) -> bool:
        """Evict one connection that has no request in progress; False if there is none.

        The connections longest in a state go first, and states in which no answer can be lost go
        before those in which one might.  This protects against many connections that send nothing,
        send half a command, or stay open after a request.  Cost: while all slots are taken, a
        client whose first byte needs longer than FIRST_BYTE_TIMEOUT_WHEN_FULL is locked out, and of
        commands that are sent slowly the one without progress for longest loses its connection.
        """
        now = self.loop.time()
        return (
            self._evict_from(self._lingering, 0.1, now)
            or self._evict_from(self._idle, self.limits.idle_s, now)
            or self._evict_from(self._awaiting_first_byte, FIRST_BYTE_TIMEOUT_WHEN_FULL, now)
            or self._evict_partial(now)
            or self._evict_from(self._idle, MIN_IDLE_TIME, now)
            or self._evict_slow(now)
            or self._evict_reader(now)
        )

    def _evict_from(self, state: dict[ClientConnection, None], min_age: float, now: float) -> bool:
        """Evict a connection that has been in this state for `min_age` seconds, if there is one."""
        for connection in list(islice(state, MAX_EVICTION_CANDIDATES)):
            if now - connection.since < min_age:
                return False
            if not connection.has_unread_input():
                return connection.try_evict()
            self._requeue(connection, now)
        return False

    def _evict_partial(self, now: float) -> bool:
        """Evict a connection whose command makes no progress, if there is one."""
        for connection in list(islice(self._partial, MAX_EVICTION_CANDIDATES)):
            if now - connection.received_at < STALL_TIMEOUT_WHEN_FULL:
                return False
            if not connection.has_unread_input():
                return connection.try_evict()
            self._requeue_partial(connection)
        return False

    def _evict_slow(self, now: float) -> bool:
        """Evict a connection whose command is slow, even if it progresses, if there is one."""
        slowest = slow_command(self._partial, now)
        if slowest is None:
            return False
        began = slowest.since
        slowest.read_rest()
        if slowest.state is not self._partial or slowest.since != began:
            return False  # the command was complete
        return slowest.try_evict()

    def _evict_reader(self, now: float) -> bool:
        """Evict a connection whose client does not take its answers, or only slowly.

        Right after a pause of the process none is: the clients were ready, and the proxy was not.
        """
        reader = None if self.turns.paused_for else stalled_reader(self._serving, now)
        if reader is None:
            return False
        reader.evict()
        return True

    @property
    def reader_timeout(self) -> float:
        """Seconds for which a client may take nothing of its answers."""
        timeout = self.limits.reader_s
        return min(timeout, READER_TIMEOUT_WHEN_FULL) if self.budget.full else timeout

    def _requeue_partial(self, connection: ClientConnection) -> None:
        """Move a partial connection that makes progress behind all others."""
        del self._partial[connection]
        self._partial[connection] = None

    def idle_expired(self, connection: ClientConnection, now: float) -> bool:
        """Whether a connection without a command or pending answer has been idle for too long."""
        delay = now - connection.since
        if connection.state is self._awaiting_first_byte:
            return delay > self.limits.first_byte_s
        return (
            self._slots_used > self.limits.crowd_share * self._slots and delay > self.limits.idle_s
        )

    # --- states ---
    def _set_state(self, connection: ClientConnection, state: dict[ClientConnection, None]) -> None:
        if connection.state is state:
            return
        if connection.state is not None:
            del connection.state[connection]
        connection.state = state
        state[connection] = None
        connection.since = self.loop.time()

    def connection_accepted(self, connection: ClientConnection) -> None:
        """A new connection, of which no byte has been received."""
        self._set_state(connection, self._awaiting_first_byte)

    def mark_serving(self, connection: ClientConnection) -> None:
        """The connection has pending answers."""
        self._set_state(connection, self._serving)

    def mark_partial(self, connection: ClientConnection) -> None:
        """More of a command was received, and it is not complete."""
        if connection.state is self._partial:
            self._requeue_partial(connection)
        else:
            self._set_state(connection, self._partial)

    def mark_idle(self, connection: ClientConnection) -> None:
        """All commands are answered; ends the connection in a drain."""
        if connection.state is self._idle:  # answered within the turn: restart its idle time
            del self._idle[connection]
            connection.state = None
        self._set_state(connection, self._idle)
        if self.draining:
            # A turn handles replies of nodes first, so the client's next command may be unread.
            connection.end_if_quiet()
        else:
            self._trim_idle()

    def _trim_idle(self) -> None:
        """End the connections that are idle for longest, above `idle_share` of the slots.

        Some clients send one request and keep the connection open.  With a connection limit in
        front of the proxy, such clients used it up, and others could not connect although slots
        were free here.  It also limits memory.  Cost: a large, steady pool of quiet clients
        reconnects more often.
        """
        over = len(self._idle) - self._idle_limit
        if over <= 0:
            return
        now = self.loop.time()
        for connection in list(islice(self._idle, over)):
            if now - connection.since < MIN_IDLE_TIME:
                break
            if connection.has_unread_input():
                self._requeue(connection, now)
            else:
                connection.end()

    def _requeue(self, connection: ClientConnection, now: float) -> None:
        """Move a connection with unread input to the end of its state: it will be read."""
        connection.since = now
        if connection.state is not None:
            del connection.state[connection]
            connection.state[connection] = None

    def set_reading(self, connection: ClientConnection, on: bool) -> None:
        """Note whether this connection is read.  While it is not, no event reports its end."""
        if on:
            self._paused.pop(connection, None)
        else:
            self._paused[connection] = None
            if self._departure_timer is None:
                self._departure_timer = self.loop.call_later(
                    PAUSED_CHECK_INTERVAL, self._check_paused
                )

    def _check_paused(self) -> None:
        """Check the connections that are not read: for departed clients, and for waits for memory.

        Requests that wait for a retry, a node connection or budget must not be sent after their
        client has left, but its FIN is queued behind unread input.  Not detected: a FIN that a
        closed window holds back at the client.  Cost: a system call for each paused connection in
        each PAUSED_CHECK_INTERVAL.
        """
        # Set the timer first: an exception for one connection must not stop further checks.
        self._departure_timer = (
            self.loop.call_later(PAUSED_CHECK_INTERVAL, self._check_paused)
            if self._paused
            else None
        )
        now = self.loop.time()
        self.budget.grant_stalled(now)
        for connection in list(self._paused):
            if connection.client_left():
                connection.ended()
            else:
                connection.check_memory_wait(now)

    def mark_lingering(self, connection: ClientConnection) -> None:
        """The connection is half-closed and waits for the client's close."""
        self._set_state(connection, self._lingering)

    def connection_evicted(self, connection: ClientConnection) -> None:
        """The connection gave way to a new one; `connection_lost` follows."""
        self._shortages.evicted += 1
        self._free_slot(connection)

    def _free_slot(self, connection: ClientConnection) -> None:
        """The descriptor of this connection is closed."""
        if connection.state is not None:
            del connection.state[connection]
            connection.state = None
            self._slots_used -= 1

    def connection_lost(self, connection: ClientConnection) -> None:
        """The connection is closed: free its slot if that has not been done."""
        self._paused.pop(connection, None)
        self._free_slot(connection)
        if not self._slots_used:
            self._all_closed.set()

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        now = self.loop.time()
        for state in self._states:
            for connection in list(state):
                connection.check_timeouts(now)
        self._trim_idle()
        self._shortages.write(self._idle, self._partial, self._serving)

    # --- draining ---
    async def drain(self, longest: float) -> None:
        """Drain after SIGTERM: accept for a while, answer what was sent, close the connections.

        Connections still open `longest` seconds after accepting has ended are aborted.
        """
        self.draining = True
        self.drain_schedule = DrainSchedule.starting(self.loop.time(), longest)
        await run_drain(self, self.drain_schedule)
        for timer in (self._sweep_timer, self._departure_timer):
            if timer is not None:
                timer.cancel()

    @property
    def open_connections(self) -> list[ClientConnection]:
        """All open connections."""
        return [connection for state in self._states for connection in state]

    @property
    def idle_connections(self) -> list[ClientConnection]:
        """The connections without a command."""
        return list(self._idle)

    @property
    def slots_full(self) -> bool:
        """Whether no further connection can be accepted."""
        return self._slots_used >= self._slots

    async def all_closed(self) -> None:
        """Wait until no connection is open."""
        self._all_closed.clear()
        if self._slots_used:
            await self._all_closed.wait()

    def accept_waiting(self) -> None:
        """Accept what the kernel has queued, as far as slots are free."""
        while not self.slots_full and self._accept_one():
            pass

    def stop_accepting(self) -> None:
        """Accept all of the backlog and stop listening: a close would reset what it holds."""
        if self._accept_timer is not None:
            self._accept_timer.cancel()
        if self._server_socket is None:
            return
        self.accept_waiting()
        if self._accept_timer is not None:
            self._accept_timer.cancel()
        self._server_socket.close()
        self._server_socket = None
