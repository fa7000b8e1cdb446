"""Injected bug: a cancelled connect keeps its descriptor."""

from violetroute.upstream.pool import Pool

discard = Pool._discard


def discard_without_close(self, connection):
    if not connection.up:
        connection.stream = None
        connection._pool = StubPool()
        self.closed(connection)
        return
    discard(self, connection)


class StubPool:
    def opened(self, connection):
        pass

    def closed(self, connection):
        pass


def plant():
    Pool._discard = discard_without_close
    Pool.give_up = give_up_with_leak


give_up = Pool.give_up


def give_up_with_leak(self, attempt):
    node = self._nodes.get(attempt.cache_id)
    opening = None if node is None else node.waiting.get(attempt)
    may = give_up(self, attempt)
    if opening is not None and not opening.up:
        discard_without_close(self, opening)
    return may
