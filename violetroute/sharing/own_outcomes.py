"""Outcomes of a proxy's own requests at the nodes, and which nodes its next report covers.  Pure.

The worst nodes come first, the others in turn.  Sound nodes are ordered by the last report that
covered them, so building a report visits the nodes that it covers, the troubled ones and those that
have decayed, not all nodes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .decaying_outcomes import MIN_WEIGHT, DecayingOutcomes
from .ordered import OrderedEntries

Turn = tuple[int, int, int]  # sort key: last report that covered the node, its place, its ID


@dataclass(slots=True)
class _Node:
    place: int  # order in which the nodes were added
    outcomes: DecayingOutcomes = field(default_factory=DecayingOutcomes)
    last_report: int = 0  # number of the last report that covered it


class OwnOutcomes:
    """Own outcomes of one proxy.  `now`: s; nodes by ID."""

    def __init__(self) -> None:
        self._nodes: dict[int, _Node] = {}
        self._added_count = self._reports = 0  # nodes added and reports sent so far
        self._troubled: dict[int, _Node] = {}  # nodes whose bad outcomes may not have decayed yet
        self._sound = OrderedEntries[Turn]()  # the other nodes with outcomes
        self._turns: dict[int, Turn] = {}  # the entry of each node in `_sound`

    def add_node(self, node: int) -> None:
        """Add a node that is not known."""
        self._added_count += 1
        self._nodes[node] = _Node(self._added_count)

    def reset_node(self, node: int) -> None:
        """Drop the outcomes of a restarted node; it keeps its place."""
        place = self._nodes[node].place
        self.remove_node(node)
        self._nodes[node] = _Node(place)

    def remove_node(self, node: int) -> None:
        """Forget a node that is no longer listed."""
        self._nodes.pop(node, None)
        self._troubled.pop(node, None)
        self._end_turn(node)

    def record(self, now: float, node: int, bad: bool) -> None:
        """Record the outcome of a request at a known node."""
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
        """Outcomes at a known node, decayed to now."""
        outcomes = self._nodes[node].outcomes
        outcomes.decay(now)
        return outcomes

    def bad_share(self, node: int) -> float:
        """Share of bad outcomes at a known node."""
        return self._nodes[node].outcomes.bad_share

    def next_report(self, now: float, most: int) -> list[tuple[int, DecayingOutcomes]]:
        """The next nodes to report, at most `most`, with their outcomes.

        At most half are troubled nodes: with more, peers would take this member for isolated.  A
        quarter are the worst nodes, a quarter the other troubled ones in turn.
        """
        troubled = self._worst_first(now)
        chosen, others = troubled[: most // 4], troubled[most // 4 :]
        others.sort(key=lambda node: self._nodes[node].last_report)
        chosen += others[: most // 2 - len(chosen)]
        chosen += self._sound_in_turn(now, most - len(chosen))
        return [(node, self._nodes[node].outcomes) for node in chosen]

    def mark_sent(self, nodes: Iterable[int]) -> None:
        """Note that a report on these nodes was sent; other nodes have their turn first now."""
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
        expired: list[int] = []
        for _, _, node in self._sound.entries:
            if len(found) == count:
                break
            current = self.outcomes(now, node).weight >= MIN_WEIGHT
            (found if current else expired).append(node)
        for node in expired:
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
