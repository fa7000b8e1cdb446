"""Structured logging: events with stable names and fields, one line each.

Values are in fields rather than in the message, so that a log can be searched and counted.  All
events are in EVENTS; `docs/operators/logs.md` describes how operators react to each, and a test
checks that the page names all of them.

Events go through the standard library's logging, which libraries and asyncio use too.  structlog
took 6.7 MB more memory at rest, of 32 (see `docs/design/transport.md`).  The lines of each event
are limited per second, since logging a line for each request must not cost more than the requests.
Suppressed lines are counted, and the count is a field of the event's next line.
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
MAX_FIELD = 300  # characters
MAX_TRACE = 1500  # characters; the end of a traceback is kept
FOREIGN = "library.message"  # records that are not events of this module
DROPPED = "log.dropped"


@dataclass(frozen=True, slots=True)
class Event:
    """A kind of log line: its level, its message and the names of its fields."""

    level: int
    says: str
    fields: tuple[str, ...] = ()


EVENTS = {
    "admission.limited": Event(
        logging.WARNING,
        "admission is limited: offered load exceeds what nodes answer in time",
        ("of", "a_second"),
    ),
    "admission.open": Event(logging.INFO, "admission is not limited any more"),
    "config.reloaded": Event(
        logging.INFO, "configuration reloaded", ("discovery", "operator", "origin")
    ),
    "config.restart_needed": Event(
        logging.WARNING, "these settings change only after a restart", ("keys",)
    ),
    "config.unknown_keys": Event(
        logging.WARNING, "unknown keys in the platform's configuration file", ("keys",)
    ),
    "config.unusable": Event(
        logging.ERROR, "not reloaded, the old configuration stays", ("reason",)
    ),
    "consul.doubted": Event(
        logging.WARNING, "an answer is doubted, querying the leader", ("count",)
    ),
    "consul.emptied": Event(
        logging.ERROR, "the catalogue is empty, no node gets new requests", ("count",)
    ),
    "consul.entries_left_out": Event(logging.WARNING, "ignored invalid instances", ("count",)),
    "consul.failed": Event(
        logging.WARNING, "no usable response, keeping the last list", ("reason", "agent", "age_s")
    ),
    "consul.panic": Event(
        logging.WARNING, "too many nodes critical at once, ignoring health checks", ("floor",)
    ),
    "consul.unconfirmed": Event(
        logging.WARNING, "no usable response of the leader, querying again", ("reason", "agent")
    ),
    "control.cannot_lead": Event(
        logging.WARNING, "holds the lease but cannot lead, releasing it", ("reason",)
    ),
    "control.ended": Event(logging.INFO, "control process stopped", ("machine",)),
    "control.ends": Event(logging.ERROR, "control process is stopping", ("reason",)),
    "control.fault": Event(logging.ERROR, "internal error in the control process", ("what",)),
    "control.no_majority": Event(
        logging.WARNING, "too few machines follow, releasing the lease", ("fence",)
    ),
    "control.notice": Event(logging.WARNING, "notice of the control machine", ("what", "text")),
    "control.recovered": Event(
        logging.INFO, "recovered the data of a lost disk", ("fence", "position")
    ),
    "control.reloaded": Event(logging.INFO, "reloaded [log] of the control file", ("file",)),
    "control.serves": Event(logging.INFO, "serves", ("address", "machine")),
    "control.term_began": Event(logging.INFO, "became leader", ("fence",)),
    "control.term_ended": Event(logging.INFO, "is no longer leader", ("fence",)),
    "daemon.drained": Event(logging.INFO, "drain complete", ("proxy",)),
    "daemon.drains": Event(logging.INFO, "draining", ("proxy",)),
    "daemon.fault": Event(logging.ERROR, "internal error in a callback", ("what",)),
    "daemon.listens": Event(logging.INFO, "listens on", ("address", "proxy")),
    "daemon.long_turn": Event(
        logging.WARNING, "long iteration of the event loop", ("ms", "doing", "open")
    ),
    "daemon.paused": Event(logging.INFO, "the process was paused", ("ms",)),
    "clients.accept_failed": Event(logging.WARNING, "cannot accept connections", ("reason",)),
    "clients.draining": Event(
        logging.INFO,
        "stopped accepting, answering what is open or unread",
        ("count", "answers", "unread"),
    ),
    "clients.many_commands": Event(
        logging.WARNING,
        "connections send more commands than fit into their share of the time",
        ("slices", "waiting"),
    ),
    "clients.memory_full": Event(
        logging.WARNING,
        "no memory is left for commands",
        ("used", "waiting", "reclaimed"),
    ),
    "clients.slots_full": Event(
        logging.WARNING,
        "no client slot is left",
        ("evicted", "idle", "partial", "serving"),
    ),
    "clients.left_open": Event(
        logging.WARNING,
        "client connections were still open at exit",
        ("count", "answers", "unread"),
    ),
    "discovery.entries_left_out": Event(
        logging.WARNING, "ignored invalid entries of the list", ("count",)
    ),
    "discovery.watch_ended": Event(logging.INFO, "watch ended", ("reason",)),
    "distribution.configuration_refused": Event(
        logging.ERROR,
        "rejected a published table, keeping the previous one",
        ("position", "reason"),
    ),
    "distribution.fresh": Event(logging.INFO, "up to date with committed records", ("behind_s",)),
    "distribution.gap": Event(
        logging.WARNING, "gap in the response, requesting again", ("expected", "got")
    ),
    "distribution.refused": Event(
        logging.WARNING, "rejected connections or requests", ("reason", "count")
    ),
    "distribution.skipped": Event(
        logging.WARNING, "skipped records of a topic unknown to this build", ("topic", "count")
    ),
    "distribution.snapshot": Event(
        logging.WARNING, "too far behind, all cached objects are invalid", ("position", "reason")
    ),
    "distribution.stale": Event(
        logging.WARNING, "may lack records that are in force elsewhere", ("behind_s",)
    ),
    "distribution.unreachable": Event(
        logging.WARNING, "a control machine does not respond", ("address", "reason", "count")
    ),
    "fleet.fenced": Event(
        logging.WARNING, "an effect was rejected, a later term has begun", ("work", "fence")
    ),
    "fleet.gained": Event(logging.INFO, "became owner of this work", ("work", "fence")),
    "fleet.handed_back": Event(logging.INFO, "released this work", ("work", "fence")),
    "fleet.lapsed": Event(
        logging.WARNING, "lease not renewed in time, stopping this work", ("work", "fence")
    ),
    "fleet.lost": Event(
        logging.WARNING, "the store names another owner, stopping this work", ("work", "fence")
    ),
    "fleet.moved": Event(logging.INFO, "transferring this work, others have less", ("work",)),
    "fleet.renewed_late": Event(
        logging.WARNING, "lease renewed shortly before it expired", ("work", "fence", "left_s")
    ),
    "fleet.resigned": Event(logging.INFO, "stopping this work to release it", ("work", "fence")),
    "fleet.stood_aside": Event(logging.INFO, "another proxy owns this work", ("work", "owner")),
    "fleet.store_back": Event(logging.INFO, "the store responds again"),
    "fleet.store_failed": Event(logging.WARNING, "no usable response of the store", ("reason",)),
    "fleet.unreadable": Event(
        logging.ERROR, "cannot read a record, not running this work", ("work", "reason")
    ),
    "fleet.undelivered": Event(
        logging.WARNING, "an effect was not accepted, retrying", ("work", "reason", "wait_s")
    ),
    "fleet.work_failed": Event(logging.WARNING, "this work failed, retrying", ("work", "reason")),
    "sharing.alone_again": Event(
        logging.INFO, "the other process with this name is gone", ("proxy",)
    ),
    "sharing.avoided": Event(
        logging.WARNING, "other proxies report this node unhealthy, avoiding it", ("node",)
    ),
    "sharing.gone": Event(logging.INFO, "a proxy left", ("proxy", "how")),
    "sharing.joined": Event(logging.INFO, "a proxy joined", ("proxy",)),
    "sharing.room": Event(logging.INFO, "this budget admits all requests again", ("budget",)),
    "sharing.spent": Event(
        logging.WARNING,
        "rejecting requests beyond this budget",
        ("budget", "asked_s", "may_s"),
    ),
    "sharing.too_many": Event(
        logging.ERROR, "more proxies than configured in [sharing] proxies", ("proxies", "heard")
    ),
    "sharing.twin": Event(
        logging.ERROR, "another process has this name, using no share of budgets", ("proxy",)
    ),
    "membership.changed": Event(
        logging.INFO, "a list changes many nodes at once", ("left", "joining", "serving")
    ),
    "membership.file_unusable": Event(logging.WARNING, "cannot read the node file", ("reason",)),
    "membership.speaks": Event(
        logging.INFO, "this source now provides the list", ("source", "nodes")
    ),
    "membership.unlike": Event(
        logging.WARNING, "not switching to this source, it lists other nodes", ("source", "share")
    ),
    "ledger.folded": Event(logging.WARNING, "too many tenants, merging the rest", ("units",)),
    "ledger.fork": Event(
        logging.ERROR,
        "the disk is older than its bills, holding batches",
        ("last", "held"),
    ),
    "ledger.held": Event(logging.ERROR, "holding a batch for an operator", ("batch", "why")),
    "ledger.locked": Event(
        logging.WARNING, "another process has the ledger open, retrying", ("folder",)
    ),
    "ledger.not_exported": Event(
        logging.WARNING, "a batch was not accepted, retrying", ("batch", "why", "wait_s")
    ),
    "ledger.open": Event(logging.INFO, "ledger opened", ("incarnation", "batches", "gaps")),
    "ledger.salvaged": Event(
        logging.ERROR,
        "ledger files are inconsistent, keeping the readable records",
        ("file", "records", "torn", "why", "aside"),
    ),
    "ledger.unwritten": Event(
        logging.ERROR, "cannot write the ledger, counting in memory", ("reason",)
    ),
    "ledger.written_again": Event(logging.INFO, "writing the ledger again, no entries were lost"),
    "nodes.doubted": Event(
        logging.WARNING,
        "nodes do not answer while others do, sending them few requests",
        ("count", "nodes"),
    ),
    "nodes.malformed": Event(
        logging.WARNING, "answers of nodes could not be used", ("count", "reasons")
    ),
    "nodes.replies_held": Event(
        logging.WARNING,
        "long answers of nodes had to wait, since no memory was left for them",
        ("count", "reasons"),
    ),
    "nodes.trusted": Event(logging.INFO, "no suspected nodes any more"),
    "placement.fits": Event(logging.INFO, "the plan matches the listed nodes again", ("nodes",)),
    "placement.late": Event(
        logging.WARNING, "ignored a plan of an earlier owner", ("fence", "seen")
    ),
    "placement.reached": Event(logging.INFO, "the shares of the plan are in effect", ("nodes",)),
    "placement.refused": Event(
        logging.WARNING, "the plan does not match the listed nodes", ("reason",)
    ),
    "placement.stale": Event(logging.WARNING, "the plan is old", ("age_h",)),
    "placement.taken": Event(logging.INFO, "read a plan", ("nodes", "age_h")),
    "placement.unkept": Event(logging.WARNING, "cannot store which plan was accepted", ("reason",)),
    "requests.fault": Event(logging.ERROR, "internal error while handling a request", ("what",)),
    "requests.refused": Event(
        logging.WARNING, "requests were refused or failed in the last second", ("count", "reasons")
    ),
    "tls.unusable": Event(
        logging.ERROR, "cannot load the new TLS files, keeping the previous ones", ("reason",)
    ),
    DROPPED: Event(logging.WARNING, "log lines were dropped, the log was not read", ("lines",)),
    FOREIGN: Event(logging.WARNING, "message of a library", ("text",)),
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


class _LineCounter:
    """The lines of one event in the current second, and those suppressed."""

    __slots__ = ("began_at", "count", "suppressed")

    def __init__(self) -> None:
        self.began_at, self.count, self.suppressed = -1.0, 0, 0


class Logs(logging.Handler):
    """Formats, limits and writes events.  `write` returns whether it took the line."""

    def __init__(
        self,
        write: Callable[[bytes], bool],
        clock: Callable[[], float],
        wall: Callable[[], float],
        table: LogTable,
    ) -> None:
        super().__init__()
        self._write, self._clock, self._wall = write, clock, wall
        self._counters: dict[str, _LineCounter] = {}
        self._dropped = 0
        self.configure(table)

    def configure(self, table: LogTable) -> None:
        """Apply the `[log]` table."""
        self._table = table
        _log.setLevel(table.level.upper())

    def install(self) -> None:
        """Become the only handler of the root logger."""
        root = logging.getLogger()
        root.handlers[:] = [self]

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record, unless its event exceeds its lines per second."""
        name: str = getattr(record, "event", FOREIGN)
        fields: dict[str, object] = dict(getattr(record, "fields", ()))
        if name == FOREIGN:
            fields["text"] = record.getMessage()
        counter = self._counters.setdefault(name, _LineCounter())
        now = self._clock()
        if not 0.0 <= now - counter.began_at < 1.0:
            counter.began_at, counter.count = now, 0
        if counter.count >= self._table.events.get(name, self._table.per_second):
            counter.suppressed += 1
            return
        counter.count += 1
        if counter.suppressed:
            fields["held_back"], counter.suppressed = counter.suppressed, 0
        if record.exc_info and record.exc_info[1] is not None:
            fields["trace"] = "".join(traceback.format_exception(record.exc_info[1]))[-MAX_TRACE:]
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            if not self._write_event(logging.WARNING, DROPPED, {"lines": dropped}):
                self._dropped = dropped + 1
                return
        if not self._write_event(record.levelno, name, fields):
            self._dropped += 1

    def _write_event(self, level: int, name: str, fields: dict[str, object]) -> bool:
        at = datetime.fromtimestamp(self._wall(), UTC).isoformat(timespec="milliseconds")
        at = at.replace("+00:00", "Z")
        cut = {key: _encodable_field(key, value) for key, value in fields.items()}
        says, word = EVENTS[name].says, logging.getLevelName(level)
        if self._table.format == "json":
            return self._write(
                msgspec.json.encode(
                    {"at": at, "level": word.lower(), "event": name, "says": says, **cut}
                )
                + b"\n"
            )
        words = " ".join(f"{key}={_text_field(value)}" for key, value in cut.items())
        return self._write(f"{at} {word} {name} {says}: {words}\n".encode())


def _encodable_field(key: str, value: object) -> object:
    """A field's value in a form that JSON and UTF-8 can encode, with bounded text.

    File names and error texts can hold lone surrogates, which UTF-8 cannot encode; they are
    written as escapes.  Values that JSON cannot encode are written as text.
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
    """`text` with lone surrogates replaced by escapes, so that UTF-8 can encode it."""
    return text.encode("utf-8", "backslashreplace").decode()


def _text_field(value: object) -> str:
    """A field's value in a text line, quoted if it holds blanks, quotes, = or unprintables."""
    text = str(value)
    if text and text.isprintable() and not set(text) & set(' "='):
        return text
    return msgspec.json.encode(text).decode()
