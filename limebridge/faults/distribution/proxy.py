"""A simulated proxy: the real `Subscriber`, polling control machines over the simulated network."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from violetroute.distribution.control_choice import SubscriberSettings
from violetroute.distribution.messages import Message, PollReply
from violetroute.distribution.subscriber import (
    Apply,
    BecameFresh,
    BecameStale,
    Effect,
    InvalidateAll,
    SendPoll,
    SequenceGap,
    Subscriber,
)

from .disk import log_entry
from .network import Exchange
from .processes import Process, ProcessClock

if TYPE_CHECKING:
    from .world import World


@dataclass
class Polling:
    """The poll that is out."""

    address: str
    sent_at: float  # by the proxy's clock
    exchange: Exchange | None = None


class ProxyProcess(Process):
    """One proxy over its incarnations.  `process`: its name in the world, if it is a twin's."""

    def __init__(
        self, world: World, settings: SubscriberSettings, clock: ProcessClock, process: str = ""
    ) -> None:
        super().__init__(world.simulation, process or settings.name, clock)
        self.world, self.settings = world, settings
        self.subscriber: Subscriber | None = None
        self._polling: Polling | None = None
        self._asks = ""  # the machine that was asked last

    @property
    def incarnation(self) -> str:
        """Of the process that runs now."""
        return f"{self.name}.{self.incarnation_number}"

    def start(self) -> None:
        """A new process without memory."""
        self.begin()
        rng = random.Random(f"proxy/{self.world.plan.seed}/{self.incarnation}")
        self.subscriber = Subscriber(self.settings, self.incarnation, rng, self.now)
        self._polling = None
        self._ask()

    def kill(self) -> None:
        """The process ends; what it had cached is gone with it."""
        if not self.up:
            return
        self.end()
        self.subscriber = None
        if self._polling is not None and self._polling.exchange is not None:
            self.world.network.abandon(self._polling.exchange)

    def leave(self) -> None:
        """It ends its session where it asks now, and lingers; its poll may still be answered."""
        if self.subscriber is None:
            return
        poll = self.subscriber.end()
        address = self._asks or self.settings.controls[0].address
        self.world.network.request(self.name, address, poll, lambda reply: None)

    def replace(self, incarnation_number: int) -> None:
        """The process of this life is gone, and a new one starts, unless that was done already."""
        if self.up and self.incarnation_number == incarnation_number:
            self.kill()
            self.start()

    def fresh(self) -> bool:
        """Whether it believes itself fresh, by its own clock, at this instant."""
        return self.subscriber is not None and self.subscriber.fresh(self.now)

    @property
    def position(self) -> int:
        """Of the process that runs now."""
        return self.subscriber.position if self.subscriber is not None else 0

    # --- polling ---
    def _ask(self) -> None:
        subscriber = self.subscriber
        if subscriber is None or self._polling is not None:
            return
        step = subscriber.next(self.now)
        if isinstance(step, SendPoll):
            self._send(step)
        else:
            self.wake(step.until, self._ask)
        self._plan_tick()

    def _send(self, ask: SendPoll) -> None:
        polling = self._polling = Polling(ask.address, self.now)
        self._asks = ask.address
        incarnation_number = self.incarnation_number

        def on_reply(reply: Message | None) -> None:
            if incarnation_number == self.incarnation_number:
                self.deliver(lambda: self._replied(polling, reply))

        polling.exchange = self.world.network.request(self.name, ask.address, ask.poll, on_reply)
        timeout = self.for_current_process(lambda: self._timed_out(polling))
        self.simulation.after(self.clock.world_span(ask.timeout_s), timeout)

    def _timed_out(self, polling: Polling) -> None:
        if self._polling is polling and polling.exchange is not None:
            self.world.network.abandon(polling.exchange)
            self._replied(polling, None)

    def _replied(self, polling: Polling, reply: Message | None) -> None:
        subscriber = self.subscriber
        if self._polling is not polling or subscriber is None:
            return
        self._polling = None
        answer = reply if isinstance(reply, PollReply) else None
        effects = subscriber.replied(self.now, polling.sent_at, polling.address, answer)
        self._execute(effects, answer)
        self._ask()

    def _plan_tick(self) -> None:
        if self.subscriber is not None:
            self.wake(self.subscriber.next_at, self._tick)

    def _tick(self) -> None:
        if self.subscriber is not None:
            self._execute(self.subscriber.tick(self.now), None)
            self._ask()

    # --- effects ---
    def _execute(self, effects: list[Effect], answer: PollReply | None) -> None:
        base = 0
        for effect in effects:
            match effect:
                case InvalidateAll():
                    assert answer is not None and answer.snapshot is not None
                    base = answer.snapshot.base.position
                    self.world.voided(self, base)
                case Apply(batch):
                    if batch.position != base:  # at the base: the snapshot's configuration
                        self.world.applied(self, log_entry(batch))
                case SequenceGap(expected, got):
                    self.world.note(f"  {self.name} finds a gap: {expected} expected, {got} came")
                case BecameStale() | BecameFresh():
                    self.world.note(f"  {self.name} {type(effect).__name__} at {self.position}")
