"""Client of control machines for the command line; it sends one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from violetroute.distribution.http_client import HttpClient
from violetroute.distribution.messages import (
    Publish,
    Published,
    PublishStatus,
    StatusReply,
    StatusRequest,
)
from violetroute.distribution.routes import AnyRequest, decode_reply, encode, path_of
from violetroute.sharing.wire import Keys
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork

RETRY_DELAY_S = 0.2  # s after a round in which no machine gave the result


class NoAnswerError(Exception):
    """No usable reply from the control machines that were tried; the message is one line."""


@dataclass(frozen=True, slots=True)
class Machines:
    """Control machines to query in this order, the fleet's keys, and the timeout of one request."""

    addresses: Sequence[Address]
    keys: Keys
    timeout_s: float


async def send_request(machines: Machines, address: Address, request: AnyRequest) -> Any:
    """Sends a request to one machine and returns its decoded reply.

    Raises NoAnswerError when no reply arrives within the timeout or it cannot be decoded.
    """
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[tuple[bytes | None, str]] = loop.create_future()
    client = HttpClient(SocketNetwork(loop), address, machines.keys)

    def on_reply(body: bytes | None, reason: str) -> None:
        # If the caller was cancelled in the loop iteration in which the reply arrives, the future
        # is done already.
        if not answer.done():
            answer.set_result((body, reason))

    try:
        client.request(path_of(request), encode(request), machines.timeout_s, on_reply)
        body, reason = await answer
    finally:
        client.close()
    reply = decode_reply(request, body)
    if reply is None:
        raise NoAnswerError(
            f"{address.host}:{address.port}: {reason or 'the reply cannot be decoded'}"
        )
    return reply


async def leaders_status(machines: Machines, request: StatusRequest) -> StatusReply:
    """Returns the reply of the first machine that is the leader, or else the first reply.

    Raises NoAnswerError with the reasons of all machines when none replies.
    """
    first: StatusReply | None = None
    reasons = []
    for address in machines.addresses:
        try:
            reply: StatusReply = await send_request(machines, address, request)
        except NoAnswerError as error:
            reasons.append(str(error))
            continue
        if reply.leader == reply.replica:
            return reply
        first = first or reply
    if first is None:
        raise NoAnswerError("; ".join(reasons))
    return first


async def publish(machines: Machines, publication: Publish, within_s: float) -> Published:
    """Sends a publication to each machine in turn until the leader replies.

    Raises NoAnswerError after `within_s`.  All attempts carry the same publication id: after an
    attempt without a reply the publication may or may not be in the log, and a retry under
    another id could append it twice.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + within_s
    reason = "no machine was tried"
    while True:
        for address in machines.addresses:
            try:
                reply: Published = await send_request(machines, address, publication)
            except NoAnswerError as error:
                reason = str(error)
                continue
            if reply.status not in (PublishStatus.NOT_LEADER, PublishStatus.OVERLOADED):
                return reply
            reason = f"{address.host}:{address.port}: {PublishStatus(reply.status).name}"
        if loop.time() >= until:
            raise NoAnswerError(reason)
        await asyncio.sleep(RETRY_DELAY_S)


async def wait_in_force(machines: Machines, position: int, within_s: float) -> StatusReply | None:
    """Polls until `position` is in force; returns the leader's status, or None after `within_s`."""
    loop = asyncio.get_running_loop()
    until = loop.time() + within_s
    while True:
        for address in machines.addresses:
            try:
                status: StatusReply = await send_request(machines, address, StatusRequest(0))
            except NoAnswerError:
                continue
            if status.leader == status.replica and status.in_force >= position:
                return status
        if loop.time() >= until:
            return None
        await asyncio.sleep(RETRY_DELAY_S)
