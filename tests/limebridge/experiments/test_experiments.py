"""Experiments: points, the store through kills, runs that end badly, what may be said."""

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
from limebridge.experiments.plan import Experiment, key, points, read
from limebridge.experiments.store import VERSION, Run, Store, StoreError
from limebridge.rehearsal.scenario import load
from tests.support.paths import ROOT
from violetroute.config import ConfigError

MORNING = "[run]\nseconds = 2.0\n[load]\ncurve = [{at = 0.0, rate = 40.0}]\n"
FILE = """question = "how much more can be asked"
scenario = "{folder}/mini.toml"
seeds = 2
measures = ["service", "p99_ms"]
[factors]
"load.scale" = [1.0, 2.0]
"policy.gate.GAIN" = [2.5, 5.0]
"""


def made(tmp_path: Path, text: str = FILE, morning: str = MORNING) -> Experiment:
    (tmp_path / "mini.toml").write_text(morning)
    path = tmp_path / "sweep.toml"
    path.write_text(text.replace("{folder}", str(tmp_path)))
    return read(str(path))


def play(experiment: Experiment, store: Store, workers: int = 2) -> runner.Progress:
    return asyncio.run(runner.run(experiment, store, workers))


# --- points ---
def test_a_grid_has_all_and_a_list_goes_in_step(tmp_path: Path) -> None:
    grid = made(tmp_path)
    assert len(points(grid)) == 4 and len({key(p) for p in points(grid)}) == 4
    listed = made(tmp_path, FILE + '[design]\nkind = "list"\n')
    assert [list(p.values()) for p in points(listed)] == [[1.0, 2.5], [2.0, 5.0]]


@pytest.mark.parametrize("kind", ["latin", "sobol"])
def test_drawn_points_fill_each_factor_evenly_and_are_the_same_again(
    tmp_path: Path, kind: str
) -> None:
    text = (
        FILE.partition("[factors]")[0]
        + '[factors]\n"load.scale" = {from = 1.0, to = 3.0}\n"proxies.count" = '
        + '{from = 1.0, to = 8.0, whole = true}\n"box.standard.slots" = [2, 4]\n'
        + f'[design]\nkind = "{kind}"\npoints = 16\n'
    )
    found = points(made(tmp_path, text))
    assert found == points(made(tmp_path, text)) and len(found) == 16
    for part in range(4):  # four of the sixteen in each quarter
        inside = [p for p in found if 1.0 + 0.5 * part <= p["load.scale"] < 1.5 + 0.5 * part]
        assert len(inside) == 4
    assert {p["box.standard.slots"] for p in found} == {2, 4}
    assert all(isinstance(p["proxies.count"], int) for p in found)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        (FILE.replace("question", "queston"), "queston"),
        (FILE.replace("/mini.toml", "/none.toml"), "scenario"),
        (FILE.replace('"p99_ms"', '"p9"'), "measures"),
        (FILE.replace("[1.0, 2.0]", "[]"), "load.scale"),
        (FILE.replace("seeds = 2", "seeds = 0"), "seeds"),
        (FILE.replace("seeds = 2", "seeds = [1, 1]"), "seeds"),
        (FILE + '[design]\nkind = "latin"\n[factors.x]\nfrom = 2.0\nto = 1.0\n', "[factors] x"),
        (FILE.replace("[1.0, 2.0]", "[1.0]") + '[design]\nkind = "list"\n', "as many levels"),
        (FILE + "[budget]\nruns = 0\n", "runs"),
    ],
)
def test_a_file_that_cannot_be_used_is_one_line_with_its_key(
    tmp_path: Path, text: str, said: str
) -> None:
    with pytest.raises(ConfigError) as error:
        made(tmp_path, text)
    assert said in str(error.value) and "\n" not in str(error.value)


# --- runs ---
def test_runs_are_kept_and_not_played_again(tmp_path: Path) -> None:
    experiment, store = made(tmp_path), Store(tmp_path / "s.sqlite")
    first = play(experiment, store)
    assert (first.total, first.played, first.failed) == (8, 8, 0)
    rows = list(store.runs(experiment.digest, whole=True))
    assert len(rows) == 8 and all(row.state == "done" and row.times for row in rows)
    assert all(row.detail is not None and row.detail["seconds"] for row in rows)
    by_load = {row.point: row.scenario for row in rows}
    assert len(set(by_load.values())) == 2  # a constant of the policy is no part of the scenario
    again = play(experiment, store)
    assert (again.before, again.played) == (8, 0)


def test_a_point_that_makes_no_sense_and_a_constant_that_there_is_not_are_told(
    tmp_path: Path,
) -> None:
    text = FILE.replace(
        '"load.scale" = [1.0, 2.0]', '"class.lookup.aim_ms" = [200.0, 900.0]'
    ).replace("GAIN", "GAINS")
    experiment, store = made(tmp_path, text), Store(tmp_path / "s.sqlite")
    assert play(experiment, store).states == {"invalid": 8}
    why = {row.why for row in store.runs(experiment.digest)}
    assert any("above its deadline" in each for each in why)
    assert any("policy.gate.GAINS" in each for each in why)


@pytest.mark.long
def test_a_run_that_never_ends_or_eats_memory_costs_only_itself(tmp_path: Path) -> None:
    text = (
        FILE.partition("[factors]")[0]
        + '[factors]\n"run.seconds" = [2.0, 90000.0]\n'
        + "[budget]\nlimit_s = 4.0\n"
    )
    experiment, store = made(tmp_path, text), Store(tmp_path / "s.sqlite")
    assert play(experiment, store).states == {"done": 2, "overtime": 2}
    small = made(
        tmp_path,
        text.replace("limit_s = 4.0", "memory_mb = 60.0").replace(
            '"run.seconds" = [2.0, 90000.0]', '"load.scale" = [60.0]'
        ),
    )
    assert play(small, store).states == {"crashed": 2}


def test_an_edited_scenario_is_played_anew_and_levels_taken_out_are_not_shown(
    tmp_path: Path,
) -> None:
    store = Store(tmp_path / "s.sqlite")
    first = made(tmp_path)
    assert play(first, store).played == 8
    commits_before = {run.commit for run in store.runs(first.digest)}
    edited = made(tmp_path, FILE.replace("[2.5, 5.0]", "[2.5]"), MORNING.replace("40.0", "50.0"))
    assert play(edited, store).played == 4
    found, rows = command.played(edited, store)
    assert len(found) == 2 and len(rows) == 8  # old and new of the two that are left
    assert {c.commit for c in found} == {r.commit for r in rows} - commits_before
    assert all(c.seeds == 2 for c in found)


def test_a_budget_ends_it_and_the_next_call_goes_on(tmp_path: Path) -> None:
    quick = made(tmp_path, FILE + "[budget]\nminutes = 1e-9\n")
    assert play(quick, Store(tmp_path / "q.sqlite")).played == 0
    experiment = made(tmp_path, FILE + "[budget]\nruns = 3\n")
    store = Store(tmp_path / "s.sqlite")
    found = play(experiment, store)
    assert found.played == 3 and "budget" in found.why
    assert play(experiment, store).before == 3


def test_an_older_build_is_played_under_this_kit(tmp_path: Path) -> None:
    head = subprocess.run(
        ["git", "-C", str(ROOT), "rev-parse", "HEAD"], capture_output=True, text=True, check=False
    )
    if head.returncode:
        pytest.skip("no history here")
    text = FILE.replace('"policy.gate.GAIN" = [2.5, 5.0]', 'build = [".", "HEAD"]')
    experiment, store = made(tmp_path, text), Store(tmp_path / "s.sqlite")
    assert play(experiment, store).states == {"done": 8}
    assert head.stdout.strip() in {
        row.commit.partition(".")[0] for row in store.runs(experiment.digest)
    }
    assert builds.commit(".").startswith("here-") and builds.commit(".") == builds.commit(".")
    with pytest.raises(builds.NoBuild, match="no such commit"):
        builds.commit("no-such")


def test_a_worker_that_is_called_off_gives_the_next_job_no_old_result(tmp_path: Path) -> None:
    made(tmp_path)
    raw = msgspec.to_builtins(load(str(tmp_path / "mini.toml")))

    def job(seed: int, seconds: float) -> dict[str, Any]:
        return {
            "scenario": raw | {"run": raw["run"] | {"seconds": seconds}},
            "seed": seed,
            "constants": {},
        }

    async def play() -> None:
        one = runner.Worker(ROOT, 4000.0)
        first = await one.play(job(1, 2.0), 60.0)
        long = asyncio.create_task(one.play(job(1, 60.0), 60.0))
        await asyncio.sleep(0)  # it is written, and nothing has come back yet
        long.cancel()
        with pytest.raises(asyncio.CancelledError):
            await long
        again = await one.play(job(1, 2.0), 60.0)
        await one.end()
        assert again["scenario"] == first["scenario"] and again["measures"] == first["measures"]

    asyncio.run(play())


def test_unpacked_builds_do_not_pile_up(tmp_path: Path) -> None:
    for number in range(30):
        (tmp_path / f"old-{number}").mkdir()
        os.utime(tmp_path / f"old-{number}", (number, number))
    place = builds.folder(".", tmp_path)
    assert builds.folder(".", tmp_path) == place and (place / "snowstall").is_dir()
    assert len(list(tmp_path.iterdir())) == builds.COPIES + 1


def test_constants_are_changed_wherever_they_are_used_and_put_back() -> None:
    from snowstall import balance, learning

    with worker.patched({"learning.MIN_ANSWERS": 3}):
        assert learning.MIN_ANSWERS == balance.MIN_ANSWERS == 3
    assert learning.MIN_ANSWERS == balance.MIN_ANSWERS == 10


@pytest.mark.long
def test_killed_at_any_time_nothing_is_counted_twice(tmp_path: Path) -> None:
    """Whole programs, killed outright while they work; the last one is left to end."""
    experiment = made(tmp_path, FILE.replace("seeds = 2", "seeds = 6"))
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
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert json.loads(done.stdout)["ended"] == "whole"
    broken = {
        (r.point, r.seed): r.measures for r in Store(tmp_path / "s.sqlite").runs(experiment.digest)
    }
    whole = Store(tmp_path / "t.sqlite")
    play(experiment, whole, 3)
    assert broken == {(r.point, r.seed): r.measures for r in whole.runs(experiment.digest)}
    assert len(broken) == 24


def _count(path: Path) -> int:
    try:
        with sqlite3.connect(f"file:{path}?mode=ro", uri=True) as db:
            return int(db.execute("SELECT count(*) FROM runs").fetchone()[0])
    except sqlite3.Error:
        return 0


# --- the store ---
def row(seed: int, point: str = "{}", **more: Any) -> Run:
    return Run("e", point, "c", seed, measures={"service": seed / 10.0}, at=float(seed), **more)


def test_two_writers_share_the_work_and_a_dead_ones_claim_is_taken_over(tmp_path: Path) -> None:
    one, two = Store(tmp_path / "s.sqlite"), Store(tmp_path / "s.sqlite")
    two._holder = f"{os.uname().nodename}/{os.getppid()}/{_born(os.getppid())}"
    name = ("e", "{}", "c", 1)
    assert one.claim(name) and not two.claim(name)
    assert one.again("e", ()) == 0 and two.claim(name)  # claims are forgotten by hand
    two.release(name)
    assert two.claim(name) and not one.claim(name)
    assert one.put(row(1)) and not two.put(row(1)) and not one.claim(name)
    two._holder = f"{os.uname().nodename}/999999999/1"
    assert two.claim(("e", "{}", "c", 2)) and one.claim(("e", "{}", "c", 2))


def _born(pid: int) -> str:
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19]


def test_stores_of_other_versions(tmp_path: Path) -> None:
    path = tmp_path / "s.sqlite"
    Store(path).close()
    with sqlite3.connect(path) as db:
        db.execute("ALTER TABLE runs DROP COLUMN detail")
        db.execute("UPDATE meta SET version = 1")
    store = Store(path)
    assert store.put(row(1, detail={"a": 1}))
    assert next(store.runs("e", whole=True)).detail == {"a": 1}
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


def test_a_full_disk_is_one_line_and_what_was_there_stays(tmp_path: Path) -> None:
    store = Store(tmp_path / "s.sqlite")
    assert store.put(row(1))
    (pages,) = store._db.execute("PRAGMA page_count").fetchone()
    store._db.execute(f"PRAGMA max_page_count = {pages}")
    with pytest.raises(StoreError, match="full"):
        for seed in range(2, 500):
            store.put(row(seed, times=os.urandom(4096)))
    store._db.execute("PRAGMA max_page_count = 100000")
    assert store.put(row(1000)) and store.done("e") >= {("{}", "c", 1), ("{}", "c", 1000)}


def test_many_rows_are_listed_quickly(tmp_path: Path) -> None:
    store = Store(tmp_path / "s.sqlite")
    store.note("e", "name", "question", "")
    with store._writing():
        store._db.executemany(
            "INSERT INTO runs VALUES ('e', ?, 'c', ?, '', '', 'done', 1.0, 0.0, '{}', '', NULL, "
            "NULL)",
            ((f"{n // 10}", n % 10) for n in range(100_000)),
        )
    began = time.process_time()
    assert store.experiments()[0][3] == {"done": 100_000}
    assert time.process_time() - began < 1.0


# --- what may be said ---
def test_what_is_told_of_pairs() -> None:
    same = {s: 0.5 + s / 100 for s in range(8)}
    better = {s: v + 0.1 + (s % 3) / 100 for s, v in same.items()}
    told = statistics.paired(same, better)
    assert told.verdict == "better" and told.low > 0.0 and told.pairs == 8 and told.more is None
    assert statistics.paired(same, better, more_is_better=False).verdict == "worse"
    assert statistics.paired(same, same).verdict == "no difference at all"
    noisy = {s: v + (-1) ** s * 0.2 + 0.02 for s, v in same.items()}
    doubt = statistics.paired(same, noisy)
    assert doubt.verdict == "cannot tell" and doubt.more is not None and doubt.more > 100
    few = statistics.paired({1: 0.0, 2: 0.0}, {1: 1.0, 2: 1.1, 3: 5.0})
    assert few.verdict == "cannot tell" and few.more == 2


def test_as_many_are_wrong_as_is_stated() -> None:
    """1,000 repeats of no difference at six seeds: one in twenty and the luck of the draw."""
    rng = np.random.default_rng(5)
    wrong = sum(
        statistics.studentized(rng.normal(0.0, 1.0, 6), 0.05, n)[2] <= 0.05 for n in range(1000)
    )
    assert wrong <= 70  # 50 are meant; 20 is three deviations of a binomial of 1,000


@given(st.lists(st.floats(0.0, 1.0), min_size=1, max_size=20))
def test_holm_is_stricter_than_each_alone_and_looser_than_all_by_the_count(ps: list[float]) -> None:
    told = statistics.holm(ps)
    assert all(p <= 0.05 for p, t in zip(ps, told, strict=True) if t)
    assert all(t for p, t in zip(ps, told, strict=True) if p <= 0.05 / len(ps))


def test_looking_again_and_again_spends_no_more_than_there_is() -> None:
    assert sum(statistics.spent(look) for look in range(1, 60)) <= statistics.ALPHA


def test_a_warm_up_is_cut_where_it_ends() -> None:
    values = [0.2 + 0.08 * n for n in range(10)] + [1.0, 0.99] * 25
    assert 5 <= statistics.warm_up(values) <= 15 and statistics.warm_up([1.0, 0.9] * 30) == 0


# --- tables ---
def cell(point: dict[str, Any], **means: float) -> tables.Cell:
    return tables.Cell(point, "c", {name: {1: value, 2: value} for name, value in means.items()})


def test_a_front_keeps_what_nothing_beats_and_a_knee_is_where_it_bends() -> None:
    found = [
        cell({"x": 1}, service=0.9, p99_ms=300.0),
        cell({"x": 2}, service=0.8, p99_ms=200.0),
        cell({"x": 3}, service=0.7, p99_ms=250.0),
    ]
    assert [c.point["x"] for c in tables.front(found, "service", "p99_ms")] == [2, 1]
    assert tables.knee([1, 2, 3, 4, 5], [1.0, 1.0, 1.0, 0.5, 0.0]) == 2
    assert tables.knee([1, 2, 3], [1.0, 0.5, 0.0]) is None


def test_of_several_edits_of_a_checkout_the_last_one_speaks() -> None:
    rows = [
        Run("e", "{}", "old", 1, at=1.0, measures={"service": 0.1}),
        Run("e", "{}", "new", 1, at=2.0, measures={"service": 0.9}),
        Run("e", "{}", "new", 2, at=3.0, state="crashed"),
    ]
    (found,) = tables.newest(tables.cells(rows), rows)
    assert found.commit == "new" and found.mean("service") == 0.9 and found.failed == 1
    assert found.mean("worst") is None  # a commit that lacks a measure


def test_an_experiment_at_the_keyboard(tmp_path: Path) -> None:
    made(tmp_path, FILE.replace("seeds = 2", "seeds = 4"))
    files = [str(tmp_path / "sweep.toml"), "--store", str(tmp_path / "s.sqlite")]
    use = CliRunner()
    assert use.invoke(app, ["experiment", "show", *files]).exit_code == 2  # no store yet
    assert use.invoke(app, ["experiment", "run", *files]).exit_code == 0
    shown = json.loads(use.invoke(app, ["experiment", "show", *files, "--json"]).stdout)
    assert len(shown) == 4 and all(each["seeds"] == 4 for each in shown)
    compared = json.loads(use.invoke(app, ["experiment", "compare", *files, "--json"]).stdout)
    assert len(compared) == 6 and {each["pairs"] for each in compared} == {4}
    listed = use.invoke(app, ["experiment", "list", "--store", files[2]])
    assert "how much more can be asked" in " ".join(listed.stdout.split())
    assert use.invoke(app, ["experiment", "compare", *files, "--against", "9"]).exit_code == 2
    assert "nothing" in use.invoke(app, ["experiment", "run", "nothing"]).output


def test_experiments_that_are_shipped_can_be_used() -> None:
    assert plan.named() and all(points(read(name)) for name in plan.named())


def test_several_scenarios_and_builds_are_compared_point_by_point(tmp_path: Path) -> None:
    (tmp_path / "other.toml").write_text(MORNING)
    text = FILE.replace(
        'scenario = "{folder}/mini.toml"',
        'scenario = ["{folder}/mini.toml", "{folder}/other.toml"]',
    ).replace('"policy.gate.GAIN" = [2.5, 5.0]', 'build = ["one", "two"]')
    found = points(made(tmp_path, text))
    assert len(found) == 8 and {Path(p["scenario"]).stem for p in found} == {"mini", "other"}
    made_cells = [cell(point, service=0.5 + (point["build"] == "two") / 10) for point in found]
    pairs = tables.by_build(made_cells)
    assert len(pairs) == 4
    for before, after in pairs:
        assert (before.point["build"], after.point["build"]) == ("one", "two")
        assert before.point | {"build": "two"} == after.point
    for wrong in ("scenario = []", 'scenario = ["{folder}/mini.toml", "no-such"]'):
        with pytest.raises(ConfigError, match="scenario"):
            made(tmp_path, FILE.replace('scenario = "{folder}/mini.toml"', wrong))
