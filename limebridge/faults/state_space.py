"""A model checker: explores every order of events within bounds, breadth first.

A model (`model` for leases, `budgets` for shared budgets) runs the same pure logic as the daemon.
The key of a state holds everything that later steps depend on, with times relative to the current
time, so that states that behave alike are explored once.

The lease model runs `LeaderElector`, the rules of `lease`, and `claim` and `append` against a
fenced log and a store that answers calls late, loses calls or loses the lease.  Processes are
stopped between a check and the write that depends on it, killed, and restarted.  Clocks run as far
apart as the lease timing allows.  After every step it checks these rules:

- **order**: fences in the log never decrease, and no two incarnations write under the same fence;
- **late**: every entry belongs to the claim before it, so a leader whose lease has passed to
  another one writes no entry;
- **alone**: no two incarnations may start effects at the same time, unless the store lost the
  lease;
- **goes on** (liveness): once faults have stopped, an effect happens within 12 lease terms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol, Self


class World(Protocol):
    """A state of a model.  An event is a tuple of its name and the arguments of its step."""

    violated_rule: str  # the rule that the last step violated, "" if none

    def events(self) -> Iterable[tuple[Any, ...]]:
        """The events that are possible in this state."""
        ...

    def step(self, *event: Any) -> None:
        """Apply an event to this state and check the rules."""
        ...

    def copy_for(self, event: tuple[Any, ...]) -> Self:
        """A copy to which this event can be applied without changing the original."""

    def key(self) -> Any:
        """A hashable value of everything that later steps depend on."""

    def liveness_violation(self) -> str:
        """The rule that is violated if no further faults happen, or ""."""


_Path = tuple[Any, ...]  # linked list of (previous path, last event); () for the start state
_Reached = tuple[World, _Path]


@dataclass
class CheckResult:
    """What a model check explored and which rules it found violated."""

    states: int = 0  # distinct ones
    steps: int = 0
    depth: int = 0  # steps of the longest path
    complete: bool = False  # every state within the bounds was explored
    liveness_checks: int = 0  # states from which the liveness rule was checked
    traces: dict[str, list[str]] = field(default_factory=dict)  # shortest trace by violated rule

    def report(self, seconds: float) -> int:
        """Print the result of a check that took `seconds`; returns the command's exit status."""
        print(
            f"{self.states} states, {self.steps} steps, depth {self.depth}, "
            f"{'all of them' if self.complete else 'and more are left'}, "
            f"{self.liveness_checks} healed, {seconds:.0f} s"
        )
        for rule, trace in self.traces.items():
            print(f"BROKEN {rule}: {', '.join(trace)}")
        return 1 if self.traces else 0


def check(
    start: World, max_states: int = 1_000_000, liveness_every: int = 64, stop_at_first: bool = False
) -> CheckResult:
    """Explore breadth first, which finds a shortest trace to a violation of each rule.

    `max_states`: the search ends once this many states are known.  `liveness_every`: the liveness
    rule is checked from one state in this many.  `stop_at_first`: end at the first violation.
    """
    search = _Search(start, liveness_every)
    found = search.found
    frontier: list[_Reached] = [(start, ())]
    while frontier:
        found.depth += 1
        after: list[_Reached] = []
        for world, path in frontier:
            search.expand(world, path, after)
            if found.states >= max_states or (stop_at_first and found.traces):
                return found
        frontier = after
    found.complete = True
    return found


class _Search:
    """The states seen so far, by hash, and the result so far."""

    def __init__(self, start: World, liveness_every: int) -> None:
        self.found = CheckResult(states=1)
        self._seen = {hash(start.key())}
        self._liveness_every = liveness_every

    def expand(self, world: World, path: _Path, after: list[_Reached]) -> None:
        """Apply each possible event to a state; states not seen before are added to `after`."""
        found, seen = self.found, self._seen
        for event in world.events():
            successor = world.copy_for(event)
            successor.step(*event)
            found.steps += 1
            trace = (path, event)
            if successor.violated_rule:
                found.traces.setdefault(successor.violated_rule, _steps_of(trace))
                continue
            state_hash = hash(successor.key())
            if state_hash in seen:
                continue
            seen.add(state_hash)
            after.append((successor, trace))
            if len(seen) % self._liveness_every == 0:
                self._check_liveness(successor, trace)
        found.states = len(seen)

    def _check_liveness(self, world: World, path: _Path) -> None:
        self.found.liveness_checks += 1
        if rule := world.liveness_violation():
            self.found.traces.setdefault(rule, _steps_of(path))


def _steps_of(path: _Path) -> list[str]:
    """The events of a path as text, in order."""
    steps: list[str] = []
    while path:
        path, (name, *arguments) = path
        steps.append(" ".join((name, *(str(each) for each in arguments if each != -1))))
    return steps[::-1]
