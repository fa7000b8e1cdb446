"""The leader's bound on a proxy's freshness leaves out the drift of clocks."""

from __future__ import annotations

from violetroute.distribution.in_force import InForceSettings


def plant() -> None:
    """Take the time without drift."""
    InForceSettings.drop_after_s = property(lambda self: self.stale_after_s)
