"""The explorer: stored plans detect their injected bugs, runs are deterministic, plans shrink.

A stored plan must violate a rule on the build with its injected bug, and none on this build.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.rules import Violation
from limebridge.virtual.coverage import STATE_TRIGGERS, History, add_rare_pairs, rarest_pairs
from limebridge.virtual.explore import explore, shrink
from limebridge.virtual.plan import (
    PROCESS_WEIGHTS,
    WEIGHTS,
    Fault,
    Plan,
    dump,
    generate,
    generate_consul,
    read,
)
from limebridge.virtual.runner import run_plan
from limebridge.virtual.timeline import render_html, render_text
from limebridge.virtual.world import Outcome
from tests.support.paths import ROOT, TESTS

# Injected bugs that no plan detects so far; see docs/ROADMAP.md.
NOT_DETECTED = {"late_keyed_repeat", "delivery_limits_removed"}
PLANS = sorted((TESTS / "plans").glob("*.json"))


def replay(*arguments: str, hashes: str = "random") -> tuple[int, dict[str, object]]:
    done = subprocess.run(
        [sys.executable, "-m", "limebridge", "replay", "--json", *arguments],
        cwd=ROOT,
        env=os.environ | {"PYTHONHASHSEED": hashes},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.stdout, done.stderr
    return done.returncode, json.loads(done.stdout)


@pytest.mark.parametrize("path", PLANS, ids=lambda path: path.stem)
def test_stored_plan_violates_a_rule_only_with_its_injected_bug(path: Path) -> None:
    patch = TESTS / "planted" / f"{path.stem}.py"
    code, report = replay(str(path), "--patch", str(patch))
    assert code == 1 and report["broken"]
    assert len(read(path).faults) <= 4
    assert run_plan(read(path)).violations == []


def test_every_injected_bug_that_a_plan_detects_has_a_stored_plan() -> None:
    planted = {path.stem for path in (TESTS / "planted").glob("*.py")}
    assert {path.stem for path in PLANS} == planted - NOT_DETECTED


def test_seed_gives_the_same_digest_in_any_process() -> None:
    here = run_plan(generate(3))
    for hashes in ("0", "1", "random"):
        code, report = replay("3", hashes=hashes)
        assert (code, report["digest"]) == (0, here.digest)
    assert run_plan(generate(4)).digest != here.digest


@pytest.mark.long
def test_exploration_result_does_not_depend_on_the_number_of_workers() -> None:
    *_, two = explore(0, 8, jobs=2)
    *_, three = explore(0, 8, jobs=3)
    assert two.digest == three.digest and two.seeds == 8
    assert two.requests >= 8 * 300 and not two.failed and two.pair_counts


def test_plan_round_trips_through_its_file_and_a_bad_one_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "plan.json"
    path.write_text(dump(generate(9)))
    assert read(path) == generate(9)
    path.write_text('{"seed": 1, "faults": [{"at": 1, "kind": "nothing"}]}')
    result = CliRunner().invoke(app, ["replay", str(path)])
    assert result.exit_code == 2 and "kind" in result.output
    assert CliRunner().invoke(app, ["explore", "--seeds", "0"]).exit_code == 2


def test_shrinking_keeps_the_fault_that_causes_the_violation() -> None:
    faults = tuple(Fault(at, "node_slow", lasts=1.0) for at in range(1, 6))
    cause = Fault(4.5, "path_cut", lasts=0.05)
    runs = 0

    def run(plan: Plan) -> Outcome:
        nonlocal runs
        runs += 1
        outcome = Outcome(plan, [], 0, {}, "", 0.0, [])
        if any(fault.kind == "path_cut" for fault in plan.faults):
            outcome.violations.append(Violation(2, 0.0, "planted"))
        return outcome

    smaller = shrink(msgspec.structs.replace(generate(1), faults=(*faults, cause)), 2, run=run)
    assert smaller.faults == (cause,) and smaller.seconds < 8.0 and runs <= 120


def test_text_and_html_reports_contain_the_faults() -> None:
    outcome = run_plan(generate(5))
    for text in (render_text(outcome), render_html(outcome)):
        assert all(fault.kind in text for fault in outcome.plan.faults)
    assert "no rule violated" in render_text(outcome) and "<circle" in render_html(outcome)


@pytest.mark.long
def test_printed_replay_command_reproduces_the_violation(tmp_path: Path) -> None:
    here = run_plan(generate_consul(11))
    code, report = replay("11", "--consul")
    assert (code, report["digest"]) == (0, here.digest)
    patch = str(TESTS / "planted" / "other_source_drain_ignored.py")
    explored = subprocess.run(  # in a separate process, since a patch is never removed
        [
            sys.executable,
            "-m",
            "limebridge",
            "explore",
            "--consul",
            "--from",
            "22",
            "--seeds",
            "1",
            "--patch",
            patch,
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert explored.returncode == 1
    (line,) = [
        line for line in explored.stderr.splitlines() if line.startswith("limebridge replay")
    ]
    assert line == f"limebridge replay 22 --consul --patch {patch}"
    assert replay(*line.split()[2:])[0] == 1


def test_seeds_are_used_once_and_coverage_is_stored_by_build(tmp_path: Path) -> None:
    path = tmp_path / "state" / "explored.json"
    one, other = History(path), History(path)
    other.build = "another"
    assert [
        one.reserve_seeds("plain", 10)[0],
        other.reserve_seeds("plain", 5)[0],
        one.reserve_seeds("consul", 1)[0],
        one.reserve_seeds("plain", 1)[0],
    ] == [0, 10, 0, 15]
    one.add(10, {"reload/list: silent": 2})
    one.add(1, {"reload/list: silent": 1})
    assert one.reserve_seeds("plain", 1)[1] == {"reload/list: silent": 3}
    assert other.reserve_seeds("plain", 1) == (17, {})
    path.write_text("{")
    with pytest.raises(ValueError, match="explored"):
        one.reserve_seeds("plain", 1)


def test_next_continues_after_earlier_runs_and_rejects_a_malformed_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("XDG_STATE_HOME", str(tmp_path))
    run = ["explore", "--next", "--seeds", "2", "--jobs", "1", "--json"]
    firsts = [json.loads(CliRunner().invoke(app, run).stdout)["first"] for _ in range(2)]
    assert firsts == [0, 2]
    (tmp_path / "limebridge" / "explored.json").write_text("[]")
    assert CliRunner().invoke(app, run).exit_code == 2


def test_plans_are_extended_for_the_rarest_pairs() -> None:
    pair_counts = {
        f"{kind}/list: {state}, by platform": 9
        for kind in [*WEIGHTS, *PROCESS_WEIGHTS]
        for state in STATE_TRIGGERS
        if (kind, state) != ("path_cut", "a drain just told")
    }
    assert rarest_pairs(pair_counts, consul=False)[0] == ("path_cut", "a drain just told")
    pairs = rarest_pairs(pair_counts, consul=False, max_pairs=1)
    extended = add_rare_pairs(generate(5), pairs)
    assert extended == add_rare_pairs(generate(5), pairs) and set(generate(5).faults) < set(
        extended.faults
    )
    drains = [fault.at for fault in extended.faults if fault.kind == "node_drains"]
    cuts = set(extended.faults) - set(generate(5).faults)
    assert any(
        fault.kind == "path_cut" and any(0 <= fault.at - at <= 0.5 for at in drains)
        for fault in cuts
    )
    assert run_plan(extended).pair_counts["path_cut/list: a drain just told, by platform"]


def test_reload_delayed_by_a_pause_reads_the_latest_configuration() -> None:
    """Seed 8201801 has two SIGHUPs in one pause; once the older configuration was applied last."""
    outcome = run_plan(generate(8_201_801))
    assert not outcome.violations and any(f.kind == "reload" for f in outcome.plan.faults)
