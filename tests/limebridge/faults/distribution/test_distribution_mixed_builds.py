"""Real processes of two builds in one deployment, and a rollout to the other and back.

The other build is made from this checkout by adding a field to every message and to everything that
is stored.  docs/design/faults.md, "Two builds side by side", explains why it is not a commit of the
history.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.experiments.builds import BuildError
from limebridge.faults.distribution import rig
from limebridge.faults.distribution.checker import LogEntry, Rule, RuleChecker
from limebridge.faults.distribution.mixed_builds import Builds, check_source
from limebridge.faults.distribution.plan import Fault, Plan
from tests.support.distribution_next_build import (
    build_with_another_disk,
    build_with_other_messages,
    copy_of_this_build,
    next_build,
)

PLAN = Plan(seed=1, seconds=1.0, proxies=2, stale_after_s=2.0, publications_per_s=20.0)
SMALL_PLAN = msgspec.structs.replace(PLAN, machines=1, proxies=1)


def test_rollout_to_the_next_build_and_back_violates_no_rule(tmp_path: Path) -> None:
    builds = Builds(copy_of_this_build(tmp_path / "old"), next_build(tmp_path / "new"), True)
    cut = Fault(0.5, "cut", 0, 0.5)
    outcome = rig.run_plan(msgspec.structs.replace(PLAN, fault=[cut]), builds=builds)
    assert outcome.violations == [], outcome.trace[-4000:]
    assert outcome.replaced == 2 * (PLAN.machines + PLAN.proxies)
    assert outcome.leaders_replaced >= 2  # at least one each way
    assert outcome.committed > 0 and outcome.applied > 0


def test_disk_format_that_the_older_build_cannot_read_is_detected(tmp_path: Path) -> None:
    builds = Builds(copy_of_this_build(tmp_path / "old"), build_with_another_disk(tmp_path), True)
    outcome = rig.run_plan(SMALL_PLAN, builds=builds)
    (violation,) = outcome.violations
    assert violation.rule == Rule.CRASH and "a frame that cannot be read" in violation.text
    # The rollout to the newer build succeeded.
    assert outcome.replaced >= SMALL_PLAN.machines + SMALL_PLAN.proxies


def test_messages_that_the_older_build_cannot_read_are_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rig, "HEAL_TIMEOUT_S", 1.0)  # recovery never happens, so do not wait
    old, new = copy_of_this_build(tmp_path / "old"), build_with_other_messages(tmp_path)
    monkeypatch.setattr(rig, "assign", split_by_role)
    outcome = rig.run_plan(SMALL_PLAN, builds=Builds(old, new))
    assert Rule.PROGRESS in {each.rule for each in outcome.violations}, outcome.trace[-4000:]


def split_by_role(builds: Builds, prepared_rig: rig.Rig) -> None:
    """All control machines run the older build, all proxies the newer one."""
    for machine in prepared_rig.machines.processes:
        machine.build = builds.older
    for proxy in prepared_rig.proxies:
        proxy.build = builds.newer


def test_without_a_rollout_each_group_has_both_builds(tmp_path: Path) -> None:
    async def prepare_rig(seed: int) -> rig.Rig:
        folder = tmp_path / str(seed)
        folder.mkdir()
        plan = msgspec.structs.replace(PLAN, seed=seed, proxies=3)
        created = rig.Rig(plan, folder, builds=Builds(Path("old"), Path("new")))
        await created._prepare()
        await created.links.stop()
        return created

    for seed in range(5):
        created = asyncio.run(prepare_rig(seed))
        for group in (created.machines.processes, created.proxies):
            assert {each.build for each in group} == {Path("old"), Path("new")}


def test_folder_without_packages_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(BuildError, match="No module named"):
        check_source(tmp_path)


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        (["run", "--seeds", "1", "--rolling"], "--rolling needs --older"),
        (["run", "--seeds", "1", "--older", "nosuch"], "build nosuch: no such commit"),
        (["replay", "1", "--real", "--older", "nosuch"], "build nosuch: no such commit"),
    ],
)
def test_missing_build_is_reported_in_one_line_with_exit_code_2(
    arguments: list[str], expected_text: str
) -> None:
    result = CliRunner().invoke(app, ["faults", "distribution", *arguments])
    assert result.exit_code == 2
    assert expected_text in result.output and result.output.count("\n") == 1


# --- rule checker ---
def test_checker_reports_a_snapshot_without_the_last_configuration() -> None:
    def violated_rules(name: str, base: int) -> list[str]:
        checker = RuleChecker(stale_after_s=1.0, drift=0.0)
        for position, key in enumerate(("log=a", "k1", "limits=x", "log=b"), 1):
            checker.batch_applied(0.0, "p0", "i", LogEntry(position, 1, (key,)))
        checker.snapshot_applied(0.0, "p1", base, (name, "limits=x"))
        checker.finish(0, [])
        return [violation.rule for violation in checker.violations]

    assert violated_rules("log=b", 4) == violated_rules("log=a", 3) == []
    assert violated_rules("log=c", 4) == []  # committed, but no proxy was observed to apply it
    assert violated_rules("other=c", 4) == [Rule.ORDER]  # the key is missing
    assert violated_rules("log=a", 4) == [Rule.ORDER]  # older than the snapshot's position
    assert violated_rules("log=b", 3) == [Rule.ORDER]  # newer than the snapshot's position
