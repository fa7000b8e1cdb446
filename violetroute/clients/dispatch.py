"""Runs the commands of a client connection: answers them here, rejects them, or hands them on."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

from violetroute import resp
from violetroute.cluster import Dialect, Session
from violetroute.config.operator import Limits
from violetroute.transport.loop_lag import LATE_AFTER, Turns

from .answers import Answer, LocalRefusal, RequestHandler
from .drain import DrainSchedule


class CommandSource(Protocol):
    """The connection that a command came from."""

    out_of_memory: bool  # commands can only be refused, since the budget has no room for them

    def new_charged_answer(self) -> Answer:
        """Append an answer that takes over the budget bytes of the current command."""

    def reject(self, rejection: bytes) -> None:
        """Answer the current command with an error line."""

    def end_after_answers(self) -> None:
        """Take no further command, and end after the answers."""

    def client_left(self) -> bool:
        """Whether the client has closed, checked in the kernel."""

    def client_may_have_left(self) -> bool:
        """Whether the client has closed, or may have closed without this process seeing it."""

    def ended(self) -> None:
        """The client has left: release everything."""


class DispatchContext(Protocol):
    """What all connections share: the listener."""

    loop: asyncio.AbstractEventLoop
    turns: Turns
    handler: RequestHandler
    dialect: Dialect | None
    limits: Limits
    drain_schedule: DrainSchedule | None


class CommandDispatcher:
    """Runs the commands of one connection.

    The connection is an argument instead of an attribute, since a reference cycle would keep both
    until a garbage collection.
    """

    __slots__ = ("_consecutive_errors", "_context", "_session", "_taken_in_turn", "_turn")

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._turn = self._taken_in_turn = 0  # a turn, and requests accepted in it
        self._session: Session | None = None  # state of the cluster dialect, if it is on
        self._consecutive_errors = 0  # invalid commands in a row

    def run(
        self, source: CommandSource, args: Sequence[bytes | bytearray], head: bytes, delay: float
    ) -> None:
        """Run a command that may have been unread for `delay` seconds.

        No arguments: it was refused for lack of memory while it was received.  `head`: the bytes up
        to the end of the id, if they are known.
        """
        context = self._context
        if not args:  # refused while it was received
            source.reject(context.handler.refuse(LocalRefusal.MEMORY))
            return
        dialect = context.dialect
        if dialect is not None:
            if self._answer_dialect(source, dialect, args):
                return
        elif len(args) == 1 and bytes(args[0]).upper() == b"PING":
            source.new_charged_answer().finish(b"+PONG\r\n")
            return
        answer = None
        unseen = source.client_may_have_left()
        if (unseen or delay > LATE_AFTER) and source.client_left():
            source.ended()  # found by exploring event orders: read in the 2nd turn after a pause
            return
        try:
            command = resp.parse_command(args, head)
            if dialect is not None and (moved := dialect.moved_reply(command.key)) is not None:
                source.new_charged_answer().finish(moved)
                return
            rejection: bytes | None
            if source.out_of_memory:
                rejection = context.handler.refuse(LocalRefusal.MEMORY)
            elif unseen:
                rejection = context.handler.refuse(LocalRefusal.UNSEEN_CLIENT)
            elif context.drain_schedule is None:
                rejection = context.handler.rejection(command, self._requests_this_turn(), delay)
            else:
                rejection = self._rejection_in_drain(context.drain_schedule, command, delay)
            if rejection is not None:  # frequent in an overload of this process: must be cheap
                source.reject(rejection)
                return
            answer = source.new_charged_answer()
            context.handler.take(command, answer)
        except resp.CommandError as error:
            # The framing is intact, so an invalid command only gets an error.  A connection that
            # sends nothing else is closed: the cost of a flood of them would have no bound.
            text = b"-ERR %b\r\n" % str(error).encode()
            (answer if answer is not None else source.new_charged_answer()).finish(text)
            self._consecutive_errors += 1
            if self._consecutive_errors >= context.limits.mistakes:
                source.end_after_answers()
        else:
            self._taken_in_turn += 1
            self._consecutive_errors = 0

    def _rejection_in_drain(
        self, schedule: DrainSchedule, command: resp.Command, delay: float
    ) -> bytes | None:
        """As `RequestHandler.rejection`; an admitted command is answered before the drain ends."""
        handler, now = self._context.handler, self._context.loop.time()
        if now >= schedule.serve_until:
            return handler.refuse(LocalRefusal.DRAINING)
        rejection = handler.rejection(command, self._requests_this_turn(), delay)
        command.wait = min(command.wait, (schedule.answer_by - now) * 1000.0)
        return rejection

    def _answer_dialect(
        self, source: CommandSource, dialect: Dialect, args: Sequence[bytes | bytearray]
    ) -> bool:
        """Answer a command about the connection or the cluster; False if it is a request."""
        if self._session is None:
            self._session = dialect.session()
        reply = dialect.answer(self._session, args)
        if reply is None:
            return False
        source.new_charged_answer().finish(reply)
        if self._session.ends:
            source.end_after_answers()
        return True

    def _requests_this_turn(self) -> int:
        """Requests accepted from this connection in the current loop turn."""
        turn = self._context.turns.count
        if turn != self._turn:
            self._turn, self._taken_in_turn = turn, 0
        return self._taken_in_turn
