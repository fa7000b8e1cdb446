"""Ends a proxy's sessions at the control machines that it polled recently."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from violetroute.sharing.wire import Keys
from violetroute.transport import Network, parse_address

from .http_client import HttpClient
from .messages import Poll
from .routes import encode, path_of
from .traffic import Traffic

END_TIMEOUT_S = 0.5  # a machine that was not reached drops the session later by itself


async def end_sessions(
    net: Network, keys: Keys, addresses: Iterable[str], poll: Poll, traffic: Traffic
) -> None:
    """Send the poll to each address over new connections; the answers are ignored.

    Returns when all machines have answered or failed, after END_TIMEOUT_S at the latest.
    """
    clients = [HttpClient(net, parse_address(each), keys, traffic) for each in addresses]
    try:
        await asyncio.gather(*(_request(net, client, poll) for client in clients))
    finally:
        for client in clients:
            client.close()


async def _request(net: Network, client: HttpClient, poll: Poll) -> None:
    finished: asyncio.Future[None] = net.loop.create_future()

    def finish(body: bytes | None, reason: str) -> None:
        if not finished.done():  # the caller may have been cancelled
            finished.set_result(None)

    client.request(path_of(poll), encode(poll), END_TIMEOUT_S, finish)
    await finished
