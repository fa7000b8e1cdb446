"""Planted fault: a leader commits batches of an earlier leader.

It does so once a majority has acknowledged them, without a batch of its own after them.  Such
batches may still be replaced (Raft, section 5.4.2).
"""

from violetroute.distribution.followers import Followers


def plant() -> None:
    def committed(self: Followers) -> int | None:
        durable = [follower.durable for follower in self._followers.values()]
        durable.append(self._replica.durable)
        return sorted(durable, reverse=True)[self._quorum - 1]

    Followers.committed = committed
