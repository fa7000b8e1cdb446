"""Planted fault: a process that has ended its session still considers itself fresh.

It goes on using its last reply.
"""

from violetroute.distribution.messages import Poll
from violetroute.distribution.subscriber import Subscriber


def plant() -> None:
    original_end = Subscriber.end

    def keep_as_of(self: Subscriber) -> Poll:
        as_of = self.as_of
        poll = original_end(self)
        self._as_of = as_of
        return poll

    Subscriber.end = keep_as_of
