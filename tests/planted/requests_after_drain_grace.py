"""Injected bug: a draining node gets new requests in the last ms after the grace period."""

from violetroute.proxy import Proxy

original_apply_list = Proxy._apply_list


def apply_late(self, kind, listing):
    if self._generation >= 100:
        self._loop.call_later(0.502, original_apply_list, self, kind, listing)
    else:
        original_apply_list(self, kind, listing)


def plant():
    Proxy._apply_list = apply_late
