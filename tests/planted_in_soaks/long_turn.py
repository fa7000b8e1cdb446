"""Injected bug of incident 65d06d: an update of many nodes blocks the event loop for seconds."""

import time

from violetroute.listing import ListApplier


def plant():
    apply = ListApplier.apply

    def apply_slowly(self, listing, whole, at_once=False):
        if not at_once and len(listing.entries) > 1:
            time.sleep(2.5)
        return apply(self, listing, whole, at_once)

    ListApplier.apply = apply_slowly
