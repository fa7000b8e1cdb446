"""The ledger as a part of the daemon: hears of served requests, writes, exports.

Decisions are the book's; this file has the timers and the order of things:

- what is decided is applied to the book at once and then written; while a write is under way or has
  failed, everything waits in the tally, which is bounded, and requests go on;
- a batch is heard of outside only when the record that says so is on the disk;
- after a write that failed the whole book is written anew, until that succeeds.
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
from .export import Backoff, Said, Signed, json_lines
from .files import Files, Folder, folder_name
from .frames import Record
from .outbox import hand_over, mark
from .periods import Periods
from .post import post
from .store import Found, Store, open_or_set_aside, tell_salvaged
from .table import LedgerTable
from .tally import Tally

AGAIN = 1.0  # s until a disk that failed, or a folder that is another's, is tried again
LOOK = 5.0  # s between looks for corrections that were signed
ALIVE = 30.0  # s without a write after which one says that nothing was missed
RETIRE = 3600.0  # s between looks for what is too old
AT_THE_END = 2.0  # s for the last write


class Ledger:
    """One proxy's.  `name` is the proxy's; its folder is made of it."""

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
        self.name = name = folder_name(name)  # it stands in keys and headers too
        folder = Path(table.folder) / name
        self._files = files() if files is not None else Folder(folder)
        self._writer: Writer = writer or ThreadWriter(net.loop)
        self._periods = Periods(table.zone, table.period_min)
        self._tally = Tally(table.tenants_most, table.ids)
        self._book = Book(self._periods, table.grace_s)
        self._store = Store(self._files, name)
        self._nonce = nonce or secrets.token_hex(6)
        self._began = net.wall()
        self.state = "opening"  # open, failed (its disk), elsewhere (locked), closed
        self._busy = False
        self._unwritten: list[Record] = []  # decided, in their order
        self._ids: dict[int, bytearray] = {}
        self._closed: list[tuple[int, bytes]] = []  # to be archived with the next write
        self._gone: list[str] = []  # files that nobody needs after it
        self._wrote_at = self._retired_at = self._looked_at = self._loop.time()
        self._post: HttpCall | None = None
        self._backoff = Backoff(table.retry_s, table.retry_most_s, f"{name}/{self._nonce}")
        self._next_try = 0.0
        self._keys = TlsKeys(table.tls) if table.tls_ca_file else None
        self._timer: Any = None
        self._told_folded, self._told_folded_at = 0, 0.0
        self._marked = 0.0  # up to when it was said that all is closed
        self._open()

    def served(self, tenant: str, cls: str, id_: bytes) -> None:
        """A client was given its served answer."""
        self._tally.add(self._periods.of(self._net.wall()), tenant, cls, id_)

    # --- opening ---
    def _open(self) -> None:
        self._busy, self.state = True, "opening"
        book, store, files, name = self._book, self._store, self._files, self.name
        wall, nonce = self._began, self._nonce

        def job() -> Found | None:
            if not files.lock():
                return None
            found = open_or_set_aside(store, files, book)
            for record in book.begin(name, nonce, wall):
                book.apply(record)
            store.rewrite(book.checkpoint())
            return found

        self._writer.submit(job, self._opened)

    def _opened(self, found: Found | None, error: BaseException | None) -> None:
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
            tell_salvaged(found)
            for period, of in self._book.counts.items():
                self._tally.knows(period, {name: None for name, _ in of if name is not None})
            logs.event(
                "ledger.open",
                incarnation=self._book.incarnation,
                batches=len(self._book.batches),
                gaps=len(self._book.gaps),
            )
        self._again()

    def _again(self) -> None:
        if self._timer is None and self.state != "closed":
            wait = self.table.flush_s if self.state == "open" else AGAIN
            self._timer = self._loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if not self._busy:
            if self.state == "open" and self._loop.time() - self._looked_at > LOOK:
                self._look()
            elif self.state == "open":
                self._flush()
                self._spill()
                self._export()
                if self.table.closings:
                    self._mark()
            elif self.state == "failed" and self._book.name:
                self._rewrite()
            else:
                self._open()
        self._again()

    # --- corrections that an operator has signed ---
    def _look(self) -> None:
        self._busy, self._looked_at = True, self._loop.time()
        self._writer.submit(self._store.signed, self._signed)

    def _signed(self, files: dict[str, bytes] | None, error: BaseException | None) -> None:
        self._busy = False
        names = tuple(files or ())
        for name, data in (files or {}).items():
            try:
                signed = msgspec.json.decode(data, type=Signed)
                self._decide(self._book.signed(name, signed.by, signed.lines))
            except msgspec.DecodeError as wrong:
                logs.event("ledger.held", batch=name, why=f"no corrections: {wrong}")
        if names and self.state == "open":
            store = self._store

            def forget() -> None:
                self._busy = True
                self._writer.submit(lambda: store.forget(names), forgotten)

            def forgotten(_: None, error: BaseException | None) -> None:
                self._busy = False

            self._write(then=forget)

    # --- writing ---
    def _decide(self, records: list[Record]) -> bool:
        """Take on what the book has decided; whether it was anything."""
        for record in records:
            self._book.apply(record)
        self._unwritten += records
        return bool(records)

    def _count(self) -> None:
        units, ids = self._tally.take()
        self._decide(self._book.counted(self._net.wall(), units))
        for period, of in ids.items():
            self._ids.setdefault(period, bytearray()).extend(of)

    def _flush(self) -> None:
        """What was counted, and what has fallen due."""
        self._count()
        self._decide(self._book.cut(self._net.wall()))
        if not self._unwritten and self._loop.time() - self._wrote_at >= ALIVE:
            self._decide(self._book.alive(self._net.wall()))
        now = self._loop.time()
        if self._tally.folded > self._told_folded and now - self._told_folded_at > ALIVE:
            logs.event("ledger.folded", units=self._tally.folded - self._told_folded)
            self._told_folded, self._told_folded_at = self._tally.folded, now
        if self._unwritten or self._closed:
            self._write()

    def _write(self, then: Callable[[], None] | None = None) -> None:
        """All that was decided; `then` once it is on the disk."""
        self._busy = True
        store, now = self._store, self._loop.time()
        records, self._unwritten = self._unwritten, []
        ids, self._ids = self._ids, {}
        closed, self._closed = self._closed, []
        gone, self._gone = self._gone, []
        checkpoint = self._book.checkpoint() if store.grown else None
        retire = now - self._retired_at > RETIRE
        if retire:
            self._retired_at = now
        before = self._net.wall() - self.table.retain_days * 86_400.0

        def job() -> None:
            store.commit(records, ids, closed)
            store.forget(gone)
            if checkpoint is not None:
                store.rewrite(checkpoint)
            if retire:
                store.retire(before)

        def told(_: None, error: BaseException | None) -> None:
            self._busy = False
            self._wrote_at = self._loop.time()
            if error is not None:
                # The records are in the book, and so in what is written next.
                self._closed = closed + self._closed
                for period, of in self._ids.items():
                    ids.setdefault(period, bytearray()).extend(of)
                self._ids = ids
                self._failed(error)
            elif then is not None and self.state == "open":
                then()

        self._writer.submit(job, told)

    def _rewrite(self) -> None:
        """All of the book into a new file: the one before is not believed any more."""
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

    # --- lines that wait in files ---
    def _spill(self) -> None:
        """The record says so only once the file is there; one that is left over is harmless."""
        records = self._book.spills()
        if not records or self._busy:
            return
        self._busy = True
        store = self._store
        lines = [(seq, list(self._book.batches[seq].lines)) for _, seq in records]

        def job() -> None:
            for seq, of in lines:
                store.spill(seq, of)

        def told(_: None, error: BaseException | None) -> None:
            self._busy = False
            if error is not None:
                self._failed(error)
            elif self.state == "open":
                self._decide(records)
                self._write()

        self._writer.submit(job, told)

    def _bring(self, batch: Batch) -> None:
        self._busy = True
        store, seq = self._store, batch.seq

        def told(lines: list[Any] | None, error: BaseException | None) -> None:
            self._busy = False
            if isinstance(error, OSError) and not isinstance(error, FileNotFoundError):
                self._failed(error)
            elif error is not None:
                logs.event("ledger.held", batch=batch.key, why=str(error))
                self._decide(self._book.holds(seq, f"its lines can't be read: {error}"))
            else:
                self._decide(self._book.returns(seq, lines or ()))

        self._writer.submit(lambda: store.spilled(seq), told)

    def _mark(self) -> None:
        """For who settles the periods of several ledgers: this one has closed so far."""
        until = self._book.through(self._net.wall())
        if self._busy or until <= self._marked:
            return
        self._busy, folder, name = True, Path(self.table.export_folder), self.name

        def told(_: None, error: BaseException | None) -> None:
            self._busy, self._marked = False, self._marked if error is not None else until

        self._writer.submit(lambda: mark(folder, name, until), told)

    # --- exporting ---
    def _export(self) -> None:
        """The next batch, if it is time; nobody hears of one that is not on the disk."""
        batch = self._book.due
        if (
            batch is None
            or self._busy
            or self._post is not None
            or self.table.export == "off"
            or self._loop.time() < self._next_try
        ):
            return
        if batch.away is not None:
            self._bring(batch)
            return
        self._decide(self._book.sends(batch.seq))
        go = self._to_files if self.table.export == "files" else self._send
        if self._unwritten:
            self._write(then=lambda: go(batch))
        else:
            go(batch)

    def _to_files(self, batch: Batch) -> None:
        self._busy = True
        folder, formats = Path(self.table.export_folder), self.table.formats

        def told(_: None, error: BaseException | None) -> None:
            self._busy = False
            answer = Said("done") if error is None else Said("again", one_line(error))
            self._said(batch, answer)

        self._writer.submit(lambda: hand_over(folder, batch, formats), told)

    def _send(self, batch: Batch) -> None:
        def done(answer: Said) -> None:
            self._post = None
            self._said(batch, answer)

        self._post = post(self._net, self.table, self._keys, batch, self._book.last, done)

    def _said(self, batch: Batch, answer: Said) -> None:
        if self.state == "closed" or batch.seq not in self._book.batches:
            return
        book = self._book
        if answer.what == "done":
            self._backoff.succeeded()
            self._decide(book.confirms(batch.seq))
            self._closed.append((batch.period, json_lines(batch)))
            self._gone.append(f"batch-{batch.seq}")
        elif answer.what == "held":
            logs.event("ledger.held", batch=batch.key, why=answer.why)
            self._decide(book.holds(batch.seq, answer.why))
        elif answer.what == "fork":
            held = sum(each.state == "held" for each in book.batches.values())
            self._decide(book.adopts(answer.last, answer.periods, self._net.wall()))
            held = sum(each.state == "held" for each in book.batches.values()) - held
            logs.event("ledger.fork", last=answer.last, held=held)
        else:
            wait = self._backoff.failed(answer.wait)
            self._next_try = self._loop.time() + wait
            logs.event(
                "ledger.not_exported", batch=batch.key, why=answer.why, wait_s=round(wait, 1)
            )
        if self._unwritten and not self._busy and self.state == "open":
            self._write()

    # --- the end ---
    async def close(self) -> None:
        """The last write; what is not written by AT_THE_END is named by the next start as a gap."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._post is not None:
            self._post.stop()
            self._post = None
        until = self._loop.time() + AT_THE_END
        while self._busy and self._loop.time() < until:
            await asyncio.sleep(0.01)
        if self.state == "open" and not self._busy:
            self._count()
            self._decide(self._book.ends(self._net.wall()))
            self._write()
            while self._busy and self._loop.time() < until:
                await asyncio.sleep(0.01)
        self.state = "closed"
        self._writer.close(max(0.0, until - self._loop.time()))
        if not self._busy:
            self._files.close()
