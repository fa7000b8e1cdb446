"""The hard cases of issue 48 in the simulated world, by name.

Each case violates no rule, and violates one if the rule of the protocol that it needs is removed.
The tables of docs/design/faults.md name the tests of the other cases.
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

FAULTS_START_S = 4.0  # by then the first leader has reported a position in force
WHOLE_RUN_S = 40.0  # longer than the runs with it, so that no notice of a lost lease arrives
TEN_MINUTES_S = 600.0
QUIET = Plan(seed=0, seconds=4.0, machines=3, proxies=3, stale_after_s=2.0, publications_per_s=4.0)


# --- patches, each of which removes the rule that a case needs ---
def lease_assumed_without_quorum(patch: pytest.MonkeyPatch) -> None:
    """Patch: a leader assumes that it still leads, without the confirmation of a majority."""
    patch.setattr(Followers, "quorum_followed_at", lambda self, now: now)


def unreported_machines_ignored(patch: pytest.MonkeyPatch) -> None:
    """Patch: a new leader does not wait for the sessions of machines that have not reported."""
    committed = InForceTracker.committed

    def without_unknown_sessions(
        self: InForceTracker, now: float, position: int, contact_at: float
    ) -> None:
        committed(self, now, position, contact_at)
        for machine in self._machines.values():
            machine.unknown_sessions_until = now

    patch.setattr(InForceTracker, "committed", without_unknown_sessions)


def freshness_without_timeout(patch: pytest.MonkeyPatch) -> None:
    """Patch: a proxy is fresh until a tick reports it stale, even if its `as_of` is too old."""

    def fresh(self: Subscriber, now: float) -> bool:
        return self.as_of is not None and not self._reported_stale

    patch.setattr(Subscriber, "fresh", fresh)


def replied_before_registration(patch: pytest.MonkeyPatch) -> None:
    """Patch: a control machine replies to proxies whose sessions the leader does not know yet."""
    get_or_create = Sessions._get_or_create_session

    def registered(self: Sessions, now: float, poll: Poll) -> Session | None:
        session = get_or_create(self, now, poll)
        if session is not None and session.registered_commit is None:
            session.registered_commit = 0
        return session

    patch.setattr(Sessions, "_get_or_create_session", registered)


def sessions_by_name_only(patch: pytest.MonkeyPatch) -> None:
    """Patch: two processes of the same name share one session."""
    poll_received = Sessions.poll_received

    def with_equal_incarnations(
        self: Sessions, now: float, ticket: int, poll: Poll
    ) -> list[PollAnswer]:
        return poll_received(self, now, ticket, msgspec.structs.replace(poll, incarnation="one"))

    patch.setattr(Sessions, "poll_received", with_equal_incarnations)


# --- the cases ---
@dataclass(frozen=True)
class Case:
    """`expected_note`: a text that the trace must contain, which shows that the case occurred."""

    name: str
    plan: Callable[[], Plan]
    remove_rule: Callable[[pytest.MonkeyPatch], None]
    expected_note: str


def with_leader(plan: Plan, number: int) -> Plan:
    """The plan with the first seed for which machine `number` leads when the faults start."""
    for seed in range(50):
        seeded = msgspec.structs.replace(plan, seed=seed)
        if leader_at(seeded, FAULTS_START_S) == f"m{number}":
            return seeded
    raise AssertionError(f"m{number} never leads")


def leader_at(plan: Plan, at: float) -> str:
    """The machine that was last to report a position in force by time `at`, without faults."""
    world = World(msgspec.structs.replace(plan, seconds=at, fault=[]))
    world.run()
    reports = [
        message for time, message in world.notes if time <= at and message.endswith("is in force")
    ]
    return reports[-1].split()[0]


def leader_paused() -> Plan:
    """The leader is paused for 20 s and cut off for 23 s while another machine becomes leader.

    When it continues, it still assumes that it holds the lease, and does not learn of its successor
    until the cut ends 3 s later.
    """
    faults = [
        Fault(FAULTS_START_S, "split", 0, 23.0),
        Fault(FAULTS_START_S, "pause", 0, 20.0),
        Fault(FAULTS_START_S + 0.1, "second_leader", 0, WHOLE_RUN_S),
    ]
    return with_leader(msgspec.structs.replace(QUIET, seconds=30.0, fault=faults), 0)


def region_cut_one_way(kind: Kind) -> Plan:
    """The leader and a proxy of its region are cut off for 15 s; another machine gets the lease."""
    faults = [
        Fault(FAULTS_START_S, kind, 0, 15.0),
        Fault(FAULTS_START_S + 0.1, "second_leader", 0, WHOLE_RUN_S),
    ]
    return with_leader(msgspec.structs.replace(QUIET, seconds=20.0, proxies=2, fault=faults), 0)


def proxy_paused() -> Plan:
    return msgspec.structs.replace(QUIET, seconds=63.0, fault=[Fault(2.0, "pause_proxy", 0, 60.0)])


def two_processes_of_one_name() -> Plan:
    """One process is cut off while it considers itself fresh; the other acknowledges batches."""
    faults = [Fault(2.0, "twin_proxy", 0, 8.0), Fault(3.0, "cut_proxy", 0, 6.0)]
    return msgspec.structs.replace(QUIET, seconds=10.0, stale_after_s=4.0, fault=faults)


def all_proxies_restarted() -> Plan:
    """All proxies restart within 0.1 s.

    A machine that is cut off from the leader is the first to reply to some of them.
    """
    restarts = [
        Fault(FAULTS_START_S + 0.01 * number, "kill_proxy", number, 3.0) for number in range(9)
    ]
    cut = Fault(FAULTS_START_S + 2.99, "split", 0, 4.0)
    plan = msgspec.structs.replace(QUIET, seconds=12.0, proxies=9, fault=[*restarts, cut])
    return with_leader(plan, 1)


CASES = [
    Case("leader stopped for 20 s", leader_paused, lease_assumed_without_quorum, "m0 no_majority"),
    Case(
        "region cut off outwards",
        lambda: region_cut_one_way("split_out"),
        unreported_machines_ignored,
        "of fence 2: ",
    ),
    Case(
        "region cut off inwards",
        lambda: region_cut_one_way("split_in"),
        lease_assumed_without_quorum,
        "of fence 2: ",
    ),
    Case("proxy stopped for 60 s", proxy_paused, freshness_without_timeout, "p0 BecameFresh"),
    Case(
        "all proxies restarted",
        all_proxies_restarted,
        replied_before_registration,
        "split 0 for 4.0",
    ),
    Case("two of one name", two_processes_of_one_name, sessions_by_name_only, "p0-twin1 applies"),
]
IDS = [case.name for case in CASES]


@pytest.mark.parametrize("case", CASES, ids=IDS)
def test_hard_case_violates_no_rule(case: Case) -> None:
    outcome = explore.run_plan(case.plan(), with_trace=True)
    assert outcome.violations == (), outcome.trace[-4000:]
    assert case.expected_note in outcome.trace


@pytest.mark.parametrize("case", CASES, ids=IDS)
def test_hard_case_is_detected_without_its_rule(
    case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    case.remove_rule(monkeypatch)
    outcome = explore.run_plan(case.plan(), with_trace=True)
    assert Rule.IN_FORCE in {each.rule for each in outcome.violations}, outcome.trace[-4000:]


# --- wall clocks ---
def run_with_wall_clocks(plan: Plan, errors_s: tuple[float, ...]) -> World:
    world = World(plan)
    names = [control.name for control in world.controls]
    world._unix_offsets = dict(zip(names, errors_s, strict=True))
    world.run()
    assert world.checker.violations == []
    return world


def test_wall_clock_errors_of_ten_minutes_affect_only_retention() -> None:
    exact_clocks, wrong_clocks = (0.0, 0.0, 0.0), (TEN_MINUTES_S, -TEN_MINUTES_S, 0.0)
    base_plan = msgspec.structs.replace(
        QUIET,
        seconds=10.0,
        clocks="apart",
        fault=[Fault(2.0, "second_leader", 0, 1.0), Fault(4.0, "kill", 1, 1.0)],
    )
    digests = {
        run_with_wall_clocks(base_plan, errors).digest for errors in (exact_clocks, wrong_clocks)
    }
    assert len(digests) == 1
    short_retention = msgspec.structs.replace(
        base_plan, keep_s=5.0, fault=[*base_plan.fault, Fault(5.0, "cut_proxy", 0, 4.0)]
    )
    worlds = [
        run_with_wall_clocks(short_retention, errors) for errors in (exact_clocks, wrong_clocks)
    ]
    assert worlds[0].digest != worlds[1].digest  # retention goes by the wall clock
