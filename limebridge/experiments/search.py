"""Searches for the plans of events that cause the largest losses for a build.

A plan is a few events added to a scenario.  Its loss is the share of the attainable worth that the
run did not earn, so a plan that stops all nodes does not count as a find.  Pure: the caller runs
the plans and passes the losses back.

The search combines quality with diversity, as MAP-Elites does: an archive keeps the plan with the
largest loss for each set of event kinds.  Parents are drawn from it, those with larger losses more
often, and are mutated or crossed.  The final plans are shrunk: the shortest plan that keeps nearly
the whole loss.
"""

from __future__ import annotations

import math
from collections.abc import Generator, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

import msgspec

from limebridge.rehearsal.scenario import Event, Scenario

MAX_EVENTS = 3  # events of a plan
FIRST_EVENT_S = 3.0  # no event starts earlier
TAIL_S = 6.0  # s between the end of the last event and the end of the run
RANDOM_SHARE = 0.25  # share of the budget for random plans, from which mutation starts
FRESH_SHARE = 0.15  # share of random plans among the later ones
CROSSOVER_SHARE = 0.25  # share of plans with two parents among the others
KEPT_LOSS_SHARE = 0.85  # share of the loss that a shrunk plan has to keep
EVENT_RANGES: dict[str, tuple[float, float, float, float, float, float]] = {
    # low and high of share, amount and duration; within what the user has recorded or expects
    "slow": (0.05, 0.5, 2.0, 10.0, 2.0, 15.0),
    "stalls": (0.05, 0.5, 1.0, 1.0, 0.1, 10.0),
    "dies": (0.1, 0.3, 1.0, 1.0, 2.0, 15.0),
    "drains": (0.1, 0.4, 1.0, 1.0, 2.0, 10.0),
    "hot_key": (0.05, 0.25, 1.0, 1.0, 3.0, 15.0),
    "scan": (0.03, 0.2, 1.0, 1.0, 3.0, 15.0),
    "database_slow": (1.0, 1.0, 1.5, 5.0, 2.0, 12.0),
    "database_stops": (1.0, 1.0, 1.0, 1.0, 1.0, 5.0),
    "discovery_down": (1.0, 1.0, 1.0, 1.0, 2.0, 15.0),
    "site_lost": (1.0, 1.0, 1.0, 1.0, 2.0, 15.0),
    "proxies_restart": (0.2, 1.0, 1.0, 1.0, 2.0, 8.0),
    "loses_answers": (0.1, 0.3, 0.5, 2.0, 2.0, 10.0),
}

Plan = tuple[Event, ...]


@dataclass
class RatedPlan:
    """A plan and its loss."""

    plan: Plan
    loss: float
    other_seeds_loss: float = 0.0  # mean loss with seeds that the search did not use

    @property
    def kind(self) -> str:
        """The kinds of its events, sorted and joined by +."""
        return "+".join(sorted({event.kind for event in self.plan}))


@dataclass
class Archive:
    """The plan with the largest loss of each kind, and the history of the search."""

    best: dict[str, RatedPlan] = field(default_factory=dict)
    worst_so_far: list[float] = field(default_factory=list)  # largest loss after each run
    tried: dict[Plan, float] = field(default_factory=dict)

    def add(self, rated: RatedPlan) -> None:
        """Record a plan that was run; keep it if it has the largest loss of its kind."""
        self.tried[rated.plan] = rated.loss
        self.worst_so_far.append(max([rated.loss, *self.worst_so_far[-1:]]))
        current = self.best.get(rated.kind)
        if current is None or rated.loss > current.loss:
            self.best[rated.kind] = rated

    def ranked(self) -> list[RatedPlan]:
        """The best plan of each kind, the largest loss first."""
        return sorted(self.best.values(), key=lambda f: (-f.loss, f.kind))


def random_event(rng: Random, scenario: Scenario) -> Event:
    """A random event within EVENT_RANGES; `site_lost` only if there are several sites."""
    sites = [site.name for site in scenario.site]
    kinds = [kind for kind in EVENT_RANGES if kind != "site_lost" or len(sites) > 1]
    kind = rng.choice(kinds)
    share, share_to, amount, amount_to, lasts, lasts_to = EVENT_RANGES[kind]
    length = rng.uniform(lasts, min(lasts_to, scenario.run.seconds / 2))
    return Event(
        at=_at(rng.uniform(0.0, 1.0), scenario, length),
        kind=kind,  # type: ignore[arg-type]
        lasts=round(length, 2),
        share=round(rng.uniform(share, share_to), 3),
        amount=round(rng.uniform(amount, amount_to), 2),
        site=rng.choice(sites) if kind == "site_lost" else "",
    )


def _at(part: float, scenario: Scenario, lasts: float) -> float:
    last = max(FIRST_EVENT_S, scenario.run.seconds - TAIL_S - lasts)
    return round(FIRST_EVENT_S + part * (last - FIRST_EVENT_S), 2)


def _ordered(events: Sequence[Event]) -> Plan:
    return tuple(sorted(events, key=lambda e: (e.at, e.kind))[:MAX_EVENTS])


def random_plan(rng: Random, scenario: Scenario) -> Plan:
    """A plan of 1 to MAX_EVENTS random events."""
    return _ordered([random_event(rng, scenario) for _ in range(rng.randint(1, MAX_EVENTS))])


def mutate(rng: Random, plan: Plan, scenario: Scenario) -> Plan:
    """Change one thing: add, remove or replace an event, or perturb the values of one."""
    events = list(plan)
    index = rng.randrange(len(events))
    choice = rng.random()
    if choice < 0.2 and len(events) < MAX_EVENTS:
        events.append(random_event(rng, scenario))
    elif choice < 0.3 and len(events) > 1:
        del events[index]
    elif choice < 0.4:
        events[index] = random_event(rng, scenario)
    else:
        events[index] = _perturb(rng, events[index], scenario)
    return _ordered(events)


def _perturb(rng: Random, old: Event, scenario: Scenario) -> Event:
    share, share_to, amount, amount_to, lasts, lasts_to = EVENT_RANGES[old.kind]

    def perturbed(value: float, low: float, high: float) -> float:
        return min(high, max(low, value + rng.gauss(0.0, 0.25) * (high - low)))

    length = perturbed(old.lasts, lasts, min(lasts_to, scenario.run.seconds / 2))
    last = max(FIRST_EVENT_S, scenario.run.seconds - TAIL_S - length)
    return msgspec.structs.replace(
        old,
        lasts=round(length, 2),
        share=round(perturbed(old.share, share, share_to), 3),
        amount=round(perturbed(old.amount, amount, amount_to), 2),
        at=round(perturbed(old.at, FIRST_EVENT_S, last), 2),
    )


def crossover(rng: Random, one: Plan, two: Plan) -> Plan:
    """A random half of the events of both plans, at least one."""
    events = [e for e in (*one, *two) if rng.random() < 0.5] or [rng.choice((*one, *two))]
    return _ordered(events)


def next_plan(archive: Archive, rng: Random, scenario: Scenario, random_only: bool) -> Plan:
    """The next plan to try; plans tried before are avoided.  `random_only`: unguided."""
    for _ in range(20):
        plan = _propose(archive, rng, scenario, random_only)
        if plan not in archive.tried:
            return plan
    return random_plan(rng, scenario)


def _propose(archive: Archive, rng: Random, scenario: Scenario, random_only: bool) -> Plan:
    ranked = archive.ranked()
    if random_only or not ranked or rng.random() < FRESH_SHARE:
        return random_plan(rng, scenario)

    def parent() -> Plan:  # drawn by rank: more than half of the draws fall on the first fifth
        return ranked[int(len(ranked) * rng.random() ** 3)].plan

    if rng.random() < CROSSOVER_SHARE:
        return crossover(rng, parent(), parent())
    return mutate(rng, parent(), scenario)


def plan_batches(
    scenario: Scenario, archive: Archive, budget: int, size: int, seed: int, guided: bool = True
) -> Iterator[list[Plan]]:
    """Yield plans in batches of `size`, to be run in parallel; the caller adds their losses."""
    rng = Random(f"search/{seed}")
    proposed = 0
    while proposed < budget:
        count = min(size, budget - proposed)
        random_only = not guided or proposed < RANDOM_SHARE * budget
        yield [next_plan(archive, rng, scenario, random_only) for _ in range(count)]
        proposed += count


def shrink(rated: RatedPlan, max_tries: int = 30) -> Generator[Plan, float, RatedPlan]:
    """Find a shorter and milder plan that keeps KEPT_LOSS_SHARE of the loss.

    Yields plans, receives the loss of each, and returns the result after at most `max_tries` plans.
    """
    best, min_loss, tries = rated, KEPT_LOSS_SHARE * rated.loss, 0

    def still_costly(plan: Plan) -> Generator[Plan, float, bool]:
        nonlocal best, tries
        if tries >= max_tries or not plan:
            return False
        tries += 1
        loss = yield plan
        if loss >= min_loss:
            best = RatedPlan(plan, loss)
        return loss >= min_loss

    index = 0
    while index < len(best.plan):  # drop events that are not needed
        if not (yield from still_costly(best.plan[:index] + best.plan[index + 1 :])):
            index += 1
    for index in range(len(best.plan)):
        for name in ("lasts", "share"):
            for _ in range(3):
                old = best.plan[index]
                value = round(getattr(old, name) * 0.6, 3)
                if value < EVENT_RANGES[old.kind][4 if name == "lasts" else 0] or not (
                    yield from still_costly(
                        (
                            *best.plan[:index],
                            msgspec.structs.replace(old, **{name: value}),
                            *best.plan[index + 1 :],
                        )
                    )
                ):
                    break
    return best


def select_diverse(rated_plans: Sequence[RatedPlan], count: int) -> list[RatedPlan]:
    """The first `count` plans that are not similar to an earlier one.

    A plan is similar if its kinds include all kinds of a kept plan with at least 0.9 of its loss.
    """
    kept: list[RatedPlan] = []
    for rated in rated_plans:
        kinds = set(rated.kind.split("+"))
        if not any(set(k.kind.split("+")) <= kinds and k.loss >= 0.9 * rated.loss for k in kept):
            kept.append(rated)
    return kept[:count]


def scenario_of(base: Scenario, plan: Plan, name: str) -> Scenario:
    """The scenario with the events of a plan, and without requirements: they fit other events."""
    replace = msgspec.structs.replace
    return replace(
        base,
        event=list(plan),
        name=name,
        bar=type(base.bar)(),
        run=replace(base.run, drawn_as=base.run.drawn_as or base.name),
    )


def loss_of(whole: float | None, service: float) -> float:
    """The loss of a run: the share of the attainable worth that was not earned.

    Without that share (`whole` is None), the service is used instead.
    """
    value = service if whole is None else whole
    return 0.0 if math.isnan(value) else max(0.0, 1.0 - value)
