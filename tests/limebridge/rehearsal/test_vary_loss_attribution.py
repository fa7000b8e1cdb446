"""A scenario with other figures, and what its losses are put down to."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.rehearsal import loss_attribution
from limebridge.rehearsal.engine import Morning
from limebridge.rehearsal.loss_attribution import Seen, Watch, costs, fate, totals
from limebridge.rehearsal.scenario import load
from limebridge.rehearsal.score import Asked
from limebridge.rehearsal.vary import at_size, varied
from violetroute.config import ConfigError


# --- vary ---
def test_a_key_is_named_as_a_person_would() -> None:
    made = varied(
        load("site-lost"),
        {
            "proxies.count": 1,
            "box.fast.slots": 3,
            "event.1.lasts": 4.0,
            "load.scale": 0.5,
            "class.lookup.aim_ms": 200.0,
        },
    )
    assert made.proxies.count == 1 and made.event[0].lasts == 4.0
    assert next(b.slots for b in made.box if b.name == "fast") == 3
    assert made.load.curve[0].rate == 200.0 and made.classes[0].aim_ms == 200.0
    assert load("site-lost").proxies.count == 6


@pytest.mark.parametrize(
    ("key", "value", "said"),
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
def test_what_there_is_not_is_one_line_that_names_it(key: str, value: object, said: str) -> None:
    with pytest.raises(ConfigError) as error:
        varied(load("site-lost"), {key: value})
    assert said in str(error.value) and "\n" not in str(error.value)


def test_the_operators_file_is_a_part_of_a_scenario(tmp_path: Path) -> None:
    path = tmp_path / "short.toml"
    path.write_text(
        "[run]\nseconds = 3.0\n[load]\ncurve = [{at = 0.0, rate = 40.0}]\n"
        "[operator.limits]\ndepth = 4\n"
    )
    made = load(str(path))
    assert made.operator.limits.depth == 4
    other = varied(made, {"operator.limits.depth": 9, "operator.log.level": "error"})
    morning = Morning(other, 1)
    assert not morning.run().failed
    assert [p.proxy_config.operator for p in morning.processes] == [other.operator] * 6
    with pytest.raises(ConfigError, match="depth"):
        varied(made, {"operator.limits.depth": 0})


def test_the_size_to_come_keeps_what_a_node_sees() -> None:
    small = load("site-lost")
    large = at_size(small)
    assert (large.size, large.proxies.count) == (46, 710)
    assert large.load.curve[0].rate / large.capacity == pytest.approx(
        small.load.curve[0].rate / small.capacity
    )
    for site in ("catania-nord", "acireale", "paterno"):
        part = [sum(b.at.get(site, 0) for b in made.box) / made.size for made in (small, large)]
        assert abs(part[0] - part[1]) < 0.03


def test_a_changed_run_at_the_keyboard(tmp_path: Path) -> None:
    path = tmp_path / "short.toml"
    path.write_text("[run]\nseconds = 4.0\n[load]\ncurve = [{at = 0.0, rate = 40.0}]\n")
    runner = CliRunner()
    told = runner.invoke(
        app, ["rehearse", str(path), "--set", "proxies.count=2", "--set", "load.scale=2", "--json"]
    )
    whole = runner.invoke(app, ["rehearse", str(path), "--json"])
    asked = [json.loads(each.stdout)["runs"][0]["asked"] for each in (told, whole)]
    assert asked[0] > 1.5 * asked[1]
    wrong = runner.invoke(app, ["rehearse", str(path), "--set", "proxies.count"])
    assert wrong.exit_code == 2 and "KEY=VALUE" in wrong.output


# --- loss attribution ---
def asked(how: str, answered: float | None = None, at: float = 10.2) -> Asked:
    return Asked(at, "lookup", "t", "s", 2.0, 0.3, 0.5, answered, 1, [how], ["a"])


SEEN = Seen({"a": [(10.3, "n1")]}, {}, [0.5] * 20)


@pytest.mark.parametrize(
    ("each", "seen", "what"),
    [
        (asked("served", 10.4), SEEN, None),
        (asked("refused"), Seen({}, {}, [0.5] * 20), loss_attribution.ROOM),
        (asked("refused"), Seen({}, {}, [0.05] * 20), loss_attribution.FULL),
        (asked("out of time"), Seen({}, {}, [0.5] * 20), loss_attribution.SILENT),
        (
            asked("out of time"),
            Seen({"a": [(10.3, "n1")]}, {"n1": [(4.0, 12.0)]}, []),
            loss_attribution.KNOWN,
        ),
        (
            asked("out of time"),
            Seen({"a": [(10.3, "n1")]}, {"n1": [(9.5, 12.0)]}, []),
            loss_attribution.NEWS,
        ),
        (
            asked("out of time"),
            Seen({"a": [(10.3, "n1")]}, {"n1": [(4.0, 8.0)]}, []),
            loss_attribution.ONCE,
        ),
        (asked("served", 11.0), SEEN, loss_attribution.ONCE),
        (
            asked("served", 11.0),
            Seen({"a": [(10.3, "n1"), (10.4, "n2")]}, {}, []),
            loss_attribution.LATE,
        ),
        (asked("refused"), SEEN, loss_attribution.NODE),
    ],
)
def test_what_became_of_a_first_try(each: Asked, seen: Seen, what: str | None) -> None:
    assert fate(each, seen) == what


def test_a_second_names_what_cost_it_most() -> None:
    found = [
        asked("refused"),
        asked("out of time"),
        asked("out of time"),
        asked("served", 10.4),
        asked("refused", at=12.1),
    ]
    seen = Seen({}, {}, [0.5] * 20)
    told = costs(found, seen)
    assert [(c.second, c.lost, c.by) for c in told] == [
        (10, 6.0, loss_attribution.SILENT),
        (12, 2.0, loss_attribution.ROOM),
    ]
    assert told[0].part == pytest.approx(2.0 / 3.0)
    assert totals(found, seen) == pytest.approx(
        {loss_attribution.SILENT: 0.4, loss_attribution.ROOM: 0.4}
    )


def test_room_is_what_sound_nodes_leave_idle() -> None:
    watch = Watch()
    for tick in range(8):  # n1 can do nothing in second 1
        watch.looked("n1", tick / 4, 0.0 if 4 <= tick < 8 else 6.0)
        watch.looked("n2", tick / 4, 6.0)
    seen = watch.seen({"n1": [3.0, 0.0], "n2": [6.0, 6.0]}, {"n1": 6, "n2": 6})
    assert seen.bad["n1"] == [(1.0, 1.75)]
    assert seen.idle == [pytest.approx(0.25), 0.0]
