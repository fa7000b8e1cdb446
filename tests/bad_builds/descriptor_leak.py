"""Injected bug: a closed connection to a cache node keeps its file descriptor."""

from violetroute.transport.stream import SocketStream


class Kept:
    def __init__(self, sock):
        self.sock = sock

    def close(self):
        pass


LEAKED = []


def plant():
    finish = SocketStream._finish

    def finished(self, error):
        if self._socket is not None and self._first:
            LEAKED.append(self._socket)
            self._socket = Kept(self._socket)
        finish(self, error)

    SocketStream._finish = finished
