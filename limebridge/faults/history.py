"""What was seen of a run, and one checker a property, from outside.

Nothing here asks a daemon: what the endpoint took, what stands in the logs, what each process said
of its terms (as a measure, never as a proof), and when which fault came.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from limebridge.standins.effects import Effect
from violetroute.fleet.job import idempotency_key
from violetroute.fleet.log import FencedLog, Record, decode

from .plan import FORGETS, Fault, Kind
from .violation import Violation


@dataclass(frozen=True)
class FaultEvent:
    """A fault that came."""

    at: float
    kind: Kind
    seconds: float
    target: str  # the process that the plan names, also for what is shared


@dataclass(frozen=True)
class LeaseEvent:
    """What a process logged of one of its jobs."""

    event: str
    detail: str  # the job, and the fence or the reason


@dataclass(frozen=True)
class LoggedEvent:
    """A lease event, when and by whom."""

    at: float
    process: str
    logged: LeaseEvent


@dataclass(frozen=True)
class OwnerGap:
    """A time without an effect of a job, from one owner to the next."""

    work: str
    since: float
    seconds: float


@dataclass
class History:
    """Times in s of the rig's clock."""

    began: float = 0.0
    faults: list[FaultEvent] = field(default_factory=list)
    logged: list[LoggedEvent] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    logs: dict[str, list[bytes]] = field(default_factory=dict)
    forgot: bool = False  # the store has lost what was written: only the order has to hold
    healed_at: float = 0.0
    notes: list[str] = field(default_factory=list)

    def add_fault(self, at: float, fault: Fault, target: str) -> None:
        """Record a fault that comes now."""
        self.faults.append(FaultEvent(at, fault.kind, fault.seconds, target))
        self.forgot = self.forgot or fault.kind in FORGETS

    def undone(self, works: Iterable[str], slack: float) -> set[str]:
        """Jobs without an effect that was begun after the healing.

        `slack`: s from the begin of an effect to its arrival.
        """
        return set(works) - {
            effect.key.partition("/")[0]
            for effect in self.effects
            if effect.at > self.healed_at + slack
        }


def fence_order(history: History) -> list[str]:
    """The endpoint took no lower fence after a higher one, and no fence of two incarnations."""
    found, high = [], dict[str, tuple[int, str]]()
    for effect in history.effects:
        work = effect.key.partition("/")[0]
        fence, whose = high.get(work, (0, ""))
        if effect.fence < fence:
            found.append(f"{effect.key}: taken with fence {effect.fence} after {fence}")
        elif effect.fence == fence and effect.nonce != whose:
            found.append(f"{effect.key}: fence {fence} is of {whose} and {effect.nonce}")
        high[work] = max((fence, whose), (effect.fence, effect.nonce), key=lambda of: of[0])
    return found


def once(history: History) -> list[str]:
    """Each key was taken once, and a beat is counted once."""
    found, keys = [], set[str]()
    beats: dict[str, set[int]] = defaultdict(set)
    for effect in history.effects:
        if effect.key in keys:
            found.append(f"{effect.key}: taken twice")
        keys.add(effect.key)
        if isinstance(effect.body, dict) and "beat" in effect.body and not history.forgot:
            work, beat = effect.key.partition("/")[0], effect.body["beat"]
            if beat in beats[work]:
                found.append(f"{effect.key}: beat {beat} of {work} was taken before")
            beats[work].add(beat)
    return found


def none_late(history: History) -> list[str]:
    """In each log an entry stands behind the claim of its own term, and fences rise.

    A log that was lost is begun anew under what old owners go on to write at their places: that
    counts for nobody, and what the endpoint took is judged by its own order.
    """
    found: list[str] = []
    if history.forgot:
        return found
    for name, log in history.logs.items():
        claimed: tuple[int, str] = (0, "")
        for position, data in enumerate(log):
            record = decode(data, name)
            if record is None:
                found.append(f"{name}/{position}: no record")
            elif record.kind == "claim":
                if record.fence <= claimed[0]:
                    found.append(f"{name}/{position}: claim {record.fence} after {claimed[0]}")
                claimed = record.fence, record.nonce
            elif (record.fence, record.nonce) != claimed:
                found.append(f"{name}/{position}: an entry of {record.fence} in term {claimed[0]}")
    return found


def none_lost(history: History) -> list[str]:
    """Entries that count are handed over in their order, all but what is still waiting.

    What may wait: the last one of each log, and nothing when it says itself that it was handed.
    """
    if history.forgot:
        return []
    found = []
    taken = {effect.key for effect in history.effects}
    for name, log in history.logs.items():
        found += [f"{name}: {lost}" for lost in _lost(_LogEntries.of(name, log), taken)]
    return found


@dataclass
class _LogEntries:
    """The entries of a log that count."""

    keys: list[str] = field(default_factory=list)  # in the log's order
    beats: list[int] = field(default_factory=list)
    handed: set[int] = field(default_factory=set)  # positions that the log says are handed over

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


def _lost(entries: _LogEntries, taken: set[str]) -> Iterator[str]:
    """What is wrong with the entries of a log of which the endpoint took these keys."""
    missing = [key for key in entries.keys if key not in taken]
    if missing and missing != entries.keys[-1:]:
        yield f"{len(missing)} entries never came, first {missing[0]}"
    handed = entries.handed
    if handed and any(int(key.rpartition("/")[2]) in handed for key in missing):
        yield "said to be handed over and was not"
    if entries.beats != list(range(1, len(entries.beats) + 1)):
        yield "beats do not count on by ones"


EFFECTS_TOLD = 40  # the last ones, in the story of a run
PROPERTIES = {
    "fence order": fence_order,
    "once": once,
    "none late": none_late,
    "none lost": none_lost,
}


def check_history(history: History) -> list[Violation]:
    """All that does not hold."""
    return [Violation(rule, text) for rule, check in PROPERTIES.items() for text in check(history)]


def parse(line: str) -> LeaseEvent | None:
    """The event of a line that a daemon logs in JSON; None for lines of other parts."""
    if '"fleet.' not in line:
        return None
    try:
        fields = json.loads(line)
    except ValueError:
        return None
    reason = fields.get("reason", fields.get("fence", ""))
    return LeaseEvent(str(fields.get("event", "")), f"{fields.get('work', '')} {reason}".strip())


def without_owner(history: History) -> list[OwnerGap]:
    """The gaps between the last effect of each owner and the first of the next one."""
    gaps = []
    last: dict[str, Effect] = {}
    for effect in history.effects:
        work = effect.key.partition("/")[0]
        before = last.get(work)
        if before is not None and before.nonce != effect.nonce:
            gaps.append(OwnerGap(work, before.at, effect.at - before.at))
        last[work] = effect
    return gaps


def format_trace(history: History, found: Iterable[Violation]) -> str:
    """The story of a run: faults, what processes logged, the last effects, and what was broken."""
    rows = [
        (fault.at, f"{fault.kind} {fault.seconds:g} s {fault.target}") for fault in history.faults
    ]
    rows += [
        (event.at, f"{event.process} {event.logged.event} {event.logged.detail}")
        for event in history.logged
    ]
    rows += [
        (effect.at, f"endpoint takes {effect.key} under {effect.fence}")
        for effect in history.effects[-EFFECTS_TOLD:]
    ]
    lines = [f"{at - history.began:8.3f}  {text}" for at, text in sorted(rows)]
    return "\n".join([*lines, *(violation.line() for violation in found), *history.notes])
