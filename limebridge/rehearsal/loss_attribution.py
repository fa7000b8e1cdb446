"""Which decision cost most, second by second.  Pure.

A request that earned less than its worth is put down to what became of its first try: only that
one could be in time.  Seen from outside, by what nodes and clients saw, so that it says the same
of any build.  Nobody is blamed for a node's trouble in its first SETTLE seconds.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .attainable import SETTLE, STEP
from .score import Asked

IDLE = 0.1  # share of the sound nodes' work that has to lie idle for it to be called room
SLACK = 0.05  # s between an attempt's sending and its coming

ROOM = "refused while nodes had room"
FULL = "refused, nodes were full"
SILENT = "sent where nobody answers"
KNOWN = "sent to a node long bad"
NEWS = "sent to a node just gone bad"
ONCE = "late, no other node was asked"
LATE = "late, though another was asked"
NODE = "failed at the node"


@dataclass(frozen=True, slots=True)
class Cost:
    """What one second lost, and by what most."""

    second: int
    lost: float  # worth
    by: str
    part: float  # of the lost worth, by that


@dataclass(slots=True)
class Seen:
    """What the stand-ins saw of a run.

    went: by a try's id, the nodes that its commands came to, with the time; bad: by node, from when
    to when (s) it could do nothing; idle: by second, the share of the sound nodes' work that was
    not asked of them.
    """

    went: Mapping[str, Sequence[tuple[float, str]]]
    bad: Mapping[str, Sequence[tuple[float, float]]]
    idle: Sequence[float]


class Watch:
    """Takes down what nodes do while a run goes on; its size grows with the run's commands."""

    def __init__(self) -> None:
        self._went: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self._bad: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def came(self, id_: str, at: float, node: str) -> None:
        """A try's command came to a node."""
        self._went[id_].append((at, node))

    def looked(self, node: str, at: float, able: float) -> None:
        """Note what a node can do at this moment, 0 for nothing; called every STEP seconds."""
        if able <= 0.0:
            spells = self._bad[node]
            goes_on = spells and at - spells[-1][1] < 2.0 * STEP
            spells[-1:] = [(spells[-1][0], at)] if goes_on else [*spells[-1:], (at, at)]

    def seen(self, worked: Mapping[str, Sequence[float]], slots: Mapping[str, int]) -> Seen:
        """worked: by node and second, seconds of its slots that were at work."""
        idle = []
        for second in range(max(map(len, worked.values()), default=0)):
            sound = [
                name
                for name, done in worked.items()
                if second < len(done)
                and not any(
                    begin < second + 1 and end >= second for begin, end in self._bad.get(name, ())
                )
            ]
            have = sum(slots[name] for name in sound)
            used = sum(worked[name][second] for name in sound)
            idle.append(1.0 - used / have if have else 0.0)
        return Seen(self._went, self._bad, idle)


def fate(each: Asked, seen: Seen) -> str | None:
    """What became of its first try; None when it earned all it was worth."""
    if each.earned >= each.worth or not each.ids:
        return None
    went = seen.went.get(each.ids[0], ())
    how = each.ends[0] if each.ends else "out of time"
    if how == "refused" and not went:
        second = min(len(seen.idle) - 1, int(each.at))
        return ROOM if second >= 0 and seen.idle[second] >= IDLE else FULL
    if not went:
        return SILENT
    spells = [
        max(
            (at - SLACK - begin for begin, end in seen.bad.get(node, ()) if begin <= at <= end),
            default=-1.0,
        )
        for at, node in went
    ]
    if spells[0] >= SETTLE:
        return KNOWN
    if spells[0] >= 0.0:
        return NEWS
    if how in ("refused", "failed"):
        return NODE
    return LATE if len({node for _, node in went}) > 1 else ONCE


def costs(found: Iterable[Asked], seen: Seen) -> list[Cost]:
    """The seconds that lost anything, in order."""
    seconds: dict[int, Counter[str]] = defaultdict(Counter)
    for each in found:
        what = fate(each, seen)
        if what is not None:
            seconds[int(each.at)][what] += each.worth - each.earned  # type: ignore[assignment]
    told = []
    for second, by in sorted(seconds.items()):
        lost = sum(by.values())
        most = max(sorted(by), key=lambda name: by[name])
        told.append(Cost(second, lost, most, by[most] / lost))
    return told


def totals(found: Iterable[Asked], seen: Seen) -> dict[str, float]:
    """Share of the worth asked that each decision lost, the dearest first."""
    by: Counter[str] = Counter()
    asked = 0.0
    for each in found:
        asked += each.worth
        what = fate(each, seen)
        if what is not None:
            by[what] += each.worth - each.earned  # type: ignore[assignment]
    return {what: lost / asked for what, lost in by.most_common()} if asked else {}
