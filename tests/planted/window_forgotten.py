"""Found by exploration, taken back: a read that leaves nothing passes for the last of a pause."""

from violetroute.clients import standing


def plant():
    standing.CLOSED = 0
