"""Watches the list of the platform's discovery over one streaming HTTP call."""

from __future__ import annotations

from typing import Protocol as Interface

import h11

from violetroute import logs
from violetroute.transport import Address, Network

from .entries import Listing
from .list_reader import LINE_LIMIT, ListReader, ObjectSplitter, WatchError

# A change counts as notified 6 s after discovery has it and is reachable, and a change that a
# stalled watch misses 6 s after its last line. Each timeout here, the balancer's own retry wait and
# the next answer have to fit in these 6 s, whatever happens in between.
CONNECT_TIMEOUT = 1.5  # s to connect: a lost packet is retransmitted after 1 s
CALL_TIMEOUT = 2.5  # s from a call's start to its first line, which discovery delays by 1 to 2 s
LINE_TIMEOUT = 2.7  # s without a complete line, bytes or not; an empty line comes every 2 s
READ_SIZE = 16 * 1024  # bytes per read, into a buffer that all watches share

_shared = memoryview(bytearray(READ_SIZE))


class ListObserver(Interface):
    """Receives the lists of a watch, and its end."""

    def list_changed(self, listing: Listing) -> None:
        """Apply a full list or changes."""
        ...

    def list_failed(self, silent: bool = False) -> None:
        """Handle the end of the watch; `silent`: it timed out waiting for a line."""


class DiscoveryWatch:
    """Runs one call at a time.  Reports its end once and leaves restarts to its owner."""

    def __init__(self, observer: ListObserver, address: Address, net: Network) -> None:
        self._observer, self._address, self._net = observer, address, net
        self._call: DiscoveryCall | None = None
        self._reader = ListReader()

    def start(self, since: int) -> None:
        """Start a call that reports the changes after generation `since`."""
        self.stop()
        self._call = DiscoveryCall(self._observer, self._net, self._address, since, self._reader)

    def stop(self) -> None:
        """Stop the call without a report."""
        if self._call is not None:
            self._call.stop()
            self._call = None


class DiscoveryCall:
    """One call to discovery, until it ends and that is reported, or until `stop`."""

    def __init__(
        self, observer: ListObserver, net: Network, address: Address, since: int, reader: ListReader
    ) -> None:
        self._observer, self._loop = observer, net.loop
        self._address, self._since = address, since
        self._http = h11.Connection(h11.CLIENT)
        self._line = bytearray()
        self._splitter, self._reader = ObjectSplitter(), reader
        self._notified = self._closed = False
        self._line_deadline = net.loop.time() + CALL_TIMEOUT
        self._timer = net.loop.call_at(self._line_deadline, self._check_timeout)
        # Read before clients, so that after a pause a drain is applied before requests are sent.
        self._stream = net.connect(address, self, CONNECT_TIMEOUT, first=True)

    def stop(self) -> None:
        """Abort the call without a report."""
        self._closed = True
        self._timer.cancel()
        self._stream.abort()

    def _end(self, reason: BaseException | str, silent: bool = False) -> None:
        """End the call and report it, whatever discovery sent and whatever handling it raised.

        Without the report the list would never change again.  This also hides faults of the daemon
        itself, so the exception's type is logged.
        """
        if self._closed:
            return
        self.stop()
        kind = "" if isinstance(reason, str | WatchError) else f"{type(reason).__name__}: "
        logs.event("discovery.watch_ended", reason=f"{kind}{reason}")
        self._observer.list_failed(silent)

    def _check_timeout(self) -> None:
        if self._loop.time() >= self._line_deadline:
            # A change that a stalled watch misses counts as notified 6 s after its last line. With
            # the retry wait of an ordinary end, the run join+mass got it 1 to 3 s too late.
            self._end("silence" if self._notified else "no line in time", silent=True)
        else:
            self._timer = self._loop.call_at(self._line_deadline, self._check_timeout)

    # --- stream ---
    def opened(self) -> None:
        request = h11.Request(
            method="GET",
            target=f"/v1/servers?follow=1&since={self._since}",
            headers=[("Host", f"{self._address.host}:{self._address.port}")],
        )
        self._stream.write(
            (self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        )

    def buffer(self) -> memoryview:
        return _shared

    def received(self, count: int) -> None:
        try:
            self._http.receive_data(bytes(_shared[:count]))
            while not self._closed and self._event():
                pass
        except Exception as error:
            self._end(error)

    def ended(self) -> None:
        self._end("discovery ended the watch")

    def lost(self, error: OSError | None) -> None:
        self._end(error or "the connection is gone")

    def drained(self) -> None:
        pass

    # --- answer ---
    def _event(self) -> bool:
        """Handle one HTTP event; False if more bytes are needed."""
        match self._http.next_event():
            case h11.NEED_DATA:
                return False
            case h11.Response(status_code=status):
                if status != 200:
                    raise WatchError(f"discovery answered {status}")
            case h11.Data(data=data):
                self._line += data
                while not self._closed and (end := self._line.find(b"\n")) >= 0:
                    line = bytes(self._line[:end])
                    del self._line[: end + 1]
                    self._handle_line(line)
                if len(self._line) > LINE_LIMIT:
                    raise WatchError("line too long")
            case h11.EndOfMessage() | h11.ConnectionClosed() | h11.PAUSED:
                raise WatchError("discovery ended the watch")
            case _:
                pass  # informational responses
        return True

    def _handle_line(self, line: bytes) -> None:
        text = self._splitter.feed(line)
        if text is None:
            return
        self._line_deadline = self._loop.time() + LINE_TIMEOUT
        listing = self._reader.read(text) if text else None
        first, self._notified = not self._notified, True
        # The first line is always reported, since the balancer waits for it.
        if listing is not None or first:
            self._observer.list_changed(listing or Listing(self._since, False, ()))
