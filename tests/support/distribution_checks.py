"""What has to hold for the control machines of a `distribution_cluster.Cluster` at any time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from violetroute.distribution.messages import Batch, LogPoint, Published, PublishStatus
from violetroute.distribution.replica import Replica

if TYPE_CHECKING:
    from tests.support.distribution_cluster import Cluster


ROUNDING_S = 1e-6


@dataclass(frozen=True)
class Committed:
    """A batch that some leader has committed; `fence`: of the first who did."""

    batch: Batch
    at: float
    fence: int


class Broken(AssertionError):
    """A rule does not hold."""


def batches_of(replica: Replica) -> list[Batch]:
    """All that it keeps, committed or not."""
    found: list[Batch] = []
    while more := replica.batches_after(replica.base.position + len(found)):
        found += more
    return found


def check_all(cluster: Cluster) -> None:
    """Broken names the rule that does not hold."""
    check_as_of(cluster)
    check_ages(cluster)
    state = state_of(cluster)
    if state == cluster.checked:
        return
    check_committed(cluster)
    check_publications(cluster)
    check_equal_points(cluster)
    check_leaders(cluster)
    cluster.checked = state


def state_of(cluster: Cluster) -> tuple[object, ...]:
    """What the checks of logs and disks look at; nothing changes a log and leaves this the same."""
    logs = tuple(
        (each.replica.base, each.replica.last, each.replica.commit, each.leading, id(each))
        for each in cluster.machines()
    )
    disks = tuple(id(node.stored) for node in cluster.nodes.values())
    return logs, disks, len(cluster.answers)


def check_committed(cluster: Cluster) -> None:
    """A committed batch never changes; there is one at a position over all machines."""
    for machine in cluster.machines():
        replica = machine.replica
        if replica.commit == 0:
            continue
        for batch in batches_of(replica)[: replica.commit - replica.base.position]:
            known = cluster.committed.get(batch.position)
            if known is None:
                cluster.committed[batch.position] = Committed(batch, cluster.now, replica.fence)
            elif known.batch != batch:
                raise Broken(f"{known.batch} is committed, and {batch} too")


def check_publications(cluster: Cluster) -> None:
    """What was acknowledged is in the log, and on the disks of a majority."""
    for ticket, publish in cluster.published.items():
        answer = cluster.answers.get(ticket)
        if not isinstance(answer, Published) or answer.status != PublishStatus.COMMITTED:
            continue
        known = cluster.committed.get(answer.position)
        if known is None or publish.records[0] not in known.batch.records:
            raise Broken(f"{publish} was acknowledged and is not at {answer.position}")
        if durable_at(cluster, answer.position) < len(cluster.names) // 2 + 1:
            raise Broken(f"{publish} was acknowledged and is not on a majority of the disks")


def durable_at(cluster: Cluster, position: int) -> int:
    """Disks that hold this committed position; a disk that was lost meanwhile counts."""
    known = cluster.committed[position].batch
    disks = [node.stored for node in cluster.nodes.values()]
    return sum(
        disk.recovering or known in disk.batches or disk.snapshot.base.position >= position
        for disk in disks
    )


def check_equal_points(cluster: Cluster) -> None:
    """Logs that have one point in common are equal up to it."""
    seen: dict[LogPoint, LogPoint] = {}
    for machine in cluster.machines():
        replica = machine.replica
        before = replica.base
        for batch in batches_of(replica):
            if seen.setdefault(batch.point, before) != before:
                raise Broken(f"{batch.point} follows {before} and {seen[batch.point]}")
            before = batch.point


def check_leaders(cluster: Cluster) -> None:
    """A leader that appends has everything that was committed before its term."""
    for machine in cluster.machines():
        leadership = machine._leadership
        if leadership is None or not leadership._followers.serving:
            continue
        held = {batch.position: batch for batch in batches_of(machine.replica)}
        for position, known in cluster.committed.items():
            earlier = known.fence < leadership.fence
            kept = position > machine.replica.base.position
            if earlier and kept and held.get(position) != known.batch:
                raise Broken(f"{known.batch} has vanished from the leader's log")


def check_ages(cluster: Cluster) -> None:
    """No earlier leader tells an age that counts from after what a later one allows for."""
    opened: dict[int, float] = {}
    for machine in cluster.machines():
        leadership = machine._leadership
        as_of = None if leadership is None else leadership.as_of(cluster.now)
        if leadership is None or as_of is None:
            continue
        told = cluster.told.get(leadership.fence, as_of)
        cluster.told[leadership.fence] = max(as_of, told)
        opened[leadership.fence] = machine.latest_leader_contact_at
    for fence, contact_at in opened.items():
        for earlier, told in cluster.told.items():
            if earlier < fence and told > contact_at + ROUNDING_S:
                raise Broken(f"{earlier} tells {told}, leader {fence} allows for {contact_at}")


def check_as_of(cluster: Cluster) -> None:
    """What was committed by a leader's `as_of`, by whomever, is committed there."""
    for machine in cluster.machines():
        leadership = machine._leadership
        as_of = None if leadership is None else leadership.as_of(cluster.now)
        if as_of is None:
            continue
        for position, known in cluster.committed.items():
            if known.at < as_of and position > machine.replica.commit:
                raise Broken(f"as of {as_of}: but {known.batch} was committed at {known.at}")
