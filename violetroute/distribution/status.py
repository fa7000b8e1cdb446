"""Status of a proxy's subscription and of a control machine, for introspection.  Data only.

Encoded as JSON objects with these keys; see `docs/operators/distribution.md`.
"""

from __future__ import annotations

import msgspec

from .traffic import Traffic


class ServiceStatus(msgspec.Struct, frozen=True):
    """Status of a proxy's subscription: its position, freshness and traffic."""

    name: str
    incarnation: str  # this process's incarnation
    position: int  # position of the last applied batch
    fresh: bool
    as_of_age_s: float | None  # everything committed this long ago is applied; None: unknown
    asks: str  # address of the control machine whose poll is in flight; "" between two polls
    # Purges, invalidations of everything and configuration records since the start.
    purges: int
    voids: int
    configurations: int
    bytes_in: int  # bytes of HTTP since the start
    bytes_out: int
    polls: int
    failed: int  # polls without a valid answer


class ControlStatus(msgspec.Struct, frozen=True):
    """Status of a control machine; the traffic is counted since its start."""

    leading: bool
    connections: int  # accepted and still open
    connections_max: int
    polls: int  # polls of proxies that are not answered yet
    polls_max: int
    server: Traffic  # requests to this machine
    client: Traffic  # requests from this machine to other control machines
