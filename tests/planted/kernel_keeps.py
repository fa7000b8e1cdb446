"""What the explorer found first: a command that was given up is delivered when the path heals."""

from violetroute.transport.stream import SocketStream

abort = SocketStream.abort


def plant():
    SocketStream.abort = lambda self, discard=False: abort(self)
