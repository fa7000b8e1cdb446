"""Reverts a fix: a draining node loses its address."""

from snowstall import CacheState
from violetroute.membership.addresses import NodeAddresses


def plant():
    apply = NodeAddresses.apply

    def apply_without_address(self, member, address, inferred=False):
        return apply(
            self, member, None if member.state is CacheState.DRAINING else address, inferred
        )

    NodeAddresses.apply = apply_without_address
