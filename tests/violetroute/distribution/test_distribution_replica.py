"""Unit tests of the replica, the leader's view of followers, and recovery."""

from __future__ import annotations

import random
from math import inf

from violetroute.distribution.actions import Answer, MachineSettings, Stored
from violetroute.distribution.followers import MAX_ECHOED_ANSWERS, Followers
from violetroute.distribution.following import FetchResult
from violetroute.distribution.messages import (
    CONFIGURATION_KEYS,
    Batch,
    Fetch,
    FetchReply,
    FetchStatus,
    LogPoint,
    Record,
    Snapshot,
    Topic,
)
from violetroute.distribution.outbox import Outbox
from violetroute.distribution.recovery import Recovery
from violetroute.distribution.replica import Replica

NAMES = ("m0", "m1", "m2")


def replica(*fences: int, base: LogPoint | None = None) -> Replica:
    """Returns a log with batches of these fences after its base."""
    base = base or LogPoint()
    batches = tuple(Batch(base.position + 1 + at, fence, 0) for at, fence in enumerate(fences))
    return Replica(Stored("log-1", 9, "m0", Snapshot(base), batches))


def leading(log: Replica, fence: int = 1) -> Followers:
    """Returns the followers of a leader that has the most recent log."""
    followers = Followers(MachineSettings("m0", NAMES), fence, log, Outbox(log))
    followers.serving = True
    return followers


def fetch(answered: int = 0) -> Fetch:
    return Fetch("m1", 1, LogPoint(1, 1), 1, answered=answered)


# --- the log ---
def test_truncation_lowers_the_durable_position_immediately() -> None:
    """This holds before the truncation is stored, since later batches there are different."""
    log = replica(1, 1, 1)
    assert log.durable == 3
    log.truncate_after(1)
    assert log.durable == 1


def test_log_with_lower_fence_than_the_base_needs_the_snapshot() -> None:
    """Its batch at the base's position is a different one and must not be kept."""
    log = replica(2, 3, base=LogPoint(2, 5))
    assert log.common_prefix_end(LogPoint(1, 9)) is None
    assert log.common_prefix_end(LogPoint(2, 9)) == 6


def test_installed_configuration_counts_towards_the_snapshot_limit() -> None:
    """Otherwise a publication would be accepted that no snapshot can hold."""
    log = replica(1)
    names = [f"table{number}" for number in range(CONFIGURATION_KEYS + 1)]
    *held, more = (Record(Topic.CONFIGURATION, name) for name in names)
    assert log.fits((more,))
    log.install(Snapshot(LogPoint(1, 5), tuple(held)))
    assert not log.fits((more,)) and log.fits((held[0],))


# --- followers ---
def test_only_an_echoed_answer_confirms_a_follower() -> None:
    followers = leading(replica(1))
    followers.fetched(0.0, 1, fetch())
    followers.step(1.0)  # first answer, after the hold time
    for unknown in (0, 9):
        followers.fetched(2.0, 2, fetch(answered=unknown))
        followers.abandoned(2)
        assert followers.quorum_followed_at(2.0) == -inf
    followers.fetched(3.0, 3, fetch(answered=1))
    assert followers.quorum_followed_at(3.0) == 1.0


def test_echo_of_a_dropped_answer_confirms_nothing() -> None:
    followers = leading(replica(1))
    for number in range(1, MAX_ECHOED_ANSWERS + 2):
        followers.fetched(float(number), number, fetch())
        followers.step(number + 0.5)
    followers.fetched(9.0, 99, fetch(answered=1))
    assert followers.quorum_followed_at(9.0) == -inf
    followers.fetched(9.0, 100, fetch(answered=2))
    assert followers.quorum_followed_at(9.0) == 2.5


def test_end_of_term_answers_held_fetches() -> None:
    """Otherwise its sender would look for the next leader only after its timeout."""
    log = replica(1)
    outbox = Outbox(log)
    followers = Followers(MachineSettings("m0", NAMES), 1, log, outbox)
    followers.fetched(0.0, 7, fetch())
    followers.end(4)
    assert outbox.take() == [Answer(7, FetchReply(FetchStatus.NOT_LEADER, 4))]


# --- recovery ---
class Recovering:
    """A replica with one batch whose disk was lost, under the leader of fence 9."""

    def __init__(self) -> None:
        self.log = Replica(Stored("log-1", 9, "m0", batches=(Batch(1, 9, 0),), recovering=True))
        self.outbox = Outbox(self.log)
        settings = MachineSettings("m1", NAMES)
        self.recovery = Recovery(settings, self.log, self.outbox, random.Random(1), 0.0)
        self.recovery.step(0.0)

    def all_report(self) -> None:
        for ticket in (1, 2):
            self.recovery.replied(0.1, ticket, answered=True)

    def fetched(
        self, last: int = 1, fence: int = 9, ticket: int = 9, status: FetchStatus = FetchStatus.OK
    ) -> bool:
        """Delivers the leader's fetch reply; returns whether the replica has recovered."""
        self.recovery.fetched(FetchResult(ticket, 0.0, FetchReply(status, fence, last=last)))
        return self.recovered()

    def recovered(self) -> bool:
        self.recovery.step(0.2)
        return not self.log.recovering


def test_reply_to_a_fetch_sent_before_all_reported_does_not_count() -> None:
    """That reply may lack batches committed with the help of a promise from before the loss."""
    machine = Recovering()
    earlier = machine.outbox.send("m0", fetch(), 1.0)
    assert not machine.fetched(ticket=earlier)
    machine.all_report()
    assert not machine.fetched(ticket=earlier)
    assert machine.fetched(ticket=earlier + 1)


def test_diverged_and_snapshot_replies_do_not_end_recovery() -> None:
    machine = Recovering()
    machine.all_report()
    assert not machine.fetched(status=FetchStatus.DIVERGED)
    assert not machine.fetched(status=FetchStatus.SNAPSHOT)
    assert machine.fetched()


def test_log_of_an_earlier_leader_does_not_end_recovery() -> None:
    machine = Recovering()
    machine.all_report()
    assert not machine.fetched(last=2)
    machine.log.promise(10, "m2")
    machine.log.append((Batch(2, 9, 0),))
    assert not machine.recovered()


def test_later_leader_redefines_the_required_position() -> None:
    machine = Recovering()
    machine.all_report()
    assert not machine.fetched(last=5)  # not all of it was committed
    machine.log.promise(10, "m2")
    assert machine.fetched(last=1, fence=10)


def test_recovery_waits_for_durability() -> None:
    machine = Recovering()
    machine.all_report()
    machine.outbox.persist(machine.log.append((Batch(2, 9, 0),)))
    assert not machine.fetched(last=2)
    machine.log.persisted(machine.outbox.last_ticket)
    assert machine.recovered()
