"""Charts, exports, the terminal interface, the search, and benchmarks in the store."""

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
from limebridge.experiments.parallel_search import Hunt
from limebridge.experiments.plan import Experiment, read
from limebridge.experiments.store import Run, Store
from limebridge.experiments.watch import Watch
from limebridge.rehearsal.scenario import Event, Scenario, load
from violetroute.config import ConfigError

PATIENCE_S = 60.0  # a bound on waiting, far above what any step needs
MORNING = """[run]
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
FILE = """question = "<b>how</b> much more"
scenario = "{folder}/mini.toml"
seeds = 4
measures = ["service", "p99_ms"]
[factors]
"load.scale" = [1.0, 2.0, 3.0]
"policy.gate.GAIN" = [2.5, 5.0]
"""


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> tuple[Experiment, Store]:
    """One experiment, whole, that the tests only look at."""
    folder = tmp_path_factory.mktemp("played")
    (folder / "mini.toml").write_text(MORNING.replace("12.0", "2.0"))
    path = folder / "sweep.toml"
    path.write_text(FILE.replace("{folder}", str(folder)))
    made, store = read(str(path)), Store(folder / "s.sqlite")
    found = asyncio.run(runner.run(made, store, 4))
    assert found.states == {"done": 24}
    return made, store


# --- charts ---
class Tags(HTMLParser):
    """What a page would ask others for."""

    def __init__(self) -> None:
        super().__init__()
        self.outside: list[str] = []
        self.count: dict[str, int] = {}

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.count[tag] = self.count.get(tag, 0) + 1
        self.outside += [
            v
            for k, v in attrs
            if k in ("src", "href", "xlink:href") and v and not v.startswith(("#", "data:"))
        ]


def test_a_page_needs_nothing_else_and_shows_each_picture(played: tuple[Experiment, Store]) -> None:
    made, store = played
    rows = list(store.runs(made.digest))
    text = charts.page(made, tables.cells(rows), rows)
    tags = Tags()
    tags.feed(text)
    assert not tags.outside and "@import" not in text and "url(http" not in text
    assert tags.count["svg"] == 5  # a ribbon and a grid for each measure, and the front
    assert "&lt;b&gt;how" in text and "<b>how" not in text
    assert charts.INK not in text and "currentColor" in text
    assert text == charts.page(made, tables.cells(rows), rows)  # the same file again


def test_before_and_after_by_build_and_a_front() -> None:
    made = Experiment("q", "s", {"build": ["one", "two"]}, measures=["service", "back"])
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
    said = [picture.said for picture in charts.pictures(made, found)]
    assert said == ["service by build; thin: a seed each", "back by build; thin: a seed each"]


# --- export ---
def test_rows_go_out_whole_with_any_percentile(
    played: tuple[Experiment, Store], tmp_path: Path
) -> None:
    made, store = played
    rows = export.flat(store.runs(made.digest, whole=True))
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
def test_from_an_experiment_to_a_request_in_four_steps(played: tuple[Experiment, Store]) -> None:
    _, store = played

    async def look() -> None:
        watch = Watch(store.path)
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
            store.put(Run("other", "{}", "c", 1, measures={"service": 1.0}))
            store.note("other", "new one", "comes while we look", "")
            assert await settled(lambda: watch.screen.query_one(DataTable).row_count == 2)

    asyncio.run(look())


async def settled(what: Callable[[], bool]) -> bool:
    """Once it is so; False after a time far above what any step needs."""
    end = asyncio.get_running_loop().time() + PATIENCE_S
    while not what():
        if asyncio.get_running_loop().time() > end:
            return False
        await asyncio.sleep(0.05)
    return True


def test_a_search_that_is_called_off_leaves_no_worker_and_no_run(tmp_path: Path) -> None:
    """While it shrinks, where it once waited for up to thirty runs in threads."""

    async def play() -> None:
        made = base(tmp_path)
        hunt = Hunt(made, tmp_path / "builds", 2)
        archive = search.Archive()
        for seed in range(4):
            archive.add(search.Found(search.draw(Random(seed), made), 1.0 - seed / 100))
        finding = asyncio.create_task(hunt.finds(archive, 3))
        assert await settled(lambda: hunt.runs >= 1)
        finding.cancel()
        with pytest.raises(asyncio.CancelledError):
            await finding
        played = hunt.runs
        await hunt.end()
        assert all(worker._process is None for worker in hunt._all)
        assert len(hunt._free) == 2 and hunt.runs == played

    asyncio.run(play())


# --- the search ---
def base(tmp_path: Path) -> Scenario:
    path = tmp_path / "base.toml"
    path.write_text(MORNING)
    return load(str(path))


def test_plans_that_are_asked_for_can_all_be_played(tmp_path: Path) -> None:
    from limebridge.rehearsal.scenario import validate

    made, rng, archive = base(tmp_path), Random(1), search.Archive()
    for number in range(400):
        plan = search.ask(archive, rng, made, number < 50)
        assert 1 <= len(plan) <= search.MOST and plan not in archive.tried
        validate(search.scenario_of(made, plan, "x"), "x")
        archive.add(search.Found(plan, rng.random()))
    assert len(archive.best) > 60 and archive.worst_so_far == sorted(archive.worst_so_far)


def priced(plan: search.Plan) -> float:
    """A landscape with one deep place: a long stall of much while the database is slow."""
    kinds = {event.kind: event for event in plan}
    cost = 0.05 * len(kinds)
    if "stalls" in kinds:
        cost += 0.3 * kinds["stalls"].share + 0.02 * kinds["stalls"].lasts
    if {"stalls", "database_slow"} <= set(kinds):
        cost += 0.3
    return min(1.0, cost)


def test_a_guided_search_finds_more_than_draws_of_the_same_budget(tmp_path: Path) -> None:
    made = base(tmp_path)

    def worst(guided: bool, seed: int) -> float:
        archive = search.Archive()
        for plans in search.batches(made, archive, 200, 8, seed, guided):
            for plan in plans:
                archive.add(search.Found(plan, priced(plan)))
        return archive.worst_so_far[-1]

    gains = [worst(True, seed) - worst(False, seed) for seed in range(10)]
    assert sum(gain > 0.0 for gain in gains) >= 8


def test_a_find_is_shrunk_to_what_it_needs() -> None:
    plan = (
        Event(at=1.0, kind="stalls", share=0.5, lasts=6.0),
        Event(at=2.0, kind="scan", share=0.2, lasts=6.0),
        Event(at=3.0, kind="database_slow", share=1.0, lasts=8.0),
    )
    steps = search.shrunk(search.Found(plan, priced(plan)))
    asked = [next(steps)]
    with pytest.raises(StopIteration) as end:
        while True:
            asked.append(steps.send(priced(asked[-1])))
    small = end.value.value
    assert len(asked) <= 30 and all(asked)
    assert small.kind == "database_slow+stalls" and small.loss >= 0.85 * priced(plan)
    assert next(e.lasts for e in small.plan if e.kind == "database_slow") < 8.0
    ranked = [search.Found(plan[:1], 0.9), search.Found(plan, 0.95), search.Found(plan[1:2], 0.1)]
    assert [f.kind for f in search.novel(ranked, 5)] == ["stalls", "scan"]


@pytest.mark.long
def test_what_is_found_is_a_scenario_that_rehearse_plays(tmp_path: Path) -> None:
    (tmp_path / "base.toml").write_text(MORNING)
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
def test_a_benchmarks_figures_are_rows(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bench, "FOLDER", tmp_path)
    (tmp_path / "one.py").write_text(
        "import json\nprint('words')\nprint(json.dumps({'rate': 400, 'ratio': 2.5, 'loop': 'a',"
        " 'more': [1], 'ok': True}))\nprint(json.dumps([{'ratio': 3.0, 'loop': 'b'}]))\n"
    )
    (tmp_path / "none.py").write_text("print('no figures here')\n")
    store = Store(tmp_path / "s.sqlite")
    for times in (1, 2):
        asyncio.run(bench.play("one", ["--x"], times, store, 60.0))
    rows = list(store.runs("bench:one"))
    points: dict[str, Any] = {}
    for row in rows:
        points.setdefault(row.point, []).append(row.measures["ratio"])
    assert sorted(points.values()) == [[2.5] * 3, [3.0] * 3]
    assert json.loads(rows[0].point) == {"arguments": "--x", "loop": "a", "ok": True, "rate": 400}
    for name, said in (("none", "no JSON"), ("other", "there are")):
        with pytest.raises(bench.Failed, match=said):
            asyncio.run(bench.play(name, [], 1, store, 60.0))


def test_each_command_is_told_of_in_the_help() -> None:
    text = CliRunner().invoke(app, ["experiment", "--help"]).stdout
    for name in ("run", "list", "show", "compare", "chart", "search", "export", "bench", "watch"):
        assert re.search(rf"\b{name}\b", text)
