"""Injected bug: attempts that wait for a connection are not woken when one becomes free."""

from violetroute.proxy import Proxy
from violetroute.upstream.pool import Pool


def plant():
    Pool._offer = lambda self, connection: None
    Proxy._deadline_expired = lambda self, number: None
