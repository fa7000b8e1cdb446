"""Injected bug: a cancelled connect keeps its descriptor."""

from violetroute.upstream.pool import Pool

discard = Pool._discard


def leaks(self, connection):
    if not connection.up:
        connection.stream = None
        connection._pool = _Nobody()
        self.closed(connection)
        return
    discard(self, connection)


class _Nobody:
    def opened(self, connection):
        pass

    def closed(self, connection):
        pass


def plant():
    Pool._discard = leaks
    Pool.give_up = _give_up


give_up = Pool.give_up


def _give_up(self, attempt):
    node = self._nodes.get(attempt.cache_id)
    opening = None if node is None else node.waiting.get(attempt)
    may = give_up(self, attempt)
    if opening is not None and not opening.up:
        leaks(self, opening)
    return may
