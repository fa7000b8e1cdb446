"""The daemon as a simulated process: started, drained by SIGTERM, killed or paused.

The whole simulation runs on one event loop.  The daemon's callbacks are recognised by their module
(`violetroute`) and its sockets by their owner.  A kill removes them from the loop at any instant.
A pause delays them, as if the process got no CPU.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from limebridge.rules.checker import MIN_DETECTABLE_PAUSE_S
from violetroute.clients import Listener
from violetroute.config import Config
from violetroute.proxy import Proxy
from violetroute.transport import Address, Turns
from violetroute.transport.sockets import SocketNetwork

from .costs import Costs, Meter, MeteredBalancer, ProcessLoop
from .kernel import Kernel
from .loop import VirtualLoop
from .net import network

if TYPE_CHECKING:  # older builds under test have no such module
    from violetroute.sharing.service import Sharing

OWNER = "proxy"
DRAIN_SLACK = 0.05  # s, as in the daemon's start-up


class VirtualTurns(Turns):
    """Counts the daemon's loop iterations and reports pauses of its process.

    A pause is reported before the daemon handles the events that arrived meanwhile.  Without a
    meter an iteration takes no time, so `readable_for` and `elapsed` are 0.
    """

    def __init__(self, loop: VirtualLoop, meter: Meter | None = None) -> None:
        super().__init__()
        self._loop, self._meter = loop, meter
        self._callback: Callable[[float], None] | None = None
        self._paused_for, self._paused_turn = 0.0, -1

    @property
    def count(self) -> int:
        return self._loop.poll.turns if self._meter is None else self._meter.turns

    def readable_for(self, now: float) -> float:
        return 0.0 if self._meter is None else max(0.0, now - self._meter.readable_at)

    def elapsed(self, now: float) -> float:
        return 0.0 if self._meter is None else max(0.0, now - self._meter.turn_at)

    @property
    def paused_for(self) -> float:
        return self._paused_for if self._paused_turn == self.count else 0.0

    def call_on_pause(self, callback: Callable[[float], None]) -> None:
        self._callback = callback

    def prefer(self, descriptor: int, on: bool) -> None:
        (self._loop.poll.first.add if on else self._loop.poll.first.discard)(descriptor)

    def resumed(self, seconds: float) -> None:
        """Report a pause if it is MIN_DETECTABLE_PAUSE_S or longer, as TurnSelector does."""
        if seconds >= MIN_DETECTABLE_PAUSE_S:
            self._paused_for, self._paused_turn = seconds, self.count
            if self._callback is not None:
                self._callback(seconds)


class Process:
    """Successive runs of the daemon under one owner name."""

    def __init__(
        self,
        kernel: Kernel,
        loop: VirtualLoop,
        clock: Callable[[], float],
        owner: str = OWNER,
        costs: Costs | None = None,
    ) -> None:
        self.owner = owner
        self._kernel, self._loop = kernel, loop
        self._clock = clock
        self.state = "down"  # or "up" or "draining"
        self.paused_until = 0.0  # s
        self._draining: asyncio.Task[None] | None = None
        self.meter = None if costs is None else Meter(kernel, loop, owner, costs)
        # Creates the sharing service of each new run from this process and its network.
        self.create_sharing: Callable[[Process, SocketNetwork], Sharing] | None = None
        self.sharing: Sharing | None = None

    def start(self, config: Config, port: int = 0) -> int:
        """Start the daemon as its start-up code does; return the listening port.

        `port`: the port to listen at; 0: that of the configuration.
        """
        self._turns = VirtualTurns(self._loop, self.meter)
        loop: Any = self._loop if self.meter is None else ProcessLoop(self._loop, self.meter)
        net = network(self._kernel, self.owner, loop, self._clock, self._turns)
        self.proxy_config = config
        self.proxy = Proxy(config, net)
        if self.meter is not None:
            metered: Any = MeteredBalancer(self.proxy._balancer, self.meter)
            self.proxy._balancer = self.proxy._admission.balancer = metered
        self.listener = Listener(
            self.proxy, config.client_sockets, config.client_memory_bytes, net, config.limits
        )
        listen = Address(config.listen.host, port or config.listen.port)
        self.state = "up"
        self._drain_time = config.longest_deadline + DRAIN_SLACK
        self.sharing = None if self.create_sharing is None else self.create_sharing(self, net)
        return self.listener.start(listen).port

    async def term(self) -> bool:
        """Send SIGTERM and wait for the exit; False if the process was killed meanwhile."""
        self.state = "draining"
        self._draining = self._loop.create_task(self._drain())
        await asyncio.wait([self._draining])
        return not self._draining.cancelled()

    async def _drain(self) -> None:
        if self.sharing is not None:
            self.sharing.leave()
        await self.listener.drain(self._drain_time)
        self.proxy.close()
        if self.sharing is not None:
            self.sharing.close()
        await asyncio.sleep(0.01)
        self.state = "down"

    def leftovers_after_exit(self) -> dict[str, int]:
        """Resources still held after the exit, without timers, which end with the process."""
        leftovers = self.leftovers()
        leftovers.pop("timers")
        leftovers["requests"] = sum(
            "answered" not in state for state in self.proxy.request_states()
        )
        self._cancel_callbacks()
        return leftovers

    def _cancel_callbacks(self) -> None:
        for handle in [*self._loop._ready, *self._loop._scheduled]:  # type: ignore[attr-defined]
            if is_daemon_callback(handle):
                handle.cancel()

    def kill(self) -> None:
        """Send SIGKILL: all callbacks are cancelled and the kernel resets the connections."""
        self._reject_metered()
        if self._draining is not None:
            self._draining.cancel()
        self._cancel_callbacks()
        for sock in [sock for sock in self._kernel.sockets.values() if sock.owner == self.owner]:
            number = sock.fileno()
            self._loop.remove_reader(number)
            self._loop.remove_writer(number)
            sock.abort()
        self.state = "down"
        self.paused_until = 0.0
        self._kernel.paused.pop(self.owner, None)

    def pause(self, seconds: float) -> None:
        """Delay all timers and events of the process by `seconds`; its sockets still receive."""
        self._reject_metered()
        now = self._kernel.now
        until = self.paused_until = now + seconds
        for timer in self._loop._scheduled:  # type: ignore[attr-defined]
            if is_daemon_callback(timer) and timer._when < until:
                timer._when = until
        heapq.heapify(self._loop._scheduled)  # type: ignore[attr-defined]
        self._kernel.paused[self.owner] = until
        self._kernel.at(until, lambda: self._resume(until, seconds))

    def _reject_metered(self) -> None:
        """Reject a metered process: `kill` and `pause` do not see the callbacks in the meter."""
        if self.meter is not None:
            raise NotImplementedError("a metered process can't be killed or paused")

    def _resume(self, until: float, seconds: float) -> None:
        if self.paused_until == until:
            del self._kernel.paused[self.owner]
            self._kernel.touch_all(self.owner)
            self._turns.resumed(seconds)

    def leftovers(self) -> dict[str, int]:
        """Resources still held, by name; all must be 0 after the exit."""
        return {
            "requests": self.proxy.open_requests,
            "descriptors": self._kernel.held(self.owner),
            "connections": self.listener.connections,
            "bytes of the budget": self.listener.budget.used,
            "timers": sum(
                isinstance(handle, asyncio.TimerHandle) and is_daemon_callback(handle)
                for handle in self._loop._scheduled  # type: ignore[attr-defined]
            ),
        }


def is_daemon_callback(handle: asyncio.Handle) -> bool:
    """Whether this is a pending callback of the daemon's code."""
    callback = handle._callback  # type: ignore[attr-defined]
    module = getattr(callback, "__module__", "") or ""
    return not handle.cancelled() and module.startswith("violetroute")
