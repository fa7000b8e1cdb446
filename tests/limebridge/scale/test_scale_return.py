"""A region that returns: nothing is lost, and each proxy and machine is sent a bounded rate."""

from __future__ import annotations

import pytest

from limebridge.scale.region_return import RegionReturn
from limebridge.scale.target import load_target

TARGET = load_target()


def test_a_short_absence_is_caught_up_record_by_record_at_the_rate() -> None:
    report = RegionReturn(10, 10.0, TARGET.purges_per_s, 1).run()
    assert (report.lost, report.out_of_order, report.voided) == (0, 0, 0)
    assert report.applied_late == 10 and report.purges_missed >= 690
    assert report.proxy_bytes_per_s <= TARGET.control_bytes_per_s
    assert report.live_bytes_per_s < report.proxy_bytes_per_s


@pytest.mark.parametrize("seed", [1, 2])
def test_a_long_absence_is_voided_and_live_records_go_on_at_once(seed: int) -> None:
    report = RegionReturn(10, 120.0, TARGET.purges_per_s, seed).run()
    assert (report.lost, report.out_of_order, report.applied_late) == (0, 0, 0)
    assert report.voided == 10 and report.caught_up_s < 1.0
    assert report.proxy_bytes_per_s <= TARGET.control_bytes_per_s


def test_the_same_seed_gives_the_same_report() -> None:
    first, second = (RegionReturn(5, 20.0, 71.0, 3).run() for _ in range(2))
    assert first == second
