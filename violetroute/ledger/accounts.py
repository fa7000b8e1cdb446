"""The accounts: units, periods and batches, as an event-sourced state machine.  Pure.

Methods that decide return records and change nothing; `apply` alone changes the book, with a new
record or with one read from the log.  So a restart restores exactly what the records say, and the
state after a crash is that of a prefix of them.

What counts (reasons in `docs/design/ledger.md`): a request is one unit of its tenant and class, in
the period in which the proxy sends the served answer to its client, by the wall clock.  Nothing
else counts: no refusal, failure, attempt, duplicate, or answer after the client has disconnected.

A period closes `grace_s` after its end: its units become a batch, which is immutable.  Units that
are counted for it later become a correction, a batch that names the period.  A batch is prepared
(on disk before it is visible outside), sent, and confirmed or held.  Its key never changes, so that
a billing endpoint recognizes a batch that it has already received.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

from .frames import VERSION, Record
from .periods import Periods

MAX_BATCH_LINES = 5000  # per batch; more lines make several batches
MAX_CLOSED_PERIODS = 10_000  # periods remembered as closed; older ones count as closed
MAX_GAPS = 1000
MAX_BATCHES_IN_MEMORY = 8  # batches whose lines stay in memory; later ones are in files
MAX_TENANT_BYTES = 256  # bytes; a longer name is cut and ends in a hash

Kind = Literal["period", "correction"]
Key = tuple[str | None, str]  # tenant (None: those counted together), class


@dataclass(slots=True)
class Batch:
    """Units of one period; immutable but for its state."""

    seq: int
    kind: Kind
    period: int
    lines: list[tuple[str | None, str, int]]
    key: str
    state: Literal["prepared", "sent", "held"] = "prepared"
    reason: str = ""  # why it is held, or who signed it and in which file
    spilled_units: int | None = None  # sum of its lines while they are in a file; else None

    @property
    def units(self) -> int:
        """Sum of the lines, also while they are in a file."""
        return (
            sum(units for _, _, units in self.lines)
            if self.spilled_units is None
            else self.spilled_units
        )


@dataclass(slots=True)
class Book:
    """The accounts of one proxy.  `grace_s` is in s; all times are Unix seconds."""

    periods: Periods
    grace_s: float = 60.0
    name: str = ""
    incarnation: int = 0
    nonce: str = ""
    next_seq: int = 1
    last_key: str = ""  # key of the last confirmed batch
    # Units not yet in a batch, by period.
    unbatched_units: dict[int, dict[Key, int]] = field(default_factory=dict)
    closed: dict[int, None] = field(default_factory=dict)
    closed_before: int = 0  # earlier periods count as closed too
    batches: dict[int, Batch] = field(default_factory=dict)  # unconfirmed batches by number
    confirmed_units: dict[int, int] = field(default_factory=dict)  # units confirmed, by period
    gaps: list[tuple[float, float, str]] = field(default_factory=list)
    last_write_at: float = 0.0  # Unix s of the last record with a time
    closed_cleanly: bool = True  # whether the last process wrote an "end" record
    applied_corrections: dict[str, None] = field(default_factory=dict)  # "FILE/PERIOD", if signed
    late_since: float | None = None  # since when units of closed periods wait for a correction

    # --- decisions: records to apply and write ---
    def begin_records(self, name: str, nonce: str, now: float) -> list[Record]:
        """A new process opens the book; before that, a gap if the last one did not close it."""
        records: list[Record] = []
        if not self.closed_cleanly:  # the last process's unwritten units are lost
            records += self.gap_records(self.last_write_at, now, "its process was killed")
        return [*records, ["begin", VERSION, name, self.incarnation + 1, nonce, now]]

    def end_records(self, now: float) -> list[Record]:
        """The record that the process ends, after all its units were written."""
        return [["end", now]]

    def heartbeat_records(self, now: float) -> list[Record]:
        """The record that there were no units until `now`, and that none was missed."""
        return [["alive", now]]

    def usage_records(
        self, now: float, units: Mapping[tuple[int, str | None, str], int]
    ) -> list[Record]:
        """The record of units served since the last one, by period, tenant and class."""
        return [["count", now, [[*key, count] for key, count in units.items()]]] if units else []

    def batch_records(self, now: float) -> list[Record]:
        """Batches of periods that now close, and corrections of periods that closed before."""
        records: list[Record] = []
        seq = self.next_seq
        for period in sorted(self.unbatched_units):
            if self._is_closed(period):
                due = self.late_since is not None and now >= self.late_since + self.grace_s
                kind: Kind = "correction"
            else:
                due = now >= self.periods.end(period) + self.grace_s
                kind = "period"
            if not due:
                continue
            lines = sorted(
                (
                    [tenant, cls, units]
                    for (tenant, cls), units in self.unbatched_units[period].items()
                ),
                key=lambda line: (line[0] is None, line[0] or "", line[1]),
            )
            for index in range(0, len(lines), MAX_BATCH_LINES):
                part = lines[index : index + MAX_BATCH_LINES]
                records.append(["batch", seq, kind, period, part, self._key(seq), ""])
                seq += 1
        return records

    def correction_records(
        self, file_name: str, signer: str, lines: Iterable[tuple[int, str | None, str, int]]
    ) -> list[Record]:
        """Corrections signed by an operator: period, tenant, class, units (may be negative).

        `file_name`: of the signed file.  A file found again after a crash is applied once.
        """
        by_period: dict[int, list[list[Any]]] = {}
        for period, tenant, cls, units in lines:
            if units and f"{file_name}/{period}" not in self.applied_corrections:
                by_period.setdefault(period, []).append([tenant, cls, units])
        return [
            [
                "batch",
                self.next_seq + index,
                "correction",
                period,
                period_lines,
                self._key(self.next_seq + index),
                f"{signer} {file_name}/{period}",
            ]
            for index, (period, period_lines) in enumerate(sorted(by_period.items()))
        ]

    def sent_records(self, seq: int) -> list[Record]:
        """The record that the batch is being sent, unless it was before.  KeyError if unknown."""
        return [] if self.batches[seq].state == "sent" else [["sent", seq]]

    def confirmed_records(self, seq: int) -> list[Record]:
        """The record that the endpoint confirmed the batch; none for an unknown one."""
        return [["done", seq]] if seq in self.batches else []

    def held_records(self, seq: int, why: str) -> list[Record]:
        """The record that the batch waits for an operator because of `why`; none if unknown."""
        return [["held", seq, why]] if seq in self.batches else []

    def spill_records(self) -> list[Record]:
        """Records that move lines of later batches to files: an endpoint may be down for days."""
        waiting = [batch for batch in self.batches.values() if batch.spilled_units is None]
        return [["away", batch.seq] for batch in waiting[MAX_BATCHES_IN_MEMORY:]]

    def restore_records(self, seq: int, lines: Iterable[Any]) -> list[Record]:
        """The record that loads the lines of a batch that were in a file."""
        return [["back", seq, list(lines)]]

    def gap_records(self, since: float, until: float, why: str) -> list[Record]:
        """The record that the ledger is incomplete from `since` to `until`."""
        return [["gap", since, until, why]]

    def adopt_records(self, last: str, billed: Iterable[int], now: float) -> list[Record]:
        """Adopt the endpoint's later state of this ledger.

        The disk is older than the exports (it was restored) or empty (it was lost).  `last`: the
        key of the endpoint's last batch.  `billed`: periods of its batches after the last one that
        is known here.  Units of these periods may be in those batches, so they are held for an
        operator: never billed twice, and not lost unnoticed.
        """
        billed_periods = set(billed)
        records: list[Record] = [["adopt", last]]
        for batch in self.batches.values():
            if batch.period in billed_periods and batch.state != "held":
                records.append(["held", batch.seq, "another life of this ledger has billed it"])
        seq = self.next_seq
        for period in sorted(billed_periods & self.unbatched_units.keys()):
            lines = [
                [tenant, cls, units]
                for (tenant, cls), units in self.unbatched_units[period].items()
            ]
            records.append(["batch", seq, "correction", period, lines, self._key(seq), ""])
            records.append(["held", seq, "another life of this ledger has billed it"])
            seq += 1
        since = float(max(billed_periods, default=0))
        records.append(["gap", since, now, "its disk is older than its bills"])
        return records

    # --- queries ---
    @property
    def next_batch(self) -> Batch | None:
        """The batch to export next; None if all are held or confirmed."""
        return next((batch for batch in self.batches.values() if batch.state != "held"), None)

    def closed_until(self, now: float) -> float:
        """The Unix second up to which every period is closed and confirmed.

        Held batches don't delay it: they wait for an operator and are billed as corrections.
        """
        waits = [period for period in self.unbatched_units if not self._is_closed(period)]
        waits += [batch.period for batch in self.batches.values() if batch.state != "held"]
        return float(min([self.periods.of(now - self.grace_s), *waits]))

    def total_units(self, period: int) -> int:
        """All units of a period, confirmed or not."""
        return (
            self.confirmed_units.get(period, 0)
            + sum(self.unbatched_units.get(period, {}).values())
            + sum(batch.units for batch in self.batches.values() if batch.period == period)
        )

    def _is_closed(self, period: int) -> bool:
        return period in self.closed or period < self.closed_before

    def _key(self, seq: int) -> str:
        return f"{self.name}/{self.incarnation}.{self.nonce}/{seq}"

    # --- state changes ---
    def apply(self, record: Record) -> None:
        """Apply one record.  ValueError if it is unknown or of a later version."""
        match record:
            case ["begin", version, name, incarnation, nonce, now]:
                if version > VERSION:
                    raise ValueError(f"written by a later version ({version})")
                self.name, self.incarnation, self.nonce = name, incarnation, nonce
                self.last_write_at, self.closed_cleanly = now, False
            case ["end", now]:
                self.last_write_at, self.closed_cleanly = now, True
            case ["alive", now]:
                self.last_write_at = now
            case ["state", state]:
                self._restore(state)
            case ["count", now, units]:
                self.last_write_at = now
                for period, tenant, cls, count in units:
                    counts = self.unbatched_units.setdefault(period, {})
                    counts[tenant, cls] = counts.get((tenant, cls), 0) + count
                    if self.late_since is None and self._is_closed(period):
                        self.late_since = now
            case ["batch", seq, kind, period, lines, key, why]:
                self._prepare(
                    Batch(seq, kind, period, [(t, c, n) for t, c, n in lines], key, reason=why),
                    from_counts=not why,
                )
            case ["sent", seq]:
                self.batches[seq].state = "sent"
            case ["away", seq]:
                batch = self.batches[seq]
                batch.spilled_units, batch.lines = batch.units, []
            case ["back", seq, lines]:
                batch = self.batches[seq]
                batch.lines, batch.spilled_units = [(t, c, n) for t, c, n in lines], None
            case ["done", seq]:
                batch = self.batches.pop(seq)
                self.last_key = batch.key
                self.confirmed_units[batch.period] = (
                    self.confirmed_units.get(batch.period, 0) + batch.units
                )
                while len(self.confirmed_units) > MAX_CLOSED_PERIODS:
                    del self.confirmed_units[next(iter(self.confirmed_units))]
            case ["held", seq, why]:
                self.batches[seq].state, self.batches[seq].reason = "held", why
            case ["adopt", last]:
                self.last_key = last
            case ["gap", since, until, why]:
                self.gaps = [*self.gaps[-MAX_GAPS:], (since, until, why)]
            case _:
                raise ValueError(f"unknown record {record[0]!r}")

    def _prepare(self, batch: Batch, from_counts: bool) -> None:
        self.batches[batch.seq] = batch
        self.next_seq = batch.seq + 1
        if not from_counts:  # signed by an operator: its units were not counted here
            self.applied_corrections[batch.reason.rpartition(" ")[2]] = None
            if len(self.applied_corrections) > MAX_CLOSED_PERIODS:
                del self.applied_corrections[next(iter(self.applied_corrections))]
            return
        counts = self.unbatched_units[batch.period]
        for tenant, cls, _ in batch.lines:
            del counts[tenant, cls]
        if not counts:
            del self.unbatched_units[batch.period]
        if not any(self._is_closed(period) for period in self.unbatched_units):
            self.late_since = None
        self.closed[batch.period] = None
        if len(self.closed) > MAX_CLOSED_PERIODS:
            oldest = min(self.closed)
            del self.closed[oldest]
            self.closed_before = oldest + 1

    def checkpoint(self) -> Record:
        """The whole book as one record, the first of each log file."""
        return [
            "state",
            {
                "version": VERSION,
                "name": self.name,
                "incarnation": self.incarnation,
                "nonce": self.nonce,
                "next_seq": self.next_seq,
                "last": self.last_key,
                "counts": [
                    [period, tenant, cls, units]
                    for period, counts in self.unbatched_units.items()
                    for (tenant, cls), units in counts.items()
                ],
                "closed": list(self.closed),
                "closed_before": self.closed_before,
                "billed": [list(item) for item in self.confirmed_units.items()],
                "batches": [
                    [b.seq, b.kind, b.period, b.lines, b.key, b.state, b.reason, b.spilled_units]
                    for b in self.batches.values()
                ],
                "gaps": [list(gap) for gap in self.gaps],
                "late_since": self.late_since,
                "seen_at": self.last_write_at,
                "ended": self.closed_cleanly,
                "marks": list(self.applied_corrections),
            },
        ]

    def _restore(self, state: Mapping[str, Any]) -> None:
        if state["version"] > VERSION:
            raise ValueError(f"written by a later version ({state['version']})")
        self.name, self.incarnation = state["name"], state["incarnation"]
        self.nonce, self.next_seq, self.last_key = state["nonce"], state["next_seq"], state["last"]
        self.unbatched_units = {}
        for period, tenant, cls, units in state["counts"]:
            self.unbatched_units.setdefault(period, {})[tenant, cls] = units
        self.closed = dict.fromkeys(state["closed"])
        self.closed_before = state["closed_before"]
        self.confirmed_units = {period: units for period, units in state["billed"]}
        self.batches = {
            each[0]: Batch(each[0], each[1], each[2], [(t, c, n) for t, c, n in each[3]], *each[4:])
            for each in state["batches"]
        }
        self.gaps = [(since, until, why) for since, until, why in state["gaps"]]
        self.late_since, self.applied_corrections = (
            state["late_since"],
            dict.fromkeys(state["marks"]),
        )
        self.last_write_at, self.closed_cleanly = state["seen_at"], state["ended"]
