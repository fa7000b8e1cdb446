"""Explorations in memory as a command shows them: their progress, and what broke made small."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol, TypeVar

import typer

from .many import Found
from .options import SHOWN, seed_progress


class FoundWithStory(Found, Protocol):
    """What is kept of a run that can be told."""

    @property
    def story(self) -> str: ...


F = TypeVar("F", bound=Found)
S = TypeVar("S", bound=FoundWithStory)


def explore_seeds(
    chunks: Iterable[Sequence[F]], seeds: int, as_json: bool, add: Callable[[F], None]
) -> None:
    """Give each outcome to `add`, and show how many seeds were played and broke a rule."""
    played = broken = 0
    with seed_progress("exploring", seeds, as_json) as progress:
        for outcomes in chunks:
            for outcome in outcomes:
                add(outcome)
                broken += bool(outcome.broken)
            played += len(outcomes)
            progress.update(played, broken)


def print_shrunk(broken: Sequence[S], shrink: Callable[[S], S], dump: Callable[[Any], str]) -> None:
    """Print the first plans that broke a rule, made small, with their stories; to stderr."""
    for found in broken[:SHOWN]:
        small = shrink(found)
        seed = found.plan.seed
        typer.echo(f"seed {seed}, made small:\n{dump(small.plan)}{small.story}", err=True)
