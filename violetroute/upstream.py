"""Connections to cache nodes: a pool for each node, one attempt on each at a time.

Answers come in order and giving an attempt up means closing its connection, so sharing
one would make a slow answer, or the end of a late one, everybody's trouble.
"""

from __future__ import annotations

import asyncio
import math
import socket
from bisect import bisect_right
from collections import deque
from typing import Protocol

from snowstall import Result

from . import resp
from .net import Address
from .turns import Turns

READ_SIZE = 72 * 1024  # bytes read at once, into a buffer that all share: the longest reply
WRITE_PIECE = 64 * 1024  # bytes handed to a transport at once, so that nothing piles up there
EXTRA_LIMIT = 4 * 1024  # bytes of the words behind the value
IDLE_PER_NODE = 32  # connections kept for one node
IDLE_SHARE = 0.6  # of the node's own idle time; a request must never meet its close
AGES = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0)  # s; idle times that are judged apart
AGE_GAIN = 0.1  # of one more reuse at an age
AGE_FORGETS = 10.0  # s over which what is known of an age fades, so that it is tried again
AGE_LOSS = 0.1  # share of reuses that may break before connections of this age are closed
REPLY_PATIENCE = 0.15  # s from an answer's first byte to its last
QUIET = 0.002  # s after an answer in which what belongs to no request would come
PEEK = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)  # a flag of the enum is made anew each time
SWEEP = 0.5  # s between looks at idle connections

ERRORS = {b"BUSY": Result.FULL, b"ERR": Result.ERROR}
HITS = {b"hit": True, b"miss": False, b"pending": False}

_shared = memoryview(bytearray(READ_SIZE))


class Attempt:
    """One try of one request at one node, from the module's Send to its one outcome."""

    __slots__ = ("cache_id", "command", "connection", "ended", "number", "request_id", "sent_at",
                 "wait_until")

    def __init__(self, request_id: int, number: int, cache_id: int, command: resp.Command,
                 sent_at: float, wait_until: float) -> None:
        self.request_id, self.number, self.cache_id = request_id, number, cache_id
        self.command = command
        self.sent_at, self.wait_until = sent_at, wait_until  # ms on the module's clock
        self.connection: NodeConnection | None = None
        self.ended = False


class Sink(Protocol):
    """What the pool knows of the proxy."""

    def clock(self) -> float: ...
    def attempt_ended(
        self, attempt: Attempt, result: Result, value: bytes | bytearray | None = None,
        hit: bool | None = None, report: dict[str, float] | None = None,
    ) -> None: ...


class Reply:
    """Reads one reply."""

    __slots__ = ("_item", "_text", "extras", "line", "value", "whole")

    def __init__(self) -> None:
        self._item = -1  # which of the array's items is being read
        self._text = bytearray()
        self.value: bytes | bytearray = bytearray()
        self.extras: list[bytes | None] = []  # how it went, the load report
        self.line: resp.Line | None = None
        self.whole = False

    @property
    def untouched(self) -> bool:
        return self._item < 0

    def served(self, value: bytes, how: bytes, report: bytes | None) -> None:
        """Take a whole reply in one go."""
        self.value, self.extras, self.whole = value, [how, report], True

    @property
    def valued(self) -> bool:
        """The value is whole: what follows only tells how it went."""
        return self._item > 0

    def take(self, token: resp.Token) -> None:
        """Take one token."""
        match token:
            case resp.Line(kind) if self._item < 0 and kind == "-":
                self.line, self.whole = token, True
            case resp.Array(3) if self._item < 0:
                self._item = 0
            case resp.Bulk() if self._item == 0:
                pass  # the decoder bounds its length
            case resp.Bulk(length) if self._item > 0 and length <= EXTRA_LIMIT:
                self._text.clear()
            case resp.Piece(data, last) if self._item == 0:
                self.value += data
                if last:
                    self._item = 1
            case resp.Piece(data, last) if self._item > 0:
                self._text += data
                if last:
                    self._extra(bytes(self._text))
            case resp.Line(kind) if self._item > 0 and kind == "0":
                self._extra(None)
            case _:
                raise resp.ProtocolError("not a reply of a cache node")

    def _extra(self, text: bytes | None) -> None:
        self.extras.append(text)
        self._item += 1
        self.whole = len(self.extras) == 2


def parse_report(text: bytes | None) -> dict[str, float] | None:
    """A load report; one that makes no sense is none, for the value is what counts."""
    if not text:
        return None
    try:
        pairs = [item.split("=") for item in text.decode().split(",")]
        report = {name: float(figure) for name, figure in pairs}
    except ValueError:
        return None
    # One figure that is not finite would spoil every mean that it enters.
    return report if all(map(math.isfinite, report.values())) else None


class NodeConnection(asyncio.BufferedProtocol):
    """One connection to a cache node, with at most one attempt on it."""

    def __init__(self, pool: Pool, node: Node, wanted_by: Attempt | None) -> None:
        self._pool, self.node = pool, node
        self.wanted_by = wanted_by  # the attempt for which it was opened
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.socket: socket.socket | None = None
        self.descriptor = -1
        self.idle_since = 0.0
        self.idle_for = 0.0  # before the attempt at hand
        self.used = False  # has given an answer
        self.retired = False  # its node left the list or moved: no further attempt
        self._decoder = resp.Decoder()
        self._reply = Reply()
        self._parts: deque[bytes | memoryview] = deque()
        self._write_paused = False
        self._patience: asyncio.TimerHandle | None = None  # with an answer that has begun

    # --- transport ---
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # At 0, pause_writing tells exactly that the kernel has not yet taken everything.
        transport.set_write_buffer_limits(high=0)
        self._pool.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _shared

    def buffer_updated(self, nbytes: int) -> None:
        if self.attempt is None:  # speaks unasked: what comes next could be anyone's
            self.close()
            return
        if self.used:
            self.used = False  # until the answer is whole
            self._pool.reused(self, broken=False)
        self._decoder.feed(_shared[:nbytes])
        try:
            self._read()
        except resp.ProtocolError:
            self._spoilt()
        if self.attempt is not None and self._patience is None:
            self._patience = self._pool.loop.call_later(REPLY_PATIENCE, self._spoilt)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        if self.attempt is not None:
            self._break(Result.RESET if self.handed_over else Result.NO_CONNECTION)
        self._pool.closed(self)

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False
        self._write()

    # --- one attempt ---
    def run(self, attempt: Attempt) -> None:
        self.attempt, attempt.connection = attempt, self
        self.idle_for = self._pool.loop.time() - self.idle_since
        self._reply = Reply()
        self._parts.extend(attempt.command.encode(attempt.wait_until - self._pool.sink.clock()))
        self._write()

    @property
    def handed_over(self) -> bool:
        """The kernel has taken the last byte: from here on the command may run."""
        return not self._parts

    def _write(self) -> None:
        transport = self.transport
        assert transport is not None
        if len(self._parts) == 1 and not self._write_paused and len(self._parts[0]) <= WRITE_PIECE:
            part = self._parts[0]  # the usual case: all of it at once
            transport.write(part)
            if transport.is_closing():
                return
            if self._write_paused and part:
                self._parts[0] = b""
            else:
                self._parts.clear()
            return
        while self._parts and not self._write_paused:
            part = self._parts[0]
            piece, rest = part[:WRITE_PIECE], part[WRITE_PIECE:]
            transport.write(piece)
            if transport.is_closing():
                return  # the kernel refused it, so the command is not whole
            if rest:
                self._parts[0] = rest
            elif not self._write_paused:
                self._parts.popleft()
            else:
                self._parts[0] = b""  # a mark: written, but not yet taken by the kernel
                return

    def _read(self) -> None:
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
        stalls for longer than REPLY_PATIENCE within one answer good ones are thrown away.
        """
        if self.attempt is None:
            return
        if self.handed_over and self._reply.valued:
            self._complete(clean=False)
        else:
            self._break(Result.SPOILT)

    def _complete(self, clean: bool = True) -> None:
        attempt, reply = self.attempt, self._reply
        assert attempt is not None
        clean = clean and self.handed_over and self._decoder.idle
        self._leave()
        self.used = True
        if clean:
            self._pool.rest(self)
        else:  # bytes behind an answer, or an answer ahead of its command
            self.close()
        if reply.line is None:
            how, load = (*reply.extras, None, None)[:2]
            self._pool.sink.attempt_ended(attempt, Result.OK, reply.value,
                                          HITS.get(how) if how else None, parse_report(load))
            return
        word, _, rest = reply.line.text.partition(b" ")
        result = ERRORS.get(word, Result.SPOILT)  # another word may be anything
        report = parse_report(rest.rpartition(b" ")[2]) if b"=" in rest else None
        self._pool.sink.attempt_ended(attempt, result, report=report)

    def _leave(self) -> None:
        assert self.attempt is not None
        self.attempt.connection = None
        self.attempt = None
        self._parts.clear()
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
        self.close()
        self._pool.sink.attempt_ended(attempt, result)

    def give_up(self) -> None:
        """Called off or out of time: late bytes must never reach another attempt."""
        self._leave()
        self.close()

    def end_unsent(self) -> None:
        """Its node drains: a command that is not yet whole there must not become so."""
        if not self.handed_over:
            self._break(Result.NO_CONNECTION)

    def quiet(self) -> bool:
        """Nothing stands unread behind the last answer.

        Guards against a second copy, noise or the node's close that has come but was not
        yet read: the next request's answer would be taken from it.  Asked of the kernel,
        since the loop tells of it only in its next turn.
        """
        if self.transport is None or self.transport.is_closing() or self.socket is None:
            return False
        try:
            self.socket.recv(1, PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def close(self) -> None:
        # Not close(): that would go on writing what is left of a command.
        if self.transport is not None:
            self.transport.abort()


class Node:
    """One cache node's address and connections."""

    __slots__ = ("address", "idle", "open", "waiting")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle: list[NodeConnection] = []  # the most recently used last
        self.open: set[NodeConnection] = set()
        self.waiting: dict[Attempt, NodeConnection] = {}  # with what was opened for each


class Pool:
    """All connections to cache nodes, bounded in total and for each node."""

    def __init__(self, sink: Sink, loop: asyncio.AbstractEventLoop, limit: int,
                 connect_timeout: float, idle_timeout: float,
                 turns: Turns | None = None) -> None:
        self.sink, self.loop = sink, loop
        self._turns = turns or Turns()
        self._limit, self._connect_timeout = limit, connect_timeout
        self._idle_for = idle_timeout * IDLE_SHARE
        # By age, the share of reuses that broke, and when it was last learned.
        self._lost = [(0.0, 0.0)] * (len(AGES) + 1)
        self._nodes: dict[int, Node] = {}
        self._open: set[NodeConnection] = set()
        self._sweeping = loop.call_later(SWEEP, self._sweep)

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
        for attempt in list(node.waiting):
            self._fail(attempt, Result.NO_CONNECTION)
        node.waiting.clear()
        for connection in list(node.open):
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
        while node.idle:
            connection = node.idle[-1]
            if now - connection.idle_since < QUIET:  # the last used: look behind it
                connection = node.idle[0]
                if now - connection.idle_since < QUIET:
                    break
            node.idle.remove(connection)
            if self.fresh(now - connection.idle_since, now) and connection.quiet():
                connection.run(attempt)
                return
            self._discard(connection)
        if len(self._open) >= self._limit and not self._close_an_idle_one():
            self._fail(attempt, Result.NEVER_SENT)  # no socket is left to ask with
            return
        connection = NodeConnection(self, node, attempt)
        node.waiting[attempt] = connection
        node.open.add(connection)
        self._open.add(connection)
        connection.task = self.loop.create_task(self._connect(connection))

    def give_up(self, attempt: Attempt) -> bool:
        """Nothing of it may come back; whether it can have run."""
        if attempt.connection is not None:
            may_have_run = attempt.connection.handed_over
            attempt.connection.give_up()
            return may_have_run
        node = self._nodes.get(attempt.cache_id)
        if node is not None:
            node.waiting.pop(attempt, None)  # what is being opened for it will find use
        return False

    def _fail(self, attempt: Attempt, result: Result) -> None:
        # Later, not from within the module's own action.
        self.loop.call_soon(self.sink.attempt_ended, attempt, result)

    # --- connections ---
    def reused(self, connection: NodeConnection, broken: bool) -> None:
        """Whether the first sign on a kept connection was a byte of an answer or its end."""
        place = bisect_right(AGES, connection.idle_for)
        share, _ = self._lost[place]
        self._lost[place] = share + AGE_GAIN * (broken - share), self.loop.time()

    def fresh(self, age: float, now: float) -> bool:
        """Whether a connection that has been idle for so long is likely to be alive.

        Guards against nodes, or boxes between, that drop kept connections long before the
        stated time and say so only when the next request comes.  Should also catch nodes
        that close after a number of requests.  Harm: where all connections break alike,
        new ones cost their handshake and break as well.
        """
        share, learned_at = self._lost[bisect_right(AGES, age)]
        return age < self._idle_for \
            and share * math.exp((learned_at - now) / AGE_FORGETS) < AGE_LOSS

    async def _connect(self, connection: NodeConnection) -> None:
        address = connection.node.address
        sock = None
        try:
            sock = socket.socket(address.family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            connection.socket, connection.descriptor = sock, sock.fileno()
            self._turns.prefer(connection.descriptor, True)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self._connect_timeout):
                await self.loop.sock_connect(sock, (address.host, address.port))
            await self.loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError):
            pass
        finally:  # also when it was called off: the socket has no other owner yet
            if connection.transport is None:
                if sock is not None:
                    sock.close()
                self.closed(connection)

    def opened(self, connection: NodeConnection) -> None:
        if connection.retired:
            connection.close()
            return
        connection.idle_since = self.loop.time() - QUIET  # nothing can stand behind nothing
        connection.node.idle.append(connection)
        self._offer(connection)

    def rest(self, connection: NodeConnection) -> None:
        """Free after an answer: for who waits, once it has been quiet for a moment."""
        node = connection.node
        if connection.retired or connection.transport is None \
                or connection.transport.is_closing():
            connection.close()
            return
        connection.idle_since = self.loop.time()
        node.idle.append(connection)
        if node.waiting:
            self.loop.call_later(QUIET, self._offer, connection)
        elif len(node.idle) > IDLE_PER_NODE:
            self._discard(node.idle[0])

    def _offer(self, connection: NodeConnection) -> None:
        """To the attempt it was opened for, else to the one that waits longest, else idle."""
        node = connection.node
        attempt, connection.wanted_by = connection.wanted_by, None
        if attempt not in node.waiting:
            attempt = next(iter(node.waiting), None)
        if attempt is None or connection not in node.idle:
            return
        node.idle.remove(connection)
        if not connection.quiet():
            self._discard(connection)
            return
        del node.waiting[attempt]
        connection.run(attempt)

    def closed(self, connection: NodeConnection) -> None:
        """It is gone, or never came up."""
        node, connection.transport = connection.node, None
        self._turns.prefer(connection.descriptor, False)
        self._open.discard(connection)
        node.open.discard(connection)
        if connection in node.idle:
            node.idle.remove(connection)
        attempt, connection.wanted_by = connection.wanted_by, None
        if attempt is not None and node.waiting.pop(attempt, None) is not None:
            self.sink.attempt_ended(attempt, Result.NO_CONNECTION)

    def _discard(self, connection: NodeConnection) -> None:
        if connection in connection.node.idle:
            connection.node.idle.remove(connection)
        if connection.transport is not None:
            connection.close()
        elif connection.task is not None:
            connection.task.cancel()
            self.closed(connection)  # now, not in the task's next turn

    def _close_an_idle_one(self) -> bool:
        idle = [node.idle[0] for node in self._nodes.values() if node.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda c: c.idle_since)
        self._discard(oldest)
        # Its socket closes in the loop's next turn, before a new one can be opened.
        self._open.discard(oldest)
        return True

    def _sweep(self) -> None:
        self._sweeping = self.loop.call_later(SWEEP, self._sweep)
        now = self.loop.time()
        for node in self._nodes.values():
            for connection in list(node.idle):
                if now - connection.idle_since >= self._idle_for:
                    self._discard(connection)

    def close(self) -> None:
        self._sweeping.cancel()
        for connection in list(self._open):
            self._discard(connection)
