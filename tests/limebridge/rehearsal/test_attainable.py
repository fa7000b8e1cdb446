"""The attainable worth compared with brute force, and the share of it that a run earns.

The attainable worth of a run is what a policy could have earned that knew all of it in advance.
"""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limebridge.rehearsal.attainable import (
    BIN_S,
    Capacity,
    attainable_worth,
    attained_share,
    fault_span,
)
from limebridge.rehearsal.engine import run_scenario
from limebridge.rehearsal.scenario import load
from limebridge.rehearsal.score import RequestRecord


def make_request(
    arrival_bin: int,
    worth: float,
    target_bins: int,
    useful_bins: int,
    late_share: float = 0.5,
    must_fetch: bool = False,
) -> RequestRecord:
    """A request with one second of work that arrives just before the end of a bin.

    From then on, its target time and its useful time last a whole number of bins.
    """
    return RequestRecord(
        (arrival_bin + 0.999) * BIN_S,
        f"{worth} {target_bins} {useful_bins}",
        "t",
        "s",
        worth,
        target_bins * BIN_S,
        late_share,
        work=1.0,
        useful_s=useful_bins * BIN_S,
        must_fetch=must_fetch,
    )


def brute_force(requests: list[RequestRecord], bins: list[Capacity]) -> float:
    """The largest worth over all assignments of each undivided request to a bin, or to none."""
    best = 0.0
    for assignment in itertools.product(
        *([None, *range(int(a.at / BIN_S), int((a.at + a.useful_s) / BIN_S) + 1)] for a in requests)
    ):
        used = [0.0] * len(bins)
        fetched = [0.0] * len(bins)
        total = 0.0
        for request, bin_ in zip(requests, assignment, strict=True):
            if bin_ is None or bin_ >= len(bins):
                continue
            used[bin_] += 1.0
            fetched[bin_] += request.must_fetch
            on_time = bin_ <= int(int(request.at / BIN_S) + 1 + request.target_s / BIN_S)
            total += request.worth * (1.0 if on_time else request.late_share)
        if all(u <= r.work and f <= r.fetches for u, f, r in zip(used, fetched, bins, strict=True)):
            best = max(best, total)
    return best


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from([2.0, 5.0]),
            st.integers(0, 2),
            st.integers(0, 2),
            st.booleans(),
        ),
        min_size=1,
        max_size=5,
    ),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 1)), min_size=4, max_size=4),
)
def test_bound_holds_and_is_reached(
    drawn_requests: list[tuple[int, float, int, int, bool]], drawn_bins: list[tuple[int, int]]
) -> None:
    requests = [
        make_request(
            p, worth, target_bins, max(target_bins + 1, useful_bins), must_fetch=must_fetch
        )
        for p, worth, target_bins, useful_bins, must_fetch in drawn_requests
    ]
    bins = [Capacity(float(work), float(fetches)) for work, fetches in drawn_bins] + [
        Capacity(0.0, 0.0)
    ] * 3
    bound = sum(attainable_worth(requests, bins, 4))
    best = brute_force(requests, bins)
    assert bound >= best - 1e-4
    # Without fetches the vertices of the linear program are integral, so the bound is reached.
    if not any(request.must_fetch for request in requests):
        assert bound <= best + 1e-9


def test_more_valuable_requests_come_first_and_late_work_earns_a_share() -> None:
    requests = [make_request(0, 2.0, 0, 3), make_request(0, 5.0, 0, 3), make_request(0, 2.0, 0, 3)]
    bins = [
        Capacity(1.0, 9.0),
        Capacity(0.0, 9.0),
        Capacity(1.0, 9.0),
        Capacity(0.0, 9.0),
    ]
    assert sum(attainable_worth(requests, bins, 1)) == pytest.approx(5.0 + 1.0, abs=1e-4)
    bins[0].work = 3.0
    assert sum(attainable_worth(requests, bins, 1)) == 9.0
    assert attainable_worth([], bins, 2) == [0.0, 0.0]


def test_read_of_an_uncached_key_waits_for_the_database() -> None:
    bins = [
        Capacity(9.0, 0.0),
        Capacity(9.0, 0.0),
        Capacity(9.0, 1.0),
        Capacity(9.0, 0.0),
    ]
    requests = [
        make_request(0, 2.0, 0, 2, must_fetch=True),
        make_request(0, 2.0, 0, 2, must_fetch=True),
        make_request(0, 2.0, 0, 2),
    ]
    assert sum(attainable_worth(requests, bins, 1)) == pytest.approx(2.0 + 1.0, abs=1e-4)


def test_fault_span_covers_events_and_overload() -> None:
    bins = [Capacity(1.0, 9.0)] * 40
    assert fault_span([], [3.0, 3.9, 4.0], bins) is None
    assert fault_span([], [3.0, 4.1, 4.2, 1.0], bins) == (1.0, 3.0)
    assert fault_span([(5.0, 7.5)], [3.0, 4.1], bins) == (1.0, 7.5)


def test_recovery_must_last_and_swing_is_the_mean_change_per_second() -> None:
    attainable = [10.0] * 20
    earned = [10.0] * 4 + [2.0] * 4 + [10.0, 5.0] + [9.6] * 10
    share = attained_share([(10.0, e) for e in earned], attainable, (4.0, 8.0))
    assert share.trouble == pytest.approx(0.2) and share.back == 2.0
    assert share.swing == pytest.approx((0.8 + 0.5 + 0.46) / 15)
    unrecovered = attained_share(
        [(10.0, e) for e in [10.0] * 4 + [9.4] * 16], attainable, (4.0, 8.0)
    )
    assert unrecovered.back is None
    without_fault = attained_share([(10.0, 10.0)] * 20, attainable, None)
    assert (without_fault.whole, without_fault.back, without_fault.swing) == (1.0, 0.0, 0.0)


SMALL = """[run]
seconds = 10.0
[load]
curve = [{at = 0.0, rate = 60.0}, {at = 4.0, rate = 60.0}, {at = 4.1, rate = 400.0}]
[[event]]
at = 4.0
kind = "KIND"
lasts = 3.0
share = 0.5
site = "a"
"""


@pytest.mark.parametrize("kind", ["stalls", "slow", "site_lost", "database_stops"])
def test_run_earns_no_more_than_the_bound(tmp_path: Path, kind: str) -> None:
    path = tmp_path / "small.toml"
    path.write_text(SMALL.replace("KIND", kind))
    result = run_scenario(load(str(path)))
    assert result.share is not None and not result.violations
    earned = sum(pair[1] for pair in result.score.seconds)
    # The service times are drawn at random and may be below the mean, hence the 1%.
    assert earned <= sum(result.share.attainable) * 1.01
    assert result.share.trouble < 0.95 and sum(result.share.attainable) < sum(
        pair[0] for pair in result.score.seconds
    )


def test_bound_is_lower_while_the_database_is_stopped(tmp_path: Path) -> None:
    path = tmp_path / "small.toml"
    path.write_text(
        SMALL.replace("KIND", "database_stops").replace("400.0", "60.0") + "[keys]\nonce = 0.5\n"
    )
    share = run_scenario(load(str(path))).share
    assert share is not None
    assert share.attainable[5] < 0.8 * share.attainable[2]
