"""Injected bug: after a move to another discovery the old watch is not stopped."""

from violetroute.membership.source import Membership


def reconfigure(self, discovery, consul):
    if discovery == self._discovery:
        return False
    self._discovery = discovery
    self._watch = self._create_watch()  # the old one is not stopped
    return True


def plant():
    Membership.reconfigure = reconfigure
