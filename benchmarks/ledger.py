"""Measures the cost of the ledger, and its losses after crashes and power failures.

    python benchmarks/ledger.py [cost] [store] [memory] [archive] [sketch] [cuts] [trials] [kills]

- `cost`: CPU per request and p99 latency, ledger on and off by turns (bounds: ratio 1.05, 1 ms).
- `store`: a synced flush of 100 lines to the ledger's log, to SQLite (WAL, synchronous=FULL) and to
  SQLite with a rollback journal, by turns.
- `memory`: 100,000 made-up tenants.
- `archive`: zstd on batches, by level, with and without a dictionary.
- `sketch`: bytes and CPU, compared with whole sets of ids and with sums by bucket.
- `cuts`: a power cut at each of the first 2,400 writes of a run.
- `trials`: 1,000 seeds with kills, power cuts and other faults, and one run of 20 minutes with some
  300 kills that hit a running process.
- `kills`: 30 kills of real processes.

The exit status is 1 if a part exceeds its bounds.  Without arguments all parts run.
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

START = 1_700_000_100  # Unix s: the period of the counted units
ROUNDS = 8  # rounds of `cost`, each with the ledger off and on
Flush = Callable[[dict[tuple[int, str | None, str], int]], None]
MAX_COST_RATIO, MAX_ADDED_P99_MS = 1.05, 1.0


async def cost(rate: float = 2000.0, seconds: float = 3.0) -> dict[str, object]:
    """CPU per request and p99 latency with the ledger on and off."""
    cpu_us: dict[str, list[float]] = {"off": [], "on": []}
    p99: dict[str, list[float]] = {"off": [], "on": []}
    resident: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        on = Path(folder) / "on.toml"
        on.write_text(f'[ledger]\nfolder = "{folder}/ledgers"\nids = true\n')
        off = Path(folder) / "off.toml"
        off.write_text("")
        async with harness.nodes(4, 200) as ports:
            for _ in range(ROUNDS):
                for name, path in (("off", off), ("on", on)):
                    async with harness.daemon(ports, operator=path) as daemon:
                        resident[name] = harness.resident_mb(daemon.pid)
                        used, generator = await measure_cpu(daemon, rate, seconds)
                        cpu_us[name].append(used)
                        times = sorted(
                            (request.ended_at - request.sent_at) * 1000.0
                            for request in generator.finished
                            if request.outcome == "served"
                        )
                        p99[name].append(times[int(0.99 * len(times))])
    ratio = statistics.mean(cpu_us["on"]) / statistics.mean(cpu_us["off"])
    added = statistics.median(p99["on"]) - statistics.median(p99["off"])
    return {
        "ratio": round(ratio, 3),
        "added_p99_ms": round(added, 3),
        "us": {name: [round(x, 1) for x in each] for name, each in cpu_us.items()},
        "p99_ms": {name: [round(x, 2) for x in each] for name, each in p99.items()},
        "rest_mb": {name: round(x, 1) for name, x in resident.items()},
        "held": ratio <= MAX_COST_RATIO and added <= MAX_ADDED_P99_MS,
    }


def store(flushes: int = 200, lines: int = 100) -> dict[str, object]:
    """Duration of a flush until it is on the disk, and size of the files at the end, by store."""
    rng = random.Random(1)
    periods = Periods("UTC", 15)
    durations_ms: dict[str, list[float]] = {"log": [], "sqlite wal": [], "sqlite rollback": []}
    sizes: dict[str, int] = {}
    for _ in range(2):
        for name in durations_ms:
            with tempfile.TemporaryDirectory() as folder:
                flush = (
                    _log_flush(Path(folder), periods)
                    if name == "log"
                    else _sqlite_flush(Path(folder), "WAL" if name.endswith("wal") else "DELETE")
                )
                for _ in range(flushes):
                    units: dict[tuple[int, str | None, str], int] = {
                        (START, f"t{rng.randrange(500)}", "lookup"): 1 for _ in range(lines)
                    }
                    started = time.perf_counter()
                    flush(units)
                    durations_ms[name].append((time.perf_counter() - started) * 1000.0)
                sizes[name] = sum(
                    path.stat().st_size for path in Path(folder).rglob("*") if path.is_file()
                )
    return {
        name: {
            "median_ms": round(statistics.median(each), 3),
            "p99_ms": round(sorted(each)[int(0.99 * len(each))], 3),
            "bytes": sizes[name],
        }
        for name, each in durations_ms.items()
    }


def _log_flush(folder: Path, periods: Periods) -> Flush:
    files = Folder(folder)
    files.lock()
    log, book = Store(files, "p"), Book(periods)
    log.open(book)
    log.rewrite(book.checkpoint())

    def flush(units: dict[tuple[int, str | None, str], int]) -> None:
        records = book.usage_records(START, units)
        for record in records:
            book.apply(record)
        log.commit(records, {}, ())

    return flush


def _sqlite_flush(folder: Path, mode: str) -> Flush:
    connection = sqlite3.connect(folder / "ledger.db", isolation_level=None)
    connection.execute(f"PRAGMA journal_mode={mode}")
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute(
        "CREATE TABLE units (period, tenant, class, units, "
        "PRIMARY KEY (period, tenant, class)) WITHOUT ROWID"
    )

    def flush(units: dict[tuple[int, str | None, str], int]) -> None:
        connection.execute("BEGIN IMMEDIATE")
        connection.executemany(
            "INSERT INTO units VALUES (?, ?, ?, ?) ON CONFLICT DO UPDATE "
            "SET units = units + excluded.units",
            [(*key, count) for key, count in units.items()],
        )
        connection.execute("COMMIT")

    return flush


def memory(tenants: int = 100_000) -> dict[str, object]:
    """Memory of counters and book after each quarter of new tenants, beside 500 regular ones."""
    tracemalloc.start()
    counters, book = UsageCounters(2000), Book(Periods("UTC", 15))
    for regular in range(500):
        counters.add(START - 900, f"regular{regular}", "lookup", b"")
    sizes_kib = []
    for number in range(tenants):
        counters.add(START, f"made-up-{number}", "lookup", b"")
        if number % 100 == 0:
            counters.add(START, f"regular{number // 100 % 500}", "lookup", b"")
        if number % (tenants // 4) == tenants // 4 - 1:
            for record in book.usage_records(START, counters.collect()[0]):
                book.apply(record)
            sizes_kib.append(round(tracemalloc.get_traced_memory()[0] / 1024))
    tracemalloc.stop()
    named = {tenant for tenant, _ in book.unbatched_units[START] if tenant is not None}
    # Estimate of the archive: 500 tenants by 5 classes, 96 periods a day, 400 days, 710 proxies.
    batch = Batch(
        1,
        "period",
        START,
        [(f"t{t:03d}", f"class{c}", 9) for t in range(500) for c in range(5)],
        "p/1.x/1",
    )
    compressed_bytes = len(zstandard.ZstdCompressor(level=6).compress(json_lines(batch)))
    return {
        "kib": sizes_kib,
        "named": len(named),
        "regulars_kept": sum(name.startswith("regular") for name in named),
        "units": book.total_units(START),
        "period_bytes": compressed_bytes,
        "gb_a_proxy_400_days": round(compressed_bytes * 96 * 400 / 1e9, 3),
        "held": sizes_kib[-1] <= sizes_kib[0] * 1.2,
    }


def archive() -> dict[str, object]:
    """Bytes and ms of a compressed batch by level; the dictionary is trained on earlier batches."""
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
    dictionary = zstandard.train_dictionary(32 * 1024, [*samples[:150]])
    results: dict[str, object] = {"raw_bytes": len(samples[-1])}
    for level in (1, 3, 6, 12, 19):
        for name, options in (("", {}), (" with dictionary", {"dict_data": dictionary})):
            compressor = zstandard.ZstdCompressor(level=level, **options)  # type: ignore[arg-type]
            started = time.perf_counter()
            sizes = [len(compressor.compress(sample)) for sample in samples[150:]]
            results[f"level {level}{name}"] = {
                "bytes": round(statistics.mean(sizes)),
                "ms": round((time.perf_counter() - started) / 50 * 1000.0, 3),
            }
    return results


def sketch(size: int = 1_000_000) -> dict[str, object]:
    """Bytes sent and CPU time in s of both sides, by method and number of differing ids."""
    base = np.random.default_rng(7).integers(0, 2**64, size, np.uint64)
    table: dict[str, object] = {}
    for differ in (1, 100, 10_000):
        ours, theirs = base, base[differ:]
        before = time.process_time()
        strata = [Strata(np.unique(side)) for side in (ours, theirs)]
        estimate = strata[0].differ(strata[1])
        retries, sent_bytes, capacity = 0, STRATA * STRATUM * 20, max(1, int(estimate * 1.5))
        while True:
            sides = [Sketch.of(side, capacity) for side in (ours, theirs)]
            sent_bytes += sides[0].table.cells * 20
            difference = sides[0].compare(sides[1])
            if not isinstance(difference, int):
                break
            retries, capacity = retries + 1, difference
        used = time.process_time() - before
        assert len(difference[0]) + len(difference[1]) == differ
        before = time.process_time()
        exact = np.setxor1d(ours, theirs, assume_unique=True)
        exact_used = time.process_time() - before
        before = time.process_time()
        buckets = int((size * differ) ** 0.5)  # as many bytes for the sums as for the ids then sent
        sums = []
        for side in (ours, theirs):
            sums.append(np.zeros(buckets, np.uint64))
            np.add.at(sums[-1], (mix(side, 9) % np.uint64(buckets)).astype(np.int64), mix(side, 8))
        differing = np.flatnonzero(sums[0] != sums[1])
        bucket_of_ids = (mix(ours, 9) % np.uint64(buckets)).astype(np.int64)
        resent = int(np.isin(bucket_of_ids, differing).sum())
        sums_used = time.process_time() - before
        assert len(exact) == differ
        table[str(differ)] = {
            "sketch": {
                "bytes": sent_bytes,
                "cpu_s": round(used, 2),
                "fell_back": retries,
                "estimated": estimate,
            },
            "whole set": {"bytes": 8 * size, "cpu_s": round(exact_used, 2)},
            "sums by bucket": {"bytes": 8 * buckets + 8 * resent, "cpu_s": round(sums_used, 2)},
        }
    too_small = 0
    for salt in range(200):
        ids = np.random.default_rng(salt).integers(0, 2**64, 2000, np.uint64)
        estimate = Strata(ids).differ(Strata(ids[100:]))
        sides = [Sketch.of(side, int(estimate * 1.5)) for side in (ids, ids[100:])]
        too_small += isinstance(sides[0].compare(sides[1]), int)
    table["fell back, of 200 with 100 that differ"] = too_small
    return table


def _run_power_cut(write: int) -> tuple[int, int, int]:
    logging.disable(logging.CRITICAL)
    outcome = run_trial(
        Trial(write, minutes=9.0, kills=0, fail_power_at=write, faults=False, clock_steps=False)
    )
    return outcome.killed, outcome.excess, outcome.missing


def cuts(points: int = 2400) -> dict[str, object]:
    """Cut the power at each write; units of one flush and of the write in progress may be lost."""
    started = time.monotonic()
    with multiprocessing.get_context("spawn").Pool() as pool:
        outcomes = pool.map(_run_power_cut, range(1, points + 1), chunksize=20)
    return {
        "points": sum(killed == 1 for killed, _, _ in outcomes),
        "doubled": sum(excess for _, excess, _ in outcomes),
        "missing_most": max(missing for _, _, missing in outcomes),
        "missing_mean": round(statistics.mean(missing for _, _, missing in outcomes), 2),
        "seconds": round(time.monotonic() - started, 1),
        "held": not any(excess for _, excess, _ in outcomes),
    }


def _run_seed(seed: int) -> tuple[int, int, int, int, int]:
    logging.disable(logging.CRITICAL)
    rng = random.Random(seed)
    outcome = run_trial(
        Trial(
            seed,
            minutes=12.0,
            kills=rng.randint(0, 20),
            power_failures=rng.randint(0, 4),
            restore_disk=seed % 5 == 0,
        )
    )
    excess = sum((outcome.billed - outcome.served).values())
    return excess, outcome.missing, sum(outcome.served.values()), outcome.killed, seed % 5 == 0


def trials(seeds: int = 1000) -> dict[str, object]:
    """Run seeds with any mixture of faults, then one with some 300 kills of a running process."""
    started = time.monotonic()
    with multiprocessing.get_context("spawn").Pool() as pool:
        outcomes = pool.map(_run_seed, range(10_000, 10_000 + seeds), chunksize=5)
    elapsed = time.monotonic() - started
    not_restored = [each for each in outcomes if not each[4]]  # no old disk restored
    logging.disable(logging.CRITICAL)
    many_kills = run_trial(Trial(1, minutes=20.0, kills=500))
    return {
        "seeds": len(outcomes),
        "over": sum(each[0] for each in outcomes),
        "served": sum(each[2] for each in outcomes),
        "killed": sum(each[3] for each in outcomes),
        "missing_a_kill": round(
            sum(each[1] for each in not_restored) / max(1, sum(each[3] for each in not_restored)), 2
        ),
        "seconds": round(elapsed, 1),
        "many kills": {
            "killed": many_kills.killed,
            "served": sum(many_kills.served.values()),
            "billed": sum(many_kills.billed.values()),
            "missing": many_kills.missing,
            "at_risk": many_kills.at_risk,
            "doubled": many_kills.excess,
        },
        "held": not any(each[0] for each in outcomes)
        and not many_kills.excess
        and many_kills.missing == many_kills.at_risk,
    }


async def kills() -> dict[str, object]:
    """Kill real daemons; after the corrections, billed and served units must not differ."""
    with tempfile.TemporaryDirectory() as folder:
        report = await run_kills(Path(folder), kills=30, seconds=45.0)
    assert report.uncorrected is not None and report.corrected is not None
    return {
        "kills": report.kills,
        "served": sum(report.served.values()),
        "posts": report.posts,
        "doubled": report.excess,
        "short_before": report.uncorrected.short,
        "moved": report.uncorrected.moved,
        "differ_after": len(report.corrected.differences),
        "held": not report.excess and not report.corrected.differences,
    }


def main() -> int:
    """Print a line of JSON per part; return 1 if a part did not hold."""
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
        result = parts[name]()
        print(json.dumps({name: result}), flush=True)
        failed[name] += result.get("held") is False
    return int(any(failed.values()))


if __name__ == "__main__":
    sys.exit(main())
