"""Planted fault: a replica follows a replaced leader.

The leader's fence is lower than the one that the replica has promised to follow.
"""

from violetroute.distribution.actions import Change, SetPromise
from violetroute.distribution.replica import Replica


def plant() -> None:
    def promise(self: Replica, fence: int, leader: str) -> tuple[Change, ...]:
        if (fence, leader) == (self.fence, self.leader):
            return ()
        self.fence, self.leader = fence, leader
        return (SetPromise(fence, leader),)

    Replica.may_promise = lambda self, fence, leader: True
    Replica.promise = promise
