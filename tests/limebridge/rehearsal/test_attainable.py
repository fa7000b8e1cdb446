"""What could have been earned, against brute force; shares, return and swing of it."""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limebridge.rehearsal.attainable import STEP, Room, attainable, compare, troubles
from limebridge.rehearsal.engine import play
from limebridge.rehearsal.scenario import load
from limebridge.rehearsal.score import Asked


def want(
    place: int, worth: float, wait: int, life: int, late: float = 0.5, fresh: bool = False
) -> Asked:
    """One bin's work, asked at the end of a bin: its waits are then whole bins."""
    return Asked(
        (place + 0.999) * STEP,
        f"{worth} {wait} {life}",
        "t",
        "s",
        worth,
        wait * STEP,
        late,
        work=1.0,
        life=life * STEP,
        fresh=fresh,
    )


def brute(found: list[Asked], rooms: list[Room]) -> float:
    """The best of all ways to put each request whole into a bin, or into none."""
    best = 0.0
    for ways in itertools.product(
        *([None, *range(int(a.at / STEP), int((a.at + a.life) / STEP) + 1)] for a in found)
    ):
        used = [0.0] * len(rooms)
        fetched = [0.0] * len(rooms)
        total = 0.0
        for each, place in zip(found, ways, strict=True):
            if place is None or place >= len(rooms):
                continue
            used[place] += 1.0
            fetched[place] += each.fresh
            in_time = place <= int(int(each.at / STEP) + 1 + each.aim / STEP)
            total += each.worth * (1.0 if in_time else each.late)
        if all(
            u <= r.work and f <= r.fetches for u, f, r in zip(used, fetched, rooms, strict=True)
        ):
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
def test_nobody_can_earn_more_and_the_bound_is_reached(
    wants: list[tuple[int, float, int, int, bool]], rooms: list[tuple[int, int]]
) -> None:
    found = [
        want(p, worth, wait, max(wait + 1, life), fresh=fresh)
        for p, worth, wait, life, fresh in wants
    ]
    there = [Room(float(work), float(fetches)) for work, fetches in rooms] + [Room(0.0, 0.0)] * 3
    got = sum(attainable(found, there, 4))
    best = brute(found, there)
    assert got >= best - 1e-4
    if not any(each.fresh for each in found):  # then the programme's corners are whole numbers
        assert got <= best + 1e-9


def test_the_dearest_come_first_and_what_is_late_has_its_part() -> None:
    found = [want(0, 2.0, 0, 3), want(0, 5.0, 0, 3), want(0, 2.0, 0, 3)]
    rooms = [Room(1.0, 9.0), Room(0.0, 9.0), Room(1.0, 9.0), Room(0.0, 9.0)]
    assert sum(attainable(found, rooms, 1)) == pytest.approx(5.0 + 1.0, abs=1e-4)
    rooms[0].work = 3.0
    assert sum(attainable(found, rooms, 1)) == 9.0
    assert attainable([], rooms, 2) == [0.0, 0.0]


def test_a_read_that_nobody_kept_waits_for_the_database() -> None:
    rooms = [Room(9.0, 0.0), Room(9.0, 0.0), Room(9.0, 1.0), Room(9.0, 0.0)]
    found = [want(0, 2.0, 0, 2, fresh=True), want(0, 2.0, 0, 2, fresh=True), want(0, 2.0, 0, 2)]
    assert sum(attainable(found, rooms, 1)) == pytest.approx(2.0 + 1.0, abs=1e-4)


def test_trouble_is_what_happened_or_more_work_than_there_is_room() -> None:
    rooms = [Room(1.0, 9.0)] * 40
    assert troubles([], [3.0, 3.9, 4.0], rooms) is None
    assert troubles([], [3.0, 4.1, 4.2, 1.0], rooms) == (1.0, 3.0)
    assert troubles([(5.0, 7.5)], [3.0, 4.1], rooms) == (1.0, 7.5)


def test_back_is_held_and_swing_is_from_second_to_second() -> None:
    could = [10.0] * 20
    earned = [10.0] * 4 + [2.0] * 4 + [10.0, 5.0] + [9.6] * 10
    share = compare([(10.0, e) for e in earned], could, (4.0, 8.0))
    assert share.trouble == pytest.approx(0.2) and share.back == 2.0
    assert share.swing == pytest.approx((0.8 + 0.5 + 0.46) / 15)
    never = compare([(10.0, e) for e in [10.0] * 4 + [9.4] * 16], could, (4.0, 8.0))
    assert never.back is None
    calm = compare([(10.0, 10.0)] * 20, could, None)
    assert (calm.whole, calm.back, calm.swing) == (1.0, 0.0, 0.0)


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
def test_no_build_earns_more(tmp_path: Path, kind: str) -> None:
    path = tmp_path / "small.toml"
    path.write_text(SMALL.replace("KIND", kind))
    result = play(load(str(path)))
    assert result.share is not None and not result.broken
    earned = sum(pair[1] for pair in result.score.seconds)
    assert earned <= sum(result.share.attainable) * 1.01  # the luck of drawn work
    assert result.share.trouble < 0.95 and sum(result.share.attainable) < sum(
        pair[0] for pair in result.score.seconds
    )


def test_what_the_database_gives_is_measured_while_it_stands_still(tmp_path: Path) -> None:
    path = tmp_path / "small.toml"
    path.write_text(
        SMALL.replace("KIND", "database_stops").replace("400.0", "60.0") + "[keys]\nonce = 0.5\n"
    )
    share = play(load(str(path))).share
    assert share is not None
    assert share.attainable[5] < 0.8 * share.attainable[2]
