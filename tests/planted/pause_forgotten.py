"""Found by exploration, taken back: what stood unread in a pause is taken for new."""

from violetroute.clients.read_delay import ReadDelay


def plant():
    ReadDelay.delay = lambda self, now: 0.0
