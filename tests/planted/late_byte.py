"""Injected bug: input after the end of a response is not checked; the next request reads it."""

from violetroute.upstream.connection import NodeConnection

received = NodeConnection.received


def hears(self, count):
    if self.attempt is not None:
        received(self, count)
    else:
        self._decoder.feed(self.buffer()[:count])


def plant():
    NodeConnection.no_pending_input = lambda self: (
        self.stream is not None and not self.stream.closing
    )
    NodeConnection.received = hears
    clean = NodeConnection._complete

    def complete(self, clean_=True):
        rest, self._decoder = self._decoder, type(self._decoder)()
        clean(self, clean_)
        self._decoder = rest

    NodeConnection._complete = complete
