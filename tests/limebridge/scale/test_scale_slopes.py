"""`limebridge scale slopes`: target, measurements, fits."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from limebridge.scale import measure_connections, measure_judgements, measure_module, slopes
from limebridge.scale.child import run_child
from limebridge.scale.fit import STRAIGHT_RESIDUAL_LIMIT, FitError, fit_line
from limebridge.scale.measure import Failed, Measured, measure
from limebridge.scale.quoted import QUOTED_FIGURES
from limebridge.scale.registry import CostDefinition, subjects
from limebridge.scale.results import (
    Cost,
    ExtrapolationError,
    Machine,
    Slopes,
    predict,
    read_slopes,
    save_slopes,
)
from limebridge.scale.target import TARGET_FILE, load_target
from tests.support.paths import ROOT
from violetroute.config import ConfigError


def test_the_target_is_the_one_asked_for() -> None:
    target = load_target()
    assert (target.proxies, target.sites, target.nodes, target.regions) == (2600, 170, 1200, 10)
    assert target.requests_per_proxy == pytest.approx(538.46, abs=0.01)
    assert target.config_changes_per_s == pytest.approx(0.0914, abs=0.0001)


@pytest.mark.parametrize(
    ("line", "replacement", "named"),
    [
        ("proxies = 2600", "proxys = 2600", "[target] proxys: unknown key; did you mean proxies"),
        ("proxies = 2600", "", "[target] proxies: missing"),
        ("sites = 170", "sites = 0", "[target] sites"),
        ("sites = 170", "sites = 1.5", "[target] sites"),
        ("sites = 170", "sites = true", "[target] sites"),
        ("sites = 170", "sites = 2601", "[target] sites: 2601 is more than proxies, 2600"),
        ("regions = 10", "regions = 29", "[target] regions: 29 is more than zones, 28"),
        ("tbit_per_s = 11.0", "tbit_per_s = inf", "[target] tbit_per_s"),
        ("tbit_per_s = 11.0", "tbit_per_s = nan", "[target] tbit_per_s"),
        ("purge_within_s = 3.2", "purge_within_s = 0", "[target] purge_within_s"),
        ("control_cpu_share = 0.021", "control_cpu_share = 2", "[target] control_cpu_share"),
        ("[target]", "[goal]", "[goal]: unknown table"),
    ],
)
def test_a_senseless_target_is_refused_with_its_key(
    tmp_path: Path, line: str, replacement: str, named: str
) -> None:
    text = TARGET_FILE.read_text()
    assert line in text
    path = tmp_path / "target.toml"
    path.write_text(text.replace(line, replacement, 1))
    with pytest.raises(ConfigError) as refused:
        load_target(path)
    assert named in str(refused.value)
    assert "\n" not in str(refused.value)


def test_fit_finds_a_planted_line() -> None:
    noise = (1.02, 0.98, 1.01, 0.99, 1.02)
    sizes = (46.0, 200.0, 600.0, 1200.0, 2400.0)
    points = [(s, (5.0 + 0.25 * s) * n) for s, n in zip(sizes, noise, strict=True)]
    found = fit_line(points)
    assert found.straight and found.residual < 0.05
    assert found.slope_low < 0.25 < found.slope_high
    assert found.slope == pytest.approx(0.25, rel=0.03)
    assert found.constant == pytest.approx(5.0, rel=0.2)


def test_fit_calls_a_planted_curve_a_curve() -> None:
    found = fit_line([(s, 0.01 * s**2) for s in (46.0, 200.0, 600.0, 1200.0, 2400.0)])
    assert not found.straight and found.residual >= STRAIGHT_RESIDUAL_LIMIT
    assert found.exponent == pytest.approx(2.0)


def test_fit_takes_a_cost_that_does_not_grow_and_one_that_is_zero() -> None:
    assert fit_line([(1.0, 7.0), (2.0, 7.0), (3.0, 7.0)]).slope == pytest.approx(0.0)
    nothing = fit_line([(1.0, 0.0), (2.0, 0.0), (3.0, 0.0)])
    assert nothing.straight and nothing.exponent is None


def test_fit_refuses_points_that_are_always_on_a_line() -> None:
    with pytest.raises(FitError, match="3 different sizes"):
        fit_line([(1.0, 1.0), (2.0, 2.0), (2.0, 3.0)])


def test_a_line_is_followed_and_a_curve_is_not() -> None:
    line = cost_of([(s, 2.0 * s) for s in (10.0, 20.0, 30.0, 40.0)])
    assert predict(line, 1000.0) == pytest.approx(2000.0)
    curve = cost_of([(s, s**2) for s in (10.0, 20.0, 30.0, 40.0)])
    assert predict(curve, 40.0) == pytest.approx(1600.0)
    assert predict(curve, 15.0) == pytest.approx(250.0)  # between 100 and 400
    for outside in (41.0, 9.0):
        with pytest.raises(ExtrapolationError, match=r"test\.cost is a curve, measured from 10 to"):
            predict(curve, outside)


def test_a_slopes_file_is_read_as_it_was_written(tmp_path: Path) -> None:
    path = tmp_path / "folder" / "slopes.json"
    made = slopes_of(cost_of([(s, 2.0 * s) for s in (1.0, 2.0, 3.0)]))
    save_slopes(made, path)
    assert read_slopes(path) == made
    assert made.cost("test.cost").largest_size == 3.0
    with pytest.raises(KeyError):
        made.cost("test.other")


@pytest.mark.parametrize("change", [("version", 2), ("costs", [{}]), ("more", 1)])
def test_a_file_that_is_none_is_refused_in_one_line(
    tmp_path: Path, change: tuple[str, object]
) -> None:
    path = tmp_path / "slopes.json"
    save_slopes(slopes_of(cost_of([(s, 2.0 * s) for s in (1.0, 2.0, 3.0)])), path)
    raw = json.loads(path.read_text()) | {change[0]: change[1]}
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError) as refused:
        read_slopes(path)
    assert change[0] in str(refused.value) and "\n" not in str(refused.value)


def test_what_is_quoted_names_its_run() -> None:
    roadmap = (ROOT / "docs" / "ROADMAP.md").read_text()
    titles = [line[3:] for line in roadmap.splitlines() if line.startswith("## ")]
    assert len({quoted.name for quoted in QUOTED_FIGURES}) == len(QUOTED_FIGURES)
    for quoted in QUOTED_FIGURES:
        file, _, place = quoted.source.partition(", ")
        assert file == "docs/ROADMAP.md"
        assert any(place.startswith(title) for title in titles), quoted.source


EXPECTED_COSTS = {
    "list": {
        "bytes",
        "parse_ms",
        "apply_ms",
        "change_ms",
        "batch_drain_ms",
        "batch_join_ms",
        "batch_turn_ms",
        "memory_mb",
    },
    "module": {"request_us", "change_us"},
    "gossip": {"bytes_per_s", "datagrams_per_s", "cpu_share", "memory_bytes", "death_known_s"},
    "judgements": {f"bytes_per_s_{bad}" for bad in (0, 1, 43, 120)},
    "config": {"load_ms", "check_ms", "bytes"},
    "connections": {"open", "opened_per_s", "memory_mb", "waited_share"},
}


def test_every_cost_that_was_asked_for_is_measured_up_to_the_target() -> None:
    target, found = load_target(), subjects()
    names = {cost.name for subject in found.values() for cost in subject.costs}
    for subject, costs in EXPECTED_COSTS.items():
        assert {f"{subject}.{cost}" for cost in costs} <= names
        sizes = found[subject].sizes
        assert len(sizes) >= 5 and len(found[subject].quick_sizes) >= 5
        assert list(sizes) == sorted(set(sizes))
        largest = target.nodes if found[subject].per == "node" else target.proxies
        assert sizes[-1] >= largest
    assert len(names) == sum(len(subject.costs) for subject in found.values())


TINY = 8  # nodes or members


@pytest.mark.parametrize("name", ["list", "module", "config", "gossip", "judgements"])
def test_each_measurement_gives_a_figure_for_each_of_its_costs(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(measure_judgements, "WARM_UP_S", 1.0)
    monkeypatch.setattr(measure_judgements, "MEASURED_S", 2.0)
    monkeypatch.setattr(measure_module, "ROUNDS", 2)
    answer = measure(name, TINY)
    assert isinstance(answer, Measured), answer
    assert set(answer.values) == {cost.name for cost in subjects()[name].costs}
    for cost, value in answer.values.items():
        assert math.isfinite(value) and (value > 0.0 or "memory" in cost), (cost, value)


def test_connections_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """At 538 requests a second 8 nodes need few connections, and nearly none is opened anew."""
    monkeypatch.setattr(measure_connections, "WARM_UP_S", 1.0)
    monkeypatch.setattr(measure_connections, "MEASURED_S", 1.0)
    monkeypatch.setattr(measure_connections, "MEMORY_CONNECTIONS", 64)
    answer = measure("connections", TINY)
    assert isinstance(answer, Measured), answer
    assert TINY <= answer.values["connections.open"] < 100.0
    assert answer.values["connections.waited_share"] < 0.1


def test_connections_tell_when_requests_are_not_served(monkeypatch: pytest.MonkeyPatch) -> None:
    async def refuses(words: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(b"-ERR broken\r\n")

    monkeypatch.setattr(measure_connections, "WARM_UP_S", 0.5)
    monkeypatch.setattr(measure_connections, "MEASURED_S", 0.5)
    monkeypatch.setattr(measure_connections, "MEMORY_CONNECTIONS", 64)
    monkeypatch.setattr(measure_connections, "_serve", refuses)
    answer = measure("connections", TINY)
    assert isinstance(answer, Failed) and "requests were served" in answer.reason


def test_a_subject_that_forgets_a_cost_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    broken = msgspec.structs.replace(subjects()["config"], measure=lambda size: {"config.bytes": 1})
    monkeypatch.setattr("limebridge.scale.measure.subjects", lambda: {"config": broken})
    answer = measure("config", TINY)
    assert isinstance(answer, Failed) and "config.load_ms" in answer.reason


CHILDREN = {
    "hangs": "import time; time.sleep(60)",
    "fails": "raise RuntimeError('no figure')",
    "is_silent": "raise SystemExit(3)",
    "prints_noise": "print('no JSON')",
    "says_why": """print('{"type": "failed", "reason": "too few"}')""",
}


@pytest.mark.parametrize(
    ("child", "reason"),
    [
        ("hangs", "no result after 0.7 s"),
        ("fails", "its process ended with status 1: RuntimeError: no figure"),
        ("is_silent", "its process ended with status 3: it said nothing"),
        ("prints_noise", "its process ended with status 0: it said nothing"),
        ("says_why", "too few"),
    ],
)
def test_a_child_without_a_figure_is_reported_and_gone(
    child: str, reason: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / f"child_that_{child}.py").write_text(CHILDREN[child])
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    limit = 0.7 if child == "hangs" else 20.0
    answer = asyncio.run(run_child("list", TINY, limit, f"child_that_{child}"))
    assert answer == Failed(reason)
    assert children_of(os.getpid(), f"child_that_{child}") == []


def test_a_failed_size_is_left_out_and_told(monkeypatch: pytest.MonkeyPatch) -> None:
    async def played(subject: str, size: int, time_limit: float) -> Measured | Failed:
        if size == subjects()[subject].quick_sizes[1]:
            return Failed("no result after 1 s")
        return Measured({cost.name: 2.0 * size for cost in subjects()[subject].costs})

    monkeypatch.setattr(slopes, "run_child", played)
    told: list[str] = []
    options = slopes.Options(quick=True, only="config", jobs=2)
    result = asyncio.run(slopes.run(options, told.append))
    assert result.failed == 1 and len(told) == 5
    assert [line for line in result.slopes.left_out if "no result after 1 s" in line]
    assert len(result.slopes.costs) == 3
    assert all(len(cost.points) == 4 and cost.straight for cost in result.slopes.costs)
    assert result.slopes.quick and result.slopes.machine.cores > 0


def test_of_several_runs_the_least_cpu_time_counts_and_the_median_of_the_rest() -> None:
    costs = {cost.name: cost for cost in subjects()["list"].costs}
    runs = {20: [3.0, 1.0, 2.0], 10: [9.0, 8.0, 4.0]}
    assert slopes.combine_runs(costs["list.parse_ms"], runs) == [(10.0, 4.0), (20.0, 1.0)]
    assert slopes.combine_runs(costs["list.memory_mb"], runs) == [(10.0, 8.0), (20.0, 2.0)]
    full = slopes.plan_jobs(slopes.Options(only="list"))
    assert [job.size for job in full[:6]] == [46, 200, 600, 1200, 3200, 46]


def test_a_cost_with_too_few_sizes_has_no_figure(monkeypatch: pytest.MonkeyPatch) -> None:
    async def played(subject: str, size: int, time_limit: float) -> Measured | Failed:
        return Failed("ended")

    monkeypatch.setattr(slopes, "run_child", played)
    options = slopes.Options(quick=True, only="list.bytes", skip_largest=True)
    result = asyncio.run(slopes.run(options, lambda what: None))
    assert result.failed == 4 and result.slopes.costs == ()
    assert any("--skip-largest" in line for line in result.slopes.left_out)
    assert any(line.startswith("list.bytes: 0 points") for line in result.slopes.left_out)


def test_an_unknown_name_is_refused_with_those_that_there_are(tmp_path: Path) -> None:
    run = command_line("--only", "lists", "--json", str(tmp_path / "slopes.json"))
    done = subprocess.run(run, capture_output=True, text=True, timeout=30.0, check=False)
    assert done.returncode == 2
    assert done.stderr.startswith("limebridge: --only lists: no such subject; there are list,")
    assert done.stderr.count("\n") == 1


def test_a_file_that_cant_be_written_is_refused_before_measuring(tmp_path: Path) -> None:
    run = command_line("--quick", "--json", str(tmp_path))
    done = subprocess.run(run, capture_output=True, text=True, timeout=30.0, check=False)
    assert done.returncode == 2
    assert done.stderr == f"limebridge: --json {tmp_path}: can't be written\n"


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_a_command_that_is_ended_leaves_no_child(number: signal.Signals, tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    run = command_line("--quick", "--jobs", "2", "--json", str(path))
    with subprocess.Popen(run, stderr=subprocess.PIPE, text=True) as process:
        try:
            children = until_two_measure(process.pid)
            process.send_signal(number)
            assert process.wait(10.0) == 130
            assert process.stderr is not None
            assert "nothing was written" in process.stderr.read()
        finally:
            process.kill()
    assert not path.exists()
    assert [child for child in children if Path(f"/proc/{child}").exists()] == []


def cost_of(points: list[tuple[float, float]]) -> Cost:
    """A cost with these points, fitted as the command does."""
    definition = CostDefinition(name="test.cost", unit="ms", what="Planted.", mechanism="tests")
    return slopes.fit_cost(definition, subjects()["list"], points, slopes.Options())


def slopes_of(*costs: Cost) -> Slopes:
    machine = Machine("made up", 8, 16_000, "3.12", 0.5, 0.5)
    return Slopes(
        commit="0" * 40,
        machine=machine,
        quick=True,
        taken_at="2026-12-02T05:00:00+00:00",
        costs=costs,
        quoted=QUOTED_FIGURES,
    )


def command_line(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "limebridge", "scale", "slopes", *arguments]


def children_of(parent: int, word: str) -> list[int]:
    """Processes whose parent this is and whose command line has that word."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            its_parent = int((path / "stat").read_text().rpartition(")")[2].split()[1])
            if its_parent == parent and word.encode() in (path / "cmdline").read_bytes():
                found.append(int(path.name))
    return found


def until_two_measure(parent: int) -> list[int]:
    """The command's children, once both are there."""
    until = time.monotonic() + 30.0
    while time.monotonic() < until:
        children = children_of(parent, "limebridge.scale.measure")
        if len(children) == 2:
            return children
        time.sleep(0.05)
    raise AssertionError("two measurements did not start within 30 s")
