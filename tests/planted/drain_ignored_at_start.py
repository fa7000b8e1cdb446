"""Reverts a fix: drains are ignored until there is a current list source."""

from violetroute.membership.merge import ListMerger


def plant():
    entries = ListMerger.entries
    ListMerger.entries = lambda self, wall: (
        entries(self, wall) if self.current_source is not None else dict(self._initial_entries)
    )
