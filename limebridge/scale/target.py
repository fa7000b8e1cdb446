"""The size that the system is built for, as checked data.

The figures are in `target.toml` beside this module. A file with the same table can take its place,
for a smaller run or another plan.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from violetroute.config import ConfigError
from violetroute.config.tables import read_toml, to_struct

SECONDS_PER_DAY = 86_400.0
TARGET_FILE = Path(__file__).with_name("target.toml")

# Bounds on both sides also refuse NaN and infinity.
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000_000)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1e12)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The load, the promises and the budgets of the system at full size."""

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
        """Requests a second that one proxy takes when all take the same."""
        return self.requests_per_s / self.proxies

    @property
    def config_changes_per_s(self) -> float:
        """Changes of configuration a second, spread evenly over the day."""
        return self.config_changes_per_day / SECONDS_PER_DAY


class _File(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole of a target file."""

    target: Target


def load_target(path: Path | None = None) -> Target:
    """The target in the file at `path`, or the one that the program comes with.

    ConfigError with one line that names the key when it can't be used.
    """
    name = str(path or TARGET_FILE)
    target = to_struct(read_toml(name), _File, name).target
    _check_counts(target, name)
    return target


def _check_counts(target: Target, name: str) -> None:
    """Refuse counts that contradict each other: more groups than members."""
    pairs = (
        ("sites", target.sites, "proxies", target.proxies),
        ("regions", target.regions, "zones", target.zones),
        ("zones", target.zones, "nodes", target.nodes),
        ("regions", target.regions, "sites", target.sites),
    )
    for key, value, other, most in pairs:
        if value > most:
            raise ConfigError(f"{name}: [target] {key}: {value} is more than {other}, {most}")
