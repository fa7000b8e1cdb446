"""One connection to a cache node, with at most one attempt on it.

Answers come in order and giving an attempt up means closing its connection, so sharing
one would make a slow answer, or the end of a late one, everybody's trouble.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from snowstall import Result
from violetroute import resp
from violetroute.cluster.redirects import ASKING, NOT_RUN, parse_redirect
from violetroute.transport import Stream

from .attempt import Attempt

if TYPE_CHECKING:
    from .pool import Node, Pool

READ_SIZE = 72 * 1024  # bytes read at once, into a buffer that all share: the longest reply

KERNEL_LATE = 0.5  # s by which the kernel's clock may be late in calling a command off

ERRORS = {b"BUSY": Result.FULL, b"ERR": Result.ERROR}
CACHE_STATES = {b"hit": True, b"miss": False, b"pending": False}

_shared = memoryview(bytearray(READ_SIZE))


class NodeConnection:
    """One connection to a cache node, with at most one attempt on it."""

    def __init__(self, pool: Pool, node: Node, wanted_by: Attempt | None) -> None:
        self._pool, self.node = pool, node
        self.wanted_by = wanted_by  # the attempt for which it was opened
        self.attempt: Attempt | None = None
        self.stream: Stream | None = None  # from the connect on, until it is lost
        self.up = False
        self.idle_since = 0.0
        self.answered_at = -math.inf  # a new one can have nothing behind an answer
        self.idle_for = 0.0  # before the attempt at hand
        self.used = False  # has given an answer
        self.retired = False  # its node left the list or moved: no further attempt
        self._asking = False  # the answer to ASKING is still to come
        self._decoder = resp.Decoder()
        self._reply = resp.Reply()
        self._patience: asyncio.TimerHandle | None = None  # with an answer that has begun

    # --- stream ---
    def opened(self) -> None:
        self.up = True
        self._pool.opened(self)

    def buffer(self) -> memoryview:
        return _shared

    def received(self, count: int) -> None:
        if self.attempt is None:  # speaks unasked: what comes next could be anyone's
            self._pool.unsolicited_data(self)
            self.close()
            return
        if self.used:
            self.used = False  # until the answer is whole
            self._pool.reused(self, broken=False)
        self._decoder.feed(_shared[:count])
        try:
            self._read()
        except resp.ProtocolError:
            self._spoilt()
        # What answers ASKING is no beginning of the answer: that may take its time.
        begun = not (self._asking or (self._reply.untouched and self._decoder.idle))
        if self.attempt is not None and self._patience is None and begun:
            self._patience = self._pool.loop.call_later(self._pool.limits.reply_s, self._spoilt)

    def ended(self) -> None:
        """Nothing more will come; what is left of a command must not go there either."""
        self._end()

    def lost(self, error: OSError | None) -> None:
        self._end()
        self._pool.closed(self)

    def drained(self) -> None:
        pass

    def _end(self) -> None:
        if self.attempt is not None:
            self._break(Result.RESET if self.fully_sent else Result.NO_CONNECTION)
        self.close()

    # --- one attempt ---
    def run(self, attempt: Attempt) -> None:
        self.attempt, attempt.connection = attempt, self
        self.idle_for = self._pool.loop.time() - self.idle_since
        self._reply, self._asking = resp.Reply(), attempt.asking
        now = self._pool.sink.clock()
        parts = attempt.command.encode(attempt.wait_until - now)
        assert self.stream is not None
        # Found by exploration: a path was cut as the process stood, and healed before it went on;
        # a keyed command arrived long after its repeat had run. No timer of ours runs then.
        left = (attempt.deliver_by - now) / 1000.0
        self.stream.deliver_within(
            max(left / 2.0, left - KERNEL_LATE, 0.001) if attempt.deliver_by else 0.0
        )
        if attempt.asking:
            parts.insert(0, ASKING)
        if len(parts) == 1:
            self.stream.write(parts[0])
        else:
            self.stream.write_all(parts)

    @property
    def fully_sent(self) -> bool:
        """The kernel has taken the last byte: from here on the command may run."""
        return self.stream is not None and not self.stream.unsent

    def _read(self) -> None:
        if self._asking:  # its own answer comes first
            token = self._decoder.next()
            if token is None:
                return
            if not isinstance(token, resp.Line) or token.kind != "+":
                raise resp.ProtocolError("ASKING is not answered with a simple string")
            self._asking = False
        if self._reply.untouched and (served := self._decoder.reply()) is not None:
            self._reply.served(*served)
            self._complete()
            return
        while self.attempt is not None and (token := self._decoder.next()) is not None:
            self._reply.take(token)
            if self._reply.whole:
                self._complete()

    def _spoilt(self) -> None:
        """What came is no answer, or does not come to its end.

        Guards against noise, lines and lengths that are wrong, values over the bound and
        answers that stop half way; also against a node that hangs while it answers.  The
        request has run and only this connection is of no use: told as a reset, it would
        count against the node, though such answers can come from any alike.  A value that
        was whole before the trouble began is as good as ever.  Harm: on a network that
        stalls for longer than `reply_s` within one answer good ones are thrown away.
        """
        if self.attempt is None:
            return
        if self.fully_sent and self._reply.valued:
            self._complete(clean=False)
        else:
            self._break(Result.SPOILT)

    def _complete(self, clean: bool = True) -> None:
        attempt, reply = self.attempt, self._reply
        assert attempt is not None
        behind = not self._decoder.idle
        clean = clean and self.fully_sent and not behind
        self._leave()
        self.used = True
        if clean:
            self._pool.release(self)
        else:  # bytes behind an answer, or an answer ahead of its command
            self.close()
        if reply.line is None:
            how, load = (*reply.extras, None, None)[:2]
            self._pool.sink.attempt_ended(
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
                self._pool.sink.attempt_ended(
                    attempt, Result.ASKED if redirect.asks else Result.MOVED, redirect=redirect
                )
                return
            if word in NOT_RUN:
                word = b"BUSY"
        result = ERRORS.get(word, Result.SPOILT)  # another word may be anything
        if result is Result.FULL and behind:
            # Half a line that crossed our command, with the real answer behind it, reads like this;
            # taken for a refusal it proves that nothing has run.  Harm: a refusal sent twice, of
            # what may not be repeated, is told as failed.
            result = Result.SPOILT
        report = resp.parse_report(rest.rpartition(b" ")[2]) if b"=" in rest else None
        self._pool.sink.attempt_ended(attempt, result, report=report)

    def _leave(self) -> None:
        assert self.attempt is not None
        self.attempt.connection = None
        self.attempt = None
        if self._patience is not None:
            self._patience.cancel()
            self._patience = None

    def _break(self, result: Result) -> None:
        """The attempt ends with its connection."""
        attempt = self.attempt
        assert attempt is not None
        if self.used and result is not Result.SPOILT:
            self._pool.reused(self, broken=True)
        self._leave()
        self.close(discard=True)
        self._pool.sink.attempt_ended(attempt, result)

    def give_up(self) -> None:
        """Called off or out of time: late bytes must never reach another attempt."""
        self._leave()
        self.close(discard=True)

    def end_unsent(self) -> None:
        """Its node drains: a command that is not yet whole there must not become so."""
        if not self.fully_sent:
            self._break(Result.NO_CONNECTION)

    def no_pending_input(self) -> bool:
        """Nothing stands unread behind the last answer.

        Guards against a second copy, noise or the node's close that has come but was not
        yet read: the next request's answer would be taken from it.  Asked of the kernel,
        since the loop tells of it only in its next turn.
        """
        return self.stream is not None and self.stream.no_pending_input()

    def close(self, discard: bool = False) -> None:
        """`discard` with a command on its way, which must not arrive any more.

        Guards against a path that is cut and heals: the kernel would deliver the command
        seconds later, a keyed one outside its window and to a node that drains by now.  Harm:
        the node sees a reset where it would have seen an end.
        """
        # Not the stream's close(): that would go on writing what is left of a command.
        if self.stream is not None:
            self.stream.abort(discard)
