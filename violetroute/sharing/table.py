"""`[sharing]` of the operator's file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

if TYPE_CHECKING:
    from .wire import Keys

BudgetName = Annotated[str, msgspec.Meta(pattern="^[a-z][a-z0-9-]{0,31}$")]
Text = Annotated[str, msgspec.Meta(max_length=64)]


class BudgetTable(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"class_name": "class"}
):
    """`[[sharing.budget]]`: what the whole fleet may let in of these requests."""

    name: BudgetName
    per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]  # requests a second, of all proxies
    tenant: Text = ""  # of this tenant; "" is any
    class_name: Text = ""  # of this class; "" is any


class SharingTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[sharing]`: off while `listen` is empty.

    `budget` changes with SIGHUP, the rest at a start.
    """

    listen: str = ""  # "ADDRESS:PORT" for datagrams, as the others reach it
    key_file: str = ""  # the fleet's key: a line; a second one is taken too, during a change
    seeds: Annotated[tuple[str, ...], msgspec.Meta(max_length=64)] = ()  # some that stay
    ways: dict[Text, str] = {}  # by name: another address than a member tells of itself
    proxies: Annotated[int, msgspec.Meta(ge=1, le=4000)] = 1  # that run at most: by it budgets are
    #                      divided, so it has to be the same, or greater, everywhere
    probe_s: Annotated[float, msgspec.Meta(ge=0.05, le=60.0)] = 1.0  # between two that are asked
    loan_s: Annotated[float, msgspec.Meta(ge=0.2, le=60.0)] = 3.0  # for which a part is lent
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = 0.05  # by which clocks' rates differ
    burst_s: Annotated[float, msgspec.Meta(ge=0.01, le=10.0)] = 0.1  # of its part, saved up
    # Sent at most for reports of node health, load and heavy hitters; 0: by the number of proxies.
    report_bytes_per_s: Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = 0.0
    judge: bool = True  # of nodes: tell what was met there, believe others within bounds
    socket: Annotated[str, msgspec.Meta(max_length=100)] = ""  # a Unix socket for looking in
    budget: Annotated[tuple[BudgetTable, ...], msgspec.Meta(max_length=64)] = ()


def read_keys(path: str) -> Keys:
    """The lines of the key's file, the first one seals.  OSError, ValueError."""
    from .wire import MAX_KEY_BYTES, MIN_KEY_BYTES, Keys  # nothing of it where it is off

    with open(path, "rb") as file:
        data = file.read(4 * MAX_KEY_BYTES + 1)
    lines = [line.strip() for line in data.splitlines() if line.strip()]
    if not 1 <= len(lines) <= 2 or any(
        not MIN_KEY_BYTES <= len(line) <= MAX_KEY_BYTES for line in lines
    ):
        raise ValueError(f"one or two lines of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes are wanted")
    return Keys(lines)
