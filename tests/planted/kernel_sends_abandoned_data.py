"""Injected bug: an abandoned command is delivered when the network path recovers.

The connection is aborted without discarding the data that waits in the kernel.
"""

from violetroute.transport.stream import SocketStream

abort = SocketStream.abort


def plant():
    SocketStream.abort = lambda self, discard=False: abort(self)
