"""What came of a rehearsal, and why it does not pass."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from limebridge.rules import Violation

from .attainable import Share
from .loss_attribution import Cost
from .scenario import Scenario
from .score import Asked, Score


@dataclass
class Result:
    """What came of a run."""

    scenario: Scenario
    seed: int
    score: Score
    broken: list[Violation]
    database: list[int]  # fetches by second
    nodes: dict[str, list[float]]  # seconds of work by second, over its slots
    crossed: int  # commands that went to another site than their proxy's
    commands: int
    events: list[tuple[float, str]] = field(default_factory=list)
    slots: dict[str, int] = field(default_factory=dict)  # by node
    late_ms: float = 0.0  # of the kit itself, in real time: the latest hundredth
    void: bool = False  # it was too late itself to judge
    partial: bool = False  # ended before its time
    unserved: list[Asked] = field(default_factory=list)  # of the worst ten seconds, the dearest
    share: Share | None = None  # earned over attainable
    costs: list[Cost] = field(default_factory=list)  # by second, what lost most
    blame: dict[str, float] = field(default_factory=dict)  # share of what was asked

    @property
    def failed(self) -> list[str]:
        """Why it does not pass, in words."""
        if self.void:
            return [f"void: the kit itself was {self.late_ms:.0f} ms late"]
        if self.partial:
            return ["partial: stopped before its end"]
        bar, found = self.scenario.bar, self.score
        told = [
            f"{name} {value:.3f}, wanted {least:g}"
            for name, value, least in (
                ("service", found.service, bar.service),
                ("worst ten seconds", found.worst, bar.worst),
                ("worst class", found.worst_class, bar.worst_class),
            )
            if value < least
        ]
        told += self._missed()
        rules = Counter(each.rule for each in self.broken if each.rule)
        told += [each.message for each in self.broken if not each.rule][:3]
        names = {
            1: "no request lost",
            2: "no effect twice",
            3: "drains kept",
            4: "cold nodes not pushed over",
        }
        told += [
            f"rule broken: {names[rule]}, {count} times" for rule, count in sorted(rules.items())
        ]
        ceiling = self.scenario.database.ceiling
        if ceiling and max(self.database, default=0) > ceiling:
            told.append(f"customer database {max(self.database)}/s, ceiling {ceiling:g}")
        return told

    def _missed(self) -> list[str]:
        """What of the attainable was not had."""
        bar, share = self.scenario.bar, self.share
        if share is None:
            return []
        told = [
            f"{name} {value:.3f} of what was attainable, wanted {least:g}"
            for name, value, least in (
                ("whole run", share.whole, bar.attainable),
                ("in the trouble", share.trouble, bar.trouble),
                ("after it", share.after, bar.after),
            )
            if value < least
        ]
        if bar.swing and share.swing > bar.swing:
            told.append(f"swing {share.swing:.3f} from second to second, at most {bar.swing:g}")
        if bar.back and (share.back is None or share.back > bar.back):
            when = "not within the run" if share.back is None else f"after {share.back:.0f} s"
            told.append(f"back {when}, wanted within {bar.back:g} s")
        return told
