"""The operator's file: what is ours to set, in TOML, checked whole before anything starts.

Named by `--operator FILE` or LIMEBRIDGE_OPERATOR; without one the daemon is what the defaults
here say.  `deploy/operator.toml` has every key with its unit and when to change it.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from difflib import get_close_matches
from typing import Annotated, Any, Literal

import msgspec

from violetroute.logs import EVENTS

from .errors import ConfigError

Share = Annotated[float, msgspec.Meta(ge=0.05, le=0.95)]
Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=3600.0)]
PerSecond = Annotated[float, msgspec.Meta(ge=0.0, le=10_000.0)]


class LogTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: lines on standard error.  Changes with SIGHUP."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"
    per_second: PerSecond = 5.0  # lines of one event
    events: dict[str, PerSecond] = {}  # the same for single events; 0 is never


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[limits]`: bounds on peers, and how what the platform grants is divided."""

    # Clients hold a third for requests at most; each of these can have two attempts out,
    # while a client's connection that has no request can be closed.
    client_share: Share = 0.55  # of the descriptors; the rest goes to cache nodes
    value_share: Share = 0.4  # of the memory beyond the program; connections' buffers as much
    idle_share: Share = 0.25  # of the clients' slots may be idle: a client's own limit must
    #                           leave it some to ask with
    crowd_share: Share = 0.75  # of the slots: from here on idle connections end after idle_s
    depth: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 128  # commands of one connection
    #                           under way; beyond it reading pauses
    mistakes: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 8  # senseless commands in a row
    #                           after which a connection ends
    first_byte_s: Seconds = 2.2  # for a connection's first byte
    command_s: Seconds = 2.4  # over one command
    idle_s: Seconds = 2.0  # without a request after which a client reckons with a close
    reader_s: Seconds = 15.0  # without taking a byte of an answer
    reply_s: Seconds = 0.15  # from an answer's first byte to its last
    idle_per_node: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 32  # connections kept


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    log: LogTable = LogTable()
    limits: Limits = Limits()


NEEDS_RESTART = ("client_share", "value_share", "idle_share")  # of [limits]


def load_operator(path: str | None) -> Operator:
    """The file at `path`, or the defaults.  ConfigError names file, table and key."""
    if not path:
        return Operator()
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error
    return parse_operator(raw, path)


def parse_operator(raw: dict[str, Any], path: str) -> Operator:
    """`raw` as tomllib gives it; `path` is for the error's text."""
    _known(raw, Operator, path, "")
    try:
        operator = msgspec.convert(raw, Operator)
        _names(operator.log.events, EVENTS, path, "log.events", "event")
        return operator
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        table, _, key = place.replace("[...]", "").strip("`.").rpartition(".")
        raise ConfigError(f"{path}: [{table}] {key}: {text}") from error


def _known(raw: Mapping[str, Any], struct: type[msgspec.Struct], path: str, table: str) -> None:
    """ConfigError for a key that there is not, with the one that was likely meant."""
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    _names(raw, fields, path, table, "key" if table else "table")
    for key, value in raw.items():
        inner = fields[key].type
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            if not isinstance(value, dict):
                raise ConfigError(f"{path}: [{key}]: must be a table")
            _known(value, inner, path, f"{table}.{key}" if table else key)


def _names(used: Iterable[str], there_are: Iterable[str], path: str, table: str,
           kind: str) -> None:
    names = list(there_are)
    for name in used:
        if name not in names:
            near = get_close_matches(name, names, n=1)
            hint = f"; did you mean {near[0]}?" if near else f"; there are {', '.join(names)}"
            place = f"[{table}] {name}" if table else f"[{name}]"
            raise ConfigError(f"{path}: {place}: unknown {kind}{hint}")


def restart_needed(before: Operator, now: Operator) -> list[str]:
    """Keys that differ and are taken on at the next start only."""
    return [f"limits.{key}" for key in NEEDS_RESTART
            if getattr(before.limits, key) != getattr(now.limits, key)]
