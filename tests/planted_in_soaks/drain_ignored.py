"""Written after incident 65d06d: what leaves service waits behind what joins, for a second."""

from violetroute.listing import ListApplier


def plant():
    apply = ListApplier.apply

    def later(self, listing, whole, at_once=False):
        if at_once:
            return apply(self, listing, whole, at_once)
        self._loop.call_later(1.0, apply, self, listing, whole)
        return apply(self, type(listing)(0, False, ()), False)

    ListApplier.apply = later
