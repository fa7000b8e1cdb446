"""What a poll is answered with: batches, paced for who catches up, or a snapshot.  Pure.

- A proxy that lacks no more than `delta_bytes` gets the batches that follow its position.  One
  that lacks some which were committed more than `stale_after_s` ago catches up: it is sent
  `catch_up_bytes_per_s` at most until it has applied an answer that left nothing out, so that a
  region that returns costs each proxy and this machine a stated rate.  Others are not paced: a
  burst of publications must reach everybody in time.
- What this machine learns as committed later than `stale_after_s` after its as_of, as after a
  restart or a cut, may have been committed at any time since: it counts as old.  Within that time
  it has been committed since the as_of, so it is young.
- Any other proxy gets a snapshot of the present commit and has to void everything before it: one
  that lacks more, one that has followed another log, and one that has just started and does not
  know what it missed.

The answers are shared by all sessions at the same position while the commit stands.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from .messages import BATCHES_PER_REPLY, LogPoint, Poll, PollStatus, Snapshot
from .session import SessionSettings

MAX_CACHED_CONTENTS = 64  # different positions of which the answer is kept for others
MAX_COMMIT_TIMES = 4096  # of which the time is known


class LogView(Protocol):
    """What the sessions read of the machine's log."""

    @property
    def log(self) -> str:
        """The log's identity."""

    @property
    def commit(self) -> int:
        """The last position that is known to be committed."""

    @property
    def base(self) -> LogPoint:
        """The last point of which the batch is not kept any more."""

    def after(self, position: int, max_bytes: int) -> list[msgspec.Raw] | None:
        """The encoded batches that follow `position`, up to `commit`, as many as fit.

        None: the first of them is not kept any more.
        """

    def bytes_after(self, position: int) -> int | None:
        """Bytes of all batches that follow `position`, up to `commit`.  None: as for `after`."""

    def snapshot_at_commit(self) -> Snapshot:
        """What stands in for all batches up to `commit`."""


@dataclass(frozen=True, slots=True)
class Content:
    """What sessions at one position get: shared by all of them while the commit stands."""

    status: PollStatus
    batches: tuple[msgspec.Raw, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class _Commit:
    """Everything up to `position` was committed here by `at`."""

    at: float
    position: int


class PollContents:
    """Of one control machine."""

    def __init__(self, settings: SessionSettings, log: LogView, now: float) -> None:
        self._settings = settings
        self._log = log
        self._settled = log.commit  # what may have been committed `stale_after_s` ago or earlier
        self._commits: deque[_Commit] = deque(maxlen=MAX_COMMIT_TIMES)
        self._contents: dict[tuple[int, int | None], Content] = {}  # by position and pace
        self._contents_commit = -1

    def committed(self, now: float, as_of: float | None) -> None:
        """The log's commit moved.  `as_of`: what was committed by then was known before."""
        if as_of is None or now - as_of > self._settings.stale_after_s:
            self._settled = self._log.commit
            self._commits.clear()
        else:
            self._commits.append(_Commit(now, self._log.commit))

    def lacks_old_batches(self, now: float, poll: Poll) -> bool:
        """Whether the proxy lacks what may have been committed `stale_after_s` ago or earlier."""
        return 0 <= self._position(poll) < self._settled_at(now)

    def answer(self, poll: Poll, max_bytes: int | None) -> Content:
        """What this poll gets now, in batches of so many bytes; None: not paced."""
        if self._log.commit != self._contents_commit:
            self._contents.clear()
            self._contents_commit = self._log.commit
        key = self._position(poll), max_bytes
        content = self._contents.get(key)
        if content is None:
            content = self._content(*key)
            if len(self._contents) >= MAX_CACHED_CONTENTS:
                self._contents.clear()
            self._contents[key] = content
        return content

    def position_after(self, poll: Poll, content: Content) -> int:
        """The position of the proxy once it has applied this answer to its poll."""
        if content.snapshot is not None:
            return content.snapshot.base.position
        return max(0, self._position(poll)) + len(content.batches)

    def _position(self, poll: Poll) -> int:
        """From which position the poll is answered; -1: with a snapshot."""
        if poll.log == self._log.log:
            return poll.position
        return -1 if poll.log or self._log.commit else 0

    def _settled_at(self, now: float) -> int:
        latest = now - self._settings.stale_after_s
        while self._commits and self._commits[0].at <= latest:
            self._settled = self._commits.popleft().position
        return self._settled

    def _content(self, position: int, max_bytes: int | None) -> Content:
        lacking = None if position < 0 else self._log.bytes_after(position)
        if lacking is None or lacking > self._settings.delta_bytes:
            return Content(PollStatus.SNAPSHOT, (), self._log.snapshot_at_commit())
        batches = self._log.after(position, self._settings.delta_bytes) or []
        batches = batches[:BATCHES_PER_REPLY]
        if max_bytes is not None:
            batches = _first(batches, max_bytes)
        return Content(PollStatus.OK, tuple(batches))


def _first(batches: Sequence[msgspec.Raw], max_bytes: int) -> list[msgspec.Raw]:
    """Until so many bytes are reached; the last batch may go beyond, so that the rate is kept."""
    found: list[msgspec.Raw] = []
    size = 0
    for raw in batches:
        if size >= max_bytes:
            break
        size += len(memoryview(raw))
        found.append(raw)
    return found
