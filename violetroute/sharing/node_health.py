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

from .decaying_outcomes import HALF_LIFE, WEIGHT_LEAST, Tally
from .outcome_table import TallyTable
from .own_outcomes import OwnOutcomes
from .row_lists import NO_ROW
from .wire import HealthReport

WITNESSES = 3
BAD_LEAST = 2.0  # outcomes that have not faded: one in a hundred fails anywhere
BAD_SHARE = 0.5
WELL_SHARE = 0.3  # below it a node that was held for bad is not any more
CUT_SHARE = 0.75
CUT_LEAST = 3  # nodes that a member must speak of to be judged by that
WEIGHT_MOST = 2.0  # times the median witness
OWN_ENOUGH = 4.0  # outcomes of one's own
NODES_MOST = 4096
MEMBERS_MOST = 4096
TROUBLED_S = 20.0  # s after the last word of trouble: five half-lives
TELLS_MOST = 24  # nodes that one datagram tells of
TALLIES_MOST = 16_384  # of all members at all nodes, spread evenly over the nodes
TALLIES_LEAST = 8  # at each node, however many nodes there are
EXPIRED_MOST = 512  # faded tallies that are dropped in one calm round
ROUNDING = 1e-6  # outcomes by which a sum that is kept may be wrong


@dataclass(slots=True)
class _Node:
    started: int
    place: int  # in the order in which the nodes were listed
    said: dict[str, int] = field(default_factory=dict)  # rows of the table, by member
    trouble: Tally = field(default_factory=Tally)  # bad outcomes: the sum of all that was said
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
    def cut(self) -> bool:
        """Whether it sees trouble nearly everywhere."""
        return self.nodes >= CUT_LEAST and self.troubled >= CUT_SHARE * self.nodes


class NodeHealth:
    """One proxy's.  `now`: s; nodes by number, as the module knows them."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._own = OwnOutcomes()
        self._nodes: dict[int, _Node] = {}
        self._listed = 0  # so far
        self._witnesses: dict[str, _Witness] = {}
        self._cut: set[str] = set()  # witnesses that are cut off
        self._tallies = TallyTable()
        self._tallies_most = 0  # members whose word is kept for one node
        self._suspects: dict[int, _Node] = {}  # nodes that may be bad
        self._troubled_until = 0.0

    # --- the list ---
    def listed(self, node: int, started: float) -> None:
        """It is there, and began then (ms)."""
        known = self._nodes.get(node)
        if known is None:
            if len(self._nodes) < NODES_MOST:
                self._listed += 1
                self._nodes[node] = _Node(int(started), self._listed)
                self._own.listed(node)
                self._limit()
        elif int(started) > known.started:
            self._forget_node(node, known)
            self._nodes[node] = _Node(int(started), known.place)
            self._own.restarted(node)

    def gone(self, node: int) -> None:
        """It is not listed any more."""
        known = self._nodes.get(node)
        if known is not None:
            self._forget_node(node, known)
            del self._nodes[node]
            self._own.gone(node)
            self._limit()

    def _limit(self) -> None:
        each = TALLIES_MOST // max(1, len(self._nodes))
        self._tallies_most = min(MEMBERS_MOST, max(TALLIES_LEAST, each))

    def _forget_node(self, node: int, known: _Node) -> None:
        for member in list(known.said):
            self._forget(node, member)
        self._suspects.pop(node, None)

    # --- evidence ---
    def record_outcome(self, now: float, node: int, bad: bool) -> None:
        """How a request of our own ended there, by what tells of the node."""
        if node in self._nodes:
            self._own.record(now, node, bad)

    def merge_report(
        self, now: float, member: str, zone: str, report: HealthReport, age: float
    ) -> None:
        """A member's own, as it was `age` s ago at most."""
        node = self._nodes.get(report.node)
        if node is None or report.started != node.started:
            return  # another list, or another start: whichever of both is late, it says nothing
        if member in node.said:
            self._forget(report.node, member)
        elif len(node.said) >= self._tallies_most:
            self._forget(report.node, next(iter(node.said)))  # the one heard longest ago
        left = 0.5 ** (age / HALF_LIFE)
        witness = self._witnesses.get(member)
        if witness is None:
            witness = self._witnesses[member] = _Witness(member, zone)
        witness.zone = zone
        self._keep(report.node, node, witness, report.good * left, report.bad * left, now)
        if report.bad * left >= WEIGHT_LEAST:
            self._troubled_until = node.troubled_until = now + TROUBLED_S

    def _keep(
        self, number: int, node: _Node, witness: _Witness, good: float, bad: float, now: float
    ) -> None:
        table = self._tallies
        row = table.add(number, witness.name, good, bad, now)
        table.trouble[row] = table.share(row) >= BAD_SHARE
        node.said[witness.name] = row  # its own name: each datagram has another copy of it
        if bad:
            node.trouble.fade(now)
            node.trouble.bad += bad
            if node.trouble.bad >= BAD_LEAST - ROUNDING:
                self._suspects[number] = node
        witness.first = table.by_member.insert(row, witness.first)
        witness.nodes += 1
        witness.troubled += table.trouble[row]
        if witness.troubled:
            self._review(witness)

    def _forget(self, number: int, member: str) -> None:
        node, witness, table = self._nodes[number], self._witnesses.get(member), self._tallies
        row = node.said.pop(member, NO_ROW)
        if row == NO_ROW or witness is None:
            return
        if table.bad[row]:
            age = node.trouble.at - table.at[row]
            node.trouble.bad -= table.bad[row] * 0.5 ** (age / HALF_LIFE)
        witness.first = table.by_member.remove(row, witness.first)
        table.remove(row)
        witness.nodes -= 1
        if witness.troubled:
            witness.troubled -= table.trouble[row]
            self._review(witness)
        if not witness.nodes:
            del self._witnesses[member]

    def _review(self, witness: _Witness) -> None:
        if witness.cut:
            self._cut.add(witness.name)
        else:
            self._cut.discard(witness.name)

    def left(self, member: str) -> None:
        """Its word goes with it."""
        witness = self._witnesses.get(member)
        if witness is not None:
            table = self._tallies
            for node in [table.node[row] for row in table.by_member.rows(witness.first)]:
                self._forget(node, member)

    # --- telling ---
    def reports_to_send(self, now: float, most: int = TELLS_MOST) -> list[HealthReport]:
        """What of our own is told next: the worst first, the others in turn."""
        return [
            HealthReport(node, self._nodes[node].started, round(tally.good, 2), round(tally.bad, 2))
            for node, tally in self._own.next_report(now, most)
        ]

    def told(self, reports: Iterable[HealthReport]) -> None:
        """These were sent: the others' turn comes first."""
        self._own.told(report.node for report in reports)

    # --- judging ---
    def judge(self, now: float) -> list[int]:
        """Nodes that seem bad by what others saw, and not by what we did."""
        if now >= self._troubled_until:
            self._expire(now, EXPIRED_MOST)
            self._end_hints()
            return []  # nobody has told of any trouble that has not faded
        cut = self.cut(now)
        found = []
        for number, node in sorted(self._suspects.items(), key=lambda at: at[1].place):
            if not self._may_be_bad(node, now):
                node.bad = False
                del self._suspects[number]
                continue
            self._fade(number, node, now)
            own = self._own.tally(now, number)
            node.bad = self._is_bad(node, own, ())
            if node.bad and cut:
                node.bad = self._is_bad(node, own, cut)
            if node.bad:
                found.append(number)
        return found

    def _end_hints(self) -> None:
        for node in self._suspects.values():
            node.bad = False
        self._suspects.clear()

    @staticmethod
    def _may_be_bad(node: _Node, now: float) -> bool:
        if now >= node.troubled_until:
            return False
        node.trouble.fade(now)
        return node.bad or node.trouble.bad >= BAD_LEAST - ROUNDING

    def _expire(self, now: float, most: int | None = None) -> None:
        """Drop what has faded, so many at most."""
        table, dropped = self._tallies, 0
        for row in table.fading.due(now):
            if dropped == most:
                return
            if table.until[row] < now:
                dropped += 1
                self._forget(table.node[row], table.member[row])

    def _fade(self, number: int, node: _Node, now: float) -> None:
        table = self._tallies
        for member, row in list(node.said.items()):
            table.fade(row, now)
            if table.weight(row) < WEIGHT_LEAST:
                self._forget(number, member)

    def cut(self, now: float) -> Collection[str]:
        """Members who see trouble nearly everywhere."""
        if now >= self._troubled_until:
            return ()
        self._expire(now)
        return self._cut

    def _is_bad(self, node: _Node, own: Tally, cut: Collection[str]) -> bool:
        if own.weight >= OWN_ENOUGH:
            return False  # the module has seen it itself
        table = self._tallies
        said = {member: row for member, row in node.said.items() if member not in cut}
        near = [row for member, row in said.items() if self._witnesses[member].zone == self._zone]
        votes = near if len(near) >= WITNESSES else list(said.values())
        if len(votes) < WITNESSES:
            return False
        most = WEIGHT_MOST * median(table.weight(row) for row in votes)
        weights = [min(table.weight(row), most) for row in votes]
        bad = sum(weight * table.share(row) for weight, row in zip(weights, votes, strict=True))
        if node.bad:
            return bad > WELL_SHARE * sum(weights)
        return bad >= BAD_LEAST and bad > BAD_SHARE * sum(weights)

    # --- looking ---
    def beliefs(self, now: float) -> list[tuple[int, int, float, float, bool]]:
        """Node, witnesses, the share of trouble that they saw, our own, and the hint."""
        return [
            (
                number,
                len(node.said),
                sum(map(self._tallies.bad.__getitem__, node.said.values()))
                / max(1e-9, sum(map(self._tallies.weight, node.said.values()))),
                self._own.share(number),
                node.bad,
            )
            for number, node in self._nodes.items()
        ]
