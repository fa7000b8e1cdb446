"""A simulated control machine: the real `Machine` with a simulated disk, network and lease."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from violetroute.distribution.actions import (
    Action,
    Answer,
    Fenced,
    MachineSettings,
    Notice,
    Persist,
    ReleaseLease,
    Send,
)
from violetroute.distribution.machine import Machine
from violetroute.distribution.messages import Message, Publish, StatusReply, StatusRequest

from .checker import Rule
from .disk import Disk
from .network import Exchange
from .processes import Process, ProcessClock

if TYPE_CHECKING:
    from .world import World

MAX_OUTGOING_REQUESTS = 64  # open requests of one machine to the others
MAX_INCOMING_PER_REQUESTER = 4  # open requests at one machine, on average per requester

Reply = Callable[[Message | None], None]


@dataclass
class Incoming:
    """A received request without a reply yet."""

    reply: Reply
    request: Message


class ControlProcess(Process):
    """A control machine with its successive processes; an `Endpoint` and a lease `Candidate`."""

    def __init__(self, world: World, settings: MachineSettings, clock: ProcessClock) -> None:
        super().__init__(world.simulation, settings.name, clock)
        self.world, self._settings = world, settings
        self._rng = random.Random(f"control/{world.plan.seed}/{settings.name}")
        self.disk = Disk(world.simulation, self._rng, world.log)
        self.machine: Machine | None = None
        self.lease_fence = 0  # fence of the lease that it assumes to hold; 0: none
        self._incoming: dict[int, Incoming] = {}
        self._outgoing: dict[int, Exchange] = {}
        self._last_ticket = 0

    # --- start, crash and lost connections ---
    def start(self) -> None:
        """Starts a new process from what is on the disk."""
        self.begin_incarnation()
        offset = self.world.unix_offset(self.name) - self.now
        settings = replace(self._settings, unix_offset_s=offset)
        seed = f"machine/{self.world.plan.seed}/{self.name}/{self.incarnation_number}"
        self.machine = Machine(settings, self.disk.state.stored(), random.Random(seed), self.now)
        self._schedule_tick()

    def kill(self) -> None:
        """Kills the process and resets its connections."""
        if not self.up:
            return
        self.end_incarnation()
        self.machine, self.lease_fence = None, 0
        self.disk.crash()
        self._reset_connections()
        self.world.lease.process_ended(self)

    def lose_disk(self) -> None:
        """Kills the process and loses its disk, which an operator replaces at once."""
        self.kill()
        self.disk.lose()

    def reset_connections(self) -> None:
        """Resets all its connections; the process is notified as soon as it runs."""
        for ticket in self._incoming:
            self._schedule_now(partial(self._request_connection_lost, ticket))
        for ticket in self._outgoing:
            self._schedule_now(partial(self._reply_connection_lost, ticket))
        self._reset_connections()

    def _reset_connections(self) -> None:
        incoming, self._incoming = self._incoming, {}
        outgoing, self._outgoing = self._outgoing, {}
        for request in incoming.values():
            request.reply(None)
        for exchange in outgoing.values():
            self.world.network.abandon(exchange)

    def _request_connection_lost(self, ticket: int) -> None:
        self._execute(self._machine.abandoned(ticket))

    def _reply_connection_lost(self, ticket: int) -> None:
        self._execute(self._machine.replied(self.now, ticket, None))

    def _schedule_now(self, event: Callable[[], None]) -> None:
        self.simulation.schedule_after(0.0, self.for_current_process(event))

    @property
    def _machine(self) -> Machine:
        assert self.machine is not None
        return self.machine

    # --- the network ---
    def receive(self, request: Message, reply: Reply) -> int:
        """Accepts a request and returns its ticket; 0 if the process is not up."""
        if not self.up:
            return 0
        self._last_ticket += 1
        ticket = self._last_ticket
        self._incoming[ticket] = Incoming(reply, request)
        self.deliver(lambda: self._requested(ticket, request))
        return ticket

    def _requested(self, ticket: int, request: Message) -> None:
        self._execute(self._machine.requested(self.now, ticket, request))

    def abandon(self, ticket: int) -> None:
        """Handles a connection that the requester of this request has closed."""
        if self._incoming.pop(ticket, None) is not None:
            self.deliver(lambda: self._execute(self._machine.abandoned(ticket)))

    def _send(self, send: Send) -> None:
        exchange = self.world.network.request(
            self.name,
            send.to,
            send.message,
            self._guard_reply(lambda reply: self._replied(send.ticket, reply)),
        )
        self._outgoing[send.ticket] = exchange
        timeout = self.for_current_process(lambda: self._timed_out(send.ticket))
        self.simulation.schedule_after(self.clock.world_duration(send.timeout_s), timeout)

    def _guard_reply(self, handle: Callable[[Message | None], None]) -> Reply:
        """Wraps `handle` so that a reply is delivered to the current process only."""
        incarnation_number = self.incarnation_number

        def run_if_current(reply: Message | None) -> None:
            if incarnation_number == self.incarnation_number:
                self.deliver(lambda: handle(reply))

        return run_if_current

    def _timed_out(self, ticket: int) -> None:
        exchange = self._outgoing.get(ticket)
        if exchange is not None:
            self.world.network.abandon(exchange)
            self._replied(ticket, None)

    def _replied(self, ticket: int, reply: Message | None) -> None:
        if self._outgoing.pop(ticket, None) is not None:
            self._execute(self._machine.replied(self.now, ticket, reply))  # type: ignore[arg-type]

    # --- the lease ---
    @property
    def responsive(self) -> bool:
        """Whether the process is up and not paused."""
        return self.running

    def renews_lease(self, fence: int) -> bool:
        """Whether the process renews the lease of this fence now."""
        return self.running and self.lease_fence == fence

    def lead(self, fence: int) -> None:
        """Delivers the grant of the lease under this fence."""
        self.deliver(lambda: self._lead(fence))

    def _lead(self, fence: int) -> None:
        self.lease_fence = fence
        self._execute(self._machine.lead(self.now, fence))

    def step_down(self, fence: int) -> None:
        """Delivers the loss of the lease of this fence."""
        self.deliver(lambda: self._step_down(fence))

    def _step_down(self, fence: int) -> None:
        if self.lease_fence == fence:
            self.lease_fence = 0
            self._execute(self._machine.step_down(self.now))

    # --- actions of the machine ---
    def _execute(self, actions: Iterable[Action] | None) -> None:
        for action in actions or ():
            self._perform(action)
        self._schedule_tick()

    def _perform(self, action: Action) -> None:
        match action:
            case Persist():
                on_durable = self.for_current_process(lambda: self._persisted(action.ticket))
                self.disk.write(action, on_durable)
            case Send():
                self._send(action)
            case Answer(ticket, message):
                incoming = self._incoming.pop(ticket, None)
                if incoming is not None:
                    incoming.reply(message)
            case Fenced(fence):
                self.world.lease.fenced(self, fence)
            case ReleaseLease():
                self.world.lease.release(self)
                released_fence = self.lease_fence
                self._schedule_now(lambda: self._step_down(released_fence))
            case Notice(event, fields):
                self.world.note(f"  {self.name} {event} {dict(fields)}")

    def _persisted(self, ticket: int) -> None:
        self._execute(self._machine.persisted(self.now, ticket))

    def _schedule_tick(self) -> None:
        if self.machine is not None:
            self.schedule_wake(self.machine.next_at, self._tick)

    def _tick(self) -> None:
        self._execute(self._machine.tick(self.now))

    # --- observations ---
    def status(self) -> StatusReply | None:
        """The reply to a status request at this instant; None while it is down or paused."""
        if not self.running:
            return None
        replies: list[Message | None] = []
        self.receive(StatusRequest(), replies.append)
        if not replies or not isinstance(replies[0], StatusReply):
            self.world.checker.report_violation(
                Rule.PROGRESS, f"{self.name} does not reply to a status request"
            )
            return None
        return replies[0]

    def exceeded_limit(self, requesters: int) -> str:
        """Names the first queue that exceeds its limit, with its length; "" if none does."""
        if len(self._outgoing) > MAX_OUTGOING_REQUESTS:
            return f"{self.name} has {len(self._outgoing)} requests open"
        held = [each for each in self._incoming.values() if not isinstance(each.request, Publish)]
        if len(held) > MAX_INCOMING_PER_REQUESTER * requesters:
            return f"{self.name} holds {len(held)} requests"
        if len(self._incoming) - len(held) > self._settings.max_publications:
            return f"{self.name} holds {len(self._incoming) - len(held)} publications"
        return ""
