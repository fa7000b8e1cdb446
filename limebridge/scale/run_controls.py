"""The control machines of a scale run: their files, and their addresses behind the relays."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import tomli_w

from limebridge.ports import free_ports
from violetroute.distribution.storage import init_folder
from violetroute.distribution.table import DistributionTable
from violetroute.transport import Address

from .run_plan import RunPlan

LOG_ID = "scale-run"  # the identity of the log
READY_EVENT = "control.serves"  # the event of a control machine that is ready
LOOPBACK = "127.0.0.1"
LEASE_TERM_S = 5.0  # of the leader's lease
LEASE_POLL_INTERVAL_S = 0.5  # between two looks at the lease


def control_name(number: int) -> str:
    """The name of a control machine."""
    return f"control-{number}"


class ControlMachines:
    """Where the control machines listen, and how each region reaches them."""

    def __init__(self, plan: RunPlan, folder: Path, key_file: Path) -> None:
        self._plan, self._folder, self._key_file = plan, folder, key_file
        self.ports = free_ports(plan.controls)
        self.relay_ports: dict[tuple[int, int], int] = {}  # by region and number of the control

    def relay_routes(self, regions: range) -> list[tuple[int, int]]:
        """Which relay ports these regions need."""
        return [(region, control) for region in regions for control in range(self._plan.controls)]

    def relay_ports_of(self, region: int) -> tuple[int, ...]:
        """Where the control machines are reached from a region."""
        return tuple(self.relay_ports[region, number] for number in range(self._plan.controls))

    def addresses_from(self, region: int) -> dict[str, Address]:
        """The same by name."""
        ports = enumerate(self.relay_ports_of(region))
        return {control_name(number): Address(LOOPBACK, port) for number, port in ports}

    def table(self, region: int) -> DistributionTable:
        """`[distribution]` of the proxies of a region."""
        plan = self._plan
        entries = (
            f"{LOOPBACK}:{port} r{plan.control_region(number)}"
            for number, port in enumerate(self.relay_ports_of(region))
        )
        return DistributionTable(
            controls=tuple(entries),
            key_file=str(self._key_file),
            region=f"r{region}",
            stale_after_s=plan.stale_after_s,
            configuration=True,
        )

    async def write_file(self, number: int) -> Path:
        """One machine's file, and its empty log."""
        name = control_name(number)
        folder = self._folder / name
        await asyncio.to_thread(init_folder, folder, name, LOG_ID, False)
        path = self._folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(self._tables(number, folder)))
        return path

    def _tables(self, number: int, folder: Path) -> dict[str, Any]:
        plan = self._plan
        region = plan.control_region(number)
        machines = [
            {
                "name": control_name(other),
                "address": f"{LOOPBACK}:{self.relay_ports[region, other]}",
                "region": f"r{plan.control_region(other)}",
            }
            for other in range(plan.controls)
        ]
        return {
            "name": control_name(number),
            "listen": f"{LOOPBACK}:{self.ports[number]}",
            "folder": str(folder),
            "key_file": str(self._key_file),
            "region": f"r{region}",
            "machine": machines,
            "fleet": {
                "store": "folder",
                "folder": str(self._folder / "lease"),
                "term_s": LEASE_TERM_S,
                "look_s": LEASE_POLL_INTERVAL_S,
            },
            "timings": {
                "batch_s": plan.batch_s,
                "spread_s": plan.spread_s,
                "stale_after_s": plan.stale_after_s,
            },
            "log": {"format": "json"},
        }
