"""A simulated control machine: the real `Machine`, with a simulated disk, network and lease."""

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

OPEN_AT_MOST = 64  # requests of one machine to others that are open at once
HELD_AT_MOST = 4  # requests of one asker that are open at one machine, on average

Reply = Callable[[Message | None], None]


@dataclass
class Incoming:
    """A request that is not answered yet."""

    reply: Reply
    request: Message


class ControlProcess(Process):
    """One control machine over its incarnations: an `Endpoint` and a `Candidate`."""

    def __init__(self, world: World, settings: MachineSettings, clock: ProcessClock) -> None:
        super().__init__(world.simulation, settings.name, clock)
        self.world, self._settings = world, settings
        self._rng = random.Random(f"control/{world.plan.seed}/{settings.name}")
        self.disk = Disk(world.simulation, self._rng, world.log)
        self.machine: Machine | None = None
        self.led_fence = 0  # of the lease that it believes to hold; 0: none
        self._incoming: dict[int, Incoming] = {}
        self._outgoing: dict[int, Exchange] = {}
        self._last_ticket = 0

    # --- its life ---
    def start(self) -> None:
        """A new process, with what is on the disk."""
        self.begin()
        offset = self.world.unix_offset(self.name) - self.now
        settings = replace(self._settings, unix_offset_s=offset)
        seed = f"machine/{self.world.plan.seed}/{self.name}/{self.incarnation_number}"
        self.machine = Machine(settings, self.disk.state.stored(), random.Random(seed), self.now)
        self._plan_tick()

    def kill(self) -> None:
        """The process ends; its connections are reset."""
        if not self.up:
            return
        self.end()
        self.machine, self.led_fence = None, 0
        self.disk.crash()
        self._reset_connections()
        self.world.lease.died(self)

    def lose_disk(self) -> None:
        """The process ends and its disk is lost; an operator replaces it."""
        self.kill()
        self.disk.lose()

    def reset_connections(self) -> None:
        """All its connections are reset, and it hears of it as soon as it runs."""
        for ticket in self._incoming:
            self._soon(partial(self._lost_request, ticket))
        for ticket in self._outgoing:
            self._soon(partial(self._lost_reply, ticket))
        self._reset_connections()

    def _reset_connections(self) -> None:
        incoming, self._incoming = self._incoming, {}
        outgoing, self._outgoing = self._outgoing, {}
        for each in incoming.values():
            each.reply(None)
        for exchange in outgoing.values():
            self.world.network.abandon(exchange)

    def _lost_request(self, ticket: int) -> None:
        self._act(self._machine.abandoned(ticket))

    def _lost_reply(self, ticket: int) -> None:
        self._act(self._machine.replied(self.now, ticket, None))

    def _soon(self, event: Callable[[], None]) -> None:
        self.simulation.after(0.0, self.for_current_process(event))

    @property
    def _machine(self) -> Machine:
        assert self.machine is not None
        return self.machine

    # --- the network ---
    def receive(self, request: Message, reply: Reply) -> int:
        """A request has arrived."""
        if not self.up:
            return 0
        self._last_ticket += 1
        ticket = self._last_ticket
        self._incoming[ticket] = Incoming(reply, request)
        self.deliver(lambda: self._requested(ticket, request))
        return ticket

    def _requested(self, ticket: int, request: Message) -> None:
        self._act(self._machine.requested(self.now, ticket, request))

    def abandon(self, ticket: int) -> None:
        """The asker of this request has closed its connection."""
        if self._incoming.pop(ticket, None) is not None:
            self.deliver(lambda: self._act(self._machine.abandoned(ticket)))

    def _send(self, send: Send) -> None:
        exchange = self.world.network.request(
            self.name,
            send.to,
            send.message,
            self.for_reply(lambda reply: self._replied(send.ticket, reply)),
        )
        self._outgoing[send.ticket] = exchange
        timeout = self.for_current_process(lambda: self._timed_out(send.ticket))
        self.simulation.after(self.clock.world_span(send.timeout_s), timeout)

    def for_reply(self, take: Callable[[Message | None], None]) -> Reply:
        """`take` for the process that runs now."""
        incarnation_number = self.incarnation_number

        def guarded(reply: Message | None) -> None:
            if incarnation_number == self.incarnation_number:
                self.deliver(lambda: take(reply))

        return guarded

    def _timed_out(self, ticket: int) -> None:
        exchange = self._outgoing.get(ticket)
        if exchange is not None:
            self.world.network.abandon(exchange)
            self._replied(ticket, None)

    def _replied(self, ticket: int, reply: Message | None) -> None:
        if self._outgoing.pop(ticket, None) is not None:
            self._act(self._machine.replied(self.now, ticket, reply))  # type: ignore[arg-type]

    # --- the lease ---
    @property
    def answers(self) -> bool:
        """Whether it is up and not paused."""
        return self.running

    def renews(self, fence: int) -> bool:
        """Whether its process renews the lease of this fence now."""
        return self.running and self.led_fence == fence

    def lead(self, fence: int) -> None:
        """The lease was given to this machine under this fence."""
        self.deliver(lambda: self._lead(fence))

    def _lead(self, fence: int) -> None:
        self.led_fence = fence
        self._act(self._machine.lead(self.now, fence))

    def step_down(self, fence: int) -> None:
        """The lease of this fence is lost."""
        self.deliver(lambda: self._step_down(fence))

    def _step_down(self, fence: int) -> None:
        if self.led_fence == fence:
            self.led_fence = 0
            self._act(self._machine.step_down(self.now))

    # --- what the machine asks for ---
    def _act(self, actions: Iterable[Action] | None) -> None:
        for action in actions or ():
            self._do(action)
        self._plan_tick()

    def _do(self, action: Action) -> None:
        match action:
            case Persist():
                done = self.for_current_process(lambda: self._persisted(action.ticket))
                self.disk.write(action, done)
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
                lost = self.led_fence
                self._soon(lambda: self._step_down(lost))
            case Notice(event, fields):
                self.world.note(f"  {self.name} {event} {dict(fields)}")

    def _persisted(self, ticket: int) -> None:
        self._act(self._machine.persisted(self.now, ticket))

    def _plan_tick(self) -> None:
        if self.machine is not None:
            self.wake(self.machine.next_at, self._tick)

    def _tick(self) -> None:
        self._act(self._machine.tick(self.now))

    # --- what an observer sees ---
    def status(self) -> StatusReply | None:
        """What it answers to a status request at this instant; None while it does not run."""
        if not self.running:
            return None
        found: list[Message | None] = []
        self.receive(StatusRequest(), found.append)
        if not found or not isinstance(found[0], StatusReply):
            self.world.checker.report_violation(
                Rule.PROGRESS, f"{self.name} does not answer its status"
            )
            return None
        return found[0]

    def too_much(self, requesters: int) -> str:
        """What has grown beyond its bound; "" if nothing has."""
        if len(self._outgoing) > OPEN_AT_MOST:
            return f"{self.name} has {len(self._outgoing)} requests open"
        held = [each for each in self._incoming.values() if not isinstance(each.request, Publish)]
        if len(held) > HELD_AT_MOST * requesters:
            return f"{self.name} holds {len(held)} requests"
        if len(self._incoming) - len(held) > self._settings.max_publications:
            return f"{self.name} holds {len(self._incoming) - len(held)} publications"
        return ""
