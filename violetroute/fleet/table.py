"""The `[fleet]` table of the operator's file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from violetroute.transport.tls import TlsFiles

Seconds = Annotated[float, msgspec.Meta(ge=0.05, le=86_400.0)]
WorkName = Annotated[str, msgspec.Meta(pattern="^[a-z][a-z0-9-]{0,63}$")]


class FleetTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[fleet]`; `store = "off"` turns it off.  SIGHUP applies `works`, a restart the rest."""

    store: Literal["off", "folder", "consul"] = "off"  # where leases and logs are kept
    folder: str = ""  # for "folder": the folder that the processes of one machine share
    agents: tuple[str, ...] = ()  # for "consul": "ADDRESS:PORT"; a failure selects the next
    prefix: str = "limebridge"  # for "consul": prefix of all keys
    token_file: str = ""
    tls_ca_file: str = ""
    tls_cert_file: str = ""
    tls_key_file: str = ""
    tls_name: str = ""
    works: tuple[WorkName, ...] = ()  # candidate for: "settlement", "beat-NAME"
    # Term of a lease.  With "consul" the TTL of the session, which has to be at least 10 s by
    # Consul's default settings.
    term_s: Annotated[float, msgspec.Meta(ge=0.2, le=86_400.0)] = 15.0
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = 0.05  # max error of a clock's rate
    look_s: Seconds = 1.0  # s between two polls; with "consul" a poll waits for a change
    call_s: Seconds = 3.0  # timeout of one call to the store or the endpoint
    move_s: Seconds = 60.0  # minimum time between two transfers for balance
    # Between two entries of the example work.
    beat_s: Annotated[float, msgspec.Meta(ge=0.01, le=86_400.0)] = 5.0
    endpoint: str = ""  # "ADDRESS:PORT" that each entry is posted to; "": none
    path: str = "/v1/effects"
    wait_s: Seconds = 900.0  # time that a bill waits for missing ledgers after its period ends
    expect_s: Seconds = 86_400.0  # a ledger that closed nothing for so long is not awaited

    @property
    def tls(self) -> TlsFiles:
        """The TLS files for Consul."""
        return TlsFiles(self.tls_ca_file, self.tls_cert_file, self.tls_key_file, self.tls_name)
