"""Attributes the lost worth of a run to routing decisions, by second and in total.  Pure.

The cause of a loss is what happened to the request's first attempt, since only an answer to that
one can be on time.  The causes are derived from what nodes and clients observed, so that builds
with different internals can be compared.  A node that has been unavailable for less than
DETECTION_S counts as newly unavailable, since no proxy can know it yet.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from .attainable import BIN_S, DETECTION_S
from .score import RequestRecord

IDLE_SHARE = 0.1  # the nodes had capacity if this share of the available nodes' slots was idle
TRANSIT_SLACK_S = 0.05  # s between the sending of an attempt and its arrival at the node

# Causes of a loss; the texts are keys of the JSON output and of stored results.
REFUSED_WITH_CAPACITY = "refused while nodes had room"
REFUSED_FULL = "refused, nodes were full"
UNANSWERED = "sent where nobody answers"
KNOWN_UNAVAILABLE = "sent to a node long bad"
NEWLY_UNAVAILABLE = "sent to a node just gone bad"
LATE_SINGLE_NODE = "late, no other node was asked"
LATE_SEVERAL_NODES = "late, though another was asked"
NODE_FAILURE = "failed at the node"


@dataclass(frozen=True, slots=True)
class SecondLoss:
    """The loss of the requests made in one second, and its largest cause."""

    second: int
    lost: float  # worth
    cause: str
    cause_share: float  # share of the lost worth


@dataclass(slots=True)
class Observations:
    """What the stand-ins observed in a run; times are in s from its start.

    `arrivals`: by attempt id, the nodes that its commands reached, with the time.  `unavailable`:
    by node, start and end of the spans in which it had no capacity.  `idle`: by second, the idle
    share of the slots of the nodes that were available throughout that second.
    """

    arrivals: Mapping[str, Sequence[tuple[float, str]]]
    unavailable: Mapping[str, Sequence[tuple[float, float]]]
    idle: Sequence[float]


class RunRecorder:
    """Records what nodes do during a run; its memory grows with the number of commands."""

    def __init__(self) -> None:
        self._arrivals: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self._unavailable: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def record_arrival(self, id_: str, at: float, node: str) -> None:
        """Record that a command of attempt `id_` reached a node at `at` (s)."""
        self._arrivals[id_].append((at, node))

    def record_capacity(self, node: str, at: float, capacity: float) -> None:
        """Record a node's capacity at `at` (s), 0 if unavailable; called every BIN_S seconds."""
        if capacity <= 0.0:
            spans = self._unavailable[node]
            continues = spans and at - spans[-1][1] < 2.0 * BIN_S
            spans[-1:] = [(spans[-1][0], at)] if continues else [*spans[-1:], (at, at)]

    def observations(
        self, busy: Mapping[str, Sequence[float]], slots: Mapping[str, int]
    ) -> Observations:
        """The observations of the run; `busy` has the busy slot seconds by node and second."""
        idle = []
        for second in range(max(map(len, busy.values()), default=0)):
            available = [
                name
                for name, done in busy.items()
                if second < len(done)
                and not any(
                    begin < second + 1 and end >= second
                    for begin, end in self._unavailable.get(name, ())
                )
            ]
            slot_seconds = sum(slots[name] for name in available)
            busy_seconds = sum(busy[name][second] for name in available)
            idle.append(1.0 - busy_seconds / slot_seconds if slot_seconds else 0.0)
        return Observations(self._arrivals, self._unavailable, idle)


def loss_cause(request: RequestRecord, observations: Observations) -> str | None:
    """Why the request earned less than its worth, one of the causes above; None if it did not.

    Also None if it has no attempt.
    """
    if request.earned >= request.worth or not request.attempt_ids:
        return None
    arrivals = observations.arrivals.get(request.attempt_ids[0], ())
    outcome = request.outcomes[0] if request.outcomes else "out of time"
    if outcome == "refused" and not arrivals:
        second = min(len(observations.idle) - 1, int(request.at))
        return (
            REFUSED_WITH_CAPACITY
            if second >= 0 and observations.idle[second] >= IDLE_SHARE
            else REFUSED_FULL
        )
    if not arrivals:
        return UNANSWERED
    spans = [
        max(
            (
                at - TRANSIT_SLACK_S - begin
                for begin, end in observations.unavailable.get(node, ())
                if begin <= at <= end
            ),
            default=-1.0,
        )
        for at, node in arrivals
    ]
    if spans[0] >= DETECTION_S:
        return KNOWN_UNAVAILABLE
    if spans[0] >= 0.0:
        return NEWLY_UNAVAILABLE
    if outcome in ("refused", "failed"):
        return NODE_FAILURE
    return LATE_SEVERAL_NODES if len({node for _, node in arrivals}) > 1 else LATE_SINGLE_NODE


def costs_by_second(
    requests: Iterable[RequestRecord], observations: Observations
) -> list[SecondLoss]:
    """The loss of each second in which some worth was lost, in order of time."""
    by_second: dict[int, Counter[str]] = defaultdict(Counter)
    for request in requests:
        cause = loss_cause(request, observations)
        if cause is not None:
            by_second[int(request.at)][cause] += request.worth - request.earned  # type: ignore[assignment]
    seconds = []
    for second, by_cause in sorted(by_second.items()):
        lost = sum(by_cause.values())
        largest = max(sorted(by_cause), key=lambda name: by_cause[name])
        seconds.append(SecondLoss(second, lost, largest, by_cause[largest] / lost))
    return seconds


def loss_shares(requests: Iterable[RequestRecord], observations: Observations) -> dict[str, float]:
    """The share of the requested worth lost by each cause, the largest first."""
    by_cause: Counter[str] = Counter()
    total = 0.0
    for request in requests:
        total += request.worth
        cause = loss_cause(request, observations)
        if cause is not None:
            by_cause[cause] += request.worth - request.earned  # type: ignore[assignment]
    return {cause: lost / total for cause, lost in by_cause.most_common()} if total else {}
