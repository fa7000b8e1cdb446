"""Found by exploration, taken back: a drain in the first answers, which have no leader, is lost."""

from violetroute.membership.staleness import Belief


def plant():
    taken = Belief.plans

    def plans(self, seen):
        taken(self, seen)
        return []

    Belief.plans = plans
