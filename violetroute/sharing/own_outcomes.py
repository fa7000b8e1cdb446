"""What a proxy's own requests met at the nodes, and which nodes its next report tells of.  Pure.

The worst nodes come first, the others in turn. The sound nodes are kept by the report that told of
them last, so a report looks at those it tells of, at the troubled ones and at those that have
faded, not at all nodes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .decaying_outcomes import MIN_WEIGHT, DecayingOutcomes
from .ordered import OrderedEntries

Turn = tuple[int, int, int]  # the last report that told of a node, the node's place, the node


@dataclass(slots=True)
class _Node:
    place: int  # in the order in which the nodes were listed
    outcomes: DecayingOutcomes = field(default_factory=DecayingOutcomes)
    last_report: int = 0  # the last report that told of it


class OwnOutcomes:
    """One proxy's.  `now`: s; nodes by number."""

    def __init__(self) -> None:
        self._nodes: dict[int, _Node] = {}
        self._listed = self._reports = 0  # so far
        self._troubled: dict[int, _Node] = {}  # those with bad outcomes that may not have faded
        self._sound = OrderedEntries[Turn]()  # of the others those that were met
        self._turns: dict[int, Turn] = {}  # by node, as in `_sound`

    def add_node(self, node: int) -> None:
        """A node that was not there."""
        self._listed += 1
        self._nodes[node] = _Node(self._listed)

    def reset_node(self, node: int) -> None:
        """What was met there is of the node's start before."""
        place = self._nodes[node].place
        self.remove_node(node)
        self._nodes[node] = _Node(place)

    def remove_node(self, node: int) -> None:
        """It is not listed any more."""
        self._nodes.pop(node, None)
        self._troubled.pop(node, None)
        self._end_turn(node)

    def record(self, now: float, node: int, bad: bool) -> None:
        """How a request ended at a node that is listed."""
        known = self._nodes[node]
        known.outcomes.decay(now)
        known.outcomes.good += not bad
        known.outcomes.bad += bad
        if bad:
            self._end_turn(node)
            self._troubled[node] = known
        elif node not in self._troubled:
            self._await_turn(node, known)

    def outcomes(self, now: float, node: int) -> DecayingOutcomes:
        """Of a node that is listed."""
        outcomes = self._nodes[node].outcomes
        outcomes.decay(now)
        return outcomes

    def bad_share(self, node: int) -> float:
        """Of trouble, at a node that is listed."""
        return self._nodes[node].outcomes.bad_share

    def next_report(self, now: float, most: int) -> list[tuple[int, DecayingOutcomes]]:
        """Nodes to tell of and what was met there.

        At most half are troubled nodes: a report with more would show a member that is cut off. A
        quarter are the worst ones, a quarter the other troubled ones in turn.
        """
        troubled = self._worst_first(now)
        chosen, others = troubled[: most // 4], troubled[most // 4 :]
        others.sort(key=lambda node: self._nodes[node].last_report)
        chosen += others[: most // 2 - len(chosen)]
        chosen += self._sound_in_turn(now, most - len(chosen))
        return [(node, self._nodes[node].outcomes) for node in chosen]

    def mark_sent(self, nodes: Iterable[int]) -> None:
        """A report that tells of these was sent: the others' turn comes first."""
        self._reports += 1
        for node in nodes:
            self._nodes[node].last_report = self._reports
            if node in self._turns:
                self._end_turn(node)
                self._await_turn(node, self._nodes[node])

    def _worst_first(self, now: float) -> list[int]:
        for node, known in list(self._troubled.items()):
            known.outcomes.decay(now)
            if known.outcomes.bad < MIN_WEIGHT:
                del self._troubled[node]
                self._await_turn(node, known)
        return sorted(
            self._troubled,
            key=lambda node: (-self._troubled[node].outcomes.bad, self._troubled[node].place),
        )

    def _sound_in_turn(self, now: float, count: int) -> list[int]:
        found: list[int] = []
        faded: list[int] = []
        for _, _, node in self._sound.entries:
            if len(found) == count:
                break
            alive = self.outcomes(now, node).weight >= MIN_WEIGHT
            (found if alive else faded).append(node)
        for node in faded:
            self._end_turn(node)
        return found

    def _await_turn(self, node: int, known: _Node) -> None:
        if node not in self._turns:
            turn = self._turns[node] = known.last_report, known.place, node
            self._sound.add(turn)

    def _end_turn(self, node: int) -> None:
        turn = self._turns.pop(node, None)
        if turn is not None:
            self._sound.remove(turn)
