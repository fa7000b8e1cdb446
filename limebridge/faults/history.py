"""What was seen of a run, and one checker a property, from outside.

Nothing here asks a daemon: what the endpoint took, what stands in the logs, what each process said
of its terms (as a measure, never as a proof), and when which fault came.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from limebridge.standins.effects import Effect
from violetroute.fleet.log import FencedLog, Record, decode
from violetroute.fleet.work import key_of

from .plan import FORGETS, Fault


@dataclass
class History:
    """Times in s of the rig's clock."""

    began: float = 0.0
    faults: list[tuple[float, str, str]] = field(default_factory=list)  # at, what, to whom
    said: list[tuple[float, str, str, str]] = field(default_factory=list)  # at, who, event, work
    effects: list[Effect] = field(default_factory=list)
    logs: dict[str, list[bytes]] = field(default_factory=dict)
    forgot: bool = False  # what was written had been lost: only the order is owed
    healed_at: float = 0.0
    notes: list[str] = field(default_factory=list)

    def met(self, at: float, fault: Fault, whom: str) -> None:
        """A fault comes."""
        self.faults.append((at, f"{fault.kind} {fault.seconds:g} s", whom))
        self.forgot = self.forgot or fault.kind in FORGETS

    def undone(self, works: Iterable[str], slack: float) -> set[str]:
        """Works without an effect that was begun after the healing."""
        return set(works) - {
            effect.key.partition("/")[0]
            for effect in self.effects
            if effect.at > self.healed_at + slack
        }


def fence_order(history: History) -> list[str]:
    """Of what the endpoint took: no lower fence after a higher one, no fence of two lives."""
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
        entries: list[tuple[str, Any]] = []
        handed: set[int] = set()

        def took(
            position: int,
            record: Record,
            entries: list[tuple[str, Any]] = entries,
            handed: set[int] = handed,
        ) -> None:
            if isinstance(record.body, dict) and "handed" in record.body:
                handed.add(record.body["handed"])
            else:
                entries.append((key_of(record, position).strip('"'), record.body))

        reader = FencedLog(name, took)
        for data in log:
            reader.take(data)
        missing = [key for key, _ in entries if key not in taken]
        if missing and missing != [entries[-1][0]]:
            found.append(f"{name}: {len(missing)} entries never came, first {missing[0]}")
        if handed and any(
            key not in taken for key, _ in entries if int(key.rpartition("/")[2]) in handed
        ):
            found.append(f"{name}: said to be handed over and was not")
        beats = [body["beat"] for _, body in entries if isinstance(body, dict) and "beat" in body]
        if beats != list(range(1, len(beats) + 1)):
            found.append(f"{name}: beats do not count on by ones")
    return found


PROPERTIES = {
    "fence order": fence_order,
    "once": once,
    "none late": none_late,
    "none lost": none_lost,
}


def broken(history: History) -> list[tuple[str, str]]:
    """Property and what was seen, of all that does not hold."""
    return [(name, what) for name, holds in PROPERTIES.items() for what in holds(history)]


def parse(line: str) -> tuple[str, str] | None:
    """Event, and work with reason or fence, of a daemon's line in JSON; None for others."""
    if '"fleet.' not in line:
        return None
    try:
        told = json.loads(line)
    except ValueError:
        return None
    more = told.get("reason", told.get("fence", ""))
    return str(told.get("event", "")), f"{told.get('work', '')} {more}".strip()


def without_owner(history: History) -> list[tuple[str, float, float]]:
    """By work: since when there was no effect, and for how long, wherever that was a change of
    owner (s of the rig's clock)."""
    gaps = []
    last: dict[str, Effect] = {}
    for effect in history.effects:
        work = effect.key.partition("/")[0]
        before = last.get(work)
        if before is not None and before.nonce != effect.nonce:
            gaps.append((work, before.at, effect.at - before.at))
        last[work] = effect
    return gaps


def tell(history: History, found: Iterable[tuple[str, str]]) -> str:
    """The story of a run that broke something."""
    rows = [(at, f"{what} {whom}") for at, what, whom in history.faults]
    rows += [(at, f"{who} {event} {work}") for at, who, event, work in history.said]
    rows += [
        (effect.at, f"endpoint takes {effect.key} under {effect.fence}")
        for effect in history.effects[-40:]
    ]
    lines = [f"{at - history.began:8.3f}  {what}" for at, what in sorted(rows)]
    return "\n".join([*lines, *(f"BROKEN {name}: {what}" for name, what in found), *history.notes])
