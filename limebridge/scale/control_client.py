"""A client for the control machines of a run, which uses the HTTP client of the daemon."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from violetroute.distribution.http_client import BusyError, HttpPool
from violetroute.distribution.messages import (
    Publish,
    Published,
    PublishStatus,
    Record,
    StatusReply,
    StatusRequest,
)
from violetroute.distribution.routes import decode_reply, encode, path_of
from violetroute.sharing.wire import Keys
from violetroute.transport import Address
from violetroute.transport.sockets import SocketNetwork

TIMEOUT_S = 3.0
MAX_PUBLISH_ATTEMPTS = 40
RETRY_S = 0.1
MS_PER_S = 1000.0

Reply = TypeVar("Reply")


class ControlClient:
    """Publishes records and reads the status at the control machine that it takes for the leader.

    It starts with the first machine, and changes to the leader that a reply names; after a failed
    request it tries the next machine.
    """

    def __init__(self, addresses: dict[str, Address], keys: Keys) -> None:
        self._addresses = addresses
        self._names = list(addresses)
        self._keys = keys
        self._net = SocketNetwork(asyncio.get_running_loop())
        self._pools = [HttpPool(self._net, keys)]
        self.leader = self._names[0]  # the machine that requests are sent to

    def close(self) -> None:
        """Close all connections; replies to pending requests are dropped."""
        for pool in self._pools:
            pool.close()

    async def publish(self, number: int, record: Record) -> Published | None:
        """Publish one record under the id `record-NUMBER`, and return the final reply.

        Retries if there is no reply, or the machine is not the leader or is overloaded.  The id
        makes a retry safe: the record is published once.  None after MAX_PUBLISH_ATTEMPTS attempts.
        """
        request = Publish(f"record-{number}", (record,))
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            machine = self.leader
            reply = await self._request(machine, request, Published)
            if reply is None or reply.status == PublishStatus.NOT_LEADER:
                self._update_leader(machine, "" if reply is None else reply.leader)
            elif reply.status != PublishStatus.OVERLOADED:
                return reply
            wait_s = RETRY_S if reply is None else max(RETRY_S, reply.retry_ms / MS_PER_S)
            await asyncio.sleep(wait_s)
        return None

    async def status(self) -> StatusReply | None:
        """The status of the machine taken for the leader, or None without a valid reply."""
        machine = self.leader
        reply = await self._request(machine, StatusRequest(0), StatusReply)
        if reply is None or reply.leader != machine:
            self._update_leader(machine, "" if reply is None else reply.leader)
        return reply

    def _update_leader(self, machine: str, leader: str) -> None:
        """Switch to the `leader` that `machine` named, or to the next one if it is not known."""
        if self.leader != machine:
            return  # a concurrent request has already changed the leader
        if leader in self._addresses and leader != machine:
            self.leader = leader
        elif leader != machine:
            self.leader = self._names[(self._names.index(machine) + 1) % len(self._names)]

    async def _request(
        self, name: str, request: Publish | StatusRequest, reply_type: type[Reply]
    ) -> Reply | None:
        """Send a request to a machine.  None without a valid reply of `reply_type`."""
        answer: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()

        def on_response(body: bytes | None, reason: str) -> None:
            if not answer.done():
                answer.set_result(body)

        self._send(self._addresses[name], path_of(request), encode(request), on_response)
        reply = decode_reply(request, await answer)
        return reply if isinstance(reply, reply_type) else None

    def _send(self, address: Address, path: str, body: bytes, on_response: object) -> None:
        """Send on an idle connection.

        A pool allows few connections per address, so a new pool is added when all are busy.
        """
        for pool in self._pools:
            try:
                pool.request(address, path, body, TIMEOUT_S, on_response)  # type: ignore[arg-type]
                return
            except BusyError:
                continue
        self._pools.append(HttpPool(self._net, self._keys))
        self._send(address, path, body, on_response)
