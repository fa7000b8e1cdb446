"""A drain that the source which does not speak tells of is not kept."""

from violetroute.membership import merge


def plant():
    merge._apply_removal = lambda plan, told, by_address, wall: None
