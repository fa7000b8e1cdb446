"""Ownership checked whole: every order of what may happen to two or three lives, within bounds.

The pure core itself is played (`Owner`, the rules of `lease`, `claim` and `append`): a store that
does calls late or whose answers are lost, a place of effects, lives that are stopped between their
check and their effect, killed and started anew, a store that forgets all.  Clocks run as far apart
as the terms allow.  Each state that is met is followed once; what it is made of is all that what
follows depends on, with times relative to now.

Held against it after every step:

- **order**: an entry never stands behind a higher fence, nor under one fence two lives';
- **late**: what stands behind a claim is that claim's, so a late owner's effect is nowhere;
- **alone**: no two lives may begin effects at one time, unless the store has forgotten;
- **goes on**: from a state, when all is well again, an effect happens within some terms.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .model import Bounds, World


@dataclass
class Checked:
    """What came of it.  `stories`: the shortest one of each rule that was broken."""

    states: int = 0
    orders: int = 0  # steps taken
    depth: int = 0
    whole: bool = False  # nothing was left to follow
    healed: int = 0  # states from which it was looked whether it goes on
    stories: dict[str, list[str]] = field(default_factory=dict)


def check(bounds: Bounds, most: int = 1_000_000, heal_every: int = 64,
          stop_at_first: bool = False) -> Checked:
    """Breadth first, so that a story is as short as there is one; `most` states at most."""
    found = Checked()
    start = World(bounds)
    seen = {hash(start.key())}
    front: list[tuple[World, tuple[Any, ...]]] = [(start, ())]
    while front:
        found.depth += 1
        after: list[tuple[World, tuple[Any, ...]]] = []
        for world, path in front:
            for event in world.events():
                made = world.copy(event[1])
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
                    if not made.copy().goes_on():
                        found.stories.setdefault("goes on", _told(story))
            if len(seen) >= most or (stop_at_first and found.stories):
                found.states = len(seen)
                return found
        front = after
    found.states, found.whole = len(seen), True
    return found


def _told(story: Any) -> list[str]:
    steps: list[str] = []
    while story:
        story, (what, place) = story
        steps.append(what if place < 0 else f"{what} {place + 1}")
    return steps[::-1]
