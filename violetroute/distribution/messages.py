"""Records, the log's batches, and the messages that carry them.  Data only; nothing here decides.

All messages are MessagePack arrays (msgspec, `array_like`): fields may be added at the end with
defaults, so that builds which are neighbours understand each other.  Every length and number is
bounded by its type, so decoding a message bounds what it can make the receiver keep.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Self

import msgspec

RECORDS_PER_BATCH = 2048  # records of one batch
MAX_KEY_CHARACTERS = 1024  # characters of a record's key
MAX_BODY_BYTES = 16 * 1024  # bytes of a record's body
BATCHES_PER_REPLY = 512
SESSIONS_PER_REPORT = 4096
CONFIGURATION_KEYS = 256  # of one snapshot
CONFIGURATION_BYTES = 1024 * 1024  # bytes of the keys and bodies of one snapshot
MESSAGE_BYTES = 4 * 1024 * 1024  # bytes of an encoded message, either way
BATCH_BYTES = 1024 * 1024  # bytes of the records of one batch; a reply holds at least one batch

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Address = Annotated[str, msgspec.Meta(max_length=64)]  # "HOST:PORT"
Reason = Annotated[str, msgspec.Meta(max_length=300)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Age = Annotated[float, msgspec.Meta(ge=-1.0, le=1e12)]  # ms; negative: not known
Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


class Topic(IntEnum):
    """What a record is about.  A proxy that does not know a topic skips the record and logs it."""

    PURGE = 1  # key: the object's key; body: empty
    CONFIGURATION = 2  # key: a table of the operator's file; body: its TOML text


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of all messages."""

    def __deepcopy__(self, memo: object) -> Self:
        """Messages never change, so copies of a machine share them."""
        return self


class Record(Message, frozen=True):
    """One change that every proxy has to apply.  `topic` is an int: later topics decode too."""

    topic: Annotated[int, msgspec.Meta(ge=0, le=255)]
    key: Annotated[str, msgspec.Meta(max_length=MAX_KEY_CHARACTERS)]
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)] = b""


class LogPoint(Message, frozen=True, order=True):
    """One position of the log and the fence of the leader that wrote it.  (0, 0): empty log.

    Two logs that hold the same point are equal up to it.  Compared by fence first: of two logs the
    one whose last point is greater has every committed batch that the other has.
    """

    fence: Number = 0
    position: Number = 0


class Batch(Message, frozen=True):
    """What stands at one position of the log: the records of one batching window, in order.

    The first batch of a leader's term has no records: by committing it the leader commits what it
    has adopted from earlier terms.
    """

    position: Number
    fence: Number
    written_ms: Number  # Unix ms at the leader, for people and for retention; never for order
    records: Annotated[tuple[Record, ...], msgspec.Meta(max_length=RECORDS_PER_BATCH)] = ()

    @property
    def point(self) -> LogPoint:
        """Where it stands and under which fence."""
        return LogPoint(self.fence, self.position)


class Snapshot(Message, frozen=True):
    """What stands in for all batches up to `base`.

    Purges are not kept in it: whoever takes a snapshot has to void everything that it cached
    before.  `configuration` has the last record of each key.
    """

    base: LogPoint
    configuration: Annotated[tuple[Record, ...], msgspec.Meta(max_length=CONFIGURATION_KEYS)] = ()


# --- between control machines ---
class Prepare(Message, frozen=True):
    """A leader's first message of a term: promise to follow no lower fence."""

    leader: Name
    fence: Number


class Promise(Message, frozen=True):
    """`granted`: the promise is durable.  `fence`: the highest promised, by this or an earlier one.

    `recovering`: this replica lost its disk and does not know what it had promised or
    acknowledged; it is not counted for a quorum.

    `contact_ms`: how long ago the replica had its last contact with a leader (`leader_contact.py`),
    when it wrote this; negative: not told.
    """

    granted: bool
    fence: Number
    last: LogPoint
    commit: Number
    recovering: bool = False
    contact_ms: Age = -1.0


class Fetch(Message, frozen=True):
    """A replica asks for what comes after `last`; so `last` is acknowledged as durable.

    Held by the leader until there is news or its hold time is over.  A leader-to-be sends the same
    (with `copying`) to the replica that promised the most recent log, and is answered at once.

    `answered`: the number of the last answer that came from this leader.  It proves that the fetch
    was written after that answer.
    """

    replica: Name
    fence: Number  # of the leader that is asked
    last: LogPoint
    commit: Number  # known to the replica: a change of the leader's commit is news too
    recovering: bool = False
    copying: bool = False
    answered: Number = 0


class FetchStatus(IntEnum):
    """How a fetch was answered."""

    OK = 0
    NOT_LEADER = 1  # `fence` and `leader` are the highest known; ask there
    DIVERGED = 2  # drop everything after `truncate_to` and ask again
    SNAPSHOT = 3  # the batches asked for are not kept any more: start from the snapshot


class FetchReply(Message, frozen=True):
    """Batches that follow the fetch's `last`, in order and without a gap.

    `number`: of this answer to this replica, within the leader's term.  `last`: the last position
    of the answering log; a replica that recovers has to hold everything up to it.
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
    """One proxy process as a control machine knows it."""

    name: Name
    incarnation: Name  # new with every start of the process
    region: Annotated[str, msgspec.Meta(max_length=64)]
    position: Number  # applied
    refused: Annotated[tuple[tuple[Number, Reason], ...], msgspec.Meta(max_length=16)] = ()


class Report(Message, frozen=True):
    """A control machine tells the leader of its proxies.  Sent on change, paced, and as heartbeat.

    `number` rises by one with each report of one `incarnation` of the machine; `full` reports name
    every session, others only those that changed or ended since the report before.

    `running_ms`: how long this incarnation has been running.  The one before it may have told
    proxies that they are fresh shortly before it ended, and nobody knows these sessions any more.
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


class ReportReply(Message, frozen=True):
    """`leader`: it leads under the report's fence and its first batch is committed.

    Sessions of the report are registered then.  A session's first answer has to wait until its
    control machine has committed `commit` itself.  `send_full`: a report before it is missing.
    """

    leader: bool
    fence: Number
    commit: Number = 0
    age_ms: Age = -1.0
    send_full: bool = False


# --- between a proxy and a control machine ---
class Poll(Message, frozen=True):
    """A proxy asks for what comes after `position`; so everything up to it is applied there.

    Held by the control machine until there is news or the hold time is over.

    `ends_session`: the last poll of a process that shuts down.  It will never again believe itself
    fresh, so its session is dropped; answered at once, with nothing.
    """

    name: Name
    incarnation: Name
    region: Annotated[str, msgspec.Meta(max_length=64)]
    log: Annotated[str, msgspec.Meta(max_length=64)]  # the log's identity; "" before the first
    position: Number
    refused: Annotated[tuple[tuple[Number, Reason], ...], msgspec.Meta(max_length=16)] = ()
    ends_session: bool = False


class PollStatus(IntEnum):
    """How a poll was answered."""

    OK = 0
    SNAPSHOT = 1  # the gap is too long, or another log: void all, start from the snapshot
    BEHIND = 2  # this machine has committed less than the proxy has applied: ask another
    NOT_READY = 3  # the machine has no leader yet or is recovering: ask another


class PollReply(Message, frozen=True):
    """Committed batches that follow the poll's position, in order and without a gap.

    `age_ms`: everything that was committed so long before the answer is in the log up to `commit`;
    negative: not known.  See `docs/design/distribution.md`, "In force".
    """

    status: Annotated[int, msgspec.Meta(ge=0, le=255)]
    log: Annotated[str, msgspec.Meta(max_length=64)]
    commit: Number = 0
    age_ms: Age = -1.0
    batches: Annotated[tuple[msgspec.Raw, ...], msgspec.Meta(max_length=BATCHES_PER_REPLY)] = ()
    snapshot: Snapshot | None = None


# --- between an operator's command and a control machine ---
class Publish(Message, frozen=True):
    """Append these records.  A repeat of `id` that the leader still knows is answered the same."""

    id: Name
    records: Annotated[tuple[Record, ...], msgspec.Meta(max_length=RECORDS_PER_BATCH)]


class PublishStatus(IntEnum):
    """How a publication was answered."""

    COMMITTED = 0  # durable on a majority of the control machines
    NOT_LEADER = 1  # ask `leader`
    OVERLOADED = 2  # nothing was appended; again after `retry_ms`
    UNKNOWN = 3  # leadership ended before the commit: it may or may not be in the log
    TOO_LARGE = 4  # more than one batch or, with it, a snapshot can hold: nothing was appended


class Published(Message, frozen=True):
    """`position`: of the batch that has the records."""

    status: Annotated[int, msgspec.Meta(ge=0, le=255)]
    position: Number = 0
    fence: Number = 0
    leader: Annotated[str, msgspec.Meta(max_length=64)] = ""
    retry_ms: Milliseconds = 0.0


class StatusRequest(Message, frozen=True):
    """What is in force, where not, who lags, since when.  Answered by every machine."""

    lagging_most: Annotated[int, msgspec.Meta(ge=0, le=4096)] = 100


class Lagging(Message, frozen=True):
    """A proxy that has not applied everything that is committed, or is known to be stale."""

    name: Name
    incarnation: Name
    region: str
    position: Number
    behind_s: Annotated[float, msgspec.Meta(ge=0.0)]
    stale: bool  # its last answer is older than the bound: the proxy knows it and says so


class StatusReply(Message, frozen=True):
    """The leader's view is complete; another machine's says `leader` and its own log only."""

    replica: str
    leader: str
    fence: Number
    log: str
    last: LogPoint
    commit: Number
    applied: Number  # every live session has applied everything up to here
    in_force: Number  # up to here every proxy has applied it or knows that it is stale
    sessions: Number
    stale: Number
    lagging: tuple[Lagging, ...] = ()
    refused: tuple[tuple[str, Number, str], ...] = ()  # proxy, position, reason
    replicas: tuple[tuple[str, Number, float], ...] = ()  # name, durable position, s since heard
    recovering: bool = False
