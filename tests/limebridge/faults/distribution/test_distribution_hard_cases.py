"""Hard cases of issue 48 by name, in the simulated world: each is clean, and shows a missing rule.

The tables of docs/design/faults.md name where the other cases are played.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import pytest

from limebridge.faults.distribution import explore
from limebridge.faults.distribution.checker import Rule
from limebridge.faults.distribution.plan import Fault, Kind, Plan
from limebridge.faults.distribution.world import World
from violetroute.distribution.followers import Followers
from violetroute.distribution.in_force import InForceTracker
from violetroute.distribution.messages import Poll
from violetroute.distribution.session import Session
from violetroute.distribution.sessions import PollAnswer, Sessions
from violetroute.distribution.subscriber import Subscriber

BEGIN_S = 4.0  # when the first leader has reported something in force
FOR_ALL_OF_IT = 40.0  # s: the first leader is not told that its lease is lost
TEN_MINUTES_S = 600.0
QUIET = Plan(seed=0, seconds=4.0, machines=3, proxies=3, stale_after_s=2.0, publications_per_s=4.0)


# --- the rules that a case needs, each taken out ---
def own_lease_believed(patch: pytest.MonkeyPatch) -> None:
    """A leader takes it that it leads now, without a majority that has shown so."""
    patch.setattr(Followers, "quorum_followed_at", lambda self, now: now)


def silent_machines_have_no_proxies(patch: pytest.MonkeyPatch) -> None:
    """A new leader does not wait for machines that have not reported to it."""
    committed = InForceTracker.committed

    def without_doubt(self: InForceTracker, now: float, position: int, contact_at: float) -> None:
        committed(self, now, position, contact_at)
        for machine in self._machines.values():
            machine.unknown_sessions_until = now

    patch.setattr(InForceTracker, "committed", without_doubt)


def freshness_not_asked_of_the_clock(patch: pytest.MonkeyPatch) -> None:
    """A proxy believes that it is fresh until it has said that it is not."""

    def fresh(self: Subscriber, now: float) -> bool:
        return self.as_of is not None and not self._reported_stale

    patch.setattr(Subscriber, "fresh", fresh)


def answered_at_once(patch: pytest.MonkeyPatch) -> None:
    """A control machine answers proxies that the leader does not know of yet."""
    session_of = Sessions._get_or_create_session

    def registered(self: Sessions, now: float, poll: Poll) -> Session | None:
        session = session_of(self, now, poll)
        if session is not None and session.registered_commit is None:
            session.registered_commit = 0
        return session

    patch.setattr(Sessions, "_get_or_create_session", registered)


def one_session_a_name(patch: pytest.MonkeyPatch) -> None:
    """Two processes of one name are taken for one."""
    polled = Sessions.poll_received

    def as_one(self: Sessions, now: float, ticket: int, poll: Poll) -> list[PollAnswer]:
        return polled(self, now, ticket, msgspec.structs.replace(poll, incarnation="one"))

    patch.setattr(Sessions, "poll_received", as_one)


# --- the cases ---
@dataclass(frozen=True)
class Case:
    """`happened`: a line of the story without which the case was not played."""

    name: str
    plan: Callable[[], Plan]
    rule_taken_out: Callable[[pytest.MonkeyPatch], None]
    happened: str


def with_leader(plan: Plan, number: int) -> Plan:
    """The plan with the first seed by which this machine leads when the faults begin."""
    for seed in range(50):
        seeded = msgspec.structs.replace(plan, seed=seed)
        if leader_at(seeded, BEGIN_S) == f"m{number}":
            return seeded
    raise AssertionError(f"m{number} never leads")


def leader_at(plan: Plan, at: float) -> str:
    """The machine that has reported something in force last by then, before any fault."""
    world = World(msgspec.structs.replace(plan, seconds=at, fault=[]))
    world.run()
    reports = [what for when, what in world.notes if when <= at and what.endswith("is in force")]
    return reports[-1].split()[0]


def leader_stopped() -> Plan:
    """It wakes behind a newer one, believes in its lease, and hears of the other 3 s later."""
    faults = [
        Fault(BEGIN_S, "split", 0, 23.0),
        Fault(BEGIN_S, "pause", 0, 20.0),
        Fault(BEGIN_S + 0.1, "second_leader", 0, FOR_ALL_OF_IT),
    ]
    return with_leader(msgspec.structs.replace(QUIET, seconds=30.0, fault=faults), 0)


def region_cut_one_way(kind: Kind) -> Plan:
    """The leader with the proxy of its region, for 15 s; another machine is given the lease."""
    faults = [
        Fault(BEGIN_S, kind, 0, 15.0),
        Fault(BEGIN_S + 0.1, "second_leader", 0, FOR_ALL_OF_IT),
    ]
    return with_leader(msgspec.structs.replace(QUIET, seconds=20.0, proxies=2, fault=faults), 0)


def proxy_stopped() -> Plan:
    return msgspec.structs.replace(QUIET, seconds=63.0, fault=[Fault(2.0, "pause_proxy", 0, 60.0)])


def two_of_one_name() -> Plan:
    """One of them is cut off while it believes itself fresh; the other one acknowledges."""
    faults = [Fault(2.0, "twin_proxy", 0, 8.0), Fault(3.0, "cut_proxy", 0, 6.0)]
    return msgspec.structs.replace(QUIET, seconds=10.0, stale_after_s=4.0, fault=faults)


def all_proxies_restarted() -> Plan:
    """All within 0.1 s; a machine that is cut off from the leader answers some of them first."""
    kills = [Fault(BEGIN_S + 0.01 * number, "kill_proxy", number, 3.0) for number in range(9)]
    cut = Fault(BEGIN_S + 2.99, "split", 0, 4.0)
    plan = msgspec.structs.replace(QUIET, seconds=12.0, proxies=9, fault=[*kills, cut])
    return with_leader(plan, 1)


CASES = [
    Case("leader stopped for 20 s", leader_stopped, own_lease_believed, "m0 no_majority"),
    Case(
        "region cut off outwards",
        lambda: region_cut_one_way("split_out"),
        silent_machines_have_no_proxies,
        "of fence 2: ",
    ),
    Case(
        "region cut off inwards",
        lambda: region_cut_one_way("split_in"),
        own_lease_believed,
        "of fence 2: ",
    ),
    Case(
        "proxy stopped for 60 s", proxy_stopped, freshness_not_asked_of_the_clock, "p0 BecameFresh"
    ),
    Case("all proxies restarted", all_proxies_restarted, answered_at_once, "split 0 for 4.0"),
    Case("two of one name", two_of_one_name, one_session_a_name, "p0-twin1 applies"),
]
IDS = [case.name for case in CASES]


@pytest.mark.parametrize("case", CASES, ids=IDS)
def test_the_case_keeps_every_promise(case: Case) -> None:
    outcome = explore.run_plan(case.plan(), with_trace=True)
    assert outcome.violations == (), outcome.trace[-4000:]
    assert case.happened in outcome.trace


@pytest.mark.parametrize("case", CASES, ids=IDS)
def test_without_its_rule_the_case_is_found(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    case.rule_taken_out(monkeypatch)
    outcome = explore.run_plan(case.plan(), with_trace=True)
    assert Rule.IN_FORCE in {broken.rule for broken in outcome.violations}, outcome.trace[-4000:]


# --- wall clocks ---
def played_with_wall_clocks(plan: Plan, errors_s: tuple[float, ...]) -> World:
    world = World(plan)
    names = [control.name for control in world.controls]
    world._unix_offsets = dict(zip(names, errors_s, strict=True))
    world.run()
    assert world.checker.violations == []
    return world


def test_wall_clocks_that_are_ten_minutes_wrong_change_nothing_but_what_is_kept() -> None:
    right, wrong = (0.0, 0.0, 0.0), (TEN_MINUTES_S, -TEN_MINUTES_S, 0.0)
    apart = msgspec.structs.replace(
        QUIET,
        seconds=10.0,
        clocks="apart",
        fault=[Fault(2.0, "second_leader", 0, 1.0), Fault(4.0, "kill", 1, 1.0)],
    )
    digests = {played_with_wall_clocks(apart, errors).digest for errors in (right, wrong)}
    assert len(digests) == 1
    shortly = msgspec.structs.replace(
        apart, keep_s=5.0, fault=[*apart.fault, Fault(5.0, "cut_proxy", 0, 4.0)]
    )
    worlds = [played_with_wall_clocks(shortly, errors) for errors in (right, wrong)]
    assert worlds[0].digest != worlds[1].digest  # batches are kept by them
