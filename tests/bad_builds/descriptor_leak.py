"""Injected bug: a closed connection to a cache node keeps its file descriptor."""

from violetroute.transport.stream import SocketStream


class LeakedSocket:
    def __init__(self, socket):
        self.socket = socket

    def close(self):
        pass


LEAKED = []


def plant():
    original_finish = SocketStream._finish

    def finish_without_close(self, error):
        if self._socket is not None and self._first:
            LEAKED.append(self._socket)
            self._socket = LeakedSocket(self._socket)
        original_finish(self, error)

    SocketStream._finish = finish_without_close
