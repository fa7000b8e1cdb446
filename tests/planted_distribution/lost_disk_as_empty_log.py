"""Planted fault: a replica that lost its disk counts towards the quorum at once.

It acts as if its log had been empty.
"""

from violetroute.distribution.recovery import Recovery


def plant() -> None:
    def finish(self: Recovery) -> None:
        if self._replica.recovering:
            self._outbox.persist(self._replica.finish_recovery())

    Recovery._finish = finish
