"""Finds the ids that only one of two sides has, from sketches sized by the difference.  Pure.

An invertible Bloom lookup table (Goodrich and Mitzenmacher 2011) with a strata estimate (Eppstein,
Goodrich, Uyeda, Varghese, "What's the difference?", 2011): a node sends a few kilobytes instead of
a million ids, and the differing ids are decoded from the difference of the two tables.  A cell
holds a count, the XOR of ids and the XOR of their check hashes.  Each id is in HASHES cells, one in
each part of the table.  An id that is alone in a cell is decoded and removed from its other cells;
this repeats.  Undecodable cells remain if the table is too small; the result is then an error, not
a guess.

Rateless tables (Yang, Gilad, Alizadeh 2024) are not used: they need no estimate, but an open
connection to the other side, while sketches are exchanged as files.  `benchmarks/ledger.py`
compares sketches with whole sets and with sums by bucket.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

Ids = npt.NDArray[np.uint64]
HASHES = 4  # cells per id; with 4, large tables can be decoded up to 0.77 ids per cell
SPARE = 1.6  # cells per id that is expected to differ
MIN_CELLS = 64  # of a table; small tables fail by chance
STRATA, STRATUM = 24, 48  # number of tables of the estimate, and cells per table
MAGIC = b"lbsketch1"


def mix(values: Ids, salt: int) -> Ids:
    """Hashes ids with the finalizer of splitmix64: the same result on every machine."""
    with np.errstate(over="ignore"):
        found = values + np.uint64((0x9E3779B97F4A7C15 * (salt + 1)) & 0xFFFFFFFFFFFFFFFF)
        found = (found ^ (found >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        found = (found ^ (found >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
        return found ^ (found >> np.uint64(31))


class Table:
    """An invertible Bloom lookup table; `cells` is rounded up to a multiple of HASHES."""

    def __init__(self, cells: int) -> None:
        self.part = -(-max(cells, HASHES) // HASHES)
        size = self.part * HASHES
        self.count: npt.NDArray[np.int64] = np.zeros(size, np.int64)
        self.ids: Ids = np.zeros(size, np.uint64)
        self.checks: Ids = np.zeros(size, np.uint64)

    @property
    def cells(self) -> int:
        """Number of cells, after rounding."""
        return len(self.count)

    def places(self, ids: Ids, number: int) -> npt.NDArray[np.int64]:
        """Cell index of each id in one part of the table."""
        hashed = mix(ids, number) % np.uint64(self.part)
        return hashed.astype(np.int64) + number * self.part

    def add(self, ids: Ids) -> None:
        """Adds ids, which must be distinct."""
        checks = mix(ids, HASHES)
        for number in range(HASHES):
            places = self.places(ids, number)
            self.count += np.bincount(places, minlength=self.cells)
            np.bitwise_xor.at(self.ids, places, ids)
            np.bitwise_xor.at(self.checks, places, checks)

    def less(self, other: Table) -> Table:
        """Subtracts a table.  Raises ValueError when the sizes differ."""
        if other.cells != self.cells:
            raise ValueError(f"tables of {self.cells} and {other.cells} cells")
        found = Table(self.cells)
        found.count = self.count - other.count
        found.ids, found.checks = self.ids ^ other.ids, self.checks ^ other.checks
        return found

    def read(self) -> tuple[list[int], list[int]] | None:
        """Decodes a difference: the ids of only the first side and of only the second, or None.

        None means that the table is too small or that its contents are noise.
        """
        count, ids, checks = self.count.copy(), self.ids.copy(), self.checks.copy()
        ours: list[int] = []
        theirs: list[int] = []
        ready = np.flatnonzero(np.abs(count) == 1)
        while len(ready):
            # Two cells of one id may be ready at the same time; the id is decoded once.
            alone = ready[(mix(ids[ready], HASHES) == checks[ready]) & (np.abs(count[ready]) == 1)]
            if not len(alone):
                break
            values, first = np.unique(ids[alone], return_index=True)
            signs = count[alone[first]]
            ours += [int(value) for value in values[signs > 0]]
            theirs += [int(value) for value in values[signs < 0]]
            if len(ours) + len(theirs) > self.cells:
                return None  # noise: decoding may not terminate
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
    """Estimates how many ids differ: exactly if few, else within a factor of about two."""

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
        """Estimates the number of ids that only one of the two sides has."""
        found = 0
        for number in range(STRATA - 1, -1, -1):
            read = self.tables[number].less(other.tables[number]).read()
            if read is None:
                return max(1, found) << (number + 1)
            found += len(read[0]) + len(read[1])
        return found


@dataclass
class Sketch:
    """What one side sends: strata for the estimate, and a table sized for expected differences."""

    strata: Strata
    table: Table

    @classmethod
    def of(cls, ids: Ids, differ: int) -> Sketch:
        """Builds the sketch of a set of ids, with room for `differ` differences."""
        unique = np.unique(ids)
        table = Table(max(MIN_CELLS, int(differ * SPARE)))
        table.add(unique)
        return cls(Strata(unique), table)

    def dump(self) -> bytes:
        """Encodes the sketch for `load`."""
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
        """Decodes a sketch.  Raises ValueError when `data` is not a complete sketch."""
        if not data.startswith(MAGIC):
            raise ValueError("not a sketch")
        try:
            place = len(MAGIC)
            number = int.from_bytes(data[place : place + 4], "little")
            if number != STRATA + 1:
                raise ValueError("a sketch of an unsupported shape")
            sizes = np.frombuffer(data, "<u4", number, place + 4)
            place += 4 + 4 * number
            tables = []
            for size in sizes:
                table = Table(int(size))
                if table.cells != size:
                    raise ValueError("a sketch of an unsupported shape")
                table.count = np.frombuffer(data, "<i4", size, place).astype(np.int64)
                table.ids = np.frombuffer(data, "<u8", size, place + 4 * size).astype(np.uint64)
                table.checks = np.frombuffer(data, "<u8", size, place + 12 * size).astype(np.uint64)
                place += 20 * int(size)
                tables.append(table)
        except (ValueError, MemoryError) as error:
            raise ValueError(f"a malformed or truncated sketch: {error}") from None
        if place != len(data):
            raise ValueError("extra bytes after the sketch")
        strata = Strata()
        strata.tables = tables[1:]
        return cls(strata, tables[0])

    def against(self, other: Sketch) -> tuple[list[int], list[int]] | int:
        """The ids that only this side has and only the other has.

        If they can't be decoded, the `differ` with which to build both sketches again.
        """
        if self.table.cells == other.table.cells:
            read = self.table.less(other.table).read()
            if read is not None:
                return read
        return int(max(1, self.strata.differ(other.strata)) * SPARE * 1.5)


def read_ids(data: bytes) -> Ids:
    """Reads an `ids-` file; a partial hash at its end is ignored."""
    return np.frombuffer(data[: len(data) // 8 * 8], "<u8").astype(np.uint64)
