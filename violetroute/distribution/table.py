"""The table `[distribution]` of the operator's file."""

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
    """The address and region of one control machine."""

    address: str  # "HOST:PORT"
    region: str = ""


class DistributionTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[distribution]`.  Distribution is off while `controls` is empty.

    SIGHUP applies changes of `controls`; all other keys need a restart.
    """

    # "HOST:PORT REGION" of each control machine; the region is optional.
    controls: Annotated[tuple[str, ...], msgspec.Meta(max_length=CONTROLS_MAX)] = ()
    key_file: str = ""  # the key that proxies and control machines share, as in [sharing]
    region: Region = ""  # this proxy's region; it prefers control machines there
    # A proxy is stale unless it has applied everything committed longer ago than this.  Must be the
    # same at all proxies and all control machines.
    stale_after_s: StaleAfter = STALE_AFTER_S
    socket: Annotated[str, msgspec.Meta(max_length=100)] = ""  # Unix socket for introspection
    configuration: bool = False  # apply published tables of the operator's file


def restart_is_needed(before: DistributionTable, now: DistributionTable) -> bool:
    """Whether a key other than `controls` differs, or distribution was turned on or off."""
    same_otherwise = msgspec.structs.replace(now, controls=before.controls) == before
    return not same_otherwise or bool(now.controls) != bool(before.controls)


def control_addresses(table: DistributionTable) -> tuple[ControlAddress, ...]:
    """Parse `controls`.  Raises ValueError for an invalid entry."""
    return tuple(_control_address(text) for text in table.controls)


def _control_address(text: str) -> ControlAddress:
    words = text.split()
    if not 1 <= len(words) <= 2:
        raise ValueError(f'expected "HOST:PORT REGION", not {text!r}')
    parse_address(words[0])
    return ControlAddress(words[0], words[1] if len(words) == 2 else "")


def check_distribution(table: DistributionTable) -> None:
    """Raise ValueError with the text "KEY: REASON" for an invalid table."""
    if not table.controls:
        if table != DistributionTable():
            raise ValueError("controls: missing, and other keys are set")
        return
    try:
        addresses = [control.address for control in control_addresses(table)]
    except ValueError as error:
        raise ValueError(f"controls: {error}") from None
    if len(set(addresses)) != len(addresses):
        raise ValueError("controls: duplicate address")
    try:
        read_keys(table.key_file)
    except (OSError, ValueError) as error:
        raise ValueError(f"key_file: {error}") from None
