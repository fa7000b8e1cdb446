"""TLS over a stream of the seam, and keys that change in service.

ssl.MemoryBIO keeps the protocol apart from the socket, so that this runs on any network that keeps
the seam's promises.  Weighed: asyncio's own TLS, which needs its transports.
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

READ_SIZE = 16 * 1024
MAX_HELD = 256 * 1024  # bytes that are written before the handshake is done

_shared = memoryview(bytearray(READ_SIZE))


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths; without `ca` there is no TLS.  `name` is who the peer has to be, else its address."""

    ca: str = ""
    cert: str = ""
    key: str = ""
    name: str = ""


class TlsKeys:
    """The context that the files give, made anew when one of them changes.

    Looked at with each connect: certificates last for hours, connections for seconds. Files that
    can't be used, as in the midst of being replaced, leave the last good context in force.
    """

    def __init__(self, files: TlsFiles) -> None:
        self.files = files
        self._context: ssl.SSLContext | None = None
        self._seen: tuple[object, ...] = ()

    def context(self) -> ssl.SSLContext:
        """ValueError, naming the file, where there never was a good one."""
        try:
            seen = tuple(_mark(path) for path in (self.files.ca, self.files.cert, self.files.key))
            if self._context is None or seen != self._seen:
                self._context = _loaded(self.files)
                self._seen = seen
        except ValueError as error:
            if self._context is None:
                raise
            logs.event("tls.unusable", reason=str(error))
        return self._context


def _mark(path: str) -> object:
    """What differs when a file has been replaced or written."""
    if not path:
        return None
    try:
        stat = os.stat(path)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from error
    return stat.st_ino, stat.st_mtime_ns, stat.st_size


def _loaded(files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # verifies, and checks who the peer is
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
    """A key that is locked is refused: to be asked on a terminal would stop the daemon."""
    raise ValueError("the key is locked with a password")


class TlsStream:
    """One TLS connection to a peer: a Stream to its owner, the Handler of the stream below.

    `opened` is told once the peer has shown who it is; connect and handshake together have
    `time_limit` seconds. What is written before goes out then, HELD_MOST bytes at most.
    """

    def __init__(
        self, net: Network, address: Address, handler: Handler, time_limit: float, keys: TlsKeys
    ) -> None:
        self._handler, self._loop = handler, net.loop
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._up = self._told = self._ended = self._paused = False
        self._error: OSError | None = None
        self._held: deque[bytes] = deque()
        self.closing = False
        self._limit: asyncio.TimerHandle | None = None
        self._tls: ssl.SSLObject | None = None
        try:
            self._tls = keys.context().wrap_bio(
                self._in, self._out, server_hostname=keys.files.name or address.host
            )
        except (ValueError, OSError) as error:
            self._error = OSError(str(error))
        self._below: Stream = net.connect(address, self, time_limit, first=True)
        if self._tls is None:
            self._below.abort()
        else:
            self._limit = self._loop.call_later(time_limit, self._too_late)

    # --- as a Stream ---
    @property
    def descriptor(self) -> int:
        return self._below.descriptor

    @descriptor.setter
    def descriptor(self, value: int) -> None:
        raise AttributeError("the stream below has it")

    @property
    def unsent(self) -> int:
        return self._below.unsent + sum(map(len, self._held))

    @unsent.setter
    def unsent(self, value: int) -> None:
        raise AttributeError("the stream below has it")

    def write(self, data: Data) -> bool:
        if self.closing:
            return False
        if not self._up:
            self._held.append(bytes(data))
            if self.unsent > MAX_HELD:
                self._fail(OSError("too much written before the handshake"))
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
        self._below.deliver_within(seconds)

    def receive_buffer(self) -> int:
        return self._below.receive_buffer()

    def pause(self) -> None:
        self._paused = True
        self._below.pause()

    def resume(self) -> None:
        self._paused = False
        self._below.resume()
        self._loop.call_soon(self._read)  # what had been decrypted before

    def end(self) -> None:
        """Says that nothing more is sent, in TLS as well as below."""
        if self._up and not self.closing and self._tls is not None:
            with contextlib.suppress(ssl.SSLError):  # the peer's own end is still to come
                self._tls.unwrap()
            self._flush()
        self._below.end()

    def close(self) -> None:
        self._over()
        self._below.close()

    def abort(self, discard: bool = False) -> None:
        self._over()
        self._below.abort(discard)

    def delivered(self) -> bool:
        return not self._held and self._below.delivered()

    def no_pending_input(self) -> bool:
        return not self._in.pending and self._below.no_pending_input()

    def peer_ended(self) -> bool:
        return self._below.peer_ended()

    # --- as the Handler of the stream below ---
    def opened(self) -> None:
        self._shake()

    def buffer(self) -> memoryview:
        return _shared

    def received(self, count: int) -> None:
        self._in.write(_shared[:count])
        if not self._up:
            self._shake()
        if self._up:
            self._read()

    def ended(self) -> None:
        self._in.write_eof()
        if not self._up:
            self._fail(OSError("ended in the midst of the handshake"))
        else:
            self._read()  # tells the end behind the last that is to be read, also after a pause

    def drained(self) -> None:
        if self._up:
            self._handler.drained()

    def lost(self, error: OSError | None) -> None:
        self._over()
        if not self._told:
            self._told = True
            self._handler.lost(self._error or error)

    # --- the protocol ---
    def _shake(self) -> None:
        if self.closing or self._tls is None:
            return
        try:
            self._tls.do_handshake()
        except ssl.SSLWantReadError:
            self._flush()
            return
        except ssl.SSLError as error:
            self._flush()  # the alert that tells the peer why
            self._fail(error)
            return
        self._up = True
        if self._limit is not None:
            self._limit.cancel()
        self._flush()
        held, self._held = self._held, deque()
        self._handler.opened()
        for data in held:
            self.write(data)

    def _read(self) -> None:
        """Hand on what can be decrypted."""
        while self._up and not self.closing and not self._paused and not self._ended:
            assert self._tls is not None
            buffer = self._handler.buffer()
            try:
                data = self._tls.read(len(buffer))
            except ssl.SSLWantReadError:
                break
            except ssl.SSLZeroReturnError:
                self._end_told()
                break
            except ssl.SSLEOFError:  # no farewell: its owner knows whether it has all of it
                self._end_told()
                break
            except ssl.SSLError as error:
                self._fail(error)
                break
            if not data:
                self._end_told()
                break
            buffer[: len(data)] = data
            self._handler.received(len(data))
        self._flush()

    def _end_told(self) -> None:
        if not self._ended and not self.closing:
            self._ended = True
            self._handler.ended()

    def _flush(self) -> bool:
        """What the protocol wants sent; whether the kernel has taken everything."""
        if self._out.pending:
            return self._below.write(self._out.read())
        return not self._below.unsent

    def _too_late(self) -> None:
        self._fail(OSError("no handshake in time"))

    def _fail(self, error: OSError) -> None:
        self._error = self._error or error
        self.abort()

    def _over(self) -> None:
        self.closing = True
        self._held.clear()
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None
