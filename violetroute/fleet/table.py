"""`[fleet]` of the operator's file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from violetroute.transport.tls import TlsFiles

Seconds = Annotated[float, msgspec.Meta(ge=0.05, le=86_400.0)]
WorkName = Annotated[str, msgspec.Meta(pattern="^[a-z][a-z0-9-]{0,63}$")]


class FleetTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[fleet]`: off while `store` is.  `works` changes with SIGHUP, the rest at the next start."""

    store: Literal["off", "folder", "consul"] = "off"  # where leases and logs live
    folder: str = ""  # of "folder": shared by the processes of one machine
    agents: tuple[str, ...] = ()  # of "consul": "ADDRESS:PORT", asked in turn when one fails
    prefix: str = "limebridge"  # of "consul": the keys' beginning
    token_file: str = ""
    tls_ca_file: str = ""
    tls_cert_file: str = ""
    tls_key_file: str = ""
    tls_name: str = ""
    works: tuple[WorkName, ...] = ()  # that this proxy is ready to own; "settlement", "beat-..."
    # Of a lease; with "consul" a session's TTL, of which Consul takes 10 s at least unless its
    # own settings say otherwise.
    term_s: Annotated[float, msgspec.Meta(ge=0.2, le=86_400.0)] = 15.0
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = 0.05  # by which clocks' rates differ
    look_s: Seconds = 1.0  # between two looks at the store; with "consul" one look waits for news
    call_s: Seconds = 3.0  # for one answer of the store
    move_s: Seconds = 60.0  # at least between two works that are handed on for balance
    # Between two entries of the example work.
    beat_s: Annotated[float, msgspec.Meta(ge=0.01, le=86_400.0)] = 5.0
    endpoint: str = ""  # "ADDRESS:PORT" that is posted each bill and each beat; "" is none
    path: str = "/v1/effects"
    wait_s: Seconds = 900.0  # that settlement waits for a proxy that has not closed a period
    expect_s: Seconds = 86_400.0  # after which a proxy that closes no period is not waited for

    @property
    def tls(self) -> TlsFiles:
        return TlsFiles(self.tls_ca_file, self.tls_cert_file, self.tls_key_file, self.tls_name)
