"""The seam to the kernel: streams, listening, clocks and the turns of the loop.

`seam` is what the rest of the daemon knows: small protocols, each promise written where it is
made.  `stream` and `sockets` keep them on real sockets.  Nothing else under `violetroute/`
imports `socket`, `select`, `selectors`, `time` or `signal` or touches a transport of asyncio (the
start-up, which owns the process's signals, excepted); `tests/repository/test_layout.py` holds it
to that.
"""

from .address import Address, parse_address
from .interfaces import Handler, ListeningSocket, Network, Stream
from .loop_lag import Turns

__all__ = ["Address", "Handler", "ListeningSocket", "Network", "Stream", "Turns", "parse_address"]
