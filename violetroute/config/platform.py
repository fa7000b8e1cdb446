"""What the proxy is told: PROXY_* and the JSON file, checked at the start and on SIGHUP."""

from __future__ import annotations

import json
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from snowstall import Settings
from snowstall.adapter import parse_settings
from violetroute.discovery import Listing, parse_listing
from violetroute.transport.address import Address, parse_address

RESERVED_SOCKETS = 32  # standard streams, event loop, listener, discovery, log, and some slack
# Of the sockets.  Clients hold a third for requests at most; each of these can have two
# attempts out, while a client's connection that has no request can be closed.
UPSTREAM_SHARE = 0.45
PROCESS_MB = 20  # what the program takes with no request open
VALUE_SHARE = 0.4  # of the memory beyond that; as much again goes to connections' buffers
LEAST_VALUES = 1024 * 1024  # bytes: some values of the longest kind must always fit


class ConfigError(Exception):
    """Said in one line; the proxy does not start, or keeps what it had."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    known: Listing
    settings: Settings
    connect_timeout: float  # seconds
    idle_timeout: float  # seconds after which a cache node closes an idle connection
    drain_grace: float  # seconds after which a draining node may get nothing new

    @property
    def upstream_sockets(self) -> int:
        return max(1, int((self.sockets - RESERVED_SOCKETS) * UPSTREAM_SHARE))

    @property
    def client_sockets(self) -> int:
        return max(1, self.sockets - RESERVED_SOCKETS - self.upstream_sockets)

    @property
    def value_room(self) -> int:
        """Bytes of values and answers that all clients together may keep in memory."""
        return max(LEAST_VALUES, int((self.memory_mb - PROCESS_MB) * VALUE_SHARE * 1024 * 1024))

    @property
    def longest_deadline(self) -> float:
        """Seconds."""
        return max(c.deadline for c in self.settings.classes) / 1000.0


def load(env: Mapping[str, str] = os.environ) -> Config:
    path = env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
        return _config(raw, env)
    except (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError,
            RecursionError) as error:
        text = f"missing {error}" if isinstance(error, KeyError) else " ".join(str(error).split())
        raise ConfigError(f"bad configuration in {path}: {text}") from error


def _config(raw: dict[str, Any], env: Mapping[str, str]) -> Config:
    settings = raw["settings"]
    caps, rules = settings["caps"], settings["guarantees"]
    config = Config(
        name=env.get("PROXY_NAME") or str(raw.get("name", "")),
        listen=parse_address(env.get("PROXY_LISTEN") or raw["listen"]),
        # The file first: it can be replaced and read anew, the environment never changes.
        discovery=parse_address(raw.get("discovery") or env["PROXY_DISCOVERY"]),
        seed=int(str(raw.get("seed", "0")), 16),
        sockets=int(raw.get("limits", {}).get("sockets", 1024)),
        memory_mb=float(raw.get("limits", {}).get("memory_mb", 64)),
        known=parse_listing(raw.get("known") or {"instances": []}),
        settings=parse_settings(settings),
        connect_timeout=float(caps.get("connectTimeoutMs", 250.0)) / 1000.0,
        idle_timeout=float(caps.get("connIdleMs", 15_000.0)) / 1000.0,
        drain_grace=float(rules.get("stopSendingWithinMs", 500.0)) / 1000.0,
    )
    if config.sockets < 2 * RESERVED_SOCKETS:
        raise ValueError(f"limits.sockets must be at least {2 * RESERVED_SOCKETS}")
    if not PROCESS_MB <= config.memory_mb < math.inf:
        raise ValueError(f"limits.memory_mb must be at least {PROCESS_MB}")
    return config
