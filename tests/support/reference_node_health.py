"""Reference implementation of `NodeHealth` that scans all nodes and reports in every call.

Tests compare it with the incremental implementation of violetroute/sharing/node_health.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from violetroute.sharing.decaying_outcomes import HALF_LIFE_S, MIN_WEIGHT
from violetroute.sharing.node_health import (
    BAD_SHARE,
    ISOLATED_SHARE,
    MAX_MEMBERS,
    MAX_NODES,
    MAX_OUTCOME_ROWS,
    MAX_RELATIVE_WEIGHT,
    MAX_REPORTED_NODES,
    MIN_BAD_OUTCOMES,
    MIN_ISOLATED_NODES,
    MIN_ROWS_PER_NODE,
    MIN_WITNESSES,
    RECOVERED_SHARE,
    SUFFICIENT_OWN_OUTCOMES,
    TROUBLE_TTL_S,
)
from violetroute.sharing.wire import HealthReport


@dataclass(slots=True)
class Outcomes:
    """Good and bad outcomes, halved each HALF_LIFE_S."""

    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Decay to the time `now`."""
        if now > self.at:
            remaining = 0.5 ** ((now - self.at) / HALF_LIFE_S)
            self.good, self.bad, self.at = self.good * remaining, self.bad * remaining, now

    @property
    def weight(self) -> float:
        """The sum of good and bad outcomes."""
        return self.good + self.bad

    @property
    def share(self) -> float:
        """The share of bad outcomes."""
        return self.bad / max(self.good + self.bad, 1e-9)


@dataclass(slots=True)
class _Node:
    started: int = 0
    own: Outcomes = field(default_factory=Outcomes)
    reports: dict[str, Outcomes] = field(default_factory=dict)  # by member
    bad: bool = False  # the last estimate
    troubled_until: float = 0.0  # s; TROUBLE_TTL_S after the last report of trouble
    last_report: int = 0  # number of the last own report that contained it


class ReferenceNodeHealth:
    """The same results as `NodeHealth`, by a scan of all nodes and all reports about them."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._nodes: dict[int, _Node] = {}
        self._zones: dict[str, str] = {}  # of members
        self._sent_reports = 0  # own reports sent so far
        self._troubled_until = 0.0

    # --- the list ---
    def add_node(self, node: int, started: float) -> None:
        """Add a node, or reset it if it was restarted.  `started`: ms, its start time."""
        known = self._nodes.get(node)
        if known is None:
            if len(self._nodes) < MAX_NODES:
                self._nodes[node] = _Node(int(started))
        elif int(started) > known.started:
            self._nodes[node] = _Node(int(started))

    def remove_node(self, node: int) -> None:
        """Forget a node that is no longer listed."""
        self._nodes.pop(node, None)

    # --- evidence ---
    def record_outcome(self, now: float, node: int, bad: bool) -> None:
        """Record the outcome of an own request at a node."""
        known = self._nodes.get(node)
        if known is not None:
            known.own.decay(now)
            known.own.good += not bad
            known.own.bad += bad

    def merge_report(
        self, now: float, member: str, zone: str, report: HealthReport, age: float
    ) -> None:
        """Replace a member's report about a node by one that is at most `age` s old."""
        node = self._nodes.get(report.node)
        if node is None or report.started != node.started:
            return  # the lists or the node's start times differ, and either side may be outdated
        remaining = 0.5 ** (age / HALF_LIFE_S)
        node.reports.pop(member, None)
        if len(node.reports) >= self._max_rows_per_node:
            del node.reports[next(iter(node.reports))]  # the oldest report
        node.reports[member] = Outcomes(report.good * remaining, report.bad * remaining, now)
        if report.bad * remaining >= MIN_WEIGHT:
            self._troubled_until = node.troubled_until = now + TROUBLE_TTL_S
        self._zones[member] = zone

    @property
    def _max_rows_per_node(self) -> int:
        """The number of reports kept for one node."""
        return min(
            MAX_MEMBERS, max(MIN_ROWS_PER_NODE, MAX_OUTCOME_ROWS // max(1, len(self._nodes)))
        )

    def forget_member(self, member: str) -> None:
        """Drop all reports of a member."""
        self._zones.pop(member, None)
        for node in self._nodes.values():
            node.reports.pop(member, None)

    # --- own reports ---
    def reports_to_send(self, now: float, most: int = MAX_REPORTED_NODES) -> list[HealthReport]:
        """The next reports about own requests: the worst nodes first, the others in turn.

        At most half of them are about troubled nodes, since others take a member that reports
        more for an isolated one.
        """
        for node in self._nodes.values():
            node.own.decay(now)
        known = [
            (number, node) for number, node in self._nodes.items() if node.own.weight >= MIN_WEIGHT
        ]
        troubled = [at for at in known if at[1].own.bad >= MIN_WEIGHT]
        healthy = [at for at in known if at[1].own.bad < MIN_WEIGHT]
        troubled.sort(key=lambda at: -at[1].own.bad)
        selected, others = troubled[: most // 4], troubled[most // 4 :]
        selected += sorted(others, key=lambda at: at[1].last_report)[: most // 2 - len(selected)]
        selected += sorted(healthy, key=lambda at: at[1].last_report)[: most - len(selected)]
        return [
            HealthReport(number, node.started, round(node.own.good, 2), round(node.own.bad, 2))
            for number, node in selected
        ]

    def mark_sent(self, reports: Iterable[HealthReport]) -> None:
        """Note that these reports were sent; other nodes have their turn first now."""
        self._sent_reports += 1
        for report in reports:
            self._nodes[report.node].last_report = self._sent_reports

    # --- estimates ---
    def unhealthy_nodes(self, now: float) -> list[int]:
        """Nodes that are unhealthy by the peers' reports and lack own evidence."""
        if now >= self._troubled_until:
            for node in self._nodes.values():
                node.bad = False
            return []  # all reported trouble has decayed
        unhealthy = []
        for number, node in self._nodes.items():
            if now >= node.troubled_until:
                node.bad = False
                continue
            self._decay(node, now)
            node.bad = self._is_unhealthy(node, set())
            if node.bad:
                unhealthy.append(number)
        if not unhealthy:
            return []
        isolated = self.isolated_members(now)
        for number in list(unhealthy):
            node = self._nodes[number]
            if isolated and not self._is_unhealthy(node, isolated):
                node.bad = False
                unhealthy.remove(number)
        return unhealthy

    def _decay(self, node: _Node, now: float) -> None:
        for member, outcomes in list(node.reports.items()):
            outcomes.decay(now)
            if outcomes.weight < MIN_WEIGHT:
                del node.reports[member]
        node.own.decay(now)

    def isolated_members(self, now: float) -> set[str]:
        """Members that see trouble at nearly all nodes that they report.  Scans all reports."""
        if now >= self._troubled_until:
            return set()
        for node in self._nodes.values():
            self._decay(node, now)
        reported: dict[str, int] = {}
        troubled: dict[str, int] = {}
        for node in self._nodes.values():
            for member, outcomes in node.reports.items():
                reported[member] = reported.get(member, 0) + 1
                troubled[member] = troubled.get(member, 0) + (outcomes.share >= BAD_SHARE)
        return {
            member
            for member, nodes in reported.items()
            if nodes >= MIN_ISOLATED_NODES and troubled[member] >= ISOLATED_SHARE * nodes
        }

    def _is_unhealthy(self, node: _Node, isolated: set[str]) -> bool:
        if node.own.weight >= SUFFICIENT_OWN_OUTCOMES:
            return False  # the balancer uses this proxy's own outcomes instead
        reports = {
            member: outcomes for member, outcomes in node.reports.items() if member not in isolated
        }
        near = {
            member: outcomes
            for member, outcomes in reports.items()
            if self._zones.get(member) == self._zone
        }
        votes = list((near if len(near) >= MIN_WITNESSES else reports).values())
        if len(votes) < MIN_WITNESSES:
            return False
        most = MAX_RELATIVE_WEIGHT * median(outcomes.weight for outcomes in votes)
        weights = [min(outcomes.weight, most) for outcomes in votes]
        bad = sum(weight * outcomes.share for weight, outcomes in zip(weights, votes, strict=True))
        if node.bad:
            return bad > RECOVERED_SHARE * sum(weights)
        return bad >= MIN_BAD_OUTCOMES and bad > BAD_SHARE * sum(weights)
