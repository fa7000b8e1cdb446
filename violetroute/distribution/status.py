"""What a proxy's service and a control machine say to who looks in from their machine.  Data only.

They are answered as JSON objects with these keys; see `docs/operators/distribution.md`.
"""

from __future__ import annotations

import msgspec

from .traffic import Traffic


class ServiceStatus(msgspec.Struct, frozen=True):
    """The proxy's side: what is applied, and whom it asks."""

    name: str
    incarnation: str  # of this process
    position: int  # everything up to it is applied
    fresh: bool
    as_of_age_s: float | None  # everything committed so long ago is applied; None: not known
    asks: str  # the control machine of the poll that is under way; "" between two polls
    purges: int  # records that the receiver was handed, since the start; so are the next two
    voids: int
    configurations: int
    bytes_in: int  # of HTTP, since the start
    bytes_out: int
    polls: int
    failed: int  # polls without an answer that counts


class ControlStatus(msgspec.Struct, frozen=True):
    """A control machine: connections and traffic, since its start."""

    leading: bool
    connections: int  # accepted and open
    connections_max: int
    polls: int  # of proxies, under way
    polls_max: int
    server: Traffic  # requests that it answered
    client: Traffic  # requests that it sent to other control machines
