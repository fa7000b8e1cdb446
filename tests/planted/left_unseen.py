"""Found by exploration, taken back: whether a client has left is not asked of the kernel."""

from violetroute.clients.connection import ClientConnection


def plant():
    ClientConnection.client_left = lambda self: False
