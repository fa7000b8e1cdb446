"""Planted fault: a proxy applies batches across a gap in the log.

Control machines skip batches that they no longer keep, and the proxy does not check for gaps.
"""

import msgspec

from violetroute.distribution.messages import BATCHES_PER_REPLY, Batch, PollReply, PollStatus
from violetroute.distribution.poll_contents import Content, PollContents
from violetroute.distribution.subscriber import Apply, Effect, Subscriber


def plant() -> None:
    def content(self: PollContents, position: int, max_bytes: int | None) -> Content:
        kept = max(position, self._log.base.position)
        batches = self._log.after(kept, self._settings.delta_bytes) or []
        return Content(PollStatus.OK, tuple(batches[:BATCHES_PER_REPLY]))

    def apply_batches(self: Subscriber, reply: PollReply, effects: list[Effect]) -> bool:
        for raw in reply.batches:
            batch = msgspec.msgpack.decode(raw, type=Batch)
            if batch.position > self._position:
                self._position, self._fence = batch.position, batch.fence
                effects.append(Apply(batch))
        return True

    PollContents._content = content
    Subscriber._apply_batches = apply_batches
