"""Tests rehearsals: scenario files, scores, reproducibility, and detection of bad builds."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any
from xml.etree import ElementTree

import pytest
import zstandard
from typer.testing import CliRunner

from limebridge import child as child_processes
from limebridge.child import DaemonStartError
from limebridge.cli import app
from limebridge.rehearsal import real as real_time
from limebridge.rehearsal import trace
from limebridge.rehearsal.command import significant_changes, until_interrupted
from limebridge.rehearsal.engine import Rehearsal, run_scenario
from limebridge.rehearsal.report import render_html, render_junit, to_dict, verdict
from limebridge.rehearsal.scenario import (
    Point,
    Scenario,
    distribute,
    load,
    rate_at,
    shipped_scenarios,
)
from limebridge.rehearsal.score import RequestRecord, score
from limebridge.rules import Violation
from limebridge.virtual import Kernel, VirtualLoop
from limebridge.virtual.costs import Costs, Meter, ProcessLoop
from tests.support import bounded
from tests.support.paths import ROOT
from violetroute.config import ConfigError

SHORT_SCENARIO = "[run]\nseconds = 8.0\n[load]\ncurve = [{at = 0.0, rate = 60.0}]\n"


def load_text(tmp_path: Path, text: str = SHORT_SCENARIO) -> Scenario:
    path = tmp_path / "short.toml"
    path.write_text(text)
    return load(str(path))


# --- scenarios ---
def test_shipped_scenarios_can_be_loaded() -> None:
    assert len(shipped_scenarios()) == 16
    monday = load("monday")
    assert (monday.size, monday.proxies.count, monday.load.curve[-1].rate) == (46, 710, 1500.0)
    assert load("three-sites").size == 9 and len(load("three-sites").box) == 3


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "load"),
        ("[load]\ncurve = []\n", "[load] curve"),
        ("[load]\ncurve = [{at = 1.0, rate = 1.0}]\n", "[load] curve"),
        (SHORT_SCENARIO + "[run2]\n", "run2"),
        (SHORT_SCENARIO + "[nodes]\nwarmth = 1\n", "warmth"),
        (SHORT_SCENARIO + '[[box]]\nname = "x"\nat = {b = 1}\n', "[[box]] 1 at: no site 'b'"),
        (
            SHORT_SCENARIO + '[[box]]\nname = "x"\nspeed = [2.0, 1.0]\nat = {a = 1}\n',
            "[[box]] 1 speed",
        ),
        (SHORT_SCENARIO + '[operator.placement]\nfile = "plan.json"\n', "[operator.placement]"),
        (SHORT_SCENARIO + '[[event]]\nat = 1.0\nkind = "sleeps"\n', "kind"),
        (SHORT_SCENARIO + '[[event]]\nat = 9.0\nkind = "slow"\n', "[[event]] 1 at"),
        (
            SHORT_SCENARIO + '[[event]]\nat = 1.0\nkind = "site_lost"\nsite = "z"\n',
            "[[event]] 1 site",
        ),
        (SHORT_SCENARIO + "[clients]\npatience = [0.9, 0.5]\n", "[clients] patience"),
        (
            SHORT_SCENARIO + '[[class]]\nname = "w"\nshare = 1.0\nwork_ms = 1.0\naim_ms = 9.0\n'
            "deadline_ms = 10.0\n"
            'effect = "token"\n',
            "[[class]] w window_ms",
        ),
        ('name = "x"\n' + SHORT_SCENARIO, "name"),
    ],
)
def test_invalid_scenario_is_one_line_with_its_key(
    tmp_path: Path, text: str, expected: str
) -> None:
    with pytest.raises(ConfigError) as found:
        load_text(tmp_path, text)
    assert expected in str(found.value) and "\n" not in str(found.value)
    result = CliRunner().invoke(app, ["rehearse", str(tmp_path / "short.toml")])
    assert result.exit_code == 2 and expected in result.output


def test_curve_is_piecewise_linear_and_proxies_are_distributed_by_share() -> None:
    curve = [Point(0.0, 100.0), Point(10.0, 200.0)]
    assert [rate_at(curve, at) for at in (0.0, 5.0, 10.0, 99.0)] == [100.0, 150.0, 200.0, 200.0]
    assert distribute(["a", "b"], [2.0, 1.0], 6).count("a") == 4


# --- scores ---
def make_record(
    at: float, served_at: float | None, cls: str = "c", worth: float = 1.0
) -> RequestRecord:
    return RequestRecord(at, cls, "t", "s", worth, 0.3, 0.5, served_at, 1, ["served"])


def test_score_counts_timely_and_late_worth_and_finds_the_worst_parts() -> None:
    scored = score(
        [
            make_record(0.5, 0.7),
            make_record(1.0, 1.5),
            make_record(30.0, None, "d", 2.0),
            make_record(31.0, 31.1),
        ],
        40.0,
    )
    assert scored.service == pytest.approx(2.5 / 5.0)
    assert (scored.worst, scored.worst_class) == (0.0, 0.0)
    assert 21.0 <= scored.worst_at <= 30.0 and scored.classes["c"] == pytest.approx(2.5 / 3.0)
    assert scored.p50_ms == pytest.approx(200.0, abs=1.0) and score([], 5.0).service == 1.0


def test_only_significant_changes_are_reported_with_their_error() -> None:
    def runs(*values: float) -> list[dict[str, Any]]:
        return [
            {"seed": n, "service": v, "worst": 1.0, "worst_class": 1.0, "total": v}
            for n, v in enumerate(values)
        ]

    before = runs(0.90, 0.92, 0.88, 0.91)
    assert significant_changes(before, runs(0.91, 0.91, 0.89, 0.90)) == []
    (worse, total) = significant_changes(before, runs(0.85, 0.88, 0.83, 0.85))
    assert worse["worse"] and worse["by"] == pytest.approx(-0.05) and total["what"] == "total"
    assert significant_changes(before[:1], before[:1]) == []


# --- runs ---
def test_same_seed_gives_the_same_run_in_any_process(tmp_path: Path) -> None:
    scenario = load_text(tmp_path)
    expected = json.dumps(to_dict(run_scenario(scenario)))
    for hashes in ("0", "random"):
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "limebridge",
                "rehearse",
                "--json",
                str(tmp_path / "short.toml"),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env=os.environ | {"PYTHONHASHSEED": hashes},
        )
        assert completed.returncode == 0
        assert json.dumps(json.loads(completed.stdout)["runs"][0]) == expected
    assert json.dumps(to_dict(run_scenario(scenario, 2))) != expected


@pytest.mark.parametrize(
    "kind",
    [
        "slow",
        "stalls",
        "dies",
        "drains",
        "hot_key",
        "scan",
        "database_slow",
        "database_stops",
        "discovery_down",
        "site_lost",
        "joins",
        "proxies_restart",
        "loses_answers",
    ],
)
def test_every_kind_of_event_runs_without_a_violation(tmp_path: Path, kind: str) -> None:
    event = f'[[event]]\nat = 2.0\nkind = "{kind}"\nlasts = 2.0\nsite = "a"\n'
    result = run_scenario(load_text(tmp_path, SHORT_SCENARIO + "[proxies]\ncount = 2\n" + event))
    assert result.events == [(2.0, kind)] and not result.violations
    assert result.score.requests > 300 and kind in render_html([result])
    assert sum(result.score.outcomes.values()) >= result.score.requests


def test_missed_requirement_fails_with_a_reason(tmp_path: Path) -> None:
    text = SHORT_SCENARIO + "[bar]\nservice = 1.0\n[database]\nceiling = 1.0\nlatency_ms = 400.0\n"
    result = run_scenario(load_text(tmp_path, text))
    assert any("service 0." in reason for reason in result.failed)
    assert any("customer database" in reason for reason in result.failed)
    page = render_html([result])
    assert "failed" in page and result.unserved
    worst = result.unserved[0]
    assert worst.earned < worst.worth and f'<td class="n">{worst.at:.3f}<td>lookup' in page
    assert all(0.0 <= each.at - result.score.worst_at < 10.0 for each in result.unserved)


def test_the_report_names_the_violations(tmp_path: Path) -> None:
    """Guards against a fault: the page with a violation was not rendered.

    The template read a field that had been renamed.
    """
    result = run_scenario(load_text(tmp_path, SHORT_SCENARIO))
    result.violations.append(Violation(2, 1003.5, "<sent> twice", "id-7", ("first", "second")))
    page = render_html([result])
    assert "Rule violations" in page and "&lt;sent&gt; twice id-7" in page


BAD_BUILDS = {  # by name: a scenario that the build fails, and part of the reason given
    "drains_ignored": ("deploy-at-half-past-seven", "rule broken: drains kept"),
    "no_shedding": ("database-crawls", "worst ten seconds 0."),
    "retry_storm": ("database-crawls", "service 0."),
    "cold_node_as_warm": ("growth", "worst ten seconds 0."),
    "late_keyed_repeat": ("one-node-stalls", "rule broken: no effect twice"),
    "limiter_gain_doubled": ("site-lost", "swing 0."),
    "equal_backoff": ("crowd-fourfold", "back after"),
    "ejection_unbounded": ("site-lost", "back not within"),
    "descriptor_leak": ("one-node-stalls", "descriptors open at its end"),
}
SEED_OF_BUILD = {"late_keyed_repeat": "2"}  # with seed 1 no repeat is late; seeds 2 to 5 all fail


@pytest.mark.parametrize("name", BAD_BUILDS)
@pytest.mark.long
def test_bad_build_fails_for_the_expected_reason(name: str) -> None:
    scenario, reason = BAD_BUILDS[name]
    completed = bounded.run(
        [
            sys.executable,
            "-m",
            "limebridge",
            "rehearse",
            scenario,
            "--json",
            "--from",
            SEED_OF_BUILD.get(name, "1"),
            "--patch",
            f"tests/bad_builds/{name}.py",
        ],
        processor_s=120,
        folder=ROOT,
    )
    result = json.loads(completed.stdout)["runs"][0]
    assert completed.returncode == 1 and any(reason in line for line in result["failed"]), result


@pytest.mark.parametrize(
    "name",
    ["three-sites", "growth", "site-lost", "half-stalls", "half-stalls-busy", "crowd-fourfold"],
)
@pytest.mark.long
def test_unmodified_build_passes_the_scenarios_of_the_bad_builds(name: str) -> None:
    result = run_scenario(load(name))
    assert not result.failed and not result.violations


# --- CPU time of the proxies ---
CPU_LIMITED_SCENARIO = """[run]
seconds = 4.0
[load]
curve = [{at = 0.0, rate = 300.0}, {at = 1.5, rate = 300.0}, {at = 1.6, rate = 1200.0}]
[keys]
count = 20
[[box]]
name = "x"
slots = 64
at = {a = 4}
[[class]]
name = "lookup"
share = 1.0
work_ms = 10.0
aim_ms = 300.0
deadline_ms = 600.0
[proxies]
count = 1
descriptors = 2048
cores = CORES
[clients]
retries = 0
"""


def test_work_outside_the_loop_delays_a_busy_process_and_its_sends() -> None:
    kernel = Kernel(1)
    loop = VirtualLoop(kernel)
    meter = Meter(kernel, loop, "p", Costs(0.01, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    seen: list[float] = []

    async def run_meter() -> None:
        server = await asyncio.start_server(lambda r, w: w.write(b"unasked"), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        began = kernel.now
        meter.charge(0.1)  # busy until 0.11
        await asyncio.sleep(0.05)
        meter.charge(0.1)  # as at the end of a sleep in a drain; busy until 0.22, not 0.16
        ProcessLoop(loop, meter).call_soon(lambda: seen.append(round(kernel.now - began, 6)))
        await asyncio.sleep(0.12)
        assert not seen and meter.busy
        await asyncio.sleep(0.2)
        sock = kernel.socket("p")
        sock.connect_ex(("127.0.0.1", port))
        await asyncio.sleep(0.05)
        meter.charge(0.03)
        sock.send(b"x")
        assert sock.peer is not None and sock.peer._received == b""
        sent = kernel.now
        assert sock.peer.sent_at(0) == pytest.approx(sent + 0.04)
        await asyncio.sleep(0.039)
        assert not seen[1:] and sock.undelivered() == 1
        server.close()
        sock.close()

    loop.run_until_complete(run_meter())
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.close()
    assert seen == [0.22]


def test_failed_event_fails_the_run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def broken(self: Any, event: Any) -> None:
        raise OSError("it did not come back")

    monkeypatch.setattr(Rehearsal, "_slow", broken)
    result = run_scenario(
        load_text(tmp_path, SHORT_SCENARIO + '[[event]]\nat = 1.0\nkind = "slow"\n')
    )
    assert any("slow at 1 s: it did not come back" in reason for reason in result.failed)


def test_interrupted_virtual_run_is_partial(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def stopped(self: Any, event: Any) -> None:
        raise KeyboardInterrupt

    def runs() -> Any:
        yield 1
        raise KeyboardInterrupt

    assert list(until_interrupted(runs())) == [1]
    monkeypatch.setattr(Rehearsal, "_start_event", stopped)
    result = run_scenario(
        load_text(tmp_path, SHORT_SCENARIO + '[[event]]\nat = 7.0\nkind = "slow"\n')
    )
    assert result.partial and 100 < result.score.requests < 300 and verdict(result) == "partial"


@pytest.mark.long
def test_proxy_short_of_cpu_refuses_and_one_with_enough_serves(tmp_path: Path) -> None:
    poor = run_scenario(load_text(tmp_path, CPU_LIMITED_SCENARIO.replace("CORES", "0.2")))
    again = run_scenario(load_text(tmp_path, CPU_LIMITED_SCENARIO.replace("CORES", "0.2")))
    rich = run_scenario(load_text(tmp_path, CPU_LIMITED_SCENARIO.replace("CORES", "4.0")))
    assert to_dict(poor) == to_dict(again) and not poor.violations and not rich.violations
    assert (
        poor.score.outcomes["refused"] > 0.2 * poor.score.requests
        and poor.score.outcomes["served"] > 1000
    )
    assert rich.score.service > 0.95 and rich.score.p50_ms < poor.score.p50_ms


def test_busy_process_runs_callbacks_in_order_and_within_its_cpu() -> None:
    kernel = Kernel(1)
    loop = VirtualLoop(kernel)
    costs = Costs(wake=0.01, read=0.0, write=0.0, byte=0.0, command=0.0, decision=0.02, connect=0.0)
    meter = Meter(kernel, loop, "p", costs)
    process, seen = ProcessLoop(loop, meter), []

    def note(what: str) -> None:
        meter.charge(costs.decision)
        seen.append((what, round(kernel.now - began, 6)))

    async def run_meter() -> None:
        process.call_soon(note, "first")
        process.call_soon(note, "second")
        process.call_later(0.01, note, "timer")  # due while the first two run
        process.call_later(0.015, note, "next")
        process.call_later(0.2, note, "later")
        process.call_later(0.01, note, "never").cancel()
        await asyncio.sleep(1.0)

    began = kernel.now
    loop.run_until_complete(run_meter())
    loop.close()
    # The first two share one turn, which costs a wake and two decisions.  Callbacks that become due
    # meanwhile run in the next turn.
    assert seen == [
        ("first", 0.0),
        ("second", 0.0),
        ("timer", 0.05),
        ("next", 0.05),
        ("later", 0.2),
    ]
    assert meter.total_cpu_s == pytest.approx(0.05 + 0.05 + 0.03) and meter.turns == 3


def test_the_command_line_lists_explains_and_creates_scenarios(tmp_path: Path) -> None:
    run = CliRunner().invoke
    assert "three-sites" in run(app, ["rehearse", "--list"]).output
    assert "46 nodes" in run(app, ["rehearse", "monday", "--explain"]).output
    path = tmp_path / "mine.toml"
    assert run(app, ["rehearse", "--new", str(path)]).exit_code == 0
    assert load(str(path)).event[0].kind == "slow"
    assert run(app, ["rehearse", "--new", str(path)]).exit_code == 2
    assert run(app, ["rehearse"]).exit_code == 2
    assert run(app, ["rehearse", "nowhere"]).exit_code == 2
    scenario = load_text(tmp_path)
    report = tmp_path / "before.json"
    report.write_text(
        json.dumps({"runs": [to_dict(run_scenario(scenario, seed)) for seed in (1, 2)]})
    )
    result = run(
        app,
        [
            "rehearse",
            str(tmp_path / "short.toml"),
            "--baseline",
            str(report),
            "--html",
            str(tmp_path / "r.html"),
        ],
    )
    assert result.exit_code == 0 and "passed" in result.output
    assert "<svg" in (tmp_path / "r.html").read_text()
    report.write_text("{}")
    assert (
        run(app, ["rehearse", str(tmp_path / "short.toml"), "--baseline", str(report)]).exit_code
        == 2
    )


# --- traces ---
def test_recorded_load_is_replayed_at_its_own_times(tmp_path: Path) -> None:
    rows = [(0.5 + n / 50.0, "lookup", "acme" if n % 2 else "", f"k{n % 7}") for n in range(200)]
    lines = "at,class,tenant,key\n" + "".join(f"{a},{c},{t},{k}\n" for a, c, t, k in rows)
    (tmp_path / "load.csv").write_text(lines)
    (tmp_path / "load.jsonl.zst").write_bytes(
        zstandard.compress(
            "".join(
                json.dumps({"at": a, "class": c, "tenant": t, "key": k}) + "\n"
                for a, c, t, k in rows
            ).encode()
        )
    )
    results = []
    for name in ("load.csv", "load.jsonl.zst"):
        result = run_scenario(
            load_text(tmp_path, f'[run]\nseconds = 8.0\n[load]\ntrace = "{name}"\n')
        )
        assert result.score.requests == 200 and set(result.score.tenants) == {"acme", "all"}
        results.append(to_dict(result))
    assert results[0] == results[1]
    fast = run_scenario(
        load_text(tmp_path, '[run]\nseconds = 8.0\n[load]\ntrace = "load.csv"\nspeed = 4.0\n')
    )
    assert [make_record for make_record, _ in fast.score.seconds][2:] == [
        0.0
    ] * 6 and fast.score.requests == 200


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "has no requests"),
        ("at,class\n1.0,nobody\n", ":2: class"),
        ("at\n1.0\n", ":2: at"),
        ("at,class\n2.0,lookup\n1.0,lookup\n", ":3: at"),
        ("at,class\nnan,lookup\n", ":2: at"),
        ("at,class\n\x00\xff", "can't be read"),
    ],
)
def test_invalid_trace_is_reported_with_its_line(tmp_path: Path, text: str, expected: str) -> None:
    (tmp_path / "load.csv").write_bytes(text.encode("latin-1"))
    with pytest.raises(ConfigError) as found:
        load_text(tmp_path, '[load]\ntrace = "load.csv"\n')
    assert expected in str(found.value) and "\n" not in str(found.value)


def test_decompressed_size_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(trace, "MAX_BYTES", 10_000)
    (tmp_path / "load.jsonl.zst").write_bytes(zstandard.compress(b" " * 1_000_000))
    with pytest.raises(ConfigError, match="more than 10000 bytes"):
        load_text(tmp_path, '[load]\ntrace = "load.jsonl.zst"\n')


# --- in real time ---
REAL_TIME_SCENARIO = (
    SHORT_SCENARIO.replace("8.0", "3.0") + "[proxies]\ncount = 2\n[nodes]\nwaiting = 100\n"
)


def real(tmp_path: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    (tmp_path / "short.toml").write_text(REAL_TIME_SCENARIO)
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "limebridge",
            "rehearse",
            str(tmp_path / "short.toml"),
            "--real",
            *arguments,
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=90,
    )


def test_real_time_run_of_the_installed_daemon(tmp_path: Path) -> None:
    completed = real(tmp_path, "--json", "--junit", str(tmp_path / "r.xml"))
    result = json.loads(completed.stdout)["runs"][0]
    assert completed.returncode in (0, 3), completed.stderr  # 3: void, on a busy machine
    assert result["asked"] > 100 and result["ends"]["served"] > 50
    assert not result["broken"] or completed.returncode == 3
    suite = ElementTree.parse(tmp_path / "r.xml").getroot()
    assert suite.get("tests") == "1" and suite.get("failures") == "0"


@pytest.mark.parametrize(
    ("command", "expected"),
    [
        ("false", "ended at its start"),
        ("no-such-program", "no-such-program"),
        (f"{sys.executable} -c 'import sys; sys.stderr.write(\"x\" * 9_000_000)'", "p0 ended"),
    ],
)
def test_failed_daemon_start_is_one_line(tmp_path: Path, command: str, expected: str) -> None:
    completed = real(tmp_path, "--run", command)
    assert (
        completed.returncode == 2
        and expected in completed.stderr
        and len(completed.stderr.splitlines()) == 1
    )


def test_daemon_that_never_listens_is_killed_after_a_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(child_processes, "START_TIMEOUT_S", 1.0)
    with pytest.raises(DaemonStartError, match="is not ready"):
        real_time.run_real(
            load_text(tmp_path, REAL_TIME_SCENARIO),
            run=f"sh -c 'echo $$ > {tmp_path}/pid; exec sleep 60'",
        )
    pid = (tmp_path / "pid").read_text().strip()
    assert not Path(f"/proc/{pid}").exists()


def test_crashed_daemon_fails_the_run(tmp_path: Path) -> None:
    (tmp_path / "d.py").write_text(
        "import itertools, os, runpy, sys\n"
        f"sys.argv = ['violetroute']; sys.path.insert(0, {str(ROOT)!r})\n"
        "from violetroute.proxy import Proxy\n"
        "take, number = Proxy.take, itertools.count()\n"
        "Proxy.take = lambda *what: os._exit(7) if next(number) == 20 else take(*what)\n"
        "runpy.run_module('violetroute', run_name='__main__', alter_sys=True)\n"
    )
    result = real_time.run_real(
        load_text(tmp_path, REAL_TIME_SCENARIO.replace("3.0", "4.0")),
        run=f"{sys.executable} {tmp_path / 'd.py'}",
    )
    assert result.void or any("p0 crashed" in reason for reason in result.failed)
    assert any("p0 crashed" in each.message for each in result.violations)


def test_scenarios_that_need_the_virtual_clock_are_rejected(tmp_path: Path) -> None:
    limited = REAL_TIME_SCENARIO.replace("count = 2", "count = 2\ncores = 0.2")
    for text, arguments, expected in (
        (limited, ["--real"], "[proxies] cores"),
        (REAL_TIME_SCENARIO.replace("count = 2", "count = 25"), ["--real"], "24 at most"),
        (REAL_TIME_SCENARIO, ["--real", "--patch", "x.py"], "--patch"),
        (REAL_TIME_SCENARIO, ["--run", "true"], "--run"),
    ):
        (tmp_path / "short.toml").write_text(text)
        result = CliRunner().invoke(app, ["rehearse", str(tmp_path / "short.toml"), *arguments])
        assert result.exit_code == 2 and expected in result.output


def test_real_daemon_gets_the_operator_file_of_the_scenario(tmp_path: Path) -> None:
    text = REAL_TIME_SCENARIO.replace("3.0", "1.0") + '[operator.log]\nlevel = "%s"\n'
    path = tmp_path / "level.toml"
    path.write_text(text % "error")
    with pytest.raises(DaemonStartError, match="level"):
        real_time.run_real(load(str(path)))
    path.write_text(text % "debug")
    real_time.run_real(
        load(str(path)),
        run=(f'sh -c \'cat "$2" > {tmp_path}/seen; exec {sys.executable} -m violetroute "$@"\' x'),
    )
    assert tomllib.loads((tmp_path / "seen").read_text())["log"]["level"] == "debug"


def test_run_is_void_if_the_test_kit_is_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(real_time, "MAX_LATENESS_S", -1.0)
    result = real_time.run_real(load_text(tmp_path, REAL_TIME_SCENARIO.replace("3.0", "1.0")))
    assert (
        result.void and "the kit itself" in result.failed[0] and "skipped" in render_junit([result])
    )


def test_interrupt_stops_all_daemons_and_the_result_is_partial(tmp_path: Path) -> None:
    (tmp_path / "short.toml").write_text(REAL_TIME_SCENARIO.replace("3.0", "60.0"))
    (tmp_path / "d.py").write_text(
        "import os, runpy, sys, pathlib\n"
        f"pathlib.Path({str(tmp_path)!r}, f'pid-{{os.getpid()}}').touch()\n"
        f"sys.argv = ['violetroute']; sys.path.insert(0, {str(ROOT)!r})\n"
        "runpy.run_module('violetroute', run_name='__main__', alter_sys=True)\n"
    )
    with subprocess.Popen(
        [
            sys.executable,
            "-m",
            "limebridge",
            "rehearse",
            str(tmp_path / "short.toml"),
            "--real",
            "--json",
            "--run",
            f"{sys.executable} {tmp_path / 'd.py'}",
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as child:
        deadline = time.monotonic() + 30.0
        while len(list(tmp_path.glob("pid-*"))) < 2 and time.monotonic() < deadline:
            time.sleep(0.05)
        time.sleep(1.0)  # lets some requests be sent; the verdict does not depend on their number
        child.send_signal(signal.SIGINT)
        out, _ = child.communicate(timeout=30)
    assert json.loads(out)["runs"][0]["verdict"] == "partial" and child.returncode == 1
    for path in tmp_path.glob("pid-*"):
        assert not Path(f"/proc/{path.name[4:]}").exists()


def test_unknown_name_suggests_a_similar_one(tmp_path: Path) -> None:
    for text, suggestion in (
        (SHORT_SCENARIO + "[nodes]\nwaitin = 3\n", "waiting"),
        (SHORT_SCENARIO + '[[event]]\nat = 1.0\nkind = "stall"\n', "stalls"),
    ):
        with pytest.raises(ConfigError, match=f"did you mean {suggestion}"):
            load_text(tmp_path, text)
