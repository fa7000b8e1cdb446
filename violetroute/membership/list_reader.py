"""Reads the lists that a watch is sent, in time that is short beside a request's.

A list of thousands of nodes is read in one turn of the event loop.  So its text is checked and cut
into entries by msgspec, and an entry that says what it said before is the same object again: what
takes it on need not look at it closer.
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

LINE_LIMIT = 2 * 1024 * 1024  # bytes of a list: some ten thousand entries

CACHED_TEXTS_SLACK = 10_000  # entries whose texts are kept beyond twice those of a list

# A string, in which braces mean nothing, or one that does.
_BRACES = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')


class WatchError(Exception):
    """The watch has ended, or can no longer be believed."""


class ObjectSplitter:
    """The objects that lines hold: one on each, or indented over many."""

    def __init__(self) -> None:
        self._held = bytearray()  # of an object that has begun
        self._depth = 0

    def feed(self, line: bytes) -> bytes | None:
        """The object that ends with this line; empty for an empty line, None inside of one."""
        line = line.strip()
        if not line:
            return None if self._held else b""
        if not self._held and len(line) <= LINE_LIMIT and _is_json(line):
            return line
        for token in _BRACES.findall(line):
            self._depth += (token in b"{[") - (token in b"}]")
        self._held += line
        if len(self._held) > LINE_LIMIT:
            raise WatchError("list too long")
        if self._depth > 0:
            return None
        text, self._depth = bytes(self._held), 0
        self._held.clear()
        return text


def _is_json(text: bytes) -> bool:
    """Whether the text is a whole JSON value.  Quicker than to look for its braces."""
    try:
        _decode_raw(text)
    except msgspec.MsgspecError:
        return False
    return True


class _Instance(msgspec.Struct, rename="camel"):
    """An entry as discovery words it."""

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
    """Turns texts of one source into lists.

    Keeps the entries of its last whole list and of the changes since, by their texts.
    """

    def __init__(self) -> None:
        self._decode_list = msgspec.json.Decoder(_List).decode
        self._decode_instance = msgspec.json.Decoder(_Instance).decode
        self._by_text: dict[bytes, Entry] = {}
        self._addresses: dict[str, Address] = {}  # by their texts

    def read(self, text: bytes) -> Listing:
        """Raises ValueError on anything that is not a list of cache nodes.

        Entries that make no sense are left out, as `parse_listing` does.
        """
        try:
            told = self._decode_list(text)
        except msgspec.MsgspecError:
            return parse_listing(json.loads(text))  # it takes more forms of numbers
        before = self._by_text
        if told.reset or len(before) > CACHED_TEXTS_SLACK + 2 * len(told.instances):
            self._by_text = {}
            if len(self._addresses) > CACHED_TEXTS_SLACK + 2 * len(told.instances):
                self._addresses = {}
        entries, senseless = [], 0
        for raw in told.instances:
            entry_text = bytes(raw)
            entry = before.get(entry_text)
            if entry is None:
                try:
                    entry = self._entry(entry_text)
                except INVALID_ENTRY_ERRORS:
                    senseless += 1
                    continue
            self._by_text[entry_text] = entry
            entries.append(entry)
        log_invalid_entries(senseless)
        return Listing(told.generation, told.reset, tuple(entries))

    def _entry(self, text: bytes) -> Entry:
        try:
            told = self._decode_instance(text)
        except msgspec.MsgspecError:
            return parse_entry(json.loads(text))
        if not (0.0 <= told.weight < math.inf and 0.0 <= told.started_at_ms < math.inf):
            raise ValueError("weight or start is no number")
        state = LIFECYCLE_STATES[told.lifecycle]
        return Entry(
            told.instance_id,
            state,
            None if state is CacheState.GONE else self._address(told.host_port),
            sys.intern(told.zone),
            sys.intern(told.machine_type),
            told.cell,
            told.weight,
            told.started_at_ms,
        )

    def _address(self, text: str) -> Address:
        address = self._addresses.get(text)
        if address is None:
            address = self._addresses[text] = parse_address(text)
        return address
