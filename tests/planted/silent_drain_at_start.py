"""Found by exploration, taken back: before a source speaks, a drain that one tells of is not kept."""

from violetroute.membership.merge import Merge


def plant():
    entries = Merge.entries
    Merge.entries = lambda self, wall: (
        entries(self, wall) if self.speaker is not None else dict(self._before)
    )
