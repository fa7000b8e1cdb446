"""Since when what is read may have stood: each way to be older than the turn that reads it."""

from __future__ import annotations

import pytest

from violetroute.clients.standing import REOPENS, Standing

BUFFER = 64 * 1024


def read(
    standing: Standing,
    turn: int,
    now: float,
    count: int = 100,
    emptied: bool = True,
    lost: float = 0.0,
) -> float:
    """What the command read then may have stood, in s."""
    standing.reads(turn, now, lost)
    age = standing.waited(now)
    if standing.marked:
        standing.has_read(count, now, emptied, BUFFER)
    return age


def test_what_comes_in_its_turn_has_not_stood() -> None:
    standing = Standing()
    standing.accepted(4, 9.99)
    assert read(standing, 6, 10.5) == 0.0
    assert read(standing, 7, 10.6) == 0.0


def test_what_came_before_the_accept_has_stood_since() -> None:
    standing = Standing()
    standing.accepted(4, 9.0)
    assert read(standing, 5, 10.0) == 1.0
    assert read(standing, 6, 10.0) == 0.0  # the first read left nothing


def test_a_pause_marks_all_that_is_read_until_nothing_is_left() -> None:
    standing = Standing()
    assert read(standing, 5, 10.0, 16_384, emptied=False, lost=0.8) == pytest.approx(0.8)
    assert read(standing, 6, 10.01, 300) == pytest.approx(0.81)


def test_behind_a_window_that_was_closed_more_is_to_come_from_then() -> None:
    # Found by exploration: a read that left nothing passed for the last of the pause, though the
    # sender's kernel had kept the rest for want of a window.
    standing = Standing()
    read(standing, 5, 10.0, BUFFER // 4, lost=0.8)
    assert read(standing, 6, 10.01) == pytest.approx(0.81)
    assert read(standing, 7, 10.0 + REOPENS) == 0.0


def test_two_pauses_count_from_the_first_while_not_all_is_read() -> None:
    standing = Standing()
    read(standing, 5, 10.0, 16_384, emptied=False, lost=0.8)
    assert read(standing, 6, 10.5, lost=0.4) == pytest.approx(1.3)
    assert read(standing, 7, 10.6) == 0.0
    assert read(standing, 8, 11.0, lost=0.3) == pytest.approx(0.3)


def test_what_is_not_read_for_want_of_room_stands_since_then() -> None:
    standing = Standing()
    read(standing, 5, 10.0)
    standing.stops_reading(10.2)
    assert read(standing, 9, 10.9) == pytest.approx(0.7)
    assert read(standing, 10, 10.9) == 0.0


def test_who_sends_more_than_is_read_is_not_old_for_good() -> None:
    standing = Standing()
    read(standing, 5, 10.0, lost=0.5, count=BUFFER, emptied=False)
    standing.stops_reading(10.05)
    now = 10.05
    for turn in range(6, 60):  # each time it stops again, and something is always left
        now += 0.02
        age = read(standing, turn, now, 16_384, emptied=False)
        standing.stops_reading(now)
    assert age <= 3 * REOPENS


def test_a_command_that_waits_here_behind_others_ages_too() -> None:
    standing = Standing()
    read(standing, 5, 10.0)
    assert standing.waited(10.3) == pytest.approx(0.3)
