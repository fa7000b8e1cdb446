"""Planted: who goes on after a stop believes what it knew, and looks at no clock."""

from violetroute.fleet.election import LeaderElector


def plant():
    LeaderElector.valid_fence = lambda self, now, duration=0.0: (
        self.fence if self.state == "owner" else 0
    )
