"""`limebridge scale slopes`: the target, the measurements, the fits and the command."""

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


def test_the_target_has_the_required_size() -> None:
    target = load_target()
    assert (target.proxies, target.sites, target.nodes, target.regions) == (2600, 170, 1200, 10)
    assert target.requests_per_proxy == pytest.approx(538.46, abs=0.01)
    assert target.config_changes_per_s == pytest.approx(0.0914, abs=0.0001)


@pytest.mark.parametrize(
    ("line", "replacement", "message"),
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
def test_an_invalid_target_is_rejected_and_its_key_named(
    tmp_path: Path, line: str, replacement: str, message: str
) -> None:
    text = TARGET_FILE.read_text()
    assert line in text
    path = tmp_path / "target.toml"
    path.write_text(text.replace(line, replacement, 1))
    with pytest.raises(ConfigError) as refused:
        load_target(path)
    assert message in str(refused.value)
    assert "\n" not in str(refused.value)


def test_fit_of_points_near_a_line_finds_the_line() -> None:
    noise = (1.02, 0.98, 1.01, 0.99, 1.02)
    sizes = (46.0, 200.0, 600.0, 1200.0, 2400.0)
    points = [(s, (5.0 + 0.25 * s) * n) for s, n in zip(sizes, noise, strict=True)]
    found = fit_line(points)
    assert found.straight and found.residual < 0.05
    assert found.slope_low < 0.25 < found.slope_high
    assert found.slope == pytest.approx(0.25, rel=0.03)
    assert found.constant == pytest.approx(5.0, rel=0.2)


def test_fit_of_a_square_is_not_straight() -> None:
    found = fit_line([(s, 0.01 * s**2) for s in (46.0, 200.0, 600.0, 1200.0, 2400.0)])
    assert not found.straight and found.residual >= STRAIGHT_RESIDUAL_LIMIT
    assert found.exponent == pytest.approx(2.0)


def test_fit_accepts_a_constant_cost_and_a_cost_of_zero() -> None:
    assert fit_line([(1.0, 7.0), (2.0, 7.0), (3.0, 7.0)]).slope == pytest.approx(0.0)
    zero = fit_line([(1.0, 0.0), (2.0, 0.0), (3.0, 0.0)])
    assert zero.straight and zero.exponent is None


def test_fit_rejects_fewer_than_three_sizes() -> None:
    with pytest.raises(FitError, match="3 different sizes"):
        fit_line([(1.0, 1.0), (2.0, 2.0), (2.0, 3.0)])


def test_a_line_is_extrapolated_and_a_curve_is_not() -> None:
    line = cost_of([(s, 2.0 * s) for s in (10.0, 20.0, 30.0, 40.0)])
    assert predict(line, 1000.0) == pytest.approx(2000.0)
    curve = cost_of([(s, s**2) for s in (10.0, 20.0, 30.0, 40.0)])
    assert predict(curve, 40.0) == pytest.approx(1600.0)
    assert predict(curve, 15.0) == pytest.approx(250.0)  # between 100 and 400
    for outside in (41.0, 9.0):
        with pytest.raises(ExtrapolationError, match=r"test\.cost is a curve, measured from 10 to"):
            predict(curve, outside)


def test_a_slopes_file_is_read_back_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "folder" / "slopes.json"
    slopes_file = slopes_of(cost_of([(s, 2.0 * s) for s in (1.0, 2.0, 3.0)]))
    save_slopes(slopes_file, path)
    assert read_slopes(path) == slopes_file
    assert slopes_file.cost("test.cost").largest_size == 3.0
    with pytest.raises(KeyError):
        slopes_file.cost("test.other")


@pytest.mark.parametrize("change", [("version", 2), ("costs", [{}]), ("more", 1)])
def test_an_invalid_slopes_file_is_rejected_with_a_one_line_message(
    tmp_path: Path, change: tuple[str, object]
) -> None:
    path = tmp_path / "slopes.json"
    save_slopes(slopes_of(cost_of([(s, 2.0 * s) for s in (1.0, 2.0, 3.0)])), path)
    raw = json.loads(path.read_text()) | {change[0]: change[1]}
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError) as refused:
        read_slopes(path)
    assert change[0] in str(refused.value) and "\n" not in str(refused.value)


def test_each_quoted_figure_names_an_existing_section_of_the_roadmap() -> None:
    roadmap = (ROOT / "docs" / "ROADMAP.md").read_text()
    titles = [line[3:] for line in roadmap.splitlines() if line.startswith("## ")]
    assert len({quoted.name for quoted in QUOTED_FIGURES}) == len(QUOTED_FIGURES)
    for quoted in QUOTED_FIGURES:
        file, _, section = quoted.source.partition(", ")
        assert file == "docs/ROADMAP.md"
        assert any(section.startswith(title) for title in titles), quoted.source


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
    "judgements": {f"bytes_per_s_{unhealthy}" for unhealthy in (0, 1, 43, 120)},
    "config": {"load_ms", "check_ms", "bytes"},
    "connections": {"open", "opened_per_s", "memory_mb", "waited_share"},
}


def test_all_required_costs_are_measured_up_to_the_target_size() -> None:
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
def test_each_measurement_returns_a_value_for_each_of_its_costs(
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


def test_a_small_fleet_needs_few_connections_and_few_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """538 requests/s to 8 nodes need under 100 connections, and few requests wait for a new one."""
    monkeypatch.setattr(measure_connections, "WARM_UP_S", 1.0)
    monkeypatch.setattr(measure_connections, "MEASURED_S", 1.0)
    monkeypatch.setattr(measure_connections, "MEMORY_CONNECTIONS", 64)
    answer = measure("connections", TINY)
    assert isinstance(answer, Measured), answer
    assert TINY <= answer.values["connections.open"] < 100.0
    assert answer.values["connections.waited_share"] < 0.1


def test_the_connections_measurement_fails_if_requests_are_not_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def reply_error(words: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(b"-ERR broken\r\n")

    monkeypatch.setattr(measure_connections, "WARM_UP_S", 0.5)
    monkeypatch.setattr(measure_connections, "MEASURED_S", 0.5)
    monkeypatch.setattr(measure_connections, "MEMORY_CONNECTIONS", 64)
    monkeypatch.setattr(measure_connections, "_serve", reply_error)
    answer = measure("connections", TINY)
    assert isinstance(answer, Failed) and "requests were served" in answer.reason


def test_a_measurement_without_one_of_its_costs_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    broken = msgspec.structs.replace(subjects()["config"], measure=lambda size: {"config.bytes": 1})
    monkeypatch.setattr("limebridge.scale.measure.subjects", lambda: {"config": broken})
    answer = measure("config", TINY)
    assert isinstance(answer, Failed) and "config.load_ms" in answer.reason


CHILDREN = {
    "hangs": "import time; time.sleep(60)",
    "fails": "raise RuntimeError('no figure')",
    "is_silent": "raise SystemExit(3)",
    "prints_noise": "print('no JSON')",
    "reports_failure": """print('{"type": "failed", "reason": "too few"}')""",
}


@pytest.mark.parametrize(
    ("child", "reason"),
    [
        ("hangs", "no result after 0.7 s"),
        ("fails", "its process ended with status 1: RuntimeError: no figure"),
        ("is_silent", "its process ended with status 3: it said nothing"),
        ("prints_noise", "its process ended with status 0: it said nothing"),
        ("reports_failure", "too few"),
    ],
)
def test_a_failed_child_is_reported_and_has_exited(
    child: str, reason: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / f"child_that_{child}.py").write_text(CHILDREN[child])
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    limit = 0.7 if child == "hangs" else 20.0
    answer = asyncio.run(run_child("list", TINY, limit, f"child_that_{child}"))
    assert answer == Failed(reason)
    assert children_of(os.getpid(), f"child_that_{child}") == []


def test_a_failed_size_is_left_out_and_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    async def fake_run_child(subject: str, size: int, time_limit: float) -> Measured | Failed:
        if size == subjects()[subject].quick_sizes[1]:
            return Failed("no result after 1 s")
        return Measured({cost.name: 2.0 * size for cost in subjects()[subject].costs})

    monkeypatch.setattr(slopes, "run_child", fake_run_child)
    progress: list[str] = []
    options = slopes.Options(quick=True, only="config", jobs=2)
    result = asyncio.run(slopes.run(options, progress.append))
    assert result.failed == 1 and len(progress) == 5
    assert [line for line in result.slopes.left_out if "no result after 1 s" in line]
    assert len(result.slopes.costs) == 3
    assert all(len(cost.points) == 4 and cost.straight for cost in result.slopes.costs)
    assert result.slopes.quick and result.slopes.machine.cores > 0


def test_the_smallest_cpu_time_of_several_runs_counts_and_the_median_of_other_costs() -> None:
    costs = {cost.name: cost for cost in subjects()["list"].costs}
    runs = {20: [3.0, 1.0, 2.0], 10: [9.0, 8.0, 4.0]}
    assert slopes.combine_runs(costs["list.parse_ms"], runs) == [(10.0, 4.0), (20.0, 1.0)]
    assert slopes.combine_runs(costs["list.memory_mb"], runs) == [(10.0, 8.0), (20.0, 2.0)]
    full = slopes.plan_jobs(slopes.Options(only="list"))
    assert [job.size for job in full[:6]] == [46, 200, 600, 1200, 3200, 46]


def test_a_cost_with_too_few_sizes_is_left_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def fake_run_child(subject: str, size: int, time_limit: float) -> Measured | Failed:
        return Failed("ended")

    monkeypatch.setattr(slopes, "run_child", fake_run_child)
    options = slopes.Options(quick=True, only="list.bytes", skip_largest=True)
    result = asyncio.run(slopes.run(options, lambda measured: None))
    assert result.failed == 4 and result.slopes.costs == ()
    assert any("--skip-largest" in line for line in result.slopes.left_out)
    assert any(line.startswith("list.bytes: 0 points") for line in result.slopes.left_out)


def test_an_unknown_subject_is_rejected_and_the_known_ones_listed(tmp_path: Path) -> None:
    run = command_line("--only", "lists", "--json", str(tmp_path / "slopes.json"))
    done = subprocess.run(run, capture_output=True, text=True, timeout=30.0, check=False)
    assert done.returncode == 2
    assert done.stderr.startswith("limebridge: --only lists: no such subject; there are list,")
    assert done.stderr.count("\n") == 1


def test_an_unwritable_file_is_rejected_before_measuring(tmp_path: Path) -> None:
    run = command_line("--quick", "--json", str(tmp_path))
    done = subprocess.run(run, capture_output=True, text=True, timeout=30.0, check=False)
    assert done.returncode == 2
    assert done.stderr == f"limebridge: --json {tmp_path}: can't be written\n"


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_command_leaves_no_child(number: signal.Signals, tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    run = command_line("--quick", "--jobs", "2", "--json", str(path))
    with subprocess.Popen(run, stderr=subprocess.PIPE, text=True) as process:
        try:
            children = wait_for_two_children(process.pid)
            process.send_signal(number)
            assert process.wait(10.0) == 130
            assert process.stderr is not None
            assert "nothing was written" in process.stderr.read()
        finally:
            process.kill()
    assert not path.exists()
    assert [child for child in children if Path(f"/proc/{child}").exists()] == []


def cost_of(points: list[tuple[float, float]]) -> Cost:
    """A cost with these (size, value) points, fitted as the command does."""
    definition = CostDefinition(
        name="test.cost", unit="ms", what="Points of a test.", mechanism="tests"
    )
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
    """IDs of child processes of `parent` whose command line contains `word`."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            parent_id = int((path / "stat").read_text().rpartition(")")[2].split()[1])
            if parent_id == parent and word.encode() in (path / "cmdline").read_bytes():
                found.append(int(path.name))
    return found


def wait_for_two_children(parent: int) -> list[int]:
    """Wait until the command has two child processes; return their IDs."""
    deadline = time.monotonic() + 30.0
    while time.monotonic() < deadline:
        children = children_of(parent, "limebridge.scale.measure")
        if len(children) == 2:
            return children
        time.sleep(0.05)
    raise AssertionError("two measurements did not start within 30 s")
