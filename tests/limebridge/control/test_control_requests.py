"""Requests to control machines: a reply after a cancellation, and the choice among replies."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limebridge.control import control_client
from violetroute.distribution.messages import LogPoint, StatusReply, StatusRequest
from violetroute.sharing.wire import Keys
from violetroute.transport import Address


def test_a_reply_in_the_loop_iteration_of_a_cancellation_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    callbacks: list[Any] = []

    class Client:
        def __init__(self, *_: object) -> None:
            pass

        def request(self, path: str, body: bytes, timeout_s: float, callback: Any) -> None:
            callbacks.append(callback)

        def close(self) -> None:
            pass

    async def cancel_request() -> None:
        monkeypatch.setattr(control_client, "HttpClient", Client)
        machines = control_client.Machines([], Keys([b"k" * 32]), 1.0)
        task = asyncio.create_task(
            control_client.send_request(machines, Address("127.0.0.1", 1), StatusRequest())
        )
        await asyncio.sleep(0)
        task.cancel()
        callbacks[0](b"", "")  # before the cancelled task runs again
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(cancel_request())


def status_reply(replica: str, leader: str) -> StatusReply:
    return StatusReply(replica, leader, 1, "log", LogPoint(), 0, 0, 0, 0, 0)


@pytest.mark.parametrize(
    ("replies", "expected"),
    [
        ([status_reply("c0", "c1"), status_reply("c1", "c1")], "c1"),
        ([None, status_reply("c1", "c0"), status_reply("c2", "")], "c1"),
        ([status_reply("c0", "c0"), status_reply("c1", "c1")], "c0"),
        ([None, None], "unavailable; unavailable"),
    ],
    ids=["the leader is second", "no leader", "the leader is first", "no replies"],
)
def test_the_leaders_status_is_preferred_to_the_first_reply(
    replies: list[StatusReply | None], expected: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def send_request(_: object, address: Address, request: StatusRequest) -> StatusReply:
        reply = replies[address.port]
        if reply is None:
            raise control_client.NoAnswerError("unavailable")
        return reply

    monkeypatch.setattr(control_client, "send_request", send_request)
    addresses = [Address("127.0.0.1", port) for port in range(len(replies))]
    machines = control_client.Machines(addresses, Keys([b"k" * 32]), 1.0)
    try:
        found = asyncio.run(control_client.leaders_status(machines, StatusRequest())).replica
    except control_client.NoAnswerError as error:
        found = str(error)
    assert found == expected
