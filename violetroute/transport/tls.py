"""TLS over a stream of the transport interface, with certificates that can change in service.

ssl.MemoryBIO separates the protocol from the socket, so this runs on any implementation of the
interface.  asyncio's TLS is not used, since it needs asyncio transports.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import ssl
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from violetroute import logs
from violetroute.error_text import one_line

from .address import Address
from .interfaces import Data, Handler, Network, Stream
from .tcp_info import ReceiveWindow

READ_SIZE = 16 * 1024
MAX_PENDING_WRITES = 256 * 1024  # bytes of data written before the handshake is done

_shared = memoryview(bytearray(READ_SIZE))


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of PEM files; without `ca` there is no TLS.

    `name`: the expected name in the peer's certificate; empty for the peer's address.
    """

    ca: str = ""
    cert: str = ""
    key: str = ""
    name: str = ""


class TlsKeys:
    """The TLS context of the files, loaded again when one of them changes.

    The files are checked at each connect, since certificates last for hours and connections for
    seconds.  Unusable files, such as those being replaced, leave the last good context in use.
    """

    def __init__(self, files: TlsFiles) -> None:
        self.files = files
        self._context: ssl.SSLContext | None = None
        self._file_versions: tuple[object, ...] = ()

    def context(self) -> ssl.SSLContext:
        """The current context.  Raises ValueError, naming the file, if none was ever loaded."""
        try:
            versions = tuple(
                _file_version(path) for path in (self.files.ca, self.files.cert, self.files.key)
            )
            if self._context is None or versions != self._file_versions:
                self._context = _load_context(self.files)
                self._file_versions = versions
        except ValueError as error:
            if self._context is None:
                raise
            logs.event("tls.unusable", reason=str(error))
        return self._context


def _file_version(path: str) -> object:
    """A value that changes when the file is replaced or written."""
    if not path:
        return None
    try:
        stat = os.stat(path)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from error
    return stat.st_ino, stat.st_mtime_ns, stat.st_size


def _load_context(files: TlsFiles) -> ssl.SSLContext:
    # PROTOCOL_TLS_CLIENT verifies the certificate and the host name.
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    path = files.ca
    try:
        context.load_verify_locations(path)
        if files.cert:
            path = files.cert
            context.load_cert_chain(files.cert, files.key or None, password=_no_password)
    except (OSError, ValueError) as error:  # ssl.SSLError is an OSError
        raise ValueError(f"{path}: {one_line(error)}") from error
    return context


def _no_password() -> str:
    """Reject an encrypted key: a password prompt on the terminal would block the daemon."""
    raise ValueError("the key is locked with a password")


class TlsStream:
    """A TLS client connection: a Stream to its owner, and the Handler of the TCP stream below.

    `opened` is called once the peer is verified; connect and handshake together have `time_limit`
    seconds.  Data written before, up to MAX_PENDING_WRITES bytes, is sent then.
    """

    def __init__(
        self, net: Network, address: Address, handler: Handler, time_limit: float, keys: TlsKeys
    ) -> None:
        self._handler, self._loop = handler, net.loop
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._handshake_done = self._lost_reported = self._ended = self._paused = False
        self._error: OSError | None = None
        self._pending_writes: deque[bytes] = deque()
        self.closing = False
        self._handshake_timer: asyncio.TimerHandle | None = None
        self._tls: ssl.SSLObject | None = None
        try:
            self._tls = keys.context().wrap_bio(
                self._in, self._out, server_hostname=keys.files.name or address.host
            )
        except (ValueError, OSError) as error:
            self._error = OSError(str(error))
        self._lower: Stream = net.connect(address, self, time_limit, first=True)
        if self._tls is None:
            self._lower.abort()
        else:
            self._handshake_timer = self._loop.call_later(time_limit, self._handshake_timed_out)

    # --- as a Stream ---
    @property
    def descriptor(self) -> int:
        """The descriptor of the TCP stream below; -1 once it is closed."""
        return self._lower.descriptor

    @descriptor.setter
    def descriptor(self, value: int) -> None:
        raise AttributeError("read-only: it belongs to the lower stream")

    @property
    def unsent(self) -> int:
        """Encrypted bytes that the kernel has not taken, plus data that waits for the handshake."""
        return self._lower.unsent + sum(map(len, self._pending_writes))

    @unsent.setter
    def unsent(self, value: int) -> None:
        raise AttributeError("read-only: it belongs to the lower stream")

    def write(self, data: Data) -> bool:
        """Encrypt and send data; before the handshake, copy and keep it.

        The stream fails if `unsent` exceeds MAX_PENDING_WRITES before the handshake is done.
        """
        if self.closing:
            return False
        if not self._handshake_done:
            self._pending_writes.append(bytes(data))
            if self.unsent > MAX_PENDING_WRITES:
                self._fail(OSError("too much data written before the handshake"))
            return False
        assert self._tls is not None
        try:
            self._tls.write(data)
        except ssl.SSLError as error:
            self._fail(error)
            return False
        return self._flush()

    def write_all(self, parts: Sequence[Data]) -> bool:
        return self.write(b"".join(parts))

    def deliver_within(self, seconds: float) -> None:
        self._lower.deliver_within(seconds)

    def receive_buffer(self) -> int:
        return self._lower.receive_buffer()

    def pause(self) -> None:
        self._paused = True
        self._lower.pause()

    def resume(self) -> None:
        self._paused = False
        self._lower.resume()
        self._loop.call_soon(self._read)  # deliver data received before the pause

    def end(self) -> None:
        """Send the TLS close_notify, and half-close the stream below."""
        if self._handshake_done and not self.closing and self._tls is not None:
            with contextlib.suppress(ssl.SSLError):  # the peer's close_notify has not arrived yet
                self._tls.unwrap()
            self._flush()
        self._lower.end()

    def close(self) -> None:
        """Close without a TLS close_notify.  Data that waits for the handshake is discarded."""
        self._mark_closed()
        self._lower.close()

    def abort(self, discard: bool = False) -> None:
        self._mark_closed()
        self._lower.abort(discard)

    def delivered(self) -> bool:
        return not self._pending_writes and self._lower.delivered()

    def read_now(self) -> None:
        self._lower.read_now()

    def unread_bytes(self) -> int:
        return self._lower.unread_bytes()

    def receive_window(self) -> ReceiveWindow | None:
        return self._lower.receive_window()

    def no_pending_input(self) -> bool:
        return not self._in.pending and self._lower.no_pending_input()

    def peer_ended(self) -> bool:
        """Whether the peer has ended the TCP stream below; a close_notify alone does not count."""
        return self._lower.peer_ended()

    # --- as the Handler of the stream below ---
    def opened(self) -> None:
        self._handshake()

    def buffer(self) -> memoryview:
        return _shared

    def received(self, count: int) -> None:
        self._in.write(_shared[:count])
        if not self._handshake_done:
            self._handshake()
        if self._handshake_done:
            self._read()

    def ended(self) -> None:
        self._in.write_eof()
        if not self._handshake_done:
            self._fail(OSError("connection closed during the TLS handshake"))
        else:
            self._read()  # reports the end after the remaining data, also after a pause

    def drained(self) -> None:
        """Passed on to the owner only after the handshake."""
        if self._handshake_done:
            self._handler.drained()

    def lost(self, error: OSError | None) -> None:
        self._mark_closed()
        if not self._lost_reported:
            self._lost_reported = True
            self._handler.lost(self._error or error)

    # --- the protocol ---
    def _handshake(self) -> None:
        if self.closing or self._tls is None:
            return
        try:
            self._tls.do_handshake()
        except ssl.SSLWantReadError:
            self._flush()
            return
        except ssl.SSLError as error:
            self._flush()  # sends the TLS alert
            self._fail(error)
            return
        self._handshake_done = True
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        self._flush()
        pending, self._pending_writes = self._pending_writes, deque()
        self._handler.opened()
        for data in pending:
            self.write(data)

    def _read(self) -> None:
        """Pass decrypted data to the owner."""
        while self._handshake_done and not self.closing and not self._paused and not self._ended:
            assert self._tls is not None
            buffer = self._handler.buffer()
            try:
                data = self._tls.read(len(buffer))
            except ssl.SSLWantReadError:
                break
            except ssl.SSLZeroReturnError:
                self._report_end()
                break
            except ssl.SSLEOFError:  # no close_notify: the owner detects truncation
                self._report_end()
                break
            except ssl.SSLError as error:
                self._fail(error)
                break
            if not data:
                self._report_end()
                break
            buffer[: len(data)] = data
            self._handler.received(len(data))
        self._flush()

    def _report_end(self) -> None:
        if not self._ended and not self.closing:
            self._ended = True
            self._handler.ended()

    def _flush(self) -> bool:
        """Send pending TLS records; return whether the kernel has taken all data."""
        if self._out.pending:
            return self._lower.write(self._out.read())
        return not self._lower.unsent

    def _handshake_timed_out(self) -> None:
        self._fail(OSError("TLS handshake timed out"))

    def _fail(self, error: OSError) -> None:
        self._error = self._error or error
        self.abort()

    def _mark_closed(self) -> None:
        self.closing = True
        self._pending_writes.clear()
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
            self._handshake_timer = None
