"""TOML tables into typed records: checked whole, each mistake one line that names its key.

msgspec tells a mistake by a path that leaves the keys of a mapping out; whoever has written the
file by hand needs them, so a refused table is looked through for the place.
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
LARGEST = 4 * 1024 * 1024  # bytes of a file: far above any that a person writes


def read_toml(path: str) -> dict[str, Any]:
    """The file's tables.  ConfigError, one line, when it can't be read or is no TOML."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
        if len(data) > LARGEST:
            raise ValueError(f"larger than {LARGEST} bytes")
        return tomllib.loads(data.decode())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {one_line(error)}") from error


def to_struct(raw: Mapping[str, Any], struct: type[T], path: str) -> T:
    """`raw` as a `struct`.  ConfigError with file, table and key, and the near name if any."""
    _known(raw, struct, path, "")
    try:
        return msgspec.convert(raw, struct)
    except msgspec.ValidationError as error:
        table, key, text = _wrong(raw, struct, "") or ("", "", str(error))
        raise ConfigError(f"{path}: {f'[{table}] ' if table else ''}{key}: {text}") from error


def check_names(
    used: Iterable[str], there_are: Iterable[str], path: str, table: str, kind: str
) -> None:
    """ConfigError for a name that there is not, with the one that was likely meant."""
    known = list(there_are)
    for name in used:
        if name not in known:
            near = get_close_matches(name, known, n=1)
            hint = f"; did you mean {near[0]}?" if near else f"; there are {', '.join(known)}"
            place = f"[{table}] {name}" if table else f"[{name}]"
            raise ConfigError(f"{path}: {place}: unknown {kind}{hint}")


def _inner(kind: Any, value: Any) -> Iterator[tuple[str, Any, type[msgspec.Struct]]]:
    """The tables within a field: what is added to its place, the raw table, its type."""
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


def _known(raw: Mapping[str, Any], struct: type[msgspec.Struct], path: str, table: str) -> None:
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
    check_names(raw, fields, path, table, "key" if table else "table")
    for key, value in raw.items():
        place = f"{table}.{key}" if table else key
        for more, each, inner in _inner(fields[key].type, value):
            if not isinstance(each, dict):
                raise ConfigError(f"{path}: [{place}{more}]: must be a table")
            _known(each, inner, path, place + more)


def _wrong(
    raw: Mapping[str, Any], struct: type[msgspec.Struct], table: str
) -> tuple[str, str, str] | None:
    """Table, key and text of the first mistake."""
    for field in msgspec.structs.fields(struct):
        key = field.encode_name
        if key not in raw:
            if field.required:
                return table, key, "missing"
            continue
        place = f"{table}.{key}" if table else key
        for more, each, inner in _inner(field.type, raw[key]):
            found = _wrong(each, inner, place + more)
            if found is not None:
                return found
        try:
            msgspec.convert(raw[key], field.type)
        except msgspec.ValidationError as error:
            return table, key, str(error).partition(" - at `$")[0]
    return None
