"""The daemon's usage ledger: counts served requests, writes the log and exports batches.

`Book` makes the decisions; this module runs the timers and orders writes and exports:

- A record is applied to the book, then written. While a write runs or has failed, new units wait
  in the bounded `UsageCounters`, and requests are served as usual.
- A batch is exported only after its "sent" record is on disk.
- After a failed write the whole book is written to a new log file, until that succeeds.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from violetroute import logs
from violetroute.error_text import one_line
from violetroute.transport import Network
from violetroute.transport.http_call import HttpCall
from violetroute.transport.tls import TlsKeys
from violetroute.transport.writer import ThreadWriter, Writer

from .accounts import Batch, Book
from .counters import UsageCounters
from .export import Backoff, ExportResult, SignedCorrections, json_lines
from .files import Files, Folder, folder_name
from .frames import Record
from .outbox import write_batch, write_closed_until
from .periods import Periods
from .post import post
from .store import Recovery, Store, log_recovery, open_or_rename
from .table import LedgerTable

RETRY_INTERVAL = 1.0  # s between retries on a failed disk or a locked folder
CHECK_INTERVAL = 5.0  # s between checks for files of signed corrections
HEARTBEAT_INTERVAL = 30.0  # s without a write until an "alive" record is written
RETENTION_INTERVAL = 3600.0  # s between deletions of files older than `retain_days`
CLOSE_TIMEOUT = 2.0  # s that `close` waits for the last write


class Ledger:
    """The ledger of one proxy.  The folder's name is made from `name`, the proxy's name."""

    def __init__(
        self,
        table: LedgerTable,
        name: str,
        net: Network,
        files: Callable[[], Files] | None = None,
        writer: Writer | None = None,
        nonce: str = "",
    ) -> None:
        self.table, self._net, self._loop = table, net, net.loop
        self.name = name = folder_name(name)  # also used in batch keys and HTTP headers
        folder = Path(table.folder) / name
        self._files = files() if files is not None else Folder(folder)
        self._writer: Writer = writer or ThreadWriter(net.loop)
        self._periods = Periods(table.zone, table.period_min)
        self._counters = UsageCounters(table.tenants_most, table.ids)
        self._book = Book(self._periods, table.grace_s)
        self._store = Store(self._files, name)
        self._nonce = nonce or secrets.token_hex(6)
        self._opened_at = net.wall()
        self.state = "opening"  # open, failed (disk), elsewhere (locked by another), closed
        self._busy = False
        self._unwritten: list[Record] = []  # applied to the book, in order
        self._ids: dict[int, bytearray] = {}
        self._closed: list[tuple[int, bytes]] = []  # batches to archive at the next write
        self._obsolete: list[str] = []  # files to delete at the next write
        self._wrote_at = self._cleaned_at = self._checked_at = self._loop.time()
        self._post: HttpCall | None = None
        self._backoff = Backoff(table.retry_s, table.retry_most_s, f"{name}/{self._nonce}")
        self._retry_at = 0.0
        self._keys = TlsKeys(table.tls) if table.tls_ca_file else None
        self._timer: Any = None
        self._logged, self._logged_at = 0, 0.0  # last "ledger.folded": total, loop time
        self._published = 0.0  # Unix s that the last NAME.through file states
        self._open()

    def served(self, tenant: str, cls: str, id_: bytes) -> None:
        """Count one request whose answer was sent to its client."""
        self._counters.add(self._periods.of(self._net.wall()), tenant, cls, id_)

    def _open(self) -> None:
        self._busy, self.state = True, "opening"
        book, store, files, name = self._book, self._store, self._files, self.name
        wall, nonce = self._opened_at, self._nonce

        def job() -> Recovery | None:
            if not files.lock():
                return None
            found = open_or_rename(store, files, book)
            for record in book.begin_records(name, nonce, wall):
                book.apply(record)
            store.rewrite(book.checkpoint())
            return found

        self._writer.submit(job, self._opened)

    def _opened(self, found: Recovery | None, error: BaseException | None) -> None:
        self._busy = False
        if self.state == "closed":
            return
        if error is not None:
            self._book = Book(self._periods, self.table.grace_s)
            self._failed(error)
        elif found is None:
            self.state = "elsewhere"
            logs.event("ledger.locked", folder=self.table.folder)
        else:
            self.state = "open"
            log_recovery(found)
            for period, keys in self._book.unbatched_units.items():
                self._counters.restore(period, {name: None for name, _ in keys if name is not None})
            logs.event(
                "ledger.open",
                incarnation=self._book.incarnation,
                batches=len(self._book.batches),
                gaps=len(self._book.gaps),
            )
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self._timer is None and self.state != "closed":
            wait = self.table.flush_s if self.state == "open" else RETRY_INTERVAL
            self._timer = self._loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if not self._busy:
            if self.state == "open" and self._loop.time() - self._checked_at > CHECK_INTERVAL:
                self._read_corrections()
            elif self.state == "open":
                self._flush()
                self._spill()
                self._export()
                if self.table.closings:
                    self._write_closed_until()
            elif self.state == "failed" and self._book.name:
                self._rewrite()
            else:
                self._open()
        self._schedule_tick()

    # --- corrections signed by an operator ---
    def _read_corrections(self) -> None:
        self._busy, self._checked_at = True, self._loop.time()
        self._writer.submit(self._store.read_corrections, self._signed)

    def _signed(self, files: dict[str, bytes] | None, error: BaseException | None) -> None:
        self._busy = False
        names = tuple(files or ())
        for name, data in (files or {}).items():
            try:
                signed = msgspec.json.decode(data, type=SignedCorrections)
                self._apply(self._book.correction_records(name, signed.by, signed.lines))
            except msgspec.DecodeError as wrong:
                logs.event("ledger.held", batch=name, why=f"not a file of corrections: {wrong}")
        if names and self.state == "open":
            store = self._store

            def remove() -> None:
                self._busy = True
                self._writer.submit(lambda: store.remove_files(names), removed)

            def removed(_: None, error: BaseException | None) -> None:
                self._busy = False

            self._write(then=remove)

    # --- writing ---
    def _apply(self, records: list[Record]) -> bool:
        """Apply records and queue them for the next write.  Returns whether there are any."""
        for record in records:
            self._book.apply(record)
        self._unwritten += records
        return bool(records)

    def _count(self) -> None:
        units, ids = self._counters.collect()
        self._apply(self._book.usage_records(self._net.wall(), units))
        for period, hashes in ids.items():
            self._ids.setdefault(period, bytearray()).extend(hashes)

    def _flush(self) -> None:
        """Write new units and the batches that are due."""
        self._count()
        self._apply(self._book.batch_records(self._net.wall()))
        if not self._unwritten and self._loop.time() - self._wrote_at >= HEARTBEAT_INTERVAL:
            self._apply(self._book.heartbeat_records(self._net.wall()))
        now = self._loop.time()
        if self._counters.others > self._logged and now - self._logged_at > HEARTBEAT_INTERVAL:
            logs.event("ledger.folded", units=self._counters.others - self._logged)
            self._logged, self._logged_at = self._counters.others, now
        if self._unwritten or self._closed:
            self._write()

    def _write(self, then: Callable[[], None] | None = None) -> None:
        """Write all queued records.  `then` is called once they are on disk."""
        self._busy = True
        store, now = self._store, self._loop.time()
        records, self._unwritten = self._unwritten, []
        ids, self._ids = self._ids, {}
        closed, self._closed = self._closed, []
        obsolete, self._obsolete = self._obsolete, []
        checkpoint = self._book.checkpoint() if store.segment_full else None
        delete_old = now - self._cleaned_at > RETENTION_INTERVAL
        if delete_old:
            self._cleaned_at = now
        before = self._net.wall() - self.table.retain_days * 86_400.0

        def job() -> None:
            store.commit(records, ids, closed)
            store.remove_files(obsolete)
            if checkpoint is not None:
                store.rewrite(checkpoint)
            if delete_old:
                store.remove_older_than(before)

        def written(_: None, error: BaseException | None) -> None:
            self._busy = False
            self._wrote_at = self._loop.time()
            if error is not None:
                # The records are in the book, so the checkpoint that is written next has them.
                self._closed = closed + self._closed
                for period, hashes in self._ids.items():
                    ids.setdefault(period, bytearray()).extend(hashes)
                self._ids = ids
                self._failed(error)
            elif then is not None and self.state == "open":
                then()

        self._writer.submit(job, written)

    def _rewrite(self) -> None:
        """Write a checkpoint to a new file; after a failed write the old file isn't trusted."""
        self._busy, self._unwritten = True, []
        store, checkpoint = self._store, self._book.checkpoint()
        self._writer.submit(lambda: store.rewrite(checkpoint), self._rewritten)

    def _rewritten(self, _: None, error: BaseException | None) -> None:
        self._busy = False
        if error is not None:
            self._failed(error)
        elif self.state == "failed":
            self.state = "open"
            logs.event("ledger.written_again")

    def _failed(self, error: BaseException) -> None:
        if self.state != "closed":
            self.state = "failed"
            logs.event("ledger.unwritten", reason=one_line(error))

    # --- batches whose lines are in files ---
    def _spill(self) -> None:
        """Move batch lines to files, each written before its record (a file alone is harmless)."""
        records = self._book.spill_records()
        if not records or self._busy:
            return
        self._busy = True
        store = self._store
        lines = [(seq, list(self._book.batches[seq].lines)) for _, seq in records]

        def job() -> None:
            for seq, batch_lines in lines:
                store.write_lines(seq, batch_lines)

        def written(_: None, error: BaseException | None) -> None:
            self._busy = False
            if error is not None:
                self._failed(error)
            elif self.state == "open":
                self._apply(records)
                self._write()

        self._writer.submit(job, written)

    def _load_lines(self, batch: Batch) -> None:
        self._busy = True
        store, seq = self._store, batch.seq

        def loaded(lines: list[Any] | None, error: BaseException | None) -> None:
            self._busy = False
            if isinstance(error, OSError) and not isinstance(error, FileNotFoundError):
                self._failed(error)
            elif error is not None:
                logs.event("ledger.held", batch=batch.key, why=str(error))
                self._apply(self._book.held_records(seq, f"its lines can't be read: {error}"))
            else:
                self._apply(self._book.restore_records(seq, lines or ()))

        self._writer.submit(lambda: store.read_lines(seq), loaded)

    def _write_closed_until(self) -> None:
        """Tell the fleet's settlement up to which time all periods here are closed."""
        until = self._book.closed_until(self._net.wall())
        if self._busy or until <= self._published:
            return
        self._busy, folder, name = True, Path(self.table.export_folder), self.name

        def written(_: None, error: BaseException | None) -> None:
            self._busy, self._published = False, self._published if error is not None else until

        self._writer.submit(lambda: write_closed_until(folder, name, until), written)

    # --- exporting ---
    def _export(self) -> None:
        """Export the next batch if it is due, after its "sent" record is on disk."""
        batch = self._book.next_batch
        if (
            batch is None
            or self._busy
            or self._post is not None
            or self.table.export == "off"
            or self._loop.time() < self._retry_at
        ):
            return
        if batch.spilled_units is not None:
            self._load_lines(batch)
            return
        self._apply(self._book.sent_records(batch.seq))
        export = self._to_files if self.table.export == "files" else self._send
        if self._unwritten:
            self._write(then=lambda: export(batch))
        else:
            export(batch)

    def _to_files(self, batch: Batch) -> None:
        self._busy = True
        folder, formats = Path(self.table.export_folder), self.table.formats

        def written(_: None, error: BaseException | None) -> None:
            self._busy = False
            answer = (
                ExportResult("done") if error is None else ExportResult("again", one_line(error))
            )
            self._handle_result(batch, answer)

        self._writer.submit(lambda: write_batch(folder, batch, formats), written)

    def _send(self, batch: Batch) -> None:
        def done(answer: ExportResult) -> None:
            self._post = None
            self._handle_result(batch, answer)

        self._post = post(self._net, self.table, self._keys, batch, self._book.last_key, done)

    def _handle_result(self, batch: Batch, answer: ExportResult) -> None:
        if self.state == "closed" or batch.seq not in self._book.batches:
            return
        book = self._book
        if answer.outcome == "done":
            self._backoff.succeeded()
            self._apply(book.confirmed_records(batch.seq))
            self._closed.append((batch.period, json_lines(batch)))
            self._obsolete.append(f"batch-{batch.seq}")
        elif answer.outcome == "held":
            logs.event("ledger.held", batch=batch.key, why=answer.reason)
            self._apply(book.held_records(batch.seq, answer.reason))
        elif answer.outcome == "fork":
            held = sum(each.state == "held" for each in book.batches.values())
            self._apply(book.adopt_records(answer.last, answer.periods, self._net.wall()))
            held = sum(each.state == "held" for each in book.batches.values()) - held
            logs.event("ledger.fork", last=answer.last, held=held)
        else:
            wait = self._backoff.failed(answer.wait)
            self._retry_at = self._loop.time() + wait
            logs.event(
                "ledger.not_exported", batch=batch.key, why=answer.reason, wait_s=round(wait, 1)
            )
        if self._unwritten and not self._busy and self.state == "open":
            self._write()

    async def close(self) -> None:
        """Write what is left.  If that takes over CLOSE_TIMEOUT, the next start records a gap."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._post is not None:
            self._post.stop()
            self._post = None
        until = self._loop.time() + CLOSE_TIMEOUT
        while self._busy and self._loop.time() < until:
            await asyncio.sleep(0.01)
        if self.state == "open" and not self._busy:
            self._count()
            self._apply(self._book.end_records(self._net.wall()))
            self._write()
            while self._busy and self._loop.time() < until:
                await asyncio.sleep(0.01)
        self.state = "closed"
        self._writer.close(max(0.0, until - self._loop.time()))
        if not self._busy:
            self._files.close()
