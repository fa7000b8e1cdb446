"""The object that `limebridge control status --json` prints.

Messages between machines are encoded as arrays.  This object has named fields, which stay the same
when the messages change.
"""

from __future__ import annotations

import msgspec

from violetroute.distribution.messages import StatusReply


class LaggingProxy(msgspec.Struct, frozen=True):
    """A proxy that has not applied all committed records, or that is stale."""

    name: str
    incarnation: str
    region: str
    position: int
    behind_s: float
    stale: bool


class Refusal(msgspec.Struct, frozen=True):
    """A record that a proxy refused to apply, and the proxy's reason."""

    name: str
    position: int
    reason: str


class Replica(msgspec.Struct, frozen=True):
    """A control machine as the leader knows it: persisted position, seconds since its last poll."""

    name: str
    position: int
    heard_s: float


class StatusObject(msgspec.Struct, frozen=True):
    """The status that one machine reports; only the leader's is complete."""

    replica: str
    leader: str
    fence: int
    log: str
    last: int
    commit: int
    applied: int
    in_force: int
    sessions: int
    stale: int
    lagging: tuple[LaggingProxy, ...]
    refused: tuple[Refusal, ...]
    replicas: tuple[Replica, ...]
    recovering: bool


def status_object(reply: StatusReply) -> StatusObject:
    """Converts a status reply into the object with named fields."""
    return StatusObject(
        replica=reply.replica,
        leader=reply.leader,
        fence=reply.fence,
        log=reply.log,
        last=reply.last.position,
        commit=reply.commit,
        applied=reply.applied,
        in_force=reply.in_force,
        sessions=reply.sessions,
        stale=reply.stale,
        lagging=tuple(
            msgspec.convert(each, LaggingProxy, from_attributes=True) for each in reply.lagging
        ),
        refused=tuple(Refusal(*each) for each in reply.refused),
        replicas=tuple(
            Replica(name, position, round(heard_s, 3)) for name, position, heard_s in reply.replicas
        ),
        recovering=reply.recovering,
    )
