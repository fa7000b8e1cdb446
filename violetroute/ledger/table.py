"""The table `[ledger]` of the operator's settings file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from violetroute.transport.tls import TlsFiles

Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=86_400.0)]


class LedgerTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[ledger]`: off while `folder` is empty.  Changes apply at the next start."""

    folder: str = ""  # contains one folder per proxy; created if missing
    zone: str = "UTC"  # time zone of the period boundaries
    period_min: Literal[5, 10, 15, 30, 60] = 15
    grace_s: Seconds = 60.0  # time from a period's end to its closing; later units are corrections
    flush_s: Annotated[float, msgspec.Meta(ge=0.01, le=60.0)] = 0.5  # interval of writes
    # Tenants counted by name in one period; the others are counted together.
    tenants_most: Annotated[int, msgspec.Meta(ge=10, le=100_000)] = 2000
    ids: bool = False  # store a hash of each request's id, for disputes
    # Days after which the archive of a closed period is deleted.
    retain_days: Annotated[int, msgspec.Meta(ge=1, le=4000)] = 400
    export: Literal["off", "files", "http"] = "off"
    export_folder: str = ""  # folder of the export "files"
    formats: tuple[Literal["csv", "jsonl"], ...] = ("jsonl",)
    closings: bool = False  # with "files": write NAME.through, until when all is closed
    endpoint: str = ""  # "ADDRESS:PORT" of the export "http", no host names
    path: str = "/v1/usage"
    compress: bool = True  # send zstd; the endpoint has to support it
    timeout_s: Seconds = 10.0  # timeout of one POST
    retry_s: Seconds = 1.0  # wait after the first failure; doubles, with jitter
    retry_most_s: Seconds = 300.0
    tls_ca_file: str = ""
    tls_cert_file: str = ""
    tls_key_file: str = ""
    tls_name: str = ""

    @property
    def tls(self) -> TlsFiles:
        """The TLS files for calls to the endpoint; without a CA file the calls are plain HTTP."""
        return TlsFiles(self.tls_ca_file, self.tls_cert_file, self.tls_key_file, self.tls_name)
