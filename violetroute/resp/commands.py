"""The platform's commands: what a client may ask, and how it goes on to a node."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from .framing import CRLF, FIELDS_LIMIT, WORD_LIMIT, bulk


class CommandError(Exception):
    """A well formed command that makes no sense: answered, and the connection lives."""


_COUNTS = {b"OBJ.GET": 4, b"OBJ.SET": 5}
_D = re.compile(rb"(?:^|,)(d=[^,]*)")
_WAIT = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")  # ms; float() alone would take far more
_PARSED = 512  # lists without their wait that are remembered: classes times tenants
_LIST_KEPT = 128  # bytes of a list that is remembered
_parsed: dict[tuple[bytes, bytes], tuple[str, str, bool]] = {}


@dataclass(slots=True)
class Command:
    """A client's request, as it came and as it goes on."""

    key: bytes
    id: bytes
    head: bytes  # as it came, up to the end of the id
    before: bytes  # of the list, what stands before the wait and after it
    after: bytes
    value: bytes | bytearray | None
    class_name: str
    tenant: str
    wait: float  # ms, from the last byte on
    keyed: bool  # carries an idempotency key

    def encode(self, wait: float) -> list[bytes | memoryview]:
        """The command unchanged but for d, in parts; a long value is not copied."""
        listed = b"%bd=%d%b" % (self.before, max(1, int(wait)), self.after)
        if self.value is None:
            return [b"%b$%d\r\n%b\r\n" % (self.head, len(listed), listed)]
        head = b"%b$%d\r\n%b\r\n$%d\r\n" % (self.head, len(listed), listed, len(self.value))
        if len(self.value) <= 4096:
            return [b"".join((head, self.value, CRLF))]
        return [head, memoryview(self.value), CRLF]


def parse_command(args: Sequence[bytes | bytearray], head: bytes = b"") -> Command:
    """Raises CommandError.  `head`: the bytes up to the id's end, where they are at hand."""
    name = bytes(args[0])
    count = _COUNTS.get(name) or _COUNTS.get(name.upper())
    if count is None:
        raise CommandError("unknown command")
    if len(args) != count:
        raise CommandError("wrong number of arguments")
    key, id_, listed = bytes(args[1]), bytes(args[2]), bytes(args[3])
    if (
        not (0 < len(key) <= WORD_LIMIT and 0 < len(id_) <= WORD_LIMIT)
        or len(listed) > FIELDS_LIMIT
    ):
        raise CommandError("key, id or list is empty or too long")
    found = _D.search(listed)
    if found is None:
        _parse_list(listed)  # says what is wrong with it, if more is
        raise CommandError("class or wait is missing or senseless")
    before, after = listed[: found.start(1)], listed[found.end(1) :]
    text = found[1][2:]
    known = _parsed.get((before, after))
    if known is None:
        known = _parse_list(listed)
        if b"k=" not in listed and len(listed) <= _LIST_KEPT:  # such a key never comes again
            if len(_parsed) >= _PARSED:
                _parsed.clear()
            _parsed[before, after] = known
    wait = float(text) if _WAIT.fullmatch(text) else 0.0
    if wait <= 0.0:
        raise CommandError("senseless wait")
    head = head or b"*%d\r\n%b" % (count, b"".join(map(bulk, (name, key, id_))))
    return Command(
        key,
        id_,
        head,
        before,
        after,
        args[4] if count == 5 else None,
        known[0],
        known[1],
        wait,
        known[2],
    )


def _parse_list(listed: bytes) -> tuple[str, str, bool]:
    """Class, tenant, and whether a key is there, from names and values all told once."""
    fields: dict[bytes, bytes] = {}
    for item in listed.split(b","):
        field, equals, text = item.partition(b"=")
        if not field or not equals or field in fields:
            raise CommandError("bad list")
        fields[field] = text
    try:
        return fields[b"c"].decode(), fields.get(b"t", b"").decode(), bool(fields.get(b"k"))
    except (KeyError, ValueError):
        raise CommandError("class or wait is missing or senseless") from None
