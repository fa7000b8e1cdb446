"""Progress and reports of commands that run many plans."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from typing import Any, Generic, Protocol, TypeVar

import typer

from .options import MAX_REPORTED, seed_progress
from .seed_runs import RunOutcome


class RunOutcomeWithTrace(RunOutcome, Protocol):
    """The result of a run that can be shown as a trace."""

    @property
    def trace(self) -> str:
        """The notes of the run and the violations, one per line."""
        ...


class RunOutcomeWithDigest(RunOutcome, Protocol):
    """The result of a run that its seed determines exactly."""

    @property
    def digest(self) -> str:
        """A hash that is the same for every run of the same seed, in hex."""
        ...


F = TypeVar("F", bound=RunOutcome)
S = TypeVar("S", bound=RunOutcomeWithTrace)
D = TypeVar("D", bound=RunOutcomeWithDigest)
DIGEST_BYTES = 8


class ExploreTotals(Generic[D]):
    """Totals of all outcomes of an exploration."""

    def __init__(self) -> None:
        self.seeds = 0
        self.failed: list[D] = []
        self._digest = blake2b(digest_size=DIGEST_BYTES)

    def add(self, outcome: D) -> None:
        """Add the next outcome, in seed order."""
        self.seeds += 1
        self._digest.update(outcome.digest.encode())
        if outcome.violations:
            self.failed.append(outcome)

    @property
    def digest(self) -> str:
        """A digest of the digests of all outcomes, in hex."""
        return self._digest.hexdigest()


def collect_outcomes(outcomes: Iterable[F], total: int, as_json: bool) -> list[F]:
    """Collect the outcomes of `total` plans in the order given, with a progress bar."""
    collected: list[F] = []
    with seed_progress("running", total, as_json) as progress:
        for outcome in outcomes:
            collected.append(outcome)
            progress.update(len(collected), sum(bool(each.violations) for each in collected))
    return collected


def explore_seeds(
    chunks: Iterable[Sequence[F]], seeds: int, as_json: bool, add: Callable[[F], None]
) -> None:
    """Pass each outcome to `add`; show how many seeds were run and how many violated a rule."""
    completed = failed = 0
    with seed_progress("exploring", seeds, as_json) as progress:
        for outcomes in chunks:
            for outcome in outcomes:
                add(outcome)
                failed += bool(outcome.violations)
            completed += len(outcomes)
            progress.update(completed, failed)


def print_shrunk(failed: Sequence[S], shrink: Callable[[S], S], dump: Callable[[Any], str]) -> None:
    """Print the first failed plans to stderr, shrunk and with their traces."""
    for found in failed[:MAX_REPORTED]:
        small = shrink(found)
        seed = found.plan.seed
        typer.echo(f"seed {seed}, shrunk:\n{dump(small.plan)}{small.trace}", err=True)
