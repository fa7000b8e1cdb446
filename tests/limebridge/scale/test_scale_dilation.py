"""Time dilation of scale runs: the clocks and timeouts of a process are slowed by one factor."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import pytest

from limebridge.scale.run import ScaleRun
from limebridge.scale.run_plan import PlanError, RunPlan, check_plan
from limebridge.scale.time_dilation import REAL_TIME, dilated, dilated_command
from tests.support.paths import ROOT

FACTOR = 4.0
WAIT_S = 0.1  # in dilated time


def test_a_sleep_takes_factor_times_longer() -> None:
    real = time.monotonic
    began = real()
    with dilated(FACTOR):
        slowed_began, wall_began = time.monotonic(), time.time()
        asyncio.run(asyncio.sleep(WAIT_S))
        slowed_elapsed, wall_elapsed = time.monotonic() - slowed_began, time.time() - wall_began
    elapsed = real() - began
    assert time.monotonic is real  # restored
    assert elapsed >= FACTOR * WAIT_S
    assert WAIT_S <= slowed_elapsed <= elapsed / FACTOR
    assert WAIT_S * 0.9 <= wall_elapsed <= elapsed / FACTOR + 0.01


def test_child_processes_have_the_same_dilated_clocks(tmp_path: Path) -> None:
    module = tmp_path / "print_the_time.py"
    module.write_text("import sys, time; print(time.monotonic(), time.time(), sys.argv[1:])")
    with dilated(FACTOR):
        before, wall_before = time.monotonic(), time.time()
        printed = subprocess.run(
            dilated_command(FACTOR, "print_the_time", "a", "b"),
            capture_output=True,
            text=True,
            check=True,
            env={"PYTHONPATH": f"{tmp_path}:{ROOT}"},
        ).stdout.split(" ", 2)
        after, wall_after = time.monotonic(), time.time()
    assert before <= float(printed[0]) <= after
    assert wall_before <= float(printed[1]) <= wall_after
    assert printed[2].strip() == "['a', 'b']"


def test_factor_one_changes_nothing() -> None:
    real = time.monotonic
    with dilated(REAL_TIME):
        assert time.monotonic is real
    assert dilated_command(REAL_TIME, "m", "x") == (sys.executable, "-m", "m", "x")


def test_a_dilated_run_measures_in_dilated_seconds() -> None:
    plan = RunPlan(
        proxies=8,
        sites=4,
        regions=2,
        nodes=5,
        real=1,
        controls=3,
        seconds=2.0,
        warm_seconds=0.5,
        purges=40.0,
        hosts=1,
        slowdown=2.0,
    )
    began = time.monotonic()
    with dilated(plan.slowdown):
        report = asyncio.run(ScaleRun(plan, lambda activity, share: None).run())
    assert time.monotonic() - began >= plan.slowdown * (plan.seconds + plan.warm_seconds)
    assert 1.9 < report.measured_s < 4.0  # dilated seconds
    assert any("2 times more slowly" in note for note in report.notes)
    assert report.calibration is not None and 0.5 < report.calibration.bytes_in < 2.0
    assert report.in_force is not None and report.in_force.early == 0
    assert report.in_force.never_applied == report.in_force.never_reported == 0


@pytest.mark.parametrize("slowdown", [0.5, 50.0, float("nan")])
def test_an_invalid_factor_is_refused(slowdown: float) -> None:
    with pytest.raises(PlanError, match="--slowdown"):
        check_plan(RunPlan(slowdown=slowdown))
