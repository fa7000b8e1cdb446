"""Planted: a term is reckoned from when its grant or renewal came."""

from violetroute.fleet.election import LeaderElector


def plant():
    def late(old):
        def told(self, now, number, *fence):
            self._sent_at = now
            return old(self, now, number, *fence)

        return told

    LeaderElector.granted, LeaderElector.renewed = (
        late(LeaderElector.granted),
        late(LeaderElector.renewed),
    )
