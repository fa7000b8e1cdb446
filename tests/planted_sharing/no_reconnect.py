"""Injected bug: a member that was declared dead is never contacted again."""

from violetroute.sharing.members import Members


def plant() -> None:
    Members._reconnect = lambda self: []
