"""Many seeds in processes of their own, and what broke made small."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Protocol, TypeVar

from .pool import submit, worker_pool
from .violation import Violation

CHUNK = 20  # seeds that a process is given at once


class Found(Protocol):
    """What is kept of a run."""

    @property
    def plan(self) -> Any: ...
    @property
    def broken(self) -> Sequence[Violation]: ...


F = TypeVar("F", bound=Found)


def chunk(
    play: Callable[[int], F], first: int, count: int, prepare: Callable[[], None] | None
) -> list[F]:
    """Some seeds, in this process."""
    if prepare is not None:
        prepare()
    return [play(seed) for seed in range(first, first + count)]


def explore(
    play: Callable[[int], F],
    first: int,
    seeds: int,
    jobs: int,
    prepare: Callable[[], None] | None = None,
) -> Iterator[list[F]]:
    """Outcomes by chunks, in the seeds' order; `play` and `prepare` are sent to processes."""
    many = jobs or os.cpu_count() or 1
    size = max(1, min(CHUNK, seeds // (4 * many) or 1))
    with worker_pool(many) as pool:
        waits = [
            submit(pool, chunk, play, at, min(size, first + seeds - at), prepare)
            for at in range(first, first + seeds, size)
        ]
        for wait in waits:
            yield wait.result()


def shrink(found: F, play: Callable[[Any], F], without: Callable[[Any, int], Any]) -> F:
    """The fewest faults with which the same property breaks."""
    rule, kept, place = found.broken[0].rule, found, 0
    while place < len(kept.plan.fault):
        smaller = play(without(kept.plan, place))
        if any(violation.rule == rule for violation in smaller.broken):
            kept = smaller
        else:
            place += 1
    return kept
