"""A node that drains is taken for one in service."""

from snowstall import CacheState
from violetroute.membership import native


def plant():
    native.STATES["terminating"] = CacheState.READY
