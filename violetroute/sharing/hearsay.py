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

What comes out is a hint: these nodes seem bad.  The module leaves such a node alone for a while, as
if it had met the trouble itself, within its own bounds of how many it does without, and asks it
again by few.  A hint never starts anything: no drain, no going, no request, no effect.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median

from .wire import Saw

HALF_LIFE = 4.0  # s: of 46 proxies that see little three have met a bad node within one
WITNESSES = 3
BAD_LEAST = 2.0  # outcomes that have not faded: one in a hundred fails anywhere
BAD_SHARE = 0.5
WELL_SHARE = 0.3  # below it a node that was held for bad is not any more
CUT_SHARE = 0.75
CUT_LEAST = 3  # nodes that a member must speak of to be judged by that
WEIGHT_MOST = 2.0  # times the median witness
WEIGHT_LEAST = 0.2  # outcomes: what has faded further says nothing
OWN_ENOUGH = 4.0  # outcomes of one's own
NODES_MOST = 4096
MEMBERS_MOST = 4096
TROUBLED_S = 20.0  # s after the last word of trouble: five half-lives
TELLS_MOST = 24  # nodes that one datagram tells of


@dataclass(slots=True)
class Tally:
    """Outcomes that fade."""

    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0

    def fade(self, now: float) -> None:
        if now > self.at:
            left = 0.5 ** ((now - self.at) / HALF_LIFE)
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


class Hearsay:
    """One proxy's.  `now`: s; nodes by number, as the module knows them."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._nodes: dict[int, _Node] = {}
        self._zones: dict[str, str] = {}  # of members
        self._next = 0
        self._troubled_until = 0.0

    # --- the list ---
    def listed(self, node: int, started: float) -> None:
        """It is there, and began then (ms)."""
        known = self._nodes.get(node)
        if known is None:
            if len(self._nodes) < NODES_MOST:
                self._nodes[node] = _Node(int(started))
        elif int(started) > known.started:
            self._nodes[node] = _Node(int(started))

    def gone(self, node: int) -> None:
        self._nodes.pop(node, None)

    # --- evidence ---
    def met(self, now: float, node: int, bad: bool) -> None:
        """How a request of our own ended there, by what tells of the node."""
        known = self._nodes.get(node)
        if known is not None:
            known.own.fade(now)
            known.own.good += not bad
            known.own.bad += bad

    def heard(self, now: float, member: str, zone: str, saw: Saw, age: float) -> None:
        """A member's own, as it was `age` s ago at most."""
        node = self._nodes.get(saw.node)
        if node is None or saw.started != node.started:
            return  # another list, or another start: whichever of both is late, it says nothing
        if member not in node.said and len(node.said) >= MEMBERS_MOST:
            return
        left = 0.5 ** (age / HALF_LIFE)
        node.said[member] = Tally(saw.good * left, saw.bad * left, now)
        if saw.bad * left >= WEIGHT_LEAST:
            self._troubled_until = node.troubled_until = now + TROUBLED_S
        self._zones[member] = zone

    def left(self, member: str) -> None:
        """Its word goes with it."""
        self._zones.pop(member, None)
        for node in self._nodes.values():
            node.said.pop(member, None)

    # --- telling ---
    def tells(self, now: float, most: int = TELLS_MOST) -> list[Saw]:
        """What of our own is told next: the worst first, the others in turn."""
        for node in self._nodes.values():
            node.own.fade(now)
        known = [
            (number, node)
            for number, node in self._nodes.items()
            if node.own.weight >= WEIGHT_LEAST
        ]
        troubled = [at for at in known if at[1].own.bad >= WEIGHT_LEAST]
        sound = [at for at in known if at[1].own.bad < WEIGHT_LEAST]
        troubled.sort(key=lambda at: -at[1].own.bad)
        chosen = troubled[: most * 3 // 4]
        for _ in range(min(len(sound), most - len(chosen))):
            self._next = (self._next + 1) % len(sound)
            chosen.append(sound[self._next])
        return [
            Saw(number, node.started, round(node.own.good, 2), round(node.own.bad, 2))
            for number, node in chosen
        ]

    # --- judging ---
    def judge(self, now: float) -> list[int]:
        """Nodes that seem bad by what others saw, and not by what we did."""
        if now >= self._troubled_until:
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
        cut = self.cut(now)
        for number in list(found):
            node = self._nodes[number]
            if cut and not self._is_bad(node, cut):
                node.bad = False
                found.remove(number)
        return found

    def _fade(self, node: _Node, now: float) -> None:
        for member, tally in list(node.said.items()):
            tally.fade(now)
            if tally.weight < WEIGHT_LEAST:
                del node.said[member]
        node.own.fade(now)

    def cut(self, now: float) -> set[str]:
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
            if nodes >= CUT_LEAST and troubled[member] >= CUT_SHARE * nodes
        }

    def _is_bad(self, node: _Node, cut: set[str]) -> bool:
        if node.own.weight >= OWN_ENOUGH:
            return False  # the module has seen it itself
        said = {member: tally for member, tally in node.said.items() if member not in cut}
        near = {
            member: tally for member, tally in said.items() if self._zones.get(member) == self._zone
        }
        votes = list((near if len(near) >= WITNESSES else said).values())
        if len(votes) < WITNESSES:
            return False
        most = WEIGHT_MOST * median(tally.weight for tally in votes)
        weights = [min(tally.weight, most) for tally in votes]
        bad = sum(weight * tally.share for weight, tally in zip(weights, votes, strict=True))
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
                sum(t.bad for t in node.said.values())
                / max(1e-9, sum(t.weight for t in node.said.values())),
                node.own.share,
                node.bad,
            )
            for number, node in self._nodes.items()
        ]
