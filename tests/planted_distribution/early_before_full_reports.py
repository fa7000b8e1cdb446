"""A new leader reports batches in force before it knows the sessions of all machines."""

from violetroute.distribution.in_force import InForce


def plant() -> None:
    committed = InForce.committed

    def without_doubt(self: InForce, now: float, position: int, contact_at: float) -> None:
        committed(self, now, position, contact_at)
        for machine in self._machines.values():
            machine.doubt_until = now

    InForce.committed = without_doubt
