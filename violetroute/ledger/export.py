"""Formats batches for export and interprets a billing endpoint's responses.  Pure.

The protocol of a billing endpoint:

- One POST per batch, of JSON lines: the first describes the batch, the others are its units.
- `Idempotency-Key` (IETF draft-ietf-httpapi-idempotency-key-header): the batch's key, the same for
  each attempt.  2xx: accepted, now or before.  409: an attempt with this key is still in progress.
  422: the key was used with another body, which is a bug of the exporter; the batch is held.
- `Ledger-After`: the key of this ledger's previous batch.  412 if the endpoint's last batch from
  this ledger is another one; the body then has that batch and the periods of the batches after
  the one in the header: {"last": KEY, "periods": [UNIX SECONDS, ...]}.  So a ledger whose disk was
  restored or lost learns about its later batches before anything is billed twice.
- 429 and 503 may have `Retry-After`.  These, any 3xx, other 4xx or 5xx, and a missing response lead
  to a later retry.  Redirects are never followed, since usage data is confidential.
"""

from __future__ import annotations

import csv
import io
import random
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, Literal

import msgspec

from .accounts import Batch

MAX_RETRY_AFTER = 3600.0  # s; a longer Retry-After is cut to this
SLOW_RETRY_WAIT = 60.0  # s; shortest wait after a response that a retry rarely changes
MAX_KEY_CHARS = 400  # longest key in a 412 response
MAX_FORK_PERIODS = 100_000  # most periods in a 412 response


def idempotency_key(batch: Batch) -> str:
    """The batch's key as a string of a structured HTTP header."""
    return '"' + batch.key.replace("\\", "").replace('"', "") + '"'


def batch_header(batch: Batch) -> dict[str, Any]:
    """The first row of an exported batch."""
    return {
        "batch": batch.key,
        "seq": batch.seq,
        "kind": batch.kind,
        "period": batch.period,
        "begins": datetime.fromtimestamp(batch.period, UTC).isoformat(),
        "lines": len(batch.lines),
        "units": batch.units,
        **({"signed": batch.reason} if batch.reason and batch.state != "held" else {}),
    }


def json_lines(batch: Batch) -> bytes:
    """The batch as JSON lines; always the same bytes for the same batch."""
    rows: list[Any] = [batch_header(batch)]
    rows += [{"tenant": tenant, "class": cls, "units": units} for tenant, cls, units in batch.lines]
    return b"".join(msgspec.json.encode(row) + b"\n" for row in rows)


def csv_lines(batch: Batch) -> bytes:
    """The batch as CSV.  A cell that a spreadsheet would evaluate gets a leading apostrophe."""
    text = io.StringIO()
    writer = csv.writer(text)
    writer.writerow(("batch", "kind", "period", "tenant", "class", "units"))
    begins = datetime.fromtimestamp(batch.period, UTC).isoformat()
    for tenant, cls, units in batch.lines:
        writer.writerow(
            (
                _cell(batch.key),
                batch.kind,
                begins,
                "(others)" if tenant is None else _cell(tenant),
                _cell(cls),
                units,
            )
        )
    return text.getvalue().encode("utf-8", "replace")


def _cell(text: str) -> str:
    return "'" + text if text[:1] in ("=", "+", "-", "@", "\t", "\r", "'", "(") else text


def file_name(batch: Batch) -> str:
    """The name of a batch's file: from its key, which has the ledger's name and no tenant's."""
    safe = "".join(c if c.isalnum() or c in "._-" else "_" for c in batch.key)
    return safe.lstrip(".")


@dataclass(frozen=True, slots=True)
class ExportResult:
    """The result of one attempt to export a batch."""

    outcome: Literal["done", "again", "held", "fork"]
    reason: str = ""
    wait: float = 0.0  # s; shortest wait before the next attempt
    last: str = ""  # "fork": the key of the endpoint's last batch
    periods: tuple[int, ...] = ()


class SignedCorrections(msgspec.Struct, forbid_unknown_fields=True):
    """A file of corrections: who signed it, and lines of period, tenant, class and units."""

    by: str
    lines: list[tuple[int, str | None, str, int]]


class _Fork(msgspec.Struct):
    last: str = ""
    periods: list[int] = []


def interpret_response(status: int, headers: Mapping[str, str], body: bytes) -> ExportResult:
    """The meaning of a response.  Header names are in lower case.  Never raises."""
    if 200 <= status < 300:
        return ExportResult("done")
    if status == 412:
        try:
            fork = msgspec.json.decode(body, type=_Fork)
        except msgspec.DecodeError:
            return ExportResult("again", "412 with an invalid body", SLOW_RETRY_WAIT)
        is_plain = fork.last.isascii() and fork.last.isprintable() and '"' not in fork.last
        if not is_plain or len(fork.last) > MAX_KEY_CHARS:  # it is sent in a header
            return ExportResult("again", "412 with an invalid key", SLOW_RETRY_WAIT)
        if len(fork.periods) > MAX_FORK_PERIODS:
            return ExportResult("again", "412 with too many periods", SLOW_RETRY_WAIT)
        return ExportResult(
            "fork", "the endpoint knows a later batch", last=fork.last, periods=tuple(fork.periods)
        )
    if status == 422:
        return ExportResult("held", "the endpoint has this key with other contents")
    if status == 409:
        return ExportResult("again", "409: an earlier attempt is in progress")
    if status in (429, 503):
        return ExportResult(
            "again", f"answered {status}", _retry_after(headers.get("retry-after", ""))
        )
    return ExportResult("again", f"answered {status}", 0.0 if status >= 500 else SLOW_RETRY_WAIT)


def _retry_after(text: str) -> float:
    return min(MAX_RETRY_AFTER, float(text)) if text.isdecimal() and len(text) < 10 else 0.0


class Backoff:
    """Retry waits: they double with jitter from the seed, and a success resets them."""

    def __init__(self, first: float, max_wait: float, seed: str) -> None:
        self._first, self._max_wait = first, max_wait
        self._random = random.Random(seed)
        self.failures = 0

    def succeeded(self) -> None:
        """Reset the wait."""
        self.failures = 0

    def failed(self, at_least: float) -> float:
        """Seconds until the next attempt, `at_least` or more."""
        ceiling = min(self._max_wait, self._first * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return max(at_least, ceiling / 2.0 + self._random.uniform(0.0, ceiling / 2.0))
