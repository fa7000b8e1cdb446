"""How many connections a control machine accepts, by its process's limit of descriptors.

The lease's store, the log and the connections to the other machines need descriptors as well.  If
accepted connections could take the last one, the lease would lapse and the next segment of the log
could not be opened, which ends the process.  So the number of connections is bounded at the start.

Proxies have a part of them only: the other control machines and commands must find room at a
machine that more proxies ask than it can serve, or a leader could lose its majority by it.
"""

from __future__ import annotations

import resource
from dataclasses import dataclass

from .http_client import CLIENTS_PER_ADDRESS
from .http_server import MAX_CONNECTIONS

RESERVED_DESCRIPTORS = 64  # standard streams, loop, listeners, callers of the local socket, the
#                            lease's store, the log
COMMAND_CONNECTIONS = 16  # of `limebridge control`
PROXY_CONNECTIONS_MIN = 32  # with room for fewer a control machine is of no use


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Of one control machine.  `proxies`: of these, for polls that are under way."""

    connections: int
    proxies: int


def soft_limit() -> int:
    """Descriptors that this process may have; twice MAX_CONNECTIONS if there is no limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 2 * MAX_CONNECTIONS if soft == resource.RLIM_INFINITY else soft


def connection_bounds(descriptors: int, machines: int) -> ConnectionBounds:
    """For a process that may have so many descriptors, one of so many control machines.

    ValueError, one line, where they are too few.
    """
    peers = CLIENTS_PER_ADDRESS * (machines - 1)  # connections that they open, and as many to them
    connections = min(MAX_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS - peers)
    proxies = connections - peers - COMMAND_CONNECTIONS
    if proxies < PROXY_CONNECTIONS_MIN:
        needed = descriptors + PROXY_CONNECTIONS_MIN - proxies
        raise ValueError(
            f"the soft limit of descriptors (ulimit -n) is {descriptors}; "
            f"{machines} control machines need at least {needed}"
        )
    return ConnectionBounds(connections, proxies)
