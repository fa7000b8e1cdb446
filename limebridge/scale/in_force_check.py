"""Computes the delays of publications, and checks the leader's reports against the proxies."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence

import numpy as np
from numpy.typing import NDArray

from .applied import NEVER, STALE_SAMPLE_INTERVAL_S, Applied
from .delay_names import (
    APPLIED_AT_A_PROXY,
    APPLIED_AT_EVERY_PROXY,
    COMMITTED,
    IN_FORCE,
    TOPIC_NAMES,
    delay_name,
)
from .run_load import Publication, StatusSample
from .run_report import EarlyReport, InForceCheck, Percentiles, delay_percentiles

MAX_EXAMPLES = 5  # early reports that are listed in the result
MAX_PAIRS = 5_000_000  # approximate upper bound of the (proxy, record) pairs in a percentile


class PublicationDelays:
    """The delays of the committed publications, and the check of the leader's reports.

    All times are CLOCK_MONOTONIC of one machine.
    """

    def __init__(
        self,
        publications: Sequence[Publication],
        status_samples: Sequence[StatusSample],
        proxies: Sequence[Applied],
    ) -> None:
        self._committed = [each for each in publications if each.committed]
        self._proxies = proxies
        self._positions = sorted({each.position for each in self._committed})
        self._times = applied_times_matrix(proxies, self._positions)
        self._column = {position: index for index, position in enumerate(self._positions)}
        self._reported_at = reported_times(status_samples, self._positions)

    def delays(self) -> dict[str, Percentiles]:
        """The delays in seconds by name, of each topic with committed publications.

        A position that was never applied or reported has no delay here; `check` counts it.
        """
        everywhere = self._applied_everywhere()
        delays = dict[str, Percentiles]()
        for topic in TOPIC_NAMES:
            records = [each for each in self._committed if each.topic == topic]
            if not records:
                continue
            committed = (each.answered_at - each.published_at for each in records)
            delays[delay_name(topic, COMMITTED)] = delay_percentiles(committed)
            delays[delay_name(topic, APPLIED_AT_A_PROXY)] = self._delays_per_proxy(records)
            delays[delay_name(topic, APPLIED_AT_EVERY_PROXY)] = self._delays_until(
                records, everywhere
            )
            delays[delay_name(topic, IN_FORCE)] = self._delays_until(records, self._reported_at)
        return delays

    def _applied_everywhere(self) -> list[float]:
        if not len(self._times):
            return [NEVER] * len(self._positions)
        return [float(at) for at in self._times.max(axis=0)]

    def _delays_until(self, records: Sequence[Publication], times: Sequence[float]) -> Percentiles:
        done = ((each, times[self._column[each.position]]) for each in records)
        return delay_percentiles(at - each.published_at for each, at in done if at < NEVER)

    def _delays_per_proxy(self, publications: Sequence[Publication]) -> Percentiles:
        """Delays over all pairs of proxy and record.

        Above MAX_PAIRS pairs only every n-th record is used, to bound memory and time.
        """
        step = 1 + len(publications) * len(self._proxies) // MAX_PAIRS
        records = publications[::step]
        columns = [self._column[each.position] for each in records]
        published = np.asarray([each.published_at for each in records])
        delays = (self._times[:, columns] - published).ravel()
        return array_percentiles(delays[np.isfinite(delays)])

    def check(self) -> InForceCheck:
        """Compare the time at which each position was reported in force with the proxies' times."""
        reported = ((column, at) for column, at in enumerate(self._reported_at) if at < NEVER)
        too_early = [
            early
            for column, at in reported
            if (early := self._find_early_report(column, at)) is not None
        ]
        everywhere = self._applied_everywhere()
        return InForceCheck(
            positions=len(self._positions),
            never_reported=sum(at == NEVER for at in self._reported_at),
            never_applied=sum(at == NEVER for at in everywhere),
            early=len(too_early),
            worst_early_s=max((each.seconds or 0.0 for each in too_early), default=0.0),
            examples=tuple(too_early[:MAX_EXAMPLES]),
        )

    def _find_early_report(self, column: int, reported_at: float) -> EarlyReport | None:
        """Check the report of one position, which was made at `reported_at`.

        A proxy is late if it had not applied the position then and was not stale.  The result names
        the last of them to apply it; None if no proxy is late.
        """
        late = np.flatnonzero(self._times[:, column] > reported_at)
        rows = [int(row) for row in late if not was_stale(self._proxies[int(row)], reported_at)]
        if not rows:
            return None
        last = max(rows, key=lambda row: float(self._times[row, column]))
        applied_at = float(self._times[last, column])
        seconds = None if applied_at == NEVER else applied_at - reported_at
        proxy = self._proxies[last].name
        return EarlyReport(self._positions[column], proxy, len(rows), seconds)


def reported_times(status_samples: Sequence[StatusSample], positions: Sequence[int]) -> list[float]:
    """When each position was first reported in force; NEVER if it was not."""
    highest, reported = 0, list[int]()
    for sample in status_samples:
        highest = max(highest, sample.in_force)
        reported.append(highest)
    indexes = (bisect_left(reported, position) for position in positions)
    return [status_samples[index].at if index < len(status_samples) else NEVER for index in indexes]


def was_stale(proxy: Applied, at: float) -> bool:
    """Whether a proxy knew at `at` that it was stale.

    Periods are extended by STALE_SAMPLE_INTERVAL_S on both sides: they are known to that accuracy.
    """
    return any(
        start - STALE_SAMPLE_INTERVAL_S <= at <= end + STALE_SAMPLE_INTERVAL_S
        for start, end in proxy.stale
    )


def array_percentiles(values: NDArray[np.float64]) -> Percentiles:
    """The exact percentiles of `values`, by the nearest-rank method."""
    if not len(values):
        return Percentiles(0, 0.0, 0.0, 0.0, 0.0)
    p50, p99 = np.percentile(values, [50.0, 99.0], method="inverted_cdf")
    return Percentiles(
        len(values), float(values.mean()), float(p50), float(p99), float(values.max())
    )


def applied_times(applied: Applied, positions: NDArray[np.int64]) -> NDArray[np.float64]:
    """When a proxy had applied each of the positions; infinite for those it has not applied."""
    times = np.frombuffer(applied.times, dtype=np.float64)
    times_found = np.full(len(positions), np.inf)
    if len(times):
        index = np.maximum(positions - applied.first, 0)
        known = index < len(times)
        times_found[known] = times[index[known]]
    return times_found


def applied_times_matrix(
    proxies: Iterable[Applied], positions: Sequence[int]
) -> NDArray[np.float64]:
    """The times of `applied_times` as a matrix: one row per proxy, one column per position."""
    wanted = np.asarray(positions, dtype=np.int64)
    rows = [applied_times(applied, wanted) for applied in proxies]
    return np.vstack(rows) if rows else np.empty((0, len(wanted)))
