"""What a batch looks like outside, and what an endpoint's answer means.  Pure.

The convention towards a billing endpoint, all of it published:

- one POST a batch: JSON lines, the first of which is the batch itself, the others its units;
- `Idempotency-Key` (IETF draft-ietf-httpapi-idempotency-key-header): the batch's key, the same for
  each try.  2xx: taken, now or before.  409: a try with this key is still under way.  422: the key
  was used with another body, which is a fault of ours: the batch is held;
- `Ledger-After`: the key of this ledger's batch before.  412 when it is not the last that the
  endpoint has from this ledger; its body tells that one and the periods of the batches behind ours:
  {"last": KEY, "periods": [UNIX SECONDS, ...]}.  So a ledger whose disk was restored or lost learns
  of its later life before anything is billed twice;
- 429 and 503 with `Retry-After`; any 3xx, other 4xx or 5xx, and every end without an answer: tried
  again later.  A redirection is never followed: what stands in a ledger is nobody else's business.
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

MAX_RETRY_AFTER = 3600.0  # s for which an endpoint's word is heeded
CLIENT_ERROR_RETRY = 60.0  # s at least after an answer that another try will hardly change
MAX_KEY_CHARS = 400  # characters of a key
MAX_FORK_PERIODS = 100_000  # of a 412


def idempotency_key(batch: Batch) -> str:
    """As a structured header's string."""
    return '"' + batch.key.replace("\\", "").replace('"', "") + '"'


def batch_header(batch: Batch) -> dict[str, Any]:
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
    """The same bytes for the same batch, whoever asks and however often."""
    rows: list[Any] = [batch_header(batch)]
    rows += [{"tenant": tenant, "class": cls, "units": units} for tenant, cls, units in batch.lines]
    return b"".join(msgspec.json.encode(row) + b"\n" for row in rows)


def csv_lines(batch: Batch) -> bytes:
    """For a spreadsheet: a cell that it would run begins with an apostrophe instead."""
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
    """Of a batch's file.  The ledger's own name is the operator's; no tenant is in it."""
    safe = "".join(c if c.isalnum() or c in "._-" else "_" for c in batch.key)
    return safe.lstrip(".")


@dataclass(frozen=True, slots=True)
class ExportResult:
    """What came of one try."""

    outcome: Literal["done", "again", "held", "fork"]
    reason: str = ""
    wait: float = 0.0  # s before the next try, at least
    last: str = ""  # of a fork
    periods: tuple[int, ...] = ()


class SignedCorrections(msgspec.Struct, forbid_unknown_fields=True):
    """A file of corrections: who signed them; period, tenant, class and units of each."""

    by: str
    lines: list[tuple[int, str | None, str, int]]


class _Fork(msgspec.Struct):
    last: str = ""
    periods: list[int] = []


def interpret_response(status: int, headers: Mapping[str, str], body: bytes) -> ExportResult:
    """Header names in small letters.  Never raises."""
    if 200 <= status < 300:
        return ExportResult("done")
    if status == 412:
        try:
            fork = msgspec.json.decode(body, type=_Fork)
        except msgspec.DecodeError:
            return ExportResult("again", "412 that tells nothing", CLIENT_ERROR_RETRY)
        plain = fork.last.isascii() and fork.last.isprintable() and '"' not in fork.last
        if not plain or len(fork.last) > MAX_KEY_CHARS:  # it becomes a header of ours
            return ExportResult("again", "412 with no key", CLIENT_ERROR_RETRY)
        if len(fork.periods) > MAX_FORK_PERIODS:
            return ExportResult("again", "412 that tells too much", CLIENT_ERROR_RETRY)
        return ExportResult(
            "fork", "the endpoint knows a later batch", last=fork.last, periods=tuple(fork.periods)
        )
    if status == 422:
        return ExportResult("held", "the endpoint has this key with other contents")
    if status == 409:
        return ExportResult("again", "409: a try before is under way")
    if status in (429, 503):
        return ExportResult(
            "again", f"answered {status}", _retry_after(headers.get("retry-after", ""))
        )
    return ExportResult("again", f"answered {status}", 0.0 if status >= 500 else CLIENT_ERROR_RETRY)


def _retry_after(text: str) -> float:
    return min(MAX_RETRY_AFTER, float(text)) if text.isdecimal() and len(text) < 10 else 0.0


class Backoff:
    """When to try next: doubling, with full jitter from the seed, reset by a success."""

    def __init__(self, first: float, most: float, seed: str) -> None:
        self._first, self._most = first, most
        self._random = random.Random(seed)
        self.failures = 0

    def succeeded(self) -> None:
        self.failures = 0

    def failed(self, at_least: float) -> float:
        """Seconds until the next try."""
        ceiling = min(self._most, self._first * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return max(at_least, ceiling / 2.0 + self._random.uniform(0.0, ceiling / 2.0))
