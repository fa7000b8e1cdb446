"""Who was thought dead is never asked again."""

from violetroute.sharing.members import Members


def plant() -> None:
    Members._reconnect = lambda self: []
