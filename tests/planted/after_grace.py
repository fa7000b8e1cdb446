"""A node that drains gets something new in the last ms after the grace."""

from violetroute.proxy import Proxy

tell_list = Proxy._tell_list


def late(self, kind, listing):
    if self._generation >= 100:
        self._loop.call_later(0.502, tell_list, self, kind, listing)
    else:
        tell_list(self, kind, listing)


def plant():
    Proxy._tell_list = late
