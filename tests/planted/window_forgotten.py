"""Found by exploration, taken back: a read that leaves nothing passes for the last of a pause."""

from violetroute.clients import read_delay


def plant():
    read_delay.WINDOW_DIVISOR = 0
