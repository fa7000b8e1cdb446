"""Injected bug: a drain closes all connections at once, even with requests read from them."""

from violetroute.clients.listener import Listener


def plant():
    async def abort_all(self, within):
        for connection in [*self._serving, *self._idle, *self._partial, *self._awaiting_first_byte]:
            connection.abort()

    Listener.drain = abort_all
