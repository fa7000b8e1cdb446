"""Reverts a fix: the kernel is not queried whether a client has closed its connection."""

from violetroute.clients.connection import ClientConnection


def plant():
    ClientConnection.client_left = lambda self: False
