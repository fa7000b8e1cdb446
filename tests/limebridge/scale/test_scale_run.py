"""`limebridge scale run`: tiny runs end to end, invalid plans, links, the report, Ctrl-C."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import time
from array import array
from pathlib import Path

import msgspec
import pytest
import typer
from typer.testing import CliRunner

from limebridge.scale.applied import (
    NEVER,
    RECORD,
    STALE_FROM,
    STALE_UNTIL,
    Applied,
    AppliedTimes,
    StalePeriods,
    read_stamps,
)
from limebridge.scale.delay_names import APPLIED_AT_EVERY_PROXY, IN_FORCE, delay_name
from limebridge.scale.in_force_check import PublicationDelays
from limebridge.scale.links import (
    INTRA_REGION_DELAY_S,
    MAX_INTER_REGION_DELAY_S,
    MIN_INTER_REGION_DELAY_S,
    MIN_RTO_S,
    LinkTable,
    loopback_host,
    region_of_host,
    retransmission_delay,
)
from limebridge.scale.relay import RelayFile, RelayPorts, Route
from limebridge.scale.run import ScaleRun
from limebridge.scale.run_command import EXIT_INTERRUPTED, EXIT_REFUSED, run
from limebridge.scale.run_load import Publication, StatusSample
from limebridge.scale.run_plan import PlanError, RunPlan, check_plan
from limebridge.scale.run_process import ProcessError, ProcessGroup
from limebridge.scale.run_report import (
    Bound,
    EarlyReport,
    delay_percentiles,
    percentiles,
    read,
    role_use,
    save,
    target_bounds,
)
from limebridge.scale.run_sample import HOLLOW, LEADER, REAL
from limebridge.scale.run_tables import bound_line
from limebridge.scale.target import load_target
from limebridge.scale.traffic import CountedSocket, Counters, DatagramShaper, Traffic
from violetroute.distribution.messages import Topic

TINY = RunPlan(
    proxies=12,
    sites=6,
    regions=3,
    nodes=5,
    real=2,
    controls=3,
    seconds=2.0,
    warm_seconds=0.5,
    purges=40.0,
    changes=5.0,
    hosts=2,
)
APP = typer.Typer()
APP.command()(run)


def children_of(pid: int) -> list[int]:
    """The ids of the running child processes of `pid`."""
    pids = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [int(child) for child in pids]


# --- whole runs ---
def test_a_tiny_run_is_measured_and_leaves_no_process(tmp_path: Path) -> None:
    before = set(children_of(os.getpid()))
    report = asyncio.run(ScaleRun(TINY, lambda activity, share: None).run())
    assert set(children_of(os.getpid())) <= before

    roles = {role.role: role for role in report.roles}
    assert roles[HOLLOW].members == 12 and roles[HOLLOW].processes == 2
    assert roles[REAL].members == 2 and roles[LEADER].members == 1
    assert roles[HOLLOW].gossip_bytes > 0.0 and roles[REAL].gossip_bytes > 0.0
    assert roles[HOLLOW].distribution_bytes > 0.0 and roles[REAL].distribution_bytes > 0.0
    assert report.calibration is not None and 0.5 < report.calibration.bytes_in < 2.0

    assert report.purges == {"COMMITTED": sum(report.purges.values())}
    assert report.in_force is not None
    assert report.in_force.never_applied == report.in_force.never_reported == 0
    assert report.in_force.early == 0, report.in_force
    counts = 0
    for topic in (Topic.PURGE, Topic.CONFIGURATION):
        everywhere = report.delays[delay_name(topic, APPLIED_AT_EVERY_PROXY)]
        assert everywhere.p50 <= report.delays[delay_name(topic, IN_FORCE)].p50
        assert everywhere.count > 0, topic
        counts += everywhere.count
    assert counts == report.purges["COMMITTED"]

    save(report, tmp_path / "run.json")
    assert read(tmp_path / "run.json") == report


def test_proxies_that_all_restart_take_a_snapshot_and_miss_nothing() -> None:
    plan = msgspec.structs.replace(
        TINY, real=0, gossip=False, changes=0.0, seconds=3.0, restart_within_s=1.0
    )
    report = asyncio.run(ScaleRun(plan, lambda activity, share: None).run())
    assert any("restarted over 1 s" in note for note in report.notes)
    assert report.purges == {"COMMITTED": sum(report.purges.values())}
    assert report.in_force is not None
    assert report.in_force.never_applied == report.in_force.never_reported == 0
    assert report.in_force.early == 0, report.in_force


def test_a_restarted_proxy_is_stale_until_its_first_as_of() -> None:
    stale = StalePeriods(2.0)
    stale.observe(1.0, 0.5)  # fresh from the first sample on
    stale.record_restart(2.0)
    stale.observe(3.0, 2.9)
    assert stale.ended_periods == [(-NEVER, 1.0), (2.0, 3.0)]
    assert stale.periods()[-1] == (4.9, NEVER)


def test_cancellation_while_faults_are_stopped_ends_the_run() -> None:
    async def scenario() -> None:
        ending = asyncio.Event()

        async def slow_to_end() -> None:
            try:
                await asyncio.Event().wait()
            finally:
                ending.set()
                await asyncio.sleep(0.01)

        faults = asyncio.create_task(slow_to_end())
        await asyncio.sleep(0)
        scale_run = ScaleRun(TINY, lambda activity, share: None)
        run_task = asyncio.create_task(scale_run._stop_faults(faults))
        await ending.wait()
        run_task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await run_task
        assert run_task.cancelled()

    asyncio.run(scenario())


def test_a_fault_that_cannot_be_injected_fails_the_run() -> None:
    async def scenario() -> None:
        async def fails() -> None:
            raise ProcessError("host-0 ended")

        faults = asyncio.create_task(fails())
        await asyncio.sleep(0)
        with pytest.raises(ProcessError, match="host-0"):
            await ScaleRun(TINY, lambda activity, share: None)._stop_faults(faults)

    asyncio.run(scenario())


def test_ctrl_c_ends_all_children(tmp_path: Path) -> None:
    code = "import typer; from limebridge.scale.run_command import run; typer.run(run)"
    arguments = [
        "--proxies",
        "8",
        "--regions",
        "2",
        "--real",
        "1",
        "--controls",
        "1",
        "--hosts",
        "2",
        "--seconds",
        "60",
    ]
    with subprocess.Popen(
        [sys.executable, "-c", code, *arguments, "--json", str(tmp_path / "run.json")],
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
    ) as process:
        children = wait_for_children(process.pid, 5)
        process.send_signal(signal.SIGINT)
        _, errors = process.communicate(timeout=20.0)
    assert process.returncode == EXIT_INTERRUPTED
    assert b"interrupted" in errors and b"Traceback" not in errors
    assert not [child for child in children if Path(f"/proc/{child}").exists()]
    assert not (tmp_path / "run.json").exists()


def wait_for_children(pid: int, count: int) -> list[int]:
    """Wait for `count` children: for 5 a relay, a control machine, two hosts and a daemon."""
    end = time.monotonic() + 20.0
    while len(children := children_of(pid)) < count:
        assert time.monotonic() < end, children
        time.sleep(0.05)
    return children


@pytest.mark.parametrize(
    ("arguments", "named"),
    [
        ("--proxies 0", "--proxies"),
        ("--proxies 5000", "--proxies"),
        ("--loss 0.9", "--loss"),
        ("--seconds nan", "--seconds"),
        ("--purges 0", "--purges"),
        ("--controls 40", "--controls"),
        ("--controls 2 --kill-control", "--kill-control"),
        ("--real 298", "at most 300 are allowed"),
        ("--hosts 400 --proxies 400", "at most 300 are allowed"),
    ],
)
def test_invalid_or_too_large_runs_are_refused(tmp_path: Path, arguments: str, named: str) -> None:
    target = tmp_path / "run.json"
    result = CliRunner().invoke(APP, [*arguments.split(), "--json", str(target)])
    assert result.exit_code == EXIT_REFUSED
    assert named in result.stderr and len(result.stderr.strip().splitlines()) == 1
    assert not target.exists()


def test_a_run_beyond_half_of_the_memory_is_refused() -> None:
    plan = RunPlan()
    check_plan(plan, memory_mb=2.0 * plan.memory_mb)
    with pytest.raises(PlanError, match="half of this machine's memory"):
        check_plan(plan, memory_mb=2.0 * plan.memory_mb - 2.0)


# --- links ---
def test_links_have_delays_by_their_seed_and_can_be_cut(tmp_path: Path) -> None:
    links = LinkTable.create(tmp_path / "links", 4, seed=7, loss=0.25)
    same = LinkTable.create(tmp_path / "same", 4, seed=7)
    reader = LinkTable(tmp_path / "links", 4)
    pairs = [(one, two) for one in range(4) for two in range(4)]
    for one, two in pairs:
        delay = reader.delay(one, two)
        assert delay == same.delay(one, two) == reader.delay(two, one)
        assert delay == INTRA_REGION_DELAY_S if one == two else delay >= MIN_INTER_REGION_DELAY_S
        assert delay <= MAX_INTER_REGION_DELAY_S and reader.loss(one, two) == 0.25
    links.set_cut(0, 1)
    assert reader.is_cut(0, 1) and not reader.is_cut(1, 0)
    links.isolate(2)
    assert {pair for pair in pairs if reader.is_cut(*pair)} == {
        (0, 1), (2, 0), (2, 1), (2, 3), (0, 2), (1, 2), (3, 2),
    }  # fmt: skip
    links.isolate(2, isolated=False)
    assert not reader.is_cut(2, 0) and reader.is_cut(0, 1)


def test_the_region_can_be_read_from_an_address() -> None:
    for region, number in ((0, 0), (9, 2599), (63, 3999)):
        host = loopback_host(region, number)
        assert socket.inet_aton(host) and region_of_host(host) == region
    assert len({loopback_host(number % 10, number) for number in range(4000)}) == 4000
    assert region_of_host("127.0.0.1") == region_of_host("10.11.0.1") == -1


def test_lost_segments_cost_retransmission_timeouts() -> None:
    generator = random.Random(1)
    assert retransmission_delay(generator, 10, 0.0, 0.1) == 0.0
    delays = [retransmission_delay(generator, 1, 0.1, 0.05) for _ in range(20_000)]
    assert {round(delay / MIN_RTO_S) for delay in delays} >= {0, 1, 3}
    lost = sum(delay > 0.0 for delay in delays) / len(delays)
    assert 0.09 < lost < 0.11
    assert retransmission_delay(random.Random(1), 1, 1.0, 1.0) >= 2.0


def test_datagrams_are_counted_lost_and_delayed(tmp_path: Path) -> None:
    links = LinkTable.create(tmp_path / "links", 2, seed=1)
    links.set_delay(0, 1, 0.1)
    counters = Counters(tmp_path / "counters", 2, create=True)
    sender = CountedSocket.socket_factory(counters.block(0), DatagramShaper(links, 0, "sender"))
    receiver = CountedSocket.socket_factory(counters.block(1))

    async def send() -> float:
        with (
            sender(socket.AF_INET, socket.SOCK_DGRAM) as source,
            receiver(socket.AF_INET, socket.SOCK_DGRAM) as target,
        ):
            target.bind((loopback_host(1, 0), 0))
            target.settimeout(2.0)
            links.set_cut(0, 1)
            source.sendto(b"cut", target.getsockname())
            links.set_cut(0, 1, cut=False)
            links.set_loss(0, 1, 1.0)
            source.sendto(b"lost", target.getsockname())
            links.set_loss(0, 1, 0.0)
            began = time.monotonic()
            source.sendto(b"delayed", target.getsockname())
            data, _ = await asyncio.to_thread(target.recvfrom, 100)
            assert data == b"delayed"
            return time.monotonic() - began

    assert 0.1 <= asyncio.run(send()) < 1.0
    sent, received = counters.read()
    assert (sent.udp_out, sent.udp_bytes_out) == (3, 14)
    assert (received.udp_in, received.udp_bytes_in) == (1, 7)


def test_a_relay_delays_data_and_holds_it_while_the_link_is_cut(tmp_path: Path) -> None:
    links = LinkTable.create(tmp_path / "links", 2, seed=1)
    links.set_delay(0, 1, 0.05)
    links.set_delay(1, 0, 0.05)

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1000):
            writer.write(data)
        writer.close()

    async def scenario() -> tuple[float, float]:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        file = RelayFile(str(tmp_path / "links"), 2, 1, (Route(0, 1, port),))
        (tmp_path / "relay.json").write_bytes(msgspec.json.encode(file))
        group = ProcessGroup()
        relay = group.add("relay")
        try:
            module = ("-m", "limebridge.scale.relay", str(tmp_path / "relay.json"))
            await relay.start((sys.executable, *module))
            ports = (await relay.read_reply(RelayPorts)).ports
            reader, writer = await asyncio.open_connection("127.0.0.1", ports[0])
            writer.write(b"at once")  # before the relay has connected its other side
            assert await asyncio.wait_for(reader.readexactly(7), 5.0) == b"at once"
            plain_s = await round_trip(reader, writer, b"plain")
            links.set_cut(1, 0)
            restore_timer = asyncio.get_running_loop().call_later(0.5, links.set_cut, 1, 0, False)
            cut = await round_trip(reader, writer, b"through the cut")
            restore_timer.cancel()
            writer.close()
            return plain_s, cut
        finally:
            await group.close()
            server.close()

    plain_s, cut = asyncio.run(scenario())
    assert 0.1 <= plain_s < 0.5 <= cut < 5.0


async def round_trip(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
) -> float:
    """Seconds until the echo of `data` has been received."""
    began = time.monotonic()
    writer.write(data)
    assert await asyncio.wait_for(reader.readexactly(len(data)), 5.0) == data
    return time.monotonic() - began


# --- the report ---
def test_percentiles_of_known_values() -> None:
    exact = percentiles([float(number) for number in range(1, 201)])
    assert (exact.count, exact.mean, exact.p50, exact.p99, exact.largest) == (
        200, 100.5, 100.0, 198.0, 200.0,
    )  # fmt: skip
    delays = delay_percentiles(number / 100.0 for number in range(1, 201))
    assert delays.count == 200 and delays.largest == 2.0
    assert delays.p50 == pytest.approx(1.0, rel=0.001)
    assert delays.p99 == pytest.approx(1.98, rel=0.001)
    assert percentiles([]).count == delay_percentiles([]).count == 0


def test_role_use_is_per_second_and_member() -> None:
    traffic = [
        Traffic(udp_bytes_in=100, udp_in=1, tcp_bytes_out=300, tcp_out=2),
        Traffic(udp_bytes_in=300, udp_in=3),
    ]
    use = role_use("proxy", traffic, 10.0, processes=1, cpu_s=4.0, memory_bytes=6e6)
    assert use.bytes_in.mean == 20.0 and use.bytes_out.largest == 30.0
    assert use.gossip_bytes == 20.0 and use.distribution_bytes == 15.0
    assert use.cpu_share == pytest.approx(0.2) and use.memory_mb == 3.0
    assert use.wire_bytes.largest == (100 + 300 + 28 + 2 * 2 * 52) / 10.0


def applied(
    name: str, first: int, *times: float, stale: tuple[float, float] | None = None
) -> Applied:
    """A proxy that applied the positions from `first` on at `times`, with one stale period."""
    return Applied(name, first, array("d", times).tobytes(), () if stale is None else (stale,))


def purge(at: float, position: int, topic: Topic = Topic.PURGE) -> Publication:
    """A committed publication that was published at `at`."""
    return Publication(
        topic=topic,
        published_at=at,
        answered_at=at + 0.1,
        answer="COMMITTED",
        position=position,
    )


def test_delays_count_from_the_publication_to_the_last_proxy() -> None:
    purges = [purge(10.0, 5), purge(10.5, 5), purge(11.0, 6)]
    samples = [StatusSample(12.0, 6, 4, 4, 2, 0), StatusSample(13.0, 6, 6, 6, 2, 0)]
    delays = PublicationDelays(
        purges, samples, [applied("a", 4, 9.0, 11.0, 12.0), applied("b", 5, 12.0, 12.5)]
    )
    delays_by_name = delays.delays()
    everywhere = delays_by_name[delay_name(Topic.PURGE, APPLIED_AT_EVERY_PROXY)]
    assert everywhere.count == 3 and everywhere.largest == 2.0
    assert delays_by_name[delay_name(Topic.PURGE, IN_FORCE)].largest == 3.0
    check_result = delays.check()
    assert (check_result.positions, check_result.early, check_result.never_applied) == (2, 0, 0)


def test_each_topic_has_delays_and_a_bound_of_its_own() -> None:
    records = [purge(10.0, 5), purge(10.0, 6, Topic.CONFIGURATION)]
    samples = [StatusSample(12.0, 6, 5, 5, 1, 0), StatusSample(40.0, 6, 6, 6, 1, 0)]
    delays_by_name = PublicationDelays(records, samples, [applied("a", 5, 11.0, 39.5)]).delays()
    assert delays_by_name[delay_name(Topic.PURGE, APPLIED_AT_EVERY_PROXY)].largest == 1.0
    assert delays_by_name[delay_name(Topic.CONFIGURATION, APPLIED_AT_EVERY_PROXY)].largest == 29.5
    met = {
        bound.name: bound.met
        for bound in target_bounds(load_target(), None, delays_by_name)
        if bound.measured
    }
    assert met == {
        "purge: publish to applied at every proxy, slowest": True,
        "purge: publish to in force, as the leader reports, slowest": True,
        "change: publish to applied at every proxy, slowest": False,
        "change: publish to in force, as the leader reports, slowest": False,
    }


def test_a_report_before_the_last_proxy_applied_is_detected() -> None:
    samples = [StatusSample(12.0, 5, 5, 5, 2, 0)]
    late = applied("late", 5, 12.5)
    check_result = PublicationDelays(
        [purge(10.0, 5)], samples, [applied("a", 5, 11.0), late]
    ).check()
    assert check_result.early == 1 and check_result.worst_early_s == 0.5
    assert check_result.examples == (EarlyReport(5, "late", 1, 0.5),)
    never = applied("never", 0)
    check_result = PublicationDelays([purge(10.0, 5)], samples, [never]).check()
    assert check_result.early == check_result.never_applied == 1
    assert check_result.examples == (EarlyReport(5, "never", 1, None),)


def test_a_stale_proxy_does_not_make_a_report_early() -> None:
    samples = [StatusSample(12.0, 5, 4, 5, 2, 1)]
    for stale, early in (((11.0, 13.0), 0), ((11.0, NEVER), 0), ((5.0, 6.0), 1)):
        proxy = applied("late", 5, 12.5, stale=stale)
        assert PublicationDelays([purge(10.0, 5)], samples, [proxy]).check().early == early


def test_applied_positions_are_recorded_with_their_times(tmp_path: Path) -> None:
    class FakeDistribution:
        def __init__(self) -> None:
            self.position = 0
            self.as_of: float | None = None

        @property
        def subscriber(self) -> FakeDistribution:
            return self

    distribution, times = FakeDistribution(), AppliedTimes()
    times.attach(distribution, stale_after_s=3.0)
    for position in (3, 3, 4, 9):
        distribution.position = position
        times.purge("key")
    times.invalidate_all("a snapshot")
    seen = times.snapshot("a")
    assert (seen.first, len(seen.times) // 8, seen.purges, seen.voids) == (3, 7, 4, 1)
    stamps = tmp_path / "stamps"
    records = ((3, 1.0), (STALE_FROM, 7.0), (STALE_UNTIL, 8.0), (5, 2.0))
    stamps.write_bytes(b"".join(RECORD.pack(*record) for record in records) + b"torn")
    assert read_stamps("b", stamps) == applied("b", 3, 1.0, 2.0, 2.0, stale=(7.0, 8.0))
    assert read_stamps("c", tmp_path / "none").times == b""


def test_staleness_starts_by_as_of_and_ends_with_a_later_sample() -> None:
    stale = StalePeriods(stale_after_s=3.0)
    for now, as_of in ((1.0, None), (2.0, 1.5), (2.5, 1.5), (4.0, 3.5), (9.0, 8.5), (9.5, 9.0)):
        stale.observe(now, as_of)
    assert stale.periods() == ((-NEVER, 2.0), (6.5, 9.0), (12.0, NEVER))


def test_bound_lines_show_the_result_and_the_ratio() -> None:
    def line(measured: float | None) -> str:
        return bound_line(Bound(name="bytes", unit="bytes/s", limit=7000.0, measured=measured))

    assert line(3500.0).startswith("met ") and "ratio 0.50" in line(3500.0)
    assert line(7000.0).startswith("met ")
    assert line(8400.0).startswith("MISSED ") and "ratio 1.20" in line(8400.0)
    assert line(None).startswith("not measured")
