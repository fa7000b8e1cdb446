"""Planted fault: a new leader reports batches in force too early.

It does so before it knows the sessions of all machines.
"""

from violetroute.distribution.in_force import InForceTracker


def plant() -> None:
    original_committed = InForceTracker.committed

    def without_unknown_sessions(
        self: InForceTracker, now: float, position: int, contact_at: float
    ) -> None:
        original_committed(self, now, position, contact_at)
        for machine in self._machines.values():
            machine.unknown_sessions_until = now

    InForceTracker.committed = without_unknown_sessions
