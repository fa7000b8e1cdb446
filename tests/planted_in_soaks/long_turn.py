"""Incident 65d06d: the turn that takes a change of many nodes lasts for seconds."""

import time

from violetroute.listing import ListApplier


def plant():
    apply = ListApplier.apply

    def slow(self, listing, whole, at_once=False):
        if not at_once and len(listing.entries) > 1:
            time.sleep(2.5)
        return apply(self, listing, whole, at_once)

    ListApplier.apply = slow
