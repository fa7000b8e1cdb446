"""Planted fault: a control machine always sends its first snapshot.

It does so even if the log no longer has the batches that follow the snapshot.
"""

from weakref import WeakKeyDictionary

from violetroute.distribution.messages import Snapshot
from violetroute.distribution.poll_contents import Content, PollContents

_FIRST_SNAPSHOTS: WeakKeyDictionary[PollContents, Snapshot] = WeakKeyDictionary()


def plant() -> None:
    original_content = PollContents._content

    def first_snapshot(self: PollContents, position: int, max_bytes: int | None) -> Content:
        content = original_content(self, position, max_bytes)
        if content.snapshot is None or content.snapshot.base.position == 0:
            return content
        return Content(content.status, (), _FIRST_SNAPSHOTS.setdefault(self, content.snapshot))

    PollContents._content = first_snapshot
