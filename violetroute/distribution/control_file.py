"""The control machine's own file (TOML), checked whole before anything starts."""

from __future__ import annotations

from typing import Annotated

import msgspec

from violetroute.config import ConfigError, LogTable
from violetroute.config.operator import check_fleet, check_log
from violetroute.config.tables import read_toml, to_struct
from violetroute.fleet.table import FleetTable
from violetroute.ledger.table import LedgerTable
from violetroute.sharing.table import read_keys
from violetroute.transport import parse_address

from .messages import MESSAGE_BYTES
from .table import DRIFT, STALE_AFTER_S, Region, StaleAfter

MACHINES_MAX = 15

MachineName = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


Hold = Annotated[float, msgspec.Meta(ge=0.05, le=600.0)]


class MachineTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[machine]]`: one control machine, as the others reach it."""

    name: MachineName
    address: str  # "HOST:PORT"
    region: Region = ""


class Timings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[timings]`: the same at all control machines.  Seconds, where no other unit is said."""

    stale_after_s: StaleAfter = STALE_AFTER_S  # the same at all proxies, too
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = DRIFT  # by which clocks' rates differ
    batch_s: Annotated[float, msgspec.Meta(ge=0.0, le=60.0)] = 0.1  # in which publications are
    #                           gathered into one batch
    fetch_hold_s: Hold = 0.25  # for which a replica's fetch without news is held
    hold_s: Hold = 0.8  # for which a proxy's poll without news is held
    spread_s: Annotated[float, msgspec.Meta(ge=0.0, le=60.0)] = 0.4  # between two answers with
    #                           batches to one proxy
    report_s: Annotated[float, msgspec.Meta(ge=0.0, le=60.0)] = 0.2  # between two reports to the
    #                           leader, at least
    heartbeat_s: Hold = 0.25  # and at most
    keep_s: Annotated[float, msgspec.Meta(ge=1.0, le=1e7)] = 3600.0  # for which batches are kept
    delta_bytes: Annotated[int, msgspec.Meta(ge=1024, le=MESSAGE_BYTES)] = 128 * 1024  # of batches,
    #                           beyond which a proxy is given a snapshot
    # Bytes a second for a proxy that lacks batches which were committed `stale_after_s` ago.
    catch_up_bytes_per_s: Annotated[float, msgspec.Meta(ge=100.0, le=1e9)] = 4500.0


class ControlFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    name: MachineName  # one of the names of [[machine]]
    listen: str  # "HOST:PORT"; port 0: any free one
    folder: str  # the log; made by `limebridge control init`
    key_file: str  # the key that proxies and control machines share
    machine: Annotated[
        tuple[MachineTable, ...], msgspec.Meta(min_length=1, max_length=MACHINES_MAX)
    ]  # all control machines, this one among them
    fleet: FleetTable  # the store of the lease; `works` is set by the process
    region: Region = ""
    timings: Timings = Timings()
    log: LogTable = LogTable()
    socket: Annotated[str, msgspec.Meta(max_length=100)] = ""  # a Unix socket for looking in


def load_control_file(path: str) -> ControlFile:
    """ConfigError, one line that names the file and the key."""
    file = to_struct(read_toml(path), ControlFile, path)
    try:
        _check(file)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None
    check_fleet(file.fleet, LedgerTable(), path)
    check_log(file.log, path)
    return file


def restart_needed(before: ControlFile, now: ControlFile) -> list[str]:
    """Keys and tables that differ and are taken on at the next start only: all but `[log]`."""
    return [
        name
        for name in ControlFile.__struct_fields__
        if name != "log" and getattr(before, name) != getattr(now, name)
    ]


def _check(file: ControlFile) -> None:
    """ValueError "key: what is wrong"."""
    _check_address("listen", file.listen)
    for machine in file.machine:
        _check_address("machine", machine.address)
    names = [machine.name for machine in file.machine]
    addresses = [machine.address for machine in file.machine]
    if file.name not in names:
        raise ValueError(f"name: {file.name!r} is none of the names of [[machine]]")
    if len(set(names)) != len(names):
        raise ValueError("machine: a name stands there twice")
    if len(set(addresses)) != len(addresses):
        raise ValueError("machine: an address stands there twice")
    if not file.folder:
        raise ValueError("folder: missing")
    try:
        read_keys(file.key_file)
    except (OSError, ValueError) as error:
        raise ValueError(f"key_file: {error}") from None
    if file.fleet.store == "off":
        raise ValueError("[fleet] store: off, but the lease of the leader needs one")
    if file.fleet.works:
        raise ValueError("[fleet] works: the control process owns the work distribution only")
    if file.timings.hold_s * (1.0 + file.timings.drift) >= file.timings.stale_after_s:
        raise ValueError("[timings] hold_s: has to be less than stale_after_s")


def _check_address(key: str, text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None
