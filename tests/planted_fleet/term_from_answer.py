"""Injected bug: a lease term is counted from the arrival of the answer, not from the request."""

from violetroute.fleet.election import LeaderElector


def plant():
    def from_answer(original):
        def count_from_answer(self, now, number, *fence):
            self._sent_at = now
            return original(self, now, number, *fence)

        return count_from_answer

    LeaderElector.granted, LeaderElector.renewed = (
        from_answer(LeaderElector.granted),
        from_answer(LeaderElector.renewed),
    )
