"""The clock of `tests/support/stall_free_loop.py`."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.support import stall_free_loop

STALL_S = 0.3


def test_its_clock_stands_while_the_process_does_not_run() -> None:
    async def part() -> None:
        loop = asyncio.get_running_loop()
        before = loop.time()
        time.sleep(STALL_S)  # takes no CPU, as a process that is not scheduled
        assert loop.time() - before < STALL_S / 10.0

    stall_free_loop.run(part())


def test_its_clock_counts_what_the_turns_compute() -> None:
    async def part() -> None:
        loop = asyncio.get_running_loop()
        before, used = loop.time(), time.thread_time()
        while time.thread_time() - used < 0.05:
            pass
        assert loop.time() - before >= 0.05

    stall_free_loop.run(part())


@pytest.mark.parametrize("seconds", [0.0034, 0.1])
def test_a_timer_takes_its_time(seconds: float) -> None:
    async def part() -> None:
        loop = asyncio.get_running_loop()
        before, began = loop.time(), time.monotonic()
        await asyncio.sleep(seconds)
        assert seconds - 0.001 <= loop.time() - before < seconds + 0.05
        assert time.monotonic() - began >= seconds - 0.001

    stall_free_loop.run(part())


def test_a_late_poll_takes_no_longer_than_it_was_asked_to_wait() -> None:
    selector = stall_free_loop.StallFreeSelector()
    selector.select(0.0034)  # the kernel waits in whole milliseconds
    assert selector.waited <= 0.0034
    selector.select(0.0)
    selector.select(-1.0)
    assert selector.waited <= 0.0034
    selector.close()
