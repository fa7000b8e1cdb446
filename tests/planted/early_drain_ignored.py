"""Reverts a fix: a drain in the first Consul responses, which have no leader, is ignored."""

from violetroute.membership.staleness import CatalogueState


def plant():
    original = CatalogueState.apply_drains

    def apply_drains(self, seen):
        original(self, seen)
        return []

    CatalogueState.apply_drains = apply_drains
