"""Asks control machines, one request after another, from a command."""

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

ASK_AGAIN_S = 0.2  # after every machine was asked and none led


class NoAnswerError(Exception):
    """One line."""


@dataclass(frozen=True, slots=True)
class Machines:
    """Whom to ask, in turn, and by which keys; `timeout_s` for one answer."""

    addresses: Sequence[Address]
    keys: Keys
    timeout_s: float


async def ask(machines: Machines, address: Address, request: AnyRequest) -> Any:
    """The reply of this machine.  NoAnswerError."""
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[tuple[bytes | None, str]] = loop.create_future()
    client = HttpClient(SocketNetwork(loop), address, machines.keys)

    def told(body: bytes | None, reason: str) -> None:
        if not answer.done():  # done: who asked was cancelled, and the reply came in the same turn
            answer.set_result((body, reason))

    try:
        client.request(path_of(request), encode(request), machines.timeout_s, told)
        body, reason = await answer
    finally:
        client.close()
    reply = decode_reply(request, body)
    if reply is None:
        raise NoAnswerError(f"{address.host}:{address.port}: {reason or 'an unknown answer'}")
    return reply


async def leaders_status(machines: Machines, request: StatusRequest) -> StatusReply:
    """The reply of the first machine that leads, or else of the first that answers.

    NoAnswerError where none does: all reasons.
    """
    first: StatusReply | None = None
    reasons = []
    for address in machines.addresses:
        try:
            reply: StatusReply = await ask(machines, address, request)
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
    """Asks one machine after another until the leader answers.  NoAnswerError after `within_s`.

    Each machine is asked under the same id.  Without an answer the publication may be in the log
    or not; a later one under another id would then be a second one.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + within_s
    reason = "no machine was asked"
    while True:
        for address in machines.addresses:
            try:
                reply: Published = await ask(machines, address, publication)
            except NoAnswerError as error:
                reason = str(error)
                continue
            if reply.status not in (PublishStatus.NOT_LEADER, PublishStatus.OVERLOADED):
                return reply
            reason = f"{address.host}:{address.port}: {PublishStatus(reply.status).name}"
        if loop.time() >= until:
            raise NoAnswerError(reason)
        await asyncio.sleep(ASK_AGAIN_S)


async def wait_in_force(machines: Machines, position: int, within_s: float) -> StatusReply | None:
    """The leader's status once `position` is in force; None after `within_s`.  NoAnswerError."""
    loop = asyncio.get_running_loop()
    until = loop.time() + within_s
    while True:
        for address in machines.addresses:
            try:
                status: StatusReply = await ask(machines, address, StatusRequest(0))
            except NoAnswerError:
                continue
            if status.leader == status.replica and status.in_force >= position:
                return status
        if loop.time() >= until:
            return None
        await asyncio.sleep(ASK_AGAIN_S)
