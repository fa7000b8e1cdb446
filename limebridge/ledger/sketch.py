"""Which ids two sides do not share, told by a sketch of the size of the difference.  Pure.

An invertible Bloom lookup table (Goodrich and Mitzenmacher 2011) with a strata estimate (Eppstein,
Goodrich, Uyeda, Varghese, "What's the difference?", 2011): a node sends some kilobytes in place of
a million ids, and what differs is read out of the two tables' difference. Cells hold a count, the
exclusive-or of ids and of their checks; each id stands in HASHES cells, one in each part of the
table. An id whose cell nobody else shares is read and taken out of its other cells, and so on; a
table that is too small ends with cells that cannot be read, and that is told, not guessed.

Weighed: rateless tables (Yang, Gilad, Alizadeh 2024) need no estimate, but a line to the other side
that stays open; these files go by post. `benchmarks/ledger.py` measures both sides of the choice
against whole sets and against sums by bucket.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

Ids = npt.NDArray[np.uint64]
HASHES = 4  # cells of an id; with 4 a table can be read up to 0.77 ids a cell, as it grows
SPARE = 1.6  # cells for each id that is expected to differ
LEAST = 64  # cells of a table: small ones fail by chance
STRATA, STRATUM = 24, 48  # tables of the estimate, and their cells
MAGIC = b"lbsketch1"


def mix(values: Ids, salt: int) -> Ids:
    """splitmix64's last steps, by which equal ids hash alike everywhere."""
    with np.errstate(over="ignore"):
        found = values + np.uint64((0x9E3779B97F4A7C15 * (salt + 1)) & 0xFFFFFFFFFFFFFFFF)
        found = (found ^ (found >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        found = (found ^ (found >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
        return found ^ (found >> np.uint64(31))


class Table:
    """`cells` is rounded up to a multiple of HASHES."""

    def __init__(self, cells: int) -> None:
        self.part = -(-max(cells, HASHES) // HASHES)
        size = self.part * HASHES
        self.count: npt.NDArray[np.int64] = np.zeros(size, np.int64)
        self.ids: Ids = np.zeros(size, np.uint64)
        self.checks: Ids = np.zeros(size, np.uint64)

    @property
    def cells(self) -> int:
        return len(self.count)

    def places(self, ids: Ids, number: int) -> npt.NDArray[np.int64]:
        """Where ids stand in one part."""
        hashed = mix(ids, number) % np.uint64(self.part)
        return hashed.astype(np.int64) + number * self.part

    def add(self, ids: Ids) -> None:
        """Each id once: a set."""
        checks = mix(ids, HASHES)
        for number in range(HASHES):
            places = self.places(ids, number)
            self.count += np.bincount(places, minlength=self.cells)
            np.bitwise_xor.at(self.ids, places, ids)
            np.bitwise_xor.at(self.checks, places, checks)

    def less(self, other: Table) -> Table:
        """The table of what differs.  ValueError when they are of different sizes."""
        if other.cells != self.cells:
            raise ValueError(f"tables of {self.cells} and {other.cells} cells")
        found = Table(self.cells)
        found.count = self.count - other.count
        found.ids, found.checks = self.ids ^ other.ids, self.checks ^ other.checks
        return found

    def read(self) -> tuple[list[int], list[int]] | None:
        """The ids that only the first side has, and only the second; None if it can't be read."""
        count, ids, checks = self.count.copy(), self.ids.copy(), self.checks.copy()
        ours: list[int] = []
        theirs: list[int] = []
        ready = np.flatnonzero(np.abs(count) == 1)
        while len(ready):
            # Two cells of one id may be ready together: each id once.
            alone = ready[(mix(ids[ready], HASHES) == checks[ready]) & (np.abs(count[ready]) == 1)]
            if not len(alone):
                break
            values, first = np.unique(ids[alone], return_index=True)
            signs = count[alone[first]]
            ours += [int(value) for value in values[signs > 0]]
            theirs += [int(value) for value in values[signs < 0]]
            if len(ours) + len(theirs) > self.cells:
                return None  # it goes round in circles: noise
            touched = []
            for number in range(HASHES):
                places = self.places(values, number)
                np.subtract.at(count, places, signs)
                np.bitwise_xor.at(ids, places, values)
                np.bitwise_xor.at(checks, places, mix(values, HASHES))
                touched.append(places)
            ready = np.unique(np.concatenate(touched))
            ready = ready[np.abs(count[ready]) == 1]
        if count.any() or ids.any() or checks.any():
            return None
        return ours, theirs


class Strata:
    """How many ids differ, within a factor of about two; small differences exactly."""

    def __init__(self, ids: Ids | None = None) -> None:
        self.tables = [Table(STRATUM) for _ in range(STRATA)]
        if ids is not None and len(ids):
            hashed = mix(ids, HASHES + 1) | np.uint64(1 << (STRATA - 1))
            low = hashed & (~hashed + np.uint64(1))
            level = np.log2(low.astype(np.float64)).astype(np.int64)
            for number in range(STRATA):
                part = ids[level == number]
                if len(part):
                    self.tables[number].add(part)

    def differ(self, other: Strata) -> int:
        found = 0
        for number in range(STRATA - 1, -1, -1):
            read = self.tables[number].less(other.tables[number]).read()
            if read is None:
                return max(1, found) << (number + 1)
            found += len(read[0]) + len(read[1])
        return found


@dataclass
class Sketch:
    """What one side sends: an estimate, and a table made for so many differences."""

    strata: Strata
    table: Table

    @classmethod
    def of(cls, ids: Ids, differ: int) -> Sketch:
        unique = np.unique(ids)
        table = Table(max(LEAST, int(differ * SPARE)))
        table.add(unique)
        return cls(Strata(unique), table)

    def dump(self) -> bytes:
        tables = [self.table, *self.strata.tables]
        head = np.array([table.cells for table in tables], "<u4").tobytes()
        parts = [MAGIC, len(tables).to_bytes(4, "little"), head]
        for table in tables:
            parts += [
                table.count.astype("<i4").tobytes(),
                table.ids.astype("<u8").tobytes(),
                table.checks.astype("<u8").tobytes(),
            ]
        return b"".join(parts)

    @classmethod
    def load(cls, data: bytes) -> Sketch:
        """ValueError where it is no sketch."""
        if not data.startswith(MAGIC):
            raise ValueError("no sketch")
        try:
            place = len(MAGIC)
            number = int.from_bytes(data[place : place + 4], "little")
            if number != STRATA + 1:
                raise ValueError("a sketch of another shape")
            sizes = np.frombuffer(data, "<u4", number, place + 4)
            place += 4 + 4 * number
            tables = []
            for size in sizes:
                table = Table(int(size))
                if table.cells != size:
                    raise ValueError("a sketch of another shape")
                table.count = np.frombuffer(data, "<i4", size, place).astype(np.int64)
                table.ids = np.frombuffer(data, "<u8", size, place + 4 * size).astype(np.uint64)
                table.checks = np.frombuffer(data, "<u8", size, place + 12 * size).astype(np.uint64)
                place += 20 * int(size)
                tables.append(table)
        except (ValueError, MemoryError) as error:
            raise ValueError(f"a sketch that broke off: {error}") from None
        if place != len(data):
            raise ValueError("bytes behind a sketch")
        strata = Strata()
        strata.tables = tables[1:]
        return cls(strata, tables[0])

    def against(self, other: Sketch) -> tuple[list[int], list[int]] | int:
        """What only we have and only they have; or how many cells would be needed to tell."""
        if self.table.cells == other.table.cells:
            read = self.table.less(other.table).read()
            if read is not None:
                return read
        return int(max(1, self.strata.differ(other.strata)) * SPARE * 1.5)


def read_ids(data: bytes) -> Ids:
    """Of an `ids-` file; a hash that was torn at its end is left out."""
    return np.frombuffer(data[: len(data) // 8 * 8], "<u8").astype(np.uint64)
