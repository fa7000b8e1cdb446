"""Tests experiments: points, runs that fail, the store, statistics and tables."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sqlite3
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.experiments import builds, command, plan, runner, statistics, tables, worker
from limebridge.experiments.plan import Experiment, load_experiment, point_key, points
from limebridge.experiments.store import VERSION, Run, Store, StoreError
from limebridge.rehearsal.scenario import load
from tests.support.paths import ROOT
from violetroute.config import ConfigError

SCENARIO = "[run]\nseconds = 2.0\n[load]\ncurve = [{at = 0.0, rate = 40.0}]\n"
EXPERIMENT = """question = "how much more load can be served"
scenario = "{folder}/mini.toml"
seeds = 2
measures = ["service", "p99_ms"]
[factors]
"load.scale" = [1.0, 2.0]
"policy.gate.GAIN" = [2.5, 5.0]
"""


def load_text(tmp_path: Path, text: str = EXPERIMENT, morning: str = SCENARIO) -> Experiment:
    (tmp_path / "mini.toml").write_text(morning)
    path = tmp_path / "sweep.toml"
    path.write_text(text.replace("{folder}", str(tmp_path)))
    return load_experiment(str(path))


def run_experiment(experiment: Experiment, store: Store, workers: int = 2) -> runner.Progress:
    return asyncio.run(runner.run(experiment, store, workers))


# --- points ---
def test_grid_and_list_give_their_points(tmp_path: Path) -> None:
    grid = load_text(tmp_path)
    assert len(points(grid)) == 4 and len({point_key(p) for p in points(grid)}) == 4
    listed = load_text(tmp_path, EXPERIMENT + '[design]\nkind = "list"\n')
    assert [list(p.values()) for p in points(listed)] == [[1.0, 2.5], [2.0, 5.0]]


@pytest.mark.parametrize("kind", ["latin", "sobol"])
def test_sampled_points_are_even_and_reproducible(tmp_path: Path, kind: str) -> None:
    text = (
        EXPERIMENT.partition("[factors]")[0]
        + '[factors]\n"load.scale" = {from = 1.0, to = 3.0}\n"proxies.count" = '
        + '{from = 1.0, to = 8.0, whole = true}\n"box.standard.slots" = [2, 4]\n'
        + f'[design]\nkind = "{kind}"\npoints = 16\n'
    )
    drawn_points = points(load_text(tmp_path, text))
    assert drawn_points == points(load_text(tmp_path, text)) and len(drawn_points) == 16
    for part in range(4):  # 4 of the 16 points are in each quarter of the range
        inside = [p for p in drawn_points if 1.0 + 0.5 * part <= p["load.scale"] < 1.5 + 0.5 * part]
        assert len(inside) == 4
    assert {p["box.standard.slots"] for p in drawn_points} == {2, 4}
    assert all(isinstance(p["proxies.count"], int) for p in drawn_points)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (EXPERIMENT.replace("question", "queston"), "queston"),
        (EXPERIMENT.replace("/mini.toml", "/none.toml"), "scenario"),
        (EXPERIMENT.replace('"p99_ms"', '"p9"'), "measures"),
        (EXPERIMENT.replace("[1.0, 2.0]", "[]"), "load.scale"),
        (EXPERIMENT.replace("seeds = 2", "seeds = 0"), "seeds"),
        (EXPERIMENT.replace("seeds = 2", "seeds = [1, 1]"), "seeds"),
        (
            EXPERIMENT + '[design]\nkind = "latin"\n[factors.x]\nfrom = 2.0\nto = 1.0\n',
            "[factors] x",
        ),
        (EXPERIMENT.replace("[1.0, 2.0]", "[1.0]") + '[design]\nkind = "list"\n', "as many levels"),
        (EXPERIMENT + "[budget]\nruns = 0\n", "runs"),
    ],
)
def test_invalid_file_is_one_line_with_its_key(tmp_path: Path, text: str, expected: str) -> None:
    with pytest.raises(ConfigError) as error:
        load_text(tmp_path, text)
    assert expected in str(error.value) and "\n" not in str(error.value)


# --- runs ---
def test_stored_runs_are_not_repeated(tmp_path: Path) -> None:
    experiment, store = load_text(tmp_path), Store(tmp_path / "s.sqlite")
    first = run_experiment(experiment, store)
    assert (first.total, first.executed, first.failed) == (8, 8, 0)
    rows = list(store.runs(experiment.digest, with_details=True))
    assert len(rows) == 8 and all(row.state == "done" and row.times for row in rows)
    assert all(row.detail is not None and row.detail["seconds"] for row in rows)
    by_load = {row.point: row.scenario for row in rows}
    assert len(set(by_load.values())) == 2  # policy constants are not part of the scenario
    again = run_experiment(experiment, store)
    assert (again.already_stored, again.executed) == (8, 0)


def test_inconsistent_points_and_unknown_constants_are_invalid_runs(
    tmp_path: Path,
) -> None:
    text = EXPERIMENT.replace(
        '"load.scale" = [1.0, 2.0]', '"class.lookup.aim_ms" = [200.0, 900.0]'
    ).replace("GAIN", "GAINS")
    experiment, store = load_text(tmp_path, text), Store(tmp_path / "s.sqlite")
    assert run_experiment(experiment, store).states == {"invalid": 8}
    why = {row.why for row in store.runs(experiment.digest)}
    assert any("above its deadline" in each for each in why)
    assert any("policy.gate.GAINS" in each for each in why)


@pytest.mark.long
def test_run_over_its_time_or_memory_limit_fails_alone(tmp_path: Path) -> None:
    text = (
        EXPERIMENT.partition("[factors]")[0]
        + '[factors]\n"run.seconds" = [2.0, 90000.0]\n'
        + "[budget]\nlimit_s = 4.0\n"
    )
    experiment, store = load_text(tmp_path, text), Store(tmp_path / "s.sqlite")
    assert run_experiment(experiment, store).states == {"done": 2, "overtime": 2}
    small = load_text(
        tmp_path,
        text.replace("limit_s = 4.0", "memory_mb = 60.0").replace(
            '"run.seconds" = [2.0, 90000.0]', '"load.scale" = [60.0]'
        ),
    )
    assert run_experiment(small, store).states == {"crashed": 2}


def test_edited_scenario_runs_again_and_removed_levels_are_not_shown(
    tmp_path: Path,
) -> None:
    store = Store(tmp_path / "s.sqlite")
    first = load_text(tmp_path)
    assert run_experiment(first, store).executed == 8
    commits_before = {run.commit for run in store.runs(first.digest)}
    edited = load_text(
        tmp_path, EXPERIMENT.replace("[2.5, 5.0]", "[2.5]"), SCENARIO.replace("40.0", "50.0")
    )
    assert run_experiment(edited, store).executed == 4
    newest, rows = command.newest_cells(edited, store)
    # The rows are runs of the old and the new scenario, for the two remaining points.
    assert len(newest) == 2 and len(rows) == 8
    assert {c.commit for c in newest} == {r.commit for r in rows} - commits_before
    assert all(c.seeds == 2 for c in newest)


def test_budget_stops_a_call_and_the_next_one_continues(tmp_path: Path) -> None:
    without_time = load_text(tmp_path, EXPERIMENT + "[budget]\nminutes = 1e-9\n")
    assert run_experiment(without_time, Store(tmp_path / "q.sqlite")).executed == 0
    experiment = load_text(tmp_path, EXPERIMENT + "[budget]\nruns = 3\n")
    store = Store(tmp_path / "s.sqlite")
    progress = run_experiment(experiment, store)
    assert progress.executed == 3 and "budget" in progress.stop_reason
    assert run_experiment(experiment, store).already_stored == 3


def test_older_build_runs_with_this_kit(tmp_path: Path) -> None:
    head = subprocess.run(
        ["git", "-C", str(ROOT), "rev-parse", "HEAD"], capture_output=True, text=True, check=False
    )
    if head.returncode:
        pytest.skip("no history here")
    text = EXPERIMENT.replace('"policy.gate.GAIN" = [2.5, 5.0]', 'build = [".", "HEAD"]')
    experiment, store = load_text(tmp_path, text), Store(tmp_path / "s.sqlite")
    assert run_experiment(experiment, store).states == {"done": 8}
    assert head.stdout.strip() in {
        row.commit.partition(".")[0] for row in store.runs(experiment.digest)
    }
    assert builds.build_id(".").startswith("here-") and builds.build_id(".") == builds.build_id(".")
    with pytest.raises(builds.BuildError, match="no such commit"):
        builds.build_id("no-such")


def test_cancelled_job_leaves_no_result_to_the_next_one(tmp_path: Path) -> None:
    load_text(tmp_path)
    raw = msgspec.to_builtins(load(str(tmp_path / "mini.toml")))

    def job(seed: int, seconds: float) -> dict[str, Any]:
        return {
            "scenario": raw | {"run": raw["run"] | {"seconds": seconds}},
            "seed": seed,
            "constants": {},
        }

    async def run_jobs() -> None:
        worker_process = runner.Worker(ROOT, 4000.0)
        expected = await worker_process.run_job(job(1, 2.0), 60.0)
        cancelled = asyncio.create_task(worker_process.run_job(job(1, 60.0), 60.0))
        await asyncio.sleep(0)  # the job has been written, but its result has not arrived
        cancelled.cancel()
        with pytest.raises(asyncio.CancelledError):
            await cancelled
        again = await worker_process.run_job(job(1, 2.0), 60.0)
        await worker_process.stop()
        assert (
            again["scenario"] == expected["scenario"] and again["measures"] == expected["measures"]
        )

    asyncio.run(run_jobs())


def test_old_builds_are_removed(tmp_path: Path) -> None:
    for number in range(30):
        (tmp_path / f"old-{number}").mkdir()
        os.utime(tmp_path / f"old-{number}", (number, number))
    folder = builds.build_folder(".", tmp_path)
    assert builds.build_folder(".", tmp_path) == folder and (folder / "snowstall").is_dir()
    assert len(list(tmp_path.iterdir())) == builds.MAX_BUILDS + 1


def test_patched_constants_change_in_all_modules_and_are_restored() -> None:
    from snowstall import balance, learning

    with worker.patched_constants({"learning.MIN_ANSWERS": 3}):
        assert learning.MIN_ANSWERS == balance.MIN_ANSWERS == 3
    assert learning.MIN_ANSWERS == balance.MIN_ANSWERS == 10


@pytest.mark.long
def test_runs_count_once_after_kills_at_any_time(tmp_path: Path) -> None:
    """The program is interrupted or killed several times while it works, and then completes.

    No run may be lost or counted twice: the results equal those of an uninterrupted experiment.
    """
    experiment = load_text(tmp_path, EXPERIMENT.replace("seeds = 2", "seeds = 6"))
    command = [
        sys.executable,
        "-m",
        "limebridge",
        "experiment",
        "run",
        str(tmp_path / "sweep.toml"),
        "--store",
        str(tmp_path / "s.sqlite"),
        "--jobs",
        "3",
        "--json",
    ]
    kills = 0
    for rows in (1, 5, 9, 14):
        with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL) as child:
            deadline = time.monotonic() + 40.0
            while (
                _count(tmp_path / "s.sqlite") < rows
                and child.poll() is None
                and time.monotonic() < deadline
            ):
                time.sleep(0.02)
            child.send_signal(signal.SIGKILL if kills % 2 else signal.SIGINT)
            kills += 1
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert json.loads(completed.stdout)["ended"] == "whole"
    interrupted_results = {
        (r.point, r.seed): r.measures for r in Store(tmp_path / "s.sqlite").runs(experiment.digest)
    }
    uninterrupted = Store(tmp_path / "t.sqlite")
    run_experiment(experiment, uninterrupted, 3)
    assert interrupted_results == {
        (r.point, r.seed): r.measures for r in uninterrupted.runs(experiment.digest)
    }
    assert len(interrupted_results) == 24


def _count(path: Path) -> int:
    try:
        with sqlite3.connect(f"file:{path}?mode=ro", uri=True) as db:
            return int(db.execute("SELECT count(*) FROM runs").fetchone()[0])
    except sqlite3.Error:
        return 0


# --- the store ---
def row(seed: int, point: str = "{}", **more: Any) -> Run:
    return Run("e", point, "c", seed, measures={"service": seed / 10.0}, at=float(seed), **more)


def test_claims_exclude_each_other_and_those_of_dead_processes_are_taken_over(
    tmp_path: Path,
) -> None:
    one, two = Store(tmp_path / "s.sqlite"), Store(tmp_path / "s.sqlite")
    two._holder = f"{os.uname().nodename}/{os.getppid()}/{_born(os.getppid())}"
    name = ("e", "{}", "c", 1)
    assert one.claim(name) and not two.claim(name)
    assert one.forget_runs("e", ()) == 0 and two.claim(name)  # forget_runs deletes all claims
    two.release(name)
    assert two.claim(name) and not one.claim(name)
    assert one.add_run(row(1)) and not two.add_run(row(1)) and not one.claim(name)
    two._holder = f"{os.uname().nodename}/999999999/1"
    assert two.claim(("e", "{}", "c", 2)) and one.claim(("e", "{}", "c", 2))


def _born(pid: int) -> str:
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19]


def test_older_stores_are_migrated_and_later_or_other_files_rejected(tmp_path: Path) -> None:
    path = tmp_path / "s.sqlite"
    Store(path).close()
    with sqlite3.connect(path) as db:
        db.execute("ALTER TABLE runs DROP COLUMN detail")
        db.execute("UPDATE meta SET version = 1")
    store = Store(path)
    assert store.add_run(row(1, detail={"a": 1}))
    assert next(store.runs("e", with_details=True)).detail == {"a": 1}
    with sqlite3.connect(path) as db:
        db.execute("UPDATE meta SET version = ?", (VERSION + 1,))
    with pytest.raises(StoreError, match="later version"):
        Store(path)
    other = tmp_path / "other.sqlite"
    with sqlite3.connect(other) as db:
        db.execute("CREATE TABLE letters (a)")
    with pytest.raises(StoreError, match="not a store"):
        Store(other)
    (tmp_path / "text").write_text("no database at all, whatever it says " * 100)
    with pytest.raises(StoreError):
        Store(tmp_path / "text")


def test_full_disk_is_a_store_error_and_keeps_stored_runs(tmp_path: Path) -> None:
    store = Store(tmp_path / "s.sqlite")
    assert store.add_run(row(1))
    (pages,) = store._db.execute("PRAGMA page_count").fetchone()
    store._db.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(StoreError, match="full"):
        for seed in range(2, 500):
            store.add_run(row(seed, times=os.urandom(4096)))
    store._db.execute("PRAGMA max_page_count = 100000")
    assert store.add_run(row(1000)) and store.completed_runs("e") >= {
        ("{}", "c", 1),
        ("{}", "c", 1000),
    }


def test_listing_many_runs_is_fast(tmp_path: Path) -> None:
    store = Store(tmp_path / "s.sqlite")
    store.record_experiment("e", "name", "question", "")
    with store._transaction():
        store._db.executemany(
            "INSERT INTO runs VALUES ('e', ?, 'c', ?, '', '', 'done', 1.0, 0.0, '{}', '', NULL, "
            "NULL)",
            ((f"{n // 10}", n % 10) for n in range(100_000)),
        )
    began = time.process_time()
    assert store.experiments()[0][3] == {"done": 100_000}
    assert time.process_time() - began < 1.0


# --- statistics ---
def test_paired_differences_have_the_expected_verdicts() -> None:
    same = {s: 0.5 + s / 100 for s in range(8)}
    better = {s: v + 0.1 + (s % 3) / 100 for s, v in same.items()}
    improved = statistics.paired_difference(same, better)
    assert (
        improved.verdict == "better"
        and improved.low > 0.0
        and improved.pairs == 8
        and improved.more_seeds is None
    )
    assert statistics.paired_difference(same, better, more_is_better=False).verdict == "worse"
    assert statistics.paired_difference(same, same).verdict == "no difference at all"
    noisy = {s: v + (-1) ** s * 0.2 + 0.02 for s, v in same.items()}
    unclear = statistics.paired_difference(same, noisy)
    assert (
        unclear.verdict == "cannot tell"
        and unclear.more_seeds is not None
        and unclear.more_seeds > 100
    )
    few = statistics.paired_difference({1: 0.0, 2: 0.0}, {1: 1.0, 2: 1.1, 3: 5.0})
    assert few.verdict == "cannot tell" and few.more_seeds == 2


def test_error_rate_is_as_stated() -> None:
    """1,000 comparisons without a difference, of six seeds each: about 1 in 20 is significant."""
    rng = np.random.default_rng(5)
    wrong = sum(
        statistics.studentized(rng.normal(0.0, 1.0, 6), 0.05, n)[2] <= 0.05 for n in range(1000)
    )
    # 50 are expected; 20 is three standard deviations of the binomial distribution.
    assert wrong <= 70


@given(st.lists(st.floats(0.0, 1.0), min_size=1, max_size=20))
def test_holm_is_between_no_correction_and_bonferroni(ps: list[float]) -> None:
    significant = statistics.holm(ps)
    assert all(p <= 0.05 for p, t in zip(ps, significant, strict=True) if t)
    assert all(t for p, t in zip(ps, significant, strict=True) if p <= 0.05 / len(ps))


def test_interim_analyses_use_at_most_alpha() -> None:
    assert sum(statistics.alpha_at_look(look) for look in range(1, 60)) <= statistics.ALPHA


def test_the_warm_up_length_is_estimated() -> None:
    values = [0.2 + 0.08 * n for n in range(10)] + [1.0, 0.99] * 25
    assert (
        5 <= statistics.warm_up_length(values) <= 15
        and statistics.warm_up_length([1.0, 0.9] * 30) == 0
    )


# --- tables ---
def cell(point: dict[str, Any], **means: float) -> tables.Cell:
    return tables.Cell(point, "c", {name: {1: value, 2: value} for name, value in means.items()})


def test_the_pareto_front_and_the_knee_are_found() -> None:
    found_cells = [
        cell({"x": 1}, service=0.9, p99_ms=300.0),
        cell({"x": 2}, service=0.8, p99_ms=200.0),
        cell({"x": 3}, service=0.7, p99_ms=250.0),
    ]
    assert [c.point["x"] for c in tables.pareto_front(found_cells, "service", "p99_ms")] == [2, 1]
    assert tables.knee([1, 2, 3, 4, 5], [1.0, 1.0, 1.0, 0.5, 0.0]) == 2
    assert tables.knee([1, 2, 3], [1.0, 0.5, 0.0]) is None


def test_newest_commit_of_a_point_is_used() -> None:
    rows = [
        Run("e", "{}", "old", 1, at=1.0, measures={"service": 0.1}),
        Run("e", "{}", "new", 1, at=2.0, measures={"service": 0.9}),
        Run("e", "{}", "new", 2, at=3.0, state="crashed"),
    ]
    (found_cells,) = tables.newest_by_point(tables.cells(rows), rows)
    assert (
        found_cells.commit == "new"
        and found_cells.mean("service") == 0.9
        and found_cells.failed == 1
    )
    assert found_cells.mean("worst") is None  # the commit has no such measure


def test_the_command_line_runs_shows_and_compares_experiments(tmp_path: Path) -> None:
    load_text(tmp_path, EXPERIMENT.replace("seeds = 2", "seeds = 4"))
    files = [str(tmp_path / "sweep.toml"), "--store", str(tmp_path / "s.sqlite")]
    use = CliRunner()
    assert use.invoke(app, ["experiment", "show", *files]).exit_code == 2  # no store yet
    assert use.invoke(app, ["experiment", "run", *files]).exit_code == 0
    shown = json.loads(use.invoke(app, ["experiment", "show", *files, "--json"]).stdout)
    assert len(shown) == 4 and all(each["seeds"] == 4 for each in shown)
    compared = json.loads(use.invoke(app, ["experiment", "compare", *files, "--json"]).stdout)
    assert len(compared) == 6 and {each["pairs"] for each in compared} == {4}
    listed = use.invoke(app, ["experiment", "list", "--store", files[2]])
    assert "how much more load can be served" in " ".join(listed.stdout.split())
    assert use.invoke(app, ["experiment", "compare", *files, "--against", "9"]).exit_code == 2
    assert "nothing" in use.invoke(app, ["experiment", "run", "nothing"]).output


def test_shipped_experiments_can_be_loaded() -> None:
    assert plan.shipped_experiments() and all(
        points(load_experiment(name)) for name in plan.shipped_experiments()
    )


def test_builds_are_compared_by_point_over_several_scenarios(tmp_path: Path) -> None:
    (tmp_path / "other.toml").write_text(SCENARIO)
    text = EXPERIMENT.replace(
        'scenario = "{folder}/mini.toml"',
        'scenario = ["{folder}/mini.toml", "{folder}/other.toml"]',
    ).replace('"policy.gate.GAIN" = [2.5, 5.0]', 'build = ["one", "two"]')
    drawn_points = points(load_text(tmp_path, text))
    assert len(drawn_points) == 8 and {Path(p["scenario"]).stem for p in drawn_points} == {
        "mini",
        "other",
    }
    made_cells = [
        cell(point, service=0.5 + (point["build"] == "two") / 10) for point in drawn_points
    ]
    pairs = tables.pair_with_first_build(made_cells)
    assert len(pairs) == 4
    for before, after in pairs:
        assert (before.point["build"], after.point["build"]) == ("one", "two")
        assert before.point | {"build": "two"} == after.point
    for wrong in ("scenario = []", 'scenario = ["{folder}/mini.toml", "no-such"]'):
        with pytest.raises(ConfigError, match="scenario"):
            load_text(tmp_path, EXPERIMENT.replace('scenario = "{folder}/mini.toml"', wrong))
