"""The size that the system is designed for, read and checked from a file.

The figures are in `target.toml` next to this module.  Another file with the same table can be used
instead, for a smaller run or another plan.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from violetroute.config import ConfigError
from violetroute.config.tables import read_toml, to_struct

SECONDS_PER_DAY = 86_400.0
TARGET_FILE = Path(__file__).with_name("target.toml")

# A lower and an upper bound together also reject NaN and infinity.
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000_000)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1e12)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The load, the guarantees and the resource budgets of the system at full size.

    `target.toml` describes each figure.
    """

    proxies: Count
    sites: Count
    nodes: Count
    regions: Count
    zones: Count
    requests_per_s: Rate
    tbit_per_s: Rate
    objects: Rate
    purges_per_s: Rate
    purge_within_s: Seconds
    config_changes_per_day: Rate
    config_within_s: Seconds
    control_cpu_share: Share
    control_memory_mb: Rate
    control_bytes_per_s: Rate
    control_machines: Count
    machines_fail_per_day: Rate
    machines_restart_per_day: Rate

    @property
    def requests_per_proxy(self) -> float:
        """Requests per second of one proxy, with the load spread evenly."""
        return self.requests_per_s / self.proxies

    @property
    def config_changes_per_s(self) -> float:
        """Configuration changes per second, spread evenly over the day."""
        return self.config_changes_per_day / SECONDS_PER_DAY


class _File(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of a target file."""

    target: Target


def load_target(path: Path | None = None) -> Target:
    """Read the target from the file at `path`, or from the one shipped with the program.

    Raises ConfigError, with a one-line message that names the invalid key.
    """
    name = str(path or TARGET_FILE)
    target = to_struct(read_toml(name), _File, name).target
    _check_counts(target, name)
    return target


def _check_counts(target: Target, name: str) -> None:
    """Raise ConfigError if there are more groups than members, such as more sites than proxies."""
    pairs = (
        ("sites", target.sites, "proxies", target.proxies),
        ("regions", target.regions, "zones", target.zones),
        ("zones", target.zones, "nodes", target.nodes),
        ("regions", target.regions, "sites", target.sites),
    )
    for key, value, other, maximum in pairs:
        if value > maximum:
            raise ConfigError(f"{name}: [target] {key}: {value} is more than {other}, {maximum}")
