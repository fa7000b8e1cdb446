"""The record of a run of a fault plan, and the rules that are checked on it from outside.

No rule queries a daemon.  The rules use the effects that the endpoint applied, the contents of
the logs, and which fault happened when.  What the processes logged of their lease terms is shown in
the trace and never used as evidence.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from limebridge.standins.effects import Effect
from violetroute.fleet.job import idempotency_key
from violetroute.fleet.log import FencedLog, Record, decode

from .plan import DATA_LOSS_FAULTS, Fault, FaultKind
from .violation import Violation


@dataclass(frozen=True)
class FaultEvent:
    """A fault that was injected."""

    at: float
    kind: FaultKind
    seconds: float
    target: str  # the process that the plan names, even if the fault is one of a shared part


@dataclass(frozen=True)
class LeaseEvent:
    """A log line of a process about one of its works."""

    event: str
    detail: str  # the work, and the fence or the reason


@dataclass(frozen=True)
class LoggedEvent:
    """A lease event with its time and the process that logged it."""

    at: float
    process: str
    logged: LeaseEvent


@dataclass(frozen=True)
class OwnerGap:
    """The time without effects of a work between its last owner and the next one."""

    work: str
    since: float
    seconds: float


@dataclass
class History:
    """The record of one run.  Times are in s of the rig's clock."""

    started_at: float = 0.0
    faults: list[FaultEvent] = field(default_factory=list)
    logged: list[LoggedEvent] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    logs: dict[str, list[bytes]] = field(default_factory=dict)
    store_lost_data: bool = False  # if so, only the order of effects is checked
    healed_at: float = 0.0
    notes: list[str] = field(default_factory=list)

    def add_fault(self, at: float, fault: Fault, target: str) -> None:
        """Record a fault that is injected now."""
        self.faults.append(FaultEvent(at, fault.kind, fault.seconds, target))
        self.store_lost_data = self.store_lost_data or fault.kind in DATA_LOSS_FAULTS

    def works_without_effect(self, works: Iterable[str], slack: float) -> set[str]:
        """The works that have no effect started after the healing.

        `slack`: s from the start of an effect to its arrival at the endpoint.
        """
        return set(works) - {
            effect.key.partition("/")[0]
            for effect in self.effects
            if effect.at > self.healed_at + slack
        }


def fence_order(history: History) -> list[str]:
    """The fences of the applied effects of a work never decrease, and each has one incarnation."""
    found, high = [], dict[str, tuple[int, str]]()
    for effect in history.effects:
        work = effect.key.partition("/")[0]
        fence, nonce = high.get(work, (0, ""))
        if effect.fence < fence:
            found.append(f"{effect.key}: applied with fence {effect.fence} after fence {fence}")
        elif effect.fence == fence and effect.nonce != nonce:
            found.append(f"{effect.key}: fence {fence} was used by {nonce} and {effect.nonce}")
        high[work] = max((fence, nonce), (effect.fence, effect.nonce), key=lambda pair: pair[0])
    return found


def applied_once(history: History) -> list[str]:
    """Each idempotency key is applied once, and each beat number of a work once.

    Beat numbers are not checked if the store lost data.
    """
    found, keys = [], set[str]()
    beats: dict[str, set[int]] = defaultdict(set)
    for effect in history.effects:
        if effect.key in keys:
            found.append(f"{effect.key}: applied twice")
        keys.add(effect.key)
        if isinstance(effect.body, dict) and "beat" in effect.body and not history.store_lost_data:
            work, beat = effect.key.partition("/")[0], effect.body["beat"]
            if beat in beats[work]:
                found.append(f"{effect.key}: beat {beat} of {work} was applied before")
            beats[work].add(beat)
    return found


def no_late_entries(history: History) -> list[str]:
    """Each log entry belongs to the claim before it, and the fences of claims increase.

    Not checked if the store lost data: the log then starts again, while previous owners may still
    write at their old positions.  No reader accepts those entries, and what the endpoint applied is
    checked by `fence_order`.
    """
    found: list[str] = []
    if history.store_lost_data:
        return found
    for name, log in history.logs.items():
        claimed: tuple[int, str] = (0, "")
        for position, data in enumerate(log):
            record = decode(data, name)
            if record is None:
                found.append(f"{name}/{position}: not a valid record")
            elif record.kind == "claim":
                if record.fence <= claimed[0]:
                    found.append(f"{name}/{position}: claim {record.fence} after {claimed[0]}")
                claimed = record.fence, record.nonce
            elif (record.fence, record.nonce) != claimed:
                found.append(
                    f"{name}/{position}: entry with fence {record.fence} under claim {claimed[0]}"
                )
    return found


def no_lost_entries(history: History) -> list[str]:
    """Every valid entry of a log was applied by the endpoint, and its beats count up by ones.

    The last entry of a log may still be pending, unless the log records that it was handed over.
    Not checked if the store lost data.
    """
    if history.store_lost_data:
        return []
    found = []
    applied = {effect.key for effect in history.effects}
    for name, log in history.logs.items():
        found += [f"{name}: {lost}" for lost in _lost(_LogEntries.of(name, log), applied)]
    return found


@dataclass
class _LogEntries:
    """The valid entries of a log."""

    keys: list[str] = field(default_factory=list)  # idempotency keys, in the log's order
    beats: list[int] = field(default_factory=list)
    handed: set[int] = field(default_factory=set)  # positions that the log records as handed over

    @classmethod
    def of(cls, name: str, log: Iterable[bytes]) -> _LogEntries:
        entries = cls()
        reader = FencedLog(name, entries.add)
        for data in log:
            reader.apply(data)
        return entries

    def add(self, position: int, record: Record) -> None:
        body = record.body if isinstance(record.body, dict) else {}
        if "handed" in body:
            self.handed.add(body["handed"])
            return
        self.keys.append(idempotency_key(record, position).strip('"'))
        if "beat" in body:
            self.beats.append(body["beat"])


def _lost(entries: _LogEntries, applied: set[str]) -> Iterator[str]:
    """The violations in one log.  `applied`: the idempotency keys of all applied effects."""
    missing = [key for key in entries.keys if key not in applied]
    if missing and missing != entries.keys[-1:]:
        yield f"{len(missing)} entries were never applied, the first is {missing[0]}"
    handed = entries.handed
    if handed and any(int(key.rpartition("/")[2]) in handed for key in missing):
        yield "an entry recorded as handed over was never applied"
    if entries.beats != list(range(1, len(entries.beats) + 1)):
        yield "beat numbers do not increase by ones from 1"


MAX_TRACE_EFFECTS = 40  # only the last effects of a run are in its trace
RULES = {
    "fence order": fence_order,
    "once": applied_once,
    "none late": no_late_entries,
    "none lost": no_lost_entries,
}


def check_history(history: History) -> list[Violation]:
    """The violations of all rules in a run."""
    return [Violation(rule, text) for rule, check in RULES.items() for text in check(history)]


def parse_lease_event(line: str) -> LeaseEvent | None:
    """The lease event in a line of a daemon's JSON log; None for any other line."""
    if '"fleet.' not in line:
        return None
    try:
        fields = json.loads(line)
    except ValueError:
        return None
    reason = fields.get("reason", fields.get("fence", ""))
    return LeaseEvent(str(fields.get("event", "")), f"{fields.get('work', '')} {reason}".strip())


def owner_gaps(history: History) -> list[OwnerGap]:
    """The gaps between the last effect of each owner and the first effect of the next one."""
    gaps = []
    last: dict[str, Effect] = {}
    for effect in history.effects:
        work = effect.key.partition("/")[0]
        before = last.get(work)
        if before is not None and before.nonce != effect.nonce:
            gaps.append(OwnerGap(work, before.at, effect.at - before.at))
        last[work] = effect
    return gaps


def format_trace(history: History, violations: Iterable[Violation]) -> str:
    """The trace of a run as text: faults, logged lease events, the last effects, violations."""
    rows = [
        (fault.at, f"{fault.kind} {fault.seconds:g} s {fault.target}") for fault in history.faults
    ]
    rows += [
        (event.at, f"{event.process} {event.logged.event} {event.logged.detail}")
        for event in history.logged
    ]
    rows += [
        (effect.at, f"endpoint applies {effect.key} with fence {effect.fence}")
        for effect in history.effects[-MAX_TRACE_EFFECTS:]
    ]
    lines = [f"{at - history.started_at:8.3f}  {text}" for at, text in sorted(rows)]
    return "\n".join([*lines, *(violation.line() for violation in violations), *history.notes])
