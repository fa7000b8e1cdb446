"""`[ledger]` of the operator's file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from violetroute.transport.tls import TlsFiles

Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=86_400.0)]


class LedgerTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[ledger]`: off while `folder` is empty.  Taken on at the next start."""

    folder: str = ""  # where it is kept, one folder a proxy; made if it is not there
    zone: str = "UTC"  # whose clock and calendar cut the periods
    period_min: Literal[5, 10, 15, 30, 60] = 15
    grace_s: Seconds = 60.0  # from a period's end until it closes; what comes later is a correction
    flush_s: Annotated[float, msgspec.Meta(ge=0.01, le=60.0)] = 0.5  # between two writes
    tenants_most: Annotated[int, msgspec.Meta(ge=10, le=100_000)] = 2000  # by name in one period;
    #                      the others are counted together
    ids: bool = False  # keep a hash of each request's id, for a dispute
    retain_days: Annotated[int, msgspec.Meta(ge=1, le=4000)] = 400  # of closed periods
    export: Literal["off", "files", "http"] = "off"
    export_folder: str = ""  # of "files"
    formats: tuple[Literal["csv", "jsonl"], ...] = ("jsonl",)
    closings: bool = False  # of "files": NAME.through says up to when all is closed
    endpoint: str = ""  # of "http": "ADDRESS:PORT", no names
    path: str = "/v1/usage"
    compress: bool = True  # zstd, where the endpoint takes it
    timeout_s: Seconds = 10.0  # of one post
    retry_s: Seconds = 1.0  # wait after a first failure; doubles, with jitter
    retry_most_s: Seconds = 300.0
    tls_ca_file: str = ""
    tls_cert_file: str = ""
    tls_key_file: str = ""
    tls_name: str = ""

    @property
    def tls(self) -> TlsFiles:
        return TlsFiles(self.tls_ca_file, self.tls_cert_file, self.tls_key_file, self.tls_name)
