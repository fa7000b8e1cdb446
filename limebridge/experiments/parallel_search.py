"""Runs the search on all cores and writes the plans found as scenario files."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import tomli_w

from limebridge.rehearsal.scenario import Scenario

from . import builds
from .plan import THIS_CHECKOUT
from .runner import Worker
from .search import (
    Archive,
    Plan,
    RatedPlan,
    loss_of,
    plan_batches,
    scenario_of,
    select_diverse,
    shrink,
)

T = TypeVar("T")
EXTRA_SEEDS = 3  # further seeds with which a find is run again


class ParallelSearch:
    """A search with its own workers; call `stop` at the end."""

    def __init__(
        self,
        base: Scenario,
        builds_folder: Path,
        jobs: int,
        limit_s: float = 300.0,
        memory_mb: float = 4000.0,
    ) -> None:
        self._base, self._limit = base, limit_s
        folder = builds.build_folder(THIS_CHECKOUT, builds_folder)
        self._free = [Worker(folder, memory_mb) for _ in range(jobs)]
        self._all = list(self._free)
        self.runs = 0
        self.violating_plans: list[
            tuple[Plan, list[Any]]
        ] = []  # plans that violated a rule, with the violations

    async def plan_loss(self, plan: Plan, seed_offset: int = 0) -> float:
        """Loss of a plan with the scenario's seed plus `seed_offset`; 0 if it can't be run."""
        worker = self._free.pop()
        try:
            scenario = scenario_of(self._base, plan, self._base.name)
            result = await worker.run_job(
                {
                    "scenario": msgspec.to_builtins(scenario),
                    "seed": scenario.run.seed + seed_offset,
                    "constants": {},
                },
                self._limit,
            )
        finally:
            self._free.append(worker)
        self.runs += 1
        if result["state"] != "done":
            return 0.0
        measures = result["measures"]
        if measures["broken"]:
            self.violating_plans.append((plan, result["detail"]["broken"]))
        return loss_of(measures["whole"], measures["service"])

    async def run(
        self,
        budget: int,
        seed: int,
        guided: bool = True,
        on_batch: Callable[[Archive], None] | None = None,
    ) -> Archive:
        """Run `budget` plans; `on_batch` receives the archive after each batch."""
        archive = Archive()
        for plans in plan_batches(self._base, archive, budget, len(self._all), seed, guided):
            losses = await _run_all(map(self.plan_loss, plans))
            for plan, loss in zip(plans, losses, strict=True):
                archive.add(RatedPlan(plan, loss))
            if on_batch is not None:
                on_batch(archive)
        return archive

    async def best_plans(self, archive: Archive, count: int) -> list[RatedPlan]:
        """Shrink the plans with the largest losses; return up to `count`, rated with more seeds."""
        semaphore = asyncio.Semaphore(len(self._all))

        async def shrink_one(rated: RatedPlan) -> RatedPlan:
            async with semaphore:
                steps = shrink(rated)
                try:
                    plan = next(steps)
                    while True:
                        plan = steps.send(await self.plan_loss(plan))
                except StopIteration as end:
                    smallest: RatedPlan = end.value
                    return smallest

        shrunk = await _run_all(map(shrink_one, select_diverse(archive.ranked(), 2 * count)))
        kept = select_diverse(sorted(shrunk, key=lambda f: (-f.loss, f.kind)), count)
        for rated in kept:  # the loss may be due to chance in a single seed
            losses = [
                await self.plan_loss(rated.plan, seed_offset)
                for seed_offset in range(1, EXTRA_SEEDS + 1)
            ]
            rated.other_seeds_loss = sum(losses) / EXTRA_SEEDS
        return kept

    async def stop(self) -> None:
        """Stop all workers."""
        for worker in self._all:
            await worker.stop()


async def _run_all(coroutines: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
    """Run coroutines concurrently; on return or cancellation all have ended.

    After a cancelled `asyncio.gather` some may still run.
    """
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(rated) for rated in coroutines]
    return [task.result() for task in tasks]


def write_scenarios(base: Scenario, plans: list[RatedPlan], folder: Path) -> list[Path]:
    """Write each plan as a scenario file for `limebridge rehearse`; return the paths."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for number, rated in enumerate(plans, 1):
        path = folder / f"worst-{number}-{rated.kind}.toml"
        scenario = scenario_of(base, rated.plan, "")
        about = (
            f"found by search on {base.name}: loses {rated.loss:.3f} of the attainable, "
            f"{rated.other_seeds_loss:.3f} under {EXTRA_SEEDS} other seeds"
        )
        raw = msgspec.to_builtins(
            msgspec.structs.replace(
                scenario, run=msgspec.structs.replace(scenario.run, about=about)
            )
        )
        del raw["name"]
        path.write_text(tomli_w.dumps(raw))
        paths.append(path)
    return paths
