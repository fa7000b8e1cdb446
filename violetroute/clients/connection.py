"""One client: framing, answers in order, back-pressure, its own end."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import TYPE_CHECKING

from violetroute import resp
from violetroute.cluster import Dialect, Session
from violetroute.transport import Stream
from violetroute.transport.loop_lag import LATE_AFTER

from .answers import Answer
from .assembly import Assembly
from .budget import OVERHEAD
from .read_delay import ReadDelay

if TYPE_CHECKING:
    from .listener import Listener

READ_SIZE = 16 * 1024  # bytes read at once, into a buffer that all connections share
LINGER = 0.5  # s to let the client read and close first, or a reset would eat the answer

_shared = memoryview(bytearray(READ_SIZE))


class ClientConnection:
    """One client: takes commands as they come, gives the answers in their order."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._loop = listener.loop
        self.budget = listener.budget
        self._stream: Stream | None = None
        self._decoder = resp.Decoder()
        self._answers: deque[Answer] = deque()
        self._assembly = Assembly(self.budget)
        self._reading_paused = False
        self._pumping = self._flushing = False
        self._batch: list[bytes | bytearray] = []  # answers to be written in one go
        self._turn = self._taken = 0  # the loop's turn, and requests that it gave us
        self._session: Session | None = None  # of the cluster dialect
        self._read_delay = ReadDelay()
        self.last = False  # reads no more; answers what it has read and ends
        self.ending = False  # takes no further command and ends after what it owes
        self.lingers_since = 0.0
        self.state: dict[ClientConnection, None] | None = None  # where the listener has it
        self.since = 0.0  # of its present state: silent, in part, idle
        self.mistakes = 0  # in a row
        self._unsent, self._unsent_since = 0, 0.0
        self._written = 0  # bytes that the kernel has not yet taken, in the budget

    # --- stream ---
    def joined(self, stream: Stream) -> None:
        self._stream = stream
        turns, now = self._listener.turns, self._loop.time()
        self._read_delay.accepted(turns.count, now - max(turns.paused_for, turns.readable_for(now)))
        self._listener.joined(self)

    def opened(self) -> None:
        """Only told of connections that we ask for."""

    def buffer(self) -> memoryview:
        return _shared

    def received(self, count: int) -> None:
        if self.ending:
            return  # what crosses our close goes unread, but their close must be seen
        turns = self._listener.turns
        self._read_delay.reads(turns.count, self._loop.time(), turns.paused_for)
        self._decoder.feed(_shared[:count])
        self._pump()
        if self._read_delay.marked and self._stream is not None:
            self._read_delay.has_read(
                count, self._loop.time(), count < READ_SIZE, self._stream.receive_buffer()
            )

    def ended(self) -> None:
        """A client that closes has gone away; what was written to it may still reach it."""
        self._release_all()
        if self._stream is not None:
            self._stream.close()

    def lost(self, error: OSError | None) -> None:
        self._stream = None
        self._release_written()
        self._release_all()
        self._listener.left(self)

    def drained(self) -> None:
        self._release_written()
        if self.lingers_since:
            self.lingers_since = self._loop.time()  # only now can the client have seen the end
        self.flush()

    def left(self) -> bool:
        """Whether the client has gone, asked of the kernel: also where its end stands unread."""
        return self._stream is None or self._stream.closing or self._stream.peer_ended()

    def _release_written(self) -> None:
        written, self._written = self._written, 0
        self.budget.release(written)

    def _release_all(self) -> None:
        """Nobody waits any more: everything that it held is given back."""
        self.ending = True
        self._listener.reads(self, True)
        self._assembly.drop(self)
        answers, self._answers = self._answers, deque()
        for answer in answers:
            answer.drop()
            if not answer.done:
                self._listener.taker.gone(answer)
            answer.request = None

    # --- commands ---
    def _pump(self) -> None:
        if self._pumping:
            return  # an answer given at once has led back here
        if self._decoder.idle:  # an answer has been written and nothing else was asked
            self.settle()
            return
        self._pumping = True
        try:
            while not self.ending and not self._assembly.awaited:
                if not self._assembly.missing:
                    if self._crowded:
                        break
                    args = self._decoder.command()
                    if args is not None:
                        self._command(args, args.pop())
                        if self._decoder.idle:
                            break
                        continue
                token = self._decoder.next()
                if token is None:
                    break
                whole = self._assembly.take(token, self, self._granted)
                if whole is not None:
                    self._command(whole)
        except resp.ProtocolError as error:
            self._put_answer().finish(b"-ERR %b\r\n" % str(error).encode())
            self.end_after_answers()
        finally:
            self._pumping = False
            batch, self._batch = self._batch, []
            if batch:
                self._put(*batch)
        self.settle()

    @property
    def _crowded(self) -> bool:
        return len(self._answers) >= self._listener.limits.depth or self.budget.full

    def _granted(self) -> None:
        self._assembly.grant()
        self.since = self._loop.time()  # it was we who made it wait
        self._loop.call_soon(self._pump)

    def _command(self, args: list[bytes | bytearray] | list[bytes], head: bytes = b"") -> None:
        dialect = self._listener.dialect
        if dialect is not None:
            if self._said(dialect, args):
                return
        elif len(args) == 1 and bytes(args[0]).upper() == b"PING":
            self._owe().finish(b"+PONG\r\n")
            return
        taker, answer = self._listener.taker, None
        waited = self._read_delay.waited(self._loop.time())
        if waited > LATE_AFTER and self.left():
            self.ended()  # found by exploration: read in the second turn after a pause
            return
        try:
            command = resp.parse_command(args, head)
            if dialect is not None and (moved := dialect.moved(command.key)) is not None:
                self._owe().finish(moved)
                return
            refusal = taker.turned_away(command, self._taken_now(), waited)
            if refusal is not None:  # in an overload of our own, so it must cost next to nothing
                self._refuse(refusal)
                return
            answer = self._owe()
            taker.take(command, answer)
        except resp.CommandError as error:
            # Well framed, so an honest mistake is answered and no more.  Who makes nothing
            # but mistakes is shut out: else a flood of them costs as much as its sender likes.
            text = b"-ERR %b\r\n" % str(error).encode()
            (answer if answer is not None else self._owe()).finish(text)
            self.mistakes += 1
            if self.mistakes >= self._listener.limits.mistakes:
                self.end_after_answers()
        else:
            self._taken += 1
            self.mistakes = 0

    def _said(self, dialect: Dialect, args: Sequence[bytes | bytearray]) -> bool:
        """Whether it was about the connection or the cluster, and is answered."""
        if self._session is None:
            self._session = dialect.session()
        said = dialect.answer(self._session, args)
        if said is None:
            return False
        self._owe().finish(said)
        if self._session.ends:
            self.end_after_answers()
        return True

    def _taken_now(self) -> int:
        """Requests that this connection was given in this turn of the loop."""
        turn = self._listener.turns.count
        if turn != self._turn:
            self._turn, self._taken = turn, 0
        return self._taken

    def _refuse(self, refusal: bytes) -> None:
        # To who does not read it waits in its turn: only so do depth and the budget bound it.
        if self._answers or self._assembly.holds or self._stream is None or self._stream.unsent:
            self._owe().finish(refusal)
        else:
            self._put(refusal)

    def _owe(self) -> Answer:
        """The place of an answer, with what its command holds of the budget."""
        answer = self._put_answer()
        answer.charge += self._assembly.hand_over()
        return answer

    def _put_answer(self) -> Answer:
        answer = Answer(self)
        answer.charge = OVERHEAD
        self.budget.hold(OVERHEAD)
        self._answers.append(answer)
        return answer

    def settle(self) -> None:
        """Read or not, and tell the listener in which state this connection is."""
        stream = self._stream
        if stream is None or stream.closing or self.lingers_since or self._pumping:
            return
        held_up = self._assembly.awaited > 0 or (not self._assembly.missing and self._crowded)
        # What is sent on a connection that is about to end goes unread: its sender asks again.
        pause = held_up or self._decoder.unread > READ_SIZE or self.ending or self.last
        if pause != self._reading_paused:
            self._reading_paused = pause
            if pause:
                self._read_delay.stops_reading(self._loop.time())
            (stream.pause if pause else stream.resume)()
            self._listener.reads(self, not pause)
        if self._answers:
            self._listener.serving(self)
        elif self.ending or (self.last and not held_up):
            self.end()
        elif self._assembly.missing or not self._decoder.idle:
            self._listener.in_part(self)
        else:
            self._listener.idle(self)

    # --- answers ---
    def write_now(self, answer: Answer, parts: tuple[bytes | bytearray, ...]) -> bool:
        """The usual case: its turn has come and the client takes what is written."""
        stream = self._stream
        if (
            stream is None
            or stream.unsent
            or self._flushing
            or stream.closing
            or not self._answers
            or self._answers[0] is not answer
        ):
            return False
        self._answers.popleft()
        self._put(*parts)
        if self._answers:
            self.flush()  # what had come before its turn
        if not self._pumping:
            self._pump()
        return True

    def _put(self, *parts: bytes | bytearray) -> None:
        """Write, or keep for the one write of all that is answered while commands are read."""
        if self._pumping:
            self._batch.extend(parts)
            return
        stream = self._stream
        if stream is None or stream.closing:
            return
        if not (stream.write(parts[0]) if len(parts) == 1 else stream.write_all(parts)):
            self.budget.hold(stream.unsent - self._written)
            self._written = stream.unsent

    def flush(self) -> None:
        """Write what has come, in order, as far as the client takes it."""
        stream = self._stream
        if stream is None or self._flushing:
            return
        self._flushing = True
        moved = False
        while self._answers and not stream.unsent and not stream.closing:
            if not self._answers[0].done:
                break
            data = self._answers.popleft().take_held()
            self.budget.release(len(data))
            self._put(data)
            moved = True
        self._flushing = False
        if moved and not self._pumping:
            self._pump()

    def end_after_answers(self) -> None:
        """What follows in what it sends is nothing, or cannot be told apart any more."""
        self.ending = True
        self.settle()

    def last_call(self) -> None:
        """Read no more; answer whatever has been read whole, and end."""
        self.last = True
        self._pump()

    def end(self) -> None:
        """Close between requests; the client's own close, or some time, makes it final.

        Closing outright with unread input would reset the connection, and the answer
        that was just written could be lost with it.
        """
        stream = self._stream
        if stream is None or stream.closing or self.lingers_since:
            return
        self.ending = True
        self.lingers_since = self._loop.time()
        self._listener.lingering(self)
        stream.end()
        if self._reading_paused:  # after the shutdown: what is read from here on was never taken
            self._reading_paused = False
            stream.resume()
            self._listener.reads(self, True)

    def asked_meanwhile(self) -> bool:
        """Whether something of the client's stands unread, for which this loop had no time yet.

        Guards against closing on a request.  By our own clock a connection is idle until its
        bytes are read, and in an overload that is many milliseconds after they came: those were
        ended as idle in the turn that would have read them, and so was the next connection on
        which the client asked again.  Should also catch what comes while the process stands
        still.  Harm: one system call more for each close.
        """
        stream = self._stream
        return (
            stream is not None
            and not stream.closing
            and not self.lingers_since
            and not stream.no_pending_input()
        )

    def give_way(self) -> bool:
        """Free the slot now, but never by throwing away what the client has yet to take."""
        stream = self._stream
        if stream is None or stream.closing:
            return False
        if not self.lingers_since and stream.unsent:
            self.end()
            return False
        stream.abort()
        return True

    def abort(self) -> None:
        if self._stream is not None:
            self._stream.abort()

    def look(self, now: float) -> None:
        """Called now and then: end what waits for nothing that will come."""
        stream = self._stream
        if stream is None:
            return
        unsent = stream.unsent
        if unsent != self._unsent or not unsent:
            self._unsent, self._unsent_since = unsent, now
        elif now - self._unsent_since > self._listener.limits.reader_s:
            stream.abort()
            return
        if self.lingers_since:
            if now - self.lingers_since > LINGER and not unsent:
                stream.abort()
        elif self._reading_paused:
            self._pump()
        elif self._answers or self._assembly.awaited:
            pass  # it is we who make it wait
        elif self._assembly.missing or not self._decoder.idle:
            if now - self.since > self._listener.limits.command_s:
                self._put_answer().finish(b"-ERR half a command\r\n")
                self.end_after_answers()
        elif self._listener.overstays(self, now) and not self.asked_meanwhile():
            self.end()
