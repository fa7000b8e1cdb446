"""What a proxy tells of itself unasked, to how many, and what it makes of the others'.  Pure.

A round each TELL_S: what its requests met, what came of them, what it has to spare, what is asked
for most.  In calm it goes to FEW members by chance; while trouble is fresh to MANY, since of a
large fleet three must have met a node before anybody believes it.  So what a member sends does not
grow with the fleet, and what is heard is a sample of it.

What is heard is of an age: beyond AGE_MOST it is left alone, what came of requests beyond
ROUND_AGE, also where it has stood here meanwhile because this process was stopped.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from snowstall import CacheState, Judged, Member, Result

from .budget import Budget
from .counts import Counts, hash_of
from .hearsay import Hearsay
from .strain import Strain
from .wire import Came, Counted, Item, Saw, Spare

TELL_S = 0.5  # s between two rounds
FEW, MANY = 2, 16  # members that a round tells
FRESH = 0.5  # bad outcomes from which it tells many
AGE_MOST = 5.0  # s
ROUND_AGE = 1.0  # s
COUNT_S = 1.0  # s between two tellings of counts, at least
SAMPLED = 0.25  # of the requests: a full summary costs as much as all else here
BAD = frozenset({Result.LATE, Result.RESET, Result.NO_CONNECTION})  # what tells of the node


class Chance(Protocol):
    def random(self) -> float: ...
    def sample(self, of: Sequence[str], k: int) -> list[str]: ...


@dataclass(slots=True)
class Round:
    """What is to be done now."""

    to: list[str] = field(default_factory=list)
    items: list[Item] = field(default_factory=list)
    bad: list[int] = field(default_factory=list)  # nodes that seem so by what others met
    new: list[int] = field(default_factory=list)  # of them, those that did not the round before
    outcomes: list[Judged] = field(default_factory=list)  # of others' requests


class Rounds:
    """One proxy's.  `judge`: whether nodes are judged with the others.  `now`: s."""

    def __init__(self, zone: str, judge: bool, now: float, chance: Chance) -> None:
        self._chance = chance
        self.hearsay = Hearsay(zone) if judge else None
        self.strain = Strain()
        self.counts = {kind: Counts(kind, now) for kind in ("tenant", "key")}
        self._at = now + TELL_S * chance.random()  # those started together do not tell together
        self._count_at = now
        self._bad: list[int] = []

    # --- its own ---
    def met(self, now: float, node: int, result: Result) -> None:
        """How an attempt ended at a node."""
        if self.hearsay is not None and (result is Result.OK or result in BAD):
            self.hearsay.met(now, node, result is not Result.OK)

    def asked(self, now: float, tenant: str, key: int) -> None:
        """A request was let in."""
        if self._chance.random() < SAMPLED:
            self.counts["key"].add(now, key & (2**63 - 1), 1.0 / SAMPLED)
        if tenant:
            self.counts["tenant"].add(now, hash_of(tenant))

    def listed(self, members: Iterable[Member]) -> None:
        """Nodes that serve, and those that do not any more."""
        if self.hearsay is not None:
            for member in members:
                if member.state is CacheState.READY:
                    self.hearsay.listed(member.id, member.started_at)
                else:
                    self.hearsay.gone(member.id)

    # --- the others' ---
    def heard(
        self, now: float, member: str, zone: str, item: Saw | Came | Counted, age: float
    ) -> None:
        """Word of a member that is up, written `age` s ago at most."""
        if age > AGE_MOST:
            return
        if isinstance(item, Counted):
            if item.kind in self.counts:
                self.counts[item.kind].heard(now, member, item, age)
        elif self.hearsay is None:
            return
        elif isinstance(item, Saw):
            self.hearsay.heard(now, member, zone, item, age)
        elif age <= ROUND_AGE:
            self.strain.heard(now, member, item)

    def left(self, member: str) -> None:
        """Its word goes with it."""
        for counts in self.counts.values():
            counts.left(member)
        if self.hearsay is not None:
            self.hearsay.left(member)

    # --- a round ---
    def due(self, now: float) -> bool:
        return now >= self._at

    def next(
        self,
        now: float,
        up: Sequence[str],
        judged: Iterable[Judged],
        budgets: Mapping[str, Budget],
        silent: bool,
    ) -> Round:
        """`up`: the other members.  `judged`: what came of own requests since the last round.
        `silent`: it tells nothing, since another process has its name; it hears all the same.
        """
        self._at = now + TELL_S * (0.8 + 0.4 * self._chance.random())
        round_, worst = Round(), 0.0
        round_.items += [
            Spare(name, spare) for name, budget in budgets.items() if (spare := budget.spare(now))
        ]
        if self.hearsay is not None:
            saw, came = self.hearsay.tells(now), self.strain.tells(judged)
            round_.items += (*came, *saw)
            worst = max((*(s.bad for s in saw), *(c.bad for c in came)), default=0.0)
            round_.bad = self.hearsay.judge(now)
            round_.new = [node for node in round_.bad if node not in self._bad]
            self._bad = round_.bad
            round_.outcomes = self.strain.round(now, self.hearsay.cut(now), ROUND_AGE)
        if now >= self._count_at:
            self._count_at = now + COUNT_S
            round_.items += [
                counts.tells(now) for counts in self.counts.values() if counts.own.counters
            ]
        if round_.items and not silent:
            many = MANY if worst >= FRESH else FEW
            round_.to = self._chance.sample(up, min(many, len(up)))
        return round_
