"""One client connection: framing, ordered answers, back-pressure and closing."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from violetroute import resp
from violetroute.transport import Stream

from .answer_queue import AnswerQueue
from .answers import Answer
from .assembly import MEMORY_WAIT
from .dispatch import CommandDispatcher
from .input import READ_SIZE, CommandReader, read_buffer
from .output import Output
from .read_ahead import read_ahead, read_rest
from .turn_share import SLICE_COMMANDS, CommandSlices, slice_time

if TYPE_CHECKING:
    from .listener import Listener

LINGER_TIME = 0.5  # s for the client to read and close first; a reset could lose the last answer


class ClientConnection:
    """The handler of a client stream: reads commands, writes the answers in the same order."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._loop = listener.loop
        self.budget = listener.budget
        self._stream: Stream | None = None
        self._input = CommandReader(self.budget)
        self._reading_paused = False
        self._paused_at = 0.0  # loop time at which reading was paused
        self.out_of_memory = False  # commands can only be refused: the budget has no room for them
        self._pumping = False
        self._reading_ahead = False
        self._slices = CommandSlices(listener.turn_share)
        self.output = Output(self.budget)
        self._answers = AnswerQueue(self.output, self.budget)
        self._dispatcher = CommandDispatcher(listener)
        self.draining = False  # ends once it is quiet, even behind a part of a command
        self.ending = False  # takes no further command; ends after the pending answers
        self.lingering_since = 0.0
        self.state: dict[ClientConnection, None] | None = None  # the listener's set that holds it
        self.since = 0.0  # loop time at which it entered its state

    # --- stream ---
    def accepted(self, stream: Stream) -> None:
        """The connection was accepted as `stream`; it may have waited in the backlog."""
        self._stream = stream
        self.output.attach(stream)
        self._input.accepted(self._listener.turns, self._loop.time())
        self._listener.connection_accepted(self)

    def opened(self) -> None:
        """Not called: only outgoing connections are opened."""

    def buffer(self) -> memoryview:
        return read_buffer

    def received(self, count: int) -> None:
        """Decode the bytes and run the commands that are complete."""
        if self.ending or self._stream is None:
            return  # input after this close is discarded; reading only detects the client's close
        now = self._loop.time()
        self._input.feed(count, self._listener.turns, now, self._stream)
        if self._reading_ahead:
            self._input.charge_ahead()
        elif now < self._slices.heavy_until:
            self._slices.wait(self, now)
            self.update_state()
        else:
            self._pump()
        self._input.end_read(count, self._loop.time)

    def ended(self) -> None:
        """The client closed its side, so it has left.  Written data may still reach it."""
        self._release_all()
        if self._stream is not None:
            self._stream.close()

    def lost(self, error: OSError | None) -> None:
        """The stream is closed: release everything and leave the listener."""
        self._stream = None
        self.output.taken()
        self.output.attach(None)
        self._release_all()
        self._listener.connection_lost(self)

    def drained(self) -> None:
        """Return the sent bytes to the budget; restart the linger time, or write more answers."""
        self.output.taken()
        if self.lingering_since:
            self.lingering_since = self._loop.time()  # the client can see the close only now
        self.flush()

    @property
    def received_at(self) -> float:
        """Loop time of the last read."""
        return self._input.received_at

    def client_left(self) -> bool:
        """Whether the client has closed, checked in the kernel, even behind unread input."""
        return self._stream is None or self._stream.closing or self._stream.peer_ended()

    def client_may_have_left(self) -> bool:
        """Whether the client has closed, or may have closed without this process seeing it."""
        if self._input.presence.certain:
            return False
        stream = self._stream
        return stream is None or self._input.client_may_have_left(stream, self._loop.time())

    def _release_all(self) -> None:
        """The client has left: drop its answers and return all their budget bytes."""
        self.ending = True
        self._slices.end(self)
        self._listener.set_reading(self, True)
        self._input.drop()
        for answer in self._answers.clear():
            answer.drop()
            if not answer.done:
                self._listener.handler.client_gone(answer)
            answer.request = None

    # --- commands ---
    def _pump(self) -> None:
        if self._pumping or self._slices.waiting:
            return  # called again by an answer that was given at once, or later by `run_slice`
        if self._input.idle:  # an answer was written and no input is left
            self.update_state()
            return
        self._pumping = True
        self.output.begin_batch()
        try:
            self._run_commands()
        except resp.ProtocolError as error:
            self._answers.new(self).finish(b"-ERR %b\r\n" % str(error).encode())
            self.end_after_answers()
        finally:
            self._pumping = False
            self.output.end_batch()
            if self._reading_paused or self._input.ahead:
                self._input.charge_ahead()
        self.update_state()

    def _run_commands(self) -> None:
        """Run the commands that were read, for a slice of the turn.  Raises ProtocolError."""
        now = self._loop.time()
        ends_at = 0.0  # known once a second command follows
        for _ in range(SLICE_COMMANDS):
            if self.ending or (not self._input.assembling and self._at_capacity):
                return
            if self._stream is not None and self._input.awaits_client(self._stream, now):
                self._slices.hold(self, now)  # `run_slice` reads on, up to its close if any
                return
            command = self._input.next_command(self._budget_granted)
            if command is None:
                return
            self._dispatcher.run(self, *command, self._input.delay(now))
            if self._input.idle:
                return
            ends_at = ends_at or now + slice_time(self._listener.turns.elapsed(now))
            now = self._loop.time()
            if now >= ends_at:
                break
        if not self.ending:
            self._slices.wait(self, now)

    def run_slice(self) -> None:
        """Read ahead and run further commands, unless the client has left meanwhile."""
        self._slices.waiting = False
        if self._stream is not None and self._reading_paused:
            self._reading_ahead = True
            read_ahead(self._stream, self._input)
            self._reading_ahead = False
            self._input.pause(self._loop.time())
        if self.client_left():
            self.ended()
        else:
            self._pump()
            if self._overdue(self._loop.time()):
                self._refuse_partial_command()

    @property
    def _at_capacity(self) -> bool:
        """Whether no further command may be started."""
        if len(self._answers) >= self._listener.limits.depth:
            return True
        if self.out_of_memory or not self.budget.full:
            return False
        return not self.budget.make_room(self._loop.time())

    def _budget_granted(self) -> None:
        self._input.grant(self._loop.time())
        self._loop.call_soon(self._pump)

    def check_memory_wait(self, now: float) -> None:
        """Refuse what has waited for memory for too long; called while the input is not read."""
        if self._input.awaits_memory:
            if self._input.end_memory_wait(now):
                self._pump()
            return
        if self.ending or len(self._answers) >= self._listener.limits.depth:
            return  # it waits for open commands, whose time is limited
        if self.budget.full and now - self._paused_at >= MEMORY_WAIT:
            unsent = self._stream is not None and self._stream.unsent > 0
            self.out_of_memory = not (self._answers or unsent or self.budget.make_room(now, 0.0))
        try:
            self._pump()
        finally:
            self.out_of_memory = False

    def reject(self, rejection: bytes) -> None:
        """Answer the current command with an error line."""
        # Queued if the client does not read: only so do depth and the budget bound rejections.
        if self._answers or self._input.charged or self._stream is None or self._stream.unsent:
            self.new_charged_answer().finish(rejection)
        else:
            self.output.write(rejection)

    def new_charged_answer(self) -> Answer:
        """Append an answer that takes over the budget bytes of the current command."""
        answer = self._answers.new(self)
        answer.charge += self._input.transfer_charge()
        return answer

    def update_state(self) -> None:
        """Pause or resume reading, and update the state that the listener keeps."""
        stream = self._stream
        if stream is None or stream.closing or self.lingering_since or self._pumping:
            return
        # Input on a connection that is about to end stays unread: its client retries.
        pause = self.ending or self._slices.waiting or self._blocked
        if pause != self._reading_paused:
            self._reading_paused = pause
            if pause:
                self._paused_at = self._loop.time()
                self._input.pause(self._paused_at)
            (stream.pause if pause else stream.resume)()
            self._listener.set_reading(self, not pause)
        if self._answers or self._slices.waiting:
            self._listener.mark_serving(self)
        elif self.ending:
            self.end()
        elif not self._input.idle:
            self._listener.mark_partial(self)
            if self.draining:
                self.end_if_quiet()
        else:
            self._listener.mark_idle(self)

    @property
    def _blocked(self) -> bool:
        """Whether input that was read has to wait.  Without any, the next command is read."""
        if self._input.idle:
            return len(self._answers) >= self._listener.limits.depth
        if self._input.awaits_memory or self._input.undecoded > READ_SIZE:
            return True
        return not self._input.assembling and self._at_capacity

    # --- answers ---
    def write_now(self, answer: Answer, parts: tuple[bytes | bytearray, ...]) -> bool:
        """Write the next answer at once; False if it has to be queued."""
        if not self._answers.write_first(answer, parts):
            return False
        if self._answers:
            self.flush()  # later answers that were already finished
        if not self._pumping:
            self._pump()
        return True

    def flush(self) -> None:
        """Write the finished answers in order, until the kernel stops taking data."""
        if self._answers.flush() and not self._pumping:
            self._pump()

    def end_after_answers(self) -> None:
        """Take no further command, as after QUIT or broken framing; end after the answers."""
        self.ending = True
        self.update_state()

    @property
    def pending_answers(self) -> int:
        """The number of commands without a written answer."""
        return len(self._answers)

    def drain(self) -> None:
        """End as soon as the connection is quiet, even if a part of a command was received."""
        self.draining = True
        self._pump()

    def end_if_quiet(self) -> None:
        """In a drain: end if no command is open, unread, or on its way behind a closed window."""
        if self._answers or self._reading_paused or self._stream is None:
            return
        if not (self._input.idle or self.draining):
            return  # while accepting goes on, the rest of a command is waited for
        if not self.has_unread_input():
            self.end()
        elif (left := self._input.expected_until - self._loop.time()) > 0.0:
            self._loop.call_later(left, self.end_if_quiet)

    def end(self) -> None:
        """Half-close between requests; the client's close or LINGER_TIME completes it.

        A full close with unread input would reset the connection and could lose the last answer.
        """
        stream = self._stream
        if stream is None or stream.closing or self.lingering_since:
            return
        self.ending = True
        self.lingering_since = self._loop.time()
        self._listener.mark_lingering(self)
        stream.end()
        if self._reading_paused:  # after the half-close: input from now on is discarded
            self._reading_paused = False
            stream.resume()
            self._listener.set_reading(self, True)

    def has_unread_input(self) -> bool:
        """Whether input of the client is unread in this kernel, or may be on its way.

        Input may be read long after it arrived, in an overload or after a pause of the process.
        After reads that may have reopened a closed TCP window, the rest arrives a round trip later.
        """
        stream = self._stream
        if stream is None or stream.closing or self.lingering_since:
            return False
        return not stream.no_pending_input() or self._loop.time() < self._input.expected_until

    def try_evict(self) -> bool:
        """Free the slot; False if the client still has to take written data."""
        stream = self._stream
        if stream is None or stream.closing:
            return False
        if not self.lingering_since and stream.unsent:
            self.end()
            return False
        self.evict()
        return True

    def evict(self) -> None:
        """Close at once, discarding unsent answers, and free the slot."""
        self.abort()
        self._listener.connection_evicted(self)

    def abort(self) -> None:
        """Close at once, discarding unsent answers."""
        if self._stream is not None:
            self._stream.abort()

    def read_rest(self) -> None:
        """Read the rest of an incomplete command: it is taken once the kernel has all of it."""
        if self._stream is not None:
            read_rest(self._stream, self._input)

    def _command_expired(self, now: float) -> bool:
        """Whether the incomplete command takes too long, and its rest has not arrived."""
        if self.ending or not self._input.expired(now, self._listener.limits.command_s):
            return False
        if self._input.awaits_memory:
            self.check_memory_wait(math.inf)  # refused if the rest is in the kernel
        self.read_rest()
        return self._overdue(now)

    def _overdue(self, now: float) -> bool:
        """Whether the command is incomplete for too long, judged by the input that was read."""
        if self.ending or self._input.awaits_memory or self._slices.waiting:
            return False  # input that waits may complete it; `run_slice` and the next sweep check
        limit = self._listener.limits.command_s + self._input.reopen_delay(self._loop.time())
        return self._input.expired(now, limit)

    def _refuse_partial_command(self) -> None:
        self._input.drop()
        self._answers.new(self).finish(b"-ERR half a command\r\n")
        self.end_after_answers()

    def check_timeouts(self, now: float) -> None:
        """End the connection if a time limit has passed; called every SWEEP_INTERVAL."""
        stream = self._stream
        if stream is None:
            return
        if self.output.stalled_for(now) > self._listener.reader_timeout:
            stream.abort()
        elif self.lingering_since:
            if now - self.lingering_since > LINGER_TIME and not stream.unsent:
                stream.abort()
        elif self._command_expired(now):
            self._refuse_partial_command()
        elif self._reading_paused:
            self._pump()
        elif self._answers or not self._input.idle:
            pass  # other time limits apply
        elif self._listener.idle_expired(self, now) and not self.has_unread_input():
            self.end()
