"""Distribution under faults: planted faults are found, and what is built keeps its promises."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from limebridge.faults.distribution import explore, plan, rig, walk
from limebridge.faults.distribution.checker import LogEntry, Rule, RuleChecker
from limebridge.faults.distribution.plan import Fault, Plan
from limebridge.faults.distribution.state_space import Bounds, World
from limebridge.faults.state_space import check
from tests.support.paths import ROOT

PLANS = ROOT / "tests" / "plans_distribution"
SEEDS = range(30)
WALKS = range(40)
TRIES = 12

# The rule that each planted fault breaks, with its shortest story in PLANS.
PLANTED = {
    "done_without_last_ack.toml": Rule.IN_FORCE,
    "late_leader_believed.story": Rule.CRASH,
    "gap_not_noticed.toml": Rule.ORDER,
    "snapshot_older_than_deltas.toml": Rule.PROGRESS,
    "lost_disk_as_empty_log.story": Rule.DURABLE,
    "as_of_from_receipt.toml": Rule.IN_FORCE,
    "early_before_full_reports.toml": Rule.IN_FORCE,
    "commit_of_earlier_term.story": Rule.DURABLE,
    "no_drift_in_force.toml": Rule.IN_FORCE,
    "no_drift_in_sessions.toml": Rule.IN_FORCE,
}


# In a process of its own: a planted fault stays for as long as its process.
PLAY = """
import runpy, sys
from pathlib import Path
runpy.run_path(sys.argv[1])["plant"]()
from tests.limebridge.faults.distribution.test_distribution_faults import find
print(find(Path(sys.argv[2])))
"""


def played(path: Path, shift: int) -> str:
    """The first rule that a kept story, or a plan with the chances of a later seed, breaks."""
    if path.suffix == ".story":
        return walk.replay(path.read_text().splitlines()).partition(":")[0]
    kept = plan.read(path)
    broken = explore.run_plan(msgspec.structs.replace(kept, seed=kept.seed + shift)).violations
    return broken[0].rule if broken else ""


def find(path: Path) -> str:
    """The first shift with which something breaks, and the rule: a timing must not void a plan."""
    for shift in range(TRIES):
        if rule := played(path, shift):
            return f"{shift} {rule}"
    return ""


@pytest.mark.long
def test_thirty_seeds_keep_every_promise() -> None:
    for seed in SEEDS:
        outcome = explore.run_seed(seed)
        assert outcome.violations == (), f"limebridge faults distribution replay {seed}"
        assert outcome.committed > 0 and outcome.applied > 0


def test_a_run_is_the_same_each_time() -> None:
    assert explore.run_seed(3).digest == explore.run_seed(3).digest != explore.run_seed(4).digest


def test_walks_through_the_orders_of_events_keep_every_promise() -> None:
    assert [found for found in map(walk.walk, WALKS) if found.violation] == []


def test_a_replica_that_follows_may_leave_its_prepare_unanswered() -> None:
    """Found by seeds and by walks: the leader ended with a KeyError."""
    assert played(PLANS / "prepare_to_a_follower.story", 0) == ""


def test_every_order_of_two_leaders_terms_keeps_every_promise() -> None:
    none = dict.fromkeys(("times", "publications", "losses", "copies", "crashes"), 0)
    found = check(World(Bounds(**none, torn=0, disks=0)), max_states=1500, liveness_every=500)
    assert found.traces == {} and found.states >= 1500


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_fault_is_found_and_its_story_is_clean_without_it(name: str) -> None:
    path = PLANS / name
    patch = ROOT / "tests" / "planted_distribution" / f"{path.stem}.py"
    told = subprocess.run(
        [sys.executable, "-c", PLAY, str(patch), str(path)],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
        timeout=150,
    )
    shift, _, rule = told.stdout.strip().partition(" ")
    assert rule == PLANTED[name], told.stdout + told.stderr
    assert played(path, int(shift)) == ""


# --- the judge ---
def checker() -> RuleChecker:
    return RuleChecker(stale_after_s=1.0, drift=0.0)


def rules(judged: RuleChecker) -> list[str]:
    return [violation.rule for violation in judged.violations]


def test_the_judge_names_what_a_proxy_does_wrong() -> None:
    judged = checker()
    judged.batch_applied(0.0, "p0", "a", LogEntry(1, 1, ("x",)))
    judged.batch_applied(0.0, "p0", "a", LogEntry(3, 1, ("z",)))
    assert rules(judged) == [Rule.ORDER]  # a gap
    judged = checker()
    judged.all_invalidated(0.0, "p0", "a", 2)
    judged.batch_applied(0.0, "p0", "a", LogEntry(3, 1, ("z",)))
    assert rules(judged) == []
    judged.batch_applied(0.0, "p0", "a", LogEntry(3, 1, ("z",)))
    assert rules(judged) == [Rule.ORDER]  # twice
    judged = checker()
    judged.batch_applied(0.0, "p0", "a", LogEntry(1, 1, ("x",)))
    judged.batch_applied(0.0, "p1", "a", LogEntry(1, 2, ("y",)))
    assert rules(judged) == [Rule.ORDER]  # another content


def test_the_judge_names_who_is_fresh_without_what_it_has_to_have() -> None:
    judged = checker()
    judged.publication_committed(1.0, 1, 1, ("x",))
    judged.proxy_observed(1.9, "p0", "a", fresh=True)
    judged.proxy_observed(2.1, "p0", "a", fresh=False)
    assert rules(judged) == []
    judged.proxy_observed(2.1, "p0", "a", fresh=True)
    assert rules(judged) == [Rule.BOUND]
    judged = checker()
    judged.in_force_reported(1.0, 1)
    judged.proxy_observed(1.1, "p0", "a", fresh=True, position=1)
    assert rules(judged) == []
    judged.proxy_observed(1.1, "p1", "a", fresh=True)
    assert rules(judged) == [Rule.IN_FORCE]


def test_the_judge_names_a_later_leader_that_lacks_what_was_committed() -> None:
    judged = checker()
    judged.publication_committed(1.0, 2, 1, ("x",))
    judged.leader_observed(2.0, "m1", 1, 1, lambda position: None)
    assert rules(judged) == []  # the same term
    judged.leader_observed(2.0, "m1", 2, 2, lambda position: LogEntry(position, 1, ("x",)))
    assert rules(judged) == []
    judged.leader_observed(2.0, "m2", 3, 1, lambda position: None)
    judged.leader_observed(2.0, "m0", 4, 2, lambda position: LogEntry(position, 4, ()))
    assert rules(judged)[0] == Rule.DURABLE and len(judged.violations) == 3


# --- plans ---
def test_a_plan_is_its_seeds_and_is_read_back(tmp_path: Path) -> None:
    for seed in range(40):
        drawn = plan.generate(seed)
        assert plan.generate(seed) == drawn
        path = tmp_path / "plan.toml"
        path.write_text(plan.dump(drawn))
        assert plan.read(path) == drawn


# --- real processes ---
REAL = Plan(
    seed=1,
    seconds=4.0,
    proxies=3,
    stale_after_s=2.0,
    publications_per_s=10.0,
    fault=[Fault(0.5, "cut", 0, 1.5), Fault(1.0, "pause", 1, 1.0), Fault(2.2, "kill", 2, 0.5)],
)


def test_real_processes_keep_every_promise() -> None:
    outcome = rig.run_plan(REAL)
    assert outcome.violations == [], outcome.trace[-4000:]
    assert outcome.committed > 0 and outcome.applied > 0


def test_a_real_disk_that_is_lost_is_replaced() -> None:
    lost = [Fault(0.5, "lose_disk", 1, 0.3), Fault(1.5, "cut_in", 0, 1.0)]
    outcome = rig.run_plan(msgspec.structs.replace(REAL, seed=2, fault=lost))
    assert outcome.violations == [], outcome.trace[-4000:]


def test_a_real_proxy_that_acknowledges_and_does_not_apply_is_found() -> None:
    """Leaders and its own status say that all is well: the judge compares with what it applied."""
    outcome = rig.run_plan(msgspec.structs.replace(REAL, seed=3, fault=[]), drops_every=5)
    assert {broken.rule for broken in outcome.violations} == {Rule.ORDER}, outcome.trace[-4000:]
    assert all(" p0 applies " in broken.text for broken in outcome.violations)
