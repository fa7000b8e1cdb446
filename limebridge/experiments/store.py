"""Where results last: one SQLite file, many writers, nothing counted twice.

A run is a row under (experiment, point, commit, seed), written once, whole, in one transaction, so
a kill at any time costs the runs that were under way and nothing else.  Who works on a run holds
a claim; a claim whose holder is gone is taken over.  Details are zstd, histograms are
HdrHistogram's own coding (it is compressed), so that any percentile can be asked later.
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
BUSY_S = 30.0  # s that one writer waits for another
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
Name = tuple[str, str, str, int]  # experiment, point, commit, seed


class StoreError(Exception):
    """One line: what is wrong with the store."""


@dataclass
class Run:
    """One row.  state: done, invalid, overtime, crashed."""

    experiment: str
    point: str
    commit: str
    seed: int
    scenario: str = ""  # its digest
    machine: str = ""
    state: str = "done"
    seconds: float = 0.0  # that it took
    at: float = 0.0  # Unix s
    measures: dict[str, float | None] = field(default_factory=dict)
    why: str = ""
    times: bytes | None = None
    detail: dict[str, Any] | None = None

    @property
    def name(self) -> Name:
        return (self.experiment, self.point, self.commit, self.seed)


class Store:
    """An open store.  StoreError where it can't be used."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self._db = sqlite3.connect(path, timeout=BUSY_S, isolation_level=None)
            self._db.execute("PRAGMA journal_mode = WAL")
            self._db.execute("PRAGMA synchronous = NORMAL")  # a power cut: the last runs again
            self._prepare()
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None
        self._holder = holder()

    def _prepare(self) -> None:
        with self._writing():
            there = {
                row[0]
                for row in self._db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")
            }
            if "meta" in there:
                (version,) = self._db.execute("SELECT version FROM meta").fetchone()
                if version > VERSION:
                    raise StoreError(
                        f"{self.path}: written by a later version ({version}; this "
                        f"one knows {VERSION})"
                    )
            elif there:
                raise StoreError(f"{self.path}: a database, and not a store of experiments")
            for line in SCHEMA.split(";\n"):
                self._db.execute(line)
            if "meta" not in there:
                self._db.execute("INSERT INTO meta VALUES (?)", (VERSION,))
            elif version < VERSION:  # version 1 had no detail
                if "detail" not in {r[1] for r in self._db.execute("PRAGMA table_info(runs)")}:
                    self._db.execute("ALTER TABLE runs ADD COLUMN detail BLOB")
                self._db.execute("UPDATE meta SET version = ?", (VERSION,))

    def _writing(self) -> _Transaction:
        return _Transaction(self._db, self.path)

    def close(self) -> None:
        self._db.close()

    # --- experiments ---
    def note(self, id_: str, name: str, question: str, file: str) -> None:
        """An experiment that is run here; its words may have changed."""
        with self._writing():
            self._db.execute(
                "INSERT INTO experiments VALUES (?, ?, ?, ?, ?) ON CONFLICT (id) DO UPDATE SET "
                "name = excluded.name, question = excluded.question, file = excluded.file",
                (id_, name, question, file, time.time()),
            )

    def experiments(self) -> list[tuple[str, str, str, dict[str, int], float]]:
        """id, name, question, runs by state, seconds of work."""
        found = []
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
            found.append((id_, name, question, states, total))
        return found

    # --- runs ---
    def claim(self, name: Name) -> bool:
        """Whether this process may work on a run: nobody has done it, nobody else does."""
        with self._writing():
            if self._db.execute(
                "SELECT 1 FROM runs WHERE experiment = ? AND point = ? AND "
                "commit_ = ? AND seed = ?",
                name,
            ).fetchone():
                return False
            held = self._db.execute(
                "SELECT holder FROM claims WHERE experiment = ? AND point = ? "
                "AND commit_ = ? AND seed = ?",
                name,
            ).fetchone()
            if held is not None and held[0] != self._holder and alive(held[0]):
                return False
            self._db.execute(
                "INSERT OR REPLACE INTO claims VALUES (?, ?, ?, ?, ?)", (*name, self._holder)
            )
            return True

    def release(self, name: Name) -> None:
        """It was not done after all."""
        with self._writing():
            self._drop(name)

    def _drop(self, name: Name) -> None:
        self._db.execute(
            "DELETE FROM claims WHERE experiment = ? AND point = ? AND commit_ = ? AND seed = ?",
            name,
        )

    def put(self, run: Run) -> bool:
        """One result, once: False when there is one already."""
        detail = None if run.detail is None else zstandard.compress(json.dumps(run.detail).encode())
        with self._writing():
            done = self._db.execute(
                "INSERT OR IGNORE INTO runs VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    *run.name,
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
            self._drop(run.name)
            return done.rowcount == 1

    def again(self, experiment: str, states: Iterable[str]) -> int:
        """Forget runs that came to nothing, so that they are played again, and all claims: also
        those of machines that are gone.  A run played twice by that is counted once."""
        with self._writing():
            self._db.execute("DELETE FROM claims WHERE experiment = ?", (experiment,))
            return sum(
                self._db.execute(
                    "DELETE FROM runs WHERE experiment = ? AND state = ?", (experiment, state)
                ).rowcount
                for state in states
            )

    def done(self, experiment: str) -> set[tuple[str, str, int]]:
        return set(
            self._db.execute(
                "SELECT point, commit_, seed FROM runs WHERE experiment = ?", (experiment,)
            )
        )

    def version(self) -> int:
        """Another number once another process has written."""
        return int(self._db.execute("PRAGMA data_version").fetchone()[0])

    def run(self, name: Name) -> Run | None:
        """One row, whole."""
        return next(
            self._rows(
                "times, detail", "experiment = ? AND point = ? AND commit_ = ? AND seed = ?", name
            ),
            None,
        )

    def runs(self, experiment: str, whole: bool = False) -> Iterator[Run]:
        """In the order of their names.  `whole`: with histogram and detail."""
        return self._rows(
            "times, detail" if whole else "NULL, NULL", "experiment = ?", (experiment,)
        )

    def _rows(self, more: str, where: str, values: tuple[object, ...]) -> Iterator[Run]:
        for row in self._db.execute(
            f"SELECT experiment, point, commit_, seed, scenario, machine, state, seconds, at, "
            f"measures, why, {more} FROM runs WHERE {where} ORDER BY point, commit_, seed",
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
    """BEGIN IMMEDIATE to COMMIT; a full disk or a lock is one line, and nothing half done stays."""

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
        except sqlite3.Error as failed:
            if self._db.in_transaction:
                self._db.execute("ROLLBACK")
            if error is None:
                raise StoreError(f"{self._path}: {failed}") from None
        if isinstance(error, sqlite3.Error):
            raise StoreError(f"{self._path}: {error}") from None


def holder() -> str:
    """This process, told apart from a later one with the same number."""
    return f"{os.uname().nodename}/{os.getpid()}/{_born(os.getpid())}"


def alive(told: str) -> bool:
    """Whether a holder still runs; of another machine's nobody can say, so it does."""
    node, pid, born = told.rsplit("/", 2)
    return node != os.uname().nodename or _born(int(pid)) == born


def _born(pid: int) -> str:
    """When it started, in the kernel's ticks; empty when there is no such process."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19]
    except (OSError, IndexError):
        return ""
