"""Settings of the gossip service: `[sharing]` of the operator's file."""

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
    """`[[sharing.budget]]`: rate at which the whole fleet admits certain requests."""

    name: BudgetName
    per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]  # requests a second, of all proxies
    tenant: Text = ""  # "": any tenant
    class_name: Text = ""  # "": any class


class SharingTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[sharing]`: disabled while `listen` is empty.

    SIGHUP applies a change of `budget`; other changes need a restart.
    """

    listen: str = ""  # "ADDRESS:PORT" for datagrams; other proxies send there
    key_file: str = ""  # one line; during a rotation two lines: both verify, the first signs
    seeds: Annotated[tuple[str, ...], msgspec.Meta(max_length=64)] = ()  # permanent members
    ways: dict[Text, str] = {}  # addresses by member, which override the announced ones
    # Maximum of proxies that ever run.  Budgets are divided by it: no proxy may set a lower value.
    proxies: Annotated[int, msgspec.Meta(ge=1, le=4000)] = 1
    probe_s: Annotated[float, msgspec.Meta(ge=0.05, le=60.0)] = 1.0  # s between two probes
    loan_s: Annotated[float, msgspec.Meta(ge=0.2, le=60.0)] = 3.0  # duration of a loan (s)
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = 0.05  # maximal error of a clock's rate
    burst_s: Annotated[float, msgspec.Meta(ge=0.01, le=10.0)] = 0.1  # s of its rate, saved up
    # Limit for reports of node health, load and heavy hitters; 0: by the number of proxies.
    report_bytes_per_s: Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = 0.0
    judge: bool = True  # send and use reports of node health and load
    socket: Annotated[str, msgspec.Meta(max_length=100)] = ""  # path for introspection
    budget: Annotated[tuple[BudgetTable, ...], msgspec.Meta(max_length=64)] = ()


def read_keys(path: str) -> Keys:
    """Read the key file; the first line signs.  OSError; ValueError for invalid lines."""
    # Imported here so that it is not loaded while the service is off.
    from .wire import MAX_KEY_BYTES, MIN_KEY_BYTES, Keys

    with open(path, "rb") as file:
        data = file.read(4 * MAX_KEY_BYTES + 1)
    lines = [line.strip() for line in data.splitlines() if line.strip()]
    if not 1 <= len(lines) <= 2 or any(
        not MIN_KEY_BYTES <= len(line) <= MAX_KEY_BYTES for line in lines
    ):
        raise ValueError(f"one or two lines of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes are wanted")
    return Keys(lines)
