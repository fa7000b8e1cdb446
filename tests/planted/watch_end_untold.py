"""Written after the explorer: the end of discovery's watch is not told."""

from violetroute.membership.native import DiscoveryCall


def plant():
    DiscoveryCall._end = lambda self, reason: self.stop()
