"""A proxy reckons its freshness from when the answer came, not from when its poll was sent."""

from violetroute.distribution.messages import PollReply
from violetroute.distribution.subscriber import Effect, Subscriber


def plant() -> None:
    replied = Subscriber.replied

    def late(
        self: Subscriber, now: float, sent_at: float, address: str, reply: PollReply | None
    ) -> list[Effect]:
        return replied(self, now, now, address, reply)

    Subscriber.replied = late
