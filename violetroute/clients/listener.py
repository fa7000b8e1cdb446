"""The listener: accepts while a slot is free, and finds who must give way when none is."""

from __future__ import annotations

import asyncio
from itertools import islice

from violetroute import logs
from violetroute.cluster import Dialect
from violetroute.config.operator import Limits
from violetroute.transport import Address, ListeningSocket, Network

from .answers import Taker
from .budget import Budget
from .connection import ClientConnection

BACKLOG = 4096  # connections that the kernel holds while no slot is free
ACCEPT_AT_ONCE = 32  # connections taken in one turn, so that the others get theirs
ACCEPT_PAUSE = 0.05  # s until the listener looks again when nothing could give way
LEAVERS = 0.04  # s between looks for the end of clients that are not read: 0.1 s are allowed
SWEEP = 0.25  # s between looks at what waits for something
CROWD_PATIENCE = 0.15  # s for a first byte when no slot is left: a real client asks at once
GIVE_WAY_LOOKS = 8  # connections of a state looked at in one turn for one that gives way
IDLE_LEAST = 0.2  # s that an idle one keeps its slot when others want it
ACCEPT_AFTER_TERM = 0.55  # s; new connections come for 0.4 s, and all must be taken by 0.7 s
UNREAD_AFTER_TERM = 0.15  # s more to read what stood unread by then
DEFAULTS = Limits()


class Listener:
    """Accepts while a slot is free, and finds who must give way when none is."""

    def __init__(
        self,
        taker: Taker,
        slots: int,
        room: int,
        net: Network,
        limits: Limits = DEFAULTS,
        dialect: Dialect | None = None,
    ) -> None:
        self.taker, self._net, self._slots = taker, net, slots
        self.loop, self.turns = net.loop, net.turns
        self.limits = limits  # may be replaced at any time, but for its shares of the slots
        self.dialect = dialect  # may be replaced at any time
        self._idle_limit = max(1, int(slots * limits.idle_share))
        self.budget = Budget(room)
        self.draining = False
        self._door: ListeningSocket | None = None
        self._opening: asyncio.TimerHandle | None = None  # when it looks again
        self._taken = 0  # slots, from accept until the stream is lost
        # Each connection stands in one of these, oldest first.
        self._silent: dict[ClientConnection, None] = {}
        self._partial: dict[ClientConnection, None] = {}
        self._idle: dict[ClientConnection, None] = {}
        self._serving: dict[ClientConnection, None] = {}
        self._lingering: dict[ClientConnection, None] = {}
        self._states = (self._silent, self._partial, self._idle, self._serving, self._lingering)
        self._unread: dict[ClientConnection, None] = {}  # not read for now
        self._leaving: asyncio.TimerHandle | None = None  # while there are such
        self._ended = asyncio.Event()
        self._sweeping: asyncio.TimerHandle | None = None

    def start(self, address: Address) -> Address:
        """Listen; returns where.  OSError when that can't be."""
        self._door = self._net.listen(address, BACKLOG, self._accept)
        self._door.watch(True)
        self._sweeping = self.loop.call_later(SWEEP, self._sweep)
        return self._door.address

    @property
    def connections(self) -> int:
        return self._taken

    # --- accepting ---
    def _accept_again(self) -> None:
        self._opening = None
        if self._door is not None:
            self._door.watch(True)

    def _accept_later(self) -> None:
        if self._door is not None and self._opening is None:
            self._door.watch(False)
            self._opening = self.loop.call_later(ACCEPT_PAUSE, self._accept_again)

    def _accept(self) -> None:
        for _ in range(ACCEPT_AT_ONCE):
            if self._taken >= self._slots:
                if not self._give_way():
                    self._accept_later()
                return  # the slot is free once the loop has closed that connection
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        assert self._door is not None
        connection = ClientConnection(self)
        try:
            stream = self._door.accept(connection)
        except OSError as error:  # descriptors or memory of the whole machine ran out
            logs.event("clients.accept_failed", reason=str(error))
            self._accept_later()
            return False
        if stream is None:
            return False
        self._taken += 1
        connection.joined(stream)
        return True

    def _give_way(self) -> bool:
        """Free one slot, never that of a request that is being served.

        The longest in each state goes first, and those that cost nobody an answer before
        those that might.  Guards against crowds that say nothing, say half, or asked once
        and stay.  Harm: a client whose first byte needs longer than CROWD_PATIENCE is shut
        out for as long as there is a crowd.
        """
        now = self.loop.time()
        for state, patience in (
            (self._lingering, 0.1),
            (self._idle, self.limits.idle_s),
            (self._silent, CROWD_PATIENCE),
            (self._partial, self.limits.command_s),
            (self._idle, IDLE_LEAST),
        ):
            for connection in list(islice(state, GIVE_WAY_LOOKS)):
                if now - connection.since < patience:
                    break
                if state is not self._partial and connection.asked_meanwhile():
                    self._not_idle(connection, now)
                elif connection.give_way():
                    return True
                else:
                    break
        return False

    def overstays(self, connection: ClientConnection, now: float) -> bool:
        """Whether one that owes and is owed nothing has had its time."""
        waited = now - connection.since
        if connection.state is self._silent:
            return waited > self.limits.first_byte_s
        return self._taken > self.limits.crowd_share * self._slots and waited > self.limits.idle_s

    # --- states ---
    def _move(self, connection: ClientConnection, state: dict[ClientConnection, None]) -> None:
        if connection.state is state:
            return
        if connection.state is not None:
            del connection.state[connection]
        connection.state = state
        state[connection] = None
        connection.since = self.loop.time()

    def joined(self, connection: ClientConnection) -> None:
        self._move(connection, self._silent)

    def serving(self, connection: ClientConnection) -> None:
        self._move(connection, self._serving)

    def in_part(self, connection: ClientConnection) -> None:
        self._move(connection, self._partial)

    def idle(self, connection: ClientConnection) -> None:
        if self.draining:
            # Answers of nodes come first in a turn, so the next command may stand there unread. It
            # is read, answered, and the connection ends then; once nobody new is taken, at once.
            if self._door is None or not connection.asked_meanwhile():
                connection.end()
        else:
            if connection.state is self._idle:  # was answered at once: idle from now on anew
                del self._idle[connection]
                connection.state = None
            self._move(connection, self._idle)
            self._trim_idle()

    def _trim_idle(self) -> None:
        """End the longest idle beyond their share.

        Guards against clients that ask once and keep their connection: they used up what
        their front may hold open, and the others had none left to ask on while slots were
        free here.  Should also keep memory down.  Harm: a large and steady pool of quiet
        clients opens anew what it could have kept.
        """
        over = len(self._idle) - self._idle_limit
        if over <= 0:
            return
        now = self.loop.time()
        for connection in list(islice(self._idle, over)):
            if now - connection.since < IDLE_LEAST:
                break
            if connection.asked_meanwhile():
                self._not_idle(connection, now)
            else:
                connection.end()

    def _not_idle(self, connection: ClientConnection, now: float) -> None:
        """It has asked and will be read: last in its row, so that nobody looks at it again."""
        connection.since = now
        if connection.state is not None:
            del connection.state[connection]
            connection.state[connection] = None

    def reads(self, connection: ClientConnection, on: bool) -> None:
        """Whether this connection is read.  While it is not, nothing tells of its client's end."""
        if on:
            self._unread.pop(connection, None)
        else:
            self._unread[connection] = None
            if self._leaving is None:
                self._leaving = self.loop.call_later(LEAVERS, self._look_for_leavers)

    def _look_for_leavers(self) -> None:
        """End those whose client has gone, though what it had sent before stands unread.

        Guards against sending on what waits for a retry, a connection or room after its client
        has left: the end stands behind what is not read, or in a window that is closed (only
        there it is not seen).  Harm: a system call for each of these in each LEAVERS seconds.
        """
        # First, as the sweep does: a fault over one must not end the looks for the others.
        self._leaving = (
            self.loop.call_later(LEAVERS, self._look_for_leavers) if self._unread else None
        )
        for connection in list(self._unread):
            if connection.left():
                connection.ended()

    def lingering(self, connection: ClientConnection) -> None:
        self._move(connection, self._lingering)

    def left(self, connection: ClientConnection) -> None:
        self._unread.pop(connection, None)
        if connection.state is not None:
            del connection.state[connection]
            connection.state = None
        self._taken -= 1
        if not self._taken:
            self._ended.set()

    def _sweep(self) -> None:
        self._sweeping = self.loop.call_later(SWEEP, self._sweep)
        now = self.loop.time()
        for state in self._states:
            for connection in list(state):
                connection.look(now)
        self._trim_idle()

    # --- draining ---
    async def drain(self, longest: float) -> None:
        """Go on accepting for a while, answer what was taken, close between requests."""
        self.draining = True
        for connection in list(self._idle):
            if not connection.asked_meanwhile():  # else it ends with its answer
                connection.end()
        await asyncio.sleep(ACCEPT_AFTER_TERM)
        self._accept_the_rest()
        for connection in [*self._silent, *self._partial]:
            if not connection.asked_meanwhile():  # else with its answer, or when it has overstayed
                connection.last_call()
        for connection in list(self._serving):
            if connection.asked_meanwhile():  # behind what is being served: taken as well
                self.loop.call_later(UNREAD_AFTER_TERM, connection.last_call)
            else:
                connection.last_call()
        self._ended.clear()
        if self._taken:
            try:
                async with asyncio.timeout(longest):
                    await self._ended.wait()
            except TimeoutError:
                logs.event("clients.left_open", count=self._taken)
                for state in self._states:
                    for connection in list(state):
                        connection.abort()
        for timer in (self._sweeping, self._leaving):
            if timer is not None:
                timer.cancel()

    def _accept_the_rest(self) -> None:
        """What waits in the backlog would be reset when the door closes."""
        if self._opening is not None:
            self._opening.cancel()
        if self._door is None:
            return
        while self._taken < self._slots and self._accept_one():
            pass
        if self._opening is not None:
            self._opening.cancel()
        self._door.close()
        self._door = None
