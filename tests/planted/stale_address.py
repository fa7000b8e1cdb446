"""Found by exploration, taken back: a node that drains no longer has its address."""

from snowstall import CacheState
from violetroute.membership.addresses import Places


def plant():
    take = Places.take

    def taken(self, member, address, inferred=False):
        return take(
            self, member, None if member.state is CacheState.DRAINING else address, inferred
        )

    Places.take = taken
