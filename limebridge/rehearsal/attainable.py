"""What could have been earned: by a policy that sees the true state of everything at once.  Pure.

A linear programme over bins of STEP seconds (docs/design/overload-and-recovery.md derives it): work
is a fluid that may be done in any bin from the asking on, in time for all of its worth, later for a
part of it; no bin gives more work than the nodes that are up can do, nor more fetches than the
customer database.  A read takes a fetch if nobody can have kept its key.  Bins are rounded in
the builds' favour, so it is a bound for what they earn (but for the luck of drawn work).
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .score import Asked

STEP = 0.25  # s of a bin
BACK_SHARE, BACK_HELD = 0.95, 5  # of what is attainable; s for which it is held
SETTLE = 2.0  # s of a trouble in which nobody can know yet
AFTER = 15.0  # s behind a trouble that are looked at
EARLY = 1e-6  # of a worth: what one bin earlier is preferred by, so that there is one answer


@dataclass(slots=True)
class Room:
    """What there is in one bin: seconds of work at speed 1, fetches of the database."""

    work: float
    fetches: float


@dataclass
class Share:
    """Earned over attainable; shares of 1 and seconds."""

    whole: float
    trouble: float  # from SETTLE seconds behind the onset to the end of the trouble
    after: float  # AFTER seconds behind it
    back: float | None  # s from its end until BACK_SHARE is held for BACK_HELD s; None: never
    swing: float  # mean change of the share from one second to the next, from the onset on
    attainable: list[float]  # worth by second of the asking


@dataclass(slots=True)
class _Group:
    """All of one kind that was asked in one bin."""

    place: int
    second: int
    density: float  # worth of a second of work in time
    late: float  # share of it that is left later
    in_time: int  # the last bin of each
    until: int
    each: float  # s of work of one
    fetch: bool
    work: float = 0.0


def attainable(found: Iterable[Asked], rooms: Sequence[Room], seconds: int) -> list[float]:
    """The worth that could be had of what was asked in each second.

    rooms holds a Room for every bin from the start of the run on; behind them the last one's is
    there.  An Asked's `work` is in seconds at speed 1, its `life` in seconds from the first try
    to the last moment at which its client would still take an answer.
    """
    groups = _groups(found, seconds)
    earned = [0.0] * seconds
    if not groups:
        return earned
    last = max(group.until for group in groups)
    there = [rooms[min(place, len(rooms) - 1)] for place in range(last + 1)]
    if _all_at_once(groups, there):
        for group in groups:
            earned[group.second] += group.density * group.work
        return earned
    return _solve(groups, there, earned)


def _groups(found: Iterable[Asked], seconds: int) -> list[_Group]:
    made: dict[tuple[object, ...], _Group] = {}
    for each in found:
        place = int(each.at / STEP)
        until = int((each.at + each.life) / STEP)
        name = (place, each.cls, each.fresh, until)
        group = made.get(name)
        if group is None:
            group = made[name] = _Group(
                place,
                min(seconds - 1, int(each.at)),
                each.worth / each.work,
                each.late,
                min(until, int((place + 1) + each.aim / STEP)),
                until,
                each.work,
                each.fresh,
            )
        group.work += each.work
    return list(made.values())


def _all_at_once(groups: list[_Group], there: list[Room]) -> bool:
    """Whether each bin carries what was asked in it: then there is nothing to solve."""
    work, fetches = [0.0] * len(there), [0.0] * len(there)
    for group in groups:
        work[group.place] += group.work
        fetches[group.place] += group.work / group.each * group.fetch
    return all(
        w <= room.work and f <= room.fetches
        for w, f, room in zip(work, fetches, there, strict=True)
    )


def _solve(groups: list[_Group], there: list[Room], earned: list[float]) -> list[float]:
    import highspy  # half a second that a calm run does not need
    import numpy as np

    from limebridge.highs import create_highs

    columns = [
        (number, place)
        for number, group in enumerate(groups)
        for place in range(group.place, group.until + 1)
    ]
    size, bins = len(groups), len(there)
    value = np.array(
        [
            groups[number].density
            * (1.0 if place <= groups[number].in_time else groups[number].late)
            * (1.0 - EARLY * (place - groups[number].place))
            for number, place in columns
        ]
    )
    starts, rows, entries = [0], [], []
    for number, place in columns:
        rows += [number, size + place]
        entries += [1.0, 1.0]
        if groups[number].fetch:
            rows.append(size + bins + place)
            entries.append(1.0 / groups[number].each)
        starts.append(len(rows))
    model = highspy.HighsLp()
    model.num_col_, model.num_row_ = len(columns), size + 2 * bins
    model.sense_ = highspy.ObjSense.kMaximize
    model.col_cost_ = value
    model.col_lower_, model.col_upper_ = np.zeros(len(columns)), np.full(len(columns), math.inf)
    model.row_lower_ = np.full(size + 2 * bins, -math.inf)
    model.row_upper_ = np.array(
        [group.work for group in groups]
        + [room.work for room in there]
        + [room.fetches for room in there]
    )
    model.a_matrix_.format_ = highspy.MatrixFormat.kColwise
    model.a_matrix_.start_ = np.array(starts, dtype=np.int32)
    model.a_matrix_.index_ = np.array(rows, dtype=np.int32)
    model.a_matrix_.value_ = np.array(entries)
    solver = create_highs()
    solver.passModel(model)
    solver.run()
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise ArithmeticError(f"attainable worth: {solver.getModelStatus()}")
    told = solver.getSolution().col_value
    for (number, _), amount, worth in zip(columns, told, value, strict=True):
        earned[groups[number].second] += float(amount * worth)
    return earned


def troubles(
    events: Iterable[tuple[float, float]], asked: Sequence[float], rooms: Sequence[Room]
) -> tuple[float, float] | None:
    """From when to when (s) something was wrong: events, or more work asked than there is room.

    asked holds the work asked by second.
    """
    spans = list(events)
    per = round(1.0 / STEP)
    for second, work in enumerate(asked):
        there = rooms[second * per : (second + 1) * per]
        if len(there) == per and work > sum(room.work for room in there):
            spans.append((float(second), second + 1.0))
    return (min(s[0] for s in spans), max(s[1] for s in spans)) if spans else None


def compare(
    seconds: Sequence[tuple[float, float]], could: Sequence[float], span: tuple[float, float] | None
) -> Share:
    """seconds: worth asked and earned by second; could: attainable by second."""
    earned = [pair[1] for pair in seconds]

    def part(first: float, last: float) -> float:
        places = range(max(0, math.ceil(first)), min(len(earned), math.ceil(last)))
        have = sum(could[n] for n in places)
        return sum(earned[n] for n in places) / have if have > 0.0 else 1.0

    whole = part(0.0, len(earned))
    if span is None:
        return Share(whole, 1.0, 1.0, 0.0, 0.0, list(could))
    begin, end = span
    shares = [got / there if there > 0.0 else 1.0 for got, there in zip(earned, could, strict=True)]
    back = None
    for place in range(math.ceil(end), len(shares) - BACK_HELD + 1):
        if all(share >= BACK_SHARE for share in shares[place : place + BACK_HELD]):
            back = max(0.0, place - end)
            break
    watched = shares[int(begin) : min(len(shares), math.ceil(end + AFTER))]
    moves = [abs(b - a) for a, b in itertools.pairwise(watched)]
    return Share(
        whole,
        part(begin + SETTLE, end),
        part(end, end + AFTER),
        back,
        sum(moves) / len(moves) if moves else 0.0,
        list(could),
    )
