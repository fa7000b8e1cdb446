"""Scenarios in which one safety rule of the log is decisive.

Each scenario runs twice: on the real machines, where every cluster check must hold, and with the
rule disabled by a patch, where a check must fail.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import pytest

from tests.support.distribution_checks import RuleViolated
from tests.support.distribution_cluster import Cluster
from violetroute.distribution import followers as followers_module
from violetroute.distribution import replica as replica_module
from violetroute.distribution.followers import Followers
from violetroute.distribution.following import FetchLoop
from violetroute.distribution.machine import Machine
from violetroute.distribution.messages import Fetch, Prepare, Promise, Published, PublishStatus
from violetroute.distribution.outbox import Outbox
from violetroute.distribution.preparation import Preparation
from violetroute.distribution.recovery import Recovery

Fault = Callable[[pytest.MonkeyPatch], None]


def cluster_led_by_m0(size: int = 3) -> Cluster:
    """Returns a cluster led by m0, with all batches committed on all machines."""
    cluster = Cluster(size)
    cluster.lead("m0")
    cluster.run(0.6)
    assert all(machine.replica.commit == 1 for machine in cluster.machines())
    return cluster


def cut(*names: str) -> frozenset[str]:
    return frozenset(names)


def check_heals(cluster: Cluster) -> None:
    """Ends all faults and checks that a new leader commits and all machines recover."""
    cluster.cut = cluster.slow_disks = frozenset()
    for name in cluster.names:
        cluster.nodes[name].paused = False
        cluster.start(name)
        cluster.give_up_requests(name)
    cluster.run(8.0)
    cluster.lead("m1")
    ticket = cluster.publish("m1", "after all")
    cluster.run(8.0)
    answer = cluster.answers[ticket]
    assert isinstance(answer, Published) and answer.status == PublishStatus.COMMITTED
    assert not any(machine.replica.recovering for machine in cluster.machines())


def acknowledged_by(name: str, leader: Machine) -> int:
    """Returns the position that this replica has acknowledged to the leader."""
    assert leader._leadership is not None
    return {each[0]: each[1] for each in leader._leadership.positions(0.0)}[name]


# --- scenarios ---
def ack_lost_with_the_process() -> Cluster:
    """A replica crashes before the write of a batch reaches its disk."""
    cluster = cluster_led_by_m0()
    cluster.cut, cluster.slow_disks = cut("m2"), cut("m1")
    cluster.publish("m0", "x")
    cluster.run(1.0)
    cluster.nodes["m1"].writes.clear()  # the write is lost
    cluster.crash("m1")
    cluster.cut, cluster.slow_disks = cut("m0"), frozenset()
    cluster.start("m1")
    cluster.lead("m1")
    cluster.run(3.0)
    return cluster


def promise_lost_with_the_process() -> Cluster:
    """A replica crashes before its promise is stored, and then follows the old leader."""
    cluster = cluster_led_by_m0()
    cluster.cut, cluster.slow_disks = cut("m0"), cut("m2")
    cluster.lead("m1")
    cluster.run(0.5)
    cluster.nodes["m2"].writes.clear()
    cluster.crash("m2")
    cluster.cut, cluster.slow_disks = cut("m1"), frozenset()
    cluster.start("m2")
    cluster.publish("m0", "x")
    cluster.run(3.0)
    return cluster


def leader_with_an_old_log() -> Cluster:
    """The new leader lacks a committed batch, and one replica of its majority has it."""
    cluster = cluster_led_by_m0()
    cluster.cut = cut("m2")
    cluster.publish("m0", "x")
    cluster.run(1.0)
    cluster.cut = cut("m0")
    cluster.lead("m2")
    cluster.run(3.0)
    return cluster


def batch_of_an_earlier_term_at_a_majority() -> Cluster:
    """Raft, figure 8: a batch of an earlier term is on a majority, but is replaced later."""
    cluster = cluster_led_by_m0()
    cluster.cut = cut("m1", "m2")
    cluster.publish("m0", "x")
    cluster.run(0.5)  # x is only on m0, at position 2
    cluster.cut = cut("m0")
    cluster.lead("m1")
    cluster.settle_until(lambda: cluster.machine("m1").replica.durable == 2)  # another batch at 2
    cluster.in_flight.clear()
    cluster.cut = cut("m1")
    cluster.lead("m0")
    cluster.give_up_requests("m2")
    cluster.settle_until(lambda: cluster.machine("m2").replica.durable == 2)  # x is on m0 and m2
    cluster.settle_until(lambda: acknowledged_by("m2", cluster.machine("m0")) == 2)
    cluster.cut = cut("m0")
    cluster.in_flight.clear()
    cluster.lead("m1")
    cluster.give_up_requests("m2")
    cluster.run(3.0)
    return cluster


def fetch_before_the_most_recent_log_is_copied() -> Cluster:
    """A follower has batches that its leader will truncate and replace."""
    cluster = cluster_led_by_m0(5)
    cluster.cut = cut("m2", "m3", "m4")
    for key in ("x", "y"):
        cluster.publish("m0", key)
        cluster.run(0.5)  # at positions 2 and 3 of m0 and m1
    cluster.cut = cut("m0", "m1")
    cluster.lead("m2")
    cluster.settle_until(lambda: cluster.machine("m2").replica.durable == 2)  # another batch there
    cluster.in_flight.clear()
    cluster.cut = cut("m3", "m4")
    cluster.lead("m1")
    cluster.deliver_intercepted(cluster.intercept("m0", Fetch))
    cluster.settle_until(lambda: cluster.machine("m1").replica.last.fence == 3)  # copied m2's log
    cluster.cut = cut("m0", "m3", "m4")
    cluster.run(1.0)
    cluster.cut = cut("m1", "m2")
    cluster.in_flight.clear()
    cluster.lead("m0")
    for name in ("m3", "m4"):
        cluster.give_up_requests(name)
    cluster.run(3.0)
    return cluster


def repeated_fetch_from_before_the_answer() -> Cluster:
    """Two delayed fetches of a replica arrive after it followed and acknowledged a new leader."""
    cluster = cluster_led_by_m0()
    first = cluster.intercept("m1", Fetch)
    cluster.give_up_requests("m1")
    second = cluster.intercept("m1", Fetch)
    cluster.cut = cut("m0")
    cluster.lead("m2")
    cluster.run(1.0)  # m2 and m1 have committed under the next fence
    cluster.deliver_intercepted(first)
    cluster.pass_time(0.3)  # answered at the end of its hold time
    cluster.deliver_intercepted(second)
    return cluster


def election_with_a_lost_disk() -> Cluster:
    """One of two acknowledging replicas loses its disk, and the third requests its promise."""
    cluster = cluster_led_by_m0()
    cluster.cut = cut("m2")
    cluster.publish("m0", "x")
    cluster.run(1.0)
    cluster.lose_disk("m1")
    cluster.cut = cut("m0")
    cluster.start("m1")
    cluster.lead("m2")
    cluster.run(3.0)
    return cluster


def recovery_ends_in_the_middle_of_the_log() -> Cluster:
    """The leader fails while a recovering machine has copied only a part of the log."""
    cluster = cluster_led_by_m0()
    cluster.cut = cut("m2")
    for key in ("x", "y", "z"):
        cluster.publish("m0", key)
        cluster.run(0.5)
    cluster.lose_disk("m1")
    cluster.in_flight.clear()
    cluster.cut = frozenset()
    cluster.start("m1")
    cluster.settle_until(lambda: cluster.machine("m1").replica.durable == 2)
    cluster.in_flight.clear()
    cluster.cut = cut("m0")
    cluster.give_up_requests("m1")
    cluster.give_up_requests("m2")
    cluster.lead("m2")
    cluster.run(3.0)
    return cluster


def promise_from_before_the_loss(size: int) -> Cluster:
    """A promise is in transit to a candidate while the disk that held it is lost."""
    cluster = cluster_led_by_m0(size)
    candidate, promising = cluster.names[-1], cluster.names[-2 if size == 3 else 2]
    cluster.run(0.1)
    cluster.in_flight.clear()
    cluster.lead(candidate)
    cluster.sync(candidate)
    request = next(each for each in cluster.in_flight if each.to == promising)
    assert isinstance(request.message, Prepare)
    cluster.in_flight.clear()
    cluster.deliver_intercepted(request)
    cluster.sync(promising)
    promise = cluster.intercept(candidate, Promise)
    cluster.in_flight.clear()
    cluster.lose_disk(promising)
    cluster.cut = cut(candidate)
    cluster.start(promising)
    cluster.run(2.0)
    cluster.cut = cut(*cluster.names[3:]) if size == 5 else cut(candidate)
    cluster.publish("m0", "x")
    cluster.run(2.0)
    cluster.cut = cut("m0", "m1")
    cluster.deliver_intercepted(promise)
    cluster.give_up_requests(candidate)
    cluster.run(2.0)
    return cluster


# --- disabled rules ---
def acknowledged_before_durable(patch: pytest.MonkeyPatch) -> None:
    def next_at(self: FetchLoop) -> float:
        return inf if self._outstanding is not None else self._backoff.next_at

    patch.setattr(FetchLoop, "next_at", property(next_at))


def promised_before_durable(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Outbox, "answer_when_durable", Outbox.answer)


def own_log_taken_for_the_latest(patch: pytest.MonkeyPatch) -> None:
    def adopt(self: Preparation) -> None:
        self.ready = 1 + len(self._promises) >= self._quorum

    patch.setattr(Preparation, "_adopt_log", adopt)


def counted_whatever_the_fence(patch: pytest.MonkeyPatch) -> None:
    def committed(self: Followers) -> int:
        durable = [each.durable for each in self._followers.values()]
        return sorted([*durable, self._replica.durable])[-self._quorum]

    patch.setattr(Followers, "committed", committed)


def counted_before_the_log_is_copied(patch: pytest.MonkeyPatch) -> None:
    own = Followers._acknowledged

    def acknowledged(self: Followers, follower: followers_module._Follower, fetch: Fetch) -> None:
        serving, self.serving = self.serving, True
        own(self, follower, fetch)
        self.serving = serving

    patch.setattr(Followers, "_acknowledged", acknowledged)


def last_answer_without_an_echo(patch: pytest.MonkeyPatch) -> None:
    own = Followers._acknowledged

    def acknowledged(self: Followers, follower: followers_module._Follower, fetch: Fetch) -> None:
        echo = Fetch(fetch.replica, fetch.fence, fetch.last, fetch.commit, answered=follower.number)
        own(self, follower, echo)

    patch.setattr(Followers, "_acknowledged", acknowledged)


def lost_disk_taken_for_an_empty_log(patch: pytest.MonkeyPatch) -> None:
    def step(self: Recovery, now: float) -> None:
        self._outbox.persist(self._replica.finish_recovery())

    patch.setattr(Recovery, "step", step)


def recovering_promise_counted(patch: pytest.MonkeyPatch) -> None:
    own = Preparation._handle_promise

    def promised(self: Preparation, now: float, name: str, reply: object) -> None:
        if isinstance(reply, Promise):
            reply = Promise(reply.granted, reply.fence, reply.last, reply.commit)
        own(self, now, name, reply)  # type: ignore[arg-type]

    patch.setattr(Preparation, "_handle_promise", promised)


def recovered_without_the_whole_log(patch: pytest.MonkeyPatch) -> None:
    def finish(self: Recovery) -> None:
        if self._target is not None and self._replica.synced:
            self._outbox.persist(self._replica.finish_recovery())

    patch.setattr(Recovery, "_finish", finish)


def recovered_after_a_majority(patch: pytest.MonkeyPatch) -> None:
    def check_complete(self: Recovery) -> None:
        if len(self._retries) <= 1 and self._all_reported_ticket is None:
            self._all_reported_ticket = self._outbox.last_ticket

    patch.setattr(Recovery, "_check_all_reported", check_complete)


def recovering_acknowledgement_counted(patch: pytest.MonkeyPatch) -> None:
    own = Followers.fetched

    def fetched(self: Followers, now: float, ticket: int, fetch: Fetch) -> None:
        own(self, now, ticket, Fetch(fetch.replica, fetch.fence, fetch.last, fetch.commit))

    patch.setattr(Followers, "fetched", fetched)


@dataclass(frozen=True)
class Case:
    """A scenario, the rule that it needs, and the maximum number of batches per reply."""

    scenario: Callable[[], Cluster]
    fault: Fault
    batches_per_reply: int = 512


CASES = (
    Case(ack_lost_with_the_process, acknowledged_before_durable),
    Case(promise_lost_with_the_process, promised_before_durable),
    Case(leader_with_an_old_log, own_log_taken_for_the_latest),
    Case(batch_of_an_earlier_term_at_a_majority, counted_whatever_the_fence, 1),
    Case(fetch_before_the_most_recent_log_is_copied, counted_before_the_log_is_copied),
    Case(repeated_fetch_from_before_the_answer, last_answer_without_an_echo),
    Case(election_with_a_lost_disk, lost_disk_taken_for_an_empty_log),
    Case(election_with_a_lost_disk, recovering_promise_counted),
    Case(recovery_ends_in_the_middle_of_the_log, recovered_without_the_whole_log, 1),
    Case(lambda: promise_from_before_the_loss(5), recovered_after_a_majority),
    Case(lambda: promise_from_before_the_loss(3), recovering_acknowledgement_counted),
)
IDS = [case.fault.__name__ for case in CASES]


@pytest.mark.parametrize("case", CASES, ids=IDS)
def test_scenario_violates_no_check_and_heals(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replica_module, "BATCHES_PER_REPLY", case.batches_per_reply)
    check_heals(case.scenario())


@pytest.mark.parametrize("case", CASES, ids=IDS)
def test_scenario_violates_a_check_without_its_rule(
    case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(replica_module, "BATCHES_PER_REPLY", case.batches_per_reply)
    case.fault(monkeypatch)
    with pytest.raises(RuleViolated):
        case.scenario()
