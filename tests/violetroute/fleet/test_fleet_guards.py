"""Safety checks of the fleet's code, each against the failure that it prevents."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Any

import msgspec
import pytest

from limebridge.standins.consul import Consul
from limebridge.virtual.kernel import Kernel
from limebridge.virtual.loop import VirtualLoop
from tests.violetroute.fleet.test_fleet import (
    A,
    B,
    batch,
    call,
    consul_store,
    lease,
    owner,
    run_steps,
    settlement,
    store,
)
from violetroute.fleet import folder as folders
from violetroute.fleet import job
from violetroute.fleet import lease as leases
from violetroute.fleet import log as logs
from violetroute.fleet.election import Acquire
from violetroute.fleet.folder import FolderStore, ThreadedFolderStore
from violetroute.fleet.job import BeatDecider, LogWork
from violetroute.fleet.lease import IncarnationId, Lease, UnreadableLeaseError
from violetroute.fleet.ledger_files import MAX_PENDING_BATCHES, BatchReader
from violetroute.fleet.log import FencedLog, Record, append, claim
from violetroute.fleet.runner import Fleet
from violetroute.fleet.settlement import MAX_BYTES_PER_ENTRY, Batch, ClosedThrough
from violetroute.fleet.table import FleetTable
from violetroute.ledger.accounts import Book
from violetroute.ledger.periods import Periods
from violetroute.placement import PlacementTable, Plan, PlanManager
from violetroute.placement import plan_manager as placement
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork
from violetroute.transport.writer import ThreadWriter


class ImmediateWriter:
    """Runs each job immediately."""

    def submit(self, job: Any, callback: Any) -> None:
        callback(job(), None)

    def close(self, wait_s: float) -> None:
        pass


# --- records of unknown origin ---
@pytest.mark.parametrize(
    "nonce", ["{}/precious", "../../../precious", "", "N" * 5, "a b", "a" * 65]
)
def test_a_nonce_that_is_no_safe_file_name_is_rejected(tmp_path: Path, nonce: str) -> None:
    """A lock file with such a name would be removed with those of ended processes.

    All paths are the test's own, since a build with this fault deletes the file that is named.
    """
    precious, nonce = tmp_path / "precious", nonce.format(tmp_path)
    precious.write_text("x")
    a = store(tmp_path / "f" / "leases")
    data = msgspec.json.encode(Lease(1, "w", 3, "x", nonce))
    (tmp_path / "f" / "leases" / "lease" / "w@000000000007").write_bytes(data)
    view = a.poll()
    assert precious.exists() and "w" in view.unreadable
    with pytest.raises(UnreadableLeaseError):
        leases.decode(data, "w")
    assert logs.decode(logs.encode(Record(1, "w", 1, nonce, "claim")), "w") is None


def test_many_other_files_do_not_hide_a_running_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(folders, "MAX_MEMBERS", 3)
    a, b = store(tmp_path, IncarnationId("a", "zz-a")), store(tmp_path, IncarnationId("b", "zz-b"))
    a.acquire(Acquire("w", 1, 0, None))
    for number in range(5):
        (tmp_path / "alive" / f"Not A Mark {number}").write_bytes(b"x")
    held = [store(tmp_path, IncarnationId("c", f"c{number}")) for number in range(5)]
    # The process of zz-a runs, but its file is beyond those that are read.
    assert "zz-a" not in b.poll().dead
    a._release_lock()
    assert "zz-a" in b.poll().dead
    for each in held:
        each._release_lock()


def test_files_left_by_killed_processes_are_removed(tmp_path: Path) -> None:
    a, b = store(tmp_path), store(tmp_path, B)
    for name in (".gone.7", ".na.7"):
        (tmp_path / "lease" / name).write_bytes(b"half")
    for number in range(20):
        store(tmp_path, IncarnationId("c", f"c{number}"))._release_lock()
    b.poll()
    assert sorted(os.listdir(tmp_path / "alive")) == ["na", "nb"]
    assert os.listdir(tmp_path / "lease") == [".na.7"]  # its process is running
    a.close()


def test_a_lease_is_not_acquired_while_its_record_is_unreadable() -> None:
    one = owner()
    one.observe(0.0, 0.0, None, True)
    one.unreadable()
    assert one.tick(100.0) == [] and one.next_at == float("inf")
    one.observe(101.0, 101.0, None, True)
    assert isinstance(one.tick(101.0)[0], Acquire)


def test_any_response_resets_the_backoff() -> None:
    one = owner()
    one.observe(0.0, 0.0, None, True)
    now = 0.0
    for _ in range(6):
        (request,) = one.tick(now)
        assert isinstance(request, Acquire)
        one.failed(now, request.number)
        now = one.next_at
    (request,) = one.tick(now)
    assert isinstance(request, Acquire)
    one.denied(now, request.number, lease(3, B))
    one.observe(now, now, lease(3, B, free=True), True)
    now = one.next_at
    (request,) = one.tick(now)
    assert isinstance(request, Acquire)
    one.failed(now, request.number)
    assert one.next_at - now <= 1.0  # a tenth of a term, as after a first failure


# --- works that make no progress ---
class HangingWriter(ThreadWriter):
    """Accepts jobs and runs none."""

    def submit(self, job: Any, callback: Any) -> None:
        pass


def table(path: Path, term_s: float) -> FleetTable:
    return FleetTable(
        store="folder",
        folder=str(path),
        works=("beat-0",),
        term_s=term_s,
        look_s=0.05,
        call_s=0.5,
        beat_s=0.01,
    )


def start_fleet(
    path: Path, name: str, hangs: bool = False, endpoint: int = 0, term_s: float = 0.5
) -> Fleet:
    loop = asyncio.get_running_loop()
    net = SocketNetwork(loop)

    def made(me: IncarnationId) -> ThreadedFolderStore:
        logs = HangingWriter(loop) if hangs else ThreadWriter(loop)
        return ThreadedFolderStore(FolderStore(path, me, net.wall), ThreadWriter(loop), logs)

    return Fleet(
        table(path, term_s),
        name,
        net,
        made,
        lambda of: LogWork(
            of,
            net,
            BeatDecider(),
            0.01,
            Address("127.0.0.1", endpoint) if endpoint else None,
            "/x",
            0.5,
        ),
    )


async def until(condition: Any) -> None:
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_an_owner_whose_disk_hangs_transfers_its_work(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(job, "JOB_TIMEOUT_S", 0.3)

    async def run() -> None:
        hung = start_fleet(tmp_path, "hung", hangs=True)
        await until(hung.owned)
        well = start_fleet(tmp_path, "well")
        await until(well.owned)  # renewals continue, so the term would not have expired
        assert not hung.owned()
        hung.stop()
        well.stop()

    asyncio.run(run())


@pytest.mark.parametrize("fence", [1, 0, -5, 2**60, "x", None])
def test_a_412_without_a_later_fence_does_not_end_the_term(tmp_path: Path, fence: Any) -> None:
    """Otherwise each retry would start another term and write another claim to the log."""

    async def answers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        body = json.dumps({"fence": fence}).encode()
        writer.write(b"HTTP/1.1 412 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()
        posts.append(1)

    posts: list[int] = []

    async def run() -> None:
        server = await asyncio.start_server(answers, "127.0.0.1", 0)
        FolderStore(tmp_path, A, lambda: 0.0).run(
            claim(FencedLog("beat-0", lambda *entry: None), 6, "na", "a")
        )
        one = start_fleet(tmp_path, "one", endpoint=server.sockets[0].getsockname()[1], term_s=6.0)
        # Well within a term, after which the work would be transferred.
        await until(lambda: len(posts) >= 3)
        assert one.owned() == {"beat-0": 7}
        one.stop()
        server.close()

    asyncio.run(run())


def test_an_exception_in_a_decision_reaches_the_callback_of_the_consul_store() -> None:
    def wrong() -> Any:
        raise KeyError("a slip of ours")

    async def run() -> None:
        consul = await Consul().start()
        a = await consul_store(consul, A)
        log = FencedLog("w", lambda position, record: None)
        await call(lambda callback: a.run(claim(log, 1, "na", "a"), callback))
        result, why = await call(lambda callback: a.run(append(log, 1, "na", "a", wrong), callback))
        assert result is None and "slip" in why
        a.close()
        await consul.stop()

    asyncio.run(run())


def test_a_log_in_consul_spans_several_segments() -> None:
    async def run() -> None:
        consul = await Consul().start()
        a = await consul_store(consul, A)
        log, count = FencedLog("w", lambda position, record: None), 40
        await call(lambda callback: a.run(claim(log, 1, "na", "a"), callback))
        for number in range(count):
            await call(
                lambda callback, n=number: a.run(append(log, 1, "na", "a", lambda: n), callback)
            )
        read: list[Any] = []
        fresh = FencedLog("w", lambda position, record: read.append(record.body))
        await call(lambda callback: a.run(append(fresh, 1, "na", "a", lambda: None), callback))
        assert read == list(range(count))
        a.close()
        await consul.stop()

    asyncio.run(run())


# --- exported files ---
GOOD = (
    b'{"batch":"a/1.x/1","seq":1,"kind":"period","period":1000,"lines":1,"units":5}\n'
    b'{"tenant":"acme","class":"lookup","units":5}\n'
)


@pytest.mark.parametrize(
    "bad",
    [
        GOOD.replace(b"1000", b"99999999999999999"),
        GOOD.replace(b"1000", b"-7"),
        GOOD.replace(b'"units":5', b'"units":99999999999999999999'),
        GOOD.replace(b"acme", b"x" * (4 * 1024 * 1024)),
    ],
)
def test_an_invalid_file_does_not_stop_other_bills(tmp_path: Path, bad: bytes) -> None:
    (tmp_path / "bad.jsonl").write_bytes(bad.replace(b"a/1.x/1", b"b/1.x/1"))
    (tmp_path / "good.jsonl").write_bytes(GOOD)
    books = settlement(9e9)
    books.period_end = lambda period: float(Periods("UTC", 5).end(period))
    reports: list[str] = []
    BatchReader(tmp_path, books, ImmediateWriter(), lambda: 9e9)(reports.append)
    assert reports == [""] and list(books.batches) == ["a/1.x/1"]
    records: list[bytes] = []
    log = FencedLog("w", lambda position, record: books.apply(record.body))
    run_steps(claim(log, 1, "na", "a"), records)
    run_steps(append(log, 1, "na", "a", books.decide), records)
    assert log.entries == 1 and not books.batches


def test_an_invalid_through_file_is_ignored(tmp_path: Path) -> None:
    for name, until_ in (("a", "1e300"), ("b", "-1"), ("c", '"x"'), ("d", "1300")):
        (tmp_path / f"{name}.through").write_text(f'{{"ledger":"{name}","until":{until_}}}')
    books = settlement(0.0)
    BatchReader(tmp_path, books, ImmediateWriter(), lambda: 0.0)(lambda error: None)
    assert list(books.closed_through) == ["d"]


def test_a_bill_is_split_at_the_size_limit_of_a_store() -> None:
    books = settlement(1e6)
    books.update(
        1e6,
        [
            Batch(f"a/1.x/{n}", 1000, "period", (("t", "c", 1),), MAX_BYTES_PER_ENTRY // 2 - 1)
            for n in range(5)
        ],
        [ClosedThrough("a", 2e6)],
    )
    sizes = []
    while (bill := books.decide()) is not None:
        sizes.append(len(bill["keys"]))
        books.apply(bill)
    assert sizes == [2, 2, 1]


def test_no_batches_are_read_while_too_many_are_pending(tmp_path: Path) -> None:
    (tmp_path / "good.jsonl").write_bytes(GOOD)
    books = settlement(0.0)
    books.batches = {f"z/1.x/{n}": batch(f"z/1.x/{n}", 1000, 1) for n in range(MAX_PENDING_BATCHES)}
    reader = BatchReader(tmp_path, books, ImmediateWriter(), lambda: 0.0)
    reader(lambda error: None)
    assert "a/1.x/1" not in books.batches
    books.batches.clear()
    reader(lambda error: None)
    assert "a/1.x/1" in books.batches


def test_a_ledger_closes_a_period_that_is_over_counted_and_confirmed() -> None:
    book = Book(Periods("UTC", 5), grace_s=60.0)
    now = 3000.0
    assert book.closed_until(now) == 2700.0  # the period from 2,700 is open
    assert book.closed_until(3059.0) == 2700.0 and book.closed_until(3060.0) == 3000.0
    for record in book.usage_records(now, {(2400, "t", "c"): 3}):
        book.apply(record)
    assert book.closed_until(now) == 2400.0
    for record in book.batch_records(now):
        book.apply(record)
    assert book.closed_until(now) == 2400.0  # prepared, not exported
    (seq,) = book.batches
    held = Book(Periods("UTC", 5), grace_s=60.0)
    held.apply(book.checkpoint())
    for record in book.confirmed_records(seq):
        book.apply(record)
    assert book.closed_until(now) == 2700.0
    for record in held.held_records(seq, "an operator has to look"):
        held.apply(record)
    assert held.closed_until(now) == 2700.0  # a held batch blocks nothing


# --- plan file ---
def test_a_plan_file_is_read_only_after_it_changed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop, reads = VirtualLoop(Kernel()), []
    path = tmp_path / "plan.json"
    path.write_bytes(msgspec.json.encode(Plan(1, 0.0, {"a": 1.0}, fence=1)))
    load = placement.load_plan
    monkeypatch.setattr(placement, "load_plan", lambda of: reads.append(1) or load(of))
    manager = PlanManager(loop, lambda: 0.0, lambda sizes: None)
    manager.set_plan(None, PlacementTable(file=str(path), every_s=0.001))
    loop.run_until_complete(asyncio.sleep(3.0))
    assert len(reads) == 1 and manager._plan is not None
    path.write_bytes(msgspec.json.encode(Plan(1, 0.0, {"a": 1.0}, fence=22)))
    loop.run_until_complete(asyncio.sleep(0.5))
    assert len(reads) == 2 and manager._plan.fence == 22
    assert loop.poll.turns < 200  # reads are at least 0.1 s apart
    manager.close()
    loop.close()
