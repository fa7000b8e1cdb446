"""Written after the explorer: the end of discovery's watch is not told."""

from violetroute.membership.native import Call


def plant():
    Call._end = lambda self, reason: self.stop()
