"""Every order of what may happen, within bounds: a world's states, each followed once.

Ownership's world (`model`) has two or three lives.  The pure core itself is played (`Owner`, the
rules of `lease`, `claim` and `append`): a store that does calls late or whose answers are lost, a
place of effects, lives that are stopped between their check and their effect, killed and started
anew, a store that forgets all.  Clocks run as far apart as the terms allow.  Each state that is met
is followed once; what it is made of is all that what follows depends on, with times relative to
now.

Held against it after every step:

- **order**: an entry never stands behind a higher fence, nor under one fence two lives';
- **late**: what stands behind a claim is that claim's, so a late owner's effect is nowhere;
- **alone**: no two lives may begin effects at one time, unless the store has forgotten;
- **goes on**: from a state, when all is well again, an effect happens within some terms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol, Self


class World(Protocol):
    """What is checked.  An event's first word is its name."""

    broken: str  # the rule that the last step broke

    def events(self) -> Iterable[tuple[Any, ...]]: ...
    def step(self, *event: Any) -> None: ...
    def before(self, event: tuple[Any, ...]) -> Self:
        """A copy that may take this step."""

    def key(self) -> Any:
        """All that what follows depends on."""

    def heals(self) -> str:
        """Left alone from here on: the rule that does not hold then."""


@dataclass
class Checked:
    """What came of it.  `stories`: the shortest one of each rule that was broken."""

    states: int = 0
    orders: int = 0  # steps taken
    depth: int = 0
    whole: bool = False  # nothing was left to follow
    healed: int = 0  # states from which it was looked whether it goes on
    stories: dict[str, list[str]] = field(default_factory=dict)

    def tell(self, seconds: float) -> int:
        """Print what came of it; the exit status."""
        print(
            f"{self.states} states, {self.orders} steps, depth {self.depth}, "
            f"{'all of them' if self.whole else 'and more are left'}, {self.healed} healed, "
            f"{seconds:.0f} s"
        )
        for rule, story in self.stories.items():
            print(f"BROKEN {rule}: {', '.join(story)}")
        return 1 if self.stories else 0


def check(
    start: World, most: int = 1_000_000, heal_every: int = 64, stop_at_first: bool = False
) -> Checked:
    """Breadth first, so that a story is as short as there is one; `most` states at most."""
    found = Checked()
    seen = {hash(start.key())}
    front: list[tuple[World, tuple[Any, ...]]] = [(start, ())]
    while front:
        found.depth += 1
        after: list[tuple[World, tuple[Any, ...]]] = []
        for world, path in front:
            for event in world.events():
                made = world.before(event)
                made.step(*event)
                found.orders += 1
                story = (path, event)
                if made.broken:
                    found.stories.setdefault(made.broken, _told(story))
                    continue
                mark = hash(made.key())
                if mark in seen:
                    continue
                seen.add(mark)
                after.append((made, story))
                if len(seen) % heal_every == 0:
                    found.healed += 1
                    if rule := made.heals():
                        found.stories.setdefault(rule, _told(story))
            if len(seen) >= most or (stop_at_first and found.stories):
                found.states = len(seen)
                return found
        front = after
    found.states, found.whole = len(seen), True
    return found


def _told(story: Any) -> list[str]:
    steps: list[str] = []
    while story:
        story, (what, *more) = story
        steps.append(" ".join((what, *(str(each) for each in more if each != -1))))
    return steps[::-1]
