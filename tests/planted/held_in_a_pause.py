"""Found by exploration, taken back: after a pause the deadline of a held request comes first."""

from violetroute.proxy import Proxy


def plant():
    Proxy._end_overdue_hold = lambda self, request: None
