"""The worst morning: a search over plans of troubles for what costs a build most.

A plan is a few events on top of a scenario.  Its loss is what was attainable and not had, so that a
plan which takes all nodes away is no find.  Pure: what plans cost
is told by whoever plays them.

Quality with diversity, as in MAP-Elites: an archive keeps the costliest plan of each kind of
trouble (the set of its events' kinds); parents are drawn from it, the costlier the likelier, then
mutated or crossed.  What is kept is shrunk: the shortest plan that still costs nearly as much.
"""

from __future__ import annotations

import math
from collections.abc import Generator, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

import msgspec

from limebridge.rehearsal.scenario import Event, Scenario

MOST = 3  # events of a plan
WARM = 3.0  # s before the first event
LEFT = 6.0  # s behind the last one
FIRST = 0.25  # of the budget is drawn at random, so that mutation has something to begin with
FRESH = 0.15  # of the rest
CROSS = 0.25
KEEPS = 0.85  # of its loss, in a plan that was shrunk
KINDS: dict[str, tuple[float, float, float, float, float, float]] = {
    # share from, to; amount from, to; lasts from, to.  Within what the user has recorded or fears
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
class Found:
    """A plan with what it costs."""

    plan: Plan
    loss: float
    others: float = 0.0  # what it costs in the mean of seeds that the search has not seen

    @property
    def kind(self) -> str:
        return "+".join(sorted({event.kind for event in self.plan}))


@dataclass
class Archive:
    """The costliest of each kind, and the way there."""

    best: dict[str, Found] = field(default_factory=dict)
    worst_so_far: list[float] = field(default_factory=list)  # by run
    tried: dict[Plan, float] = field(default_factory=dict)

    def add(self, found: Found) -> None:
        self.tried[found.plan] = found.loss
        self.worst_so_far.append(max([found.loss, *self.worst_so_far[-1:]]))
        held = self.best.get(found.kind)
        if held is None or found.loss > held.loss:
            self.best[found.kind] = found

    def ranked(self) -> list[Found]:
        """The costliest first."""
        return sorted(self.best.values(), key=lambda f: (-f.loss, f.kind))


def event(rng: Random, scenario: Scenario) -> Event:
    """One drawn anew."""
    sites = [site.name for site in scenario.site]
    kinds = [kind for kind in KINDS if kind != "site_lost" or len(sites) > 1]
    kind = rng.choice(kinds)
    share, share_to, amount, amount_to, lasts, lasts_to = KINDS[kind]
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
    last = max(WARM, scenario.run.seconds - LEFT - lasts)
    return round(WARM + part * (last - WARM), 2)


def _ordered(events: Sequence[Event]) -> Plan:
    return tuple(sorted(events, key=lambda e: (e.at, e.kind))[:MOST])


def draw(rng: Random, scenario: Scenario) -> Plan:
    """One to MOST events, at random."""
    return _ordered([event(rng, scenario) for _ in range(rng.randint(1, MOST))])


def mutate(rng: Random, plan: Plan, scenario: Scenario) -> Plan:
    """One thing changed: an event more, less or another, or a figure of one."""
    events = list(plan)
    place = rng.randrange(len(events))
    what = rng.random()
    if what < 0.2 and len(events) < MOST:
        events.append(event(rng, scenario))
    elif what < 0.3 and len(events) > 1:
        del events[place]
    elif what < 0.4:
        events[place] = event(rng, scenario)
    else:
        events[place] = _nudged(rng, events[place], scenario)
    return _ordered(events)


def _nudged(rng: Random, old: Event, scenario: Scenario) -> Event:
    share, share_to, amount, amount_to, lasts, lasts_to = KINDS[old.kind]

    def near(value: float, low: float, high: float) -> float:
        return min(high, max(low, value + rng.gauss(0.0, 0.25) * (high - low)))

    length = near(old.lasts, lasts, min(lasts_to, scenario.run.seconds / 2))
    last = max(WARM, scenario.run.seconds - LEFT - length)
    return msgspec.structs.replace(
        old,
        lasts=round(length, 2),
        share=round(near(old.share, share, share_to), 3),
        amount=round(near(old.amount, amount, amount_to), 2),
        at=round(near(old.at, WARM, last), 2),
    )


def cross(rng: Random, one: Plan, two: Plan) -> Plan:
    """Some events of each."""
    events = [e for e in (*one, *two) if rng.random() < 0.5] or [rng.choice((*one, *two))]
    return _ordered(events)


def ask(archive: Archive, rng: Random, scenario: Scenario, first: bool) -> Plan:
    """The next plan to try; one that was tried is drawn anew."""
    for _ in range(20):
        plan = _asked(archive, rng, scenario, first)
        if plan not in archive.tried:
            return plan
    return draw(rng, scenario)


def _asked(archive: Archive, rng: Random, scenario: Scenario, first: bool) -> Plan:
    ranked = archive.ranked()
    if first or not ranked or rng.random() < FRESH:
        return draw(rng, scenario)

    def parent() -> Plan:  # by rank: half of the choices fall on the first fifth or so
        return ranked[int(len(ranked) * rng.random() ** 3)].plan

    if rng.random() < CROSS:
        return cross(rng, parent(), parent())
    return mutate(rng, parent(), scenario)


def batches(
    scenario: Scenario, archive: Archive, budget: int, size: int, seed: int, guided: bool = True
) -> Iterator[list[Plan]]:
    """Plans to try, `size` at a time (so many go side by side); the caller adds what they cost."""
    rng = Random(f"search/{seed}")
    asked = 0
    while asked < budget:
        count = min(size, budget - asked)
        first = not guided or asked < FIRST * budget
        yield [ask(archive, rng, scenario, first) for _ in range(count)]
        asked += count


def shrunk(found: Found, most: int = 30) -> Generator[Plan, float, Found]:
    """The shortest and mildest plan that still costs KEEPS of it: yields plans, is sent what each
    costs, and returns what is left; at most `most` plans are asked about."""
    best, least, tries = found, KEEPS * found.loss, 0

    def holds(plan: Plan) -> Generator[Plan, float, bool]:
        nonlocal best, tries
        if tries >= most or not plan:
            return False
        tries += 1
        cost = yield plan
        if cost >= least:
            best = Found(plan, cost)
        return cost >= least

    place = 0
    while place < len(best.plan):  # events that it does not need
        if not (yield from holds(best.plan[:place] + best.plan[place + 1 :])):
            place += 1
    for place in range(len(best.plan)):
        for name in ("lasts", "share"):
            for _ in range(3):
                old = best.plan[place]
                value = round(getattr(old, name) * 0.6, 3)
                if value < KINDS[old.kind][4 if name == "lasts" else 0] or not (
                    yield from holds(
                        (
                            *best.plan[:place],
                            msgspec.structs.replace(old, **{name: value}),
                            *best.plan[place + 1 :],
                        )
                    )
                ):
                    break
    return best


def novel(found: Sequence[Found], count: int) -> list[Found]:
    """The costliest ones that are not much like one kept already: no kinds that include its."""
    kept: list[Found] = []
    for each in found:
        kinds = set(each.kind.split("+"))
        if not any(set(k.kind.split("+")) <= kinds and k.loss >= 0.9 * each.loss for k in kept):
            kept.append(each)
    return kept[:count]


def scenario_of(base: Scenario, plan: Plan, name: str) -> Scenario:
    """What `limebridge rehearse` plays; its bars are taken off, since they are another plan's."""
    replace = msgspec.structs.replace
    return replace(
        base,
        event=list(plan),
        name=name,
        bar=type(base.bar)(),
        run=replace(base.run, drawn_as=base.run.drawn_as or base.name),
    )


def loss_of(whole: float | None, service: float) -> float:
    """Of a run: what was attainable and was not had."""
    value = service if whole is None else whole
    return 0.0 if math.isnan(value) else max(0.0, 1.0 - value)
