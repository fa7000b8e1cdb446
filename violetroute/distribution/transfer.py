"""Replicates batches from one log to another: builds the reply to a fetch and applies it.  Pure."""

from __future__ import annotations

from .actions import Change
from .messages import Fetch, FetchReply, FetchStatus
from .replica import LogConflict, Replica


def batches_for(replica: Replica, fetch: Fetch, number: int = 0) -> FetchReply:
    """The reply to a fetch.

    It has the batches that follow the fetch's `last`, or says where the sender must truncate its
    log, or has a snapshot if the common part of the logs is no longer kept.
    """
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
    """Apply the reply of a leader, or of the replica that is copied, to `fetch`.

    Raises LogConflict if the reply is malformed or contradicts what is committed here.
    """
    if replica.last != fetch.last:
        raise LogConflict(f"the log ends at {replica.last}, no longer at {fetch.last}")
    if reply.status == FetchStatus.SNAPSHOT:
        if reply.snapshot is None:
            raise LogConflict("the reply has no snapshot")
        return replica.install(reply.snapshot)
    if reply.status == FetchStatus.DIVERGED:
        if reply.truncate_to >= replica.last.position:
            raise LogConflict(f"nothing to truncate after {reply.truncate_to}")
        return replica.truncate_after(reply.truncate_to)
    if reply.status != FetchStatus.OK:
        raise LogConflict(f"unexpected status {reply.status}")
    changes = replica.append(reply.batches)
    replica.commit_to(min(reply.commit, replica.last.position))
    return changes
