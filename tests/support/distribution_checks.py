"""Rules that hold at any time for the machines of a `distribution_cluster.Cluster`."""

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
    """A committed batch; `at` and `fence`: time and fence of the first leader to commit it."""

    batch: Batch
    at: float
    fence: int


class RuleViolated(AssertionError):
    """A rule is violated; the message names the rule and the violation."""


def batches_of(replica: Replica) -> list[Batch]:
    """All batches that a replica keeps, committed or not."""
    batches: list[Batch] = []
    while next_batches := replica.batches_after(replica.base.position + len(batches)):
        batches += next_batches
    return batches


def check_all(cluster: Cluster) -> None:
    """Check all rules; those of logs and disks only if these have changed.  Raises RuleViolated."""
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
    """A value that changes with each change of a log, a disk or the answers."""
    logs = tuple(
        (each.replica.base, each.replica.last, each.replica.commit, each.leading, id(each))
        for each in cluster.machines()
    )
    disks = tuple(id(node.stored) for node in cluster.nodes.values())
    return logs, disks, len(cluster.answers)


def check_committed(cluster: Cluster) -> None:
    """All machines have the same committed batch at a position, and it never changes."""
    for machine in cluster.machines():
        replica = machine.replica
        if replica.commit == 0:
            continue
        for batch in batches_of(replica)[: replica.commit - replica.base.position]:
            entry = cluster.committed.get(batch.position)
            if entry is None:
                cluster.committed[batch.position] = Committed(batch, cluster.now, replica.fence)
            elif entry.batch != batch:
                raise RuleViolated(f"{entry.batch} is committed, and {batch} too")


def check_publications(cluster: Cluster) -> None:
    """An acknowledged publication is in the log, and on the disks of a majority."""
    for ticket, publish in cluster.published.items():
        answer = cluster.answers.get(ticket)
        if not isinstance(answer, Published) or answer.status != PublishStatus.COMMITTED:
            continue
        entry = cluster.committed.get(answer.position)
        if entry is None or publish.records[0] not in entry.batch.records:
            raise RuleViolated(f"{publish} was acknowledged and is not at {answer.position}")
        if durable_at(cluster, answer.position) < len(cluster.names) // 2 + 1:
            raise RuleViolated(f"{publish} was acknowledged and is not on a majority of the disks")


def durable_at(cluster: Cluster, position: int) -> int:
    """The number of disks that stored a committed position, including disks lost since then."""
    batch = cluster.committed[position].batch
    disks = [node.stored for node in cluster.nodes.values()]
    return sum(
        disk.recovering or batch in disk.batches or disk.snapshot.base.position >= position
        for disk in disks
    )


def check_equal_points(cluster: Cluster) -> None:
    """Logs that have a point in common are equal up to it."""
    predecessors: dict[LogPoint, LogPoint] = {}
    for machine in cluster.machines():
        replica = machine.replica
        previous = replica.base
        for batch in batches_of(replica):
            if predecessors.setdefault(batch.point, previous) != previous:
                raise RuleViolated(
                    f"{batch.point} follows {previous} and {predecessors[batch.point]}"
                )
            previous = batch.point


def check_leaders(cluster: Cluster) -> None:
    """A leader that appends has all batches that were committed before its term."""
    for machine in cluster.machines():
        leadership = machine._leadership
        if leadership is None or not leadership._followers.serving:
            continue
        log = {batch.position: batch for batch in batches_of(machine.replica)}
        for position, entry in cluster.committed.items():
            earlier = entry.fence < leadership.fence
            kept = position > machine.replica.base.position
            if earlier and kept and log.get(position) != entry.batch:
                raise RuleViolated(f"{entry.batch} is missing in the leader's log")


def check_ages(cluster: Cluster) -> None:
    """No leader reports an `as_of` after the leader contact that a later leader assumes for it.

    A later leader relies on `latest_leader_contact_at` as an upper bound.
    """
    contact_times: dict[int, float] = {}
    for machine in cluster.machines():
        leadership = machine._leadership
        as_of = None if leadership is None else leadership.as_of(cluster.now)
        if leadership is None or as_of is None:
            continue
        latest_as_of = cluster.latest_as_of.get(leadership.fence, as_of)
        cluster.latest_as_of[leadership.fence] = max(as_of, latest_as_of)
        contact_times[leadership.fence] = machine.latest_leader_contact_at
    for fence, contact_at in contact_times.items():
        for earlier, latest_as_of in cluster.latest_as_of.items():
            if earlier < fence and latest_as_of > contact_at + ROUNDING_S:
                raise RuleViolated(
                    f"leader {earlier} reports as of {latest_as_of}, "
                    f"leader {fence} assumes {contact_at} at most"
                )


def check_as_of(cluster: Cluster) -> None:
    """A batch that any leader committed before a leader's `as_of` is committed at that leader."""
    for machine in cluster.machines():
        leadership = machine._leadership
        as_of = None if leadership is None else leadership.as_of(cluster.now)
        if as_of is None:
            continue
        for position, entry in cluster.committed.items():
            if entry.at < as_of and position > machine.replica.commit:
                raise RuleViolated(
                    f"as of {as_of}, but {entry.batch} was committed at {entry.at} elsewhere"
                )
