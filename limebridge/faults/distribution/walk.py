"""Long random walks through the control machines' state space, and their replay and shrinking.

The exhaustive exploration (`state_space`) covers every order of events up to a small depth.  A walk
follows one order far beyond that depth, for example through the several terms that it takes until
a batch of an earlier term is wrongly committed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from limebridge.faults import seed_runs
from limebridge.faults.violation import Violation

from .state_space import Bounds, Event, World

MAX_STEPS = 80
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
DEFAULT_WEIGHT = 0.1  # weight of events that are not in WEIGHTS
WEIGHTS = {"deliver": 1.0, "lead": 0.3, "publish": 0.3, "poll": 0.3}


@dataclass(frozen=True)
class Walk:
    """The event labels of one walk, and the rule that it violated: "" if none.

    The violation follows from the last event, or from the check that the state recovers after it.
    """

    seed: int
    trace: tuple[str, ...]
    violation: str

    @property
    def plan(self) -> int:
        """The seed, from which the walk is repeated."""
        return self.seed

    @property
    def rule(self) -> str:
        """The name of the violated rule, without the details of a crash."""
        return self.violation.partition(":")[0]

    @property
    def violations(self) -> tuple[Violation, ...]:
        """The violation in the form of an `Outcome` of the simulated world; empty if none."""
        return (Violation(self.rule, self.violation),) if self.violation else ()


def event_label(event: Event) -> str:
    """The text that identifies an event in a trace."""
    return " ".join(str(part) for part in event)


def walk(seed: int, max_steps: int = MAX_STEPS, bounds: Bounds = WALK) -> Walk:
    """Returns the walk of a seed, which is the same each time; it ends at the first violation."""
    rng = random.Random(f"walk/{seed}")
    world = World(bounds)
    trace: list[str] = []
    while not world.violated_rule and len(trace) < max_steps:
        events = list(world.events())
        if not events:
            break
        weights = [WEIGHTS.get(event[0], DEFAULT_WEIGHT) for event in events]
        event = rng.choices(events, weights)[0]
        trace.append(event_label(event))
        world.step(*event)
    return Walk(seed, tuple(trace), world.violated_rule or world.liveness_violation())


def replay(trace: Sequence[str], bounds: Bounds = WALK) -> str:
    """Returns the rule that a trace violates, or "".  Impossible events are skipped."""
    world = World(bounds)
    for label in trace:
        for event in world.events():
            if event_label(event) == label:
                world.step(*event)
                break
        if world.violated_rule:
            return world.violated_rule
    return world.liveness_violation()


def shrink(found: Walk, bounds: Bounds = WALK) -> Walk:
    """Removes events from the trace as long as the rest violates the same rule.

    Runs of half the trace are removed first, then shorter runs, down to single events.
    """
    trace = list(found.trace)
    size = max(1, len(trace) // 2)
    while size:
        start = 0
        while start < len(trace):
            shorter = trace[:start] + trace[start + size :]
            if replay(shorter, bounds).partition(":")[0] == found.rule:
                trace = shorter
            else:
                start += size
        size //= 2
    return Walk(found.seed, tuple(trace), replay(trace, bounds))


def explore(
    first: int, seeds: int, jobs: int, prepare: Callable[[], None] | None = None
) -> Iterator[list[Walk]]:
    """Yields chunks of walks in the order of their seeds, from `jobs` processes (0: all cores).

    Each process calls `prepare` first.
    """
    return seed_runs.explore(walk, first, seeds, jobs, prepare)
