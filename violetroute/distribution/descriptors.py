"""Connection limits of a control machine, derived from its limit of file descriptors.

The lease store, the log and the connections to other machines need descriptors as well.  If
accepted connections could use the last one, the lease would expire, and the next log segment could
not be opened, which ends the process.  The number of connections is therefore bounded at start-up.

Proxies may use only a part of them.  Other control machines and commands must be able to connect
to a machine with too many proxies, since a leader could lose its majority otherwise.
"""

from __future__ import annotations

import resource
from dataclasses import dataclass

from .http_client import CLIENTS_PER_ADDRESS
from .http_server import MAX_CONNECTIONS

# Standard streams, event loop, listeners, clients of the local socket, lease store, log.
RESERVED_DESCRIPTORS = 64
COMMAND_CONNECTIONS = 16  # reserved for `limebridge control`
PROXY_CONNECTIONS_MIN = 32  # a control machine with fewer would be useless


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Maximum connections of a control machine, and of these, concurrent polls of proxies."""

    connections: int
    proxies: int


def soft_limit() -> int:
    """Returns the soft limit of descriptors.

    Without a limit it is a number that suffices for MAX_CONNECTIONS and all reserves.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 2 * MAX_CONNECTIONS if soft == resource.RLIM_INFINITY else soft


def connection_bounds(descriptors: int, machines: int) -> ConnectionBounds:
    """Returns the limits for a process with `descriptors`, in a group of `machines`.

    Raises ValueError, with a one-line message, if there are too few descriptors.
    """
    # Inbound from the other machines, and as many outbound.
    peers = CLIENTS_PER_ADDRESS * (machines - 1)
    connections = min(MAX_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS - peers)
    proxies = connections - peers - COMMAND_CONNECTIONS
    if proxies < PROXY_CONNECTIONS_MIN:
        needed = descriptors + PROXY_CONNECTIONS_MIN - proxies
        raise ValueError(
            f"the soft limit of descriptors (ulimit -n) is {descriptors}; "
            f"{machines} control machines need at least {needed}"
        )
    return ConnectionBounds(connections, proxies)
