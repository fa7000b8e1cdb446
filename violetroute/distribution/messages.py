"""Records, the log's batches, and the messages that carry them.  Data only.

All messages are MessagePack arrays (msgspec, `array_like`).  New fields may be added at the end,
with defaults, so that adjacent builds understand each other.  The types bound every length and
number, so decoding a message also bounds the memory that it can make the receiver use.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Self

import msgspec

RECORDS_PER_BATCH = 2048
MAX_KEY_CHARACTERS = 1024  # characters of a record's key
MAX_BODY_BYTES = 16 * 1024  # bytes of a record's body
BATCHES_PER_REPLY = 512
SESSIONS_PER_REPORT = 4096
CONFIGURATION_KEYS = 256  # keys in one snapshot
CONFIGURATION_BYTES = 1024 * 1024  # bytes of the keys and bodies in one snapshot
MESSAGE_BYTES = 4 * 1024 * 1024  # bytes of an encoded request or reply
BATCH_BYTES = 1024 * 1024  # bytes of the records of one batch, which must fit into one reply

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Address = Annotated[str, msgspec.Meta(max_length=64)]  # "HOST:PORT"
Reason = Annotated[str, msgspec.Meta(max_length=300)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Age = Annotated[float, msgspec.Meta(ge=-1.0, le=1e12)]  # ms; negative: unknown
Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


class Topic(IntEnum):
    """The kind of a record.  A proxy skips and logs records with an unknown topic."""

    PURGE = 1  # key: the object's key; body: empty
    CONFIGURATION = 2  # key: a table of the operator's file; body: its TOML text


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base class of all messages."""

    def __deepcopy__(self, memo: object) -> Self:
        """Messages are immutable, so copies of a machine share them."""
        return self


class Record(Message, frozen=True):
    """One change that every proxy must apply.  `topic` is an int so that later topics decode."""

    topic: Annotated[int, msgspec.Meta(ge=0, le=255)]
    key: Annotated[str, msgspec.Meta(max_length=MAX_KEY_CHARACTERS)]
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)] = b""


class LogPoint(Message, frozen=True, order=True):
    """A position in the log and the fence of the leader that wrote it.  (0, 0): empty log.

    Two logs that contain the same point are equal up to it.  Points are ordered by fence first: of
    two logs, the one whose last point is greater has every committed batch that the other has.
    """

    fence: Number = 0
    position: Number = 0


class Batch(Message, frozen=True):
    """The log entry at one position: the records of one batching window, in order.

    The first batch of a leader's term has no records.  By committing it, the leader commits the
    batches that it has adopted from earlier terms.
    """

    position: Number
    fence: Number
    written_ms: Number  # Unix ms at the leader, for display and retention only, never for order
    records: Annotated[tuple[Record, ...], msgspec.Meta(max_length=RECORDS_PER_BATCH)] = ()

    @property
    def point(self) -> LogPoint:
        """Position and fence of the batch."""
        return LogPoint(self.fence, self.position)


class Snapshot(Message, frozen=True):
    """Replaces all batches up to `base`.

    It has no purges: a proxy that applies a snapshot must invalidate everything it cached before.
    `configuration` has the last record of each key.
    """

    base: LogPoint
    configuration: Annotated[tuple[Record, ...], msgspec.Meta(max_length=CONFIGURATION_KEYS)] = ()


# --- between control machines ---
class Destination(Message, frozen=True):
    """The control machine that a request is meant for, and the identity of its log."""

    machine: Name
    log: Annotated[str, msgspec.Meta(max_length=64)]


class Prepare(Message, frozen=True):
    """A leader's first message of a term.  The receiver promises to follow no lower fence.

    `to`: the machine it is meant for; any other refuses it (`destination.py`).
    """

    leader: Name
    fence: Number
    to: Destination | None = None


class Promise(Message, frozen=True):
    """The reply to `Prepare`.

    `granted`: the promise is durable.  `fence`: the highest fence promised, now or earlier.

    `recovering`: this replica lost its disk and does not know what it had promised or acknowledged;
    it does not count towards a quorum.

    `contact_ms`: time since the replica's last contact with a leader (`leader_contact.py`), when it
    wrote this; negative: not given.
    """

    granted: bool
    fence: Number
    last: LogPoint
    commit: Number
    recovering: bool = False
    contact_ms: Age = -1.0


class Fetch(Message, frozen=True):
    """A replica's request for the batches after `last`, which acknowledges `last` as durable.

    The leader holds it until there is new data or the hold time ends.  A candidate sends the same
    message with `copying` to the replica that promised the most recent log, which answers at once.

    `answered`: the number of the last reply from this leader.  It proves that the fetch was written
    after that reply.

    `to`: the machine it is meant for; any other refuses it (`destination.py`).
    """

    replica: Name
    fence: Number  # fence of the leader that the fetch is sent to
    last: LogPoint
    commit: Number  # known to the replica; a change of the leader's commit counts as new data
    recovering: bool = False
    copying: bool = False
    answered: Number = 0
    to: Destination | None = None


class FetchStatus(IntEnum):
    """Status of a `FetchReply`."""

    OK = 0
    NOT_LEADER = 1  # `fence` and `leader` are the highest known; fetch there
    DIVERGED = 2  # truncate the log after `truncate_to` and fetch again
    SNAPSHOT = 3  # the requested batches are no longer kept: start from the snapshot


class FetchReply(Message, frozen=True):
    """Batches that follow the fetch's `last`, in order and without a gap.

    `number`: sequence number of this reply to this replica within the leader's term.  `last`: the
    last position of the sender's log; a recovering replica must have everything up to it.
    """

    status: Annotated[int, msgspec.Meta(ge=0, le=255)]
    fence: Number
    leader: Annotated[str, msgspec.Meta(max_length=64)] = ""
    commit: Number = 0
    batches: Annotated[tuple[Batch, ...], msgspec.Meta(max_length=BATCHES_PER_REPLY)] = ()
    truncate_to: Number = 0
    snapshot: Snapshot | None = None
    number: Number = 0
    last: Number = 0


class SessionState(Message, frozen=True):
    """The session of one proxy process at a control machine."""

    name: Name
    incarnation: Name  # new at every start of the process
    region: Annotated[str, msgspec.Meta(max_length=64)]
    position: Number  # position of the last applied batch
    refused: Annotated[tuple[tuple[Number, Reason], ...], msgspec.Meta(max_length=16)] = ()


class Report(Message, frozen=True):
    """A control machine reports its sessions to the leader: paced on changes, and as heartbeat.

    `number` increases by one with each report of one `incarnation` of the machine.  `full` reports
    include every session, others only those that changed or ended since the report before.

    `running_ms`: uptime of this incarnation.  Shortly before it ended, the previous incarnation may
    have confirmed to proxies that they are fresh, and no machine knows these sessions any more.

    `to`: the machine it is meant for; any other refuses it (`destination.py`).
    """

    replica: Name
    incarnation: Name
    fence: Number
    number: Number
    full: bool
    sessions: Annotated[tuple[SessionState, ...], msgspec.Meta(max_length=SESSIONS_PER_REPORT)] = ()
    ended: Annotated[
        tuple[tuple[Name, Name], ...], msgspec.Meta(max_length=SESSIONS_PER_REPORT)
    ] = ()
    running_ms: Milliseconds = 0.0
    to: Destination | None = None


class ReportReply(Message, frozen=True):
    """`leader`: the sender leads under the report's fence and has committed its first batch.

    The report's sessions are registered then.  The first answer of a session must wait until its
    control machine has committed `commit` itself.  `send_full`: an earlier report is missing.
    """

    leader: bool
    fence: Number
    commit: Number = 0
    age_ms: Age = -1.0
    send_full: bool = False


# --- between a proxy and a control machine ---
class Poll(Message, frozen=True):
    """A proxy's request for the batches after `position`, which acknowledges those up to it.

    The control machine holds it until there is new data or the hold time ends.

    `ends_session`: the last poll of a process that shuts down.  The process never considers itself
    fresh again, so its session is dropped.  The poll is answered at once, without data.
    """

    name: Name
    incarnation: Name
    region: Annotated[str, msgspec.Meta(max_length=64)]
    log: Annotated[str, msgspec.Meta(max_length=64)]  # the log's identity; "" before the first
    position: Number
    refused: Annotated[tuple[tuple[Number, Reason], ...], msgspec.Meta(max_length=16)] = ()
    ends_session: bool = False


class PollStatus(IntEnum):
    """Status of a `PollReply`."""

    OK = 0
    # Too many batches are missing, or the log is another one: invalidate everything and start from
    # the snapshot.
    SNAPSHOT = 1
    BEHIND = 2  # this machine has committed less than the proxy has applied: poll another
    NOT_READY = 3  # the machine has no leader yet or is recovering: poll another


class PollReply(Message, frozen=True):
    """Committed batches that follow the poll's position, in order and without a gap.

    `age_ms`: everything committed this long before the reply is in the log up to `commit`;
    negative: unknown.  See `docs/design/distribution.md`, "In force".
    """

    status: Annotated[int, msgspec.Meta(ge=0, le=255)]
    log: Annotated[str, msgspec.Meta(max_length=64)]
    commit: Number = 0
    age_ms: Age = -1.0
    batches: Annotated[tuple[msgspec.Raw, ...], msgspec.Meta(max_length=BATCHES_PER_REPLY)] = ()
    snapshot: Snapshot | None = None


# --- between an operator's command and a control machine ---
class Publish(Message, frozen=True):
    """Append these records.  If the leader still knows `id`, it repeats the earlier answer."""

    id: Name
    records: Annotated[tuple[Record, ...], msgspec.Meta(max_length=RECORDS_PER_BATCH)]


class PublishStatus(IntEnum):
    """Status of a `Published` reply."""

    COMMITTED = 0  # durable on a majority of the control machines
    NOT_LEADER = 1  # publish at `leader`
    OVERLOADED = 2  # nothing was appended; retry after `retry_ms`
    UNKNOWN = 3  # leadership ended before the commit: it may or may not be in the log
    TOO_LARGE = 4  # exceeds one batch, or with it a snapshot would be too large: nothing appended


class Published(Message, frozen=True):
    """The reply to `Publish`.  `position`: of the batch that has the records."""

    status: Annotated[int, msgspec.Meta(ge=0, le=255)]
    position: Number = 0
    fence: Number = 0
    leader: Annotated[str, msgspec.Meta(max_length=64)] = ""
    retry_ms: Milliseconds = 0.0


class StatusRequest(Message, frozen=True):
    """Requests the replication status: what is in force, and which proxies lag and for how long.

    Every control machine answers it.
    """

    lagging_most: Annotated[int, msgspec.Meta(ge=0, le=4096)] = 100


class Lagging(Message, frozen=True):
    """A proxy that has not applied everything committed, or is known to be stale."""

    name: Name
    incarnation: Name
    region: str
    position: Number
    behind_s: Annotated[float, msgspec.Meta(ge=0.0)]
    stale: bool  # the last answer to it is older than the bound, so it knows that it is stale


class StatusReply(Message, frozen=True):
    """The leader's status is complete; other machines report only `leader` and their own log."""

    replica: str
    leader: str
    fence: Number
    log: str
    last: LogPoint
    commit: Number
    applied: Number  # every live session has applied the log up to here
    in_force: Number  # every proxy has applied the log up to here or knows that it is stale
    sessions: Number
    stale: Number
    lagging: tuple[Lagging, ...] = ()
    refused: tuple[tuple[str, Number, str], ...] = ()  # proxy, position, reason
    replicas: tuple[tuple[str, Number, float], ...] = ()  # name, durable position, s since contact
    recovering: bool = False
