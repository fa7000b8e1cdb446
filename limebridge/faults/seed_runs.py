"""Runs many seeds in worker processes and shrinks a plan that violates a rule."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Protocol, TypeVar

from .pool import Result, submit, worker_pool
from .violation import Violation

MAX_CHUNK_SEEDS = 20  # seeds that one task of a worker process covers


class RunOutcome(Protocol):
    """The part of a run's result that every rig and simulation has."""

    @property
    def plan(self) -> Any:
        """The plan that was run; a plan that violates a rule is shrunk and run again."""
        ...

    @property
    def violations(self) -> Sequence[Violation]:
        """The violated rules in order; empty if the run passes."""
        ...


F = TypeVar("F", bound=RunOutcome)


def run_chunk(
    run_seed: Callable[[int], Result], first: int, count: int, prepare: Callable[[], None] | None
) -> list[Result]:
    """Run `count` consecutive seeds in this process, after calling `prepare`."""
    if prepare is not None:
        prepare()
    return [run_seed(seed) for seed in range(first, first + count)]


def explore(
    run_seed: Callable[[int], Result],
    first: int,
    seeds: int,
    jobs: int,
    prepare: Callable[[], None] | None = None,
) -> Iterator[list[Result]]:
    """Yield the outcomes in chunks, in seed order.

    `jobs`: worker processes, 0 for one per core.  `run_seed` and `prepare` are pickled and sent to
    the workers; `prepare` is called there before each chunk.
    """
    workers = jobs or os.cpu_count() or 1
    size = max(1, min(MAX_CHUNK_SEEDS, seeds // (4 * workers) or 1))
    with worker_pool(workers) as pool:
        futures = [
            submit(pool, run_chunk, run_seed, at, min(size, first + seeds - at), prepare)
            for at in range(first, first + seeds, size)
        ]
        for future in futures:
            yield future.result()


def shrink(found: F, run_plan: Callable[[Any], F], without: Callable[[Any, int], Any]) -> F:
    """Remove every fault that the violation of the first rule does not need.

    `found`: an outcome with at least one violation.  `without`: the plan without the fault at an
    index.  Each fault is left out in turn and stays out if the same rule is violated without it.
    Returns the outcome of the smallest plan.
    """
    rule, kept, index = found.violations[0].rule, found, 0
    while index < len(kept.plan.fault):
        smaller = run_plan(without(kept.plan, index))
        if any(violation.rule == rule for violation in smaller.violations):
            kept = smaller
        else:
            index += 1
    return kept
