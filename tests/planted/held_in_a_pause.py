"""Found by exploration, taken back: after a pause the deadline of a held request comes first."""

from violetroute.proxy import Proxy


def plant():
    Proxy._held_too_long = lambda self, request: None
