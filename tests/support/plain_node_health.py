"""Judgements of nodes by plain walks over everything, for comparison with what is kept in order."""

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
class Tally:
    """Outcomes that fade."""

    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0

    def fade(self, now: float) -> None:
        if now > self.at:
            left = 0.5 ** ((now - self.at) / HALF_LIFE_S)
            self.good, self.bad, self.at = self.good * left, self.bad * left, now

    @property
    def weight(self) -> float:
        return self.good + self.bad

    @property
    def share(self) -> float:
        return self.bad / max(self.good + self.bad, 1e-9)


@dataclass(slots=True)
class _Node:
    started: int = 0
    own: Tally = field(default_factory=Tally)
    said: dict[str, Tally] = field(default_factory=dict)  # by member
    bad: bool = False  # as it was judged last
    troubled_until: float = 0.0  # since a member told of trouble there
    told: int = 0  # the last report of ours that told of it


class PlainNodeHealth:
    """What `NodeHealth` decides, by a walk over all nodes and all that was said of them."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._nodes: dict[int, _Node] = {}
        self._zones: dict[str, str] = {}  # of members
        self._reports = 0  # sent so far
        self._troubled_until = 0.0

    # --- the list ---
    def add_node(self, node: int, started: float) -> None:
        """It is there, and began then (ms)."""
        known = self._nodes.get(node)
        if known is None:
            if len(self._nodes) < MAX_NODES:
                self._nodes[node] = _Node(int(started))
        elif int(started) > known.started:
            self._nodes[node] = _Node(int(started))

    def remove_node(self, node: int) -> None:
        self._nodes.pop(node, None)

    # --- evidence ---
    def record_outcome(self, now: float, node: int, bad: bool) -> None:
        """How a request of our own ended there, by what tells of the node."""
        known = self._nodes.get(node)
        if known is not None:
            known.own.fade(now)
            known.own.good += not bad
            known.own.bad += bad

    def merge_report(
        self, now: float, member: str, zone: str, report: HealthReport, age: float
    ) -> None:
        """A member's own, as it was `age` s ago at most."""
        node = self._nodes.get(report.node)
        if node is None or report.started != node.started:
            return  # another list, or another start: whichever of both is late, it says nothing
        left = 0.5 ** (age / HALF_LIFE_S)
        node.said.pop(member, None)
        if len(node.said) >= self._max_rows_per_node:
            del node.said[next(iter(node.said))]  # the one heard longest ago
        node.said[member] = Tally(report.good * left, report.bad * left, now)
        if report.bad * left >= MIN_WEIGHT:
            self._troubled_until = node.troubled_until = now + TROUBLE_TTL_S
        self._zones[member] = zone

    @property
    def _max_rows_per_node(self) -> int:
        """Members whose word is kept for one node."""
        return min(
            MAX_MEMBERS, max(MIN_ROWS_PER_NODE, MAX_OUTCOME_ROWS // max(1, len(self._nodes)))
        )

    def forget_member(self, member: str) -> None:
        """Its word goes with it."""
        self._zones.pop(member, None)
        for node in self._nodes.values():
            node.said.pop(member, None)

    # --- telling ---
    def reports_to_send(self, now: float, most: int = MAX_REPORTED_NODES) -> list[HealthReport]:
        """What of our own is told next: the worst first, the others in turn.

        At most half are troubled nodes: a report with more would show a member that is cut off.
        """
        for node in self._nodes.values():
            node.own.fade(now)
        known = [
            (number, node) for number, node in self._nodes.items() if node.own.weight >= MIN_WEIGHT
        ]
        troubled = [at for at in known if at[1].own.bad >= MIN_WEIGHT]
        sound = [at for at in known if at[1].own.bad < MIN_WEIGHT]
        troubled.sort(key=lambda at: -at[1].own.bad)
        chosen, others = troubled[: most // 4], troubled[most // 4 :]
        chosen += sorted(others, key=lambda at: at[1].told)[: most // 2 - len(chosen)]
        chosen += sorted(sound, key=lambda at: at[1].told)[: most - len(chosen)]
        return [
            HealthReport(number, node.started, round(node.own.good, 2), round(node.own.bad, 2))
            for number, node in chosen
        ]

    def mark_sent(self, reports: Iterable[HealthReport]) -> None:
        """These were sent: the others' turn comes first."""
        self._reports += 1
        for report in reports:
            self._nodes[report.node].told = self._reports

    # --- judging ---
    def unhealthy_nodes(self, now: float) -> list[int]:
        """Nodes that seem bad by what others saw, and not by what we did."""
        if now >= self._troubled_until:
            for node in self._nodes.values():
                node.bad = False
            return []  # nobody has told of any trouble that has not faded
        found = []
        for number, node in self._nodes.items():
            if now >= node.troubled_until:
                node.bad = False
                continue
            self._fade(node, now)
            node.bad = self._is_bad(node, set())
            if node.bad:
                found.append(number)
        if not found:
            return []
        cut = self.isolated_members(now)
        for number in list(found):
            node = self._nodes[number]
            if cut and not self._is_bad(node, cut):
                node.bad = False
                found.remove(number)
        return found

    def _fade(self, node: _Node, now: float) -> None:
        for member, tally in list(node.said.items()):
            tally.fade(now)
            if tally.weight < MIN_WEIGHT:
                del node.said[member]
        node.own.fade(now)

    def isolated_members(self, now: float) -> set[str]:
        """Members who see trouble nearly everywhere.  Looks at all that was said: ask rarely."""
        if now >= self._troubled_until:
            return set()
        for node in self._nodes.values():
            self._fade(node, now)
        spoke: dict[str, int] = {}
        troubled: dict[str, int] = {}
        for node in self._nodes.values():
            for member, tally in node.said.items():
                spoke[member] = spoke.get(member, 0) + 1
                troubled[member] = troubled.get(member, 0) + (tally.share >= BAD_SHARE)
        return {
            member
            for member, nodes in spoke.items()
            if nodes >= MIN_ISOLATED_NODES and troubled[member] >= ISOLATED_SHARE * nodes
        }

    def _is_bad(self, node: _Node, cut: set[str]) -> bool:
        if node.own.weight >= SUFFICIENT_OWN_OUTCOMES:
            return False  # the module has seen it itself
        said = {member: tally for member, tally in node.said.items() if member not in cut}
        near = {
            member: tally for member, tally in said.items() if self._zones.get(member) == self._zone
        }
        votes = list((near if len(near) >= MIN_WITNESSES else said).values())
        if len(votes) < MIN_WITNESSES:
            return False
        most = MAX_RELATIVE_WEIGHT * median(tally.weight for tally in votes)
        weights = [min(tally.weight, most) for tally in votes]
        bad = sum(weight * tally.share for weight, tally in zip(weights, votes, strict=True))
        if node.bad:
            return bad > RECOVERED_SHARE * sum(weights)
        return bad >= MIN_BAD_OUTCOMES and bad > BAD_SHARE * sum(weights)
