"""Planted: a term is reckoned from when its grant or renewal came."""

from violetroute.fleet.election import Owner


def plant():
    def late(old):
        def told(self, now, number, *fence):
            self._asked_at = now
            return old(self, now, number, *fence)

        return told

    Owner.granted, Owner.renewed = late(Owner.granted), late(Owner.renewed)
