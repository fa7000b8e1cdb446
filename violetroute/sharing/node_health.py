"""Health of the cache nodes as reported by other proxies, and when a report counts.  Pure.

Each member reports, by node, how many of its own recent requests succeeded and failed there; never
what others reported.  So nothing is counted twice, and reports cannot amplify themselves.

Reports are weighted by age (halved each HALF_LIFE_S) and by member:

- **An isolated member does not count**: a member that sees trouble at ISOLATED_SHARE or more of the
  nodes that it reports likely has a broken path itself.  It is left out until that ends.
- **No member counts for more than MAX_RELATIVE_WEIGHT times the median witness**, however many
  requests it claims.  A node is unhealthy only with MIN_WITNESSES witnesses and by more than
  BAD_SHARE of their weight.  So of n witnesses with about equal weight, more than
  n * BAD_SHARE / (MAX_RELATIVE_WEIGHT - (MAX_RELATIVE_WEIGHT - 1) * BAD_SHARE) must report falsely
  to make a healthy node unhealthy: a third with 2 and 0.5.  One false report in ten has no effect
  with eight or more witnesses.
- **The own zone first**: witnesses of the own zone, if there are enough, since a node may be
  unhealthy for one zone only.
- **Own evidence first**: a proxy with SUFFICIENT_OWN_OUTCOMES relies on its own requests.
- **A restart of a node voids** reports about its previous start.

At most MAX_OUTCOME_ROWS reports are kept, or MIN_ROWS_PER_NODE a node if that is more; of each node
the newest.  Decayed reports are dropped in the order of their expiry.

A round looks only at reports that arrived or expired since the last one, and at candidates: nodes
with at least MIN_BAD_OUTCOMES reported bad outcomes that have not decayed.  The set of isolated
members is updated as reports arrive.

The result is an estimate: the balancer ejects such a node for a while, as after own bad outcomes,
within its bound of ejected nodes, and tests it again with few requests.  An estimate never starts a
drain, a removal, a request or an effect.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from statistics import median

from .decaying_outcomes import HALF_LIFE_S, MIN_WEIGHT, DecayingOutcomes
from .outcome_table import OutcomeTable
from .own_outcomes import OwnOutcomes
from .row_lists import NO_ROW
from .wire import HealthReport

MIN_WITNESSES = 3
MIN_BAD_OUTCOMES = 2.0  # bad outcomes after decay; one request in a hundred fails at any node
BAD_SHARE = 0.5
RECOVERED_SHARE = 0.3  # an unhealthy node recovers at or below this share
ISOLATED_SHARE = 0.75
MIN_ISOLATED_NODES = 3  # reported nodes below which a member never counts as isolated
MAX_RELATIVE_WEIGHT = 2.0  # max weight of a witness, as a multiple of the median weight
SUFFICIENT_OWN_OUTCOMES = 4.0
MAX_NODES = 4096
MAX_MEMBERS = 4096
TROUBLE_TTL_S = 20.0  # time that trouble lasts after its last report: five half-lives
MAX_REPORTED_NODES = 24  # nodes reported in one datagram
MAX_OUTCOME_ROWS = 16_384  # reports of all members, spread evenly over the nodes
MIN_ROWS_PER_NODE = 8  # reports of each node, however many nodes there are
MAX_EXPIRED_PER_ROUND = 512  # expired reports dropped in one round without trouble
ROUNDING_ERROR = 1e-6  # outcomes; bound of the error of an incremental sum


@dataclass(slots=True)
class _Node:
    started: int
    place: int  # order in which the nodes were added
    rows: dict[str, int] = field(default_factory=dict)  # rows of the table, by member
    # Sum of the bad outcomes of all reports.
    trouble: DecayingOutcomes = field(default_factory=DecayingOutcomes)
    bad: bool = False  # the last estimate
    troubled_until: float = 0.0  # s; TROUBLE_TTL_S after the last report of trouble


@dataclass(slots=True)
class _Witness:
    """A member with at least one report that has not expired."""

    name: str
    zone: str
    first: int = NO_ROW  # the first of its rows in the table
    nodes: int = 0  # number of nodes that it reports
    troubled: int = 0  # number of nodes for which it reports trouble

    @property
    def isolated(self) -> bool:
        """Whether this member sees trouble at nearly all nodes that it reports."""
        return self.nodes >= MIN_ISOLATED_NODES and self.troubled >= ISOLATED_SHARE * self.nodes


class NodeHealth:
    """Reported node health at one proxy.  `now`: s; nodes by the balancer's node IDs."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._own_outcomes = OwnOutcomes()
        self._nodes: dict[int, _Node] = {}
        self._added_count = 0  # nodes added so far
        self._witnesses: dict[str, _Witness] = {}
        self._isolated: set[str] = set()  # names of isolated witnesses
        self._table = OutcomeTable()
        self._max_rows_per_node = 0  # reports kept for one node
        self._candidates: dict[int, _Node] = {}  # nodes that may be unhealthy
        self._troubled_until = 0.0

    # --- the node list ---
    def add_node(self, node: int, started: float) -> None:
        """Add a node, or reset it if it was restarted.  `started`: ms, its start time."""
        known = self._nodes.get(node)
        if known is None:
            if len(self._nodes) < MAX_NODES:
                self._added_count += 1
                self._nodes[node] = _Node(int(started), self._added_count)
                self._own_outcomes.add_node(node)
                self._update_row_limit()
        elif int(started) > known.started:
            self._remove_rows_of(node, known)
            self._nodes[node] = _Node(int(started), known.place)
            self._own_outcomes.reset_node(node)

    def remove_node(self, node: int) -> None:
        """Forget a node that is no longer listed."""
        known = self._nodes.get(node)
        if known is not None:
            self._remove_rows_of(node, known)
            del self._nodes[node]
            self._own_outcomes.remove_node(node)
            self._update_row_limit()

    def _update_row_limit(self) -> None:
        each = MAX_OUTCOME_ROWS // max(1, len(self._nodes))
        self._max_rows_per_node = min(MAX_MEMBERS, max(MIN_ROWS_PER_NODE, each))

    def _remove_rows_of(self, node: int, known: _Node) -> None:
        for member in list(known.rows):
            self._remove_row(node, member)
        self._candidates.pop(node, None)

    # --- own outcomes and reports of peers ---
    def record_outcome(self, now: float, node: int, bad: bool) -> None:
        """Record the outcome of an own request at a node."""
        if node in self._nodes:
            self._own_outcomes.record(now, node, bad)

    def merge_report(
        self, now: float, member: str, zone: str, report: HealthReport, age: float
    ) -> None:
        """Replace a member's report about a node by one that is at most `age` s old."""
        node = self._nodes.get(report.node)
        if node is None or report.started != node.started:
            return  # the lists or the starts of the node differ: either side may be outdated
        if member in node.rows:
            self._remove_row(report.node, member)
        elif len(node.rows) >= self._max_rows_per_node:
            self._remove_row(report.node, next(iter(node.rows)))  # the oldest report
        left = 0.5 ** (age / HALF_LIFE_S)
        witness = self._witnesses.get(member)
        if witness is None:
            witness = self._witnesses[member] = _Witness(member, zone)
        witness.zone = zone
        self._add_row(report.node, node, witness, report.good * left, report.bad * left, now)
        if report.bad * left >= MIN_WEIGHT:
            self._troubled_until = node.troubled_until = now + TROUBLE_TTL_S

    def _add_row(
        self, number: int, node: _Node, witness: _Witness, good: float, bad: float, now: float
    ) -> None:
        table = self._table
        row = table.add(number, witness.name, good, bad, now)
        table.trouble[row] = table.bad_share(row) >= BAD_SHARE
        node.rows[witness.name] = row  # reuses the witness's string: each datagram holds a new copy
        if bad:
            node.trouble.decay(now)
            node.trouble.bad += bad
            if node.trouble.bad >= MIN_BAD_OUTCOMES - ROUNDING_ERROR:
                self._candidates[number] = node
        witness.first = table.by_member.insert(row, witness.first)
        witness.nodes += 1
        witness.troubled += table.trouble[row]
        if witness.troubled:
            self._update_isolated(witness)

    def _remove_row(self, number: int, member: str) -> None:
        node, witness, table = self._nodes[number], self._witnesses.get(member), self._table
        row = node.rows.pop(member, NO_ROW)
        if row == NO_ROW or witness is None:
            return
        if table.bad[row]:
            age = node.trouble.at - table.at[row]
            node.trouble.bad -= table.bad[row] * 0.5 ** (age / HALF_LIFE_S)
        witness.first = table.by_member.remove(row, witness.first)
        table.remove(row)
        witness.nodes -= 1
        if witness.troubled:
            witness.troubled -= table.trouble[row]
            self._update_isolated(witness)
        if not witness.nodes:
            del self._witnesses[member]

    def _update_isolated(self, witness: _Witness) -> None:
        if witness.isolated:
            self._isolated.add(witness.name)
        else:
            self._isolated.discard(witness.name)

    def forget_member(self, member: str) -> None:
        """Drop all reports of a member that is dead or has left."""
        witness = self._witnesses.get(member)
        if witness is not None:
            table = self._table
            for node in [table.node[row] for row in table.by_member.rows(witness.first)]:
                self._remove_row(node, member)

    # --- own reports ---
    def reports_to_send(self, now: float, most: int = MAX_REPORTED_NODES) -> list[HealthReport]:
        """The next reports about own requests: the worst nodes first, the others in turn."""
        return [
            HealthReport(
                node, self._nodes[node].started, round(outcomes.good, 2), round(outcomes.bad, 2)
            )
            for node, outcomes in self._own_outcomes.next_report(now, most)
        ]

    def mark_sent(self, reports: Iterable[HealthReport]) -> None:
        """Note that these reports were sent; other nodes have their turn first now."""
        self._own_outcomes.mark_sent(report.node for report in reports)

    # --- estimates ---
    def unhealthy_nodes(self, now: float) -> list[int]:
        """Nodes that are unhealthy by the peers' reports and lack own evidence."""
        if now >= self._troubled_until:
            self._expire(now, MAX_EXPIRED_PER_ROUND)
            self._clear_candidates()
            return []  # all reported trouble has decayed
        isolated = self.isolated_members(now)
        found = []
        for number, node in sorted(self._candidates.items(), key=lambda at: at[1].place):
            if not self._is_candidate(node, now):
                node.bad = False
                del self._candidates[number]
                continue
            self._decay(number, node, now)
            own = self._own_outcomes.outcomes(now, number)
            node.bad = self._is_unhealthy(node, own, ())
            if node.bad and isolated:
                node.bad = self._is_unhealthy(node, own, isolated)
            if node.bad:
                found.append(number)
        return found

    def _clear_candidates(self) -> None:
        for node in self._candidates.values():
            node.bad = False
        self._candidates.clear()

    @staticmethod
    def _is_candidate(node: _Node, now: float) -> bool:
        if now >= node.troubled_until:
            return False
        node.trouble.decay(now)
        return node.bad or node.trouble.bad >= MIN_BAD_OUTCOMES - ROUNDING_ERROR

    def _expire(self, now: float, most: int | None = None) -> None:
        """Drop expired reports, at most `most`."""
        table, dropped = self._table, 0
        for row in table.expiry.due(now):
            if dropped == most:
                return
            if table.until[row] < now:
                dropped += 1
                self._remove_row(table.node[row], table.member[row])

    def _decay(self, number: int, node: _Node, now: float) -> None:
        table = self._table
        for member, row in list(node.rows.items()):
            table.decay(row, now)
            if table.weight(row) < MIN_WEIGHT:
                self._remove_row(number, member)

    def isolated_members(self, now: float) -> Collection[str]:
        """Members that see trouble at nearly all nodes that they report."""
        if now >= self._troubled_until:
            return ()
        self._expire(now)
        return self._isolated

    def _is_unhealthy(self, node: _Node, own: DecayingOutcomes, isolated: Collection[str]) -> bool:
        if own.weight >= SUFFICIENT_OWN_OUTCOMES:
            return False  # the balancer uses this proxy's own outcomes instead
        table = self._table
        rows = {member: row for member, row in node.rows.items() if member not in isolated}
        near = [row for member, row in rows.items() if self._witnesses[member].zone == self._zone]
        votes = near if len(near) >= MIN_WITNESSES else list(rows.values())
        if len(votes) < MIN_WITNESSES:
            return False
        most = MAX_RELATIVE_WEIGHT * median(table.weight(row) for row in votes)
        weights = [min(table.weight(row), most) for row in votes]
        bad = sum(weight * table.bad_share(row) for weight, row in zip(weights, votes, strict=True))
        if node.bad:
            return bad > RECOVERED_SHARE * sum(weights)
        return bad >= MIN_BAD_OUTCOMES and bad > BAD_SHARE * sum(weights)

    # --- introspection ---
    def estimates(self, now: float) -> list[tuple[int, int, float, float, bool]]:
        """For each node: ID, witnesses, their share of bad outcomes, the own one, the estimate."""
        return [
            (
                number,
                len(node.rows),
                sum(map(self._table.bad.__getitem__, node.rows.values()))
                / max(1e-9, sum(map(self._table.weight, node.rows.values()))),
                self._own_outcomes.bad_share(number),
                node.bad,
            )
            for number, node in self._nodes.items()
        ]
