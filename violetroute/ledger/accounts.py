"""The accounts: what is counted, cut, prepared, sent and confirmed.  Pure.

Decisions return records; `apply` alone changes the book, with a record that has just been decided
or with one read from the log.  So what a restart finds is by construction what the records say,
and each crash is a prefix of them.

What counts (`docs/design/ledger.md` has the reasons): a request is one unit of its tenant and
class, in the period in which the proxy gives its client the served answer, by the wall clock.
Nothing else is: no refusal, no failure, no attempt, no second copy, no answer after the client had
gone.

A period closes `grace_s` after its end: its units become a batch, which never changes again.  What
is counted for it later becomes a correction, a batch that names the period.  A batch is prepared
(on disk before anybody hears of it), sent, and confirmed or held; it has one key for good, so a
billing endpoint that has seen the key takes it for the same batch.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

from .frames import VERSION, Record
from .periods import Periods

MAX_BATCH_LINES = 5000  # of a batch; more make several
MAX_CLOSED_PERIODS = 10_000  # periods remembered as closed; older ones are taken for closed
MAX_GAPS = 1000
MAX_BATCHES_IN_MEMORY = 8  # batches whose lines are; those behind them wait in files
MAX_TENANT_BYTES = 256  # bytes of a tenant; a longer one is told by its beginning and a hash

Kind = Literal["period", "correction"]
Key = tuple[str | None, str]  # tenant (None: those who had no place), class


@dataclass(slots=True)
class Batch:
    """Units of one period, for good."""

    seq: int
    kind: Kind
    period: int
    lines: list[tuple[str | None, str, int]]
    key: str
    state: Literal["prepared", "sent", "held"] = "prepared"
    reason: str = ""  # it is held, or who signed a correction
    spilled_units: int | None = (
        None  # its lines are in a file of their own, and come to so many units
    )

    @property
    def units(self) -> int:
        """Sum of the lines, also while they are in a file of their own."""
        return (
            sum(units for _, _, units in self.lines)
            if self.spilled_units is None
            else self.spilled_units
        )


@dataclass(slots=True)
class Book:
    """One proxy's accounts.  `grace_s` in s; all instants are Unix seconds."""

    periods: Periods
    grace_s: float = 60.0
    name: str = ""
    incarnation: int = 0
    nonce: str = ""
    next_seq: int = 1
    last_key: str = ""  # the key of the batch that was confirmed last
    unbatched_units: dict[int, dict[Key, int]] = field(
        default_factory=dict
    )  # by period, not in a batch
    closed: dict[int, None] = field(default_factory=dict)
    closed_before: int = 0  # those that are forgotten
    batches: dict[int, Batch] = field(default_factory=dict)  # those that are not confirmed
    confirmed_units: dict[int, int] = field(default_factory=dict)  # units confirmed, by period
    gaps: list[tuple[float, float, str]] = field(default_factory=list)
    last_write_at: float = 0.0  # the last instant of which it is known that it was written
    closed_cleanly: bool = True  # the process before had closed the book
    applied_corrections: dict[str, None] = field(
        default_factory=dict
    )  # of signed corrections, by period
    late_since: float | None = None  # units of closed periods wait since then

    # --- decisions: records to write ---
    def begin_records(self, name: str, nonce: str, now: float) -> list[Record]:
        """A new process opens the book."""
        records: list[Record] = []
        if not self.closed_cleanly:  # what it had counted and not written is gone with it
            records += self.gap_records(self.last_write_at, now, "its process was killed")
        return [*records, ["begin", VERSION, name, self.incarnation + 1, nonce, now]]

    def end_records(self, now: float) -> list[Record]:
        """The process ends, with all that it has counted written."""
        return [["end", now]]

    def heartbeat_records(self, now: float) -> list[Record]:
        """Nothing to say, and nothing was missed up to here."""
        return [["alive", now]]

    def usage_records(
        self, now: float, units: Mapping[tuple[int, str | None, str], int]
    ) -> list[Record]:
        """What was served since the last time."""
        return [["count", now, [[*key, count] for key, count in units.items()]]] if units else []

    def batch_records(self, now: float) -> list[Record]:
        """Batches of what is due: periods that have closed, and corrections of those before."""
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
            for place in range(0, len(lines), MAX_BATCH_LINES):
                part = lines[place : place + MAX_BATCH_LINES]
                records.append(["batch", seq, kind, period, part, self._key(seq), ""])
                seq += 1
        return records

    def correction_records(
        self, mark: str, by: str, lines: Iterable[tuple[int, str | None, str, int]]
    ) -> list[Record]:
        """Corrections (period, tenant, class, units that may be below 0) that an operator signed.

        `mark` names the signed file: one that is met again after a crash is taken once.
        """
        of: dict[int, list[list[Any]]] = {}
        for period, tenant, cls, units in lines:
            if units and f"{mark}/{period}" not in self.applied_corrections:
                of.setdefault(period, []).append([tenant, cls, units])
        return [
            [
                "batch",
                self.next_seq + place,
                "correction",
                period,
                kept,
                self._key(self.next_seq + place),
                f"{by} {mark}/{period}",
            ]
            for place, (period, kept) in enumerate(sorted(of.items()))
        ]

    def sent_records(self, seq: int) -> list[Record]:
        """The batch is sent; no record if it was before.  KeyError for an unknown batch."""
        return [] if self.batches[seq].state == "sent" else [["sent", seq]]

    def confirmed_records(self, seq: int) -> list[Record]:
        """The endpoint confirmed the batch; no record for an unknown one."""
        return [["done", seq]] if seq in self.batches else []

    def held_records(self, seq: int, why: str) -> list[Record]:
        """The batch waits for an operator because of `why`; no record for an unknown one."""
        return [["held", seq, why]] if seq in self.batches else []

    def spill_records(self) -> list[Record]:
        """Batches whose lines need not be in memory, so that an endpoint may be away for days."""
        waiting = [batch for batch in self.batches.values() if batch.spilled_units is None]
        return [["away", batch.seq] for batch in waiting[MAX_BATCHES_IN_MEMORY:]]

    def restore_records(self, seq: int, lines: Iterable[Any]) -> list[Record]:
        """The lines of a batch that were away."""
        return [["back", seq, list(lines)]]

    def gap_records(self, since: float, until: float, why: str) -> list[Record]:
        """The ledger is incomplete from `since` to `until`."""
        return [["gap", since, until, why]]

    def adopt_records(self, last: str, billed: Iterable[int], now: float) -> list[Record]:
        """The endpoint knows of a later life of this ledger than its disk does.

        Its disk is older than what was exported (restored), or new (lost).  `billed`: periods of
        which the endpoint has had batches since the last that we know of.  Whatever we have of
        them may have been in those, so it is held for an operator: never billed twice, and not
        lost in silence either.
        """
        again = set(billed)
        records: list[Record] = [["adopt", last]]
        for batch in self.batches.values():
            if batch.period in again and batch.state != "held":
                records.append(["held", batch.seq, "another life of this ledger has billed it"])
        seq = self.next_seq
        for period in sorted(again & self.unbatched_units.keys()):
            lines = [
                [tenant, cls, units]
                for (tenant, cls), units in self.unbatched_units[period].items()
            ]
            records.append(["batch", seq, "correction", period, lines, self._key(seq), ""])
            records.append(["held", seq, "another life of this ledger has billed it"])
            seq += 1
        since = float(max(again, default=0))
        records.append(["gap", since, now, "its disk is older than its bills"])
        return records

    # --- what they say ---
    @property
    def next_batch(self) -> Batch | None:
        """The batch that is exported next."""
        return next((batch for batch in self.batches.values() if batch.state != "held"), None)

    def closed_until(self, now: float) -> float:
        """The Unix second up to which every period is closed and confirmed.

        What is held waits for an operator and holds up nobody: it comes as a correction.
        """
        waits = [period for period in self.unbatched_units if not self._is_closed(period)]
        waits += [batch.period for batch in self.batches.values() if batch.state != "held"]
        return float(min([self.periods.of(now - self.grace_s), *waits]))

    def total_units(self, period: int) -> int:
        """All units of a period that this book knows of, billed or not."""
        return (
            self.confirmed_units.get(period, 0)
            + sum(self.unbatched_units.get(period, {}).values())
            + sum(batch.units for batch in self.batches.values() if batch.period == period)
        )

    def _is_closed(self, period: int) -> bool:
        return period in self.closed or period < self.closed_before

    def _key(self, seq: int) -> str:
        return f"{self.name}/{self.incarnation}.{self.nonce}/{seq}"

    # --- the one way to change ---
    def apply(self, record: Record) -> None:
        """ValueError for a record of a later version, or that can't follow what was before."""
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
                    of = self.unbatched_units.setdefault(period, {})
                    of[tenant, cls] = of.get((tenant, cls), 0) + count
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
        if not from_counts:  # signed: its units were never counted here
            self.applied_corrections[batch.reason.rpartition(" ")[2]] = None
            if len(self.applied_corrections) > MAX_CLOSED_PERIODS:
                del self.applied_corrections[next(iter(self.applied_corrections))]
            return
        of = self.unbatched_units[batch.period]
        for tenant, cls, _ in batch.lines:
            del of[tenant, cls]
        if not of:
            del self.unbatched_units[batch.period]
        if not any(self._is_closed(period) for period in self.unbatched_units):
            self.late_since = None
        self.closed[batch.period] = None
        if len(self.closed) > MAX_CLOSED_PERIODS:
            oldest = min(self.closed)
            del self.closed[oldest]
            self.closed_before = oldest + 1

    def checkpoint(self) -> Record:
        """All of it as one record: where a new file of the log begins."""
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
                    for period, of in self.unbatched_units.items()
                    for (tenant, cls), units in of.items()
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
