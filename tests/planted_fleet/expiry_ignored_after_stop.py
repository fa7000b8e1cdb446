"""Injected bug: a process that continues after SIGSTOP does not check whether its lease expired."""

from violetroute.fleet.election import LeaderElector


def plant():
    LeaderElector.valid_fence = lambda self, now, duration=0.0: (
        self.fence if self.state == "owner" else 0
    )
