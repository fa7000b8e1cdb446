"""The store of results: an SQLite file with many writers, in which no run is counted twice.

A run is a row with the key (experiment, point, commit, seed), written once, in one transaction, so
a kill at any time loses only the runs in progress.  A process that works on a run holds a claim;
the claim of a process that no longer exists is taken over.  Details are compressed with zstd.
Latency histograms have HdrHistogram's own compressed encoding, so any percentile can be computed
later.
"""

from __future__ import annotations

import json
import os
import sqlite3
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import zstandard

VERSION = 2
LOCK_TIMEOUT_S = 30.0  # s that a writer waits for the lock of another
DEFAULT = "experiments.sqlite"

SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (version INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS experiments (
    id TEXT PRIMARY KEY, name TEXT NOT NULL, question TEXT NOT NULL, file TEXT NOT NULL,
    made REAL NOT NULL);
CREATE TABLE IF NOT EXISTS runs (
    experiment TEXT NOT NULL, point TEXT NOT NULL, commit_ TEXT NOT NULL, seed INTEGER NOT NULL,
    scenario TEXT NOT NULL, machine TEXT NOT NULL, state TEXT NOT NULL, seconds REAL NOT NULL,
    at REAL NOT NULL, measures TEXT NOT NULL, why TEXT NOT NULL, times BLOB, detail BLOB,
    PRIMARY KEY (experiment, point, commit_, seed)) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS states ON runs (experiment, state, seconds);
CREATE TABLE IF NOT EXISTS claims (
    experiment TEXT NOT NULL, point TEXT NOT NULL, commit_ TEXT NOT NULL, seed INTEGER NOT NULL,
    holder TEXT NOT NULL, PRIMARY KEY (experiment, point, commit_, seed)) WITHOUT ROWID;
"""
RunKey = tuple[str, str, str, int]  # experiment, point, commit, seed


class StoreError(Exception):
    """The store can't be used; the message is one line."""


@dataclass
class Run:
    """A run and its result; `state` is done, invalid, overtime or crashed."""

    experiment: str
    point: str
    commit: str
    seed: int
    scenario: str = ""  # digest of the scenario
    machine: str = ""
    state: str = "done"
    seconds: float = 0.0  # duration
    at: float = 0.0  # Unix time of the end
    measures: dict[str, float | None] = field(default_factory=dict)
    why: str = ""  # reason of a state other than done
    times: bytes | None = None  # latency histogram
    detail: dict[str, Any] | None = None

    @property
    def key(self) -> RunKey:
        """What identifies the run in the store: experiment, point, commit and seed."""
        return (self.experiment, self.point, self.commit, self.seed)


class Store:
    """An open store.  Methods raise StoreError if the file can't be used."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self._db = sqlite3.connect(path, timeout=LOCK_TIMEOUT_S, isolation_level=None)
            self._db.execute("PRAGMA journal_mode = WAL")
            self._db.execute("PRAGMA synchronous = NORMAL")  # a power cut may lose the last runs
            self._prepare()
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None
        self._holder = own_holder_id()

    def _prepare(self) -> None:
        with self._transaction():
            tables = {
                row[0]
                for row in self._db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")
            }
            if "meta" in tables:
                (version,) = self._db.execute("SELECT version FROM meta").fetchone()
                if version > VERSION:
                    raise StoreError(
                        f"{self.path}: written by a later version ({version}; this "
                        f"version supports {VERSION})"
                    )
            elif tables:
                raise StoreError(f"{self.path}: a database, but not a store of experiments")
            for statement in SCHEMA.split(";\n"):
                self._db.execute(statement)
            if "meta" not in tables:
                self._db.execute("INSERT INTO meta VALUES (?)", (VERSION,))
            elif version < VERSION:  # version 1 had no column `detail`
                if "detail" not in {r[1] for r in self._db.execute("PRAGMA table_info(runs)")}:
                    self._db.execute("ALTER TABLE runs ADD COLUMN detail BLOB")
                self._db.execute("UPDATE meta SET version = ?", (VERSION,))

    def _transaction(self) -> _Transaction:
        return _Transaction(self._db, self.path)

    def close(self) -> None:
        """Close the database; the store can't be used afterwards."""
        self._db.close()

    # --- experiments ---
    def record_experiment(self, id_: str, name: str, question: str, file: str) -> None:
        """Add an experiment, or update its name, question and file."""
        with self._transaction():
            self._db.execute(
                "INSERT INTO experiments VALUES (?, ?, ?, ?, ?) ON CONFLICT (id) DO UPDATE SET "
                "name = excluded.name, question = excluded.question, file = excluded.file",
                (id_, name, question, file, time.time()),
            )

    def experiments(self) -> list[tuple[str, str, str, dict[str, int], float]]:
        """All experiments: id, name, question, number of runs by state, total seconds of runs."""
        summaries = []
        for id_, name, question in self._db.execute(
            "SELECT id, name, question FROM experiments ORDER BY name"
        ).fetchall():
            states: dict[str, int] = {}
            total = 0.0
            for state, count, seconds in self._db.execute(
                "SELECT state, count(*), sum(seconds) FROM runs WHERE experiment = ? "
                "GROUP BY state",
                (id_,),
            ):
                states[state], total = count, total + seconds
            summaries.append((id_, name, question, states, total))
        return summaries

    # --- runs ---
    def claim(self, key: RunKey) -> bool:
        """Claim a run; False if it has a result or another live process holds the claim."""
        with self._transaction():
            if self._db.execute(
                "SELECT 1 FROM runs WHERE experiment = ? AND point = ? AND "
                "commit_ = ? AND seed = ?",
                key,
            ).fetchone():
                return False
            holder = self._db.execute(
                "SELECT holder FROM claims WHERE experiment = ? AND point = ? "
                "AND commit_ = ? AND seed = ?",
                key,
            ).fetchone()
            if holder is not None and holder[0] != self._holder and is_alive(holder[0]):
                return False
            self._db.execute(
                "INSERT OR REPLACE INTO claims VALUES (?, ?, ?, ?, ?)", (*key, self._holder)
            )
            return True

    def release(self, key: RunKey) -> None:
        """Give up the claim of a run that was not completed."""
        with self._transaction():
            self._delete_claim(key)

    def _delete_claim(self, key: RunKey) -> None:
        self._db.execute(
            "DELETE FROM claims WHERE experiment = ? AND point = ? AND commit_ = ? AND seed = ?",
            key,
        )

    def add_run(self, run: Run) -> bool:
        """Store a result and delete its claim; False, without a change, if there is one already."""
        detail = None if run.detail is None else zstandard.compress(json.dumps(run.detail).encode())
        with self._transaction():
            inserted = self._db.execute(
                "INSERT OR IGNORE INTO runs VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    *run.key,
                    run.scenario,
                    run.machine,
                    run.state,
                    run.seconds,
                    run.at,
                    json.dumps(run.measures),
                    run.why,
                    run.times,
                    detail,
                ),
            )
            self._delete_claim(run.key)
            return inserted.rowcount == 1

    def forget_runs(self, experiment: str, states: Iterable[str]) -> int:
        """Delete the runs in these states, so that they are executed again, and all claims.

        Claims of other machines, which are never taken over, are deleted too.  If a run is executed
        twice because of that, it still counts once.  Returns the number of deleted runs.
        """
        with self._transaction():
            self._db.execute("DELETE FROM claims WHERE experiment = ?", (experiment,))
            return sum(
                self._db.execute(
                    "DELETE FROM runs WHERE experiment = ? AND state = ?", (experiment, state)
                ).rowcount
                for state in states
            )

    def completed_runs(self, experiment: str) -> set[tuple[str, str, int]]:
        """The (point, commit, seed) of all recorded runs of an experiment, whatever their state."""
        return set(
            self._db.execute(
                "SELECT point, commit_, seed FROM runs WHERE experiment = ?", (experiment,)
            )
        )

    def version(self) -> int:
        """A number that changes when another connection has written to the store."""
        return int(self._db.execute("PRAGMA data_version").fetchone()[0])

    def run(self, key: RunKey) -> Run | None:
        """One run with histogram and details, or None."""
        return next(
            self._select(
                "times, detail", "experiment = ? AND point = ? AND commit_ = ? AND seed = ?", key
            ),
            None,
        )

    def runs(self, experiment: str, with_details: bool = False) -> Iterator[Run]:
        """The runs of an experiment in order of their keys; histogram and details on request."""
        return self._select(
            "times, detail" if with_details else "NULL, NULL", "experiment = ?", (experiment,)
        )

    def _select(self, columns: str, where: str, values: tuple[object, ...]) -> Iterator[Run]:
        for row in self._db.execute(
            f"SELECT experiment, point, commit_, seed, scenario, machine, state, seconds, at, "
            f"measures, why, {columns} FROM runs WHERE {where} ORDER BY point, commit_, seed",
            values,
        ):
            detail = None if row[12] is None else json.loads(zstandard.decompress(row[12]))
            yield Run(
                row[0],
                row[1],
                row[2],
                row[3],
                row[4],
                row[5],
                row[6],
                row[7],
                row[8],
                json.loads(row[9]),
                row[10],
                row[11],
                detail,
            )


class _Transaction:
    """BEGIN IMMEDIATE to COMMIT, or ROLLBACK after an error; SQLite errors become StoreError."""

    def __init__(self, db: sqlite3.Connection, path: Path) -> None:
        self._db, self._path = db, path

    def __enter__(self) -> None:
        try:
            self._db.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as error:
            raise StoreError(f"{self._path}: {error}") from None

    def __exit__(self, kind: object, error: BaseException | None, trace: object) -> None:
        try:
            self._db.execute("ROLLBACK" if error is not None else "COMMIT")
        except sqlite3.Error as failure:
            if self._db.in_transaction:
                self._db.execute("ROLLBACK")
            if error is None:
                raise StoreError(f"{self._path}: {failure}") from None
        if isinstance(error, sqlite3.Error):
            raise StoreError(f"{self._path}: {error}") from None


def own_holder_id() -> str:
    """Identifies this process, and no later one with the same pid."""
    return f"{os.uname().nodename}/{os.getpid()}/{_start_ticks(os.getpid())}"


def is_alive(holder_id: str) -> bool:
    """Whether a holder still runs; assumed for other machines, where it can't be checked."""
    node, pid, started = holder_id.rsplit("/", 2)
    return node != os.uname().nodename or _start_ticks(int(pid)) == started


def _start_ticks(pid: int) -> str:
    """Start time of a process in clock ticks since boot; empty if there is no such process."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19]
    except (OSError, IndexError):
        return ""
