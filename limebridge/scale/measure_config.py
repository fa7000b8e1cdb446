"""Costs of a proxy's platform configuration: size, time to load it, time to check it."""

from __future__ import annotations

import json
import tempfile
from functools import partial
from pathlib import Path
from typing import Any

from limebridge.standins.configuration import configuration
from violetroute.config import load, parse

from .cost_definition import define_cost
from .process_facts import least_cpu_seconds
from .registry import Subject, Values
from .sample_list import DISCOVERY_PORT, node_entry

TENANTS = 200
ROUNDS = 11


def measure(size: int) -> Values:
    """Measure all costs of a configuration with `size` nodes and 200 tenants."""
    raw = _configuration(size)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "proxy.json"
        path.write_text(json.dumps(raw))
        environment = {"PROXY_CONFIG": str(path)}
        load_seconds = least_cpu_seconds(lambda: load(environment), ROUNDS)
        size_bytes = path.stat().st_size
    return {
        "config.bytes": size_bytes,
        "config.load_ms": load_seconds * 1e3,
        "config.check_ms": least_cpu_seconds(lambda: parse(raw), ROUNDS) * 1e3,
    }


def _configuration(nodes: int) -> dict[str, Any]:
    tenants = [
        {"name": f"tenant-{number:04d}", "share": 0.001, "quotaPerS": 500.0}
        for number in range(TENANTS)
    ]
    known = [node_entry(number) for number in range(nodes)]
    return configuration(DISCOVERY_PORT, known, realms=tenants)


_cost = partial(define_cost, "config", "violetroute/config/platform.py")

SUBJECT = Subject(
    name="config",
    per="node",
    costs=(
        _cost(
            "bytes",
            "bytes",
            "Size of the platform's file, with known nodes and 200 tenants.",
        ),
        _cost("load_ms", "ms", "CPU time to read and check that file, as on SIGHUP."),
        _cost("check_ms", "ms", "CPU time of the check alone, without decoding the JSON."),
    ),
    sizes=(46, 200, 600, 1200, 2400),
    quick_sizes=(20, 46, 80, 140, 200),
    measure=measure,
    runs=3,
)
