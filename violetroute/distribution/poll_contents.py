"""The content of the answer to a poll: batches, paced during catch-up, or a snapshot.  Pure.

- A proxy that lacks at most `delta_bytes` gets the batches that follow its position.  If it lacks
  batches committed more than `stale_after_s` ago, it is in catch-up: it gets at most
  `catch_up_bytes_per_s` until it has applied an answer that left nothing out.  So the return of a
  region costs each proxy and this machine a known rate.  Other proxies are not paced, since a burst
  of publications must reach all of them in time.
- Batches that this machine learns to be committed more than `stale_after_s` after its `as_of`, as
  after a restart or a network partition, may have been committed at any time since the `as_of`:
  they count as old.  Within that time they count as recent, since they were committed after the
  `as_of`.
- Any other proxy gets a snapshot at the current commit and must invalidate everything it cached
  before: a proxy that lacks more, one that followed another log, and one that has just started and
  does not know what it missed.

All sessions at the same position share one answer until the commit advances.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from .messages import BATCHES_PER_REPLY, LogPoint, Poll, PollStatus, Snapshot
from .session import SessionSettings

MAX_CACHED_CONTENTS = 64  # answers kept for other sessions, one for each position and pace
MAX_COMMIT_TIMES = 4096  # commits whose time is remembered


class LogView(Protocol):
    """The part of the machine's log that the sessions read."""

    @property
    def log(self) -> str:
        """The log's identity."""

    @property
    def commit(self) -> int:
        """The last position known to be committed."""

    @property
    def base(self) -> LogPoint:
        """The last point whose batch is no longer kept."""

    def after(self, position: int, max_bytes: int) -> list[msgspec.Raw] | None:
        """The encoded batches that follow `position`, up to `commit`, as many as fit `max_bytes`.

        None if the first of them is no longer kept.
        """

    def bytes_after(self, position: int) -> int | None:
        """Bytes of all batches that follow `position`, up to `commit`.  None as for `after`."""

    def snapshot_at_commit(self) -> Snapshot:
        """A snapshot that replaces all batches up to `commit`."""


@dataclass(frozen=True, slots=True)
class Content:
    """The content of an answer, shared by all sessions at one position until the next commit."""

    status: PollStatus
    batches: tuple[msgspec.Raw, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class _Commit:
    """Everything up to `position` was committed here by `at`."""

    at: float
    position: int


class PollContents:
    """Builds and caches the contents of one control machine's answers."""

    def __init__(self, settings: SessionSettings, log: LogView, now: float) -> None:
        self._settings = settings
        self._log = log
        # Batches up to here may have been committed `stale_after_s` ago or earlier.
        self._old_position = log.commit
        self._commits: deque[_Commit] = deque(maxlen=MAX_COMMIT_TIMES)
        self._contents: dict[tuple[int, int | None], Content] = {}  # answers by position and pace
        self._contents_commit = -1

    def commit_advanced(self, now: float, as_of: float | None) -> None:
        """Record when the log's commit advanced.

        `as_of`: this machine knew before that everything committed by this time is in its log.
        """
        if as_of is None or now - as_of > self._settings.stale_after_s:
            self._old_position = self._log.commit
            self._commits.clear()
        else:
            self._commits.append(_Commit(now, self._log.commit))

    def lacks_old_batches(self, now: float, poll: Poll) -> bool:
        """Whether it lacks batches that may have been committed `stale_after_s` ago or earlier."""
        return 0 <= self._position(poll) < self._old_position_at(now)

    def answer(self, poll: Poll, max_bytes: int | None) -> Content:
        """The content for this poll; its batches have about `max_bytes`.  None: not paced."""
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
        """The position of the proxy after it has applied this answer to its poll."""
        if content.snapshot is not None:
            return content.snapshot.base.position
        return max(0, self._position(poll)) + len(content.batches)

    def _position(self, poll: Poll) -> int:
        """The position from which batches are sent; -1: a snapshot is sent instead."""
        if poll.log == self._log.log:
            return poll.position
        return -1 if poll.log or self._log.commit else 0

    def _old_position_at(self, now: float) -> int:
        latest = now - self._settings.stale_after_s
        while self._commits and self._commits[0].at <= latest:
            self._old_position = self._commits.popleft().position
        return self._old_position

    def _content(self, position: int, max_bytes: int | None) -> Content:
        missing_bytes = None if position < 0 else self._log.bytes_after(position)
        if missing_bytes is None or missing_bytes > self._settings.delta_bytes:
            return Content(PollStatus.SNAPSHOT, (), self._log.snapshot_at_commit())
        batches = self._log.after(position, self._settings.delta_bytes) or []
        batches = batches[:BATCHES_PER_REPLY]
        if max_bytes is not None:
            batches = _limit_bytes(batches, max_bytes)
        return Content(PollStatus.OK, tuple(batches))


def _limit_bytes(batches: Sequence[msgspec.Raw], max_bytes: int) -> list[msgspec.Raw]:
    """The first batches up to `max_bytes`; the last may exceed it, so that the rate is reached."""
    found: list[msgspec.Raw] = []
    size = 0
    for raw in batches:
        if size >= max_bytes:
            break
        size += len(memoryview(raw))
        found.append(raw)
    return found
