"""The input of a client connection: commands decoded from its bytes, and how old they may be."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from violetroute import resp
from violetroute.transport import Stream
from violetroute.transport.loop_lag import Turns

from .assembly import CommandAssembler
from .budget import Budget
from .presence import ClientPresence
from .read_delay import WINDOW_REOPEN_TIME, ReadDelay

READ_SIZE = 16 * 1024  # bytes of one read, into a buffer that all connections share
MAX_READ_AHEAD = 4 * 1024 * 1024  # bytes of one connection; what a sender's kernel holds at most

read_buffer = memoryview(bytearray(READ_SIZE))


class CommandReader:
    """Decodes the commands of one connection.  Times are seconds of the loop's clock."""

    __slots__ = (
        "_assembly",
        "_budget",
        "_decoder",
        "_delay",
        "_receive_buffer",
        "ahead",
        "assembling",
        "awaits_memory",
        "expected_until",
        "idle",
        "partial_since",
        "presence",
    )

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self._decoder = resp.Decoder()
        self.ahead = 0  # bytes of input read ahead that are charged to the budget
        self._assembly = CommandAssembler(budget)
        self._delay = ReadDelay()
        self.presence = ClientPresence()
        self._receive_buffer = 0  # bytes; the kernel's, when a marked read began
        # Attributes instead of properties, since each request reads them several times.
        self.idle = True  # no input is left and no command is incomplete
        self.assembling = False  # the first tokens of a command were taken, but not yet all
        self.awaits_memory = False  # the current command waits for bytes of the budget
        self.partial_since = 0.0  # first bytes of the incomplete command; 0 without one
        self.expected_until = 0.0  # up to which input of the sender's kernel may still arrive

    def accepted(self, turns: Turns, now: float) -> None:
        """The connection was accepted; it may have waited in the backlog."""
        waits_since = now - max(turns.paused_for, turns.readable_for(now))
        self._delay.accepted(turns.count, waits_since)
        self.presence.accepted(waits_since)

    def feed(self, count: int, turns: Turns, now: float, stream: Stream) -> None:
        """Take `count` bytes of `read_buffer`, which were read from the stream."""
        self._delay.begin_read(turns.count, now, turns.paused_for)
        if count == READ_SIZE or not self.presence.certain:
            arrived_at = now - max(turns.paused_for, turns.readable_for(now))
            self.presence.read(count, count < READ_SIZE, arrived_at, now, stream)
        if self._delay.marked:
            self._receive_buffer = stream.receive_buffer()
        if count == READ_SIZE or self._delay.window_may_be_closed(count, self._receive_buffer):
            self.expected_until = now + WINDOW_REOPEN_TIME
        self._decoder.feed(read_buffer[:count])
        self._assembly.received_at = now
        self.idle = False

    def end_read(self, count: int, clock: Callable[[], float]) -> None:
        """The commands in the `count` bytes that were fed have been run as far as possible."""
        if self._delay.marked:
            self._delay.end_read(count, clock(), count < READ_SIZE, self._receive_buffer)

    def pause(self, now: float) -> None:
        """The connection is not read from now on."""
        self._delay.pause_reading(now)
        self.presence.pause_reading(now)

    @property
    def may_read_ahead(self) -> bool:
        """Whether there is room for more input before the commands in it are run."""
        return self._budget.half_free and self.undecoded < MAX_READ_AHEAD

    def charge_ahead(self) -> None:
        """Charge the input beyond one read that is not decoded yet, or return what was charged."""
        ahead = max(0, self.undecoded - READ_SIZE)
        change, self.ahead = ahead - self.ahead, ahead
        if change > 0:
            self._budget.hold(change)
        elif change < 0:
            self._budget.release(-change)

    def client_may_have_left(self, stream: Stream, now: float) -> bool:
        """Whether the client may have closed for longer than it may go unnoticed."""
        return self.presence.may_have_left(stream, now)

    def awaits_client(self, stream: Stream, now: float) -> bool:
        """Whether it is uncertain that the client is there, and will be certain soon.

        That needs room for the input before its close, if any is unread.
        """
        return (
            not self.presence.certain
            and self.client_may_have_left(stream, now)
            and (self.may_read_ahead or not stream.unread_bytes())
        )

    def delay(self, now: float) -> float:
        """Seconds for which the current command may have waited to be read."""
        return self._delay.delay(now)

    @property
    def received_at(self) -> float:
        """The time of the last read."""
        return self._assembly.received_at

    @property
    def undecoded(self) -> int:
        """Bytes that were read and are not decoded yet."""
        return self._decoder.unread

    @property
    def charged(self) -> bool:
        """Whether the current command holds bytes of the budget."""
        return self._assembly.charged

    def transfer_charge(self) -> int:
        """Return the budget bytes of the current command; the caller owns them from now on."""
        return self._assembly.transfer_charge()

    def next_command(
        self, granted: Callable[[], None]
    ) -> tuple[Sequence[bytes | bytearray], bytes] | None:
        """The arguments of the next command, and its bytes up to the id if they are known.

        No arguments: the command was refused while it was received, for lack of memory.  None if it
        is incomplete or waits for the budget; then `granted` is called once there is room, and has
        to call `grant`.  Raises ProtocolError.
        """
        if not self.assembling:
            args = self._decoder.command()
            if args is not None:
                self.idle = self._decoder.idle
                self.partial_since = 0.0
                head = args.pop()
                return args, head
        complete = self._assemble(granted)
        self.assembling = self._assembly.missing_arguments > 0
        self.awaits_memory = self._assembly.awaited_bytes > 0
        self.idle = self._decoder.idle and not self.assembling
        if complete is not None:
            self.partial_since = 0.0
            return complete, b""
        if not self.idle and not self.partial_since:
            self.partial_since = self._assembly.received_at
        return None

    def _assemble(self, granted: Callable[[], None]) -> list[bytes | bytearray] | None:
        """Take tokens until a command is complete; None if there are not enough."""
        while not self._assembly.awaited_bytes:
            token = self._decoder.next()
            if token is None:
                return None
            complete = self._assembly.take(token, granted)
            if complete is not None:
                return complete
        return None

    def expired(self, now: float, limit: float) -> bool:
        """Whether a command is incomplete for more than `limit` seconds since its first bytes.

        Neither open requests before it nor a wait for memory stop that time, since it holds memory
        and a slot.
        """
        return self.partial_since > 0.0 and now - self.partial_since > limit

    def reopen_delay(self, now: float) -> float:
        """Seconds that the rest of a command may need from the sender's kernel."""
        return WINDOW_REOPEN_TIME if now < self.expected_until else 0.0

    def grant(self, now: float) -> None:
        """Take over the bytes that the budget has reserved for the current command."""
        self._assembly.received_at = now  # it was the proxy that kept it waiting
        self._assembly.grant()
        self.awaits_memory = False

    def end_memory_wait(self, now: float) -> bool:
        """Refuse the current command if it has waited too long; whether it waits no more."""
        if now >= self._assembly.wait_until:
            self._assembly.refuse()
        self.awaits_memory = self._assembly.awaited_bytes > 0  # the budget may have refused it
        return not self.awaits_memory

    def drop(self) -> None:
        """Discard all input and release its budget; the connection ends."""
        ahead, self.ahead = self.ahead, 0
        self._budget.release(ahead)
        self._assembly.drop()
        self.partial_since = 0.0
