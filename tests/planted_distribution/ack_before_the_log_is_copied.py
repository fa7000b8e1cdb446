"""Planted fault: a new leader counts acknowledgements too early.

It counts fetches as acknowledgements before it has copied the most recent log.
"""

from violetroute.distribution.followers import Followers, _Follower
from violetroute.distribution.messages import Fetch


def plant() -> None:
    original = Followers._acknowledged

    def acknowledged(self: Followers, follower: _Follower, fetch: Fetch) -> None:
        serving, self.serving = self.serving, True
        original(self, follower, fetch)
        self.serving = serving

    Followers._acknowledged = acknowledged
