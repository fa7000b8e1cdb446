"""The return of a cut-off region: no record is lost, and the rate of bytes sent is bounded."""

from __future__ import annotations

import pytest

from limebridge.scale.region_return import RegionReturn
from limebridge.scale.target import load_target

TARGET = load_target()


def test_after_a_short_cut_missed_records_are_applied_at_a_bounded_rate() -> None:
    report = RegionReturn(10, 10.0, TARGET.purges_per_s, 1).run()
    assert (report.lost, report.out_of_order, report.voided) == (0, 0, 0)
    assert report.applied_late == 10 and report.purges_missed >= 690
    assert report.proxy_bytes_per_s <= TARGET.control_bytes_per_s
    assert report.live_bytes_per_s < report.proxy_bytes_per_s


@pytest.mark.parametrize("seed", [1, 2])
def test_after_a_long_cut_all_objects_are_invalidated_at_once(seed: int) -> None:
    report = RegionReturn(10, 120.0, TARGET.purges_per_s, seed).run()
    assert (report.lost, report.out_of_order, report.applied_late) == (0, 0, 0)
    assert report.voided == 10 and report.caught_up_s < 1.0
    assert report.proxy_bytes_per_s <= TARGET.control_bytes_per_s


def test_the_same_seed_gives_the_same_report() -> None:
    first, second = (RegionReturn(5, 20.0, 71.0, 3).run() for _ in range(2))
    assert first == second
