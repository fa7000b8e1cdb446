"""The ledger's pure parts: periods, accounts, records, counters and export formats."""

from __future__ import annotations

import csv
import io
import json
from collections import Counter
from datetime import UTC, datetime
from typing import Any
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limebridge.standins.disk import PowerLossDisk
from violetroute.config import ConfigError
from violetroute.config.operator import parse_operator
from violetroute.ledger import export, frames
from violetroute.ledger.accounts import MAX_CLOSED_PERIODS, Batch, Book
from violetroute.ledger.counters import UsageCounters, shortened_tenant
from violetroute.ledger.periods import Periods
from violetroute.ledger.store import ForeignLedgerError, Store, compress, read_archive_frames

START = 1_700_000_100  # a boundary of five-minute periods


def book() -> Book:
    made = Book(Periods("UTC", 5), grace_s=60.0)
    decide(made, made.begin_records("p1", "n", START))
    return made


def decide(made: Book, records: list[frames.Record]) -> list[frames.Record]:
    for record in records:
        made.apply(record)
    return records


def count(made: Book, at: float, **units: int) -> None:
    decide(
        made,
        made.usage_records(
            at,
            {(int(at // 300) * 300, tenant, "lookup"): number for tenant, number in units.items()},
        ),
    )


# --- periods ---
@pytest.mark.parametrize(
    "zone", ["UTC", "Europe/Rome", "Australia/Lord_Howe", "Asia/Kathmandu", "America/St_Johns"]
)
@pytest.mark.parametrize("minutes", [5, 15, 60])
def test_periods_are_contiguous_through_every_clock_change(zone: str, minutes: int) -> None:
    cuts, tz = Periods(zone, minutes), ZoneInfo(zone)
    for begin in (
        1_774_500_000,
        1_775_000_000,
        1_792_700_000,
        1_793_400_000,
    ):  # clock changes of 2026
        at = cuts.of(begin)
        while at < begin + 200_000:
            end = cuts.end(at)
            assert at < end <= at + minutes * 60
            assert cuts.of(at) == cuts.of(end - 1) == at and cuts.of(end) == end
            local = datetime.fromtimestamp(end, tz)
            assert local.minute % min(minutes, 30) == 0 and local.second == 0
            at = end


def test_an_unknown_time_zone_is_rejected() -> None:
    for wrong in ("Europe/Catania", "../etc", ""):
        with pytest.raises(ValueError, match="zone"):
            Periods(wrong, 15)


# --- book ---
def test_a_period_closes_after_its_grace_and_late_units_are_a_correction() -> None:
    made = book()
    count(made, START + 10, acme=3, zeta=1)
    assert made.batch_records(START + 359) == []
    decide(made, made.batch_records(START + 360))
    first = made.next_batch
    assert first is not None and first.kind == "period" and first.units == 4
    before = export.json_lines(first)
    count(made, START + 20, acme=2)  # the clock has stepped back
    # Late units are collected for `grace_s` before they become a correction.
    assert decide(made, made.batch_records(START + 21)) == []
    decide(made, made.batch_records(START + 381))
    late = list(made.batches.values())[1]
    assert (late.kind, late.period, late.lines) == ("correction", START, [("acme", "lookup", 2)])
    assert export.json_lines(first) == before and made.total_units(START) == 6
    for batch in (first, late):
        decide(made, made.sent_records(batch.seq) + made.confirmed_records(batch.seq))
    assert made.next_batch is None and made.total_units(START) == 6 and made.last_key == late.key


def test_a_killed_process_leaves_a_gap_and_a_closed_one_does_not() -> None:
    made = book()
    decide(made, made.heartbeat_records(START + 50))
    decide(made, made.begin_records("p1", "m", START + 80))
    assert made.gaps == [(START + 50, START + 80, "its process was killed")]
    decide(made, made.end_records(START + 90))
    decide(made, made.begin_records("p1", "o", START + 95))
    assert len(made.gaps) == 1 and made.incarnation == 3


def test_a_later_state_at_the_endpoint_bills_no_unit_twice() -> None:
    made = book()
    count(made, START + 10, acme=3)
    decide(made, made.batch_records(START + 400))
    count(made, START + 310, acme=5)
    count(made, START + 610, acme=7)
    decide(made, made.adopt_records("p1/9.x/4", [START, START + 300], START + 620))
    held = {batch.period: batch.state for batch in made.batches.values()}
    assert held == {START: "held", START + 300: "held"} and made.next_batch is None
    assert (
        made.last_key == "p1/9.x/4" and made.total_units(START + 600) == 7 and len(made.gaps) == 1
    )
    decide(made, made.batch_records(START + 1000))
    assert made.next_batch is not None and made.next_batch.period == START + 600


def test_a_signed_correction_is_applied_once() -> None:
    made = book()
    lines: list[tuple[int, str | None, str, int]] = [
        (START, "acme", "lookup", -2),
        (START, "zeta", "lookup", 1),
        (START + 300, None, "x", 4),
    ]
    decide(made, made.correction_records("signed-1.json", "marta", lines))
    assert [(b.period, b.units) for b in made.batches.values()] == [(START, -1), (START + 300, 4)]
    assert made.correction_records("signed-1.json", "marta", lines) == []
    other = Book(Periods("UTC", 5))
    other.apply(made.checkpoint())
    assert other.correction_records("signed-1.json", "marta", lines) == []


def test_the_memory_of_a_book_is_bounded() -> None:
    made = Book(Periods("UTC", 5), grace_s=0.0)
    decide(made, made.begin_records("p1", "n", 0.0))
    for place in range(MAX_CLOSED_PERIODS + 50):
        made.apply(["count", 0.0, [[place * 300, "a", "c", 1]]])
        made.apply(["batch", place + 1, "period", place * 300, [["a", "c", 1]], f"k{place}", ""])
        made.apply(["done", place + 1])
    assert len(made.closed) == len(made.confirmed_units) == MAX_CLOSED_PERIODS
    # The book no longer remembers this period, so it counts as closed.
    made.apply(["count", 5.0, [[300, "a", "c", 1]]])
    assert made.late_since == 5.0


Change = st.tuples(
    st.sampled_from(("count", "cut", "send", "done", "hold", "sign", "crash", "spill")),
    st.integers(0, 5),
    st.integers(0, 2000),
)


@given(st.lists(Change, max_size=60))
@settings(max_examples=150)
def test_any_order_of_events_and_crashes_keeps_every_unit_once(changes: list[Any]) -> None:
    made, log, now = book(), [["state", book().checkpoint()[1]]], float(START)
    counted: Counter[int] = Counter()
    sent: dict[str, bytes] = {}
    kept: dict[int, Any] = {}
    for place, (what, number, passes) in enumerate(changes):
        now += passes
        batch = made.next_batch
        records: list[frames.Record] = []
        if what == "count":
            period = int(now // 300) * 300 - 300 * (number % 3)
            counted[period] += number
            records = made.usage_records(
                now, {(period, f"t{number}", "c"): number} if number else {}
            )
        elif what == "cut":
            records = made.batch_records(now)
        elif what == "sign":
            records = made.correction_records(f"m{place}", "x", [(START, "t", "c", number)])
            counted[START] += number
        elif what == "crash":
            made = Book(Periods("UTC", 5), 60.0)
            for record in frames.decode(frames.MAGIC + frames.encode(log)).records:
                made.apply(record)
            records = made.begin_records("p1", "n", now)
        elif what == "spill":
            for record in made.spill_records():
                kept[record[1]] = list(made.batches[record[1]].lines)
                records.append(record)
            records += [
                ["back", seq, kept[seq]]
                for seq in kept
                if seq in made.batches and made.batches[seq].spilled_units is not None
            ][number:]
        elif batch is not None and batch.spilled_units is None:
            records = (
                made.sent_records(batch.seq)
                if what == "send"
                else made.confirmed_records(batch.seq)
                if what == "done"
                else made.held_records(batch.seq, "why")
            )
            if what == "send":
                assert sent.setdefault(batch.key, export.json_lines(batch)) == export.json_lines(
                    batch
                )
        log += decide(made, records)
        for period, units in counted.items():
            assert made.total_units(period) == units
    again = Book(Periods("UTC", 5), 60.0)
    again.apply(made.checkpoint())
    assert again.checkpoint() == made.checkpoint()


# --- records and files ---
@given(
    st.lists(
        st.lists(st.integers(-9, 2**40), max_size=4).map(lambda body: ["x", *body]), max_size=6
    ),
    st.data(),
)
def test_a_file_is_read_up_to_the_first_damaged_record(
    records: list[Any], data: st.DataObject
) -> None:
    whole = frames.MAGIC + frames.encode(records)
    assert frames.decode(whole).records == records and not frames.decode(whole).error
    place = data.draw(st.integers(len(frames.MAGIC), len(whole)))
    torn = frames.decode(whole[:place])
    assert torn.records == records[: len(torn.records)] and torn.valid_bytes <= place
    if place < len(whole):
        damaged = bytearray(whole)
        damaged[place] ^= data.draw(st.integers(1, 255))
        found = frames.decode(bytes(damaged))
        assert found.records == records[: len(found.records)] and found.error


def store(disk: PowerLossDisk, name: str = "p1") -> tuple[Store, Book]:
    return Store(disk, name), Book(Periods("UTC", 5), 60.0)


def test_an_unreadable_checkpoint_costs_only_the_records_of_its_file() -> None:
    disk = PowerLossDisk()
    one, made = store(disk)
    one.open(made)
    decide(made, made.begin_records("p1", "n", START))
    one.rewrite(made.checkpoint())
    one.commit(decide(made, made.usage_records(START, {(START, "a", "c"): 4})), {}, [])
    one.rewrite(made.checkpoint())
    one.commit(decide(made, made.usage_records(START, {(START, "a", "c"): 1})), {}, [])
    newest = disk.names()[-1]
    disk._visible[newest] = b"\0" * 20 + disk._visible[newest][20:]
    two, found = store(disk)
    said = two.open(found)
    assert said.renamed_files == [f"{newest}.bad"] and found.total_units(START) == 4
    two.rewrite(found.checkpoint())
    assert disk.names()[-1] > newest and f"{newest}.bad" in disk.names()


def test_another_proxys_ledger_is_not_opened_and_not_changed() -> None:
    disk = PowerLossDisk()
    one, made = store(disk)
    decide(made, made.begin_records("p1", "n", START))
    one.rewrite(made.checkpoint())
    before = dict(disk._visible)
    with pytest.raises(ForeignLedgerError, match="p1"):
        store(disk, "p2")[0].open(store(disk)[1])
    assert disk._visible == before


def test_a_ledger_of_a_later_version_is_not_opened() -> None:
    disk = PowerLossDisk()
    one, made = store(disk)
    record = made.checkpoint()
    record[1]["version"] = frames.VERSION + 1
    one.rewrite(record)
    with pytest.raises(ValueError, match="later version"):
        store(disk)[0].open(store(disk)[1])


def test_archives_are_read_up_to_a_torn_frame_and_old_ones_are_deleted() -> None:
    disk = PowerLossDisk()
    one, _ = store(disk)
    one.commit(
        [], {START: b"12345678", 300: b"x" * 8}, [(START, b"one"), (START, b"two"), (300, b"old")]
    )
    (name,) = [n for n in disk.names() if n.startswith("closed-2023")]
    data = disk.read(name)
    assert read_archive_frames(data) == [b"one", b"two"] and read_archive_frames(data[:-3]) == [
        b"one"
    ]
    assert read_archive_frames(compress(b"x") + b"noise") == [b"x"]
    one.remove_older_than(START - 86_400.0)
    assert disk.names() == [name, f"ids-{START}"]


# --- counters ---
def test_a_flood_of_tenants_gets_half_of_the_places_and_no_unit_is_lost() -> None:
    counters = UsageCounters(10)
    for number in range(4):
        counters.add(300, f"regular{number}", "c", b"")
    for number in range(10_000):
        counters.add(600, f"made-up-{number}", "c", b"")
    for number in range(4):
        counters.add(600, f"regular{number}", "c", b"")
    units, _ = counters.collect()
    named = {tenant for period, tenant, _ in units if period == 600}
    assert {f"regular{n}" for n in range(4)} < named and len(named) == 5 + 4 + 1
    assert units[600, None, "c"] == 9995 == counters.others and sum(units.values()) == 10_008


def test_long_names_are_cut_and_end_in_a_hash() -> None:
    one, other = "x" * 4096, "x" * 4095 + "y"
    assert len(shortened_tenant(one).encode()) <= 256 and shortened_tenant(one) != shortened_tenant(
        other
    )
    assert shortened_tenant("è" * 128) == "è" * 128 != shortened_tenant("è" * 129)


# --- export ---
HOSTILE_NAMES = ["../../x", 'a"b,c\nd', "=1+1", "+x", "-x", "@x", "\tx", "è" * 100, "(others)", "'"]


def test_no_tenant_breaks_an_export_or_is_evaluated_by_a_spreadsheet() -> None:
    lines: list[tuple[str | None, str, int]] = [
        (name, "c", n) for n, name in enumerate(HOSTILE_NAMES)
    ]
    batch = Batch(7, "period", START, [*lines, (None, "c", 9)], "../p/1.ab/7")
    exported = [json.loads(line) for line in export.json_lines(batch).splitlines()]
    assert [line["tenant"] for line in exported[1:]] == [*HOSTILE_NAMES, None]
    assert exported[0]["units"] == sum(line["units"] for line in exported[1:]) == batch.units
    rows = list(csv.reader(io.StringIO(export.csv_lines(batch).decode())))[1:]
    assert all(row[3][0] not in "=+-@\t\r" for row in rows) and rows[-1][3] == "(others)"
    assert [row[3].removeprefix("'") for row in rows[:-1]][:3] == HOSTILE_NAMES[:3]
    assert rows[-3][3] == "'(others)"
    assert "/" not in export.file_name(batch) and not export.file_name(batch).startswith(".")


@pytest.mark.parametrize(
    ("status", "headers", "body", "expected"),
    [
        (200, {}, b"", ("done", 0.0)),
        (204, {}, b"", ("done", 0.0)),
        (422, {}, b"", ("held", 0.0)),
        (409, {}, b"", ("again", 0.0)),
        (500, {}, b"", ("again", 0.0)),
        (429, {"retry-after": "7"}, b"", ("again", 7.0)),
        (503, {"retry-after": "99999999"}, b"", ("again", 3600.0)),
        (503, {"retry-after": "Fri, 31 Dec"}, b"", ("again", 0.0)),
        (307, {"location": "http://127.0.0.9/"}, b"", ("again", export.SLOW_RETRY_WAIT)),
        (404, {}, b"", ("again", export.SLOW_RETRY_WAIT)),
        (412, {}, b"[]", ("again", export.SLOW_RETRY_WAIT)),
        (412, {}, b'{"last": "k\\r\\nX: y", "periods": []}', ("again", export.SLOW_RETRY_WAIT)),
        (412, {}, b'{"last": "k", "periods": [300]}', ("fork", 0.0)),
    ],
)
def test_responses_of_the_endpoint(
    status: int, headers: dict[str, str], body: bytes, expected: tuple[str, float]
) -> None:
    found = export.interpret_response(status, headers, body)
    assert (found.outcome, found.wait) == expected
    assert found.periods == ((300,) if expected[0] == "fork" else ())


def test_waits_double_with_jitter_and_are_bounded() -> None:
    backoff = export.Backoff(1.0, 60.0, "seed")
    waits = [backoff.failed(0.0) for _ in range(40)]
    assert all(2**n / 2 <= wait <= 2**n for n, wait in enumerate(waits[:5]))
    assert max(waits) <= 60.0 and backoff.failed(500.0) == 500.0
    backoff.succeeded()
    assert backoff.failed(0.0) <= 1.0


@pytest.mark.parametrize(
    ("table", "key"),
    [
        ({"zone": "UTC", "flush_s": 1.0}, "folder"),
        ({"folder": "x", "zone": "Nowhere"}, "zone"),
        ({"folder": "x", "period_min": 7}, "period_min"),
        ({"folder": "x", "export": "files"}, "export_folder"),
        ({"folder": "x", "export": "http", "endpoint": "bill.example:1"}, "endpoint"),
        ({"folder": "x", "export": "http", "endpoint": "127.0.0.1:1", "path": "a b"}, "path"),
        ({"folder": "x", "tenants": 1}, "tenants"),
    ],
)
def test_an_invalid_table_is_rejected_with_its_key(table: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=rf"\[ledger\].* ?{key}"):
        parse_operator({"ledger": table}, "op.toml")


def test_a_batch_has_the_start_of_its_period() -> None:
    batch = Batch(1, "period", START, [("a", "c", 1)], "k")
    assert export.batch_header(batch)["begins"] == datetime.fromtimestamp(START, UTC).isoformat()
