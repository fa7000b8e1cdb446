"""Runs the plans of many seeds in parallel and shrinks a failing plan to a small one."""

from __future__ import annotations

import functools
import hashlib
import multiprocessing
import os
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from limebridge.rules import Violation

from .coverage import add_rare_pairs
from .network import BUFFER
from .plan import Fault, Kind, Plan, generate, generate_consul
from .runner import run_plan
from .world import Outcome

Pairs = Sequence[tuple[Kind, str]]

MAX_SHRINK_RUNS = 120  # per plan


@dataclass
class SeedResult:
    """The result of one seed's run, returned by a worker process."""

    seed: int
    plan: Plan
    broken: list[Violation]
    requests: int
    digest: str
    met: Counter[str]


@dataclass
class Summary:
    """Results accumulated over an exploration."""

    seeds: int = 0
    seconds: float = 0.0
    requests: int = 0
    broken: list[SeedResult] = field(default_factory=list)
    met: Counter[str] = field(default_factory=Counter)
    digests: dict[int, str] = field(default_factory=dict)

    def add(self, found: SeedResult) -> None:
        self.seeds += 1
        self.requests += found.requests
        self.met.update(found.met)
        self.digests[found.seed] = found.digest
        if found.broken:
            self.broken.append(found)

    @property
    def digest(self) -> str:
        """SHA-256 over the digests in seed order, independent of which worker finished first."""
        whole = "".join(self.digests[seed] for seed in sorted(self.digests))
        return hashlib.sha256(whole.encode()).hexdigest()


def run_seed(seed: int, consul: bool = False, pairs: Pairs = ()) -> SeedResult:
    """Run the plan of one seed, extended by `add_rare_pairs` with `pairs`."""
    plan = add_rare_pairs(generate_consul(seed) if consul else generate(seed), pairs)
    outcome = run_plan(plan)
    return SeedResult(
        seed, outcome.plan, outcome.broken, outcome.requests, outcome.digest, outcome.met
    )


def explore(
    first: int,
    count: int,
    jobs: int = 0,
    budget: float = 0.0,
    prepare: Callable[[], None] | None = None,
    consul: bool = False,
    pairs: Pairs = (),
) -> Iterator[Summary]:
    """Run `count` seeds from `first` and yield the summary after each one.

    Stops early after `budget` seconds (0: no limit).  `jobs` is the number of worker processes
    (0: one per core); each calls `prepare` once before its first seed.
    """
    summary, began = Summary(), time.monotonic()
    jobs = jobs or len(os.sched_getaffinity(0))
    context = multiprocessing.get_context("spawn")
    with context.Pool(jobs, initializer=prepare) as pool:
        run = functools.partial(run_seed, consul=consul, pairs=pairs)
        for found in pool.imap_unordered(run, range(first, first + count), chunksize=4):
            summary.add(found)
            summary.seconds = time.monotonic() - began
            yield summary
            if budget and summary.seconds > budget:
                break


def violates_rule(outcome: Outcome, rule: int) -> bool:
    """Whether the run violates this rule."""
    return any(found.rule == rule for found in outcome.broken)


def shrink(
    plan: Plan,
    rule: int,
    max_runs: int = MAX_SHRINK_RUNS,
    run: Callable[[Plan], Outcome] = run_plan,
) -> Plan:
    """A smaller plan that still violates this rule: fewer faults, shorter, simpler, less load.

    The search is greedy and limited to `max_runs` runs.  Each reduction is kept only if a run of
    it violated the rule.
    """
    left = max_runs

    def fails(candidate: Plan) -> bool:
        nonlocal left
        left -= 1
        return left >= 0 and violates_rule(run(candidate), rule)

    shorter = msgspec.structs.replace(plan)
    changed = True
    while changed and left > 0:
        changed = False
        for candidate in _smaller(shorter):
            if left <= 0:
                break
            if fails(candidate):
                shorter, changed = candidate, True
                break
    return shorter


def _smaller(plan: Plan) -> Iterator[Plan]:
    faults = plan.faults
    size = len(faults)
    if size > 2:
        yield msgspec.structs.replace(plan, faults=faults[: size // 2])
        yield msgspec.structs.replace(plan, faults=faults[size // 2 :])
    for place in range(size):
        yield msgspec.structs.replace(plan, faults=faults[:place] + faults[place + 1 :])
    last = max((fault.at for fault in faults), default=0.0) + 3.0
    if last < plan.seconds - 0.5:
        yield msgspec.structs.replace(plan, seconds=round(last, 3))
    if plan.cut:
        yield msgspec.structs.replace(plan, cut=False)
    if plan.buffer < BUFFER:
        yield msgspec.structs.replace(plan, buffer=BUFFER)
    if plan.jitter:
        yield msgspec.structs.replace(plan, jitter=0.0)
    if plan.clients > 2:
        yield msgspec.structs.replace(plan, clients=plan.clients // 2)
    for place, fault in enumerate(faults):
        if fault.lasts > 0.1:
            half: Fault = msgspec.structs.replace(fault, lasts=round(fault.lasts / 2, 4))
            yield msgspec.structs.replace(
                plan, faults=(*faults[:place], half, *faults[place + 1 :])
            )
