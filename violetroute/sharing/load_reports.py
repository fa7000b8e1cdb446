"""What came of other proxies' requests, for a limit that one alone sees too little to set.  Pure.

Each member tells now and then what came of its own requests since it told last: how many, how many
of them to nothing, what they took, by whether a cache likely had the key.  No member counts for
more than MEMBER_WEIGHT_MOST times the median one, and those that are taken for cut off are left
out.  So what one in ten says wrongly moves the mean badness by 0.1 * W / (0.9 + 0.1 * W) at most,
with W = MEMBER_WEIGHT_MOST 0.18: less than the limit's rest at a quarter and what is shed beyond.

What comes out are a few outcomes that are the mean of what was heard in a round; the module takes
them as it takes its own, beside its own, and its limit stays one of its own requests.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from statistics import median

from snowstall.messages import LoadSample

from .wire import LoadReport

MAX_RELATIVE_WEIGHT = 2.0  # times the median member's count
MIN_MEMBERS = 3  # members that have to be heard in a round
REPORTED_PER_OUTCOME = 4.0  # outcomes heard that make one of those that the module takes
MAX_OUTCOMES = 8  # that it takes in a round: its own must not drown
MAX_MEMBERS = 256  # heard in one round


class LoadReports:
    """One proxy's: its own since it told last, and the others' in this round."""

    def __init__(self) -> None:
        self._heard: dict[tuple[str, bool], tuple[LoadReport, float]] = {}

    @staticmethod
    def reports_to_send(judged: Iterable[LoadSample]) -> list[LoadReport]:
        """Sums of what was judged since the last time."""
        sums: dict[bool, list[float]] = {}
        for kept, badness, took, aim, queued in judged:
            here = sums.setdefault(kept, [0.0] * 5)
            for place, value in enumerate((1.0, badness, took, aim, float(queued))):
                here[place] += value
        return [
            LoadReport(kept, *(round(min(value, 1e6), 3) for value in here))
            for kept, here in sums.items()
        ]

    def merge_report(self, now: float, member: str, report: LoadReport) -> None:
        """The latest of a member in a round counts."""
        if (
            report.bad <= report.count
            and report.queued <= report.count
            and report.aim > 0.0
            and report.count >= 1.0
            and len(self._heard) < MAX_MEMBERS
        ):
            self._heard[member, report.kept] = report, now

    def end_round(self, now: float, isolated: Collection[str], age: float) -> list[LoadSample]:
        """What the module takes of this round; the next begins.

        What was heard before a stop of this process, more than `age` s ago, is of another hour.
        """
        heard, self._heard = self._heard, {}
        found: list[LoadSample] = []
        for kept in (True, False):
            reports = [
                report
                for (member, which), (report, at) in heard.items()
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
            one = kept, bad / count, took / count, aim / count, queued > count / 2.0
            found += [one] * min(MAX_OUTCOMES, round(count / REPORTED_PER_OUTCOME))
        return found
