"""Injected bug: input after the end of a response is not checked; the next request reads it."""

from violetroute.upstream.connection import NodeConnection

received = NodeConnection.received


def received_unchecked(self, count):
    if self.attempt is not None:
        received(self, count)
    else:
        self._decoder.feed(self.buffer()[:count])


def plant():
    NodeConnection.no_pending_input = lambda self: (
        self.stream is not None and not self.stream.closing
    )
    NodeConnection.received = received_unchecked
    original_complete = NodeConnection._complete

    def complete(self):
        decoder, self._decoder = self._decoder, type(self._decoder)()
        original_complete(self)
        self._decoder = decoder

    NodeConnection._complete = complete
