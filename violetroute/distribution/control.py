"""The control process: sockets, timers, disk and lease around one `Machine`.

Every external event becomes one call of the machine on the event loop's thread.  The returned
actions are executed in order before the next event.  An exception in the machine ends the process:
its memory may be inconsistent, while its promises are safe on disk.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from random import Random

import msgspec

from violetroute import logs
from violetroute.fleet.make import store_factory
from violetroute.fleet.runner import Fleet
from violetroute.sharing.table import read_keys
from violetroute.transport import Address, Network, parse_address
from violetroute.transport.introspection_socket import IntrospectionSocket
from violetroute.transport.writer import ThreadWriter

from .actions import (
    Action,
    Answer,
    Fenced,
    MachineSettings,
    Notice,
    Persist,
    ReleaseLease,
    Send,
)
from .control_file import ControlFile
from .descriptors import connection_bounds, soft_limit
from .destination import MISDIRECTED, MISDIRECTED_STATUS, addressed, is_for
from .http_client import BusyError, HttpPool
from .http_server import HttpServer
from .lease import WORK, LeaderWork
from .machine import Machine
from .messages import Poll
from .notices import log_notice
from .persister import Persister
from .routes import UnreadableError, decode_reply, decode_request, encode, path_of
from .status import ControlStatus
from .storage import Storage

NEVER = float("inf")
BAD_REQUEST, UNAVAILABLE = 400, 503


class ControlServer:
    """One running control machine.

    Raises OSError if it cannot listen, StorageError if its folder is unusable, and ValueError if
    the process has too few file descriptors.  `failed` is called once with the reason, when an
    error forces the process to end.
    """

    def __init__(self, file: ControlFile, net: Network, failed: Callable[[str], None]) -> None:
        self._net, self._loop = net, net.loop
        self._failed = failed
        self._ended = self._stopped = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        keys = read_keys(file.key_file)
        self._bounds = connection_bounds(soft_limit(), len(file.machine))
        self._polls: set[int] = set()  # tickets of unanswered polls
        self._addresses = {each.name: parse_address(each.address) for each in file.machine}
        self._storage = Storage(Path(file.folder), file.name)
        try:
            self._server = HttpServer(
                net, parse_address(file.listen), keys, self, self._bounds.connections
            )
        except OSError:
            self._storage.close()
            raise
        self._pool = HttpPool(net, keys)
        self._persister = Persister(
            self._storage, ThreadWriter(net.loop), self._persisted, self._end
        )
        stored = self._storage.take_stored()
        self._name, self._log = file.name, stored.log
        self._machine = Machine(
            _settings(file, net),
            stored,
            Random(secrets.randbits(64)),
            self._loop.time(),
        )
        self._work = LeaderWork(net.loop, self)
        fleet = msgspec.structs.replace(file.fleet, works=(WORK,))
        self._fleet = Fleet(fleet, file.name, net, store_factory(fleet, net), lambda _: self._work)
        self._event(self._machine.tick)

    @property
    def address(self) -> Address:
        """The listening address."""
        return self._server.address

    async def close(self) -> None:
        """Releases the lease and closes everything; also needed after `failed` was called."""
        await self._fleet.close()
        self._stop()

    def status(self, what: str) -> ControlStatus:
        """Returns a view for the introspection socket.  Raises KeyError for an unknown view."""
        if what != "traffic":
            raise KeyError(what)
        return ControlStatus(
            leading=self._machine.leading,
            connections=self._server.connections,
            connections_max=self._bounds.connections,
            polls=len(self._polls),
            polls_max=self._bounds.proxies,
            server=replace(self._server.traffic),
            client=replace(self._pool.traffic),
        )

    # --- called by the HTTP server ---
    def requested(self, ticket: int, path: str, body: bytes) -> None:
        """Handles an authenticated request."""
        try:
            message = decode_request(path, body)
        except UnreadableError:
            self._server.refuse(ticket, BAD_REQUEST)
            return
        if not is_for(message, self._name, self._log):
            self._server.refuse(ticket, MISDIRECTED_STATUS, MISDIRECTED)
            return
        if isinstance(message, Poll) and not message.ends_session:
            if len(self._polls) >= self._bounds.proxies:
                self._server.refuse(ticket, UNAVAILABLE, "too many proxies")
                return
            self._polls.add(ticket)
        self._event(lambda now: self._machine.requested(now, ticket, message))

    def abandoned(self, ticket: int) -> None:
        """Handles the disconnect of a request's connection."""
        self._polls.discard(ticket)
        self._event(lambda _: self._machine.abandoned(ticket))

    # --- called by the lease work ---
    def lead(self, fence: int) -> None:
        """Starts a term with this fencing token."""
        self._event(lambda now: self._machine.lead(now, fence))

    def step_down(self) -> None:
        """Ends the term."""
        self._event(self._machine.step_down)

    # --- called by the persister ---
    def _persisted(self, ticket: int) -> None:
        self._event(lambda now: self._machine.persisted(now, ticket))

    # --- events and actions ---
    def _event(self, event: Callable[[float], Iterable[Action]]) -> None:
        if self._ended:
            return
        try:
            for action in event(self._loop.time()):
                self._carry_out(action)
        except Exception as error:
            logs.event("control.fault", what="an event of the machine", error=error)
            self._end("internal error")
            return
        self._set_timer()

    def _carry_out(self, action: Action) -> None:
        match action:
            case Persist():
                self._persister.submit(action)
            case Send():
                self._send(action)
            case Answer(ticket, message):
                self._polls.discard(ticket)
                self._server.answer(ticket, encode(message))
            case Fenced(fence):
                self._work.fenced(fence)
            case ReleaseLease():
                self._work.release_lease()
            case Notice():
                log_notice(action)

    def _send(self, send: Send) -> None:
        def reply_received(body: bytes | None, _: str) -> None:
            reply = decode_reply(send.message, body)
            self._event(lambda now: self._machine.replied(now, send.ticket, reply))

        address = self._addresses[send.to]
        path = path_of(send.message)
        body = encode(addressed(send.message, send.to, self._log))
        try:
            self._pool.request(address, path, body, send.timeout_s, reply_received)
        except BusyError:
            self._loop.call_soon(reply_received, None, "")

    # --- timer ---
    def _set_timer(self) -> None:
        due = self._machine.next_at
        if self._ended or (self._timer is not None and self._timer_at <= due):
            return  # an early timer is set again when it fires
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < NEVER:
            self._timer_at = due
            self._timer = self._loop.call_at(due, self._due)

    def _due(self) -> None:
        self._timer = None
        self._event(self._machine.tick)

    # --- shutdown ---
    def _end(self, reason: str) -> None:
        if not self._ended:
            self._stop()
            self._failed(reason)

    def _stop(self) -> None:
        self._ended = True
        if self._stopped:
            return
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._server.close()
        self._pool.close()
        self._persister.close()
        self._storage.close()


def introspection_listener(file: ControlFile, control: ControlServer) -> IntrospectionSocket | None:
    """Returns the local introspection socket, if the file configures one."""
    return IntrospectionSocket(file.socket, control.status) if file.socket else None


def _settings(file: ControlFile, net: Network) -> MachineSettings:
    timings = file.timings
    return MachineSettings(
        name=file.name,
        machines=tuple(machine.name for machine in file.machine),
        batch_s=timings.batch_s,
        hold_s=timings.fetch_hold_s,
        stale_after_s=timings.stale_after_s,
        drift=timings.drift,
        keep_s=timings.keep_s,
        unix_offset_s=net.wall() - net.loop.time(),
        poll_hold_s=timings.hold_s,
        spread_s=timings.spread_s,
        report_s=timings.report_s,
        heartbeat_s=timings.heartbeat_s,
        delta_bytes=timings.delta_bytes,
        catch_up_bytes_per_s=timings.catch_up_bytes_per_s,
    )
