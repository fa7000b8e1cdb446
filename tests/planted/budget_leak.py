"""Written after the explorer: an answer that its client never takes keeps its room."""

from violetroute.clients.answers import Answer


def plant():
    Answer.drop = lambda self: self._unwritten.clear()
