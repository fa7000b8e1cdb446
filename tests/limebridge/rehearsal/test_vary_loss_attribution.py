"""Tests changes of scenarios and the attribution of losses."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.rehearsal import loss_attribution
from limebridge.rehearsal.engine import Rehearsal
from limebridge.rehearsal.loss_attribution import (
    Observations,
    RunRecorder,
    costs_by_second,
    loss_cause,
    loss_shares,
)
from limebridge.rehearsal.scenario import load
from limebridge.rehearsal.score import RequestRecord
from limebridge.rehearsal.vary import apply_changes, scale_to_target_size
from violetroute.config import ConfigError


# --- vary ---
def test_changes_apply_to_the_named_keys() -> None:
    changed = apply_changes(
        load("site-lost"),
        {
            "proxies.count": 1,
            "box.fast.slots": 3,
            "event.1.lasts": 4.0,
            "load.scale": 0.5,
            "class.lookup.aim_ms": 200.0,
        },
    )
    assert changed.proxies.count == 1 and changed.event[0].lasts == 4.0
    assert next(b.slots for b in changed.box if b.name == "fast") == 3
    assert changed.load.curve[0].rate == 200.0 and changed.classes[0].aim_ms == 200.0
    assert load("site-lost").proxies.count == 6


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        ("proxies.cont", 1, "no 'cont'"),
        ("box.slow.slots", 1, "no 'slow'"),
        ("event.2.lasts", 1.0, "no '2'"),
        ("proxies.count", 0, "count"),
        ("class.lookup.aim_ms", 900.0, "above its deadline"),
        ("load.scale", -1, "load.scale"),
        ("event.1.site", "z", "no site 'z'"),
    ],
)
def test_invalid_change_is_one_line_that_names_the_key(
    key: str, value: object, expected: str
) -> None:
    with pytest.raises(ConfigError) as error:
        apply_changes(load("site-lost"), {key: value})
    assert expected in str(error.value) and "\n" not in str(error.value)


def test_operator_settings_of_a_scenario_apply_and_can_be_changed(tmp_path: Path) -> None:
    path = tmp_path / "short.toml"
    path.write_text(
        "[run]\nseconds = 3.0\n[load]\ncurve = [{at = 0.0, rate = 40.0}]\n"
        "[operator.limits]\ndepth = 4\n"
    )
    scenario = load(str(path))
    assert scenario.operator.limits.depth == 4
    changed = apply_changes(scenario, {"operator.limits.depth": 9, "operator.log.level": "error"})
    rehearsal = Rehearsal(changed, 1)
    assert not rehearsal.run().failed
    assert [p.proxy_config.operator for p in rehearsal.processes] == [changed.operator] * 6
    with pytest.raises(ConfigError, match="depth"):
        apply_changes(scenario, {"operator.limits.depth": 0})


def test_target_size_keeps_the_load_per_node() -> None:
    small = load("site-lost")
    large = scale_to_target_size(small)
    assert (large.size, large.proxies.count) == (46, 710)
    assert large.load.curve[0].rate / large.capacity == pytest.approx(
        small.load.curve[0].rate / small.capacity
    )
    for site in ("catania-nord", "acireale", "paterno"):
        shares = [
            sum(b.at.get(site, 0) for b in scenario.box) / scenario.size
            for scenario in (small, large)
        ]
        assert abs(shares[0] - shares[1]) < 0.03


def test_set_option_changes_the_run(tmp_path: Path) -> None:
    path = tmp_path / "short.toml"
    path.write_text("[run]\nseconds = 4.0\n[load]\ncurve = [{at = 0.0, rate = 40.0}]\n")
    runner = CliRunner()
    with_changes = runner.invoke(
        app, ["rehearse", str(path), "--set", "proxies.count=2", "--set", "load.scale=2", "--json"]
    )
    unchanged = runner.invoke(app, ["rehearse", str(path), "--json"])
    requests = [
        json.loads(result.stdout)["runs"][0]["asked"] for result in (with_changes, unchanged)
    ]
    assert requests[0] > 1.5 * requests[1]
    invalid = runner.invoke(app, ["rehearse", str(path), "--set", "proxies.count"])
    assert invalid.exit_code == 2 and "KEY=VALUE" in invalid.output


# --- loss attribution ---
def make_record(outcome: str, served_at: float | None = None, at: float = 10.2) -> RequestRecord:
    return RequestRecord(at, "lookup", "t", "s", 2.0, 0.3, 0.5, served_at, 1, [outcome], ["a"])


OBSERVED = Observations({"a": [(10.3, "n1")]}, {}, [0.5] * 20)


@pytest.mark.parametrize(
    ("record", "observations", "cause"),
    [
        (make_record("served", 10.4), OBSERVED, None),
        (
            make_record("refused"),
            Observations({}, {}, [0.5] * 20),
            loss_attribution.REFUSED_WITH_CAPACITY,
        ),
        (make_record("refused"), Observations({}, {}, [0.05] * 20), loss_attribution.REFUSED_FULL),
        (make_record("out of time"), Observations({}, {}, [0.5] * 20), loss_attribution.UNANSWERED),
        (
            make_record("out of time"),
            Observations({"a": [(10.3, "n1")]}, {"n1": [(4.0, 12.0)]}, []),
            loss_attribution.KNOWN_UNAVAILABLE,
        ),
        (
            make_record("out of time"),
            Observations({"a": [(10.3, "n1")]}, {"n1": [(9.5, 12.0)]}, []),
            loss_attribution.NEWLY_UNAVAILABLE,
        ),
        (
            make_record("out of time"),
            Observations({"a": [(10.3, "n1")]}, {"n1": [(4.0, 8.0)]}, []),
            loss_attribution.LATE_SINGLE_NODE,
        ),
        (make_record("served", 11.0), OBSERVED, loss_attribution.LATE_SINGLE_NODE),
        (
            make_record("served", 11.0),
            Observations({"a": [(10.3, "n1"), (10.4, "n2")]}, {}, []),
            loss_attribution.LATE_SEVERAL_NODES,
        ),
        (make_record("refused"), OBSERVED, loss_attribution.NODE_FAILURE),
    ],
)
def test_a_lost_request_has_the_expected_cause(
    record: RequestRecord, observations: Observations, cause: str | None
) -> None:
    assert loss_cause(record, observations) == cause


def test_each_second_has_its_largest_cause() -> None:
    requests = [
        make_record("refused"),
        make_record("out of time"),
        make_record("out of time"),
        make_record("served", 10.4),
        make_record("refused", at=12.1),
    ]
    observations = Observations({}, {}, [0.5] * 20)
    losses = costs_by_second(requests, observations)
    assert [(c.second, c.lost, c.cause) for c in losses] == [
        (10, 6.0, loss_attribution.UNANSWERED),
        (12, 2.0, loss_attribution.REFUSED_WITH_CAPACITY),
    ]
    assert losses[0].cause_share == pytest.approx(2.0 / 3.0)
    assert loss_shares(requests, observations) == pytest.approx(
        {loss_attribution.UNANSWERED: 0.4, loss_attribution.REFUSED_WITH_CAPACITY: 0.4}
    )


def test_idle_share_is_that_of_available_nodes() -> None:
    recorder = RunRecorder()
    for tick in range(8):  # n1 is unavailable in second 1
        recorder.record_capacity("n1", tick / 4, 0.0 if 4 <= tick < 8 else 6.0)
        recorder.record_capacity("n2", tick / 4, 6.0)
    observations = recorder.observations({"n1": [3.0, 0.0], "n2": [6.0, 6.0]}, {"n1": 6, "n2": 6})
    assert observations.unavailable["n1"] == [(1.0, 1.75)]
    assert observations.idle == [pytest.approx(0.25), 0.0]
