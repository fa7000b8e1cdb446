"""What one control machine asks its surroundings to do, and what it is started with.  Data only.

`Machine` decides; sockets, disk, clock and lease belong to `control.py` and to the test kit.  Each
`Persist` and each `Send` has a ticket of its own and is answered exactly once with it.  The ticket
of an `Answer` is the one under which the request came in.
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


# --- changes of what is stored ---
@dataclass(frozen=True, slots=True)
class SetPromise:
    """Follow no leader with a lower fence; under this fence only `leader` ("": not known yet)."""

    fence: int
    leader: str


@dataclass(frozen=True, slots=True)
class AppendBatches:
    """Batches that follow the end of the log, in order and without a gap."""

    batches: tuple[Batch, ...]


@dataclass(frozen=True, slots=True)
class TruncateAfter:
    """Drop all batches behind this position; never a committed one."""

    position: int


@dataclass(frozen=True, slots=True)
class SetBase:
    """Drop all batches up to the snapshot's base.  Beyond the end: the log is empty from there."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class SetRecovering:
    """False: this replica has recovered what a lost disk held, and counts for a quorum again."""

    recovering: bool


Change = SetPromise | AppendBatches | TruncateAfter | SetBase | SetRecovering


# --- actions ---
@dataclass(frozen=True, slots=True)
class Persist:
    """Store the changes in order and durably, then call `Machine.persisted(now, ticket)`.

    Several are stored in the order in which they were emitted.  A crash may lose any number of the
    last ones that were not reported as persisted; of one of them no part, a part, or all.
    """

    ticket: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to the control machine `to`, then call `Machine.replied` with the reply.

    None is the reply when there was none within `timeout_s`.
    """

    ticket: int
    to: str
    message: Request
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Answer:
    """The response to the request that came in under `ticket`."""

    ticket: int
    message: Response


@dataclass(frozen=True, slots=True)
class Fenced:
    """This machine's term is over: a leader with the higher `fence` exists.

    The lease keeper takes it as the floor of its next term.
    """

    fence: int


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Give the lease back: this machine can't lead now, another one may be able to."""


@dataclass(frozen=True, slots=True)
class Notice:
    """One line of the log."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


Action = Persist | Send | Answer | Fenced | ReleaseLease | Notice


# --- what a machine is started with ---
@dataclass(frozen=True, slots=True)
class Stored:
    """What the storage holds at the start of a process."""

    log: str  # identity of the log, the same on all machines
    fence: int = 0  # promised
    leader: str = ""  # to whom
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(LogPoint()))
    batches: tuple[Batch, ...] = ()  # those that follow the snapshot's base
    recovering: bool = False  # the disk is a replacement of a lost one


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """Fixed for the life of a process.  Times in seconds of the machine's own monotonic clock."""

    name: str
    machines: tuple[str, ...]  # names of all control machines, this one included
    batch_s: float = 0.1  # publications of one window become one batch
    hold_s: float = 0.25  # a fetch without news is answered after this time
    retry_s: float = 0.2  # first delay before a failed request is repeated; doubled up to 8 times
    timeout_s: float = 2.0  # of a request to another control machine
    release_lease_after_s: float = (
        10.0  # a leader without a majority gives the lease back after this time
    )
    stale_after_s: float = 2.8
    drift: float = 0.05  # most that two clocks differ in rate
    keep_s: float = 3600.0  # committed batches are kept for this time
    keep_bytes: int = 64 * 1024 * 1024  # and at most this many bytes of them
    retention_interval_s: float = (
        10.0  # between two looks for batches that need not be kept any more
    )
    max_publications: int = 1024  # that wait for their commit; beyond these: OVERLOADED
    unix_offset_s: float = 0.0  # Unix time less the machine's clock at the start of the process
    poll_hold_s: float = 0.8  # a proxy's poll without news is answered after this time
    spread_s: float = 0.4  # least time between two answers with batches to one proxy
    report_s: float = 0.2  # least time between two reports to the leader
    heartbeat_s: float = 0.25  # most time between two reports
    delta_bytes: int = 128 * 1024  # a proxy that lacks more gets a snapshot
    catch_up_bytes_per_s: float = 4500.0  # for who lacks what was committed `stale_after_s` ago
    max_sessions: int = SESSIONS_PER_REPORT

    def sessions(self) -> SessionSettings:
        """The part of them that concerns the proxies' sessions."""
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
