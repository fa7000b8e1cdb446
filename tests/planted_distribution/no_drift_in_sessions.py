"""A control machine's bound on its proxies' freshness leaves out the drift of clocks."""

from __future__ import annotations

from violetroute.distribution.session import SessionSettings


def plant() -> None:
    """Drop a session after the time without drift."""
    SessionSettings.drop_after_s = property(lambda self: self.stale_after_s)
