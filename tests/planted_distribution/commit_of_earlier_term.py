"""A leader counts acknowledgements of batches that an earlier leader wrote as a commit."""

from violetroute.distribution.followers import Followers


def plant() -> None:
    def committed(self: Followers) -> int | None:
        durable = [each.durable for each in self._followers.values()]
        durable.append(self._replica.durable)
        return sorted(durable, reverse=True)[self._quorum - 1]

    Followers.committed = committed
