"""Asking a control machine: an answer that nobody waits for any more is no fault."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limebridge.control import asking
from violetroute.distribution.messages import LogPoint, StatusReply, StatusRequest
from violetroute.sharing.wire import Keys
from violetroute.transport import Address


def test_a_reply_in_the_turn_of_the_cancelling_is_no_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    told: list[Any] = []

    class Client:
        def __init__(self, *_: object) -> None:
            pass

        def request(self, path: str, body: bytes, timeout_s: float, tell: Any) -> None:
            told.append(tell)

        def close(self) -> None:
            pass

    async def play() -> None:
        monkeypatch.setattr(asking, "HttpClient", Client)
        machines = asking.Machines([], Keys([b"k" * 32]), 1.0)
        task = asyncio.create_task(asking.ask(machines, Address("127.0.0.1", 1), StatusRequest()))
        await asyncio.sleep(0)
        task.cancel()
        told[0](b"", "")  # before the cancelled task has run on
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(play())


def reply_of(replica: str, leader: str) -> StatusReply:
    return StatusReply(replica, leader, 1, "log", LogPoint(), 0, 0, 0, 0, 0)


@pytest.mark.parametrize(
    ("answers", "shown"),
    [
        ([reply_of("c0", "c1"), reply_of("c1", "c1")], "c1"),
        ([None, reply_of("c1", "c0"), reply_of("c2", "")], "c1"),
        ([reply_of("c0", "c0"), reply_of("c1", "c1")], "c0"),
        ([None, None], "away; away"),
    ],
    ids=["the leader is second", "nobody leads", "the leader is first", "nobody answers"],
)
def test_the_leaders_status_is_looked_for(
    answers: list[StatusReply | None], shown: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def ask(_: object, address: Address, request: StatusRequest) -> StatusReply:
        reply = answers[address.port]
        if reply is None:
            raise asking.NoAnswerError("away")
        return reply

    monkeypatch.setattr(asking, "ask", ask)
    addresses = [Address("127.0.0.1", port) for port in range(len(answers))]
    machines = asking.Machines(addresses, Keys([b"k" * 32]), 1.0)
    try:
        found = asyncio.run(asking.leaders_status(machines, StatusRequest())).replica
    except asking.NoAnswerError as error:
        found = str(error)
    assert found == shown
