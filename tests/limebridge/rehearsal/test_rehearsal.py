"""Rehearsals: scenarios, scores, the same run everywhere, bad builds that fail."""

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

from limebridge import child as children
from limebridge.child import DaemonStartError
from limebridge.cli import app
from limebridge.rehearsal import real as engines
from limebridge.rehearsal import trace
from limebridge.rehearsal.command import changes, until_stopped
from limebridge.rehearsal.engine import Morning, play
from limebridge.rehearsal.report import html, plain, verdict, xml
from limebridge.rehearsal.scenario import Point, Scenario, load, rate, shipped, spread
from limebridge.rehearsal.score import Asked, score
from limebridge.virtual import Kernel, VirtualLoop
from limebridge.virtual.costs import Costs, Meter, ProcessLoop
from tests.support import bounded
from tests.support.paths import ROOT
from violetroute.config import ConfigError

SHORT = "[run]\nseconds = 8.0\n[load]\ncurve = [{at = 0.0, rate = 60.0}]\n"


def made(tmp_path: Path, text: str = SHORT) -> Scenario:
    path = tmp_path / "short.toml"
    path.write_text(text)
    return load(str(path))


# --- scenarios ---
def test_all_that_are_shipped_and_can_be_used() -> None:
    assert len(shipped()) == 16
    monday = load("monday")
    assert (monday.size, monday.proxies.count, monday.load.curve[-1].rate) == (46, 710, 1500.0)
    assert load("three-sites").size == 9 and len(load("three-sites").box) == 3


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("", "load"),
        ("[load]\ncurve = []\n", "[load] curve"),
        ("[load]\ncurve = [{at = 1.0, rate = 1.0}]\n", "[load] curve"),
        (SHORT + "[run2]\n", "run2"),
        (SHORT + "[nodes]\nwarmth = 1\n", "warmth"),
        (SHORT + '[[box]]\nname = "x"\nat = {b = 1}\n', "[[box]] 1 at: no site 'b'"),
        (SHORT + '[[box]]\nname = "x"\nspeed = [2.0, 1.0]\nat = {a = 1}\n', "[[box]] 1 speed"),
        (SHORT + '[operator.placement]\nfile = "plan.json"\n', "[operator.placement]"),
        (SHORT + '[[event]]\nat = 1.0\nkind = "sleeps"\n', "kind"),
        (SHORT + '[[event]]\nat = 9.0\nkind = "slow"\n', "[[event]] 1 at"),
        (SHORT + '[[event]]\nat = 1.0\nkind = "site_lost"\nsite = "z"\n', "[[event]] 1 site"),
        (SHORT + "[clients]\npatience = [0.9, 0.5]\n", "[clients] patience"),
        (
            SHORT + '[[class]]\nname = "w"\nshare = 1.0\nwork_ms = 1.0\naim_ms = 9.0\n'
            "deadline_ms = 10.0\n"
            'effect = "token"\n',
            "[[class]] w window_ms",
        ),
        ('name = "x"\n' + SHORT, "name"),
    ],
)
def test_what_cannot_be_meant_is_one_line_with_its_key(
    tmp_path: Path, text: str, said: str
) -> None:
    with pytest.raises(ConfigError) as found:
        made(tmp_path, text)
    assert said in str(found.value) and "\n" not in str(found.value)
    result = CliRunner().invoke(app, ["rehearse", str(tmp_path / "short.toml")])
    assert result.exit_code == 2 and said in result.output


def test_the_curve_runs_on_lines_and_proxies_stand_in_proportion() -> None:
    curve = [Point(0.0, 100.0), Point(10.0, 200.0)]
    assert [rate(curve, at) for at in (0.0, 5.0, 10.0, 99.0)] == [100.0, 150.0, 200.0, 200.0]
    assert spread(["a", "b"], [2.0, 1.0], 6).count("a") == 4


# --- scores ---
def asked(at: float, answered: float | None, cls: str = "c", worth: float = 1.0) -> Asked:
    return Asked(at, cls, "t", "s", worth, 0.3, 0.5, answered, 1, ["served"])


def test_worth_counts_in_time_late_and_by_its_worst_parts() -> None:
    found = score(
        [asked(0.5, 0.7), asked(1.0, 1.5), asked(30.0, None, "d", 2.0), asked(31.0, 31.1)], 40.0
    )
    assert found.service == pytest.approx(2.5 / 5.0)
    assert (found.worst, found.worst_class) == (0.0, 0.0)
    assert 21.0 <= found.worst_at <= 30.0 and found.classes["c"] == pytest.approx(2.5 / 3.0)
    assert found.p50_ms == pytest.approx(200.0, abs=1.0) and score([], 5.0).service == 1.0


def test_noise_is_no_change_and_a_change_is_told_with_its_error() -> None:
    def runs(*values: float) -> list[dict[str, Any]]:
        return [
            {"seed": n, "service": v, "worst": 1.0, "worst_class": 1.0, "total": v}
            for n, v in enumerate(values)
        ]

    before = runs(0.90, 0.92, 0.88, 0.91)
    assert changes(before, runs(0.91, 0.91, 0.89, 0.90)) == []
    (worse, total) = changes(before, runs(0.85, 0.88, 0.83, 0.85))
    assert worse["worse"] and worse["by"] == pytest.approx(-0.05) and total["what"] == "total"
    assert changes(before[:1], before[:1]) == []


# --- runs ---
def test_the_same_seed_is_the_same_run_in_any_process(tmp_path: Path) -> None:
    scenario = made(tmp_path)
    here = json.dumps(plain(play(scenario)))
    for hashes in ("0", "random"):
        done = subprocess.run(
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
        assert done.returncode == 0
        assert json.dumps(json.loads(done.stdout)["runs"][0]) == here
    assert json.dumps(plain(play(scenario, 2))) != here


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
def test_every_trouble_is_played_and_breaks_no_rule(tmp_path: Path, kind: str) -> None:
    event = f'[[event]]\nat = 2.0\nkind = "{kind}"\nlasts = 2.0\nsite = "a"\n'
    result = play(made(tmp_path, SHORT + "[proxies]\ncount = 2\n" + event))
    assert result.events == [(2.0, kind)] and not result.broken
    assert result.score.asked > 300 and kind in html([result])
    assert sum(result.score.ends.values()) >= result.score.asked


def test_a_bar_that_is_missed_fails_and_says_why(tmp_path: Path) -> None:
    text = SHORT + "[bar]\nservice = 1.0\n[database]\nceiling = 1.0\nlatency_ms = 400.0\n"
    result = play(made(tmp_path, text))
    assert any("service 0." in why for why in result.failed)
    assert any("customer database" in why for why in result.failed)
    page = html([result])
    assert "failed" in page and result.unserved
    worst = result.unserved[0]
    assert worst.earned < worst.worth and f'<td class="n">{worst.at:.3f}<td>lookup' in page
    assert all(0.0 <= each.at - result.score.worst_at < 10.0 for each in result.unserved)


BAD = {  # what each fails, and the words in which that is told
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
SEEDS = {"late_keyed_repeat": "2"}  # no repeat is late in seed 1; seeds 2 to 5 all fail


@pytest.mark.parametrize("name", BAD)
@pytest.mark.long
def test_a_known_bad_build_fails_and_says_why(name: str) -> None:
    scenario, why = BAD[name]
    done = bounded.run(
        [
            sys.executable,
            "-m",
            "limebridge",
            "rehearse",
            scenario,
            "--json",
            "--from",
            SEEDS.get(name, "1"),
            "--patch",
            f"tests/bad_builds/{name}.py",
        ],
        processor_s=120,
        folder=ROOT,
    )
    told = json.loads(done.stdout)["runs"][0]
    assert done.returncode == 1 and any(why in line for line in told["failed"]), told


@pytest.mark.parametrize(
    "name",
    ["three-sites", "growth", "site-lost", "half-stalls", "half-stalls-busy", "crowd-fourfold"],
)
@pytest.mark.long
def test_the_good_build_passes_what_the_bad_ones_fail(name: str) -> None:
    result = play(load(name))
    assert not result.failed and not result.broken


# --- the program's own time ---
LIMIT = """[run]
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


def test_work_beside_the_loop_makes_a_busy_process_busier_and_sends_leave_behind_it() -> None:
    kernel = Kernel(1)
    loop = VirtualLoop(kernel)
    meter = Meter(kernel, loop, "p", Costs(0.01, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0))
    seen: list[float] = []

    async def play_it() -> None:
        server = await asyncio.start_server(lambda r, w: w.write(b"unasked"), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        began = kernel.now
        meter.charge(0.1)  # busy until 0.11
        await asyncio.sleep(0.05)
        meter.charge(0.1)  # a drain's own sleep ends: until 0.22, not 0.16
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

    loop.run_until_complete(play_it())
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.close()
    assert seen == [0.22]


def test_a_trouble_that_fails_fails_the_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def broken(self: Any, event: Any) -> None:
        raise OSError("it did not come back")

    monkeypatch.setattr(Morning, "_slow", broken)
    result = play(made(tmp_path, SHORT + '[[event]]\nat = 1.0\nkind = "slow"\n'))
    assert any("slow at 1 s: it did not come back" in why for why in result.failed)


def test_ctrl_c_in_virtual_runs_is_partial(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def stopped(self: Any, event: Any) -> None:
        raise KeyboardInterrupt

    def runs() -> Any:
        yield 1
        raise KeyboardInterrupt

    assert list(until_stopped(runs())) == [1]
    monkeypatch.setattr(Morning, "_strike", stopped)
    result = play(made(tmp_path, SHORT + '[[event]]\nat = 7.0\nkind = "slow"\n'))
    assert result.partial and 100 < result.score.asked < 300 and verdict(result) == "partial"


@pytest.mark.long
def test_a_proxy_without_time_refuses_and_with_enough_serves(tmp_path: Path) -> None:
    poor = play(made(tmp_path, LIMIT.replace("CORES", "0.2")))
    again = play(made(tmp_path, LIMIT.replace("CORES", "0.2")))
    rich = play(made(tmp_path, LIMIT.replace("CORES", "4.0")))
    assert plain(poor) == plain(again) and not poor.broken and not rich.broken
    assert poor.score.ends["refused"] > 0.2 * poor.score.asked and poor.score.ends["served"] > 1000
    assert rich.score.service > 0.95 and rich.score.p50_ms < poor.score.p50_ms


def test_a_busy_process_does_what_waits_in_its_order_and_uses_no_more_than_there_is() -> None:
    kernel = Kernel(1)
    loop = VirtualLoop(kernel)
    costs = Costs(wake=0.01, read=0.0, write=0.0, byte=0.0, command=0.0, decision=0.02, connect=0.0)
    meter = Meter(kernel, loop, "p", costs)
    process, seen = ProcessLoop(loop, meter), []

    def note(what: str) -> None:
        meter.charge(costs.decision)
        seen.append((what, round(kernel.now - began, 6)))

    async def play_it() -> None:
        process.call_soon(note, "first")
        process.call_soon(note, "second")
        process.call_later(0.01, note, "timer")  # due while the first two are worked on
        process.call_later(0.015, note, "next")
        process.call_later(0.2, note, "later")
        process.call_later(0.01, note, "never").cancel()
        await asyncio.sleep(1.0)

    began = kernel.now
    loop.run_until_complete(play_it())
    loop.close()
    # One turn for the first two: a wake and two decisions; what fell due meanwhile waits for it.
    assert seen == [
        ("first", 0.0),
        ("second", 0.0),
        ("timer", 0.05),
        ("next", 0.05),
        ("later", 0.2),
    ]
    assert meter.used == pytest.approx(0.05 + 0.05 + 0.03) and meter.turns == 3


def test_at_the_keyboard(tmp_path: Path) -> None:
    run = CliRunner().invoke
    assert "three-sites" in run(app, ["rehearse", "--list"]).output
    assert "46 nodes" in run(app, ["rehearse", "monday", "--explain"]).output
    path = tmp_path / "mine.toml"
    assert run(app, ["rehearse", "--new", str(path)]).exit_code == 0
    assert load(str(path)).event[0].kind == "slow"
    assert run(app, ["rehearse", "--new", str(path)]).exit_code == 2
    assert run(app, ["rehearse"]).exit_code == 2
    assert run(app, ["rehearse", "nowhere"]).exit_code == 2
    scenario = made(tmp_path)
    report = tmp_path / "before.json"
    report.write_text(json.dumps({"runs": [plain(play(scenario, seed)) for seed in (1, 2)]}))
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
def test_a_recorded_load_is_asked_again_at_its_own_times(tmp_path: Path) -> None:
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
    told = []
    for name in ("load.csv", "load.jsonl.zst"):
        result = play(made(tmp_path, f'[run]\nseconds = 8.0\n[load]\ntrace = "{name}"\n'))
        assert result.score.asked == 200 and set(result.score.tenants) == {"acme", "all"}
        told.append(plain(result))
    assert told[0] == told[1]
    fast = play(made(tmp_path, '[run]\nseconds = 8.0\n[load]\ntrace = "load.csv"\nspeed = 4.0\n'))
    assert [asked for asked, _ in fast.score.seconds][2:] == [0.0] * 6 and fast.score.asked == 200


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("", "has no requests"),
        ("at,class\n1.0,nobody\n", ":2: class"),
        ("at\n1.0\n", ":2: at"),
        ("at,class\n2.0,lookup\n1.0,lookup\n", ":3: at"),
        ("at,class\nnan,lookup\n", ":2: at"),
        ("at,class\n\x00\xff", "can't be read"),
    ],
)
def test_a_trace_that_cannot_be_used_is_told_by_its_line(
    tmp_path: Path, text: str, said: str
) -> None:
    (tmp_path / "load.csv").write_bytes(text.encode("latin-1"))
    with pytest.raises(ConfigError) as found:
        made(tmp_path, '[load]\ntrace = "load.csv"\n')
    assert said in str(found.value) and "\n" not in str(found.value)


def test_a_small_file_does_not_fill_the_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(trace, "LARGEST", 10_000)
    (tmp_path / "load.jsonl.zst").write_bytes(zstandard.compress(b" " * 1_000_000))
    with pytest.raises(ConfigError, match="more than 10000 bytes"):
        made(tmp_path, '[load]\ntrace = "load.jsonl.zst"\n')


# --- in real time ---
REAL = SHORT.replace("8.0", "3.0") + "[proxies]\ncount = 2\n[nodes]\nwaiting = 100\n"


def real(tmp_path: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    (tmp_path / "short.toml").write_text(REAL)
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


def test_the_installed_daemon_is_rehearsed_as_processes(tmp_path: Path) -> None:
    done = real(tmp_path, "--json", "--junit", str(tmp_path / "r.xml"))
    told = json.loads(done.stdout)["runs"][0]
    assert done.returncode in (0, 3), done.stderr  # void where the machine is busy
    assert told["asked"] > 100 and told["ends"]["served"] > 50
    assert not told["broken"] or done.returncode == 3
    suite = ElementTree.parse(tmp_path / "r.xml").getroot()
    assert suite.get("tests") == "1" and suite.get("failures") == "0"


@pytest.mark.parametrize(
    ("command", "said"),
    [
        ("false", "ended at its start"),
        ("no-such-program", "no-such-program"),
        (f"{sys.executable} -c 'import sys; sys.stderr.write(\"x\" * 9_000_000)'", "p0 ended"),
    ],
)
def test_a_daemon_that_does_not_start_is_one_line(tmp_path: Path, command: str, said: str) -> None:
    done = real(tmp_path, "--run", command)
    assert done.returncode == 2 and said in done.stderr and len(done.stderr.splitlines()) == 1


def test_a_daemon_that_never_listens_is_given_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(children, "START_TIMEOUT_S", 1.0)
    with pytest.raises(DaemonStartError, match="is not ready"):
        engines.play_real(
            made(tmp_path, REAL), run=f"sh -c 'echo $$ > {tmp_path}/pid; exec sleep 60'"
        )
    pid = (tmp_path / "pid").read_text().strip()
    assert not Path(f"/proc/{pid}").exists()


def test_a_daemon_that_crashes_fails_the_run(tmp_path: Path) -> None:
    (tmp_path / "d.py").write_text(
        "import itertools, os, runpy, sys\n"
        f"sys.argv = ['violetroute']; sys.path.insert(0, {str(ROOT)!r})\n"
        "from violetroute.proxy import Proxy\n"
        "take, number = Proxy.take, itertools.count()\n"
        "Proxy.take = lambda *what: os._exit(7) if next(number) == 20 else take(*what)\n"
        "runpy.run_module('violetroute', run_name='__main__', alter_sys=True)\n"
    )
    result = engines.play_real(
        made(tmp_path, REAL.replace("3.0", "4.0")), run=f"{sys.executable} {tmp_path / 'd.py'}"
    )
    assert result.void or any("p0 crashed" in why for why in result.failed)
    assert any("p0 crashed" in each.message for each in result.broken)


def test_what_real_time_cannot_play_is_refused(tmp_path: Path) -> None:
    limited = REAL.replace("count = 2", "count = 2\ncores = 0.2")
    for text, arguments, said in (
        (limited, ["--real"], "[proxies] cores"),
        (REAL.replace("count = 2", "count = 25"), ["--real"], "24 at most"),
        (REAL, ["--real", "--patch", "x.py"], "--patch"),
        (REAL, ["--run", "true"], "--run"),
    ):
        (tmp_path / "short.toml").write_text(text)
        result = CliRunner().invoke(app, ["rehearse", str(tmp_path / "short.toml"), *arguments])
        assert result.exit_code == 2 and said in result.output


def test_a_real_daemon_has_the_scenarios_operators_file(tmp_path: Path) -> None:
    text = REAL.replace("3.0", "1.0") + '[operator.log]\nlevel = "%s"\n'
    path = tmp_path / "level.toml"
    path.write_text(text % "error")
    with pytest.raises(DaemonStartError, match="level"):
        engines.play_real(load(str(path)))
    path.write_text(text % "debug")
    engines.play_real(
        load(str(path)),
        run=(f'sh -c \'cat "$2" > {tmp_path}/seen; exec {sys.executable} -m violetroute "$@"\' x'),
    )
    assert tomllib.loads((tmp_path / "seen").read_text())["log"]["level"] == "debug"


def test_a_kit_that_is_late_itself_judges_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(engines, "LATE", -1.0)
    result = engines.play_real(made(tmp_path, REAL.replace("3.0", "1.0")))
    assert result.void and "the kit itself" in result.failed[0] and "skipped" in xml([result])


def test_ctrl_c_ends_all_and_says_that_it_is_partial(tmp_path: Path) -> None:
    (tmp_path / "short.toml").write_text(REAL.replace("3.0", "60.0"))
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
        time.sleep(1.0)  # for some load; the verdict does not depend on how much
        child.send_signal(signal.SIGINT)
        out, _ = child.communicate(timeout=30)
    assert json.loads(out)["runs"][0]["verdict"] == "partial" and child.returncode == 1
    for path in tmp_path.glob("pid-*"):
        assert not Path(f"/proc/{path.name[4:]}").exists()


def test_a_wrong_name_brings_a_near_one(tmp_path: Path) -> None:
    for text, near in (
        (SHORT + "[nodes]\nwaitin = 3\n", "waiting"),
        (SHORT + '[[event]]\nat = 1.0\nkind = "stall"\n', "stalls"),
    ):
        with pytest.raises(ConfigError, match=f"did you mean {near}"):
            made(tmp_path, text)
