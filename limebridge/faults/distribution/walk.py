"""Long random walks through the machines' state space, made small and replayed by their labels.

The check of the whole state space (`state_space`) reaches every order up to a depth; a walk reaches
one order far beyond it, such as the several terms that a commit of an earlier term takes.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from limebridge.faults import many
from limebridge.faults.violation import Violation

from .state_space import Bounds, Event, World

STEPS = 80
WALK = Bounds(
    times=6,
    publications=3,
    leaders=5,
    losses=8,
    copies=4,
    crashes=2,
    torn=3,
    disks=1,
    polls=4,
)
RARE = 0.1  # weight of what is no delivery, against 1.0 of a delivery
WEIGHTS = {"deliver": 1.0, "lead": 0.3, "publish": 0.3, "poll": 0.3}


@dataclass(frozen=True)
class Walk:
    """A story, and what its last event or the healing after it broke: "" if nothing."""

    seed: int
    trace: tuple[str, ...]
    wrong: str

    @property
    def plan(self) -> int:
        """What it was drawn from."""
        return self.seed

    @property
    def rule(self) -> str:
        """The rule that was broken."""
        return self.wrong.partition(":")[0]

    @property
    def violations(self) -> tuple[Violation, ...]:
        """As of a run in the simulated world."""
        return (Violation(self.rule, self.wrong),) if self.wrong else ()


def label(event: Event) -> str:
    """An event by which it is found again."""
    return " ".join(str(part) for part in event)


def walk(seed: int, steps: int = STEPS, bounds: Bounds = WALK) -> Walk:
    """One walk, the same each time."""
    rng = random.Random(f"walk/{seed}")
    world = World(bounds)
    story: list[str] = []
    while not world.violated_rule and len(story) < steps:
        events = list(world.events())
        if not events:
            break
        weights = [WEIGHTS.get(event[0], RARE) for event in events]
        event = rng.choices(events, weights)[0]
        story.append(label(event))
        world.step(*event)
    return Walk(seed, tuple(story), world.violated_rule or world.liveness_violation())


def replay(story: Sequence[str], bounds: Bounds = WALK) -> str:
    """The rule that a story breaks.  Events that are not possible are left out."""
    world = World(bounds)
    for wanted in story:
        for event in world.events():
            if label(event) == wanted:
                world.step(*event)
                break
        if world.violated_rule:
            return world.violated_rule
    return world.liveness_violation()


def shrink(found: Walk, bounds: Bounds = WALK) -> Walk:
    """The fewest events with which the same rule breaks."""
    story = list(found.trace)
    size = max(1, len(story) // 2)
    while size:
        place = 0
        while place < len(story):
            shorter = story[:place] + story[place + size :]
            if replay(shorter, bounds).partition(":")[0] == found.rule:
                story = shorter
            else:
                place += size
        size //= 2
    return Walk(found.seed, tuple(story), replay(story, bounds))


def explore(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None = None
) -> Iterator[list[Walk]]:
    """Walks by chunks, in the seeds' order."""
    return many.explore(walk, first, seeds, jobs, prepare)
