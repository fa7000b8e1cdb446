"""Stories in which one rule of the log matters; without the rule each of them breaks a promise.

Each story is played on the machines as they are, where every check of the cluster has to hold, and
with the rule taken out, where one has to fail.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import pytest

from tests.support.distribution_checks import Broken
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


def led_by_first(size: int = 3) -> Cluster:
    """A cluster that m0 leads, with everything committed everywhere."""
    cluster = Cluster(size)
    cluster.lead("m0")
    cluster.run(0.6)
    assert all(machine.replica.commit == 1 for machine in cluster.machines())
    return cluster


def cut(*names: str) -> frozenset[str]:
    return frozenset(names)


def heals(cluster: Cluster) -> None:
    """Once all is well, a new leader commits."""
    cluster.cut = cluster.slow_disks = frozenset()
    for name in cluster.names:
        cluster.nodes[name].paused = False
        cluster.start(name)
        cluster.give_up_all(name)
    cluster.run(8.0)
    cluster.lead("m1")
    ticket = cluster.publish("m1", "after all")
    cluster.run(8.0)
    answer = cluster.answers[ticket]
    assert isinstance(answer, Published) and answer.status == PublishStatus.COMMITTED
    assert not any(machine.replica.recovering for machine in cluster.machines())


def acknowledged_by(name: str, leader: Machine) -> int:
    """The last position that the leader knows to be durable at this replica."""
    assert leader._leadership is not None
    return {each[0]: each[1] for each in leader._leadership.positions(0.0)}[name]


# --- stories ---
def ack_lost_with_the_process() -> Cluster:
    """A replica's process ends while the batch is on its way to the disk."""
    cluster = led_by_first()
    cluster.cut, cluster.slow_disks = cut("m2"), cut("m1")
    cluster.publish("m0", "x")
    cluster.run(1.0)
    cluster.nodes["m1"].writes.clear()  # nothing of it reached the disk
    cluster.crash("m1")
    cluster.cut, cluster.slow_disks = cut("m0"), frozenset()
    cluster.start("m1")
    cluster.lead("m1")
    cluster.run(3.0)
    return cluster


def promise_lost_with_the_process() -> Cluster:
    """A replica promises, its process ends before the promise is stored, and it follows the old."""
    cluster = led_by_first()
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
    """The new leader lacks what was committed, and one of its majority has it."""
    cluster = led_by_first()
    cluster.cut = cut("m2")
    cluster.publish("m0", "x")
    cluster.run(1.0)
    cluster.cut = cut("m0")
    cluster.lead("m2")
    cluster.run(3.0)
    return cluster


def batch_of_an_earlier_term_at_a_majority() -> Cluster:
    """Raft, figure 8: a batch of an earlier term is at a majority, and is replaced all the same."""
    cluster = led_by_first()
    cluster.cut = cut("m1", "m2")
    cluster.publish("m0", "x")
    cluster.run(0.5)  # x is at position 2 of m0 alone
    cluster.cut = cut("m0")
    cluster.lead("m1")
    cluster.settle_until(lambda: cluster.machine("m1").replica.durable == 2)  # another batch there
    cluster.flying.clear()
    cluster.cut = cut("m1")
    cluster.lead("m0")
    cluster.give_up_all("m2")
    cluster.settle_until(lambda: cluster.machine("m2").replica.durable == 2)  # x is at m0 and m2
    cluster.settle_until(lambda: acknowledged_by("m2", cluster.machine("m0")) == 2)
    cluster.cut = cut("m0")
    cluster.flying.clear()
    cluster.lead("m1")
    cluster.give_up_all("m2")
    cluster.run(3.0)
    return cluster


def fetch_before_the_most_recent_log_is_copied() -> Cluster:
    """A follower has what its leader is about to drop, at the positions that are written next."""
    cluster = led_by_first(5)
    cluster.cut = cut("m2", "m3", "m4")
    for key in ("x", "y"):
        cluster.publish("m0", key)
        cluster.run(0.5)  # at positions 2 and 3 of m0 and m1
    cluster.cut = cut("m0", "m1")
    cluster.lead("m2")
    cluster.settle_until(lambda: cluster.machine("m2").replica.durable == 2)  # another batch there
    cluster.flying.clear()
    cluster.cut = cut("m3", "m4")
    cluster.lead("m1")
    cluster.arrive(cluster.hold_back("m0", Fetch))
    cluster.settle_until(lambda: cluster.machine("m1").replica.last.fence == 3)  # m2's log, copied
    cluster.cut = cut("m0", "m3", "m4")
    cluster.run(1.0)
    cluster.cut = cut("m1", "m2")
    cluster.flying.clear()
    cluster.lead("m0")
    for name in ("m3", "m4"):
        cluster.give_up_all(name)
    cluster.run(3.0)
    return cluster


def repeated_fetch_from_before_the_answer() -> Cluster:
    """Two fetches of one replica arrive after it has promised, and helped to commit, elsewhere."""
    cluster = led_by_first()
    first = cluster.hold_back("m1", Fetch)
    cluster.give_up_all("m1")
    second = cluster.hold_back("m1", Fetch)
    cluster.cut = cut("m0")
    cluster.lead("m2")
    cluster.run(1.0)  # m2 and m1 have committed under the next fence
    cluster.arrive(first)
    cluster.pass_time(0.3)  # answered at the end of its hold time
    cluster.arrive(second)
    return cluster


def lost_disk_at_once_elected_with() -> Cluster:
    """What one of two acknowledged is gone with its disk, and the third asks it for a promise."""
    cluster = led_by_first()
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
    """The leader fails while a machine whose disk was lost has a part of the log."""
    cluster = led_by_first()
    cluster.cut = cut("m2")
    for key in ("x", "y", "z"):
        cluster.publish("m0", key)
        cluster.run(0.5)
    cluster.lose_disk("m1")
    cluster.flying.clear()
    cluster.cut = frozenset()
    cluster.start("m1")
    cluster.settle_until(lambda: cluster.machine("m1").replica.durable == 2)
    cluster.flying.clear()
    cluster.cut = cut("m0")
    cluster.give_up_all("m1")
    cluster.give_up_all("m2")
    cluster.lead("m2")
    cluster.run(3.0)
    return cluster


def promise_from_before_the_loss(size: int) -> Cluster:
    """A promise is on its way to a leader-to-be while the disk that held it is lost."""
    cluster = led_by_first(size)
    candidate, promising = cluster.names[-1], cluster.names[-2 if size == 3 else 2]
    cluster.run(0.1)
    cluster.flying.clear()
    cluster.lead(candidate)
    cluster.sync(candidate)
    asked = next(each for each in cluster.flying if each.to == promising)
    assert isinstance(asked.message, Prepare)
    cluster.flying.clear()
    cluster.arrive(asked)
    cluster.sync(promising)
    promise = cluster.hold_back(candidate, Promise)
    cluster.flying.clear()
    cluster.lose_disk(promising)
    cluster.cut = cut(candidate)
    cluster.start(promising)
    cluster.run(2.0)
    cluster.cut = cut(*cluster.names[3:]) if size == 5 else cut(candidate)
    cluster.publish("m0", "x")
    cluster.run(2.0)
    cluster.cut = cut("m0", "m1")
    cluster.arrive(promise)
    cluster.give_up_all(candidate)
    cluster.run(2.0)
    return cluster


# --- the rules taken out ---
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
    """A story, the rule without which it goes wrong, and how many batches a reply may hold."""

    story: Callable[[], Cluster]
    fault: Fault
    batches_per_reply: int = 512


CASES = (
    Case(ack_lost_with_the_process, acknowledged_before_durable),
    Case(promise_lost_with_the_process, promised_before_durable),
    Case(leader_with_an_old_log, own_log_taken_for_the_latest),
    Case(batch_of_an_earlier_term_at_a_majority, counted_whatever_the_fence, 1),
    Case(fetch_before_the_most_recent_log_is_copied, counted_before_the_log_is_copied),
    Case(repeated_fetch_from_before_the_answer, last_answer_without_an_echo),
    Case(lost_disk_at_once_elected_with, lost_disk_taken_for_an_empty_log),
    Case(lost_disk_at_once_elected_with, recovering_promise_counted),
    Case(recovery_ends_in_the_middle_of_the_log, recovered_without_the_whole_log, 1),
    Case(lambda: promise_from_before_the_loss(5), recovered_after_a_majority),
    Case(lambda: promise_from_before_the_loss(3), recovering_acknowledgement_counted),
)
IDS = [case.fault.__name__ for case in CASES]


@pytest.mark.parametrize("case", CASES, ids=IDS)
def test_the_story_breaks_no_promise_and_heals(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replica_module, "BATCHES_PER_REPLY", case.batches_per_reply)
    heals(case.story())


@pytest.mark.parametrize("case", CASES, ids=IDS)
def test_without_its_rule_it_does(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replica_module, "BATCHES_PER_REPLY", case.batches_per_reply)
    case.fault(monkeypatch)
    with pytest.raises(Broken):
        case.story()
