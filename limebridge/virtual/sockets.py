"""Simulated TCP sockets; the module `kernel` lists which kernel behaviour is simulated."""

from __future__ import annotations

import errno
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from .meter import UNMETERED, SocketMeter
from .network import Link, Network, error
from .send_times import SendTimes

READ, WRITE = 1, 2  # as in the selectors module
SEGMENT = 16 * 1024  # maximum bytes per segment
SYN_RETRY = 1.0  # s until an unanswered SYN is sent again (backlog full or path blocked)
RTO = 0.2  # s from a path's recovery to the retransmission of held packets
ZERO_WINDOW_DELAY = 0.47  # s by which Linux is late with TCP_USER_TIMEOUT at a closed window


class VirtualSocket:
    """TCP socket with the socket.socket methods that asyncio and the daemon use; none blocks."""

    family, type, proto = socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP

    def __init__(self, kernel: Network, owner: str) -> None:
        self._kernel, self.owner = kernel, owner
        self.number = -1
        self._name = ("127.0.0.1", 0)
        self._peer_name: tuple[str, int] | None = None
        self._queue: deque[VirtualSocket] | None = None  # accept queue of a listening socket
        self._backlog = 0
        self._link: Link | None = None
        self._extra_s = 0.0  # additional one-way latency in s
        self._is_client = False  # connected actively: sends in direction `to` of the link
        self.peer: VirtualSocket | None = None
        self._state = "new"  # connecting, open, failed
        self._error = 0  # reported once, by getsockopt or the next call
        self._sending, self._in_flight = bytearray(), 0
        self._sent = 0  # total bytes accepted from the program
        self._received = bytearray()
        self._peer_send_times = SendTimes()  # send times of the received bytes
        self._last_arrival = 0.0  # time of the latest arrival at the peer
        self._fin_requested = self._fin_sent = False  # the FIN of this side
        self._fin_received = False  # the peer's FIN
        self._reset = False
        self._closed = False
        self._abortive = False  # SO_LINGER with timeout 0: close sends RST
        self._aborted = False  # reset locally: undelivered data is discarded
        self._meter: SocketMeter = kernel.meters.get(owner, UNMETERED)
        self._timeout = 0.0  # TCP_USER_TIMEOUT in s; 0: none

    # --- names, options ---
    def fileno(self) -> int:
        return self.number

    def setblocking(self, flag: bool) -> None:
        pass

    def gettimeout(self) -> float:
        return 0.0

    def getsockname(self) -> tuple[str, int]:
        return self._name

    def getpeername(self) -> tuple[str, int]:
        if self._peer_name is None:
            raise error(errno.ENOTCONN)
        return self._peer_name

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        if level == socket.SOL_SOCKET and option == socket.SO_LINGER:
            on, seconds = struct.unpack("ii", bytes(value)[:8])
            self._abortive = on != 0 and seconds == 0
        elif level == socket.IPPROTO_TCP and option == socket.TCP_USER_TIMEOUT:
            self._timeout = value / 1000.0

    def getsockopt(self, level: int, option: int) -> int:
        if option == socket.SO_ERROR:
            pending_error, self._error = self._error, 0
            return pending_error
        return self._kernel.buffer if option == socket.SO_RCVBUF else 0

    # --- opening ---
    def bind(self, address: tuple[str, int]) -> None:
        port = address[1] or self._kernel.port()
        if port in self._kernel.listening:
            raise error(errno.EADDRINUSE)
        self._name = (address[0], port)

    def listen(self, backlog: int = 100) -> None:
        self._queue, self._backlog = deque(), backlog
        self._kernel.listening[self._name[1]] = self

    def connect(self, address: tuple[str, int]) -> None:
        number = self.connect_ex(address)
        if number:
            raise error(number)

    def connect_ex(self, address: tuple[str, int]) -> int:
        kernel = self._kernel
        self._name, self._peer_name = ("127.0.0.1", kernel.port()), address
        self._meter.charge_connect()
        self._link, self._is_client = kernel.link(address[1]), True
        self._extra_s = kernel.extra_delay(self.owner, address[1])
        self._state = "connecting"
        self._send_syn()
        return errno.EINPROGRESS

    def _send_syn(self) -> None:
        """Send a SYN, and again every SYN_RETRY s while there is no response."""
        if self._closed or self._state != "connecting":
            return
        assert self._link is not None
        link, kernel = self._link, self._kernel
        if not link.blocked_to:
            kernel.at(kernel.now + self._delay(), self._syn_arrived)
        kernel.at(kernel.now + SYN_RETRY, self._send_syn)

    def _syn_arrived(self) -> None:
        assert self._link is not None and self._peer_name is not None
        kernel, link = self._kernel, self._link
        if self._closed or self._state != "connecting" or link.blocked_back:
            return
        listener = kernel.listening.get(self._peer_name[1])
        if listener is None or listener._queue is None:
            kernel.at(kernel.now + self._delay(), self._refused)
        elif len(listener._queue) <= listener._backlog:  # Linux queues one more than the backlog
            peer = VirtualSocket(kernel, listener.owner)
            peer._name, peer._peer_name = self._peer_name, self._name
            peer._link, peer.peer, peer._state, peer._extra_s = link, self, "open", self._extra_s
            listener._queue.append(peer)
            kernel.touch(listener)
            self._state = "opening"
            self.peer = peer
            kernel.at(kernel.now + self._delay(), self._syn_ack_arrived)

    def _refused(self) -> None:
        if self._state == "connecting":
            self._state, self._error = "failed", errno.ECONNREFUSED
            self._kernel.touch(self)

    def _syn_ack_arrived(self) -> None:
        if not self._closed and self._state == "opening":
            self._state = "open"
            self._transmit()
            self._kernel.touch(self)

    def accept(self) -> tuple[VirtualSocket, tuple[str, int]]:
        if self._queue is None:
            raise error(errno.EINVAL)
        if not self._queue:
            raise error(errno.EAGAIN)
        # May raise EMFILE: the connection stays queued.
        self._kernel.assign_descriptor(self.owner, self._queue[0])
        sock = self._queue.popleft()
        self._meter.charge_connect()
        self._kernel.touch(sock)
        assert sock._peer_name is not None
        return sock, sock._peer_name

    # --- receiving ---
    def recv(self, size: int, flags: int = 0) -> bytes:
        self._check_receivable()
        data = bytes(self._received[:size])
        if data and not flags & socket.MSG_PEEK:
            self._consume(len(data))
        return data

    def recv_into(self, buffer: Any, size: int = 0) -> int:
        self._check_receivable()
        view = memoryview(buffer)
        count = min(len(view), len(self._received))
        self._meter.charge_read(count)
        view[:count] = self._received[:count]
        if count:
            self._consume(count)
        return count

    def _check_receivable(self) -> None:
        self._check_open()
        if self._received:
            return
        if self._error:
            pending_error, self._error = self._error, 0
            raise error(pending_error)
        if not self._fin_received and not self._reset:
            raise error(errno.EAGAIN if self._state == "open" else errno.ENOTCONN)

    def _consume(self, count: int) -> None:
        """Remove read bytes; if the window was full, the sender resumes after the path delay."""
        was_full = len(self._received) >= self._kernel.buffer // 2
        del self._received[:count]
        peer = self.peer
        if peer is not None and was_full:
            self._kernel.at(self._kernel.now + self._delay(), peer._transmit)

    # --- sending ---
    def send(self, data: Any, flags: int = 0) -> int:
        return self.sendmsg([data])

    def sendmsg(self, parts: Iterable[Any]) -> int:
        self._check_open()
        if self._error:
            pending_error, self._error = self._error, 0
            raise error(pending_error)
        if self._fin_requested or self._reset:
            raise error(errno.EPIPE)
        if self._state != "open":
            raise error(
                errno.EAGAIN if self._state in ("connecting", "opening") else errno.ENOTCONN
            )
        accepted = 0
        if self.peer is not None:
            self.peer._peer_send_times.note(self._sent, self._kernel.now + self._meter.turn_cpu_s)
        for part in parts:
            free = self._kernel.buffer - len(self._sending) - self._in_flight
            if free <= 0:
                break
            piece = memoryview(part)[:free]
            self._sending += piece
            self._kernel.on_sent(self, bytes(piece))
            accepted += len(piece)
            if len(piece) < len(part):
                break
        if not accepted and any(len(part) for part in parts):
            raise error(errno.EAGAIN)
        self._sent += accepted
        self._meter.charge_write(accepted)
        self._transmit()
        if self._timeout and self._link is not None and (self._sending or self._blocked):
            sent, late = self._sent, ZERO_WINDOW_DELAY if self._sending else 0.0
            self._kernel.at(self._kernel.now + self._timeout + late, lambda: self._timed_out(sent))
        return accepted

    def _timed_out(self, sent: int) -> None:
        """Fail with ETIMEDOUT if the first `sent` bytes are still not delivered."""
        if not self._closed and not self._reset and self._sent - self.undelivered() < sent:
            self._sending.clear()
            self._send_reset()
            self._aborted = True
            self._error = errno.ETIMEDOUT
            self._kernel.touch(self)

    def _transmit(self) -> None:
        """Send as many segments as the peer's receive window allows, then a requested FIN."""
        peer, kernel = self.peer, self._kernel
        if peer is None or self._state != "open" or self._reset:
            return
        assert self._link is not None
        while self._sending:
            window = self._kernel.buffer - len(peer._received) - self._in_flight
            size = min(len(self._sending), window, SEGMENT)
            if size <= 0:
                break
            if self._link.cut and size > 1:
                size = kernel.random(f"cut/{self._link.port}").randint(1, size)
            data = bytes(self._sending[:size])
            del self._sending[:size]
            self._in_flight += size
            self._send_packet(lambda data=data: self._data_arrived(data))  # type: ignore[misc]
        if self._fin_requested and not self._sending and not self._fin_sent:
            self._fin_sent = True
            self._send_packet(self._fin_arrived)

    @property
    def _blocked(self) -> bool:
        """Whether the path is blocked in this socket's sending direction."""
        assert self._link is not None
        return self._link.blocked_to if self._is_client else self._link.blocked_back

    def _delay(self) -> float:
        assert self._link is not None
        link = self._link
        if not link.jitter:
            return link.latency + self._extra_s
        direction = "to" if self._is_client else "back"
        fraction = self._kernel.random(f"{direction}/{link.port}").random()
        return link.latency + self._extra_s + link.jitter * fraction

    def _send_packet(self, arrives: Callable[[], None], held: float = 0.0) -> None:
        """Deliver over the path in order; a blocked path holds the packet until it recovers."""
        assert self._link is not None
        link = self._link
        if self._blocked:
            # After a local reset neither the discarded data nor the reset is retransmitted.
            link.held.append(lambda: None if self._aborted else self._send_packet(arrives, RTO))
            return
        when = self._kernel.now + held + self._delay() + self._meter.turn_cpu_s
        self._last_arrival = max(self._last_arrival, when)
        self._kernel.at(self._last_arrival, arrives)

    def _data_arrived(self, data: bytes) -> None:
        peer = self.peer
        self._in_flight -= len(data)
        if peer is None:
            return
        if peer._closed:  # the kernel responds to data for a closed socket with a reset
            peer._send_reset()
            return
        peer._received += data
        self._kernel.on_received(peer, data)
        self._kernel.touch(peer)
        self._kernel.touch(self)  # its send buffer may have space again
        if self._sending:
            self._transmit()

    def _fin_arrived(self) -> None:
        if self.peer is not None and not self.peer._closed:
            self.peer._fin_received = True
            self._kernel.touch(self.peer)
            self._kernel.on_end(self.peer)

    def _send_reset(self) -> None:
        if self.peer is not None and not self._reset:
            self._reset = True
            self._send_packet(self._reset_arrived)

    def _reset_arrived(self) -> None:
        peer = self.peer
        if peer is None or peer._reset:
            return
        peer._reset = True
        self._kernel.on_end(peer)
        # Reported after buffered data has been read; Linux gives EPIPE if a FIN came first.
        peer._error = errno.EPIPE if peer._fin_received else errno.ECONNRESET
        peer._sending.clear()
        if peer._state in ("connecting", "opening"):
            peer._state = "failed"
        self._kernel.touch(peer)

    # --- the end ---
    def shutdown(self, how: int) -> None:
        self._check_open()
        if self._state != "open" or self._reset:
            raise error(errno.ENOTCONN)
        if how in (socket.SHUT_WR, socket.SHUT_RDWR):
            self._fin_requested = True
            self._transmit()

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        kernel = self._kernel
        kernel.release_descriptor(self)
        kernel.to_check.pop(self.number, None)
        self.number = -1
        if self._queue is not None:
            kernel.listening.pop(self._name[1], None)
            for waiting in self._queue:
                waiting._closed = True
                waiting._send_reset()
            self._queue = None
        elif self.peer is not None:
            if self._received or self._abortive:  # RST, see RFC 2525, 2.17
                self._sending.clear()
                self._send_reset()
                self._aborted = True
            else:
                self._fin_requested = True
                self._transmit()

    def abort(self) -> None:
        """Close as the kernel does for a killed process: undelivered data is discarded."""
        self._abortive = True
        self.close()

    def _check_open(self) -> None:
        if self._closed:
            raise error(errno.EBADF)

    def detach(self) -> int:
        raise NotImplementedError("a virtual socket has no descriptor to give away")

    def sent_at(self, offset: int) -> float:
        """Time at which the peer handed the received byte `offset` to its kernel."""
        return self._peer_send_times.at(offset)

    def undelivered(self) -> int:  # bytes that have not reached the peer, as from SIOCOUTQ
        return len(self._sending) + self._in_flight

    def ready(self) -> int:
        """READ and WRITE as epoll reports them; errors and resets give both."""
        if self._queue is not None:
            return READ if self._queue else 0
        if self._error or self._reset or self._state == "failed":
            return READ | WRITE
        if self._state != "open":
            return 0
        mask = READ if self._received or self._fin_received else 0
        if (
            not self._fin_requested
            and self._kernel.buffer - len(self._sending) - self._in_flight
            >= self._kernel.buffer // 3
        ):
            mask |= WRITE
        return mask
