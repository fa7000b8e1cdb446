"""Found by exploration, taken back: before a source speaks, a drain that one tells of is not kept."""

from violetroute.membership.merge import ListMerger


def plant():
    entries = ListMerger.entries
    ListMerger.entries = lambda self, wall: (
        entries(self, wall) if self.current_source is not None else dict(self._initial_entries)
    )
