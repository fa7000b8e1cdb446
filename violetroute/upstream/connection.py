"""A connection to a cache node, which carries at most one attempt at a time.

A node answers the commands of a connection in order, and an attempt is given up by closing its
connection.  On a shared connection, one slow or abandoned attempt would delay or fail the others.
"""

from __future__ import annotations

import asyncio
import math
from enum import Enum
from typing import TYPE_CHECKING

from snowstall import Result
from violetroute import resp
from violetroute.cluster.redirects import ASKING, NOT_RUN, parse_redirect
from violetroute.transport import Stream

from .answer_times import MAX_COPY_DELAY
from .attempt import Attempt
from .reply_memory import UNCHARGED_REPLY

if TYPE_CHECKING:
    from .pool import Node, Pool

READ_SIZE = 72 * 1024  # bytes; fits the longest reply; all connections share the buffer

KERNEL_TIMEOUT_LAG = 0.5  # s by which the kernel may exceed TCP_USER_TIMEOUT

ERROR_RESULTS = {b"BUSY": Result.FULL, b"ERR": Result.ERROR}
CACHE_STATES = {b"hit": True, b"miss": False, b"pending": False}


class Malformation(Enum):
    """Why an answer of a node is not used; the value is the reason in the log."""

    FRAMING = "framing"  # a length, a line or a type that does not fit
    STALLED = "stalled"  # it did not end in time
    UNKNOWN_ERROR = "unknown_error"  # an error line that does not say whether the command ran
    AMBIGUOUS_LENGTH = "ambiguous_length"  # its value may go on behind its apparent end
    EARLY = "early"  # it came before the node can have made it for this command


_shared = memoryview(bytearray(READ_SIZE))
_short = _shared[:UNCHARGED_REPLY]  # for the start of a reply while no memory is left


class NodeConnection:
    """A connection to a cache node: the handler of its stream, and the owner of its attempt."""

    def __init__(self, pool: Pool, node: Node, opened_for: Attempt | None) -> None:
        self._pool, self.node = pool, node
        self.opened_for = opened_for  # the attempt for which it was opened
        self.attempt: Attempt | None = None
        self.stream: Stream | None = None  # set from connect until the connection is lost
        self.up = False
        self.idle_since = 0.0
        # Loop time of the last answer; -inf: stray data can't follow an answer on a new connection.
        self.answered_at = -math.inf
        self.idle_for = 0.0  # s without use before the current attempt
        self._sent_at = 0.0  # loop time at which the current attempt began
        self._fingerprint = 0  # of the last value
        self.used = False  # whether it has answered and the next answer has not begun
        self.retired = False  # set once its node was removed: it gets no further attempt
        self._asking = False  # whether the reply to ASKING is outstanding
        self._decoder = resp.Decoder()
        self._reply = resp.Reply()
        self._reply_timer: asyncio.TimerHandle | None = None  # bounds a reply that has begun
        self._charge = 0  # bytes of the pool's reply memory that the reply holds
        self._awaits_memory = False  # not read: the reply waits for the pool's reply memory

    # --- stream ---
    def opened(self) -> None:
        """Mark the connection usable and offer it to the pool."""
        self.up = True
        self._pool.opened(self)

    def buffer(self) -> memoryview:
        return _short if self._pool.reply_memory.full and not self._charge else _shared

    def received(self, count: int) -> None:
        """Parse `count` bytes of the buffer as the reply of the current attempt."""
        if self.attempt is None:  # unsolicited data could pass for the next answer
            self._pool.unsolicited_data(self)
            self.close()
            return
        if self.used:
            self.used = False  # set again when this answer is complete
            self._pool.record_reuse(self, broken=False)
        self._decoder.feed(_shared[:count])
        try:
            self._read()
        except resp.ProtocolError:
            self._fail_malformed(Malformation.FRAMING)
        # The reply to ASKING does not start the timer: the real answer has not begun.
        begun = not (self._asking or (self._reply.is_empty and self._decoder.idle))
        if self.attempt is not None and begun:
            if self._reply.length > UNCHARGED_REPLY and not self._charge:
                self._charge_reply()
            if self._reply_timer is None and not self._awaits_memory:
                self._start_reply_timer()

    def _start_reply_timer(self) -> None:
        self._reply_timer = self._pool.loop.call_later(
            self._pool.limits.reply_s, self._fail_malformed, Malformation.STALLED
        )

    def _charge_reply(self) -> None:
        """Charge the long reply that has begun, or stop reading until there is memory for it."""
        memory = self._pool.reply_memory
        if not memory.full:
            self._charge = self._reply.length
            memory.charge(self._charge)
            return
        assert self.stream is not None
        self._awaits_memory = True
        self._stop_reply_timer()  # it is this process that keeps the node waiting
        self.stream.pause()
        self._pool.held_replies.count("memory")
        memory.wait(self, self._reply.length)

    def memory_granted(self) -> None:
        """Receive the rest of the reply, for which the memory was charged."""
        self._awaits_memory = False
        self._charge = self._reply.length
        self._start_reply_timer()
        if self.stream is not None:
            self.stream.resume()

    def _release_memory(self) -> None:
        if self._awaits_memory:
            self._awaits_memory = False
            self._pool.reply_memory.forget(self)
        charge, self._charge = self._charge, 0
        if charge:
            self._pool.reply_memory.release(charge)

    def ended(self) -> None:
        """Close at the peer's end of data, so that the rest of a command is not sent either."""
        self._end()

    def lost(self, error: OSError | None) -> None:
        """End the attempt, if any, and leave the pool."""
        self._end()
        self._pool.closed(self)

    def drained(self) -> None:
        pass

    def _end(self) -> None:
        if self.attempt is not None:
            self._fail_attempt(Result.RESET if self.fully_sent else Result.NO_CONNECTION)
        self.close()

    # --- one attempt ---
    def run(self, attempt: Attempt) -> None:
        """Send the attempt's command on this idle connection."""
        self.attempt, attempt.connection = attempt, self
        self._sent_at = self._pool.loop.time()
        self.idle_for = self._sent_at - self.idle_since
        self._asking = attempt.asking
        now = self._pool.owner.clock()
        parts = attempt.command.encode(attempt.wait_until - now)
        assert self.stream is not None
        # Found by exploring event orders: the network path failed while the process was paused, and
        # recovered before it resumed.  A keyed command then arrived long after its repeat had run.
        # No timer of this process runs during a pause, so the kernel bounds the delivery too.
        left = (attempt.deliver_by - now) / 1000.0
        self.stream.deliver_within(
            max(left / 2.0, left - KERNEL_TIMEOUT_LAG, 0.001) if attempt.deliver_by else 0.0
        )
        if attempt.asking:
            parts.insert(0, ASKING)
        if len(parts) == 1:
            self.stream.write(parts[0])
        else:
            self.stream.write_all(parts)

    @property
    def fully_sent(self) -> bool:
        """Whether the kernel has taken the last byte of the command, so that it may run."""
        return self.stream is not None and not self.stream.unsent

    def _read(self) -> None:
        if self._asking:  # ASKING is answered before the command
            token = self._decoder.next()
            if token is None:
                return
            if not isinstance(token, resp.Line) or token.kind != "+":
                raise resp.ProtocolError("ASKING is not answered with a simple string")
            self._asking = False
        if self._reply.is_empty and (served := self._decoder.reply()) is not None:
            self._reply.set_served(*served)
            self._complete()
            return
        while self.attempt is not None and (token := self._decoder.next()) is not None:
            self._reply.take(token)
            if self._reply.complete:
                self._complete()

    def _fail_malformed(self, reason: Malformation) -> None:
        """End the attempt whose reply is malformed or stops before its end.

        This covers noise, invalid lines and lengths, values over the size limit, partial replies
        and a node that hangs during its reply.  The request has run.  The result is not RESET,
        which would count against the node, since any node can send such replies.  A value before
        the error is not used: the length that framed it may be the one that is wrong.  Drawback:
        on a network that stalls for longer than `reply_s` within one reply, good replies are
        discarded.
        """
        if self.attempt is not None:
            self._pool.malformed_replies.count(reason.value)
            self._fail_attempt(Result.MALFORMED)

    def _foreign_value(self) -> Malformation | None:
        """Why the complete reply may not be the one made for this attempt; None if it is.

        The node's kernel acknowledges a command with the first byte of its reply, at the latest.
        So a value that comes before is a late copy of an earlier one.  Where a middlebox
        acknowledges the command, only the time tells.
        """
        assert self.stream is not None
        if not self.stream.delivered() or self._may_be_copy():
            return Malformation.EARLY
        if not self._decoder.idle and resp.may_continue_value(
            self._reply.extras, self._decoder.rest()
        ):
            return Malformation.AMBIGUOUS_LENGTH
        return None

    def _may_be_copy(self) -> bool:
        """Whether the complete reply has the bytes of the one shortly before, and came too soon."""
        now = self._pool.loop.time()
        seconds, times = now - self._sent_at, self.node.answer_times
        previous, self._fingerprint = self._fingerprint, self._reply.fingerprint()
        if self._fingerprint == previous and now - self.answered_at <= MAX_COPY_DELAY:
            return times.is_early(seconds, now)
        times.record(seconds, now)
        return False

    def _complete(self) -> None:
        attempt, reply = self.attempt, self._reply
        assert attempt is not None
        if reply.line is None and (reason := self._foreign_value()) is not None:
            self._pool.malformed_replies.count(reason.value)
            self._fail_attempt(Result.MALFORMED if self.fully_sent else Result.NO_CONNECTION)
            return
        extra_bytes = not self._decoder.idle
        clean = self.fully_sent and not extra_bytes
        self._detach_attempt()
        self.used = True
        if clean:
            self._pool.release(self)
        else:  # extra bytes after the answer, or an answer before the command was sent
            self.close()
        if reply.line is None:
            how, load = reply.extras
            self._pool.owner.attempt_ended(
                attempt,
                Result.OK,
                reply.value,
                CACHE_STATES.get(how) if how else None,
                resp.parse_report(load),
            )
            return
        word, _, rest = reply.line.text.partition(b" ")
        if self._pool.follows_redirects:
            redirect = parse_redirect(reply.line.text, self.node.address)
            if redirect is not None:
                self._pool.owner.attempt_ended(
                    attempt, Result.ASK if redirect.is_ask else Result.MOVED, redirect=redirect
                )
                return
            if word in NOT_RUN:
                word = b"BUSY"
        # After an unknown code, the command may have run.
        result = ERROR_RESULTS.get(word, Result.MALFORMED)
        if result is Result.FULL and extra_bytes:
            # A partial stray line received while the command was being sent, followed by the real
            # answer, looks like this.  A refusal would mean that the command has not run, so the
            # reply counts as malformed.  Drawback: an unsafe request whose refusal is sent twice is
            # reported as failed.
            result = Result.MALFORMED
        if result is Result.MALFORMED:
            self._pool.malformed_replies.count(Malformation.UNKNOWN_ERROR.value)
        report = resp.parse_report(rest.rpartition(b" ")[2]) if b"=" in rest else None
        self._pool.owner.attempt_ended(attempt, result, report=report)

    def _detach_attempt(self) -> None:
        assert self.attempt is not None
        self.attempt.connection = None
        self.attempt = None
        self._reply = resp.Reply()  # an idle connection holds no value
        self._stop_reply_timer()
        if self._charge or self._awaits_memory:
            self._release_memory()

    def _stop_reply_timer(self) -> None:
        if self._reply_timer is not None:
            self._reply_timer.cancel()
            self._reply_timer = None

    def _fail_attempt(self, result: Result) -> None:
        """Close the connection and report `result` for its attempt."""
        attempt = self.attempt
        assert attempt is not None
        if self.used and result is not Result.MALFORMED:
            self._pool.record_reuse(self, broken=True)
        self._detach_attempt()
        self.close(discard=True)
        self._pool.owner.attempt_ended(attempt, result)

    def give_up(self) -> None:
        """Close the connection of a cancelled or expired attempt.

        The connection is not reused: late bytes must never reach another attempt.
        """
        self._detach_attempt()
        self.close(discard=True)

    def abort_if_unsent(self) -> None:
        """Fail an attempt whose command is not fully sent, since its node was removed."""
        if not self.fully_sent:
            self._fail_attempt(Result.NO_CONNECTION)

    def no_pending_input(self) -> bool:
        """Whether no data and no close of the node are unread after the last answer.

        Unread data, such as noise or a second copy of the answer, would be taken for the next
        request's answer.  The check asks the kernel, since the event loop reports the data only
        in its next iteration.
        """
        return self.stream is not None and self.stream.no_pending_input()

    def close(self, discard: bool = False) -> None:
        """Close the connection; with `discard`, a command in flight must not arrive any more.

        Without `discard`, the kernel would deliver the command seconds later, once a failed path
        recovers: a keyed command outside its repeat window, or to a node that drains by then.
        Drawback: the node sees a reset instead of an end of data.
        """
        # Stream.close() would go on writing the rest of the command.
        if self.stream is not None:
            self.stream.abort(discard)
