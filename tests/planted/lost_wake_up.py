"""Who waits for a connection is not woken when one is free or stands."""

from violetroute.proxy import Proxy
from violetroute.upstream.pool import Pool


def plant():
    Pool._offer = lambda self, connection: None
    Proxy._deadline_expired = lambda self, number: None
