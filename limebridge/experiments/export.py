"""The rows of an experiment as CSV or Parquet: a column a factor, a measure, a percentile."""

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


def percentiles(times: bytes, wanted: Sequence[float] = PERCENTILES) -> dict[str, float]:
    """Of answers, in ms, from a row's histogram."""
    from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

    found = HdrHistogram.decode(times)
    return {f"p{share:g}_ms": found.get_value_at_percentile(share) / 1000.0 for share in wanted}


def flat(rows: Iterable[Run]) -> list[dict[str, Any]]:
    """All with the same columns, in the same order; what a row lacks is None."""
    made, factors = [], dict[str, None]()
    for row in rows:
        point = json.loads(row.point)
        factors |= dict.fromkeys(point)
        made.append((row, point))
    names = [f"p{share:g}_ms" for share in PERCENTILES]
    told = []
    for row, point in made:
        times = percentiles(row.times) if row.times else {}
        told.append(
            {name: getattr(row, name) for name in FIXED}
            | {f"factor.{name}": point.get(name) for name in factors}
            | {name: row.measures.get(name) for name in MEASURES}
            | {f"answers.{name}": times.get(name) for name in names}
        )
    return told


def write(rows: Sequence[dict[str, Any]], path: Path) -> None:
    """By the file's ending: .csv or .parquet.  ValueError for another one, or no row."""
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
        raise ValueError("ends in .csv or .parquet")


def _parquet(rows: Sequence[dict[str, Any]], path: Path) -> None:
    import duckdb

    def kind(name: str) -> str:
        values = [row[name] for row in rows if row[name] is not None]
        if values and all(isinstance(v, int) and not isinstance(v, bool) for v in values):
            return "BIGINT"
        numbers = values and all(
            isinstance(v, int | float) and not isinstance(v, bool) for v in values
        )
        return "DOUBLE" if numbers else "VARCHAR"

    names = list(rows[0])
    kinds = {name: kind(name) for name in names}
    with duckdb.connect() as db:
        columns = ", ".join(f'"{name.replace(chr(34), "")}" {kinds[name]}' for name in names)
        db.execute(f"CREATE TABLE t ({columns})")
        db.executemany(
            f"INSERT INTO t VALUES ({', '.join('?' * len(names))})",
            [
                [row[n] if kinds[n] != "VARCHAR" or row[n] is None else str(row[n]) for n in names]
                for row in rows
            ],
        )
        db.execute(
            f"COPY t TO '{str(path).replace(chr(39), chr(39) * 2)}' (FORMAT parquet, "
            "COMPRESSION zstd)"
        )
