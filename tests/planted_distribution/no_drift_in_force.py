"""Planted fault: the leader's bound on how long a proxy stays fresh ignores clock drift."""

from __future__ import annotations

from violetroute.distribution.in_force import InForceSettings


def plant() -> None:
    """Make the leader use `stale_after_s` without the correction for drift."""
    InForceSettings.drop_after_s = property(lambda self: self.stale_after_s)
