"""A leader commits batches of an earlier leader once a majority has acknowledged them."""

from violetroute.distribution.followers import Followers


def plant() -> None:
    def committed(self: Followers) -> int | None:
        durable = [follower.durable for follower in self._followers.values()]
        durable.append(self._replica.durable)
        return sorted(durable, reverse=True)[self._quorum - 1]

    Followers.committed = committed
