"""How batches go from one log to another: the answer to a fetch, and its application.  Pure."""

from __future__ import annotations

from .actions import Change
from .messages import Fetch, FetchReply, FetchStatus
from .replica import LogConflict, Replica


def batches_for(replica: Replica, fetch: Fetch, number: int = 0) -> FetchReply:
    """What follows the fetch's `last` in this log, or from where its sender has to start again."""
    status = FetchStatus.OK
    batches = None
    truncate_to = 0
    if replica.contains(fetch.last):
        batches = replica.batches_after(fetch.last.position)
    elif (common := replica.common_prefix_end(fetch.last)) is not None:
        status, truncate_to = FetchStatus.DIVERGED, common
    else:
        status = FetchStatus.SNAPSHOT
    return FetchReply(
        status,
        replica.fence,
        leader=replica.leader,
        commit=replica.commit,
        batches=tuple(batches or ()),
        truncate_to=truncate_to,
        snapshot=replica.snapshot() if status == FetchStatus.SNAPSHOT else None,
        number=number,
        last=replica.last.position,
    )


def apply_reply(replica: Replica, fetch: Fetch, reply: FetchReply) -> tuple[Change, ...]:
    """Take over what a leader (or the source of a copy) answered to `fetch`.

    LogConflict for a reply that can't be applied: malformed, or against what is committed here.
    """
    if replica.last != fetch.last:
        raise LogConflict(f"the log ends with {replica.last} and no more with {fetch.last}")
    if reply.status == FetchStatus.SNAPSHOT:
        if reply.snapshot is None:
            raise LogConflict("the snapshot is missing")
        return replica.install(reply.snapshot)
    if reply.status == FetchStatus.DIVERGED:
        if reply.truncate_to >= replica.last.position:
            raise LogConflict(f"nothing to drop after {reply.truncate_to}")
        return replica.truncate_after(reply.truncate_to)
    if reply.status != FetchStatus.OK:
        raise LogConflict(f"status {reply.status} has no batches")
    changes = replica.append(reply.batches)
    replica.commit_to(min(reply.commit, replica.last.position))
    return changes
