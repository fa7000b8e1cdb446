"""The clock of `tests/support/stall_free_loop.py`."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.support import stall_free_loop

STALL_S = 0.3


def test_the_clock_stops_while_the_process_is_not_running() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        before = loop.time()
        time.sleep(STALL_S)  # uses no CPU time, like a process that is not scheduled
        assert loop.time() - before < STALL_S / 10.0

    stall_free_loop.run(main())


def test_the_clock_counts_the_cpu_time_of_iterations() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        before, used = loop.time(), time.thread_time()
        while time.thread_time() - used < 0.05:
            pass
        assert loop.time() - before >= 0.05

    stall_free_loop.run(main())


@pytest.mark.parametrize("seconds", [0.0034, 0.1])
def test_a_timer_fires_after_its_delay(seconds: float) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        before, started = loop.time(), time.monotonic()
        await asyncio.sleep(seconds)
        assert seconds - 0.001 <= loop.time() - before < seconds + 0.05
        assert time.monotonic() - started >= seconds - 0.001

    stall_free_loop.run(main())


def test_a_late_poll_counts_with_at_most_its_timeout() -> None:
    selector = stall_free_loop.StallFreeSelector()
    selector.select(0.0034)  # the kernel waits in whole milliseconds
    assert selector.poll_time_s <= 0.0034
    selector.select(0.0)
    selector.select(-1.0)
    assert selector.poll_time_s <= 0.0034
    selector.close()
