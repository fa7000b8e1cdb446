"""Actions, stored changes and settings of a control machine.  Data only.

`Machine` decides; `control.py` or the test kit provides sockets, disk, clock and lease.  Each
`Persist` and each `Send` has a unique ticket and is completed exactly once with it.  An `Answer`
carries the ticket of the request that it answers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .messages import (
    SESSIONS_PER_REPORT,
    Batch,
    Fetch,
    FetchReply,
    LogPoint,
    PollReply,
    Prepare,
    Promise,
    Published,
    Report,
    ReportReply,
    Snapshot,
    StatusReply,
)
from .session import SessionSettings

Request = Prepare | Fetch | Report
Reply = Promise | FetchReply | ReportReply
Response = Promise | FetchReply | ReportReply | PollReply | Published | StatusReply


# --- changes of stored state ---
@dataclass(frozen=True, slots=True)
class SetPromise:
    """Promise: follow no leader with a lower fence, and with this one only `leader`.

    An empty `leader` is not known yet.
    """

    fence: int
    leader: str


@dataclass(frozen=True, slots=True)
class AppendBatches:
    """Append consecutive batches to the end of the log."""

    batches: tuple[Batch, ...]


@dataclass(frozen=True, slots=True)
class TruncateAfter:
    """Truncate the log after this position; never drops a committed batch."""

    position: int


@dataclass(frozen=True, slots=True)
class SetBase:
    """Replace all batches up to the snapshot's base.  A base beyond the end empties the log."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class SetRecovering:
    """Set the recovery flag.  False: recovered from a lost disk, counts for a quorum again."""

    recovering: bool


Change = SetPromise | AppendBatches | TruncateAfter | SetBase | SetRecovering


# --- actions ---
@dataclass(frozen=True, slots=True)
class Persist:
    """Store the changes in order and durably, then call `Machine.persisted(now, ticket)`.

    `Persist` actions are stored in the order in which they were emitted.  A crash may lose any
    suffix of those not yet reported as persisted; one of them may be stored in part.
    """

    ticket: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to the control machine `to`, then call `Machine.replied` with the reply.

    The reply is None after `timeout_s` (seconds) or a failure.
    """

    ticket: int
    to: str
    message: Request
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Answer:
    """Send this response to the request with `ticket`."""

    ticket: int
    message: Response


@dataclass(frozen=True, slots=True)
class Fenced:
    """End this machine's term: a leader with the higher `fence` exists.

    The lease runner uses it as the lower bound of its next fence.
    """

    fence: int


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Release the lease: this machine can't lead now, another one may be able to."""


@dataclass(frozen=True, slots=True)
class Notice:
    """Write a log line: event name and fields, see `notices.py`."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


Action = Persist | Send | Answer | Fenced | ReleaseLease | Notice


# --- initial state and settings ---
@dataclass(frozen=True, slots=True)
class Stored:
    """Stored state at the start of a process."""

    log: str  # identity of the log, the same on all machines
    fence: int = 0  # promised fence
    leader: str = ""  # leader to which it was promised
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(LogPoint()))
    batches: tuple[Batch, ...] = ()  # batches after the snapshot's base
    recovering: bool = False  # the folder replaces a lost one


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """Settings, fixed for a process.  Times are seconds of the machine's monotonic clock."""

    name: str
    machines: tuple[str, ...]  # names of all control machines, this one included
    batch_s: float = 0.1  # window in which publications are combined into one batch
    hold_s: float = 0.25  # a fetch without new data is answered after this time
    retry_s: float = 0.2  # first retry delay of a failed request; grows to 8 times this
    timeout_s: float = 2.0  # timeout of a request to another control machine
    # A leader without a majority releases the lease after this time.
    release_lease_after_s: float = 10.0
    stale_after_s: float = 2.8  # staleness bound of the proxies
    drift: float = 0.05  # maximum relative rate error of any clock
    keep_s: float = 3600.0  # committed batches are kept for this time
    keep_bytes: int = 64 * 1024 * 1024  # maximum bytes of kept committed batches
    retention_interval_s: float = 10.0  # time between two removals of expired batches
    max_publications: int = 1024  # uncommitted publications; more are rejected as OVERLOADED
    unix_offset_s: float = 0.0  # Unix time minus the machine's clock, at process start
    poll_hold_s: float = 0.8  # a proxy's poll without new data is answered after this time
    spread_s: float = 0.4  # minimum time between two answers with batches to one proxy
    report_s: float = 0.2  # minimum time between two reports to the leader
    heartbeat_s: float = 0.25  # maximum time between two reports
    delta_bytes: int = 128 * 1024  # a proxy that lacks more bytes gets a snapshot
    # Send rate for a proxy that lacks batches committed more than `stale_after_s` ago.
    catch_up_bytes_per_s: float = 4500.0
    max_sessions: int = SESSIONS_PER_REPORT

    def sessions(self) -> SessionSettings:
        """Returns the settings of the proxies' sessions."""
        return SessionSettings(
            hold_s=self.poll_hold_s,
            spread_s=self.spread_s,
            report_s=self.report_s,
            heartbeat_s=self.heartbeat_s,
            stale_after_s=self.stale_after_s,
            drift=self.drift,
            delta_bytes=self.delta_bytes,
            catch_up_bytes_per_s=self.catch_up_bytes_per_s,
            max_sessions=self.max_sessions,
        )
