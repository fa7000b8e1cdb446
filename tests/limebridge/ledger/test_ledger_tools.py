"""`limebridge ledger`: reconciliation, sketches of ids, and the commands themselves."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.ledger.reconcile import Exported, Line, reconcile
from limebridge.ledger.sketch import Sketch, Strata, Table, read_ids
from violetroute.ledger.accounts import Book
from violetroute.ledger.export import json_lines
from violetroute.ledger.files import Folder
from violetroute.ledger.periods import Periods
from violetroute.ledger.store import Store

START = 1_700_000_100
PERIODS = Periods("UTC", 5)


def random_ids(count: int, salt: int = 0) -> np.ndarray:
    return np.random.default_rng(salt).integers(0, 2**64, count, np.uint64)


# --- sketches ---
@given(
    st.sets(st.integers(0, 2**64 - 1), max_size=60), st.sets(st.integers(0, 2**64 - 1), max_size=60)
)
@settings(max_examples=60)
def test_a_sketch_finds_exactly_the_differences_or_is_too_small(
    ours: set[int], theirs: set[int]
) -> None:
    common = random_ids(500)
    sides = [
        Sketch.of(np.concatenate([common, np.array(sorted(side), np.uint64)]), 130)
        for side in (ours, theirs)
    ]
    found = Sketch.load(sides[0].dump()).compare(Sketch.load(sides[1].dump()))
    shared = set(common.tolist())
    if not isinstance(found, int):
        assert set(found[0]) == ours - theirs - shared
        assert set(found[1]) == theirs - ours - shared
    else:
        assert found > 0


def test_a_sketch_that_is_too_small_gives_a_sufficient_size() -> None:
    one, other = random_ids(20_000), random_ids(20_000)[3000:]
    small = Sketch.of(one, 100).compare(Sketch.of(other, 100))
    assert isinstance(small, int) and small >= 3000
    found = Sketch.of(one, small).compare(Sketch.of(other, small))
    assert not isinstance(found, int) and (len(found[0]), found[1]) == (3000, [])


@pytest.mark.parametrize("differ", [0, 1, 100, 5000])
def test_the_estimate_is_within_a_factor_of_three(differ: int) -> None:
    base = random_ids(30_000)
    found = Strata(base).differ(Strata(base[differ:]))
    assert differ / 3 <= found <= differ * 3


def test_malformed_sketches_are_rejected() -> None:
    data = Sketch.of(random_ids(10), 10).dump()
    for wrong in (b"", b"noise", data[:-1], data + b"x", data[:9] + b"\xff" * 40):
        with pytest.raises(ValueError, match="sketch"):
            Sketch.load(wrong)
    with pytest.raises(ValueError, match="cells"):
        Table(64).subtract(Table(128))
    noise = Table(64)
    noise.count += 1
    assert noise.decode() is None
    assert len(read_ids(b"12345678123")) == 1


# --- reconciliation ---
def test_short_long_and_moved_units_are_distinguished() -> None:
    exported: Counter[Line] = Counter(
        {("p1", START, "a", "c"): 5, ("p1", START + 300, "a", "c"): 4, ("p2", START, "b", "c"): 9}
    )
    served: Counter[Line] = Counter(
        {
            ("p1", START, "a", "c"): 7,
            ("p1", START + 300, "a", "c"): 3,
            ("p2", START, "b", "c"): 6,
            ("p2", START, None, "c"): 1,
        }
    )
    found = reconcile(exported, served, PERIODS)
    assert found.moved == 1 and (found.short, found.long) == (2, 3)
    assert [(d.proxy, d.tenant, d.units) for d in found.differences] == [
        ("p1", "a", 1),
        ("p2", "b", -3),
        ("p2", None, 1),
    ]


def test_a_repeated_batch_counts_once_and_a_different_copy_is_reported() -> None:
    book = Book(PERIODS, 60.0)
    for record in book.begin_records("p1", "n", START) + book.usage_records(
        START, {(START, "a", "c"): 3}
    ):
        book.apply(record)
    for record in book.batch_records(START + 500):
        book.apply(record)
    text = json_lines(book.batches[1]).decode()
    found = Exported()
    for source in ("one", "two"):
        found.add(text, source)
    assert (
        found.units == {("p1", START, "a", "c"): 3} and found.duplicates == 1 and not found.problems
    )
    found.add(text.replace('"units":3', '"units":4', 1), "three")
    found.add('{"tenant": "a"}\nnoise', "four")
    assert len(found.problems) == 3


# --- commands ---
def make_ledger(folder: Path) -> Path:
    """Writes a ledger with two tenants, a confirmed batch and an open period."""
    folder = folder / "p1"
    files = Folder(folder)
    assert files.lock()
    store, book = Store(files, "p1"), Book(Periods("UTC", 15), 60.0)
    records = book.begin_records("p1", "n", START)
    for record in records:
        book.apply(record)
    store.rewrite(book.checkpoint())
    period = Periods("UTC", 15).of(START)
    log = book.usage_records(
        START, {(period, "acme", "lookup"): 3, (period, "[b]=x\n", "lookup"): 1}
    )
    for record in log:
        book.apply(record)
    for step in (
        lambda: book.batch_records(START + 2000),
        lambda: book.sent_records(1),
        lambda: book.confirmed_records(1),
        lambda: book.usage_records(START, {(period + 900, "acme", "optout"): 2}),
    ):
        batch = book.batches.get(1)
        closed = [(batch.period, json_lines(batch))] if batch is not None else []
        records = step()
        for record in records:
            book.apply(record)
        log += records
        store.commit(
            records if records[0] != log[0] else [], {}, closed if records[0][0] == "done" else []
        )
    store.rewrite(book.checkpoint())
    files.close()
    return folder


def run(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(app, ["ledger", *arguments])
    return result.exit_code, result.output


def test_show_verify_and_dry_run_report_the_state_of_a_ledger(tmp_path: Path) -> None:
    folder = make_ledger(tmp_path)
    code, text = run("show", str(folder), "--json")
    summary = json.loads(text)
    assert code == 0 and (summary["units"], summary["confirmed"], summary["to_export"]) == (6, 1, 0)
    code, text = run("show", str(folder), "--html", str(tmp_path / "r.html"))
    assert code == 0 and "[b]=x?" in text
    assert "<b>6</b> units of 2 tenants" in (tmp_path / "r.html").read_text()
    assert run("verify", str(folder)) == (0, "all adds up\n")
    assert run("export", str(folder), "--dry-run") == (0, "")
    (closed,) = folder.glob("closed-*")
    closed.write_bytes(closed.read_bytes()[:-4])
    code, text = run("verify", str(folder))
    assert code == 1 and "4 units confirmed, 0 in the archive" in text
    for arguments in (
        ("show", str(tmp_path)),
        ("verify", str(tmp_path / "none")),
        ("export", str(folder)),
    ):
        assert run(*arguments)[0] == 2


def test_reconcile_writes_corrections_that_can_be_signed(tmp_path: Path) -> None:
    folder = make_ledger(tmp_path)
    book = Book(Periods("UTC", 15), 60.0)
    for record in book.begin_records("p1", "n", START) + book.usage_records(
        START, {(START, "acme", "lookup"): 3}
    ):
        book.apply(record)
    for record in book.batch_records(START + 2000):
        book.apply(record)
    (tmp_path / "out").mkdir()
    (tmp_path / "out" / "b.jsonl").write_bytes(json_lines(book.batches[1]))
    served = tmp_path / "served.jsonl"
    served.write_text(
        "".join(
            json.dumps(
                {
                    "proxy": "p1",
                    "tenant": "acme",
                    "class": "lookup",
                    "at": START + n,
                    "id": f"r{n % 4}",
                }
            )
            + "\n"
            for n in range(5)
        )
        + "\n"
    )
    arguments = ("reconcile", str(tmp_path / "out"), "--served", str(served))
    code, text = run(*arguments, "--write", str(tmp_path / "c"), "--json")
    result = json.loads(text)
    assert code == 1 and (result["short"], result["long"], result["wrong"]) == (1, 0, [])
    file = tmp_path / "c" / "corrections-0.json"
    assert run("sign", str(folder), str(file), "--by", "marta")[0] == 0
    (signed,) = folder.glob("signed-*.json")
    assert json.loads(signed.read_bytes())["lines"] == [[START, "acme", "lookup", 1]]
    for wrong in (
        ("sign", str(folder), str(served), "--by", "m"),
        ("sign", str(folder), str(file), "--by", " "),
        ("sign", str(tmp_path / "none"), str(file), "--by", "m"),
    ):
        assert run(*wrong)[0] == 2
    served.write_text(served.read_text() + "{}\n")
    assert "KeyError" in run(*arguments)[1]


def test_the_sketch_and_differ_commands_find_the_differences(tmp_path: Path) -> None:
    for name, data in (("a", random_ids(2000)), ("b", random_ids(2000)[5:])):
        (tmp_path / f"ids-{name}").write_bytes(data.astype("<u8").tobytes())
        assert (
            run(
                "sketch",
                str(tmp_path / f"ids-{name}"),
                "-o",
                str(tmp_path / name),
                "--differ",
                "20",
            )[0]
            == 0
        )
    code, text = run("differ", str(tmp_path / "a"), str(tmp_path / "b"), "--json")
    assert code == 1 and len(json.loads(text)["ours"]) == 5
    assert run("differ", str(tmp_path / "a"), str(tmp_path / "a"))[0] == 0
    (tmp_path / "ids-c").write_bytes(random_ids(2000, 1).astype("<u8").tobytes())
    run("sketch", str(tmp_path / "ids-c"), "-o", str(tmp_path / "c"), "--differ", "20")
    assert run("differ", str(tmp_path / "a"), str(tmp_path / "c"))[0] == 3
    assert run("differ", str(tmp_path / "a"), str(tmp_path / "ids-a"))[0] == 2
