"""Sends batches to the billing endpoint, by the protocol that `export` describes."""

from __future__ import annotations

from collections.abc import Callable

from violetroute.transport import Network, parse_address
from violetroute.transport.http_call import HttpCall
from violetroute.transport.tls import TlsKeys

from .accounts import Batch
from .export import ExportResult, idempotency_key, interpret_response, json_lines
from .store import compress
from .table import LedgerTable


def post(
    net: Network,
    table: LedgerTable,
    keys: TlsKeys | None,
    batch: Batch,
    last: str,
    done: Callable[[ExportResult], None],
) -> HttpCall:
    """POST a batch.  `last`: the key of the batch confirmed before it.

    `done` is called once, with the result of the answer, or with "again" if there is none.
    """
    body = json_lines(batch)
    headers = {
        "Idempotency-Key": idempotency_key(batch),
        "Ledger-After": f'"{last}"',
        "Content-Type": "application/x-ndjson",
    }
    if table.compress:
        body = compress(body)
        headers["Content-Encoding"] = "zstd"

    def answered(status: int, response_headers: dict[str, str], answer: bytes, why: str) -> None:
        done(
            interpret_response(status, response_headers, answer)
            if status
            else ExportResult("again", why)
        )

    return HttpCall(
        net,
        parse_address(table.endpoint),
        keys,
        table.timeout_s,
        table.path,
        headers,
        body,
        answered,
    )
