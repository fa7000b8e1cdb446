"""asyncio's selector loop on simulated sockets, with a clock that jumps to the next event.

Tasks, futures, timers, protocols, streams and transports are CPython's.  Only the selector, the
clock, signals and asyncio's own creation of sockets are replaced.
"""

from __future__ import annotations

import asyncio
import random
import selectors
from collections.abc import Callable, Mapping
from typing import Any

from .kernel import Kernel
from .sockets import VirtualSocket

# More iterations without progress of the clock are reported as a livelock.
MAX_TURNS_AT_ONE_INSTANT = 20_000


class Livelock(Exception):
    """The program keeps running callbacks although the clock does not advance."""


class Deadlock(Exception):
    """The program waits although no timer and no packet is pending."""


class VirtualSelector(selectors.BaseSelector):
    """Polls simulated sockets; instead of sleeping it advances the clock."""

    def __init__(self, kernel: Kernel, shuffle: random.Random | None = None) -> None:
        self._kernel, self._shuffle = kernel, shuffle
        self._keys: dict[int, selectors.SelectorKey] = {}
        self._turns_at_instant = 0
        self.before_poll: Callable[[], None] | None = None  # called before each poll
        self.turns = 0  # number of polls
        self.first: set[int] = set()  # descriptors that are reported before all others

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        if number in self._keys:
            raise KeyError(f"{number} is registered")
        key = self._keys[number] = selectors.SelectorKey(fileobj, number, events, data)
        self._kernel.to_check[number] = None
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Forget the descriptor.  Raises KeyError if it is not registered."""
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._keys.pop(number)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Replace events and data of a descriptor; the next poll checks whether it is ready."""
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = self._keys[number] = selectors.SelectorKey(fileobj, number, events, data)
        self._kernel.to_check[number] = None
        return key

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """The key of a registered descriptor or file object.  Raises KeyError."""
        return self._keys[fileobj if isinstance(fileobj, int) else fileobj.fileno()]

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """The keys by descriptor: the selector's own mapping, not a copy."""
        return self._keys

    def close(self) -> None:
        self._keys.clear()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock until a socket is ready or `timeout` s have passed.

        Raises Deadlock if nothing is scheduled and there is no timeout, and Livelock if the clock
        has not advanced in MAX_TURNS_AT_ONE_INSTANT calls.
        """
        kernel = self._kernel
        self.turns += 1
        if kernel.charged_meters:
            kernel.end_turns()
        if self.before_poll is not None:
            self.before_poll()
        until = None if timeout is None else kernel.now + max(0.0, timeout)
        start = kernel.now
        while True:
            kernel.deliver()
            ready = self._ready()
            if ready or kernel.woken or (until is not None and until <= kernel.now):
                kernel.woken = False
                break
            next_packet_at = kernel.next_at
            if next_packet_at is None and until is None:
                raise Deadlock(f"nothing is due at {kernel.now:.6f}")
            if next_packet_at is None or (until is not None and until < next_packet_at):
                assert until is not None
                kernel.now = until
            else:
                kernel.now = next_packet_at
        self._turns_at_instant = 0 if kernel.now > start else self._turns_at_instant + 1
        if self._turns_at_instant > MAX_TURNS_AT_ONE_INSTANT:
            raise Livelock(f"{MAX_TURNS_AT_ONE_INSTANT} turns at {kernel.now:.6f}")
        if self._shuffle is not None and len(ready) > 1:
            self._shuffle.shuffle(ready)  # a real poll reports in any order
        if self.first and len(ready) > 1:
            ready.sort(key=lambda item: item[0].fd not in self.first)
        return ready

    def _ready(self) -> list[tuple[selectors.SelectorKey, int]]:
        """The registered sockets that are ready; all others are removed from `to_check`."""
        ready = []
        to_check, sockets = self._kernel.to_check, self._kernel.sockets
        for number in list(to_check):
            key, sock = self._keys.get(number), sockets.get(number)
            if sock is not None and sock.owner in self._kernel.paused:
                continue  # checked again when its process resumes
            mask = sock.ready() & key.events if key is not None and sock is not None else 0
            if mask and key is not None:
                ready.append((key, mask))
            else:
                del to_check[number]
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop of one simulation; all of its processes share it and its clock."""

    def __init__(self, kernel: Kernel, shuffle: random.Random | None = None) -> None:
        self.kernel = kernel
        self.poll = VirtualSelector(kernel, shuffle)
        self._signals: dict[int, Callable[[], object]] = {}
        super().__init__(self.poll)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """The virtual time in seconds, which advances only while the loop polls."""
        return self.kernel.now

    # No self-pipe, since no other thread wakes this loop.
    def _make_self_pipe(self) -> None:
        self._ssock = self._csock = None

    def _close_self_pipe(self) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Any, *args: Any
    ) -> Any:
        """Raise RuntimeError, since a simulation has no threads."""
        raise RuntimeError("a simulation has no threads")

    # --- signals ---
    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Set the callback that `deliver_signal` calls; real signals are not handled."""
        self._signals[sig] = lambda: callback(*args)

    def remove_signal_handler(self, sig: int) -> bool:
        """Remove the callback of a signal; return whether there was one."""
        return self._signals.pop(sig, None) is not None

    def deliver_signal(self, sig: int) -> None:
        """Call the signal's handler in the loop's next iteration."""
        if sig in self._signals:
            self.call_soon(self._signals[sig])

    # --- replaced creation of sockets ---
    def _create_socket(self) -> Any:
        return self.kernel.socket()

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Connect a simulated socket; `options` are ignored.  Raises OSError."""
        sock = self._create_socket()
        try:
            await self.sock_connect(sock, (host, port))
        except BaseException:
            sock.close()
            raise
        return await self._create_connection_transport(  # type: ignore[attr-defined]
            sock, protocol_factory, None, ""
        )

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Connect to a literal address without a timeout.  Raises OSError."""
        if sock.connect_ex(address) == 0:
            return
        done = self.create_future()
        self.add_writer(sock.fileno(), self._writable, done)
        number = sock.fileno()
        try:
            await done
        finally:
            self.remove_writer(number)
        error = sock.getsockopt(1, 4)  # SOL_SOCKET, SO_ERROR
        if error:
            raise OSError(error, f"connect to {address}")

    @staticmethod
    def _writable(done: asyncio.Future[None]) -> None:
        if not done.done():
            done.set_result(None)

    async def create_server(
        self,
        protocol_factory: Any,
        host: Any = None,
        port: Any = None,
        *,
        backlog: int = 100,
        **options: Any,
    ) -> Any:
        """Listen on a simulated socket and start serving at once; `options` are ignored."""
        sock: VirtualSocket = self._create_socket()
        sock.bind((host or "127.0.0.1", port or 0))
        sockets: list[Any] = [sock]
        server = asyncio.base_events.Server(self, sockets, protocol_factory, None, backlog, None)
        server._start_serving()  # type: ignore[attr-defined]
        await asyncio.sleep(0)
        return server
