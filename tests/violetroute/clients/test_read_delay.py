"""The estimated read delay: each cause for data to be older than the turn that reads it."""

from __future__ import annotations

import pytest

from violetroute.clients.read_delay import WINDOW_REOPEN_TIME, ReadDelay

BUFFER = 64 * 1024


def read(
    read_delay: ReadDelay,
    turn: int,
    now: float,
    count: int = 100,
    emptied: bool = True,
    paused_for: float = 0.0,
) -> float:
    """The estimated delay of the command that is read, in seconds."""
    read_delay.begin_read(turn, now, paused_for)
    age = read_delay.delay(now)
    if read_delay.marked:
        read_delay.end_read(count, now, emptied, BUFFER)
    return age


def test_data_read_in_its_turn_has_no_delay() -> None:
    read_delay = ReadDelay()
    read_delay.accepted(4, 9.99)
    assert read(read_delay, 6, 10.5) == 0.0
    assert read(read_delay, 7, 10.6) == 0.0


def test_data_from_before_the_accept_counts_from_then() -> None:
    read_delay = ReadDelay()
    read_delay.accepted(4, 9.0)
    assert read(read_delay, 5, 10.0) == 1.0
    assert read(read_delay, 6, 10.0) == 0.0  # the first read emptied the buffer


def test_all_data_until_the_buffer_is_empty_is_delayed_by_the_pause() -> None:
    read_delay = ReadDelay()
    assert read(read_delay, 5, 10.0, 16_384, emptied=False, paused_for=0.8) == pytest.approx(0.8)
    assert read(read_delay, 6, 10.01, 300) == pytest.approx(0.81)


def test_data_behind_a_closed_window_counts_from_the_pause() -> None:
    # Guards against a fault found by exploration: a read that emptied the buffer was taken for the
    # last data of the pause, although the sender's kernel held the rest behind a closed window.
    read_delay = ReadDelay()
    read(read_delay, 5, 10.0, BUFFER // 4, paused_for=0.8)
    assert read(read_delay, 6, 10.01) == pytest.approx(0.81)
    assert read(read_delay, 7, 10.0 + WINDOW_REOPEN_TIME) == 0.0


def test_two_pauses_count_from_the_first_while_not_all_is_read() -> None:
    read_delay = ReadDelay()
    read(read_delay, 5, 10.0, 16_384, emptied=False, paused_for=0.8)
    assert read(read_delay, 6, 10.5, paused_for=0.4) == pytest.approx(1.3)
    assert read(read_delay, 7, 10.6) == 0.0
    assert read(read_delay, 8, 11.0, paused_for=0.3) == pytest.approx(0.3)


def test_data_not_read_for_lack_of_budget_counts_from_then() -> None:
    read_delay = ReadDelay()
    read(read_delay, 5, 10.0)
    read_delay.pause_reading(10.2)
    assert read(read_delay, 9, 10.9) == pytest.approx(0.7)
    assert read(read_delay, 10, 10.9) == 0.0


def test_data_is_not_delayed_without_bound_if_a_client_sends_more_than_is_read() -> None:
    read_delay = ReadDelay()
    read(read_delay, 5, 10.0, paused_for=0.5, count=BUFFER, emptied=False)
    read_delay.pause_reading(10.05)
    now = 10.05
    for turn in range(6, 60):  # reading stops again each time, and some data is always left
        now += 0.02
        age = read(read_delay, turn, now, 16_384, emptied=False)
        read_delay.pause_reading(now)
    assert age <= 3 * WINDOW_REOPEN_TIME


def test_a_command_waiting_behind_others_gains_delay() -> None:
    read_delay = ReadDelay()
    read(read_delay, 5, 10.0)
    assert read_delay.delay(10.3) == pytest.approx(0.3)
