"""The transport layer: streams, datagrams, listening sockets, clocks and event loop timing.

The rest of the daemon uses the protocols in `interfaces`; `stream`, `sockets` and `datagrams`
implement them on real sockets.  No other module of `violetroute` imports `socket`, `select`,
`selectors`, `time` or `signal`, or uses asyncio transports, except the start-up, which handles
signals; `tests/repository/test_layout.py` checks this.
"""

from .address import Address, parse_address
from .interfaces import Handler, ListeningSocket, Network, Stream
from .loop_lag import Turns

__all__ = ["Address", "Handler", "ListeningSocket", "Network", "Stream", "Turns", "parse_address"]
