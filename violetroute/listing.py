"""Applies a list of cache nodes from discovery to the parts that keep state for each node."""

from __future__ import annotations

from snowstall import CacheState, Member

from .membership import Listing, Places, as_member, stable_hash
from .placement import Keeper, Like
from .upstream import Pool


def apply_listing(
    listing: Listing, whole: bool, places: Places, pool: Pool, now: float
) -> list[Member]:
    """Record addresses, and open or close the pool's nodes; returns the members to decide with.

    `whole`: nodes that the listing does not name are removed.  `now`: Unix milliseconds.
    """
    members: list[Member] = []
    for entry in listing.entries:
        member = as_member(entry, now)
        change = places.take(member, entry.address, entry.inferred)
        for cache_id in change.removed:
            pool.remove(cache_id)
        if change.placed and entry.address is not None:
            pool.place(member.id, entry.address)
        members += change.members
    if whole:
        for cache_id in places.keep(member.id for member in members):
            pool.remove(cache_id)
    return members


def list_for_placement(listing: Listing, whole: bool, keeper: Keeper) -> None:
    """Tell the placement plan which nodes serve, and which do not any more."""
    serving = [entry for entry in listing.entries if entry.state is CacheState.READY]
    keeper.listed(
        whole,
        ((stable_hash(e.instance.encode()), Like(e.instance, e.zone, e.kind)) for e in serving),
        (e.instance for e in listing.entries if e.state is not CacheState.READY),
    )
