"""Injected bug: the end of the discovery watch is not reported."""

from violetroute.membership.native import DiscoveryCall


def plant():
    DiscoveryCall._end = lambda self, reason: self.stop()
