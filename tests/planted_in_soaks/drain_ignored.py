"""Injected bug of incident 65d06d: list changes take effect a second late, also for leaving nodes.

So nodes that drain still receive requests.
"""

from violetroute.listing import ListApplier


def plant():
    apply = ListApplier.apply

    def apply_late(self, listing, whole, at_once=False):
        if at_once:
            return apply(self, listing, whole, at_once)
        self._loop.call_later(1.0, apply, self, listing, whole)
        return apply(self, type(listing)(0, False, ()), False)

    ListApplier.apply = apply_late
