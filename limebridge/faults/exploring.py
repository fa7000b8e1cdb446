"""Many plans as a command shows them: their progress, and what broke made small."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from typing import Any, Generic, Protocol, TypeVar

import typer

from .many import RunOutcome
from .options import MAX_REPORTED, seed_progress


class RunOutcomeWithTrace(RunOutcome, Protocol):
    """What is kept of a run that can be told."""

    @property
    def trace(self) -> str: ...


class RunOutcomeWithDigest(RunOutcome, Protocol):
    """What is kept of a run that is exact from its seed."""

    @property
    def digest(self) -> str: ...


F = TypeVar("F", bound=RunOutcome)
S = TypeVar("S", bound=RunOutcomeWithTrace)
D = TypeVar("D", bound=RunOutcomeWithDigest)
DIGEST_BYTES = 8


class ExploreTotals(Generic[D]):
    """What is added up of the outcomes of an exploration."""

    def __init__(self) -> None:
        self.seeds = 0
        self.failed: list[D] = []
        self._digest = blake2b(digest_size=DIGEST_BYTES)

    def add(self, outcome: D) -> None:
        """Take the next outcome in the order of the seeds."""
        self.seeds += 1
        self._digest.update(outcome.digest.encode())
        if outcome.violations:
            self.failed.append(outcome)

    @property
    def digest(self) -> str:
        """Of all outcomes."""
        return self._digest.hexdigest()


def collect_outcomes(outcomes: Iterable[F], total: int, as_json: bool) -> list[F]:
    """The outcomes of plans on real processes, in the order in which they end."""
    played: list[F] = []
    with seed_progress("playing", total, as_json) as progress:
        for outcome in outcomes:
            played.append(outcome)
            progress.update(len(played), sum(bool(each.violations) for each in played))
    return played


def explore_seeds(
    chunks: Iterable[Sequence[F]], seeds: int, as_json: bool, add: Callable[[F], None]
) -> None:
    """Give each outcome to `add`, and show how many seeds were played and broke a rule."""
    played = broken = 0
    with seed_progress("exploring", seeds, as_json) as progress:
        for outcomes in chunks:
            for outcome in outcomes:
                add(outcome)
                broken += bool(outcome.violations)
            played += len(outcomes)
            progress.update(played, broken)


def print_shrunk(broken: Sequence[S], shrink: Callable[[S], S], dump: Callable[[Any], str]) -> None:
    """Print the first plans that broke a rule, made small, with their stories; to stderr."""
    for found in broken[:MAX_REPORTED]:
        small = shrink(found)
        seed = found.plan.seed
        typer.echo(f"seed {seed}, made small:\n{dump(small.plan)}{small.trace}", err=True)
