"""Injected bug: the connection of an abandoned attempt is used again."""

from violetroute.upstream.connection import NodeConnection


def release_connection(self):
    self._detach_attempt()
    self._pool.release(self)


def plant():
    NodeConnection.give_up = release_connection
