"""Injected bug: a drain from the source that is not the current one is ignored."""

from violetroute.membership import merge


def plant():
    merge._apply_removal = lambda plan, told, by_address, wall: None
