"""Converts TOML tables to typed structs; an error is one line that names the key.

The path in a msgspec error omits the keys of mappings, which the author of a file needs.  So an
invalid table is searched again for the key.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Iterator, Mapping
from difflib import get_close_matches
from typing import Any, TypeVar, get_args, get_origin

import msgspec

from violetroute.error_text import one_line

from .errors import ConfigError

T = TypeVar("T", bound=msgspec.Struct)
MAX_FILE_BYTES = 4 * 1024 * 1024  # far above any file written by hand


def read_toml(path: str) -> dict[str, Any]:
    """Read the tables of a file.  ConfigError, in one line, if it is unreadable or not TOML."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
        return tomllib.loads(data.decode())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {one_line(error)}") from error


def to_struct(raw: Mapping[str, Any], struct: type[T], path: str) -> T:
    """Convert `raw`.  ConfigError names file, table and key, and suggests a similar known name."""
    _check_known_keys(raw, struct, path, "")
    try:
        return msgspec.convert(raw, struct)
    except msgspec.ValidationError as error:
        table, key, text = _first_error(raw, struct, "") or ("", "", str(error))
        raise ConfigError(f"{path}: {f'[{table}] ' if table else ''}{key}: {text}") from error


def check_names(
    used: Iterable[str], available: Iterable[str], path: str, table: str, kind: str
) -> None:
    """Raise ConfigError if a used name is not available; the text suggests a similar one.

    `kind`: what the names stand for, such as "key" or "event".
    """
    known = list(available)
    for name in used:
        if name not in known:
            near = get_close_matches(name, known, n=1)
            hint = f"; did you mean {near[0]}?" if near else f"; there are {', '.join(known)}"
            place = f"[{table}] {name}" if table else f"[{name}]"
            raise ConfigError(f"{path}: {place}: unknown {kind}{hint}")


def _nested_tables(kind: Any, value: Any) -> Iterator[tuple[str, Any, type[msgspec.Struct]]]:
    """The tables within a field: the suffix for the field's path, the raw table, its type."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield "", value, kind
        return
    inner = [
        each
        for each in get_args(kind)
        if isinstance(each, type) and issubclass(each, msgspec.Struct)
    ]
    if not inner:
        return
    if get_origin(kind) is dict and isinstance(value, dict):
        yield from ((f".{key}", each, inner[0]) for key, each in value.items())
    elif get_origin(kind) in (list, tuple) and isinstance(value, list):
        yield from ((f"[{place}]", each, inner[0]) for place, each in enumerate(value, 1))


def _check_known_keys(
    raw: Mapping[str, Any], struct: type[msgspec.Struct], path: str, table: str
) -> None:
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
    check_names(raw, fields, path, table, "key" if table else "table")
    for key, value in raw.items():
        place = f"{table}.{key}" if table else key
        for suffix, each, inner in _nested_tables(fields[key].type, value):
            if not isinstance(each, dict):
                raise ConfigError(f"{path}: [{place}{suffix}]: must be a table")
            _check_known_keys(each, inner, path, place + suffix)


def _first_error(
    raw: Mapping[str, Any], struct: type[msgspec.Struct], table: str
) -> tuple[str, str, str] | None:
    """Table, key and text of the first error; None if there is none."""
    for field in msgspec.structs.fields(struct):
        key = field.encode_name
        if key not in raw:
            if field.required:
                return table, key, "missing"
            continue
        place = f"{table}.{key}" if table else key
        for suffix, each, inner in _nested_tables(field.type, raw[key]):
            found = _first_error(each, inner, place + suffix)
            if found is not None:
                return found
        try:
            msgspec.convert(raw[key], field.type)
        except msgspec.ValidationError as error:
            return table, key, str(error).partition(" - at `$")[0]
    return None
