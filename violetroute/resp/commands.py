"""The platform's commands: parsing what a client sends, and encoding it for a cache node."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from .framing import CRLF, MAX_OPTIONS_BYTES, MAX_WORD_BYTES, bulk


class CommandError(Exception):
    """A correctly framed but invalid command: it is answered, the connection stays open."""


_ARGUMENT_COUNTS = {b"OBJ.GET": 4, b"OBJ.SET": 5}
_WAIT_OPTION = re.compile(rb"(?:^|,)(d=[^,]*)")
_WAIT_FORMAT = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")  # ms; float() accepts more forms
MAX_OPTIONS = 64  # options of a command; six are known, and clients may add figures of their own
_MAX_CACHED_OPTIONS = 512  # entries: option lists without their wait, one per class and tenant
_MAX_CACHED_BYTES = 128  # longest option list that is cached
_options_cache: dict[tuple[bytes, bytes], tuple[str, str, bool]] = {}


@dataclass(slots=True)
class Command:
    """A client's request, kept so that it can be forwarded with another wait.

    The option list is the argument "c=CLASS,t=TENANT,d=WAIT,k=KEY".
    """

    key: bytes
    id: bytes
    head: bytes  # the bytes received, up to the end of the id
    before: bytes  # the option list before the wait; `after`: the rest behind it
    after: bytes
    value: bytes | bytearray | None
    class_name: str
    tenant: str
    wait: float  # ms, counted from the last byte
    keyed: bool  # carries an idempotency key

    def encode(self, wait: float) -> list[bytes | memoryview]:
        """The command in parts, unchanged except for the option d.

        A long value is not copied.  `wait`: milliseconds.
        """
        options = b"%bd=%d%b" % (self.before, max(1, int(wait)), self.after)
        if self.value is None:
            return [b"%b$%d\r\n%b\r\n" % (self.head, len(options), options)]
        head = b"%b$%d\r\n%b\r\n$%d\r\n" % (self.head, len(options), options, len(self.value))
        if len(self.value) <= 4096:
            return [b"".join((head, self.value, CRLF))]
        return [head, memoryview(self.value), CRLF]


def wait_seconds(options: bytes) -> float:
    """The wait in an option list, in seconds; 0 if it is missing or invalid."""
    found = _WAIT_OPTION.search(options)
    text = b"" if found is None else found[1][2:]
    return float(text) / 1000.0 if _WAIT_FORMAT.fullmatch(text) else 0.0


def parse_command(args: Sequence[bytes | bytearray], head: bytes = b"") -> Command:
    """Parse the arguments of a command.  Raises CommandError.

    `head`: the bytes up to the end of the id, if the caller has them.
    """
    name = bytes(args[0])
    count = _ARGUMENT_COUNTS.get(name) or _ARGUMENT_COUNTS.get(name.upper())
    if count is None:
        raise CommandError("unknown command")
    if len(args) != count:
        raise CommandError("wrong number of arguments")
    key, id_, options = bytes(args[1]), bytes(args[2]), bytes(args[3])
    if (
        not (0 < len(key) <= MAX_WORD_BYTES and 0 < len(id_) <= MAX_WORD_BYTES)
        or len(options) > MAX_OPTIONS_BYTES
    ):
        raise CommandError("key, id or list is empty or too long")
    if options.count(b",") >= MAX_OPTIONS:
        raise CommandError("too many options")
    found = _WAIT_OPTION.search(options)
    if found is None:
        _parse_options(options)  # raises the more precise error, if any
        raise CommandError("class or wait is missing or senseless")
    before, after = options[: found.start(1)], options[found.end(1) :]
    text = found[1][2:]
    known = _options_cache.get((before, after))
    if known is None:
        known = _parse_options(options)
        # Idempotency keys do not repeat, so a list with one is not cached.
        if b"k=" not in options and len(options) <= _MAX_CACHED_BYTES:
            if len(_options_cache) >= _MAX_CACHED_OPTIONS:
                _options_cache.clear()
            _options_cache[before, after] = known
    wait = float(text) if _WAIT_FORMAT.fullmatch(text) else 0.0
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


def _parse_options(options: bytes) -> tuple[str, str, bool]:
    """Class, tenant, and whether there is an idempotency key.  No option may occur twice."""
    fields: dict[bytes, bytes] = {}
    for item in options.split(b","):
        field, equals, text = item.partition(b"=")
        if not field or not equals or field in fields:
            raise CommandError("bad list")
        fields[field] = text
    try:
        return fields[b"c"].decode(), fields.get(b"t", b"").decode(), bool(fields.get(b"k"))
    except (KeyError, ValueError):
        raise CommandError("class or wait is missing or senseless") from None
