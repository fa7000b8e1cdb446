"""Leases, leader election, fenced logs, stores and the settlement, each on its own."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import Any

import pytest

from limebridge.standins.consul import Consul
from limebridge.standins.effects import EffectEndpoint
from violetroute.config import ConfigError
from violetroute.config.operator import parse_operator, restart_needed
from violetroute.fleet import lease as leases
from violetroute.fleet.assignment import (
    MAX_RANK,
    fair_share,
    preference_order,
    random_ranks,
    ranks,
    surplus_work,
)
from violetroute.fleet.election import (
    Acquire,
    LeaderElector,
    LeaseTiming,
    Release,
    Renew,
    TermBegan,
    TermEnded,
)
from violetroute.fleet.folder import FolderStore
from violetroute.fleet.job import BeatDecider, LogWork
from violetroute.fleet.kv import ConsulStore
from violetroute.fleet.lease import (
    FenceGuard,
    IncarnationId,
    Lease,
    LeaseVersion,
    UnreadableLeaseError,
)
from violetroute.fleet.ledger_files import BatchReader, parse
from violetroute.fleet.log import Contended, Done, Fenced, FencedLog, Put, append, claim
from violetroute.fleet.runner import Fleet
from violetroute.fleet.settlement import Batch, ClosedThrough, SettledKeys, Settlement
from violetroute.fleet.table import FleetTable
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork

A, B = IncarnationId("a", "na"), IncarnationId("b", "nb")
TERMS = LeaseTiming(10.0, 0.05, 0.1)


class NoJitter:
    def random(self) -> float:
        return 0.0


def owner(me: IncarnationId = A, terms: LeaseTiming = TERMS) -> LeaderElector:
    made = LeaderElector("w", me.nonce, terms, NoJitter())
    made.set_candidate(True)
    return made


def lease(fence: int = 1, me: IncarnationId = A, beat: int = 0, free: bool = False) -> Lease:
    return Lease(1, "w", fence, me.name, me.nonce, beat, free)


# --- leases ---
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{}",
        b"\xff" * 20,
        b"[" * 3000,
        b'{"v":1,"work":"w","fence":0,"name":"a","nonce":"n"}',
        b'{"v":1,"work":"other","fence":3,"name":"a","nonce":"n"}',
        b"x" * 5000,
        b'{"v":1,"work":"w","fence":99999999999999999999,"name":"a","nonce":"n"}',
        b'{"v":2,"work":"w","fence":3,"name":"a","nonce":"n","more":1}',
    ],
)
def test_malformed_or_later_records_are_unreadable(data: bytes) -> None:
    with pytest.raises(UnreadableLeaseError):
        leases.decode(data, "w")


def test_a_new_fence_is_above_the_record_and_the_floor() -> None:
    made = leases.acquired("w", None, None, 7, B, 0.0)
    assert made is not None and made.fence == 8
    assert leases.acquired("w", lease(3), None, 0, B, 0.0) is None  # held by another, not observed
    over = LeaseVersion(3, A.nonce, 0)
    made = leases.acquired("w", lease(3), over, 0, B, 0.0)
    assert made is not None and made.fence == 4
    assert leases.acquired("w", lease(3, beat=1), over, 0, B, 0.0) is None  # renewed since
    assert leases.acquired("w", lease(3), None, leases.MAX_FENCE, A, 0.0) is None
    assert leases.renewed(lease(3), 3, B) is None
    assert leases.renewed(lease(3, free=True), 3, A) is None


def test_a_fence_guard_rejects_lower_fences_and_a_second_nonce() -> None:
    guard = FenceGuard()
    assert guard.admits(3, "x") and guard.admits(3, "x")
    assert not guard.admits(3, "y") and not guard.admits(2, "x")
    assert guard.admits(4, "y") and not guard.admits(3, "x")


# --- leader election ---
def test_a_term_counts_from_the_request_and_ends_before_others_may_acquire() -> None:
    one = owner()
    one.observe(0.0, 0.0, None, True)
    (request,) = one.tick(0.0)
    assert isinstance(request, Acquire)
    assert one.granted(5.0, request.number, 1) == [TermBegan("w", 1)]
    assert one.valid_fence(9.0) == 1 and one.valid_fence(9.0, duration=0.1) == 0
    assert one.valid_until == pytest.approx(10.0 * 0.95 / 1.05)
    assert one.valid_until / 0.95 <= 10.0 / 1.05 + 1e-9  # a slow clock here, a fast one elsewhere
    assert one.tick(9.1) == [TermEnded("w", 1, "lapsed")] and one.valid_fence(9.1) == 0


def test_a_candidate_waits_a_whole_term_unless_the_holders_process_has_ended() -> None:
    two = owner(B)
    two.observe(0.0, 0.0, lease(), True)
    assert two.tick(9.9) == []
    two.observe(9.9, 9.9, lease(beat=1), True)
    assert two.tick(19.8) == []
    assert isinstance(two.tick(19.9)[0], Acquire)
    three = owner(IncarnationId("c", "nc"))
    three.observe(0.0, 0.0, lease(), False)
    assert isinstance(three.tick(0.0)[0], Acquire)


def test_candidates_wait_for_a_store_that_expires_leases_itself() -> None:
    two = owner(B, LeaseTiming(10.0, 0.05, 0.1, expires_leases=True))
    two.observe(0.0, 0.0, lease(), True)
    assert two.tick(1e6) == [] and two.next_at == float("inf")
    two.observe(1e6, 1e6, lease(free=True), True)
    assert isinstance(two.tick(1e6)[0], Acquire)


def test_a_response_to_an_abandoned_call_is_ignored() -> None:
    one = owner()
    one.observe(0.0, 0.0, None, True)
    (request,) = one.tick(0.0)
    assert isinstance(request, Acquire)
    one.failed(1.0, request.number)
    assert one.granted(1.1, request.number, 1) == [] and one.state == "waiting"
    # The call had been granted: the record is this owner's own, so it acquires the lease at once.
    one.observe(1.2, 1.2, lease(), True)
    (retry,) = one.tick(5.0)
    assert isinstance(retry, Acquire) and retry.floor == 1


def test_a_fenced_owner_gets_a_higher_fence_and_ignores_an_invalid_floor() -> None:
    one = owner()
    one.observe(0.0, 0.0, None, True)
    (request,) = one.tick(0.0)
    assert isinstance(request, Acquire)
    one.granted(0.0, request.number, 1)
    assert one.fenced(0.1, 40) == [TermEnded("w", 1, "fenced")]
    one.fenced(0.1, 2**60)
    one.work_stopped()
    (request,) = one.tick(2.0)
    assert isinstance(request, Acquire) and request.floor == 40


def test_a_lease_is_released_after_the_work_stopped_and_others_may_acquire_it_first() -> None:
    one = owner()
    one.observe(0.0, 0.0, None, True)
    (request,) = one.tick(0.0)
    assert isinstance(request, Acquire)
    one.granted(0.0, request.number, 1)
    one.set_candidate(False)
    assert one.tick(0.1) == [TermEnded("w", 1, "resigned")] and one.next_at == one.valid_until
    one.work_stopped()
    (release,) = one.tick(0.1)
    assert isinstance(release, Release)
    one.released(0.2, release.number)
    one.set_candidate(True)
    assert one.tick(5.0) == [] and isinstance(one.tick(10.3)[0], Acquire)


def test_renewals_start_early_and_are_retried_after_failures() -> None:
    one = owner()
    one.observe(0.0, 0.0, None, True)
    (request,) = one.tick(0.0)
    assert isinstance(request, Acquire)
    one.granted(0.0, request.number, 1)
    assert one.tick(2.9) == []
    (renew,) = one.tick(3.1)
    assert isinstance(renew, Renew)
    one.failed(3.2, renew.number)
    (renew,) = one.tick(one.next_at)
    assert isinstance(renew, Renew) and one.renewed(5.0, renew.number) == []
    assert one.valid_until > 12.0


# --- assignment ---
def test_a_leaving_member_moves_only_its_own_works() -> None:
    members = [IncarnationId(f"p{n}", f"n{n}") for n in range(8)]
    works = [f"w{n}" for n in range(200)]
    firsts = {work: preference_order(work, members)[0] for work in works}
    for work, first in firsts.items():
        if first is not members[3]:
            assert preference_order(work, members[:3] + members[4:])[0] is first
    share = [sum(first is each for first in firsts.values()) for each in members]
    assert min(share) > 8 and max(share) < 50


def test_a_member_with_its_fair_share_ranks_last_and_transfers_a_surplus() -> None:
    works, members = ["u", "v", "w"], [A, B, IncarnationId("c", "nc")]
    assert fair_share(3, 3) == 1
    found = ranks(works, A, members, {"u": "na", "v": "na"})
    assert found["w"] == 2
    assert surplus_work(works, A, members, {"u": "na", "v": "na", "w": "nb"}) in ("u", "v")
    assert surplus_work(works, A, members, {"u": "na", "v": "nb", "w": "nc"}) is None
    assert surplus_work(works, B, members, {"u": "na", "v": "na", "w": "nb"}) is None


def test_few_candidates_have_the_lowest_random_rank_in_any_fleet() -> None:
    for size in (8, 710, 5000):
        drawn = [random_ranks(["w"], IncarnationId(f"p{n}", f"n{n}"), {})["w"] for n in range(size)]
        first = min(drawn)
        assert drawn.count(first) <= max(8, size // 100)
        assert max(drawn) <= MAX_RANK


# --- logs ---
def run_steps(steps: Any, records: list[bytes]) -> Any:
    """Run the steps of a log operation on a list, as a store would."""
    answer: Any = None
    while True:
        try:
            step = steps.send(answer)
        except StopIteration as end:
            return end.value
        if isinstance(step, Put):
            answer = step.position == len(records)
            if answer:
                records.append(step.data)
        else:
            answer = records[step.position :]


def test_a_late_owner_is_fenced_by_the_claim_that_ended_its_term() -> None:
    records: list[bytes] = []
    taken: list[Any] = []
    one, two = (
        FencedLog("w", lambda position, record: taken.append(record.body)) for _ in range(2)
    )
    assert run_steps(claim(one, 1, "na", "a"), records) == Done(0)
    late = append(one, 1, "na", "a", lambda: "late")
    step = late.send(None)
    while not isinstance(step, Put):  # the late owner is suspended between the check and the put
        step = late.send([])
    assert run_steps(claim(two, 2, "nb", "b"), records) == Done(1)
    assert run_steps(append(two, 2, "nb", "b", lambda: "ours"), records) == Done(2)
    late.send(False)  # the position is taken
    with pytest.raises(StopIteration) as end:
        late.send(records[1:])
    assert end.value.value == Fenced(2)
    assert taken == ["ours", "ours"]  # each of the two readers took the entry once


def test_invalid_records_are_ignored_and_block_no_owner() -> None:
    records = [b"garbage", b"[" * 100, b'{"v":9}']
    log = FencedLog("w", lambda position, record: None)
    assert run_steps(claim(log, 1, "na", "a"), records) == Done(3)
    assert log.ignored == 3
    assert run_steps(claim(FencedLog("w", lambda *entry: None), 1, "nb", "b"), records) == Fenced(1)


def test_a_claim_gives_up_after_64_contended_puts() -> None:
    log = FencedLog("w", lambda position, record: None)
    steps = claim(log, 1, "na", "a")
    step, tries = steps.send(None), 0
    with pytest.raises(StopIteration) as end:
        while True:
            tries += isinstance(step, Put)
            step = steps.send(False if isinstance(step, Put) else [b"x"])
    assert end.value.value == Contended() and tries == 64


# --- the folder ---
def store(path: Path, me: IncarnationId = A) -> FolderStore:
    made = FolderStore(path, me, lambda: 5.0)
    made.open()
    return made


def test_the_folder_keeps_leases_and_detects_ended_processes(tmp_path: Path) -> None:
    a, b = store(tmp_path), store(tmp_path, B)
    answer = a.acquire(Acquire("w", 1, 0, None))
    assert answer.accepted and answer.lease is not None and answer.lease.fence == 1
    assert not b.acquire(Acquire("w", 1, 0, None)).accepted
    assert a.renew([("w", 1)])["w"].accepted
    view = b.poll()
    assert view.leases["w"].beat == 1 and view.dead == frozenset() and view.members == {A, B}
    a._release_lock()  # as the kernel does when its process ends
    assert b.poll().dead == {"na"}
    assert b.acquire(Acquire("w", 2, 0, leases.version_of(view.leases["w"]))).accepted
    assert not a.renew([("w", 1)])["w"].accepted
    assert len(list((tmp_path / "lease").glob("w@*"))) <= 2


def test_a_removed_version_cannot_be_created_again(tmp_path: Path) -> None:
    a, b = store(tmp_path), store(tmp_path, B)
    a.acquire(Acquire("w", 1, 0, None))
    stale = a._current("w")
    record = b.poll().leases["w"]
    b.acquire(Acquire("w", 1, 0, leases.version_of(record)))
    for _ in range(4):
        assert b.renew([("w", 2)])["w"].accepted
    a._current = lambda work: stale  # type: ignore[method-assign]  # suspended after its read
    assert not a._compare_and_set("w", lambda current: leases.renewed(current, 1, A)).accepted
    assert b.poll().leases["w"].nonce == "nb"


def test_running_processes_recover_their_lock_files_in_a_lost_or_restored_folder(
    tmp_path: Path,
) -> None:
    a, b = store(tmp_path / "f"), store(tmp_path / "f", B)
    a.acquire(Acquire("w", 1, 0, None))
    os.rename(tmp_path / "f", tmp_path / "old")
    a.open()  # creates the folder again
    b.open()
    assert b.poll().members == {A, B} and b.poll().leases == {}
    (tmp_path / "f" / "alive" / "na").unlink()
    (tmp_path / "f" / "alive" / "na").write_bytes(b"{}")  # a copy that no process has locked
    assert "na" in b.poll().dead
    a.poll()
    assert b.poll().dead == frozenset()


def test_malformed_files_in_the_folder_are_reported_and_grant_nothing(tmp_path: Path) -> None:
    a = store(tmp_path)
    (tmp_path / "lease" / "w@000000000003").write_bytes(b"\x00" * 9000)
    (tmp_path / "lease" / "v@999999999999").write_bytes(leases.encode(Lease(1, "v", 1, "x", "nx")))
    (tmp_path / "lease" / "nonsense").write_bytes(b"x")
    (tmp_path / "alive" / "Not A Nonce").write_bytes(b"x")
    os.mkfifo(tmp_path / "lease" / "u@000000000001")
    os.mkfifo(tmp_path / "alive" / "pipe")
    view = a.poll()
    assert set(view.unreadable) == {"w", "u"} and view.members == {A}
    for work in ("w", "u", "v"):
        with pytest.raises(UnreadableLeaseError):
            a.acquire(Acquire(work, 1, 0, LeaseVersion(1, "nx", 0)))


def test_a_log_in_a_folder_spans_several_segments(tmp_path: Path) -> None:
    a = store(tmp_path)
    log = FencedLog("w", lambda position, record: None)
    assert a.run(claim(log, 1, "na", "a")) == Done(0)
    log.next_position = 1
    for position in range(1, 1003):
        assert a.put("w", position, b"x")
    assert not a.put("w", 1002, b"y")
    fresh = FencedLog("w", lambda position, record: None)
    assert a.run(append(fresh, 1, "na", "a", lambda: 7)) == Done(1003)


# --- Consul ---
async def consul_store(consul: Consul, me: IncarnationId, term_s: float = 0.5) -> ConsulStore:
    table = FleetTable(store="consul", agents=(f"127.0.0.1:{consul.port}",), term_s=term_s)
    return ConsulStore(table, SocketNetwork(asyncio.get_running_loop()), me)


async def call(request: Any) -> Any:
    done = asyncio.get_running_loop().create_future()
    request(lambda answer, why: done.set_result((answer, why)))
    async with asyncio.timeout(10.0):
        return await done


def test_consul_frees_a_lease_when_its_session_ends() -> None:
    async def run() -> None:
        consul = await Consul().start()
        a, b = await consul_store(consul, A), await consul_store(consul, B)
        answer, _ = await call(lambda callback: a.acquire(Acquire("w", 1, 6, None), callback))
        assert answer.accepted and answer.lease.fence == 7
        answer, _ = await call(lambda callback: b.acquire(Acquire("w", 1, 0, None), callback))
        assert not answer.accepted and answer.lease.nonce == "na"
        answer, _ = await call(lambda callback: a.renew([("w", 7)], callback))
        assert answer["w"].accepted
        view, _ = await call(b.poll)
        assert not view.leases["w"].free and view.members is None
        view, _ = await call(b.poll)  # during the blocking query the session ends without renewals
        assert view.leases["w"].free and view.leases["w"].fence == 7
        answer, _ = await call(lambda callback: b.acquire(Acquire("w", 2, 0, None), callback))
        assert answer.accepted and answer.lease.fence == 8
        answer, _ = await call(lambda callback: a.renew([("w", 7)], callback))
        assert not answer["w"].accepted
        answer, _ = await call(lambda callback: b.release("w", 8, callback))
        assert answer.accepted
        a.close()
        b.close()
        await consul.stop()

    asyncio.run(run())


def test_acquiring_renews_the_session_and_a_new_session_renews_no_old_lease() -> None:
    async def run() -> None:
        consul = await Consul().start()
        a = await consul_store(consul, A, 5.0)
        await call(lambda callback: a.acquire(Acquire("v", 1, 0, None), callback))
        first, before = a.protocol.session, len(consul.requests)
        await call(lambda callback: a.acquire(Acquire("w", 1, 0, None), callback))
        assert any(target.startswith("/v1/session/renew/") for target in consul.requests[before:])
        consul.kv._end(first)
        # Creates another session.
        await call(lambda callback: a.acquire(Acquire("u", 1, 0, None), callback))
        assert a.protocol.session not in ("", first)
        answer, _ = await call(lambda callback: a.renew([("v", 1), ("u", 1)], callback))
        assert not answer["v"].accepted and answer["u"].accepted
        a.close()
        await consul.stop()

    asyncio.run(run())


def test_a_response_lost_after_the_write_and_lost_data_are_recovered_from() -> None:
    async def run() -> None:
        consul = await Consul().start()
        a = await consul_store(consul, A)
        consul.drops_answers = True
        answer, why = await call(lambda callback: a.acquire(Acquire("w", 1, 0, None), callback))
        assert answer is None and why
        consul.drops_answers = False
        answer, _ = await call(lambda callback: a.acquire(Acquire("w", 2, 0, None), callback))
        assert answer.accepted
        log = FencedLog("w", lambda position, record: None)
        result, _ = await call(lambda callback: a.run(claim(log, 3, "na", "a"), callback))
        assert result == Done(0)
        consul.kv.lose_data()
        answer, _ = await call(lambda callback: a.renew([("w", answer.lease.fence)], callback))
        assert not answer["w"].accepted
        answer, _ = await call(lambda callback: a.acquire(Acquire("w", 3, 3, None), callback))
        assert answer.accepted and answer.lease.fence == 4  # the fence is above the floor
        a.close()
        await consul.stop()

    asyncio.run(run())


# --- the settlement ---
def batch(key: str, period: int, units: int, kind: str = "period") -> Batch:
    return Batch(key, period, kind, (("acme", "lookup", units), (None, "optout", 1)))


def settlement(now: float, **more: float) -> Settlement:
    made = Settlement(lambda period: period + 300.0, more.get("wait_s", 900.0), 86_400.0)
    made.now = now
    return made


def test_a_period_is_billed_when_all_proxies_have_closed_it_or_the_wait_is_over() -> None:
    books = settlement(0.0)
    books.update(
        1400.0,
        [batch("a/1.x/1", 1000, 5)],
        [ClosedThrough("a", 1300.0), ClosedThrough("b", 1000.0)],
    )
    assert books.missing(1000) == ["b"] and books.decide() is None
    books.update(2200.0, [], [])
    bill = books.decide()
    assert bill["missing"] == ["b"] and bill["units"] == 6 and bill["kind"] == "bill"
    books.apply(bill)
    assert books.decide() is None
    books.update(
        2300.0, [batch("b/1.y/1", 1000, 2), batch("a/1.x/1", 1000, 5)], [ClosedThrough("b", 1300.0)]
    )
    late = books.decide()
    assert late["kind"] == "correction" and late["keys"] == ["b/1.y/1"]


def test_no_batch_is_in_two_bills_of_different_owners() -> None:
    one, two = settlement(5000.0), settlement(5000.0)
    for books in (one, two):
        books.update(5000.0, [batch("a/1.x/1", 1000, 5)], [ClosedThrough("a", 1300.0)])
    bill = one.decide()
    assert two.decide() == bill
    two.apply(bill)
    assert two.decide() is None
    two.update(5001.0, [batch("a/1.x/1", 1000, 5)], [])  # its file is still there
    assert two.decide() is None
    two.apply("nonsense")
    two.apply({"keys": [7, "x", None, "a/1.x/999999999999999999"], "units": "x", "period": 1})


def test_settled_keys_are_stored_as_ranges() -> None:
    keys = SettledKeys()
    for number in (5, 1, 3, 2, 4, 9, 7, 8):
        keys.add(f"a/1.x/{number}")
    assert keys.range_count == 2
    assert "a/1.x/4" in keys and "a/1.x/6" not in keys and "b/1.x/4" not in keys


def test_invalid_batch_files_are_skipped(tmp_path: Path) -> None:
    class ImmediateWriter:
        def submit(self, job: Any, callback: Any) -> None:
            callback(job(), None)

        def close(self, wait_s: float) -> None:
            pass

    good = (
        b'{"batch":"a/1.x/1","seq":1,"kind":"period","period":1000,"lines":1,"units":5}\n'
        b'{"tenant":"acme","class":"lookup","units":5}\n'
    )
    assert parse(good).key == "a/1.x/1"
    for name, data in (
        ("good.jsonl", good),
        ("short.jsonl", good[:-30]),
        ("empty.jsonl", b""),
        ("key.jsonl", good.replace(b"a/1.x/1", b"nokey")),
        ("x.csv", b"a"),
        ("more.jsonl", good.replace(b'"units":5}\n{', b'"units":6}\n{')),
        ("a.through", b'{"ledger":"a","until":1300.0}'),
        ("b.through", b"garbage"),
    ):
        (tmp_path / name).write_bytes(data)
    books = settlement(0.0)
    reader, reports = BatchReader(tmp_path, books, ImmediateWriter(), lambda: 5000.0), []
    reader(reports.append)
    assert (
        reports == [""]
        and list(books.batches) == ["a/1.x/1"]
        and list(books.closed_through) == ["a"]
    )
    books.apply(books.decide())
    reader(reports.append)
    assert (tmp_path / "settled" / "good.jsonl").exists() and not books.batches
    assert (tmp_path / "short.jsonl").exists()


# --- runner, store and works together ---
def fleet(path: Path, name: str, endpoint: int, **more: Any) -> Fleet:
    from violetroute.fleet.make import store_factory

    table = FleetTable(
        store="folder",
        folder=str(path),
        works=("beat-0", "beat-1"),
        term_s=0.5,
        look_s=0.05,
        call_s=0.5,
        beat_s=0.01,
        move_s=0.2,
    )
    net = SocketNetwork(asyncio.get_running_loop())

    def work(of: str) -> LogWork:
        return LogWork(of, net, BeatDecider(), 0.01, Address("127.0.0.1", endpoint), "/x", 0.5)

    return Fleet(table, name, net, store_factory(table, net), work)


async def until(condition: Any) -> None:
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_works_are_balanced_released_and_continued_by_another_proxy(tmp_path: Path) -> None:
    async def run() -> None:
        effects = await EffectEndpoint().start()
        one = fleet(tmp_path, "one", effects.port)
        await until(lambda: len(one.owned()) == 2 and len(effects.applied) > 4)
        two = fleet(tmp_path, "two", effects.port)
        # One work is transferred.
        await until(lambda: len(one.owned()) == 1 and len(two.owned()) == 1)
        await one.close()
        await until(lambda: len(two.owned()) == 2)
        seen = len(effects.applied)
        await until(lambda: len(effects.applied) > seen + 4)
        two.configure(())
        await until(lambda: not two.owned())
        two.stop()
        for work in ("beat-0", "beat-1"):
            beats = [e.body["beat"] for e in effects.applied if e.key.startswith(work)]
            assert beats == list(range(1, len(beats) + 1))
        await effects.stop()

    asyncio.run(run())


def test_an_owner_that_cannot_reach_the_endpoint_transfers_its_work(tmp_path: Path) -> None:
    async def run() -> None:
        effects = await EffectEndpoint().start()
        cut = fleet(tmp_path, "cut", 1)  # nothing listens on port 1
        await until(lambda: len(cut.owned()) == 2)
        well = fleet(tmp_path, "well", effects.port)
        await until(lambda: len(well.owned()) == 2 and len(effects.applied) > 4)
        cut.stop()
        well.stop()
        await effects.stop()

    asyncio.run(run())


def test_the_endpoint_rejects_a_late_owner_and_reports_the_fence() -> None:
    effects = EffectEndpoint()
    first = {"idempotency-key": '"w/4.n/0"', "fence": "4;n"}

    async def run() -> None:
        assert effects._apply(first, b"1")[0] == 201
        assert effects._apply(first, b"1")[0] == 200
        assert effects._apply(first, b"2")[0] == 422
        for fence in ("3;m", "4;m"):
            status, body = effects._apply({"idempotency-key": '"w/3.m/1"', "fence": fence}, b"1")
            assert status == 412 and json.loads(body) == {"fence": 4}

    asyncio.run(run())


# --- settings ---
@pytest.mark.parametrize(
    ("table", "key"),
    [
        ({"store": "folder"}, "folder"),
        ({"folder": "/x"}, "store"),
        ({"store": "consul"}, "agents"),
        ({"store": "consul", "agents": ["nowhere"]}, "agents"),
        ({"store": "cloud"}, "store"),
        ({"store": "folder", "folder": "/x", "works": ["dance"]}, "works"),
        ({"store": "folder", "folder": "/x", "works": ["Beat!"]}, "works"),
        ({"store": "folder", "folder": "/x", "works": ["settlement"]}, "works"),
        ({"store": "folder", "folder": "/x", "endpoint": "x"}, "endpoint"),
        ({"store": "folder", "folder": "/x", "path": "x"}, "path"),
        ({"store": "folder", "folder": "/x", "term_s": 0.0}, "term_s"),
        ({"store": "folder", "folder": "/x", "term": 1.0}, "term"),
    ],
)
def test_an_invalid_setting_is_reported_on_one_line_with_its_key(
    table: dict[str, Any], key: str
) -> None:
    with pytest.raises(ConfigError) as wrong:
        parse_operator({"fleet": table}, "op.toml")
    assert f"[fleet] {key}" in str(wrong.value) and "\n" not in str(wrong.value)


def test_works_change_with_a_reload_and_other_settings_with_a_restart() -> None:
    def read(**more: Any) -> Any:
        return parse_operator({"fleet": {"store": "folder", "folder": "/x"} | more}, "op.toml")

    assert restart_needed(read(), read(works=["beat-1"])) == []
    assert restart_needed(read(), read(term_s=3.0)) == ["fleet"]
