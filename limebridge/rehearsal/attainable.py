"""Computes the worth that an omniscient policy could have earned in a run.  Pure.

A linear program over bins of BIN_S seconds (derived in docs/design/overload-and-recovery.md).  Work
is divisible and may be done in any bin from its request's arrival until the client gives up: for
its full worth while on time, for a part of it afterwards.  The work in a bin is limited by the
nodes that are up, the fetches by the customer database; a read needs a fetch if no node can have
cached its key.  A request may use the whole of its first and its last bin, so the result is an
upper bound on what any build earns, except that the service times drawn in the run may be lower
than the mean.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .score import RequestRecord

BIN_S = 0.25  # length of a bin
# A run has recovered once it earns this share of the attainable worth for this many seconds.
RECOVERED_SHARE, RECOVERED_SECONDS = 0.95, 5
DETECTION_S = 2.0  # first seconds of a fault, in which no proxy can have detected it yet
AFTERMATH_S = 15.0  # seconds after a fault that are evaluated
EARLY_PREFERENCE = 1e-6  # share of the worth lost per bin of delay; makes the optimum unique


@dataclass(slots=True)
class Capacity:
    """The capacity in one bin: seconds of work at speed 1, and database fetches."""

    work: float
    fetches: float


@dataclass
class AttainedShare:
    """Earned worth divided by attainable worth; "the fault" is the span of `fault_span`."""

    whole: float  # the whole run
    trouble: float  # service from DETECTION_S after the start of the fault to its end
    after: float  # the AFTERMATH_S after the fault
    back: float | None  # s from the end of the fault until recovery; None: not within the run
    swing: float  # mean change of the share from one second to the next, from the fault's start on
    attainable: list[float]  # worth by the second in which the requests were made


@dataclass(slots=True)
class _Group:
    """The requests of one bin that have the same class, last bin and need for a fetch."""

    arrival_bin: int
    second: int
    worth_rate: float  # worth of a second of work done on time
    late_share: float  # share of the worth of work done later
    last_in_time: int  # last bin in which the work is on time
    last_bin: int  # last bin before the client gives up
    work_each: float  # s of work per request
    fetch: bool  # whether each request needs a database fetch
    work: float = 0.0  # s of work of all requests


def attainable_worth(
    requests: Iterable[RequestRecord], capacities: Sequence[Capacity], seconds: int
) -> list[float]:
    """The attainable worth of the requests of each second.

    `capacities` holds one entry per bin from the start of the run; later bins have the capacity of
    the last entry.  Raises ArithmeticError if the linear program can't be solved.
    """
    groups = _groups(requests, seconds)
    earned = [0.0] * seconds
    if not groups:
        return earned
    last = max(group.last_bin for group in groups)
    by_bin = [capacities[min(index, len(capacities) - 1)] for index in range(last + 1)]
    if _fits_on_arrival(groups, by_bin):
        for group in groups:
            earned[group.second] += group.worth_rate * group.work
        return earned
    return _solve(groups, by_bin, earned)


def _groups(requests: Iterable[RequestRecord], seconds: int) -> list[_Group]:
    groups: dict[tuple[object, ...], _Group] = {}
    for request in requests:
        arrival_bin = int(request.at / BIN_S)
        last_bin = int((request.at + request.useful_s) / BIN_S)
        group_key = (arrival_bin, request.cls, request.must_fetch, last_bin)
        group = groups.get(group_key)
        if group is None:
            group = groups[group_key] = _Group(
                arrival_bin,
                min(seconds - 1, int(request.at)),
                request.worth / request.work,
                request.late_share,
                min(last_bin, int((arrival_bin + 1) + request.target_s / BIN_S)),
                last_bin,
                request.work,
                request.must_fetch,
            )
        group.work += request.work
    return list(groups.values())


def _fits_on_arrival(groups: list[_Group], capacities: list[Capacity]) -> bool:
    """Whether each bin has the capacity for its own arrivals, so that all worth is attainable."""
    work, fetches = [0.0] * len(capacities), [0.0] * len(capacities)
    for group in groups:
        work[group.arrival_bin] += group.work
        fetches[group.arrival_bin] += group.work / group.work_each * group.fetch
    return all(
        w <= capacity.work and f <= capacity.fetches
        for w, f, capacity in zip(work, fetches, capacities, strict=True)
    )


def _solve(groups: list[_Group], capacities: list[Capacity], earned: list[float]) -> list[float]:
    import highspy  # imported here: it takes half a second, and a run without overload needs no LP
    import numpy as np

    from limebridge.highs import create_highs

    columns = [
        (group_index, bin_)
        for group_index, group in enumerate(groups)
        for bin_ in range(group.arrival_bin, group.last_bin + 1)
    ]
    group_count, bin_count = len(groups), len(capacities)
    value = np.array(
        [
            groups[group_index].worth_rate
            * (1.0 if bin_ <= groups[group_index].last_in_time else groups[group_index].late_share)
            * (1.0 - EARLY_PREFERENCE * (bin_ - groups[group_index].arrival_bin))
            for group_index, bin_ in columns
        ]
    )
    starts, rows, coefficients = [0], [], []
    for group_index, bin_ in columns:
        rows += [group_index, group_count + bin_]
        coefficients += [1.0, 1.0]
        if groups[group_index].fetch:
            rows.append(group_count + bin_count + bin_)
            coefficients.append(1.0 / groups[group_index].work_each)
        starts.append(len(rows))
    model = highspy.HighsLp()
    model.num_col_, model.num_row_ = len(columns), group_count + 2 * bin_count
    model.sense_ = highspy.ObjSense.kMaximize
    model.col_cost_ = value
    model.col_lower_, model.col_upper_ = np.zeros(len(columns)), np.full(len(columns), math.inf)
    model.row_lower_ = np.full(group_count + 2 * bin_count, -math.inf)
    model.row_upper_ = np.array(
        [group.work for group in groups]
        + [capacity.work for capacity in capacities]
        + [capacity.fetches for capacity in capacities]
    )
    model.a_matrix_.format_ = highspy.MatrixFormat.kColwise
    model.a_matrix_.start_ = np.array(starts, dtype=np.int32)
    model.a_matrix_.index_ = np.array(rows, dtype=np.int32)
    model.a_matrix_.value_ = np.array(coefficients)
    solver = create_highs()
    solver.passModel(model)
    solver.run()
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise ArithmeticError(f"attainable worth: {solver.getModelStatus()}")
    amounts = solver.getSolution().col_value
    for (group_index, _), amount, worth in zip(columns, amounts, value, strict=True):
        earned[groups[group_index].second] += float(amount * worth)
    return earned


def fault_span(
    events: Iterable[tuple[float, float]],
    work_by_second: Sequence[float],
    capacities: Sequence[Capacity],
) -> tuple[float, float] | None:
    """Start and end (s) of the span that covers all events and all overloaded seconds, or None.

    A second is overloaded if the work requested in it exceeds the capacity of its bins.  `events`
    holds start and end of each.
    """
    spans = list(events)
    bins_per_second = round(1.0 / BIN_S)
    for second, work in enumerate(work_by_second):
        within_second = capacities[second * bins_per_second : (second + 1) * bins_per_second]
        if len(within_second) == bins_per_second and work > sum(
            capacity.work for capacity in within_second
        ):
            spans.append((float(second), second + 1.0))
    return (min(s[0] for s in spans), max(s[1] for s in spans)) if spans else None


def attained_share(
    seconds: Sequence[tuple[float, float]],
    attainable: Sequence[float],
    span: tuple[float, float] | None,
) -> AttainedShare:
    """Compare earned with attainable worth.

    `seconds` holds the requested and the earned worth by second, `span` the result of `fault_span`.
    """
    earned = [pair[1] for pair in seconds]

    def share_between(first: float, last: float) -> float:
        indexes = range(max(0, math.ceil(first)), min(len(earned), math.ceil(last)))
        available = sum(attainable[n] for n in indexes)
        return sum(earned[n] for n in indexes) / available if available > 0.0 else 1.0

    whole = share_between(0.0, len(earned))
    if span is None:
        return AttainedShare(whole, 1.0, 1.0, 0.0, 0.0, list(attainable))
    begin, end = span
    shares = [
        worth / limit if limit > 0.0 else 1.0
        for worth, limit in zip(earned, attainable, strict=True)
    ]
    recovered_after = None
    for index in range(math.ceil(end), len(shares) - RECOVERED_SECONDS + 1):
        if all(share >= RECOVERED_SHARE for share in shares[index : index + RECOVERED_SECONDS]):
            recovered_after = max(0.0, index - end)
            break
    observed = shares[int(begin) : min(len(shares), math.ceil(end + AFTERMATH_S))]
    changes = [abs(b - a) for a, b in itertools.pairwise(observed)]
    return AttainedShare(
        whole,
        share_between(begin + DETECTION_S, end),
        share_between(end, end + AFTERMATH_S),
        recovered_after,
        sum(changes) / len(changes) if changes else 0.0,
        list(attainable),
    )
