"""Rules of the log, of what a leader knows of the others, and of a recovery, each by itself."""

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
    """A log with these fences behind its base."""
    base = base or LogPoint()
    batches = tuple(Batch(base.position + 1 + at, fence, 0) for at, fence in enumerate(fences))
    return Replica(Stored("log-1", 9, "m0", Snapshot(base), batches))


def leading(log: Replica, fence: int = 1) -> Followers:
    """The other replicas of a leader that has the most recent log."""
    followers = Followers(MachineSettings("m0", NAMES), fence, log, Outbox(log))
    followers.serving = True
    return followers


def fetch(answered: int = 0) -> Fetch:
    return Fetch("m1", 1, LogPoint(1, 1), 1, answered=answered)


# --- the log ---
def test_what_is_truncated_is_not_durable_from_then_on() -> None:
    """Also before the truncation is stored: the batches that follow are others."""
    log = replica(1, 1, 1)
    assert log.durable == 3
    log.truncate_after(1)
    assert log.durable == 1


def test_a_log_of_a_lower_fence_than_the_base_has_to_start_from_the_snapshot() -> None:
    """Its batch at the base's position is another one, so it may not keep it."""
    log = replica(2, 3, base=LogPoint(2, 5))
    assert log.common_prefix_end(LogPoint(1, 9)) is None
    assert log.common_prefix_end(LogPoint(2, 9)) == 6


def test_the_configuration_of_an_installed_snapshot_counts_for_what_still_fits() -> None:
    """Else a publication is taken that no snapshot could hold."""
    log = replica(1)
    names = [f"table{number}" for number in range(CONFIGURATION_KEYS + 1)]
    *held, more = (Record(Topic.CONFIGURATION, name) for name in names)
    assert log.fits((more,))
    log.install(Snapshot(LogPoint(1, 5), tuple(held)))
    assert not log.fits((more,)) and log.fits((held[0],))


# --- the other replicas ---
def test_only_the_echo_of_an_answer_shows_that_a_replica_followed() -> None:
    followers = leading(replica(1))
    followers.fetched(0.0, 1, fetch())
    followers.step(1.0)  # the first answer, at the end of its hold time
    for unknown in (0, 9):
        followers.fetched(2.0, 2, fetch(answered=unknown))
        followers.abandoned(2)
        assert followers.quorum_followed_at(2.0) == -inf
    followers.fetched(3.0, 3, fetch(answered=1))
    assert followers.quorum_followed_at(3.0) == 1.0


def test_the_echo_of_a_forgotten_answer_shows_nothing() -> None:
    followers = leading(replica(1))
    for number in range(1, MAX_ECHOED_ANSWERS + 2):
        followers.fetched(float(number), number, fetch())
        followers.step(number + 0.5)
    followers.fetched(9.0, 99, fetch(answered=1))
    assert followers.quorum_followed_at(9.0) == -inf
    followers.fetched(9.0, 100, fetch(answered=2))
    assert followers.quorum_followed_at(9.0) == 2.5


def test_a_fetch_that_is_held_at_the_end_of_the_term_is_told_so() -> None:
    """Its sender would look for the next leader only after its timeout."""
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

    def told_by_all(self) -> None:
        for ticket in (1, 2):
            self.recovery.replied(0.1, ticket, answered=True)

    def fetched(
        self, last: int = 1, fence: int = 9, ticket: int = 9, status: FetchStatus = FetchStatus.OK
    ) -> bool:
        """The leader answers a fetch; whether the replica counts again then."""
        self.recovery.fetched(FetchResult(ticket, 0.0, FetchReply(status, fence, last=last)))
        return self.recovered()

    def recovered(self) -> bool:
        self.recovery.step(0.2)
        return not self.log.recovering


def test_an_answer_to_a_fetch_that_was_sent_before_all_have_told_does_not_count() -> None:
    """What it names may lack what was committed with a promise from before the loss."""
    machine = Recovering()
    earlier = machine.outbox.send("m0", fetch(), 1.0)
    assert not machine.fetched(ticket=earlier)
    machine.told_by_all()
    assert not machine.fetched(ticket=earlier)
    assert machine.fetched(ticket=earlier + 1)


def test_a_diverged_log_and_a_snapshot_are_no_whole_log() -> None:
    machine = Recovering()
    machine.told_by_all()
    assert not machine.fetched(status=FetchStatus.DIVERGED)
    assert not machine.fetched(status=FetchStatus.SNAPSHOT)
    assert machine.fetched()


def test_the_log_of_an_earlier_leader_is_not_enough() -> None:
    machine = Recovering()
    machine.told_by_all()
    assert not machine.fetched(last=2)
    machine.log.promise(10, "m2")
    machine.log.append((Batch(2, 9, 0),))
    assert not machine.recovered()


def test_a_later_leader_says_anew_what_the_whole_log_is() -> None:
    machine = Recovering()
    machine.told_by_all()
    assert not machine.fetched(last=5)  # not all of it was committed
    machine.log.promise(10, "m2")
    assert machine.fetched(last=1, fence=10)


def test_what_is_not_durable_is_not_recovered() -> None:
    machine = Recovering()
    machine.told_by_all()
    machine.outbox.persist(machine.log.append((Batch(2, 9, 0),)))
    assert not machine.fetched(last=2)
    machine.log.persisted(machine.outbox.last_ticket)
    assert machine.recovered()
