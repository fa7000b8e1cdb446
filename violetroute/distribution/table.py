"""`[distribution]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from violetroute.sharing.table import read_keys
from violetroute.transport import parse_address

CONTROLS_MAX = 64
STALE_AFTER_S = 2.8
DRIFT = 0.05

Region = Annotated[str, msgspec.Meta(max_length=64)]
StaleAfter = Annotated[float, msgspec.Meta(ge=0.5, le=3600.0)]


class ControlAddress(msgspec.Struct, frozen=True):
    """One control machine, as a proxy reaches it."""

    address: str  # "HOST:PORT"
    region: str = ""


class DistributionTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[distribution]`: off while `controls` is empty.

    `controls` changes with SIGHUP, the rest at the next start.
    """

    # "HOST:PORT REGION" of each control machine; the region may be left out.
    controls: Annotated[tuple[str, ...], msgspec.Meta(max_length=CONTROLS_MAX)] = ()
    key_file: str = ""  # the key that proxies and control machines share, as in [sharing]
    region: Region = ""  # where this proxy runs; control machines of the same one are preferred
    # What was committed longer ago a proxy has applied, or it is stale.  The same at all proxies
    # and all control machines.
    stale_after_s: StaleAfter = STALE_AFTER_S
    socket: Annotated[str, msgspec.Meta(max_length=100)] = ""  # a Unix socket for looking in
    configuration: bool = False  # take on tables of the operator's file that are published


def restart_is_needed(before: DistributionTable, now: DistributionTable) -> bool:
    """Whether something other than the list of control machines differs, or it is on or off now."""
    same_otherwise = msgspec.structs.replace(now, controls=before.controls) == before
    return not same_otherwise or bool(now.controls) != bool(before.controls)


def control_addresses(table: DistributionTable) -> tuple[ControlAddress, ...]:
    """`controls`, taken apart.  ValueError for an entry that is no address."""
    return tuple(_control_address(text) for text in table.controls)


def _control_address(text: str) -> ControlAddress:
    words = text.split()
    if not 1 <= len(words) <= 2:
        raise ValueError(f'"HOST:PORT REGION" is wanted, not {text!r}')
    parse_address(words[0])
    return ControlAddress(words[0], words[1] if len(words) == 2 else "")


def check_distribution(table: DistributionTable) -> None:
    """ValueError "key: what is wrong" for a table that cannot be meant."""
    if not table.controls:
        if table != DistributionTable():
            raise ValueError("controls: missing, and other keys are set")
        return
    try:
        addresses = [control.address for control in control_addresses(table)]
    except ValueError as error:
        raise ValueError(f"controls: {error}") from None
    if len(set(addresses)) != len(addresses):
        raise ValueError("controls: an address stands there twice")
    try:
        read_keys(table.key_file)
    except (OSError, ValueError) as error:
        raise ValueError(f"key_file: {error}") from None
