"""Planted fault: a proxy considers its data younger than it is.

It counts the age of its data from the receipt of a reply, not from the send of its poll.
"""

from violetroute.distribution.messages import PollReply
from violetroute.distribution.subscriber import Effect, Subscriber


def plant() -> None:
    original_replied = Subscriber.replied

    def from_receipt(
        self: Subscriber, now: float, sent_at: float, address: str, reply: PollReply | None
    ) -> list[Effect]:
        return original_replied(self, now, now, address, reply)

    Subscriber.replied = from_receipt
