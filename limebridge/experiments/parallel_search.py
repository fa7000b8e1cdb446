"""The search on all cores: plans to workers, what they cost back, the finds as scenario files."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import tomli_w

from limebridge.rehearsal.scenario import Scenario

from . import builds
from .plan import HERE
from .runner import Worker
from .search import Archive, Found, Plan, batches, loss_of, novel, scenario_of, shrunk

T = TypeVar("T")
OTHERS = 3  # seeds by which a find is looked at again


class Hunt:
    """One search; its workers are its own and end with it."""

    def __init__(
        self,
        base: Scenario,
        under: Path,
        jobs: int,
        limit_s: float = 300.0,
        memory_mb: float = 4000.0,
    ) -> None:
        self._base, self._limit = base, limit_s
        folder = builds.folder(HERE, under)
        self._free = [Worker(folder, memory_mb) for _ in range(jobs)]
        self._all = list(self._free)
        self.runs = 0
        self.broken: list[tuple[Plan, list[Any]]] = []  # plans that broke a rule

    async def cost(self, plan: Plan, later: int = 0) -> float:
        """Loss of a plan under the scenario's seed plus `later`; 0 if it can't be played."""
        worker = self._free.pop()
        try:
            made = scenario_of(self._base, plan, self._base.name)
            told = await worker.play(
                {
                    "scenario": msgspec.to_builtins(made),
                    "seed": made.run.seed + later,
                    "constants": {},
                },
                self._limit,
            )
        finally:
            self._free.append(worker)
        self.runs += 1
        if told["state"] != "done":
            return 0.0
        measures = told["measures"]
        if measures["broken"]:
            self.broken.append((plan, told["detail"]["broken"]))
        return loss_of(measures["whole"], measures["service"])

    async def go(
        self,
        budget: int,
        seed: int,
        guided: bool = True,
        told: Callable[[Archive], None] | None = None,
    ) -> Archive:
        """Play `budget` plans; `told` gets the archive after each batch."""
        archive = Archive()
        for plans in batches(self._base, archive, budget, len(self._all), seed, guided):
            costs = await _all_of(map(self.cost, plans))
            for plan, cost in zip(plans, costs, strict=True):
                archive.add(Found(plan, cost))
            if told is not None:
                told(archive)
        return archive

    async def finds(self, archive: Archive, count: int) -> list[Found]:
        """Shrink the costliest plans, return `count` at most, with their loss under more seeds."""
        room = asyncio.Semaphore(len(self._all))

        async def one(found: Found) -> Found:
            async with room:
                steps = shrunk(found)
                try:
                    plan = next(steps)
                    while True:
                        plan = steps.send(await self.cost(plan))
                except StopIteration as end:
                    least: Found = end.value
                    return least

        made = await _all_of(map(one, novel(archive.ranked(), 2 * count)))
        kept = novel(sorted(made, key=lambda f: (-f.loss, f.kind)), count)
        for found in kept:  # a plan may owe its loss to one seed's luck alone
            costs = [await self.cost(found.plan, later) for later in range(1, OTHERS + 1)]
            found.others = sum(costs) / OTHERS
        return kept

    async def end(self) -> None:
        """Stop every worker."""
        for worker in self._all:
            await worker.end()


async def _all_of(what: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
    """Side by side; once this ends, called off or not, all have ended (of gather some may not)."""
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(each) for each in what]
    return [task.result() for task in tasks]


def written(base: Scenario, found: list[Found], folder: Path) -> list[Path]:
    """Write each find as a scenario file of `limebridge rehearse`; return the paths."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for number, each in enumerate(found, 1):
        path = folder / f"worst-{number}-{each.kind}.toml"
        made = scenario_of(base, each.plan, "")
        about = (
            f"found by search on {base.name}: loses {each.loss:.3f} of the attainable, "
            f"{each.others:.3f} under {OTHERS} other seeds"
        )
        raw = msgspec.to_builtins(
            msgspec.structs.replace(made, run=msgspec.structs.replace(made.run, about=about))
        )
        del raw["name"]
        path.write_text(tomli_w.dumps(raw))
        paths.append(path)
    return paths
