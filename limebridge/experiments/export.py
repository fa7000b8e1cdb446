"""Exports the runs of an experiment as CSV or Parquet: a column per factor, measure, percentile."""

from __future__ import annotations

import csv
import json
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from .plan import MEASURES
from .store import Run

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
FIXED = ("experiment", "commit", "seed", "state", "why", "scenario", "machine", "seconds", "at")


def percentiles(
    times: bytes, percentiles_wanted: Sequence[float] = PERCENTILES
) -> dict[str, float]:
    """Percentiles of the latency in ms, from the histogram of a run."""
    from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

    histogram = HdrHistogram.decode(times)
    return {
        f"p{percentile:g}_ms": histogram.get_value_at_percentile(percentile) / 1000.0
        for percentile in percentiles_wanted
    }


def flat(rows: Iterable[Run]) -> list[dict[str, Any]]:
    """The runs as dicts with the same columns in the same order; missing values are None."""
    parsed, factors = [], dict[str, None]()
    for row in rows:
        point = json.loads(row.point)
        factors |= dict.fromkeys(point)
        parsed.append((row, point))
    names = [f"p{percentile:g}_ms" for percentile in PERCENTILES]
    table = []
    for row, point in parsed:
        times = percentiles(row.times) if row.times else {}
        table.append(
            {name: getattr(row, name) for name in FIXED}
            | {f"factor.{name}": point.get(name) for name in factors}
            | {name: row.measures.get(name) for name in MEASURES}
            | {f"answers.{name}": times.get(name) for name in names}
        )
    return table


def write(rows: Sequence[dict[str, Any]], path: Path) -> None:
    """Write rows to a .csv or .parquet file; ValueError for another suffix or without rows."""
    if not rows:
        raise ValueError("no rows")
    if path.suffix == ".csv":
        with path.open("w", newline="") as file:
            writer = csv.DictWriter(file, list(rows[0]))
            writer.writeheader()
            writer.writerows(rows)
    elif path.suffix == ".parquet":
        _parquet(rows, path)
    else:
        raise ValueError("the file name must end in .csv or .parquet")


def _parquet(rows: Sequence[dict[str, Any]], path: Path) -> None:
    import duckdb

    def column_type(name: str) -> str:
        values = [row[name] for row in rows if row[name] is not None]
        if values and all(isinstance(v, int) and not isinstance(v, bool) for v in values):
            return "BIGINT"
        numbers = values and all(
            isinstance(v, int | float) and not isinstance(v, bool) for v in values
        )
        return "DOUBLE" if numbers else "VARCHAR"

    names = list(rows[0])
    column_types = {name: column_type(name) for name in names}
    with duckdb.connect() as db:
        columns = ", ".join(f'"{name.replace(chr(34), "")}" {column_types[name]}' for name in names)
        db.execute(f"CREATE TABLE t ({columns})")
        db.executemany(
            f"INSERT INTO t VALUES ({', '.join('?' * len(names))})",
            [
                [
                    row[n] if column_types[n] != "VARCHAR" or row[n] is None else str(row[n])
                    for n in names
                ]
                for row in rows
            ],
        )
        db.execute(
            f"COPY t TO '{str(path).replace(chr(39), chr(39) * 2)}' (FORMAT parquet, "
            "COMPRESSION zstd)"
        )
