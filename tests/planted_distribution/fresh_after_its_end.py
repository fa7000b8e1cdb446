"""A process that has ended its session goes on to believe itself fresh by its last answer."""

from violetroute.distribution.messages import Poll
from violetroute.distribution.subscriber import Subscriber


def plant() -> None:
    end = Subscriber.end

    def keeps_its_age(self: Subscriber) -> Poll:
        as_of = self.as_of
        poll = end(self)
        self._as_of = as_of
        return poll

    Subscriber.end = keeps_its_age
