"""What the daemon says of itself: events with names and fields, one line each.

An event has a stable name, so that a log can be searched and counted by it, and its figures
stand in fields and not within a sentence.  All of them are in EVENTS; `docs/operators/logs.md`
tells an operator what to do about each, and a test holds the two together.

The standard library's logging carries them, since libraries and the loop speak through it too
(structlog took 6.7 MB more at rest, of 32; see `docs/design/transport.md`).  Lines of one event are
limited by the second: what one cause can say for each request must not cost more than the
requests.  What was held back is counted, and told with the next line of that event.
"""

from __future__ import annotations

import logging
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from .config.operator import LogTable

NAME = "violetroute"
MAX_FIELD = 300  # characters of a field
MAX_TRACE = 1500  # of a traceback, whose end tells most
FOREIGN = "library.message"  # what others say through the standard library's logging
DROPPED = "log.dropped"


@dataclass(frozen=True, slots=True)
class Event:
    level: int
    says: str
    fields: tuple[str, ...] = ()


EVENTS = {
    "admission.limited": Event(
        logging.WARNING,
        "more is asked than comes back in time, the rest is refused",
        ("of", "a_second"),
    ),
    "admission.open": Event(logging.INFO, "all that is asked is let in again"),
    "config.reloaded": Event(
        logging.INFO, "the configuration was read again", ("discovery", "operator", "origin")
    ),
    "config.restart_needed": Event(
        logging.WARNING, "a restart is needed to change these", ("keys",)
    ),
    "config.unknown_keys": Event(
        logging.WARNING, "the platform's file has keys not known here", ("keys",)
    ),
    "config.unusable": Event(
        logging.ERROR, "not reloaded, the old configuration stays", ("reason",)
    ),
    "consul.doubted": Event(
        logging.WARNING, "many nodes vanished at once, asking the leader", ("count",)
    ),
    "consul.emptied": Event(
        logging.ERROR, "the catalogue is empty, the last list holds", ("count",)
    ),
    "consul.entries_left_out": Event(logging.WARNING, "instances make no sense", ("count",)),
    "consul.failed": Event(
        logging.WARNING, "no answer that counts, the last list holds", ("reason", "agent", "age_s")
    ),
    "consul.panic": Event(
        logging.WARNING, "too many critical at once, health is not believed", ("floor",)
    ),
    "control.cannot_lead": Event(
        logging.WARNING, "has the lease and cannot lead, hands it on", ("reason",)
    ),
    "control.ended": Event(logging.INFO, "has ended", ("machine",)),
    "control.ends": Event(logging.ERROR, "the control process has to end", ("reason",)),
    "control.fault": Event(logging.ERROR, "a fault of ours in the control process", ("what",)),
    "control.no_majority": Event(
        logging.WARNING, "too few machines follow, hands the lease on", ("fence",)
    ),
    "control.notice": Event(logging.WARNING, "the control machine says", ("what", "text")),
    "control.recovered": Event(
        logging.INFO, "has recovered what a lost disk held", ("fence", "position")
    ),
    "control.reloaded": Event(logging.INFO, "has read [log] of its file again", ("file",)),
    "control.serves": Event(logging.INFO, "serves", ("address", "machine")),
    "control.term_began": Event(logging.INFO, "leads from now on", ("fence",)),
    "control.term_ended": Event(logging.INFO, "leads no more", ("fence",)),
    "daemon.drained": Event(logging.INFO, "has drained", ("proxy",)),
    "daemon.drains": Event(logging.INFO, "drains", ("proxy",)),
    "daemon.fault": Event(logging.ERROR, "a fault of ours in a callback", ("what",)),
    "daemon.listens": Event(logging.INFO, "listens on", ("address", "proxy")),
    "daemon.long_turn": Event(
        logging.WARNING, "the event loop was busy with one turn", ("ms", "doing", "open")
    ),
    "daemon.paused": Event(logging.INFO, "the process stood still", ("ms",)),
    "clients.accept_failed": Event(logging.WARNING, "cannot accept", ("reason",)),
    "clients.left_open": Event(logging.WARNING, "connections were open at the end", ("count",)),
    "discovery.entries_left_out": Event(
        logging.WARNING, "entries of the list make no sense", ("count",)
    ),
    "discovery.watch_ended": Event(logging.INFO, "the watch ended", ("reason",)),
    "distribution.configuration_refused": Event(
        logging.ERROR, "a published table is refused, the old one stays", ("position", "reason")
    ),
    "distribution.fresh": Event(logging.INFO, "knows all that was committed lately", ("behind_s",)),
    "distribution.gap": Event(
        logging.WARNING, "an answer does not follow, asked again", ("expected", "got")
    ),
    "distribution.refused": Event(
        logging.WARNING, "connections or requests were refused", ("reason", "count")
    ),
    "distribution.skipped": Event(
        logging.WARNING, "records of a topic that this build does not know", ("topic", "count")
    ),
    "distribution.snapshot": Event(
        logging.WARNING, "too far behind, everything cached before is void", ("position", "reason")
    ),
    "distribution.stale": Event(
        logging.WARNING, "may lack what is in force elsewhere", ("behind_s",)
    ),
    "distribution.unreachable": Event(
        logging.WARNING, "a control machine gives no answer", ("address", "reason", "count")
    ),
    "fleet.fenced": Event(
        logging.WARNING, "an effect was refused, a later term has begun there", ("work", "fence")
    ),
    "fleet.gained": Event(logging.INFO, "owns this work from now on", ("work", "fence")),
    "fleet.handed_back": Event(logging.INFO, "has handed this work back", ("work", "fence")),
    "fleet.lapsed": Event(
        logging.WARNING, "could not renew in time, stops this work", ("work", "fence")
    ),
    "fleet.lost": Event(
        logging.WARNING, "the store has another owner, stops this work", ("work", "fence")
    ),
    "fleet.moved": Event(logging.INFO, "hands this work on, others have fewer", ("work",)),
    "fleet.renewed_late": Event(
        logging.WARNING, "renewed with little time left", ("work", "fence", "left_s")
    ),
    "fleet.resigned": Event(logging.INFO, "stops this work to hand it back", ("work", "fence")),
    "fleet.stood_aside": Event(logging.INFO, "another has taken this work", ("work", "owner")),
    "fleet.store_back": Event(logging.INFO, "the store answers again"),
    "fleet.store_failed": Event(
        logging.WARNING, "the store gives no answer that counts", ("reason",)
    ),
    "fleet.unreadable": Event(
        logging.ERROR, "a record can't be read, the work is left alone", ("work", "reason")
    ),
    "fleet.undelivered": Event(
        logging.WARNING, "an effect was not taken, tried again", ("work", "reason", "wait_s")
    ),
    "fleet.work_failed": Event(
        logging.WARNING, "this work can't go on, tried again", ("work", "reason")
    ),
    "sharing.alone_again": Event(
        logging.INFO, "the other process of this name is gone", ("proxy",)
    ),
    "sharing.avoided": Event(
        logging.WARNING, "others meet trouble there, it is left alone", ("node",)
    ),
    "sharing.gone": Event(logging.INFO, "a proxy is there no more", ("proxy", "how")),
    "sharing.joined": Event(logging.INFO, "a proxy is there", ("proxy",)),
    "sharing.room": Event(
        logging.INFO, "nothing is turned away for this budget any more", ("budget",)
    ),
    "sharing.spent": Event(
        logging.WARNING,
        "requests beyond this budget are turned away",
        ("budget", "asked_s", "may_s"),
    ),
    "sharing.too_many": Event(
        logging.ERROR, "more proxies than [sharing] proxies says", ("proxies", "heard")
    ),
    "sharing.twin": Event(
        logging.ERROR, "another process has this name, nothing of a budget is ours", ("proxy",)
    ),
    "membership.changed": Event(
        logging.INFO, "a list changes many nodes at once", ("left", "joining", "serving")
    ),
    "membership.file_unusable": Event(
        logging.WARNING, "the file of nodes can't be read", ("reason",)
    ),
    "membership.speaks": Event(
        logging.INFO, "the list comes from this source from now on", ("source", "nodes")
    ),
    "membership.unlike": Event(
        logging.WARNING, "another source may not follow, it lists others", ("source", "share")
    ),
    "ledger.folded": Event(
        logging.WARNING, "more tenants than have a place, counted together", ("units",)
    ),
    "ledger.fork": Event(
        logging.ERROR, "its disk is older than its bills, batches are held", ("last", "held")
    ),
    "ledger.held": Event(logging.ERROR, "a batch is held for an operator", ("batch", "why")),
    "ledger.locked": Event(
        logging.WARNING, "another process has the ledger, tried again", ("folder",)
    ),
    "ledger.not_exported": Event(
        logging.WARNING, "a batch was not taken, tried again", ("batch", "why", "wait_s")
    ),
    "ledger.open": Event(logging.INFO, "the ledger is open", ("incarnation", "batches", "gaps")),
    "ledger.salvaged": Event(
        logging.ERROR,
        "its files do not add up, what can be read is kept",
        ("file", "records", "torn", "why", "aside"),
    ),
    "ledger.unwritten": Event(
        logging.ERROR, "cannot be written, counted in memory meanwhile", ("reason",)
    ),
    "ledger.written_again": Event(logging.INFO, "is written again, nothing was missed"),
    "nodes.doubted": Event(
        logging.WARNING, "these answer nothing while others do, asked by few", ("count", "nodes")
    ),
    "nodes.trusted": Event(logging.INFO, "all nodes are asked like any other again"),
    "placement.fits": Event(
        logging.INFO, "the plan holds again for the nodes that are listed", ("nodes",)
    ),
    "placement.late": Event(
        logging.WARNING, "a plan of an earlier owner is left alone", ("fence", "seen")
    ),
    "placement.reached": Event(logging.INFO, "the shares of the plan are in force", ("nodes",)),
    "placement.refused": Event(
        logging.WARNING, "the plan is not for the nodes that are listed", ("reason",)
    ),
    "placement.stale": Event(logging.WARNING, "the plan is old", ("age_h",)),
    "placement.taken": Event(logging.INFO, "a plan was read", ("nodes", "age_h")),
    "placement.unkept": Event(logging.WARNING, "which plan was taken can't be kept", ("reason",)),
    "requests.fault": Event(logging.ERROR, "a fault of ours cost a request", ("what",)),
    "requests.refused": Event(
        logging.WARNING, "requests of the last second were not served", ("count", "reasons")
    ),
    "tls.unusable": Event(
        logging.ERROR, "new TLS files can't be used, the old ones hold", ("reason",)
    ),
    DROPPED: Event(logging.WARNING, "nobody read the log for a while", ("lines",)),
    FOREIGN: Event(logging.WARNING, "a library says", ("text",)),
}

_log = logging.getLogger(NAME)


def event(name: str, *, error: BaseException | None = None, **fields: object) -> None:
    """Log the event `name` with its fields.

    Raises KeyError if `name` is not in EVENTS, which is a programming error.
    """
    definition = EVENTS[name]
    if _log.isEnabledFor(definition.level):
        extra = {"event": name, "fields": fields}
        _log.log(definition.level, definition.says, exc_info=error, extra=extra)


class _Held:
    """The lines of one event in the second at hand."""

    __slots__ = ("began_at", "count", "held")

    def __init__(self) -> None:
        self.began_at, self.count, self.held = -1.0, 0, 0


class Logs(logging.Handler):
    """Formats, limits and writes.  `write` takes a line or says that it has no room."""

    def __init__(
        self,
        write: Callable[[bytes], bool],
        clock: Callable[[], float],
        wall: Callable[[], float],
        table: LogTable,
    ) -> None:
        super().__init__()
        self._write, self._clock, self._wall = write, clock, wall
        self._held: dict[str, _Held] = {}
        self._dropped = 0
        self.configure(table)

    def configure(self, table: LogTable) -> None:
        """Take on `[log]`."""
        self._table = table
        _log.setLevel(table.level.upper())

    def install(self) -> None:
        """Be where this process's log goes."""
        root = logging.getLogger()
        root.handlers[:] = [self]

    def emit(self, record: logging.LogRecord) -> None:
        name: str = getattr(record, "event", FOREIGN)
        fields: dict[str, object] = dict(getattr(record, "fields", ()))
        if name == FOREIGN:
            fields["text"] = record.getMessage()
        held = self._held.setdefault(name, _Held())
        now = self._clock()
        if not 0.0 <= now - held.began_at < 1.0:
            held.began_at, held.count = now, 0
        if held.count >= self._table.events.get(name, self._table.per_second):
            held.held += 1
            return
        held.count += 1
        if held.held:
            fields["held_back"], held.held = held.held, 0
        if record.exc_info and record.exc_info[1] is not None:
            fields["trace"] = "".join(traceback.format_exception(record.exc_info[1]))[-MAX_TRACE:]
        if self._dropped:
            lost, self._dropped = self._dropped, 0
            if not self._put(logging.WARNING, DROPPED, {"lines": lost}):
                self._dropped = lost + 1
                return
        if not self._put(record.levelno, name, fields):
            self._dropped += 1

    def _put(self, level: int, name: str, fields: dict[str, object]) -> bool:
        at = datetime.fromtimestamp(self._wall(), UTC).isoformat(timespec="milliseconds")
        at = at.replace("+00:00", "Z")
        cut = {key: _bounded(key, value) for key, value in fields.items()}
        says, word = EVENTS[name].says, logging.getLevelName(level)
        if self._table.format == "json":
            return self._write(
                msgspec.json.encode(
                    {"at": at, "level": word.lower(), "event": name, "says": says, **cut}
                )
                + b"\n"
            )
        words = " ".join(f"{key}={_plain(value)}" for key, value in cut.items())
        return self._write(f"{at} {word} {name} {says}: {words}\n".encode())


def _bounded(key: str, value: object) -> object:
    """A field's value that can be written: text in UTF-8, and not too long.

    Names of files and texts of errors can hold lone surrogates, which UTF-8 does not encode: they
    are written as their escapes.  What JSON cannot hold is written as its text.
    """
    if not isinstance(value, str):
        try:
            msgspec.json.encode(value)
        except (ValueError, TypeError):  # UnicodeEncodeError is a ValueError
            value = str(value)
        else:
            return value
    text = encodable(value)
    return text if key == "trace" else text[:MAX_FIELD]


def encodable(text: str) -> str:
    """`text` with lone surrogates as their escapes, so that UTF-8 can encode it."""
    return text.encode("utf-8", "backslashreplace").decode()


def _plain(value: object) -> str:
    """A field's value in a text line: quoted where a blank or a line's end would mislead."""
    text = str(value)
    if text and text.isprintable() and not set(text) & set(' "='):
        return text
    return msgspec.json.encode(text).decode()
