"""Gossip rounds: what a proxy reports, to how many members, and what it takes from peers.  Pure.

Every ROUND_S a proxy reports outcomes at the nodes, outcomes of its requests, spare budget and
heavy hitters.  Normally a round goes to CALM_FANOUT random members, and to TROUBLE_FANOUT while
recent outcomes are bad: in a large fleet a node counts as unhealthy only after three members have
seen that.  So what a member sends does not grow with the fleet, and what it receives is a sample.

Reports have an age.  Those older than MAX_REPORT_AGE_S are ignored.  Outcomes of requests are
ignored beyond MAX_OUTCOME_AGE_S, also if they grew old here because this process was stopped.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from snowstall import CacheState, LoadSample, Member, Result

from .budget import Budget
from .heavy_hitters import HeavyHitters, hash_of
from .load_reports import LoadReports
from .node_health import NodeHealth
from .report_budget import ByteBucket, ReportBudget
from .wire import HealthReport, HeavyHitterReport, Item, LoadReport, SpareReport

ROUND_S = 0.5  # interval of rounds
CALM_FANOUT, TROUBLE_FANOUT = 2, 16  # members that a round reports to
URGENT_BADNESS = 0.5  # bad outcomes; from here on a round uses TROUBLE_FANOUT
MAX_REPORT_AGE_S = 5.0
MAX_OUTCOME_AGE_S = 1.0
HITTERS_INTERVAL_S = 1.0  # shortest time between two heavy hitter reports
# Share of the requests counted; counting all costs as much as the rest of this module.
SAMPLED_SHARE = 0.25
# Evidence of an unhealthy node; other results are caused by the load or the client.
BAD_RESULTS = frozenset({Result.LATE, Result.RESET, Result.NO_CONNECTION})


class RandomSource(Protocol):
    """`random.Random`, or a test's replacement."""

    def random(self) -> float:
        """A number in [0, 1)."""
        ...

    def sample(self, of: Sequence[str], k: int) -> list[str]:
        """`k` different elements, in random order."""
        ...


@dataclass(slots=True)
class Report:
    """Items of one kind and the members that receive them."""

    items: list[Item]
    to: list[str]


@dataclass(slots=True)
class Round:
    """The result of a round: reports to send and what peers reported."""

    to: list[str] = field(default_factory=list)  # all receivers of reports
    reports: list[Report] = field(default_factory=list)
    unhealthy: list[int] = field(default_factory=list)  # nodes, by the peers' reports
    # Nodes that were not unhealthy in the previous round.
    newly_unhealthy: list[int] = field(default_factory=list)
    # Nodes that were unhealthy only in the previous round.
    recovered: list[int] = field(default_factory=list)
    outcomes: list[LoadSample] = field(default_factory=list)  # outcomes of peers' requests

    @property
    def items(self) -> list[Item]:
        """The items of all reports."""
        return [item for report in self.reports for item in report.items]


class Rounds:
    """The rounds of one proxy.  `use_reports`: whether to use health reports.  `now`: s."""

    def __init__(
        self,
        zone: str,
        use_reports: bool,
        now: float,
        random: RandomSource,
        budget: ReportBudget | None = None,
    ) -> None:
        self._random, self._budget = random, budget
        self.node_health = NodeHealth(zone) if use_reports else None
        self.load_reports = LoadReports()
        self.heavy_hitters = {kind: HeavyHitters(kind, now) for kind in ("tenant", "key")}
        # Proxies that start together do not report together.
        self._round_at = now + ROUND_S * random.random()
        self._hitters_at = now
        self._unhealthy: list[int] = []

    # --- own requests and nodes ---
    def record_attempt(self, now: float, node: int, result: Result) -> None:
        """Record how an attempt ended at a node."""
        if self.node_health is not None and (result is Result.OK or result in BAD_RESULTS):
            self.node_health.record_outcome(now, node, result is not Result.OK)

    def record_request(self, now: float, tenant: str, key: int) -> None:
        """Count an admitted request for the heavy hitters."""
        if self._random.random() < SAMPLED_SHARE:
            self.heavy_hitters["key"].add(now, key & (2**63 - 1), 1.0 / SAMPLED_SHARE)
        if tenant:
            self.heavy_hitters["tenant"].add(now, hash_of(tenant))

    def update_nodes(self, members: Iterable[Member]) -> None:
        """Apply a change of the node list; nodes that are not ready are forgotten."""
        if self.node_health is not None:
            for member in members:
                if member.state is CacheState.READY:
                    self.node_health.add_node(member.id, member.started_at)
                else:
                    self.node_health.remove_node(member.id)

    # --- reports of peers ---
    def receive(
        self,
        now: float,
        member: str,
        zone: str,
        item: HealthReport | LoadReport | HeavyHitterReport,
        age: float,
    ) -> None:
        """Merge a report of a member that is up, written at most `age` s ago."""
        if age > MAX_REPORT_AGE_S:
            return
        if isinstance(item, HeavyHitterReport):
            if item.kind in self.heavy_hitters:
                self.heavy_hitters[item.kind].merge_report(now, member, item, age)
        elif self.node_health is None:
            return
        elif isinstance(item, HealthReport):
            self.node_health.merge_report(now, member, zone, item, age)
        elif age <= MAX_OUTCOME_AGE_S:
            self.load_reports.merge_report(now, member, item)

    def forget_member(self, member: str) -> None:
        """Drop the reports of a member that is dead or has left."""
        for hitters in self.heavy_hitters.values():
            hitters.forget_member(member)
        if self.node_health is not None:
            self.node_health.forget_member(member)

    # --- a round ---
    def due(self, now: float) -> bool:
        """Whether the next round is due."""
        return now >= self._round_at

    def run_round(
        self,
        now: float,
        up: Sequence[str],
        samples: Iterable[LoadSample],
        budgets: Mapping[str, Budget],
        send_nothing: bool,
    ) -> Round:
        """Run a round.  `up`: the other members; `samples`: own outcomes since the last round.

        `send_nothing`: no reports, while another process has this name; peers' reports still count.
        """
        self._round_at = now + ROUND_S * (0.8 + 0.4 * self._random.random())
        round_, worst = Round(), 0.0
        load: list[Item] = [
            SpareReport(name, spare)
            for name, budget in budgets.items()
            if (spare := budget.spare(now))
        ]
        health: list[HealthReport] = []
        if self.node_health is not None:
            health = self.node_health.reports_to_send(now)
            own_load = self.load_reports.reports_to_send(samples)
            load += own_load
            worst = max((*(s.bad for s in health), *(s.bad for s in own_load)), default=0.0)
            self._apply_reports(round_, now, self.node_health)
        hitters: list[Item] = []
        if now >= self._hitters_at:
            kinds = self.heavy_hitters.values()
            hitters += [kind.report(now) for kind in kinds if kind.own.counters]
        if (load or health or hitters) and not send_nothing:
            many = TROUBLE_FANOUT if worst >= URGENT_BADNESS else CALM_FANOUT
            to = self._random.sample(up, min(many, len(up)))
            self._build_reports(round_, now, to, load, health, hitters)
        return round_

    def _apply_reports(self, round_: Round, now: float, node_health: NodeHealth) -> None:
        """Update the round with the unhealthy nodes and outcomes that peers report."""
        round_.unhealthy = node_health.unhealthy_nodes(now)
        round_.newly_unhealthy = [node for node in round_.unhealthy if node not in self._unhealthy]
        round_.recovered = [node for node in self._unhealthy if node not in round_.unhealthy]
        self._unhealthy = round_.unhealthy
        isolated = node_health.isolated_members(now)
        round_.outcomes = self.load_reports.end_round(now, isolated, MAX_OUTCOME_AGE_S)

    def _build_reports(
        self,
        round_: Round,
        now: float,
        to: list[str],
        load: list[Item],
        health: list[HealthReport],
        hitters: list[Item],
    ) -> None:
        """Send each kind of report to as many of these members as its byte budget allows."""
        budget = self._budget
        urgent = [report for report in health if report.bad >= URGENT_BADNESS]
        if budget is None:
            round_.reports = [Report(load, to), Report([*health], to), Report(hitters, to)]
        else:
            budget.refill(now)
            if urgent and budget.health.affordable_copies(now, budget.size(health), True) < len(to):
                sound = [report for report in health if report.bad < URGENT_BADNESS]
                health = urgent + sound[: len(urgent)]
            round_.reports = [
                self._limit_report(budget, budget.load, now, to, load, True),
                self._limit_report(budget, budget.health, now, to, [*health], bool(urgent)),
                self._limit_report(budget, budget.hitters, now, to, hitters, True),
            ]
        if self.node_health is not None and round_.reports[1].to:
            self.node_health.mark_sent(health)
        if round_.reports[2].to:
            self._hitters_at = now + HITTERS_INTERVAL_S
        round_.to = max((report.to for report in round_.reports), key=len)

    @staticmethod
    def _limit_report(
        budget: ReportBudget,
        bucket: ByteBucket,
        now: float,
        to: list[str],
        items: list[Item],
        urgent: bool,
    ) -> Report:
        copies = bucket.take(now, budget.size(items), len(to), urgent) if items else 0
        return Report(items, to[:copies])
