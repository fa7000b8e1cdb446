"""Unit tests of the replicated log, publications and leaders of control machines."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import replace

import msgspec
import pytest

from tests.support.distribution_cluster import Cluster, purge
from violetroute.distribution.actions import (
    Answer,
    MachineSettings,
    Persist,
    ReleaseLease,
    Send,
    Stored,
)
from violetroute.distribution.machine import Machine
from violetroute.distribution.messages import (
    BATCH_BYTES,
    CONFIGURATION_KEYS,
    MAX_BODY_BYTES,
    Batch,
    Fetch,
    FetchReply,
    FetchStatus,
    LogPoint,
    Poll,
    PollReply,
    PollStatus,
    Prepare,
    Promise,
    Publish,
    Published,
    PublishStatus,
    Record,
    Report,
    ReportReply,
    Snapshot,
    StatusReply,
    StatusRequest,
    Topic,
)
from violetroute.distribution.publications import MAX_REMEMBERED_IDS
from violetroute.distribution.replica import LogConflict, Replica

NAMES = ("m0", "m1", "m2")


def batches(*fences: int) -> tuple[Batch, ...]:
    """Returns consecutive batches with these fences, from position 1."""
    return tuple(Batch(place + 1, fence, 0) for place, fence in enumerate(fences))


def replica(*fences: int, promised: int = 9, commit: int = 0) -> Replica:
    log = Replica(Stored("log-1", promised, "m0", batches=batches(*fences)))
    log.commit_to(commit)
    return log


def led() -> Cluster:
    cluster = Cluster(3)
    cluster.lead("m0")
    cluster.run(0.6)
    return cluster


def answer(cluster: Cluster, ticket: int) -> Published:
    found = cluster.answers[ticket]
    assert isinstance(found, Published)
    return found


# --- the log of one machine ---
def test_promised_fence_never_decreases_and_has_one_leader() -> None:
    """A store that lost data may issue one fence to two machines; only the first is followed."""
    log = replica(promised=3)
    assert not log.may_promise(2, "m0")
    assert not log.may_promise(3, "m1")
    assert log.promise(3, "m0") == ()
    assert len(log.promise(4, "")) == 1  # the fence is adopted before its leader is known
    assert log.may_promise(4, "m2")
    with pytest.raises(LogConflict):
        log.promise(3, "m0")


def test_committed_batch_is_never_truncated() -> None:
    log = replica(1, 1, 2, commit=2)
    with pytest.raises(LogConflict):
        log.truncate_after(1)
    log.truncate_after(2)
    assert log.last == LogPoint(1, 2)


def test_append_refuses_gaps_and_wrong_fences() -> None:
    """A gap, a decreasing fence and one above the promise would violate the order of the log."""
    log = replica(1, 2, promised=3)
    for batch in (Batch(4, 2, 0), Batch(3, 1, 0), Batch(3, 4, 0), Batch(2, 2, 0)):
        with pytest.raises(LogConflict):
            log.append((batch,))
    assert log.last == LogPoint(2, 2)


def test_truncated_batch_does_not_become_durable_by_an_earlier_write() -> None:
    log = replica(1)
    log.append((Batch(2, 1, 0), Batch(3, 1, 0)))
    log.persist_started(1)
    log.truncate_after(2)
    log.persist_started(2)
    log.append((Batch(3, 2, 0),))
    log.persist_started(3)
    log.persisted(1)
    assert log.durable == 2 and not log.synced
    log.persisted(3)
    assert log.durable == 3 and log.synced


@pytest.mark.parametrize(
    ("leader", "last", "common"),
    [
        ((1, 1, 3, 3), LogPoint(2, 4), 2),  # the other log has no batch of fence 3
        ((1, 1, 2, 3), LogPoint(2, 5), 3),  # the batch of fence 2 may be common
        ((1, 1), LogPoint(1, 4), 2),
        ((3, 3), LogPoint(2, 2), 0),
        ((1, 2, 2), LogPoint(1, 3), 1),
    ],
)
def test_diverged_log_is_truncated_to_the_possible_common_prefix(
    leader: tuple[int, ...], last: LogPoint, common: int
) -> None:
    assert replica(*leader).common_prefix_end(last) == common


def test_retention_drops_committed_batches_and_keeps_configuration() -> None:
    first = Batch(1, 1, 1000, (Record(Topic.CONFIGURATION, "a", b"1"), purge("p")))
    second = Batch(2, 1, 2000, (Record(Topic.CONFIGURATION, "a", b"2"),))
    third = Batch(3, 1, 3000)
    log = Replica(Stored("log-1", 1, "m0", batches=(first, second, third)))
    assert log.retain(10_000, 10**9) == ()
    log.commit_to(2)
    log.retain(10_000, 10**9)
    assert log.snapshot() == Snapshot(LogPoint(1, 2), (Record(Topic.CONFIGURATION, "a", b"2"),))
    assert log.after(1, 10**6) is None
    assert log.last == LogPoint(1, 3) and log.contains(LogPoint(1, 2))


def test_snapshot_before_the_commit_position_is_refused() -> None:
    log = replica(1, 1, 1, commit=2)
    with pytest.raises(LogConflict):
        log.install(Snapshot(LogPoint(1, 2)))
    log.install(Snapshot(LogPoint(5, 7)))
    assert (log.commit, log.last) == (7, LogPoint(5, 7))


def test_only_committed_batches_are_returned_for_proxies() -> None:
    log = replica(1, 1, 1, commit=2)
    assert len(log.after(0, 10**6) or ()) == 2
    assert len(log.after(0, 1) or ()) == 1  # at least one
    assert log.after(2, 10**6) == []


class CountingEntries(list[object]):
    """A log's entries; counts the entries read."""

    reads = 0

    def __getitem__(self, key: object) -> object:  # type: ignore[override]
        found = super().__getitem__(key)  # type: ignore[call-overload]
        self.reads += len(found) if isinstance(key, slice) else 1
        return found

    def __iter__(self) -> Iterator[object]:
        for entry in super().__iter__():
            self.reads += 1
            yield entry


@pytest.mark.parametrize("kept", [100, 10_000])
def test_commit_reads_only_new_entries(kept: int) -> None:
    log = replica(*([1] * kept), commit=kept)
    entries = log._entries = CountingEntries(log._entries)  # type: ignore[assignment]
    log.append((Batch(kept + 1, 1, 0),))
    log.commit_to(kept + 1)
    assert log.snapshot_at_commit() == Snapshot(LogPoint(1, kept + 1))
    assert (log.bytes_after(0) or 0) > kept
    assert log.retain(0, 10**9) == ()
    assert entries.reads < 20  # type: ignore[attr-defined]


def test_incremental_sizes_and_snapshots_equal_a_full_count() -> None:
    """Random appends, truncations, commits, snapshots and retention, compared with a full count."""
    for seed in range(30):
        chosen = random.Random(seed)
        log = Replica(Stored("log-1", 99, "m0"))
        expected: dict[int, Batch] = {}
        configuration: dict[str, Record] = {}
        base = 0
        for step in range(120):
            kind = chosen.choice(("append", "append", "commit", "truncate", "retain", "install"))
            end = log.last.position
            if kind == "append":
                key = f"k{chosen.randrange(5)}"
                topic = chosen.choice((Topic.PURGE, Topic.CONFIGURATION))
                record = Record(topic, key, b"x" * chosen.randrange(50))
                expected[end + 1] = Batch(end + 1, 1, step, (record,))
                log.append((expected[end + 1],))
            elif kind == "commit":
                before, to = log.commit, chosen.randint(log.commit, end)
                log.commit_to(to)
                records = [each for at in range(before, to) for each in expected[at + 1].records]
                configuration.update({r.key: r for r in records if r.topic == Topic.CONFIGURATION})
            elif kind == "truncate":
                log.truncate_after(chosen.randint(log.commit, end))
            elif kind == "retain":
                log.retain(step - 20, chosen.randint(100, 1000))
                base = log.base.position
            elif chosen.random() < 0.1:
                base = end + 5
                configuration = {"a": Record(Topic.CONFIGURATION, "a", b"1")}
                log.install(Snapshot(LogPoint(1, base), tuple(configuration.values())))
            assert log.snapshot_at_commit().base.position == log.commit
            assert {r.key: r for r in log.snapshot_at_commit().configuration} == configuration
            for position in range(base, log.commit + 1):
                lacking = [expected[at] for at in range(position + 1, log.commit + 1)]
                assert log.bytes_after(position) == sum(map(size_of, lacking))
            assert log.bytes_after(log.commit + 3) == 0
            assert log.bytes_after(base - 1) is None


def size_of(batch: Batch) -> int:
    return len(msgspec.msgpack.encode(batch))


# --- publications ---
def test_publications_of_one_window_form_one_batch() -> None:
    cluster = led()
    tickets = [cluster.publish("m0", f"k{number}") for number in range(5)]
    cluster.run(0.6)
    assert {answer(cluster, ticket).position for ticket in tickets} == {2}
    assert {answer(cluster, ticket).status for ticket in tickets} == {PublishStatus.COMMITTED}


def test_a_repeat_is_answered_the_same() -> None:
    cluster = led()
    first = cluster.publish("m0", "k")
    cluster.run(0.6)
    again = cluster.publish("m0", "k")
    assert answer(cluster, again) == answer(cluster, first)
    assert cluster.machine("m0").replica.last.position == 2


def test_retry_of_pending_publication_replaces_the_first_caller() -> None:
    cluster = led()
    first, second = cluster.publish("m0", "k"), cluster.publish("m0", "k")
    assert answer(cluster, first).status == PublishStatus.UNKNOWN
    cluster.run(0.6)
    assert answer(cluster, second).status == PublishStatus.COMMITTED
    assert cluster.machine("m0").replica.last.position == 2


def test_too_many_and_too_large_publications_are_refused() -> None:
    cluster = Cluster(3, max_publications=2)
    cluster.lead("m0")
    large = (Record(Topic.PURGE, "k", b"x" * MAX_BODY_BYTES),) * (BATCH_BYTES // MAX_BODY_BYTES + 1)
    refused = cluster.request("m0", Publish("large", large))
    assert answer(cluster, refused).status == PublishStatus.TOO_LARGE
    tickets = [cluster.publish("m0", f"k{number}") for number in range(3)]
    assert answer(cluster, tickets[2]).status == PublishStatus.OVERLOADED
    cluster.run(1.0)
    assert answer(cluster, tickets[1]).status == PublishStatus.COMMITTED


def test_configuration_beyond_snapshot_limits_is_refused() -> None:
    cluster = led()
    for number in range(CONFIGURATION_KEYS + 1):
        record = Record(Topic.CONFIGURATION, f"table{number}", b"")
        last = cluster.request("m0", Publish(f"id{number}", (record,)))
    assert answer(cluster, last).status == PublishStatus.TOO_LARGE
    known = Record(Topic.CONFIGURATION, "table0", b"x")
    again = cluster.request("m0", Publish("again", (known,)))
    cluster.run(1.0)
    assert answer(cluster, again).status == PublishStatus.COMMITTED


def test_at_the_end_of_a_term_callers_are_told_what_is_known() -> None:
    """The next leader may commit appended publications, and never commits others."""
    cluster = led()
    cluster.cut = frozenset(("m0",))
    appended = cluster.publish("m0", "a")
    cluster.pass_time(0.2)
    waiting = cluster.publish("m0", "b")
    cluster.step_down("m0")
    assert answer(cluster, appended).status == PublishStatus.UNKNOWN
    assert answer(cluster, waiting).status == PublishStatus.NOT_LEADER
    assert MAX_REMEMBERED_IDS > 1


# --- leaders ---
def test_a_late_leader_changes_nothing() -> None:
    cluster = led()
    cluster.nodes["m0"].paused = True
    cluster.lead("m1")
    cluster.run(3.0)
    known = dict(cluster.committed)
    cluster.nodes["m0"].paused = False
    late = cluster.publish("m0", "late")
    cluster.run(3.0)
    assert answer(cluster, late).status != PublishStatus.COMMITTED
    assert known.items() <= cluster.committed.items()
    assert cluster.machine("m0").leader == "m1"
    assert ("m0", 2) in cluster.fenced


def test_leader_without_a_majority_releases_its_lease() -> None:
    cluster = led()
    cluster.cut = frozenset(("m0",))
    cluster.run(9.0)
    assert cluster.released == []
    cluster.run(2.0)
    assert cluster.released == ["m0"]
    assert not cluster.machine("m0").leading


def test_lost_promise_is_not_requested_again_after_a_fetch() -> None:
    """A fetch shows that the replica follows, so `Prepare` is not repeated."""
    cluster = Cluster(3)
    cluster.lead("m0")
    promise = cluster.intercept("m0", Promise)
    cluster.run(0.6)
    cluster.deliver_intercepted(replace(promise, message=None))
    cluster.run(1.0)
    assert [machine.replica.commit for machine in cluster.machines()] == [1, 1, 1]


def test_lead_with_a_fence_that_is_not_higher_is_refused() -> None:
    cluster = led()
    cluster.step_down("m0")
    cluster.lead("m0", fence=1)
    assert cluster.fenced == [("m0", 1)] and not cluster.machine("m0").leading


def test_recovering_machine_releases_the_lease() -> None:
    machine = Machine(MachineSettings("m0", NAMES), Stored("log-1", recovering=True), Even(), 0.0)
    assert ReleaseLease() in machine.lead(0.0, 5)
    assert not machine.leading


class Even(random.Random):
    """Random source without jitter."""

    def random(self) -> float:
        return 0.0


def test_a_single_machine_commits_alone() -> None:
    cluster = Cluster(1)
    cluster.lead("m0")
    ticket = cluster.publish("m0", "k")
    cluster.run(1.0)
    assert answer(cluster, ticket).status == PublishStatus.COMMITTED


def test_follower_gets_a_snapshot_of_dropped_batches() -> None:
    cluster = Cluster(3, keep_s=2.0, retention_interval_s=1.0)
    cluster.lead("m0")
    cluster.run(0.6)
    cluster.crash("m2")
    for number in range(4):
        cluster.publish("m0", f"k{number}")
        cluster.run(0.4)
    cluster.run(3.5)
    assert cluster.machine("m0").replica.base.position == 5
    cluster.start("m2")
    cluster.publish("m0", "last")
    cluster.run(2.0)
    assert cluster.machine("m2").replica.base.position == 5
    assert cluster.machine("m2").replica.commit == 6


def test_followers_answer_requests_that_only_a_leader_serves() -> None:
    cluster = led()
    fetch = cluster.request("m1", Fetch("m2", 1, LogPoint(), 0))
    published = cluster.publish("m1", "k")
    report = cluster.request("m1", Report("m2", "i", 1, 1, True))
    status = cluster.request("m1", StatusRequest())
    refused = cluster.answers[fetch]
    assert isinstance(refused, FetchReply)
    assert (refused.status, refused.leader) == (FetchStatus.NOT_LEADER, "m0")
    assert answer(cluster, published).leader == "m0"
    assert cluster.answers[report] == ReportReply(False, 1)
    found = cluster.answers[status]
    assert isinstance(found, StatusReply)
    assert (found.leader, found.commit, found.log) == ("m0", 1, "log-1")


def test_messages_of_unknown_machines_change_nothing() -> None:
    cluster = led()
    before = cluster.machine("m1").replica.key()
    for message in (Prepare("x", 99), Prepare("m1", 99), Fetch("x", 99, LogPoint(), 0)):
        ticket = cluster.request("m1", message)
        found = cluster.answers[ticket]
        assert isinstance(found, Promise | FetchReply)
        assert not getattr(found, "granted", False)
    assert cluster.machine("m1").replica.key() == before


def test_promise_and_acknowledgement_wait_for_durability() -> None:
    machine = Machine(MachineSettings("m1", NAMES), Stored("log-1"), Even(), 0.0)
    actions = machine.requested(0.0, 7, Prepare("m0", 1))
    assert isinstance(actions[0], Persist)
    assert not any(isinstance(each, Answer) for each in actions) and fetches(actions) == []
    actions = machine.persisted(0.1, actions[0].ticket)
    assert isinstance(actions[0], Answer) and actions[0].ticket == 7
    (fetch,) = fetches(actions)
    reply = FetchReply(FetchStatus.OK, 1, "m0", batches=batches(1), number=1, last=1)
    actions = machine.replied(0.2, fetch.ticket, reply)
    stored = [each for each in actions if isinstance(each, Persist)]
    assert fetches(actions) == []
    actions = machine.persisted(0.3, stored[0].ticket)
    assert [each.message.last for each in fetches(actions)] == [LogPoint(1, 1)]


def fetches(actions: Iterable[object]) -> list[Send]:
    return [each for each in actions if isinstance(each, Send) and isinstance(each.message, Fetch)]


def test_each_replica_has_one_held_fetch() -> None:
    cluster = led()
    echo = Fetch("m1", 1, LogPoint(1, 1), 1)
    first, second = cluster.request("m0", echo), cluster.request("m0", echo)
    assert first in cluster.answers and second not in cluster.answers


def test_proxy_receives_published_batches() -> None:
    cluster = led()
    cluster.run(1.0)
    ticket = cluster.request("m1", Poll("p", "i", "r", "", 0))
    cluster.run(1.0)
    first = cluster.answers[ticket]
    # The proxy has just started, so it gets a snapshot.
    assert isinstance(first, PollReply) and first.status == PollStatus.SNAPSHOT
    assert first.snapshot is not None and first.snapshot.base.position == first.commit == 1
    ticket = cluster.request("m1", Poll("p", "i", "r", first.log, first.commit))
    cluster.publish("m0", "k")
    cluster.run(1.0)
    second = cluster.answers[ticket]
    assert isinstance(second, PollReply)
    assert (len(second.batches), second.commit) == (1, 2)
    assert 0 <= second.age_ms < 2800


def test_leader_status_reports_in_force_and_replica_positions() -> None:
    cluster = led()
    cluster.run(4.0)
    found = cluster.answers[cluster.request("m0", StatusRequest())]
    assert isinstance(found, StatusReply)
    assert (found.in_force, found.applied, found.commit) == (1, 1, 1)
    assert [(name, position) for name, position, _ in found.replicas] == [
        ("m0", 1),
        ("m1", 1),
        ("m2", 1),
    ]


def test_copy_of_a_machine_is_independent() -> None:
    cluster = led()
    machine = cluster.machine("m0")
    duplicate = machine.copy()
    assert duplicate.key(cluster.now) == machine.key(cluster.now)
    duplicate.requested(cluster.now, 10**6, Publish("k", (purge("k"),)))
    duplicate.tick(cluster.now + 0.2)
    assert duplicate.replica.last.position == 2
    assert machine.replica.last.position == 1
