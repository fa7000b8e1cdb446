"""Found by exploration, taken back: a drain in the first answers, which have no leader, is lost."""

from violetroute.membership.staleness import CatalogueState


def plant():
    taken = CatalogueState.apply_drains

    def apply_drains(self, seen):
        taken(self, seen)
        return []

    CatalogueState.apply_drains = apply_drains
