"""A model checker: explores every order of events within bounds, breadth first.

A model (`model` for ownership, `budgets` for budgets) runs the pure core that the daemon runs.  Its
state's key holds everything that later steps depend on, with times relative to now, so that each
state is followed once.

The ownership model runs `LeaderElector`, the rules of `lease`, `claim` and `append` against a store
that serves calls late, loses answers or forgets everything, and a log that takes effects.
Processes are stopped between a check and its effect, killed and started again.  Clocks run as far
apart as the terms allow.  After every step it checks:

- **order**: no entry follows one with a higher fence, and no two incarnations use one fence;
- **late**: every entry belongs to the claim that it follows, so a late owner has no effect;
- **alone**: no two incarnations may begin effects at one time, unless the store has forgotten;
- **goes on**: once all faults are over, an effect happens within some terms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol, Self


class World(Protocol):
    """A model.  An event is its name and the arguments of its step."""

    violated_rule: str  # the rule that the last step broke

    def events(self) -> Iterable[tuple[Any, ...]]: ...
    def step(self, *event: Any) -> None: ...
    def copy_for(self, event: tuple[Any, ...]) -> Self:
        """A copy on which this step can be taken."""

    def key(self) -> Any:
        """All that later steps depend on."""

    def liveness_violation(self) -> str:
        """The rule that is broken when no more faults come, or ""."""


_Path = tuple[Any, ...]  # a linked list: the path before and the last event; () at the start
_Reached = tuple[World, _Path]


@dataclass
class CheckResult:
    """What a check has found."""

    states: int = 0  # that differ
    steps: int = 0
    depth: int = 0  # steps of the longest path
    complete: bool = False  # every state within the bounds was followed
    liveness_checks: int = 0  # states from which `liveness_violation` was checked
    traces: dict[str, list[str]] = field(default_factory=dict)  # shortest one of each broken rule

    def report(self, seconds: float) -> int:
        """Print what was found within so many seconds; the exit status of the command."""
        print(
            f"{self.states} states, {self.steps} steps, depth {self.depth}, "
            f"{'all of them' if self.complete else 'and more are left'}, "
            f"{self.liveness_checks} healed, {seconds:.0f} s"
        )
        for rule, story in self.traces.items():
            print(f"BROKEN {rule}: {', '.join(story)}")
        return 1 if self.traces else 0


def check(
    start: World, max_states: int = 1_000_000, liveness_every: int = 64, stop_at_first: bool = False
) -> CheckResult:
    """Explore breadth first, which finds a shortest story of each broken rule.

    `max_states`: the search ends after this many states.  `liveness_every`: the liveness rule is
    checked from one in this many states.
    """
    search = _Search(start, liveness_every)
    found = search.found
    front: list[_Reached] = [(start, ())]
    while front:
        found.depth += 1
        after: list[_Reached] = []
        for world, path in front:
            search.follow(world, path, after)
            if found.states >= max_states or (stop_at_first and found.traces):
                return found
        front = after
    found.complete = True
    return found


class _Search:
    """The states that were seen, and what was found in them."""

    def __init__(self, start: World, liveness_every: int) -> None:
        self.found = CheckResult(states=1)
        self._seen = {hash(start.key())}
        self._liveness_every = liveness_every

    def follow(self, world: World, path: _Path, after: list[_Reached]) -> None:
        """Play each event that may come next; states not seen before are added to `after`."""
        found, seen = self.found, self._seen
        for event in world.events():
            made = world.copy_for(event)
            made.step(*event)
            found.steps += 1
            story = (path, event)
            if made.violated_rule:
                found.traces.setdefault(made.violated_rule, _steps_of(story))
                continue
            mark = hash(made.key())
            if mark in seen:
                continue
            seen.add(mark)
            after.append((made, story))
            if len(seen) % self._liveness_every == 0:
                self._heal(made, story)
        found.states = len(seen)

    def _heal(self, world: World, story: _Path) -> None:
        self.found.liveness_checks += 1
        if rule := world.liveness_violation():
            self.found.traces.setdefault(rule, _steps_of(story))


def _steps_of(story: _Path) -> list[str]:
    """The names of a path's events, in order."""
    steps: list[str] = []
    while story:
        story, (what, *more) = story
        steps.append(" ".join((what, *(str(each) for each in more if each != -1))))
    return steps[::-1]
