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
class OpenPoll:
    """A poll that was sent and has no reply yet."""

    address: str
    sent_at: float  # by the proxy's clock
    exchange: Exchange | None = None


class ProxyProcess(Process):
    """A proxy with its successive processes.

    `process` is the unique name in the world of a duplicate, whose settings have the proxy's name.
    """

    def __init__(
        self, world: World, settings: SubscriberSettings, clock: ProcessClock, process: str = ""
    ) -> None:
        super().__init__(world.simulation, process or settings.name, clock)
        self.world, self.settings = world, settings
        self.subscriber: Subscriber | None = None
        self._open_poll: OpenPoll | None = None
        self._last_address = ""  # the machine that was polled last

    @property
    def incarnation(self) -> str:
        """The incarnation id of the current process."""
        return f"{self.name}.{self.incarnation_number}"

    def start(self) -> None:
        """Starts a new process with an empty cache, which polls at once."""
        self.begin_incarnation()
        rng = random.Random(f"proxy/{self.world.plan.seed}/{self.incarnation}")
        self.subscriber = Subscriber(self.settings, self.incarnation, rng, self.now)
        self._open_poll = None
        self._poll()

    def kill(self) -> None:
        """Kills the process, which loses its cache."""
        if not self.up:
            return
        self.end_incarnation()
        self.subscriber = None
        if self._open_poll is not None and self._open_poll.exchange is not None:
            self.world.network.abandon(self._open_poll.exchange)

    def leave(self) -> None:
        """Ends the session at the machine that it polls; the process stays up.

        The open poll may still get its reply.
        """
        if self.subscriber is None:
            return
        poll = self.subscriber.end()
        address = self._last_address or self.settings.controls[0].address
        self.world.network.request(self.name, address, poll, lambda reply: None)

    def replace(self, incarnation_number: int) -> None:
        """Kills this incarnation and starts a new process, unless it has ended already."""
        if self.up and self.incarnation_number == incarnation_number:
            self.kill()
            self.start()

    def fresh(self) -> bool:
        """Whether it considers itself fresh now, by its own clock."""
        return self.subscriber is not None and self.subscriber.fresh(self.now)

    @property
    def position(self) -> int:
        """Position of the last batch that the current process has applied; 0 if none runs."""
        return self.subscriber.position if self.subscriber is not None else 0

    # --- polling ---
    def _poll(self) -> None:
        subscriber = self.subscriber
        if subscriber is None or self._open_poll is not None:
            return
        step = subscriber.next(self.now)
        if isinstance(step, SendPoll):
            self._send(step)
        else:
            self.schedule_wake(step.until, self._poll)
        self._schedule_tick()

    def _send(self, send_poll: SendPoll) -> None:
        open_poll = self._open_poll = OpenPoll(send_poll.address, self.now)
        self._last_address = send_poll.address
        incarnation_number = self.incarnation_number

        def on_reply(reply: Message | None) -> None:
            if incarnation_number == self.incarnation_number:
                self.deliver(lambda: self._replied(open_poll, reply))

        open_poll.exchange = self.world.network.request(
            self.name, send_poll.address, send_poll.poll, on_reply
        )
        timeout = self.for_current_process(lambda: self._timed_out(open_poll))
        self.simulation.schedule_after(self.clock.world_duration(send_poll.timeout_s), timeout)

    def _timed_out(self, open_poll: OpenPoll) -> None:
        if self._open_poll is open_poll and open_poll.exchange is not None:
            self.world.network.abandon(open_poll.exchange)
            self._replied(open_poll, None)

    def _replied(self, open_poll: OpenPoll, reply: Message | None) -> None:
        subscriber = self.subscriber
        if self._open_poll is not open_poll or subscriber is None:
            return
        self._open_poll = None
        poll_reply = reply if isinstance(reply, PollReply) else None
        effects = subscriber.replied(self.now, open_poll.sent_at, open_poll.address, poll_reply)
        self._execute(effects, poll_reply)
        self._poll()

    def _schedule_tick(self) -> None:
        if self.subscriber is not None:
            self.schedule_wake(self.subscriber.next_at, self._tick)

    def _tick(self) -> None:
        if self.subscriber is not None:
            self._execute(self.subscriber.tick(self.now), None)
            self._poll()

    # --- effects ---
    def _execute(self, effects: list[Effect], poll_reply: PollReply | None) -> None:
        base = 0
        for effect in effects:
            match effect:
                case InvalidateAll():
                    assert poll_reply is not None and poll_reply.snapshot is not None
                    base = poll_reply.snapshot.base.position
                    self.world.on_invalidated(self, base)
                case Apply(batch):
                    # A batch at the base holds the snapshot's configuration.
                    if batch.position != base:
                        self.world.on_batch_applied(self, log_entry(batch))
                case SequenceGap(expected, received):
                    self.world.note(
                        f"  {self.name} finds a gap: {expected} expected, {received} came"
                    )
                case BecameStale() | BecameFresh():
                    self.world.note(f"  {self.name} {type(effect).__name__} at {self.position}")
