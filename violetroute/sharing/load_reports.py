"""Outcomes of peers' requests, for a limit that one proxy sees too few requests to set.  Pure.

Each member reports sums over its own requests since its last report: how many, their badness, their
latency and target, and how many were queued, by whether a cache likely had the key.  No member
counts for more than MAX_RELATIVE_WEIGHT times the median one, and isolated members are left out.
So if one report in ten is false, the mean badness moves by at most 0.1 * W / (0.9 + 0.1 * W) with
W = MAX_RELATIVE_WEIGHT, which is 0.18.  That is less than a quarter, the congestion at which the
limit neither grows nor shrinks; it shrinks only beyond that.

The result is a few outcomes equal to the mean of a round's reports.  The balancer takes them beside
its own outcomes, and its limit stays one of its own requests.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from statistics import median

from snowstall.messages import LoadSample

from .wire import LoadReport

MAX_RELATIVE_WEIGHT = 2.0  # max weight of a member, as a multiple of the median member's count
MIN_MEMBERS = 3  # members that must report in a round
REPORTED_PER_OUTCOME = 4.0  # reported outcomes that yield one for the balancer
MAX_OUTCOMES = 8  # outcomes passed on per round; more would outweigh the balancer's own
MAX_MEMBERS = 256  # reports kept in one round


class LoadReports:
    """Builds the load reports of one proxy, and collects those of its peers in a round."""

    def __init__(self) -> None:
        self._received: dict[tuple[str, bool], tuple[LoadReport, float]] = {}

    @staticmethod
    def reports_to_send(samples: Iterable[LoadSample]) -> list[LoadReport]:
        """Sums over own outcomes since the last report, by whether a cache likely had the key."""
        sums: dict[bool, list[float]] = {}
        for kept, badness, took, aim, queued in samples:
            totals = sums.setdefault(kept, [0.0] * 5)
            for index, value in enumerate((1.0, badness, took, aim, float(queued))):
                totals[index] += value
        return [
            LoadReport(kept, *(round(min(value, 1e6), 3) for value in totals))
            for kept, totals in sums.items()
        ]

    def merge_report(self, now: float, member: str, report: LoadReport) -> None:
        """Keep a peer's latest report of this round, unless its sums contradict each other."""
        if (
            report.bad <= report.count
            and report.queued <= report.count
            and report.aim > 0.0
            and report.count >= 1.0
            and len(self._received) < MAX_MEMBERS
        ):
            self._received[member, report.kept] = report, now

    def end_round(self, now: float, isolated: Collection[str], age: float) -> list[LoadSample]:
        """Outcomes for the balancer from the reports of this round; starts the next one.

        Reports received more than `age` s ago are outdated: this process was stopped meanwhile.
        """
        received, self._received = self._received, {}
        found: list[LoadSample] = []
        for kept in (True, False):
            reports = [
                report
                for (member, which), (report, at) in received.items()
                if which is kept and member not in isolated and now - at <= age
            ]
            if len(reports) < MIN_MEMBERS:
                continue
            most = MAX_RELATIVE_WEIGHT * median(report.count for report in reports)
            shares = [min(1.0, most / report.count) for report in reports]
            count, bad, took, aim, queued = (
                sum(
                    share * getattr(report, name)
                    for share, report in zip(shares, reports, strict=True)
                )
                for name in ("count", "bad", "took", "aim", "queued")
            )
            mean = kept, bad / count, took / count, aim / count, queued > count / 2.0
            found += [mean] * min(MAX_OUTCOMES, round(count / REPORTED_PER_OUTCOME))
        return found
