"""What the ledger costs and what it stands: each part alone, or all.

    python benchmarks/ledger.py [cost] [store] [memory] [archive] [sketch] [cuts] [trials] [kills]

`cost`: CPU a request and p99 with the ledger on and off, in turn (bound 1.05 and 1 ms).  `store`:
one flush of 100 lines, synced, into the ledger's log, into SQLite (WAL, synchronous=FULL) and into
SQLite through a rollback journal, in turn.  `memory`: 100,000 made-up tenants.  `archive`: zstd by
level, with and without a dictionary, on batches.  `sketch`: bytes and CPU against whole id sets and
sums by bucket. `cuts`: a power cut at each of the first 2,400 writes of a run.  `trials`: 1,000
seeds of kills, cuts and troubles, and some 300 kills that meet a running process over 20 minutes.
`kills`: 30 kills of real processes. Exit status 1 when a bound is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import multiprocessing
import random
import sqlite3
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import harness
import numpy as np
import zstandard
from cost import measure_cpu

from limebridge.ledger.kills import run_kills
from limebridge.ledger.sketch import STRATA, STRATUM, Sketch, Strata, mix
from limebridge.virtual.ledger import Trial, run_trial
from violetroute.ledger.accounts import Batch, Book
from violetroute.ledger.counters import UsageCounters
from violetroute.ledger.export import json_lines
from violetroute.ledger.files import Folder
from violetroute.ledger.periods import Periods
from violetroute.ledger.store import Store

START = 1_700_000_100
TURNS = 8
Flush = Callable[[dict[tuple[int, str | None, str], int]], None]
COST_MOST, P99_MOST_MS = 1.05, 1.0


async def cost(rate: float = 2000.0, seconds: float = 3.0) -> dict[str, object]:
    found: dict[str, list[float]] = {"off": [], "on": []}
    p99: dict[str, list[float]] = {"off": [], "on": []}
    rest: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        on = Path(folder) / "on.toml"
        on.write_text(f'[ledger]\nfolder = "{folder}/ledgers"\nids = true\n')
        off = Path(folder) / "off.toml"
        off.write_text("")
        async with harness.nodes(4, 200) as ports:
            for _ in range(TURNS):
                for name, path in (("off", off), ("on", on)):
                    async with harness.daemon(ports, operator=path) as daemon:
                        rest[name] = harness.resident_mb(daemon.pid)
                        used, crowd = await measure_cpu(daemon, rate, seconds)
                        found[name].append(used)
                        times = sorted(
                            (ask.ended_at - ask.sent_at) * 1000.0
                            for ask in crowd.finished
                            if ask.outcome == "served"
                        )
                        p99[name].append(times[int(0.99 * len(times))])
    ratio = statistics.mean(found["on"]) / statistics.mean(found["off"])
    added = statistics.median(p99["on"]) - statistics.median(p99["off"])
    return {
        "ratio": round(ratio, 3),
        "added_p99_ms": round(added, 3),
        "us": {name: [round(x, 1) for x in each] for name, each in found.items()},
        "p99_ms": {name: [round(x, 2) for x in each] for name, each in p99.items()},
        "rest_mb": {name: round(x, 1) for name, x in rest.items()},
        "held": ratio <= COST_MOST and added <= P99_MOST_MS,
    }


def store(flushes: int = 200, lines: int = 100) -> dict[str, object]:
    """Milliseconds and bytes of one flush that is on the disk."""
    rng = random.Random(1)
    periods = Periods("UTC", 15)
    found: dict[str, list[float]] = {"log": [], "sqlite wal": [], "sqlite rollback": []}
    size: dict[str, int] = {}
    for _ in range(2):
        for name in found:
            with tempfile.TemporaryDirectory() as folder:
                flush = (
                    _log(Path(folder), periods)
                    if name == "log"
                    else _sqlite(Path(folder), "WAL" if name.endswith("wal") else "DELETE")
                )
                for _ in range(flushes):
                    units: dict[tuple[int, str | None, str], int] = {
                        (START, f"t{rng.randrange(500)}", "lookup"): 1 for _ in range(lines)
                    }
                    before = time.perf_counter()
                    flush(units)
                    found[name].append((time.perf_counter() - before) * 1000.0)
                size[name] = sum(
                    path.stat().st_size for path in Path(folder).rglob("*") if path.is_file()
                )
    return {
        name: {
            "median_ms": round(statistics.median(each), 3),
            "p99_ms": round(sorted(each)[int(0.99 * len(each))], 3),
            "bytes": size[name],
        }
        for name, each in found.items()
    }


def _log(folder: Path, periods: Periods) -> Flush:
    files = Folder(folder)
    files.lock()
    made, book = Store(files, "p"), Book(periods)
    made.open(book)
    made.rewrite(book.checkpoint())

    def flush(units: dict[tuple[int, str | None, str], int]) -> None:
        records = book.usage_records(START, units)
        for record in records:
            book.apply(record)
        made.commit(records, {}, ())

    return flush


def _sqlite(folder: Path, mode: str) -> Flush:
    base = sqlite3.connect(folder / "ledger.db", isolation_level=None)
    base.execute(f"PRAGMA journal_mode={mode}")
    base.execute("PRAGMA synchronous=FULL")
    base.execute(
        "CREATE TABLE units (period, tenant, class, units, "
        "PRIMARY KEY (period, tenant, class)) WITHOUT ROWID"
    )

    def flush(units: dict[tuple[int, str | None, str], int]) -> None:
        base.execute("BEGIN IMMEDIATE")
        base.executemany(
            "INSERT INTO units VALUES (?, ?, ?, ?) ON CONFLICT DO UPDATE "
            "SET units = units + excluded.units",
            [(*key, count) for key, count in units.items()],
        )
        base.execute("COMMIT")

    return flush


def memory(tenants: int = 100_000) -> dict[str, object]:
    """Bytes of tally and book as tenants are ever new, 500 regular ones among them."""
    tracemalloc.start()
    counters, book = UsageCounters(2000), Book(Periods("UTC", 15))
    for regular in range(500):
        counters.add(START - 900, f"regular{regular}", "lookup", b"")
    marks = []
    for number in range(tenants):
        counters.add(START, f"made-up-{number}", "lookup", b"")
        if number % 100 == 0:
            counters.add(START, f"regular{number // 100 % 500}", "lookup", b"")
        if number % (tenants // 4) == tenants // 4 - 1:
            for record in book.usage_records(START, counters.collect()[0]):
                book.apply(record)
            marks.append(round(tracemalloc.get_traced_memory()[0] / 1024))
    tracemalloc.stop()
    named = {tenant for tenant, _ in book.unbatched_units[START] if tenant is not None}
    # On paper: 500 tenants by 5 classes by 96 periods a day, 400 days, 710 proxies.
    batch = Batch(
        1,
        "period",
        START,
        [(f"t{t:03d}", f"class{c}", 9) for t in range(500) for c in range(5)],
        "p/1.x/1",
    )
    packed = len(zstandard.ZstdCompressor(level=6).compress(json_lines(batch)))
    return {
        "kib": marks,
        "named": len(named),
        "regulars_kept": sum(name.startswith("regular") for name in named),
        "units": book.total_units(START),
        "period_bytes": packed,
        "gb_a_proxy_400_days": round(packed * 96 * 400 / 1e9, 3),
        "held": marks[-1] <= marks[0] * 1.2,
    }


def archive() -> dict[str, object]:
    """Bytes and ms of one period's batch by level, and with a dictionary of earlier ones."""
    rng = random.Random(2)

    def batch(number: int) -> bytes:
        return json_lines(
            Batch(
                number,
                "period",
                START + 900 * number,
                sorted(
                    (f"tenant-{rng.randrange(500):03d}", cls, rng.randrange(1, 400))
                    for cls in ("lookup", "optout", "template-save")
                    for _ in range(150)
                ),
                f"p1/1.ab/{number}",
            )
        )

    samples = [batch(number) for number in range(200)]
    trained = zstandard.train_dictionary(32 * 1024, [*samples[:150]])
    found: dict[str, object] = {"raw_bytes": len(samples[-1])}
    for level in (1, 3, 6, 12, 19):
        for name, more in (("", {}), (" with dictionary", {"dict_data": trained})):
            packer = zstandard.ZstdCompressor(level=level, **more)  # type: ignore[arg-type]
            before = time.perf_counter()
            sizes = [len(packer.compress(sample)) for sample in samples[150:]]
            found[f"level {level}{name}"] = {
                "bytes": round(statistics.mean(sizes)),
                "ms": round((time.perf_counter() - before) / 50 * 1000.0, 3),
            }
    return found


def sketch(size: int = 1_000_000) -> dict[str, object]:
    """Bytes that are sent and CPU seconds of both sides, by the number that differ."""
    base = np.random.default_rng(7).integers(0, 2**64, size, np.uint64)
    table: dict[str, object] = {}
    for differ in (1, 100, 10_000):
        ours, theirs = base, base[differ:]
        before = time.process_time()
        strata = [Strata(np.unique(side)) for side in (ours, theirs)]
        about = strata[0].differ(strata[1])
        fell_back, sent, room = 0, STRATA * STRATUM * 20, max(1, int(about * 1.5))
        while True:
            sides = [Sketch.of(side, room) for side in (ours, theirs)]
            sent += sides[0].table.cells * 20
            found = sides[0].against(sides[1])
            if not isinstance(found, int):
                break
            fell_back, room = fell_back + 1, found
        used = time.process_time() - before
        assert len(found[0]) + len(found[1]) == differ
        before = time.process_time()
        whole = np.setxor1d(ours, theirs, assume_unique=True)
        whole_used = time.process_time() - before
        before = time.process_time()
        buckets = int((size * differ) ** 0.5)  # as many bytes for the sums as for what follows
        sums = []
        for side in (ours, theirs):
            sums.append(np.zeros(buckets, np.uint64))
            np.add.at(sums[-1], (mix(side, 9) % np.uint64(buckets)).astype(np.int64), mix(side, 8))
        wrong = np.flatnonzero(sums[0] != sums[1])
        places = (mix(ours, 9) % np.uint64(buckets)).astype(np.int64)
        resent = int(np.isin(places, wrong).sum())
        sums_used = time.process_time() - before
        assert len(whole) == differ
        table[str(differ)] = {
            "sketch": {
                "bytes": sent,
                "cpu_s": round(used, 2),
                "fell_back": fell_back,
                "estimated": about,
            },
            "whole set": {"bytes": 8 * size, "cpu_s": round(whole_used, 2)},
            "sums by bucket": {"bytes": 8 * buckets + 8 * resent, "cpu_s": round(sums_used, 2)},
        }
    falls = 0
    for salt in range(200):
        some = np.random.default_rng(salt).integers(0, 2**64, 2000, np.uint64)
        about = Strata(some).differ(Strata(some[100:]))
        sides = [Sketch.of(side, int(about * 1.5)) for side in (some, some[100:])]
        falls += isinstance(sides[0].against(sides[1]), int)
    table["fell back, of 200 with 100 that differ"] = falls
    return table


def _cut(place: int) -> tuple[int, int, int]:
    logging.disable(logging.CRITICAL)
    found = run_trial(
        Trial(place, minutes=9.0, kills=0, fail_power_at=place, faults=False, clock_steps=False)
    )
    return found.killed, found.excess, found.missing


def cuts(points: int = 2400) -> dict[str, object]:
    """A power cut at each write; what is missing may be one flush and the write under way."""
    began = time.monotonic()
    with multiprocessing.get_context("spawn").Pool() as pool:
        found = pool.map(_cut, range(1, points + 1), chunksize=20)
    return {
        "points": sum(killed == 1 for killed, _, _ in found),
        "doubled": sum(doubled for _, doubled, _ in found),
        "missing_most": max(missing for _, _, missing in found),
        "missing_mean": round(statistics.mean(missing for _, _, missing in found), 2),
        "seconds": round(time.monotonic() - began, 1),
        "held": not any(doubled for _, doubled, _ in found),
    }


def _trial(seed: int) -> tuple[int, int, int, int, int]:
    logging.disable(logging.CRITICAL)
    rng = random.Random(seed)
    found = run_trial(
        Trial(
            seed,
            minutes=12.0,
            kills=rng.randint(0, 20),
            power_failures=rng.randint(0, 4),
            restore_disk=seed % 5 == 0,
        )
    )
    over = sum((found.billed - found.served).values())
    return over, found.missing, sum(found.served.values()), found.killed, seed % 5 == 0


def trials(seeds: int = 1000) -> dict[str, object]:
    """Any mixture; and some 300 kills that meet a running process over 20 minutes."""
    began = time.monotonic()
    with multiprocessing.get_context("spawn").Pool() as pool:
        found = pool.map(_trial, range(10_000, 10_000 + seeds), chunksize=5)
    taken = time.monotonic() - began
    kept = [each for each in found if not each[4]]
    logging.disable(logging.CRITICAL)
    many = run_trial(Trial(1, minutes=20.0, kills=500))
    return {
        "seeds": len(found),
        "over": sum(each[0] for each in found),
        "served": sum(each[2] for each in found),
        "killed": sum(each[3] for each in found),
        "missing_a_kill": round(
            sum(each[1] for each in kept) / max(1, sum(each[3] for each in kept)), 2
        ),
        "seconds": round(taken, 1),
        "many kills": {
            "killed": many.killed,
            "served": sum(many.served.values()),
            "billed": sum(many.billed.values()),
            "missing": many.missing,
            "at_risk": many.at_risk,
            "doubled": many.excess,
        },
        "held": not any(each[0] for each in found)
        and not many.excess
        and many.missing == many.at_risk,
    }


async def kills() -> dict[str, object]:
    with tempfile.TemporaryDirectory() as folder:
        report = await run_kills(Path(folder), kills=30, seconds=45.0)
    assert report.before is not None and report.after is not None
    return {
        "kills": report.kills,
        "served": sum(report.served.values()),
        "posts": report.posts,
        "doubled": report.doubled,
        "short_before": report.before.short,
        "moved": report.before.moved,
        "differ_after": len(report.after.differences),
        "held": not report.doubled and not report.after.differences,
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parts: dict[str, Callable[[], dict[str, object]]] = {
        "cost": lambda: asyncio.run(cost()),
        "store": store,
        "memory": memory,
        "archive": archive,
        "sketch": sketch,
        "cuts": cuts,
        "trials": trials,
        "kills": lambda: asyncio.run(kills()),
    }
    parser.add_argument("parts", nargs="*", choices=[*parts, []], metavar="PART")
    failed: Counter[str] = Counter()
    for name in parser.parse_args().parts or parts:
        found = parts[name]()
        print(json.dumps({name: found}), flush=True)
        failed[name] += found.get("held") is False
    return int(any(failed.values()))


if __name__ == "__main__":
    sys.exit(main())
