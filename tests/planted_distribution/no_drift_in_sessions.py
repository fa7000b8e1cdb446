"""A control machine's bound on how long its proxies stay fresh ignores clock drift."""

from __future__ import annotations

from violetroute.distribution.session import SessionSettings


def plant() -> None:
    """Drops a session after `stale_after_s`, without the correction for drift."""
    SessionSettings.drop_after_s = property(lambda self: self.stale_after_s)
