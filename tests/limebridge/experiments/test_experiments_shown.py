"""Tests charts, exports, the terminal interface, the search, and stored benchmark results."""

from __future__ import annotations

import asyncio
import csv
import json
import re
from collections.abc import Callable
from html.parser import HTMLParser
from pathlib import Path
from random import Random
from typing import Any

import duckdb
import pytest
from hdrh.histogram import HdrHistogram
from textual.widgets import DataTable, Static
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.experiments import bench, charts, export, runner, search, tables
from limebridge.experiments.parallel_search import ParallelSearch
from limebridge.experiments.plan import Experiment, load_experiment
from limebridge.experiments.store import Run, Store
from limebridge.experiments.watch import WatchApp
from limebridge.rehearsal.scenario import Event, Scenario, load
from violetroute.config import ConfigError

TIMEOUT_S = 60.0  # bound on waiting, far above what any step needs
SCENARIO = """[run]
seconds = 12.0
[load]
curve = [{at = 0.0, rate = 40.0}]
[[site]]
name = "a"
[[site]]
name = "b"
[[box]]
name = "standard"
at = {a = 2, b = 2}
"""
EXPERIMENT = """question = "<b>how</b> much more"
scenario = "{folder}/mini.toml"
seeds = 4
measures = ["service", "p99_ms"]
[factors]
"load.scale" = [1.0, 2.0, 3.0]
"policy.gate.GAIN" = [2.5, 5.0]
"""


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> tuple[Experiment, Store]:
    """A complete experiment, which the tests only read."""
    folder = tmp_path_factory.mktemp("played")
    (folder / "mini.toml").write_text(SCENARIO.replace("12.0", "2.0"))
    path = folder / "sweep.toml"
    path.write_text(EXPERIMENT.replace("{folder}", str(folder)))
    experiment, store = load_experiment(str(path)), Store(folder / "s.sqlite")
    found = asyncio.run(runner.run(experiment, store, 4))
    assert found.states == {"done": 24}
    return experiment, store


# --- charts ---
class PageParser(HTMLParser):
    """Counts the tags of a page and collects its references to other resources."""

    def __init__(self) -> None:
        super().__init__()
        self.external_links: list[str] = []
        self.count: dict[str, int] = {}

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.count[tag] = self.count.get(tag, 0) + 1
        self.external_links += [
            v
            for k, v in attrs
            if k in ("src", "href", "xlink:href") and v and not v.startswith(("#", "data:"))
        ]


def test_page_is_self_contained_and_has_all_charts(played: tuple[Experiment, Store]) -> None:
    experiment, store = played
    rows = list(store.runs(experiment.digest))
    text = charts.render_page(experiment, tables.cells(rows), rows)
    tags = PageParser()
    tags.feed(text)
    assert not tags.external_links and "@import" not in text and "url(http" not in text
    assert tags.count["svg"] == 5  # a line chart and a heat map per measure, and the Pareto front
    assert "&lt;b&gt;how" in text and "<b>how" not in text
    assert charts.INK not in text and "currentColor" in text
    assert text == charts.render_page(experiment, tables.cells(rows), rows)  # reproducible


def test_charts_show_each_measure_by_build() -> None:
    experiment = Experiment("q", "s", {"build": ["one", "two"]}, measures=["service", "back"])
    found = [
        tables.Cell(
            {"build": name},
            name * 10,
            {
                "service": {1: value, 2: value + 0.1},
                "back": {1: 3.0, 2: None if name == "one" else 2.0},
            },
        )
        for name, value in (("one", 0.5), ("two", 0.7))
    ]
    captions = [chart.caption for chart in charts.make_charts(experiment, found)]
    assert captions == [
        "service by build; thin lines: single seeds",
        "back by build; thin lines: single seeds",
    ]


# --- export ---
def test_rows_and_percentiles_are_exported(
    played: tuple[Experiment, Store], tmp_path: Path
) -> None:
    experiment, store = played
    rows = export.flat(store.runs(experiment.digest, with_details=True))
    export.write(rows, tmp_path / "x.csv")
    export.write(rows, tmp_path / "x.parquet")
    with (tmp_path / "x.csv").open() as file:
        assert len(list(csv.DictReader(file))) == 24
    found = (
        duckdb.connect()
        .execute(
            f'SELECT count(*), min("answers.p50_ms"), avg(service), sum("factor.load.scale") '
            f"FROM '{tmp_path}/x.parquet'"
        )
        .fetchone()
    )
    assert found is not None and found[0] == 24 and found[3] == 48.0
    assert found[2] == pytest.approx(sum(row["service"] for row in rows) / 24)
    times = HdrHistogram(1, 60_000_000, 3)
    for ms in range(1, 1001):
        times.record_value(ms * 1000)
    assert export.percentiles(times.encode(), [50.0, 99.9]) == pytest.approx(
        {"p50_ms": 500.0, "p99.9_ms": 999.0}, rel=0.002
    )
    with pytest.raises(ValueError, match="csv"):
        export.write(rows, tmp_path / "x.txt")


# --- watching ---
def test_terminal_interface_from_experiment_to_request(played: tuple[Experiment, Store]) -> None:
    _, store = played

    async def navigate() -> None:
        watch = WatchApp(store.path)
        async with watch.run_test(size=(80, 24)) as pilot:
            await pilot.pause()
            assert watch.screen.query_one(DataTable).row_count == 1
            await pilot.press("enter")
            await pilot.pause()
            assert watch.screen.query_one(DataTable).row_count == 6
            before = str(watch.screen.query_one("#best", Static).content)
            await pilot.press("m")
            await pilot.pause()
            assert (
                "Best" in before and str(watch.screen.query_one("#best", Static).content) != before
            )
            await pilot.press("enter")
            await pilot.pause()
            assert watch.screen.query_one(DataTable).row_count == 4
            await pilot.press("enter")
            await pilot.pause()
            assert "worst ten seconds" in str(watch.screen.query_one("#words", Static).content)
            for _ in range(5):
                await pilot.press("escape")
                await pilot.pause()
            store.add_run(Run("other", "{}", "c", 1, measures={"service": 1.0}))
            store.record_experiment("other", "new one", "comes while we look", "")
            assert await becomes_true(lambda: watch.screen.query_one(DataTable).row_count == 2)

    asyncio.run(navigate())


async def becomes_true(condition: Callable[[], bool]) -> bool:
    """Wait for the condition; False after TIMEOUT_S."""
    end = asyncio.get_running_loop().time() + TIMEOUT_S
    while not condition():
        if asyncio.get_running_loop().time() > end:
            return False
        await asyncio.sleep(0.05)
    return True


def test_cancelled_search_leaves_no_worker_and_no_run(tmp_path: Path) -> None:
    """The search is cancelled while it shrinks plans.

    Guards against a fault: the search waited for up to thirty runs in threads before it ended.
    """

    async def run_search() -> None:
        base = load_base(tmp_path)
        search_run = ParallelSearch(base, tmp_path / "builds", 2)
        archive = search.Archive()
        for seed in range(4):
            archive.add(search.RatedPlan(search.random_plan(Random(seed), base), 1.0 - seed / 100))
        finding = asyncio.create_task(search_run.best_plans(archive, 3))
        assert await becomes_true(lambda: search_run.runs >= 1)
        finding.cancel()
        with pytest.raises(asyncio.CancelledError):
            await finding
        played = search_run.runs
        await search_run.stop()
        assert all(worker._process is None for worker in search_run._all)
        assert len(search_run._free) == 2 and search_run.runs == played

    asyncio.run(run_search())


# --- the search ---
def load_base(tmp_path: Path) -> Scenario:
    path = tmp_path / "base.toml"
    path.write_text(SCENARIO)
    return load(str(path))


def test_proposed_plans_are_valid_and_new(tmp_path: Path) -> None:
    from limebridge.rehearsal.scenario import validate

    base, rng, archive = load_base(tmp_path), Random(1), search.Archive()
    for number in range(400):
        plan = search.next_plan(archive, rng, base, number < 50)
        assert 1 <= len(plan) <= search.MAX_EVENTS and plan not in archive.tried
        validate(search.scenario_of(base, plan, "x"), "x")
        archive.add(search.RatedPlan(plan, rng.random()))
    assert len(archive.best) > 60 and archive.worst_so_far == sorted(archive.worst_so_far)


def loss_of_plan(plan: search.Plan) -> float:
    """A made-up loss, largest for a long stall of many nodes while the database is slow."""
    kinds = {event.kind: event for event in plan}
    loss = 0.05 * len(kinds)
    if "stalls" in kinds:
        loss += 0.3 * kinds["stalls"].share + 0.02 * kinds["stalls"].lasts
    if {"stalls", "database_slow"} <= set(kinds):
        loss += 0.3
    return min(1.0, loss)


def test_guided_search_finds_larger_losses_than_random_plans(tmp_path: Path) -> None:
    base = load_base(tmp_path)

    def worst(guided: bool, seed: int) -> float:
        archive = search.Archive()
        for plans in search.plan_batches(base, archive, 200, 8, seed, guided):
            for plan in plans:
                archive.add(search.RatedPlan(plan, loss_of_plan(plan)))
        return archive.worst_so_far[-1]

    gains = [worst(True, seed) - worst(False, seed) for seed in range(10)]
    assert sum(gain > 0.0 for gain in gains) >= 8


def test_shrinking_keeps_only_the_necessary_events() -> None:
    plan = (
        Event(at=1.0, kind="stalls", share=0.5, lasts=6.0),
        Event(at=2.0, kind="scan", share=0.2, lasts=6.0),
        Event(at=3.0, kind="database_slow", share=1.0, lasts=8.0),
    )
    steps = search.shrink(search.RatedPlan(plan, loss_of_plan(plan)))
    tried = [next(steps)]
    with pytest.raises(StopIteration) as end:
        while True:
            tried.append(steps.send(loss_of_plan(tried[-1])))
    small = end.value.value
    assert len(tried) <= 30 and all(tried)
    assert small.kind == "database_slow+stalls" and small.loss >= 0.85 * loss_of_plan(plan)
    assert next(e.lasts for e in small.plan if e.kind == "database_slow") < 8.0
    ranked = [
        search.RatedPlan(plan[:1], 0.9),
        search.RatedPlan(plan, 0.95),
        search.RatedPlan(plan[1:2], 0.1),
    ]
    assert [f.kind for f in search.select_diverse(ranked, 5)] == ["stalls", "scan"]


@pytest.mark.long
def test_found_scenario_can_be_rehearsed(tmp_path: Path) -> None:
    (tmp_path / "base.toml").write_text(SCENARIO)
    use = CliRunner()
    done = use.invoke(
        app,
        [
            "experiment",
            "search",
            str(tmp_path / "base.toml"),
            "--runs",
            "8",
            "--finds",
            "2",
            "--out",
            str(tmp_path / "found"),
            "--json",
        ],
    )
    told = json.loads(done.stdout)
    assert told["runs"] >= 8 and told["finds"] and not told["broken"]
    worst = told["finds"][0]
    again = use.invoke(app, ["rehearse", worst["file"], "--json"])
    share = json.loads(again.stdout)["runs"][0]["share"]["whole"]
    assert 1.0 - share == pytest.approx(worst["loss"])
    wrong = use.invoke(app, ["experiment", "search", "no-such"])
    assert wrong.exit_code == 2 and isinstance(wrong.exception, SystemExit)
    assert not isinstance(wrong.exception, ConfigError)


# --- benchmarks ---
def test_benchmark_results_are_stored_as_rows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(bench, "BENCHMARKS_FOLDER", tmp_path)
    (tmp_path / "one.py").write_text(
        "import json\nprint('words')\nprint(json.dumps({'rate': 400, 'ratio': 2.5, 'loop': 'a',"
        " 'more': [1], 'ok': True}))\nprint(json.dumps([{'ratio': 3.0, 'loop': 'b'}]))\n"
    )
    (tmp_path / "none.py").write_text("print('no figures here')\n")
    store = Store(tmp_path / "s.sqlite")
    for times in (1, 2):
        asyncio.run(bench.run_benchmark("one", ["--x"], times, store, 60.0))
    rows = list(store.runs("bench:one"))
    points: dict[str, Any] = {}
    for row in rows:
        points.setdefault(row.point, []).append(row.measures["ratio"])
    assert sorted(points.values()) == [[2.5] * 3, [3.0] * 3]
    assert json.loads(rows[0].point) == {"arguments": "--x", "loop": "a", "ok": True, "rate": 400}
    for name, expected in (("none", "no JSON"), ("other", "there are")):
        with pytest.raises(bench.BenchmarkError, match=expected):
            asyncio.run(bench.run_benchmark(name, [], 1, store, 60.0))


def test_help_lists_all_commands() -> None:
    text = CliRunner().invoke(app, ["experiment", "--help"]).stdout
    for name in ("run", "list", "show", "compare", "chart", "search", "export", "bench", "watch"):
        assert re.search(rf"\b{name}\b", text)
