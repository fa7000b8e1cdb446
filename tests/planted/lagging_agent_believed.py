"""Reverts a fix: an older answer of an agent that lags brings nodes back into service."""

from violetroute.membership.staleness import CatalogueState


def plant():
    original = CatalogueState.apply

    def apply(self, now, wall, instances, index=0, arrived_at=None):
        return original(self, now, wall, instances, 0, arrived_at)

    CatalogueState.apply = apply
