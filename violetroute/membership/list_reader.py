"""Parses the lists that a watch receives, fast enough not to delay requests.

A list of thousands of nodes is parsed in one turn of the event loop.  So msgspec validates the text
and splits it into entries, and an entry whose text has not changed yields the same object as
before, which the caller can skip by identity.
"""

from __future__ import annotations

import json
import math
import re
import sys

import msgspec

from snowstall import CacheState
from violetroute.transport import Address, parse_address

from .entries import (
    INVALID_ENTRY_ERRORS,
    LIFECYCLE_STATES,
    Entry,
    Listing,
    log_invalid_entries,
    parse_entry,
    parse_listing,
)

_decode_raw = msgspec.json.Decoder(msgspec.Raw).decode

LINE_LIMIT = 2 * 1024 * 1024  # bytes of a list: about ten thousand entries

CACHED_TEXTS_SLACK = 10_000  # cached entry texts beyond twice the entries of a list of changes

# A JSON string, whose brackets don't count, or a bracket.
_BRACES = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')


class WatchError(Exception):
    """The watch has ended, or what it sent is invalid."""


class ObjectSplitter:
    """Joins lines into JSON objects, which may be one per line or indented over many lines."""

    def __init__(self) -> None:
        self._buffer = bytearray()  # lines of an unfinished object
        self._depth = 0

    def feed(self, line: bytes) -> bytes | None:
        """The object that ends with this line; b"" for an empty line, None inside an object."""
        line = line.strip()
        if not line:
            return None if self._buffer else b""
        if not self._buffer and len(line) <= LINE_LIMIT and _is_json(line):
            return line
        for token in _BRACES.findall(line):
            self._depth += (token in b"{[") - (token in b"}]")
        self._buffer += line
        if len(self._buffer) > LINE_LIMIT:
            raise WatchError("list too long")
        if self._depth > 0:
            return None
        text, self._depth = bytes(self._buffer), 0
        self._buffer.clear()
        return text


def _is_json(text: bytes) -> bool:
    """Whether the text is a complete JSON value.  Faster than counting its brackets."""
    try:
        _decode_raw(text)
    except msgspec.MsgspecError:
        return False
    return True


class _Instance(msgspec.Struct, rename="camel"):
    """An entry as discovery sends it."""

    instance_id: str
    lifecycle: str
    host_port: str = ""
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0


class _List(msgspec.Struct):
    instances: list[msgspec.Raw]
    generation: int = 0
    reset: bool = False


class ListReader:
    """Parses the lists of one source.

    Caches the entries of the last lists by their text, at most about twice as many as a full list
    has: nodes that leave and return are not parsed again.
    """

    def __init__(self) -> None:
        self._decode_list = msgspec.json.Decoder(_List).decode
        self._decode_instance = msgspec.json.Decoder(_Instance).decode
        self._by_text: dict[bytes, Entry] = {}
        self._addresses: dict[str, Address] = {}  # parsed addresses by their text

    def read(self, text: bytes) -> Listing:
        """Parse a list.  Raises ValueError if the text is not a list of cache nodes.

        Invalid entries are skipped and logged, as in `parse_listing`.
        """
        try:
            decoded = self._decode_list(text)
        except msgspec.MsgspecError:
            return parse_listing(json.loads(text))  # accepts numbers in strings too
        before, count = self._by_text, len(decoded.instances)
        slack = 0 if decoded.reset else CACHED_TEXTS_SLACK
        renews = len(before) > 2 * count + slack
        if renews:
            self._by_text = {}
            if len(self._addresses) > 2 * count + CACHED_TEXTS_SLACK:
                self._addresses = {}
        texts, cached = [bytes(raw) for raw in decoded.instances], before.get
        parsed = [cached(entry_text) or self._parse(entry_text) for entry_text in texts]
        entries = tuple(filter(None, parsed))  # without the invalid ones
        if renews:
            pairs = zip(texts, parsed, strict=True)
            self._by_text = {text: entry for text, entry in pairs if entry is not None}
        log_invalid_entries(count - len(entries))
        return Listing(decoded.generation, decoded.reset, entries)

    def _parse(self, text: bytes) -> Entry | None:
        """Parse an entry and cache it; None if it is invalid."""
        try:
            entry = self._by_text[text] = self._entry(text)
        except INVALID_ENTRY_ERRORS:
            return None
        return entry

    def _entry(self, text: bytes) -> Entry:
        try:
            decoded = self._decode_instance(text)
        except msgspec.MsgspecError:
            return parse_entry(json.loads(text))
        if not (0.0 <= decoded.weight < math.inf and 0.0 <= decoded.started_at_ms < math.inf):
            raise ValueError("weight or start time out of range")
        state = LIFECYCLE_STATES[decoded.lifecycle]
        return Entry(
            decoded.instance_id,
            state,
            None if state is CacheState.GONE else self._address(decoded.host_port),
            sys.intern(decoded.zone),
            sys.intern(decoded.machine_type),
            decoded.cell,
            decoded.weight,
            decoded.started_at_ms,
        )

    def _address(self, text: str) -> Address:
        address = self._addresses.get(text)
        if address is None:
            address = self._addresses[text] = parse_address(text)
        return address
