"""Discovery's watch: one call, from the connect until its end is told."""

from __future__ import annotations

from typing import Protocol as Interface

import h11

from violetroute import logs
from violetroute.transport import Address, Network

from .entries import Listing
from .list_reader import LINE_LIMIT, ListReader, ObjectSplitter, WatchError

# What a watch misses counts as told 6 s after it fell silent, and a change 6 s after discovery had
# it and could be reached: each wait here, the module's own before it asks again and the next answer
# have to fit in them, whatever comes in between.
CONNECT_TIMEOUT = 1.5  # s until a connection stands: one lost packet is sent again after 1 s
CALL_TIMEOUT = 2.5  # s from a call's begin to its first line; discovery itself lets it wait 1 to 2
LINE_TIMEOUT = 2.7  # s without a whole line, in however many bytes; an empty one comes every 2 s
READ_SIZE = 16 * 1024  # bytes read at once, into a buffer that all watches share

_shared = memoryview(bytearray(READ_SIZE))


class ListObserver(Interface):
    """What the watch knows of the proxy."""

    def list_changed(self, listing: Listing) -> None: ...
    def list_failed(self, silent: bool = False) -> None:
        """The watch has ended; `silent`: it stood, and nothing came any more."""


class DiscoveryWatch:
    """One watch at a time; its end is told once, and asking again is not decided here."""

    def __init__(self, observer: ListObserver, address: Address, net: Network) -> None:
        self._observer, self._address, self._net = observer, address, net
        self._call: DiscoveryCall | None = None
        self._reader = ListReader()

    def start(self, since: int) -> None:
        self.stop()
        self._call = DiscoveryCall(self._observer, self._net, self._address, since, self._reader)

    def stop(self) -> None:
        if self._call is not None:
            self._call.stop()
            self._call = None


class DiscoveryCall:
    """One call to discovery, from the connect until its end is told or it is called off."""

    def __init__(
        self, observer: ListObserver, net: Network, address: Address, since: int, reader: ListReader
    ) -> None:
        self._observer, self._loop = observer, net.loop
        self._address, self._since = address, since
        self._http = h11.Connection(h11.CLIENT)
        self._line = bytearray()
        self._splitter, self._reader = ObjectSplitter(), reader
        self._told = self._over = False
        self._line_until = net.loop.time() + CALL_TIMEOUT
        self._timer = net.loop.call_at(self._line_until, self._look)
        # Ahead of clients: after a pause, what is read with a drain has to keep it.
        self._stream = net.connect(address, self, CONNECT_TIMEOUT, first=True)

    def stop(self) -> None:
        """Nothing more is told."""
        self._over = True
        self._timer.cancel()
        self._stream.abort()

    def _end(self, reason: BaseException | str, silent: bool = False) -> None:
        """Whatever discovery sends, and whatever taking it in does, ends one watch and is told.

        An end that nobody hears of would leave the list as it is for good.  It also hides
        our own faults, which is why they are logged with their kind.
        """
        if self._over:
            return
        self.stop()
        kind = "" if isinstance(reason, str | WatchError) else f"{type(reason).__name__}: "
        logs.event("discovery.watch_ended", reason=f"{kind}{reason}")
        self._observer.list_failed(silent)

    def _look(self) -> None:
        if self._loop.time() >= self._line_until:
            # Found on join+mass: what a watch misses that has fallen silent is held against us 6 s
            # after that; a wait like that after an end came 1 to 3 s too late.
            self._end("silence" if self._told else "no line in time", silent=True)
        else:
            self._timer = self._loop.call_at(self._line_until, self._look)

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
            while not self._over and self._event():
                pass
        except Exception as error:
            self._end(error)

    def ended(self) -> None:
        self._end("discovery ended the watch")

    def lost(self, error: OSError | None) -> None:
        self._end(error or "the connection is gone")

    def drained(self) -> None:
        pass

    # --- what it says ---
    def _event(self) -> bool:
        """Take one event in; False when more bytes are needed."""
        match self._http.next_event():
            case h11.NEED_DATA:
                return False
            case h11.Response(status_code=status):
                if status != 200:
                    raise WatchError(f"discovery answered {status}")
            case h11.Data(data=data):
                self._line += data
                while not self._over and (end := self._line.find(b"\n")) >= 0:
                    line = bytes(self._line[:end])
                    del self._line[: end + 1]
                    self._take(line)
                if len(self._line) > LINE_LIMIT:
                    raise WatchError("line too long")
            case h11.EndOfMessage() | h11.ConnectionClosed() | h11.PAUSED:
                raise WatchError("discovery ended the watch")
            case _:
                pass  # informational answers
        return True

    def _take(self, line: bytes) -> None:
        text = self._splitter.feed(line)
        if text is None:
            return
        self._line_until = self._loop.time() + LINE_TIMEOUT
        listing = self._reader.read(text) if text else None
        first, self._told = not self._told, True
        # The first answer is told even when nothing changed: the module waits for it.
        if listing is not None or first:
            self._observer.list_changed(listing or Listing(self._since, False, ()))
