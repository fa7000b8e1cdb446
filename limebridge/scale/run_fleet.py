"""Starts the processes of a scale run: relays, control machines, hosts of hollow proxies, daemons.

It also reads their counters, and collects what the hosts observed.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from limebridge.ports import free_ports
from limebridge.standins.configuration import configuration, environment
from limebridge.standins.discovery import Discovery
from limebridge.standins.nodes import CacheNode
from violetroute.distribution.table import DistributionTable

from .applied import Applied, read_stamps
from .hollow_host import HostFile, HostObservations, HostReady, Order, Report, Restart
from .instrumented import InstrumentFile
from .links import LinkTable
from .relay import RelayFile, RelayPorts, Route
from .run_controls import READY_EVENT, ControlMachines, control_name
from .run_plan import REGIONS_PER_RELAY, SEEDS, ProxyLocation, RunPlan
from .run_process import ProcessGroup, RunProcess
from .time_dilation import dilated_command
from .traffic import Counters, Traffic

SHARED_KEY_TEXT = "a key of this scale run\n"
DAEMON_READY_EVENT = "daemon.listens"  # logged by a daemon that is ready
MAX_CONCURRENT_STARTS = 4  # daemons that start at the same time

Progress = Callable[[str], None]


class CountedProcess:
    """An instrumented process with one block of counters: a real daemon or a control machine."""

    def __init__(self, process: RunProcess, region: int, counters: Path) -> None:
        self.process, self.region, self._path = process, region, counters
        self._counters: Counters | None = None

    def applied(self) -> Applied:
        """When the daemon applied each position; empty without distribution."""
        return read_stamps(self.process.name, self._path.with_suffix(".stamps"))

    def traffic(self) -> Traffic:
        """The present values of its counters, which stay readable after the process has exited."""
        if self._counters is None:
            self._counters = Counters(self._path, 1)
        return self._counters.read()[0]


class Fleet:
    """All processes of one run.  Their files are in `folder`."""

    def __init__(self, plan: RunPlan, folder: Path, progress: Progress) -> None:
        self.plan, self.folder, self._progress = plan, folder, progress
        self.group = ProcessGroup()
        self.links = LinkTable.create(folder / "links", plan.regions, plan.seed, plan.loss)
        self.key_file = folder / "key"
        self.key_file.write_text(SHARED_KEY_TEXT)
        self.relays: list[RunProcess] = []
        self.hosts: list[RunProcess] = []
        self.empty_bytes: list[int] = []  # resident memory of each host without hollow proxies
        self.real: list[CountedProcess] = []
        self.baseline: CountedProcess | None = None  # a daemon without control protocols
        self.controls: list[CountedProcess] = []
        self.control_machines = ControlMachines(plan, folder, self.key_file)
        self.start_s = time.time()
        self.gossip_port = 0
        self._stand_ins: list[Discovery | CacheNode] = []  # the started stand-ins

    # --- start ---
    async def start(self) -> None:
        """Start the processes of all roles, one role after the other.  Raises ProcessError."""
        plan = self.plan
        self.gossip_port = free_ports(1)[0] if plan.gossip else 0
        self._progress("relays")
        await self._start_relays()
        if plan.distribution:
            self._progress("control machines")
            await self._start_controls()
        self._progress("hollow proxies")
        await self._start_hosts()
        self._progress("real daemons")
        await self._start_real()

    async def close(self) -> None:
        """Stop all processes, and the stand-ins for discovery and a cache node."""
        try:
            await self.group.close()
        finally:
            for stand_in in self._stand_ins:
                await stand_in.stop()

    async def _start_relays(self) -> None:
        plan = self.plan
        for number in range(plan.relay_count):
            first = number * REGIONS_PER_RELAY
            regions = range(first, min(first + REGIONS_PER_RELAY, plan.regions))
            relay_routes = self.control_machines.relay_routes(regions)
            routes = tuple(
                Route(region, plan.control_region(control), self.control_machines.ports[control])
                for region, control in relay_routes
            )
            links = str(self.folder / "links")
            file = RelayFile(links, plan.regions, plan.seed, routes)
            process = await self._start_module("relay", f"relay-{number}", file)
            ports = await process.read_reply(RelayPorts)
            self.control_machines.relay_ports |= dict(zip(relay_routes, ports.ports, strict=True))
            self.relays.append(process)

    async def _start_module(self, module: str, name: str, file: msgspec.Struct) -> RunProcess:
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(file))
        process = self.group.add(name)
        name_of_module = f"limebridge.scale.{module}"
        await process.start(dilated_command(self.plan.slowdown, name_of_module, str(path)))
        return process

    async def _start_controls(self) -> None:
        for number in range(self.plan.controls):
            file = await self.control_machines.write_file(number)
            name, region = control_name(number), self.plan.control_region(number)
            counted = self.add_instrumented(name, region, None)
            command = self.instrumented_command(name, "violetroute.distribution", str(file))
            await counted.process.start(command, READY_EVENT)
            self.controls.append(counted)

    async def _start_hosts(self) -> None:
        plan, locations = self.plan, tuple(self.plan.hollow_locations())
        size = math.ceil(len(locations) / plan.host_count)
        host_parts = [locations[first : first + size] for first in range(0, len(locations), size)]
        for number, host_locations in enumerate(host_parts):
            file = self._host_file(number, host_locations, locations)
            self.hosts.append(await self._start_module("hollow_host", f"host-{number}", file))
        for process in self.hosts:
            self.empty_bytes.append((await process.read_reply(HostReady)).empty_bytes)
        for process in self.hosts:
            await process.send("run")

    def _host_file(
        self,
        number: int,
        host_locations: tuple[ProxyLocation, ...],
        locations: tuple[ProxyLocation, ...],
    ) -> HostFile:
        plan = self.plan
        return HostFile(
            places=host_locations,
            fleet=locations,
            counters=str(self.folder / f"host-{number}.counters"),
            links=str(self.folder / "links"),
            regions=plan.regions,
            seed=plan.seed,
            members=plan.members,
            nodes=plan.nodes,
            gossip_port=self.gossip_port,
            key_file=str(self.key_file),
            start_s=self.start_s,
            probe_s=plan.probe_s,
            requests=plan.requests,
            failed_share=plan.failed_share,
            distribution=self._distribution_tables(),
        )

    def _distribution_tables(self) -> tuple[DistributionTable, ...]:
        """The table of each region, by its index; empty without distribution."""
        regions = range(self.plan.regions) if self.plan.distribution else range(0)
        return tuple(self.control_machines.table(region) for region in regions)

    async def _start_real(self) -> None:
        if not self.plan.real:
            return
        self._discovery = await Discovery().start()
        self._stand_ins.append(self._discovery)
        self._node = await CacheNode().start()
        self._stand_ins.append(self._node)
        start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start(location: ProxyLocation, control: bool) -> CountedProcess:
            async with start_slots:
                return await self._start_daemon(location, control)

        locations = self.plan.real_locations()
        self.real = list(await asyncio.gather(*(start(location, True) for location in locations)))
        self.baseline = await start(msgspec.structs.replace(locations[0], name="bare"), False)

    async def _start_daemon(self, location: ProxyLocation, control: bool) -> CountedProcess:
        raw = configuration(self._discovery.port, [self._node.entry("s-0")])
        path = self.folder / f"{location.name}.platform.json"
        path.write_text(json.dumps(raw | {"name": location.name}))
        operator = self.folder / f"{location.name}.toml"
        operator.write_text(tomli_w.dumps(self._operator_tables(location) if control else {}))
        ports = self.control_machines.relay_ports_of(location.region)
        counted = self.add_instrumented(location.name, location.region, ports, stamps=control)
        command = self.instrumented_command(
            location.name, "violetroute", "--operator", str(operator)
        )
        await counted.process.start(command, DAEMON_READY_EVENT, environment(path))
        return counted

    def _operator_tables(self, location: ProxyLocation) -> dict[str, Any]:
        tables: dict[str, Any] = {"log": {"format": "json"}}
        if self.gossip_port:
            tables["sharing"] = {
                "listen": f"{location.host}:{self.gossip_port}",
                "key_file": str(self.key_file),
                "seeds": self._seed_addresses(location.region),
                "proxies": self.plan.members,
                "probe_s": self.plan.probe_s,
                "socket": str(self.folder / f"{location.name}.sharing"),
            }
        if self.plan.distribution:
            table = self.control_machines.table(location.region)
            tables["distribution"] = msgspec.to_builtins(table)
        return tables

    def _seed_addresses(self, region: int) -> list[str]:
        same_region = [
            location for location in self.plan.hollow_locations() if location.region == region
        ]
        return [f"{location.host}:{self.gossip_port}" for location in same_region[:SEEDS]]

    # --- instrumented processes ---
    def add_instrumented(
        self,
        name: str,
        region: int,
        counted_ports: tuple[int, ...] | None,
        stamps: bool = False,
    ) -> CountedProcess:
        """Add a process that the caller starts with the command of `instrumented_command`.

        `counted_ports` are the ports to which connections are counted; None counts all.  `stamps`
        records when the process applies log positions.
        """
        counters = self.folder / f"{name}.counters"
        file = InstrumentFile(
            str(counters),
            str(self.folder / "links"),
            self.plan.regions,
            region,
            self.plan.seed,
            counted_ports,
            str(counters.with_suffix(".stamps")) if stamps and self.plan.distribution else "",
        )
        (self.folder / f"{name}.instrument.json").write_bytes(msgspec.json.encode(file))
        return CountedProcess(self.group.add(name), region, counters)

    def instrumented_command(self, name: str, module: str, *arguments: str) -> tuple[str, ...]:
        """The command that runs a module of the daemon with counted sockets."""
        file = str(self.folder / f"{name}.instrument.json")
        launcher = "limebridge.scale.instrumented"
        return dilated_command(self.plan.slowdown, launcher, file, module, *arguments)

    # --- observation ---
    def counted_processes(self) -> list[CountedProcess]:
        """All real daemons and control machines."""
        others = [] if self.baseline is None else [self.baseline]
        return [*self.real, *others, *self.controls]

    def real_applied(self) -> list[Applied]:
        """When each real daemon with control protocols applied each position."""
        return [counted.applied() for counted in self.real]

    def control(self, name: str) -> CountedProcess:
        """The control machine of this name.  KeyError if there is none."""
        for counted in self.controls:
            if counted.process.name == name:
                return counted
        raise KeyError(name)

    def hollow_traffic(self) -> list[Traffic]:
        """The counters of each hollow proxy, in the order of the hosts."""
        blocks = list[Traffic]()
        for number in range(len(self.hosts)):
            path = self.folder / f"host-{number}.counters"
            count = os.path.getsize(path) // (len(Traffic.__struct_fields__) * 8)
            blocks += Counters(path, count).read()
        return blocks

    async def collect_observations(self, name: str) -> list[HostObservations]:
        """What each host has observed since the previous call.  Raises ProcessError.

        `name` is the suffix of the files that the hosts write.
        """
        paths = [self.folder / f"host-{n}.{name}" for n in range(len(self.hosts))]
        requests = (
            _send_order(process, Report(str(path)))
            for process, path in zip(self.hosts, paths, strict=True)
        )
        await asyncio.gather(*requests)
        return [msgspec.msgpack.decode(path.read_bytes(), type=HostObservations) for path in paths]

    async def restart_hollow(self, within_s: float, killed: bool) -> None:
        """Order the hosts to restart all hollow proxies, spread over `within_s` seconds.

        With `killed`, they do not end their sessions first.  Raises ProcessError.
        """
        order = Restart(within_s, killed)
        await asyncio.gather(*(_send_order(process, order) for process in self.hosts))


async def _send_order(process: RunProcess, order: Order) -> None:
    await process.request(msgspec.json.encode(order).decode(), str)
