"""Distribution under faults: the code violates no rule, and planted faults are detected."""

from __future__ import annotations

import re
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
MAX_SHIFTS = 12

# The rule that each planted fault violates.  The key is the file of its shortest plan or trace.
PLANTED_FAULTS = {
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


# Runs in a separate process, because a planted fault stays in place until its process ends.
FIND_SCRIPT = """
import runpy, sys
from pathlib import Path
runpy.run_path(sys.argv[1])["plant"]()
from tests.limebridge.faults.distribution.test_distribution_faults import find
print(find(Path(sys.argv[2])))
"""


def violated_rule(path: Path, shift: int) -> str:
    """The first rule that a stored trace or plan violates; `shift` is added to a plan's seed."""
    if path.suffix == ".story":
        return walk.replay(path.read_text().splitlines()).partition(":")[0]
    stored = plan.read(path)
    violations = explore.run_plan(
        msgspec.structs.replace(stored, seed=stored.seed + shift)
    ).violations
    return violations[0].rule if violations else ""


def find(path: Path) -> str:
    """The first shift of the seed with a violation, and its rule.

    Several seeds are tried, so that a change of timing does not make a plan miss its fault.
    """
    for shift in range(MAX_SHIFTS):
        if rule := violated_rule(path, shift):
            return f"{shift} {rule}"
    return ""


@pytest.mark.long
def test_thirty_seeds_violate_no_rule() -> None:
    for seed in SEEDS:
        outcome = explore.run_seed(seed)
        assert outcome.violations == (), f"limebridge faults distribution replay {seed}"
        assert outcome.committed > 0 and outcome.applied > 0


def test_run_is_reproducible() -> None:
    assert explore.run_seed(3).digest == explore.run_seed(3).digest != explore.run_seed(4).digest


def test_random_walks_violate_no_rule() -> None:
    assert [found for found in map(walk.walk, WALKS) if found.violation] == []


def test_follower_may_leave_its_prepare_without_reply() -> None:
    """Guards against a fault that seeds and random walks found: a KeyError ended the leader."""
    assert violated_rule(PLANS / "prepare_to_a_follower.story", 0) == ""


def test_no_order_of_events_in_two_terms_violates_a_rule() -> None:
    none = dict.fromkeys(("times", "publications", "losses", "copies", "crashes"), 0)
    found = check(World(Bounds(**none, torn=0, disks=0)), max_states=1500, liveness_every=500)
    assert found.traces == {} and found.states >= 1500


@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_planted_fault_is_detected_and_its_trace_passes_without_it(name: str) -> None:
    path = PLANS / name
    patch = ROOT / "tests" / "planted_distribution" / f"{path.stem}.py"
    result = subprocess.run(
        [sys.executable, "-c", FIND_SCRIPT, str(patch), str(path)],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
        timeout=150,
    )
    shift, _, rule = result.stdout.strip().partition(" ")
    assert rule == PLANTED_FAULTS[name], result.stdout + result.stderr
    assert violated_rule(path, int(shift)) == ""


# --- rule checker ---
def new_checker() -> RuleChecker:
    return RuleChecker(stale_after_s=1.0, drift=0.0)


def violated_rules(checker: RuleChecker) -> list[str]:
    return [violation.rule for violation in checker.violations]


def test_checker_reports_gaps_duplicates_and_different_entries() -> None:
    checker = new_checker()
    checker.batch_applied(0.0, "p0", "a", LogEntry(1, 1, ("x",)))
    checker.batch_applied(0.0, "p0", "a", LogEntry(3, 1, ("z",)))
    assert violated_rules(checker) == [Rule.ORDER]  # a gap
    checker = new_checker()
    checker.all_invalidated(0.0, "p0", "a", 2)
    checker.batch_applied(0.0, "p0", "a", LogEntry(3, 1, ("z",)))
    assert violated_rules(checker) == []
    checker.batch_applied(0.0, "p0", "a", LogEntry(3, 1, ("z",)))
    assert violated_rules(checker) == [Rule.ORDER]  # a duplicate
    checker = new_checker()
    checker.batch_applied(0.0, "p0", "a", LogEntry(1, 1, ("x",)))
    checker.batch_applied(0.0, "p1", "a", LogEntry(1, 2, ("y",)))
    assert violated_rules(checker) == [Rule.ORDER]  # different content at one position


def test_checker_reports_a_fresh_proxy_that_lacks_a_batch() -> None:
    checker = new_checker()
    checker.publication_committed(1.0, 1, 1, ("x",))
    checker.proxy_observed(1.9, "p0", "a", fresh=True)
    checker.proxy_observed(2.1, "p0", "a", fresh=False)
    assert violated_rules(checker) == []
    checker.proxy_observed(2.1, "p0", "a", fresh=True)
    assert violated_rules(checker) == [Rule.BOUND]
    checker = new_checker()
    checker.in_force_reported(1.0, 1)
    checker.proxy_observed(1.1, "p0", "a", fresh=True, position=1)
    assert violated_rules(checker) == []
    checker.proxy_observed(1.1, "p1", "a", fresh=True)
    assert violated_rules(checker) == [Rule.IN_FORCE]


def test_checker_reports_a_later_leader_without_a_committed_publication() -> None:
    checker = new_checker()
    checker.publication_committed(1.0, 2, 1, ("x",))
    checker.leader_observed(2.0, "m1", 1, 1, lambda position: None)
    assert violated_rules(checker) == []  # the term is that of the publication
    checker.leader_observed(2.0, "m1", 2, 2, lambda position: LogEntry(position, 1, ("x",)))
    assert violated_rules(checker) == []
    checker.leader_observed(2.0, "m2", 3, 1, lambda position: None)
    checker.leader_observed(2.0, "m0", 4, 2, lambda position: LogEntry(position, 4, ()))
    assert violated_rules(checker)[0] == Rule.DURABLE and len(checker.violations) == 3


# --- plans ---
def test_plan_is_reproducible_from_its_seed_and_its_file(tmp_path: Path) -> None:
    for seed in range(40):
        generated = plan.generate(seed)
        assert plan.generate(seed) == generated
        path = tmp_path / "plan.toml"
        path.write_text(plan.dump(generated))
        assert plan.read(path) == generated


# --- real processes ---
REAL = Plan(
    seed=1,
    seconds=4.0,
    proxies=3,
    stale_after_s=2.0,
    publications_per_s=10.0,
    fault=[Fault(0.5, "cut", 0, 1.5), Fault(1.0, "pause", 1, 1.0), Fault(2.2, "kill", 2, 0.5)],
)


def test_real_processes_violate_no_rule() -> None:
    outcome = rig.run_plan(REAL)
    assert outcome.violations == [], outcome.trace[-4000:]
    assert outcome.committed > 0 and outcome.applied > 0


def test_lost_disk_of_a_real_machine_is_replaced() -> None:
    faults = [Fault(0.5, "lose_disk", 1, 0.3), Fault(1.5, "cut_in", 0, 1.0)]
    outcome = rig.run_plan(msgspec.structs.replace(REAL, seed=2, fault=faults))
    assert outcome.violations == [], outcome.trace[-4000:]


def test_real_proxy_that_acknowledges_without_applying_is_detected() -> None:
    """Leaders and its own status report no problem; only the batches that it applied show it.

    If the last batch is one that p0 does not apply, p0 also misses it at the end.
    """
    drops_every = 5
    plan = msgspec.structs.replace(REAL, seed=3, fault=[])
    outcome = rig.run_plan(plan, drops_every)
    texts = [each.text for each in outcome.violations if each.rule == Rule.ORDER]
    assert texts and all(" p0 applies " in text for text in texts), outcome.trace[-4000:]
    for each in outcome.violations:
        if each.rule != Rule.ORDER:
            missed = re.fullmatch(
                r"p0 is fresh at the end at \d+, but (\d+) is committed", each.text
            )
            assert each.rule == Rule.DURABLE and missed, outcome.trace[-4000:]
            assert int(missed[1]) % drops_every == 0, outcome.trace[-4000:]
