"""Found by exploration, taken back: what stood unread in a pause is taken for new."""

from violetroute.clients.standing import Standing


def plant():
    Standing.waited = lambda self, now: 0.0
