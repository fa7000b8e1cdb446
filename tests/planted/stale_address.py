"""Found by exploration, taken back: a node that drains no longer has its address."""

from snowstall import CacheState
from violetroute.membership.addresses import NodeAddresses


def plant():
    apply = NodeAddresses.apply

    def taken(self, member, address, inferred=False):
        return apply(
            self, member, None if member.state is CacheState.DRAINING else address, inferred
        )

    NodeAddresses.apply = taken
