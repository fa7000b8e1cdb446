"""Injected bug: a draining node is treated as in service."""

from snowstall import CacheState
from violetroute.membership import entries


def plant():
    entries.LIFECYCLE_STATES["terminating"] = CacheState.READY
