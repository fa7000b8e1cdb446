"""Many plans at once, each in a process of its own, and what broke made small."""

from __future__ import annotations

import os
import traceback
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from multiprocessing import get_context

from . import plan as plans
from .history import tell
from .plan import Plan
from .rig import play

AT_ONCE = 1  # plans a core: starting five to eight daemons takes it whole
AGAIN = 2  # times that a smaller plan is played before it is taken for sound


@dataclass(frozen=True)
class Told:
    """What is kept of an outcome."""

    plan: Plan
    broken: tuple[tuple[str, str], ...]
    seconds: float
    effects: int
    gaps: tuple[tuple[str, float], ...]  # kinds of the faults just before, and s without an owner
    story: str


def one(plan: Plan, patch: str = "") -> Told:
    """One plan, told.  A fault of the rig's own is told too, and costs no other plan."""
    try:
        outcome = play(plan, patch)
    except Exception as error:
        trace = "".join(traceback.format_exception(error))
        return Told(plan, (("rig", f"{type(error).__name__}: {error}"),), 0.0, 0, (), trace)
    story = tell(outcome.history, outcome.broken) if outcome.broken else ""
    gaps = []
    for _, since, gap in outcome.gaps:
        kinds = {
            what.partition(" ")[0]
            for at, what, _ in outcome.history.faults
            if since - 0.5 <= at <= since + gap
        }
        healed = outcome.history.healed_at
        gaps.append(
            ("end" if healed and since > healed - 0.5 else "+".join(sorted(kinds)) or "none", gap)
        )
    return Told(plan, tuple(outcome.broken), outcome.seconds, outcome.effects, tuple(gaps), story)


def run(chosen: Iterable[Plan], jobs: int = 0, patch: str = "") -> Iterator[Told]:
    """As they end."""
    workers = jobs or AT_ONCE * (os.cpu_count() or 1)
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        waits = [pool.submit(one, plan, patch) for plan in chosen]
        try:
            for done in as_completed(waits):
                yield done.result()
        finally:
            for wait in waits:
                wait.cancel()


@dataclass
class Shrunk:
    plan: Plan
    story: str
    played: int = field(default=0)


def shrink(told: Told, patch: str = "") -> Shrunk:
    """The fewest faults with which the same property breaks: each left out in turn.

    Real processes are not exact: a plan counts as sound once it has held AGAIN times.
    """
    rule = told.broken[0][0]
    kept = Shrunk(told.plan, told.story)
    place = 0
    while place < len(kept.plan.fault):
        smaller = plans.without(kept.plan, place)
        for _ in range(AGAIN):
            kept.played += 1
            found = one(smaller, patch)
            if any(name == rule for name, _ in found.broken):
                kept.plan, kept.story = smaller, found.story
                break
        else:
            place += 1
    return kept
