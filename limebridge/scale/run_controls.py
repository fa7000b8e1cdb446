"""The control machines of a scale run: their configuration files, ports and relay addresses."""

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

LOG_ID = "scale-run"  # identity of the replicated log
READY_EVENT = "control.serves"  # logged by a control machine that is ready
LOOPBACK = "127.0.0.1"
LEASE_TERM_S = 5.0  # duration of the leader's lease
LEASE_POLL_INTERVAL_S = 0.5  # interval at which the lease is read


def control_name(number: int) -> str:
    """The name of the control machine with this index."""
    return f"control-{number}"


class ControlMachines:
    """Where the control machines listen, and through which relays each region reaches them.

    All addresses are on loopback.  The fleet fills `relay_ports` once the relays have started.
    """

    def __init__(self, plan: RunPlan, folder: Path, key_file: Path) -> None:
        self._plan, self._folder, self._key_file = plan, folder, key_file
        self.ports = free_ports(plan.controls)
        self.relay_ports: dict[tuple[int, int], int] = {}  # by (region, control machine)

    def relay_routes(self, regions: range) -> list[tuple[int, int]]:
        """The pairs of (region, control machine) for which these regions need a relay port."""
        return [(region, control) for region in regions for control in range(self._plan.controls)]

    def relay_ports_of(self, region: int) -> tuple[int, ...]:
        """The relay ports through which a region reaches the control machines, in their order."""
        return tuple(self.relay_ports[region, number] for number in range(self._plan.controls))

    def addresses_from(self, region: int) -> dict[str, Address]:
        """The addresses at which a region reaches the control machines, by machine name."""
        ports = enumerate(self.relay_ports_of(region))
        return {control_name(number): Address(LOOPBACK, port) for number, port in ports}

    def table(self, region: int) -> DistributionTable:
        """The table `[distribution]` of the proxies of a region."""
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
        """Write the configuration file of one control machine, and initialize its data folder."""
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
