"""Finds the ids that only one of two sides has, from sketches sized by the difference.

A sketch is an invertible Bloom lookup table (Goodrich and Mitzenmacher 2011) with a strata estimate
(Eppstein, Goodrich, Uyeda, Varghese, "What's the difference?", 2011).  A node sends a few kilobytes
instead of a million ids, and the differing ids are decoded from the difference of the two tables.
A cell holds a count, the XOR of ids and the XOR of their check hashes.  Each id is in HASHES cells,
one in each part of the table.  The decoder repeatedly finds ids that are alone in a cell and
removes them from their other cells.  If the table is too small, cells remain that cannot be
decoded; the result is then an error, not a guess.

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
CELLS_PER_ID = 1.6  # cells per id that is expected to differ
MIN_CELLS = 64  # cells of a table; in smaller ones decoding often fails by chance
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
    """An invertible Bloom lookup table; its size is rounded up to a multiple of HASHES cells."""

    def __init__(self, cells: int) -> None:
        self.part_cells = -(-max(cells, HASHES) // HASHES)
        size = self.part_cells * HASHES
        self.count: npt.NDArray[np.int64] = np.zeros(size, np.int64)
        self.ids: Ids = np.zeros(size, np.uint64)
        self.checks: Ids = np.zeros(size, np.uint64)

    @property
    def cells(self) -> int:
        """Number of cells, after rounding."""
        return len(self.count)

    def cell_indices(self, ids: Ids, number: int) -> npt.NDArray[np.int64]:
        """Returns the index of each id's cell in part `number` of the table."""
        hashed = mix(ids, number) % np.uint64(self.part_cells)
        return hashed.astype(np.int64) + number * self.part_cells

    def add(self, ids: Ids) -> None:
        """Adds ids, which must be distinct."""
        checks = mix(ids, HASHES)
        for number in range(HASHES):
            indices = self.cell_indices(ids, number)
            self.count += np.bincount(indices, minlength=self.cells)
            np.bitwise_xor.at(self.ids, indices, ids)
            np.bitwise_xor.at(self.checks, indices, checks)

    def subtract(self, other: Table) -> Table:
        """Returns the difference of two tables.  Raises ValueError when their sizes differ."""
        if other.cells != self.cells:
            raise ValueError(f"tables of {self.cells} and {other.cells} cells")
        difference = Table(self.cells)
        difference.count = self.count - other.count
        difference.ids, difference.checks = self.ids ^ other.ids, self.checks ^ other.checks
        return difference

    def decode(self) -> tuple[list[int], list[int]] | None:
        """Decodes a difference into the ids of only the first side and those of only the second.

        Returns None if the table is too small or its contents are not a difference of tables.
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
                return None  # invalid contents, for which decoding may not terminate
            touched_cells = []
            for number in range(HASHES):
                indices = self.cell_indices(values, number)
                np.subtract.at(count, indices, signs)
                np.bitwise_xor.at(ids, indices, values)
                np.bitwise_xor.at(checks, indices, mix(values, HASHES))
                touched_cells.append(indices)
            ready = np.unique(np.concatenate(touched_cells))
            ready = ready[np.abs(count[ready]) == 1]
        if count.any() or ids.any() or checks.any():
            return None
        return ours, theirs


class Strata:
    """Tables that estimate how many ids differ: exactly if few, else within a factor of about two.

    Table k holds each id with probability 2**-(k + 1); the last table also holds the rest.
    """

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
            decoded = self.tables[number].subtract(other.tables[number]).decode()
            if decoded is None:
                return max(1, found) << (number + 1)
            found += len(decoded[0]) + len(decoded[1])
        return found


@dataclass
class Sketch:
    """Sketch of one side's ids: strata for the estimate, and a table sized for the difference."""

    strata: Strata
    table: Table

    @classmethod
    def of(cls, ids: Ids, differ: int) -> Sketch:
        """Builds the sketch of a set of ids, with room for `differ` differences."""
        unique = np.unique(ids)
        table = Table(max(MIN_CELLS, int(differ * CELLS_PER_ID)))
        table.add(unique)
        return cls(Strata(unique), table)

    def dump(self) -> bytes:
        """Encodes the sketch; `load` decodes it."""
        tables = [self.table, *self.strata.tables]
        sizes = np.array([table.cells for table in tables], "<u4").tobytes()
        parts = [MAGIC, len(tables).to_bytes(4, "little"), sizes]
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
            offset = len(MAGIC)
            number = int.from_bytes(data[offset : offset + 4], "little")
            if number != STRATA + 1:
                raise ValueError("a sketch of an unsupported shape")
            sizes = np.frombuffer(data, "<u4", number, offset + 4)
            offset += 4 + 4 * number
            tables = []
            for size in sizes:
                table = Table(int(size))
                if table.cells != size:
                    raise ValueError("a sketch of an unsupported shape")
                table.count = np.frombuffer(data, "<i4", size, offset).astype(np.int64)
                table.ids = np.frombuffer(data, "<u8", size, offset + 4 * size).astype(np.uint64)
                table.checks = np.frombuffer(data, "<u8", size, offset + 12 * size).astype(
                    np.uint64
                )
                offset += 20 * int(size)
                tables.append(table)
        except (ValueError, MemoryError) as error:
            raise ValueError(f"a malformed or truncated sketch: {error}") from None
        if offset != len(data):
            raise ValueError("extra bytes after the sketch")
        strata = Strata()
        strata.tables = tables[1:]
        return cls(strata, tables[0])

    def compare(self, other: Sketch) -> tuple[list[int], list[int]] | int:
        """Returns the ids that only this side has and those that only the other side has.

        If they can't be decoded, returns the value of `differ` with which to build both sketches
        again.
        """
        if self.table.cells == other.table.cells:
            decoded = self.table.subtract(other.table).decode()
            if decoded is not None:
                return decoded
        return int(max(1, self.strata.differ(other.strata)) * CELLS_PER_ID * 1.5)


def read_ids(data: bytes) -> Ids:
    """Reads an `ids-` file; a partial hash at its end is ignored."""
    return np.frombuffer(data[: len(data) // 8 * 8], "<u8").astype(np.uint64)
