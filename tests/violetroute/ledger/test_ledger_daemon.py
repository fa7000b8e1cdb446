"""The ledger in the daemon, with real sockets, a real disk and killed processes."""

from __future__ import annotations

import asyncio
import ssl
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trustme

from limebridge.ledger.kills import run_kills
from limebridge.ledger.recorded_daemon import (
    COMMITTED,
    JOB_BEGAN,
    JOB_ENDED,
    Event,
    covered_until,
    unwritten_time,
)
from limebridge.standins.billing import BillingEndpoint
from tests.support.rig import CacheNode, Rig, get, serves, wait_until
from violetroute.ledger import LedgerTable
from violetroute.ledger.files import Folder, folder_name
from violetroute.ledger.service import Ledger
from violetroute.transport.sockets import SocketNetwork

START = 1_700_000_100.0


class Clock:
    """A wall clock that tests set."""

    def __init__(self) -> None:
        self.now = START

    def __call__(self) -> float:
        return self.now


Part = Callable[[Rig, Ledger, BillingEndpoint, Clock], Awaitable[None]]


def run(
    part: Part, tmp_path: Path, tls: Any = None, name: str = "p1", **table: Any
) -> BillingEndpoint:
    billing = BillingEndpoint()

    async def whole() -> None:
        await billing.start(tls=tls)
        clock = Clock()
        made = msgspec.structs.replace(
            LedgerTable(
                folder=str(tmp_path / "ledgers"),
                period_min=5,
                grace_s=1.0,
                flush_s=0.01,
                export="http",
                endpoint=f"127.0.0.1:{billing.port}",
                retry_s=0.01,
            ),
            **table,
        )
        ledger = Ledger(made, name, SocketNetwork(asyncio.get_running_loop(), clock=clock))
        async with Rig(CacheNode(serves)) as rig:
            rig.proxy.hooks.on_served.append(ledger.served)
            await part(rig, ledger, billing, clock)
        await ledger.close()
        await billing.stop()

    asyncio.run(whole())
    return billing


async def ask(rig: Rig, first: int, count: int) -> None:
    for number in range(first, first + count):
        assert await rig.request(get(number)) == [b"value of id%d" % number]


def test_served_requests_are_billed_after_their_period_closes(tmp_path: Path) -> None:
    async def part(rig: Rig, ledger: Ledger, billing: BillingEndpoint, clock: Clock) -> None:
        await ask(rig, 0, 5)
        clock.now += 400.0
        await wait_until(lambda: sum(billing.billed.values()) == 5)
        assert billing.billed == {("p1", int(START), "x", "lookup"): 5}

    run(part, tmp_path)


def test_an_endpoint_that_is_down_for_days_costs_no_memory_and_receives_all_in_order(
    tmp_path: Path,
) -> None:
    async def part(rig: Rig, ledger: Ledger, billing: BillingEndpoint, clock: Clock) -> None:
        endpoint_down = [True]
        billing.fault = lambda: "lost before" if endpoint_down[0] else ""
        for number in range(30):
            ledger.served(f"t{number}", "lookup", b"")
            await wait_until(lambda: not ledger._counters.units)
            clock.now += 400.0
        await wait_until(
            lambda: sum(not each.lines for each in ledger._book.batches.values()) == 22
        )
        assert ledger._book.total_units(int(START)) == 1
        (tmp_path / "ledgers" / "p1" / "batch-30").write_bytes(b"noise")
        endpoint_down[0] = False
        await wait_until(lambda: [b.state for b in ledger._book.batches.values()] == ["held"])
        assert sum(billing.billed.values()) == 29
        (held,) = ledger._book.batches.values()
        assert "batch-30" in held.reason
        assert [period for _, period in billing.order["p1"]] == sorted(
            period for _, period in billing.order["p1"]
        )

    run(part, tmp_path, retry_most_s=0.02)


@pytest.mark.parametrize("trouble", ["lost after", "500 after", "cut after", "redirect", "noise"])
def test_ten_failed_attempts_of_which_some_were_accepted_bill_once(
    tmp_path: Path, trouble: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("violetroute.ledger.export.SLOW_RETRY_WAIT", 0.01)

    async def part(rig: Rig, ledger: Ledger, billing: BillingEndpoint, clock: Clock) -> None:
        faults_left = [trouble] * 10
        billing.fault = lambda: faults_left.pop() if faults_left else ""
        await ask(rig, 0, 3)
        clock.now += 400.0
        await wait_until(lambda: ledger._book.last_key)
        assert sum(billing.billed.values()) == 3 and billing.posts == 11

    run(part, tmp_path, retry_most_s=0.02)


def test_a_hanging_or_full_disk_delays_no_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    resume, full = threading.Event(), [True]
    append, put = Folder.append, Folder.put

    def hangs(self: Folder, name: str, data: bytes) -> None:
        resume.wait(20.0)
        if full[0]:
            raise OSError(28, "No space left on device")
        append(self, name, data)

    def refuses(self: Folder, name: str, data: bytes) -> None:
        if full[0] and resume.is_set():
            raise OSError(28, "No space left on device")
        put(self, name, data)

    async def part(rig: Rig, ledger: Ledger, billing: BillingEndpoint, clock: Clock) -> None:
        await wait_until(lambda: ledger.state == "open")
        monkeypatch.setattr(Folder, "append", hangs)
        monkeypatch.setattr(Folder, "put", refuses)
        await ask(rig, 0, 1)
        await wait_until(lambda: ledger._busy)
        await ask(rig, 1, 20)  # all are answered while the write hangs
        assert ledger._busy
        resume.set()
        await wait_until(lambda: ledger.state == "failed")
        await ask(rig, 30, 5)
        full[0] = False
        clock.now += 400.0
        await wait_until(lambda: sum(billing.billed.values()) == 26)

    run(part, tmp_path)


def test_a_second_process_of_the_same_name_waits_and_takes_over(tmp_path: Path) -> None:
    async def part(rig: Rig, ledger: Ledger, billing: BillingEndpoint, clock: Clock) -> None:
        await wait_until(lambda: ledger.state == "open")
        other = Ledger(ledger.table, "p1", SocketNetwork(asyncio.get_running_loop(), clock=clock))
        await wait_until(lambda: other.state == "elsewhere")
        other.served("x", "lookup", b"id")
        await ask(rig, 0, 2)
        await ledger.close()
        await wait_until(lambda: other.state == "open")
        assert other._book.incarnation == 2 and not other._book.gaps
        clock.now += 400.0
        await wait_until(lambda: sum(billing.billed.values()) == 3)
        await other.close()

    run(part, tmp_path)


def test_another_proxys_files_are_renamed_and_kept(tmp_path: Path) -> None:
    async def part(rig: Rig, ledger: Ledger, billing: BillingEndpoint, clock: Clock) -> None:
        await wait_until(lambda: ledger.state == "open")
        await ask(rig, 0, 1)
        assert (ledger._book.incarnation, ledger._book.name) == (1, ledger.name)

    run(part, tmp_path, name="p2")
    (tmp_path / "ledgers" / "p2").rename(tmp_path / "ledgers" / "p1")
    run(part, tmp_path)
    names = sorted(path.name for path in (tmp_path / "ledgers" / "p1").iterdir())
    assert names == ["lock", "log-00000001.foreign", "log-00000002"]


def test_over_tls_with_a_key_that_is_replaced_while_running(tmp_path: Path) -> None:
    authority, ours = trustme.CA(), trustme.CA()
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(server)
    ours.configure_trust(server)
    server.verify_mode = ssl.CERT_REQUIRED
    files = {
        "tls_ca_file": tmp_path / "ca",
        "tls_cert_file": tmp_path / "cert",
        "tls_key_file": tmp_path / "key",
    }
    authority.cert_pem.write_to_path(files["tls_ca_file"])

    def key(by: trustme.CA) -> None:
        issued = by.issue_cert("p1")
        issued.private_key_pem.write_to_path(files["tls_key_file"])
        issued.cert_chain_pems[0].write_to_path(files["tls_cert_file"])

    key(trustme.CA())  # signed by a CA that the endpoint does not trust

    async def part(rig: Rig, ledger: Ledger, billing: BillingEndpoint, clock: Clock) -> None:
        await ask(rig, 0, 2)
        clock.now += 400.0
        await wait_until(lambda: ledger._backoff.failures > 1)
        assert not billing.billed
        key(ours)
        await wait_until(lambda: sum(billing.billed.values()) == 2)

    run(
        part,
        tmp_path,
        tls=server,
        retry_most_s=0.05,
        **{name: str(path) for name, path in files.items()},
    )


def test_files_are_written_atomically_and_named_without_tenants(tmp_path: Path) -> None:
    out = tmp_path / "out"

    async def part(rig: Rig, ledger: Ledger, billing: BillingEndpoint, clock: Clock) -> None:
        ledger.served("../../x", "lookup", b"1")
        ledger.served("=1+1", "lookup", b"2")
        clock.now += 400.0
        await wait_until(lambda: len(list(out.glob("p1_*.csv"))) == 1 and ledger._book.last_key)
        assert not billing.posts

    run(part, tmp_path, export="files", export_folder=str(out), formats=("csv", "jsonl"))
    assert {path.suffix for path in out.iterdir()} <= {".csv", ".jsonl", ""}
    assert "'=1+1" in next(out.glob("*.csv")).read_text()
    assert folder_name("../../etc/x").startswith("_.._etc_x-") and folder_name("n3.a-b") == "n3.a-b"
    assert folder_name("a/b") != folder_name("a_b") and folder_name("...").startswith("proxy-")


def test_killed_proxies_bill_all_units_after_reconciling_with_the_nodes(tmp_path: Path) -> None:
    report = asyncio.run(run_kills(tmp_path, kills=4, seconds=6.0))
    assert report.kills == 4 and sum(report.served.values()) > 300
    assert report.uncorrected is not None and report.corrected is not None
    assert report.excess == 0, (report.uncorrected.differences, report.uncorrected.moved)
    # A kill loses the units that are not yet written: those of at most half a second, and those of
    # the write in progress.
    assert report.uncorrected.short <= report.at_risk
    assert report.longest_unwritten <= 0.5
    assert report.corrected.differences == []


def test_the_time_that_no_write_covers_excludes_jobs_and_the_start_of_the_process() -> None:
    assert unwritten_time([], killed_at=9.0) == 0.0  # killed before the ledger was opened
    opening = [Event(JOB_BEGAN, 1.0)]
    assert unwritten_time(opening, killed_at=1.5) == 0.0
    opened = [*opening, Event(JOB_ENDED, 2.0)]
    assert unwritten_time(opened, killed_at=2.25) == 0.25
    writing = [*opened, Event(JOB_BEGAN, 3.0)]
    assert unwritten_time(writing, killed_at=7.0) == 1.0 and covered_until(writing, 0.5) == 0.5
    written = [*writing, Event(COMMITTED, 2.75), Event(JOB_ENDED, 4.0)]
    assert covered_until(written, 0.5) == 2.75
    assert unwritten_time(written, killed_at=6.0) == 6.0 - 2.75 - 1.0
