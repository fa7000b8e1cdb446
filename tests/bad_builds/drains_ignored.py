"""A node that drains is taken for one in service."""

from snowstall import CacheState
from violetroute.membership import entries


def plant():
    entries.LIFECYCLE_STATES["terminating"] = CacheState.READY
