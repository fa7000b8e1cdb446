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

MAX_SHRINK_RUNS = 120  # runs per plan


@dataclass
class SeedResult:
    """Result of one seed's run, returned by a worker process; the fields are those of `Outcome`."""

    seed: int
    plan: Plan
    violations: list[Violation]
    requests: int
    digest: str
    pair_counts: Counter[str]


@dataclass
class Summary:
    """Results accumulated over an exploration."""

    seeds: int = 0
    seconds: float = 0.0
    requests: int = 0
    failed: list[SeedResult] = field(default_factory=list)  # runs with a violation
    pair_counts: Counter[str] = field(default_factory=Counter)
    digests: dict[int, str] = field(default_factory=dict)

    def add(self, result: SeedResult) -> None:
        """Add the result of one more seed."""
        self.seeds += 1
        self.requests += result.requests
        self.pair_counts.update(result.pair_counts)
        self.digests[result.seed] = result.digest
        if result.violations:
            self.failed.append(result)

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
        seed,
        outcome.plan,
        outcome.violations,
        outcome.requests,
        outcome.digest,
        outcome.pair_counts,
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
        for result in pool.imap_unordered(run, range(first, first + count), chunksize=4):
            summary.add(result)
            summary.seconds = time.monotonic() - began
            yield summary
            if budget and summary.seconds > budget:
                break


def violates_rule(outcome: Outcome, rule: int) -> bool:
    """Whether the run violates this rule."""
    return any(violation.rule == rule for violation in outcome.violations)


def shrink(
    plan: Plan,
    rule: int,
    max_runs: int = MAX_SHRINK_RUNS,
    run: Callable[[Plan], Outcome] = run_plan,
) -> Plan:
    """Return a smaller plan that violates this rule: fewer faults, shorter, simpler, less load.

    The search is greedy and limited to `max_runs` runs.  A reduction is kept only if its run
    violated the rule, so the result is the plan itself if no reduction did.
    """
    runs_left = max_runs

    def fails(candidate: Plan) -> bool:
        nonlocal runs_left
        runs_left -= 1
        return runs_left >= 0 and violates_rule(run(candidate), rule)

    smallest = msgspec.structs.replace(plan)
    changed = True
    while changed and runs_left > 0:
        changed = False
        for candidate in _reductions(smallest):
            if runs_left <= 0:
                break
            if fails(candidate):
                smallest, changed = candidate, True
                break
    return smallest


def _reductions(plan: Plan) -> Iterator[Plan]:
    """Yield plans with one reduction each; those with only half of the faults come first."""
    faults = plan.faults
    size = len(faults)
    if size > 2:
        yield msgspec.structs.replace(plan, faults=faults[: size // 2])
        yield msgspec.structs.replace(plan, faults=faults[size // 2 :])
    for index in range(size):
        yield msgspec.structs.replace(plan, faults=faults[:index] + faults[index + 1 :])
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
    for index, fault in enumerate(faults):
        if fault.lasts > 0.1:
            half: Fault = msgspec.structs.replace(fault, lasts=round(fault.lasts / 2, 4))
            yield msgspec.structs.replace(
                plan, faults=(*faults[:index], half, *faults[index + 1 :])
            )
