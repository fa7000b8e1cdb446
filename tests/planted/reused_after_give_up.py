"""An attempt's connection is used again after the attempt was given up."""

from violetroute.upstream.connection import NodeConnection


def keeps(self):
    self._detach_attempt()
    self._pool.release(self)


def plant():
    NodeConnection.give_up = keeps
