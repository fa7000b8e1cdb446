"""Injected bug: a response that its client never reads keeps its memory budget."""

from violetroute.clients.answers import Answer


def plant():
    Answer.drop = lambda self: self._unwritten.clear()
