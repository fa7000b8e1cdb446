"""Deterministic simulation: clock, event loop and network in memory run the daemon's code.

`kernel` simulates sockets and `loop` the event loop.  asyncio's transports and tasks, the daemon
and the stand-ins run on them unchanged.
"""

from .kernel import Kernel
from .loop import Deadlock, Livelock, VirtualLoop
from .network import Link
from .sockets import VirtualSocket

__all__ = ["Deadlock", "Kernel", "Link", "Livelock", "VirtualLoop", "VirtualSocket"]
