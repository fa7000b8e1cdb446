"""The result of a rehearsal, and the reasons why it does not pass."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from limebridge.rules import Violation

from .attainable import AttainedShare
from .loss_attribution import SecondLoss
from .scenario import Scenario
from .score import RequestRecord, Score


@dataclass
class Result:
    """The result of one run."""

    scenario: Scenario
    seed: int
    score: Score
    violations: list[Violation]
    database: list[int]  # fetches by second
    nodes: dict[str, list[float]]  # busy slot seconds of each second, by node
    cross_site_commands: int  # commands sent to a node at another site than the proxy's
    commands: int
    events: list[tuple[float, str]] = field(default_factory=list)  # time (s) and kind
    slots: dict[str, int] = field(default_factory=dict)  # slots by node
    late_ms: float = 0.0  # real time only: 99th percentile of the lateness of the kit itself
    void: bool = False  # the kit was too late for the result to say anything about the daemon
    partial: bool = False  # interrupted before its end
    # requests of the worst ten seconds that earned less than their worth, largest loss first
    unserved: list[RequestRecord] = field(default_factory=list)
    share: AttainedShare | None = None  # earned divided by attainable worth
    costs: list[SecondLoss] = field(default_factory=list)  # the seconds with a loss
    blame: dict[str, float] = field(default_factory=dict)  # by cause: share of the requested worth

    @property
    def failed(self) -> list[str]:
        """The reasons why the run does not pass, one line each; empty if it passes."""
        if self.void:
            return [f"void: the kit itself was {self.late_ms:.0f} ms late"]
        if self.partial:
            return ["partial: stopped before its end"]
        bar, score = self.scenario.bar, self.score
        reasons = [
            f"{name} {value:.3f}, wanted {minimum:g}"
            for name, value, minimum in (
                ("service", score.service, bar.service),
                ("worst ten seconds", score.worst, bar.worst),
                ("worst class", score.worst_class, bar.worst_class),
            )
            if value < minimum
        ]
        reasons += self._attainable_reasons()
        rules = Counter(violation.rule for violation in self.violations if violation.rule)
        reasons += [violation.message for violation in self.violations if not violation.rule][:3]
        names = {
            1: "no request lost",
            2: "no effect twice",
            3: "drains kept",
            4: "cold nodes not pushed over",
        }
        reasons += [
            f"rule broken: {names[rule]}, {count} times" for rule, count in sorted(rules.items())
        ]
        ceiling = self.scenario.database.ceiling
        if ceiling and max(self.database, default=0) > ceiling:
            reasons.append(f"customer database {max(self.database)}/s, ceiling {ceiling:g}")
        return reasons

    def _attainable_reasons(self) -> list[str]:
        """The reasons that concern the share of the attainable worth."""
        bar, share = self.scenario.bar, self.share
        if share is None:
            return []
        reasons = [
            f"{name} {value:.3f} of what was attainable, wanted {minimum:g}"
            for name, value, minimum in (
                ("whole run", share.whole, bar.attainable),
                ("in the trouble", share.trouble, bar.trouble),
                ("after it", share.after, bar.after),
            )
            if value < minimum
        ]
        if bar.swing and share.swing > bar.swing:
            reasons.append(f"swing {share.swing:.3f} from second to second, at most {bar.swing:g}")
        if bar.back and (share.back is None or share.back > bar.back):
            when = "not within the run" if share.back is None else f"after {share.back:.0f} s"
            reasons.append(f"back {when}, wanted within {bar.back:g} s")
        return reasons
