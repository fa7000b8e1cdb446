"""Real processes of two builds side by side, and a rollout from one to the other and back.

The other build is made from this checkout: it has one field more in every message and in all that
is stored.  See "Two builds side by side" of docs/design/faults.md for why no commit is checked out.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.experiments.builds import NoBuild
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
SMALL = msgspec.structs.replace(PLAN, machines=1, proxies=1)


def test_a_rollout_to_the_next_build_and_back_keeps_every_promise(tmp_path: Path) -> None:
    builds = Builds(copy_of_this_build(tmp_path / "old"), next_build(tmp_path / "new"), True)
    cut = Fault(0.5, "cut", 0, 0.5)
    outcome = rig.run_plan(msgspec.structs.replace(PLAN, fault=[cut]), builds=builds)
    assert outcome.violations == [], outcome.trace[-4000:]
    assert outcome.replaced == 2 * (PLAN.machines + PLAN.proxies)
    assert outcome.leaders_replaced >= 2  # at least one each way
    assert outcome.committed > 0 and outcome.applied > 0


def test_a_disk_that_the_older_build_cannot_read_is_found(tmp_path: Path) -> None:
    builds = Builds(copy_of_this_build(tmp_path / "old"), build_with_another_disk(tmp_path), True)
    outcome = rig.run_plan(SMALL, builds=builds)
    (broken,) = outcome.violations
    assert broken.rule == Rule.CRASH and "a frame that cannot be read" in broken.text
    assert outcome.replaced >= SMALL.machines + SMALL.proxies  # the way to the newer one was none


def test_messages_that_the_older_build_cannot_read_are_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rig, "HEAL_TIMEOUT_S", 1.0)  # nothing comes of waiting longer
    old, new = copy_of_this_build(tmp_path / "old"), build_with_other_messages(tmp_path)
    monkeypatch.setattr(rig, "assign", split_by_role)
    outcome = rig.run_plan(SMALL, builds=Builds(old, new))
    assert Rule.PROGRESS in {broken.rule for broken in outcome.violations}, outcome.trace[-4000:]


def split_by_role(builds: Builds, stage: rig.Rig) -> None:
    """All control machines run the older build, all proxies the newer one."""
    for machine in stage.machines.processes:
        machine.build = builds.older
    for proxy in stage.proxies:
        proxy.build = builds.newer


def test_without_a_rollout_each_group_has_both_builds(tmp_path: Path) -> None:
    async def prepared(seed: int) -> rig.Rig:
        folder = tmp_path / str(seed)
        folder.mkdir()
        plan = msgspec.structs.replace(PLAN, seed=seed, proxies=3)
        made = rig.Rig(plan, folder, builds=Builds(Path("old"), Path("new")))
        await made._prepare()
        await made.links.stop()
        return made

    for seed in range(5):
        made = asyncio.run(prepared(seed))
        for group in (made.machines.processes, made.proxies):
            assert {each.build for each in group} == {Path("old"), Path("new")}


def test_a_folder_without_a_build_is_no_build(tmp_path: Path) -> None:
    with pytest.raises(NoBuild, match="No module named"):
        check_source(tmp_path)


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["run", "--seeds", "1", "--rolling"], "--rolling needs --older"),
        (["run", "--seeds", "1", "--older", "nosuch"], "build nosuch: no such commit"),
        (["replay", "1", "--real", "--older", "nosuch"], "build nosuch: no such commit"),
    ],
)
def test_a_build_that_there_is_not_is_one_line_and_exit_code_2(
    arguments: list[str], words: str
) -> None:
    told = CliRunner().invoke(app, ["faults", "distribution", *arguments])
    assert told.exit_code == 2
    assert words in told.output and told.output.count("\n") == 1


# --- the judge ---
def test_the_judge_names_a_snapshot_that_lacks_the_last_configuration() -> None:
    def judged(name: str, base: int) -> list[str]:
        checker = RuleChecker(stale_after_s=1.0, drift=0.0)
        for position, key in enumerate(("log=a", "k1", "limits=x", "log=b"), 1):
            checker.batch_applied(0.0, "p0", "i", LogEntry(position, 1, (key,)))
        checker.snapshot_applied(0.0, "p1", base, (name, "limits=x"))
        checker.finish(0, [])
        return [violation.rule for violation in checker.violations]

    assert judged("log=b", 4) == judged("log=a", 3) == []
    assert judged("log=c", 4) == []  # committed without anybody that was seen to apply it
    assert judged("other=c", 4) == [Rule.ORDER]  # without the key
    assert judged("log=a", 4) == [Rule.ORDER]  # older than what it stands for
    assert judged("log=b", 3) == [Rule.ORDER]  # later than what it stands for
