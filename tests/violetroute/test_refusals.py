"""Log lines for unserved requests and for long iterations of the event loop."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.support.rig import CacheNode, Rig, get, put, serves, wait_until
from violetroute import logs
from violetroute.reason_counter import ReasonCounter, log_refused
from violetroute.transport.loop_lag import LONG_TURN, Turns, TurnSelector
from violetroute.turn_log import LongTurnLog

Said = list[tuple[str, dict[str, Any]]]


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> Said:
    found: Said = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: found.append((name, fields)))
    return found


def test_refusals_are_logged_by_reason_once_a_second_and_at_close(events: Said) -> None:
    async def scenario() -> None:
        refusals = ReasonCounter(asyncio.get_running_loop(), log_refused)
        for reason in ("admission", "no_node", "admission"):
            refusals.count(reason)
        refusals.close()
        refusals.close()
        assert events == [("requests.refused", {"count": 3, "reasons": "admission:2 no_node:1"})]
        refusals.count("budget")
        await wait_until(lambda: len(events) == 2)
        assert events[1] == ("requests.refused", {"count": 1, "reasons": "budget:1"})

    asyncio.run(scenario())


def test_a_request_without_an_eligible_node_is_logged_with_its_reason(events: Said) -> None:
    async def scenario() -> None:
        async with Rig() as rig:
            answer = (await rig.request(get(1, deadline_ms=200)))[0]
            assert answer.startswith(b"-")
        assert ("requests.refused", {"count": 1, "reasons": "no_node:1"}) in events

    asyncio.run(scenario())


def test_a_request_whose_attempts_failed_is_logged_with_its_reason(events: Said) -> None:
    async def fails(words: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(b"-ERR failed\r\n")

    async def scenario() -> None:
        async with Rig(await CacheNode(fails).start()) as rig:
            await rig.request(put(1, cls=b"once"))
        assert ("requests.refused", {"count": 1, "reasons": "attempts:1"}) in events

    asyncio.run(scenario())


def test_served_requests_are_not_logged(events: Said) -> None:
    async def scenario() -> None:
        async with Rig(await CacheNode(serves).start()) as rig:
            await rig.request(get(1))
        assert not [name for name, _ in events if name == "requests.refused"]

    asyncio.run(scenario())


def test_a_long_turn_is_logged_with_its_work(events: Said) -> None:
    now = [100.0]
    selector = TurnSelector(clock=lambda: now[0], cpu=lambda: now[0])
    turn_log = LongTurnLog(Turns(selector), [1, 2])
    selector.select(0)
    turn_log.note_work("list of 640")
    now[0] += 1.2 * LONG_TURN
    selector.select(0)
    now[0] += LONG_TURN / 2
    selector.select(0)
    now[0] += 2 * LONG_TURN
    selector.select(0)
    assert events == [
        ("daemon.long_turn", {"ms": 60, "doing": "list of 640", "open": 2}),
        ("daemon.long_turn", {"ms": 100, "doing": "requests", "open": 2}),
    ]
    selector.close()
