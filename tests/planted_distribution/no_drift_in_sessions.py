"""Planted fault: a control machine's bound on its sessions ignores clock drift.

It is the bound on how long a proxy of the machine stays fresh.
"""

from __future__ import annotations

from violetroute.distribution.session import SessionSettings


def plant() -> None:
    """Make a control machine drop a session after `stale_after_s`, not corrected for drift."""
    SessionSettings.drop_after_s = property(lambda self: self.stale_after_s)
