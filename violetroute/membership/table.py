"""The tables `[membership]` and `[consul]` of the operator's settings file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from violetroute.transport.tls import TlsFiles

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=3600.0)]


Source = Literal["consul", "platform", "file"]


class MembershipTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The sources of the list of nodes, by precedence.  Reloaded on SIGHUP."""

    sources: tuple[Source, ...] = ()  # empty: Consul if [consul] has agents, else the platform
    file: str = ""  # path of the source "file": a list in the platform's form
    # Interval of the checks for a changed file.
    file_every_s: Annotated[float, msgspec.Meta(ge=0.02, le=0.4)] = 0.2
    patience_s: Seconds = 15.0  # time for which an unavailable source stays current
    settle_s: Seconds = 5.0  # time that a recovered source must be up to be current again
    least_match: Share = 0.5  # fraction of the last source's nodes that the next must list


class ConsulTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Consul as a source; off without agents.  Reloaded on SIGHUP, which may switch sources."""

    agents: tuple[str, ...] = ()  # "ADDRESS:PORT"; when one fails, the next is used
    service: str = "cache"
    datacenter: str = ""
    namespace: str = ""
    tag: str = ""  # only instances with this tag
    filter: str = ""  # Consul's filter expression
    near: str = ""  # sort by round trip time from this node; _agent: the agent's node
    consistency: Literal["default", "stale", "consistent"] = "default"
    endpoint: Literal["health", "catalog"] = "health"  # "catalog" has no checks
    cached: bool = False  # use the agent's cache, up to stale_within_s old
    stale_within_s: Seconds = 10.0  # max time since the server's last contact with its leader
    token_file: str = ""  # read before each request, so it can rotate; never logged
    tls_ca_file: str = ""  # CA of the agents, turns TLS on; read again when it changes
    tls_cert_file: str = ""  # client certificate, if agents require one
    tls_key_file: str = ""
    tls_name: str = ""  # name in an agent's certificate; default: its address
    wait_s: Seconds = 10.0  # time for which a query without a change stays open
    least_interval_s: Seconds = 0.1  # minimum between two requests
    body_mb: Annotated[float, msgspec.Meta(ge=0.01, le=256.0)] = 16.0  # max size of an answer
    floor: Share = 0.5  # fraction critical at once above which health is ignored
    return_s: Seconds = 1.0  # wait of a flapping node before it returns; doubles
    return_most_s: Seconds = 30.0
    cold_after_s: Seconds = 5.0  # a node critical for this long counts as restarted
    drain_tag: str = "draining"  # marks a drain, like Consul's maintenance mode
    zone_meta: str = "zone"  # keys of the service's Meta
    kind_meta: str = "machine_type"
    cell_meta: str = "cell"
    started_meta: str = "started_at_ms"  # holds Unix ms of the last start

    @property
    def service_key(self) -> tuple[str, ...]:
        """What makes the answers of two tables comparable: the same nodes, by the same index."""
        return (
            self.service,
            self.datacenter,
            self.namespace,
            self.tag,
            self.filter,
            self.endpoint,
        )

    @property
    def max_body_bytes(self) -> int:
        """The largest body of an answer in bytes."""
        return round(self.body_mb * 1024 * 1024)

    @property
    def tls(self) -> TlsFiles:
        """The TLS files for calls to the agents; without a CA file the calls are plain HTTP."""
        return TlsFiles(self.tls_ca_file, self.tls_cert_file, self.tls_key_file, self.tls_name)
