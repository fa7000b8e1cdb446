"""What other proxies saw at the cache nodes, and when it counts.  Pure.

Each member tells, by node, how many of its own requests lately came to something there and how many
did not; never what it heard.  So nothing is counted twice, and a rumor can't feed itself.

What is heard is weighed by its age (halved each HALF_LIFE), and members by each other:

- **one whose own path is cut convinces nobody**: who sees trouble at CUT_SHARE or more of the nodes
  it speaks of speaks of itself, and is left out until it doesn't;
- **no one counts for more than WEIGHT_MOST times the median witness**, however many requests it
  claims, and a node is held for bad only with WITNESSES at least, by more than BAD_SHARE of their
  weight.  So of n witnesses with about equal weight those who lie must be more than
  n * BAD_SHARE / (WEIGHT_MOST - (WEIGHT_MOST - 1) * BAD_SHARE) to hold a sound node for bad: with
  2 and 0.5 a third.  One in ten moves nothing from eight witnesses on;
- **the nearest first**: witnesses of one's own zone, where there are enough, since a node may be
  bad for one zone alone;
- **own evidence first**: with OWN_ENOUGH requests of its own a proxy believes these;
- **a node's new start voids** what was said of the one before.

What is heard is kept in bounds: TALLIES_MOST tallies in all, or TALLIES_LEAST a node where that is
more; of each node the newest.  Those that have faded are dropped in the order in which they fade.

A round looks at what was heard or has faded since the one before, and at the nodes that may be bad:
those of which others told at least BAD_LEAST bad outcomes that have not faded.  What members are
cut off is kept as they are heard.

What comes out is a hint: these nodes seem bad.  The module leaves such a node alone for a while, as
if it had met the trouble itself, within its own bounds of how many it does without, and asks it
again by few.  A hint never starts anything: no drain, no going, no request, no effect.
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
MIN_BAD_OUTCOMES = 2.0  # outcomes that have not faded: one in a hundred fails anywhere
BAD_SHARE = 0.5
RECOVERED_SHARE = 0.3  # below it a node that was held for bad is not any more
ISOLATED_SHARE = 0.75
MIN_ISOLATED_NODES = 3  # nodes that a member must speak of to be judged by that
MAX_RELATIVE_WEIGHT = 2.0  # times the median witness
SUFFICIENT_OWN_OUTCOMES = 4.0  # outcomes of one's own
MAX_NODES = 4096
MAX_MEMBERS = 4096
TROUBLE_TTL_S = 20.0  # s after the last word of trouble: five half-lives
MAX_REPORTED_NODES = 24  # nodes that one datagram tells of
MAX_OUTCOME_ROWS = 16_384  # of all members at all nodes, spread evenly over the nodes
MIN_ROWS_PER_NODE = 8  # at each node, however many nodes there are
MAX_EXPIRED_PER_ROUND = 512  # faded tallies that are dropped in one calm round
ROUNDING_ERROR = 1e-6  # outcomes by which a sum that is kept may be wrong


@dataclass(slots=True)
class _Node:
    started: int
    place: int  # in the order in which the nodes were listed
    rows: dict[str, int] = field(default_factory=dict)  # rows of the table, by member
    trouble: DecayingOutcomes = field(
        default_factory=DecayingOutcomes
    )  # bad outcomes: the sum of all that was said
    bad: bool = False  # as it was judged last
    troubled_until: float = 0.0  # since a member told of trouble there


@dataclass(slots=True)
class _Witness:
    """A member whose word of some node has not faded."""

    name: str
    zone: str
    first: int = NO_ROW  # of its rows in the table
    nodes: int = 0  # that it told of
    troubled: int = 0  # of them, those where it saw trouble

    @property
    def isolated(self) -> bool:
        """Whether it sees trouble nearly everywhere."""
        return self.nodes >= MIN_ISOLATED_NODES and self.troubled >= ISOLATED_SHARE * self.nodes


class NodeHealth:
    """One proxy's.  `now`: s; nodes by number, as the module knows them."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._own_outcomes = OwnOutcomes()
        self._nodes: dict[int, _Node] = {}
        self._listed = 0  # so far
        self._witnesses: dict[str, _Witness] = {}
        self._isolated: set[str] = set()  # witnesses that are cut off
        self._table = OutcomeTable()
        self._max_rows_per_node = 0  # members whose word is kept for one node
        self._candidates: dict[int, _Node] = {}  # nodes that may be bad
        self._troubled_until = 0.0

    # --- the list ---
    def add_node(self, node: int, started: float) -> None:
        """It is there, and began then (ms)."""
        known = self._nodes.get(node)
        if known is None:
            if len(self._nodes) < MAX_NODES:
                self._listed += 1
                self._nodes[node] = _Node(int(started), self._listed)
                self._own_outcomes.add_node(node)
                self._update_row_limit()
        elif int(started) > known.started:
            self._remove_rows_of(node, known)
            self._nodes[node] = _Node(int(started), known.place)
            self._own_outcomes.reset_node(node)

    def remove_node(self, node: int) -> None:
        """It is not listed any more."""
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

    # --- evidence ---
    def record_outcome(self, now: float, node: int, bad: bool) -> None:
        """How a request of our own ended there, by what tells of the node."""
        if node in self._nodes:
            self._own_outcomes.record(now, node, bad)

    def merge_report(
        self, now: float, member: str, zone: str, report: HealthReport, age: float
    ) -> None:
        """A member's own, as it was `age` s ago at most."""
        node = self._nodes.get(report.node)
        if node is None or report.started != node.started:
            return  # another list, or another start: whichever of both is late, it says nothing
        if member in node.rows:
            self._remove_row(report.node, member)
        elif len(node.rows) >= self._max_rows_per_node:
            self._remove_row(report.node, next(iter(node.rows)))  # the one heard longest ago
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
        node.rows[witness.name] = row  # its own name: each datagram has another copy of it
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
        """Its word goes with it."""
        witness = self._witnesses.get(member)
        if witness is not None:
            table = self._table
            for node in [table.node[row] for row in table.by_member.rows(witness.first)]:
                self._remove_row(node, member)

    # --- telling ---
    def reports_to_send(self, now: float, most: int = MAX_REPORTED_NODES) -> list[HealthReport]:
        """What of our own is told next: the worst first, the others in turn."""
        return [
            HealthReport(
                node, self._nodes[node].started, round(outcomes.good, 2), round(outcomes.bad, 2)
            )
            for node, outcomes in self._own_outcomes.next_report(now, most)
        ]

    def mark_sent(self, reports: Iterable[HealthReport]) -> None:
        """These were sent: the others' turn comes first."""
        self._own_outcomes.mark_sent(report.node for report in reports)

    # --- judging ---
    def unhealthy_nodes(self, now: float) -> list[int]:
        """Nodes that seem bad by what others saw, and not by what we did."""
        if now >= self._troubled_until:
            self._expire(now, MAX_EXPIRED_PER_ROUND)
            self._clear_candidates()
            return []  # nobody has told of any trouble that has not faded
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
        """Drop what has faded, so many at most."""
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
        """Members who see trouble nearly everywhere."""
        if now >= self._troubled_until:
            return ()
        self._expire(now)
        return self._isolated

    def _is_unhealthy(self, node: _Node, own: DecayingOutcomes, isolated: Collection[str]) -> bool:
        if own.weight >= SUFFICIENT_OWN_OUTCOMES:
            return False  # the module has seen it itself
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

    # --- looking ---
    def estimates(self, now: float) -> list[tuple[int, int, float, float, bool]]:
        """Node, witnesses, the share of trouble that they saw, our own, and the hint."""
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
