"""Measures the cost of ownership and how long a work has no owner, mostly on real daemons.
Each figure is from one run on this machine; bounds are what the settings guarantee.

    python benchmarks/fleet.py gaps --rounds 10      # after a kill, a stop, a cut, a clean exit
    python benchmarks/fleet.py calls                 # at Consul: at rest, and when all restart
    python benchmarks/fleet.py emulated --lives 710  # the same with 710 processes in memory
    python benchmarks/fleet.py off                   # memory and CPU, fleet off and on by turns
    python benchmarks/fleet.py cut                   # effects while a fifth of them is cut off
    python benchmarks/fleet.py whole --states 1000000  # model check; --lives 3: of three processes
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from limebridge.faults import memory as virtual
from limebridge.faults.daemon import BEAT_S
from limebridge.faults.model import Bounds, World
from limebridge.faults.plan import Fault, Plan
from limebridge.faults.process import Process
from limebridge.faults.rig import Rig
from limebridge.faults.state_space import check
from limebridge.standins.consul import Consul
from limebridge.standins.wire import command, read_answer
from limebridge.virtual.session import isolated_run
from violetroute.fleet.assignment import MAX_RANK
from violetroute.fleet.lease import Lease

TERM_S, POLL_S, CALL_S = 0.8, 0.1, 0.4  # s: a lease's term, between polls, timeout of a call


def max_gap_s(fault: str, store: str) -> float:
    """Longest time without an effect after a fault; a Consul session may last for two terms."""
    # A poll, the wait of the last rank, the calls that acquire, claim and put, and a beat.
    base = POLL_S * 1.2 + MAX_RANK * POLL_S * 0.25 + 3 * CALL_S + BEAT_S
    if fault == "term" or (fault == "kill" and store == "folder"):
        return base
    return base + TERM_S * (2.0 if store == "consul" else 1.0) + (TERM_S if fault == "cut" else 0.0)


class OwnerFaultRig(Rig):
    """Injects a fault into the owner `rounds` times; `gaps` are the s without an effect."""

    fault_name = "kill"
    rounds = 10

    async def inject_faults(self) -> None:
        self.gaps: list[float] = []
        for _ in range(self.rounds):
            await self.wait_until(
                lambda: len(self.effects.applied) > 2, "starts", lambda: "no effect"
            )
            await asyncio.sleep(2.0 * TERM_S)
            last = self.effects.applied[-1]
            owner = next(d for d in self.daemons if d.name == self._daemon_name(last.nonce))
            injected_at = self.now
            fault = Fault(0.0, "stop", owner.number, 3.0 * TERM_S)
            task = asyncio.create_task(self._inject_into(owner, fault))
            await self.wait_until(
                lambda last=last: self.effects.applied[-1].nonce != last.nonce,  # type: ignore[misc]
                "goes on",
                lambda: "no other owner",
            )
            stopped_at = next(e.at for e in reversed(self.effects.applied) if e.nonce == last.nonce)
            resumed_at = next(e.at for e in self.effects.applied if e.at > stopped_at)
            self.gaps.append(resumed_at - max(stopped_at, injected_at))
            await task

    async def _inject_into(self, owner: Any, fault: Fault) -> None:
        if self.fault_name == "cut":
            for relay in owner.relays:
                await self._cut_relay(relay)
        elif self.fault_name == "stop":
            await owner._stop(fault)
        else:
            await getattr(owner, f"_{self.fault_name}")(msgspec.structs.replace(fault, seconds=0.2))

    @staticmethod
    async def _cut_relay(relay: Any) -> None:
        from limebridge.faults.relay import Impairment

        relay.impair(Impairment(cut=True), Impairment(cut=True))
        await asyncio.sleep(4.0 * TERM_S)
        relay.impair()

    def _daemon_name(self, nonce: str) -> str:
        """The daemon of the incarnation with this nonce, by the records in the log of the work."""
        from violetroute.fleet.log import decode

        self.read_logs()
        for data in reversed(self.history.logs.get("beat-0", [])):
            record = decode(data, "beat-0")
            if record is not None and record.nonce == nonce:
                return record.name
        return "p0"


def gaps(rounds: int) -> None:
    """Print the gaps by store and fault.  `broken`: the rules that were violated."""
    for store in ("folder", "consul"):
        for fault in ("kill", "stop", "cut", "term"):
            with tempfile.TemporaryDirectory() as folder:
                rig = OwnerFaultRig(Plan(1, 60.0, 5, store, 1, False, TERM_S), Path(folder))
                rig.fault_name, rig.rounds = fault, rounds
                outcome = asyncio.run(rig.run())
            gaps_s = sorted(rig.gaps)
            print(
                json.dumps(
                    {
                        "store": store,
                        "owner": fault,
                        "rounds": len(gaps_s),
                        "least": round(gaps_s[0], 3),
                        "middle": round(gaps_s[len(gaps_s) // 2], 3),
                        "most": round(gaps_s[-1], 3),
                        "bound": round(max_gap_s(fault, store), 3),
                        "broken": outcome.violations,
                    }
                ),
                flush=True,
            )


class ConsulCallsRig(Rig):
    """Counts calls at Consul, at `rest` and while all daemons `restart`; both with a time in s."""

    async def inject_faults(self) -> None:
        assert self.consul is not None
        await asyncio.sleep(3.0)
        before, started_at = self.consul.kv.calls, self.now
        effects_before = len(self.effects.applied)
        await asyncio.sleep(10.0)
        idle_calls = self.consul.kv.calls - before
        self.effects_at_rest = len(self.effects.applied) - effects_before
        self.rest = (idle_calls, self.now - started_at)
        before, started_at = self.consul.kv.calls, self.now
        await asyncio.gather(*(d.end_process(kill=True) for d in self.daemons))
        await asyncio.gather(*(d.start() for d in self.daemons))
        await asyncio.sleep(3.0)
        self.restart = (self.consul.kv.calls - before, self.now - started_at)


def calls() -> None:
    """Print the calls at Consul of eight daemons with four works; each effect counts as three."""
    with tempfile.TemporaryDirectory() as folder:
        rig = ConsulCallsRig(Plan(1, 60.0, 8, "consul", 4, False, TERM_S), Path(folder))
        outcome = asyncio.run(rig.run())
    print(
        json.dumps(
            {
                "daemons": 8,
                "works": 4,
                "term_s": TERM_S,
                "rest_calls_a_s": round(rig.rest[0] / rig.rest[1], 1),
                "of_them_for_effects": round(3.0 * rig.effects_at_rest / rig.rest[1], 1),
                "restart_calls": rig.restart[0],
                "restart_s": round(rig.restart[1], 1),
                "broken": outcome.violations,
            }
        )
    )


class IdleWorld(virtual.World):
    """Counts the calls of many processes, candidates for ten works that only write their claims."""

    async def measure(self, processes: int) -> dict[str, float]:
        """Count calls at Consul while `processes` processes start, rest, and restart after a kill.

        The result also has the highest count of one second of both starts.
        """
        self.processes = [Process(self, number) for number in range(processes)]
        for process in self.processes:
            process.port, process.consul_port = 0, await self._open_port(self.consul)
            process.start()
        start = await self._count_calls(15.0)
        rest = await self._count_calls(30.0)
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.start()
        restart = await self._count_calls(30.0)
        leases = [
            msgspec.json.decode(entry.value, type=Lease)
            for key, entry in self.consul.kv.entries.items()
            if "/lease/" in key
        ]
        for process in self.processes:
            process.kill()
        return {
            "lives": processes,
            "works": len(self.works),
            "start_calls": start[0],
            "start_peak_in_a_s": start[1],
            "rest_calls_a_s": round(rest[0] / 30.0, 2),
            "restart_calls": restart[0],
            "restart_peak_in_a_s": restart[1],
            "owned": sum(not lease.free for lease in leases),
        }

    async def _open_port(self, consul: Consul) -> int:
        server = await asyncio.start_server(consul._serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def _count_calls(self, seconds: float) -> tuple[int, int]:
        """The calls of the next `seconds` in total, and the most within one second."""
        before, counts = self.consul.kv.calls, Counter[int]()
        for second in range(int(seconds)):
            previous = self.consul.kv.calls
            await asyncio.sleep(1.0)
            counts[second] = self.consul.kv.calls - previous
        return self.consul.kv.calls - before, max(counts.values())


def emulated(processes: int) -> None:
    """Print the calls at Consul of many processes in memory, with ten works and a term of 15 s."""
    plan = Plan(1, 1.0, 2, "consul", 10, False, 15.0)
    started_at = time.perf_counter()
    with tempfile.TemporaryDirectory() as folder:
        world = IdleWorld(plan, Path(folder))
        world.beat_s, world.poll_s = 1e6, 1.0
        world.works = [f"beat-{number}" for number in range(10)]
        with isolated_run(50):
            row = world.loop.run_until_complete(world.measure(processes))
        world.loop._ready.clear()  # type: ignore[attr-defined]  # callbacks of killed processes
    print(json.dumps(row | {"wall_s": round(time.perf_counter() - started_at, 1)}))


class FleetCostRig(Rig):
    """Measures by daemon `memory` (MiB) and CPU: `rest` (s per s), `request_us` (less `rest`)."""

    fleet_on = False
    requests = 1500  # per daemon

    async def inject_faults(self) -> None:
        """Measure at rest and under load.  No fault is injected."""
        await asyncio.sleep(2.0)
        self.memory = [_resident_mb(d.pid) for d in self.daemons]
        before = [_cpu_s(d.pid) for d in self.daemons]
        await asyncio.sleep(10.0)
        self.rest = [(_cpu_s(d.pid) - b) / 10.0 for d, b in zip(self.daemons, before, strict=True)]
        before = [_cpu_s(d.pid) for d in self.daemons]
        started_at = self.now
        await asyncio.gather(*(self._client(d) for d in self.daemons))
        idle = [rest * (self.now - started_at) for rest in self.rest]
        self.request_us = [
            1e6 * (_cpu_s(d.pid) - b - i) / self.requests
            for d, b, i in zip(self.daemons, before, idle, strict=True)
        ]

    async def _client(self, daemon: Any) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", daemon.child.port)
        for number in range(self.requests):
            writer.write(
                command(
                    b"OBJ.GET",
                    b"k%d" % (number % 50),
                    f"{daemon.name}-{number}".encode(),
                    b"c=lookup,t=t,d=3000",
                )
            )
            await read_answer(reader)
        writer.close()


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def _resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def off() -> None:
    """Print memory and CPU of four daemons without and with the fleet, by turns in three rounds."""
    import limebridge.faults.daemon as daemons

    for turn in range(3):
        for on in (False, True):
            with tempfile.TemporaryDirectory() as folder:
                plan = Plan(1, 60.0, 4, "folder", 1, False, 15.0)
                rig = FleetCostRig(plan, Path(folder))
                rig.fleet_on = on
                if not on:
                    rig.wait_for_progress = rig.settle  # type: ignore[method-assign]
                    original = daemons.Daemon.write_operator_file

                    def write_empty_file(self: Any) -> Path:
                        path = self.rig.folder / f"{self.name}.toml"
                        path.write_text("")
                        return Path(path)

                    daemons.Daemon.write_operator_file = write_empty_file  # type: ignore[method-assign]
                asyncio.run(rig.run())
                if not on:
                    daemons.Daemon.write_operator_file = original  # type: ignore[method-assign]
            print(
                json.dumps(
                    {
                        "turn": turn,
                        "fleet": "on" if on else "off",
                        "rest_mb": [round(mb, 1) for mb in rig.memory],
                        "rest_cpu": [round(cpu, 4) for cpu in rig.rest],
                        "request_us": [round(us) for us in rig.request_us],
                    }
                ),
                flush=True,
            )


class CutRig(Rig):
    """Measures effects per second before and while one of five daemons is cut off from all."""

    async def inject_faults(self) -> None:
        from limebridge.faults.relay import Impairment

        await asyncio.sleep(2.0)
        before = len(self.effects.applied)
        await asyncio.sleep(5.0)
        self.rate_before = (len(self.effects.applied) - before) / 5.0
        for relay in self.daemons[0].relays:
            relay.impair(Impairment(cut=True), Impairment(cut=True))
        before = len(self.effects.applied)
        await asyncio.sleep(8.0)
        self.rate_during = (len(self.effects.applied) - before) / 8.0


def cut() -> None:
    """Print the rates of effects of five daemons with five works, for each kind of store."""
    for store in ("folder", "consul"):
        with tempfile.TemporaryDirectory() as folder:
            rig = CutRig(Plan(1, 60.0, 5, store, 5, False, TERM_S), Path(folder))
            outcome = asyncio.run(rig.run())
        print(
            json.dumps(
                {
                    "store": store,
                    "effects_a_s": round(rig.rate_before, 1),
                    "with_a_fifth_cut_off": round(rig.rate_during, 1),
                    "share": round(rig.rate_during / rig.rate_before, 3),
                    "broken": outcome.violations,
                }
            ),
            flush=True,
        )


def whole(states: int, processes: int) -> None:
    """Model-check the leases of `processes` processes, up to `states` states."""
    started_at = time.perf_counter()
    result = check(World(Bounds(incarnations=processes)), states)
    print(
        json.dumps(
            {
                "lives": processes,
                "states": result.states,
                "steps": result.steps,
                "depth": result.depth,
                "whole": result.complete,
                "healed": result.liveness_checks,
                "stories": result.traces,
                "s": round(time.perf_counter() - started_at),
            }
        )
    )


def main() -> None:
    """Run the measurement that the command line names; it prints rows of JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("gaps", "calls", "emulated", "off", "cut", "whole"))
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--lives", type=int, default=710)
    parser.add_argument("--states", type=int, default=1_000_000)
    options = parser.parse_args()
    if options.what == "gaps":
        gaps(options.rounds)
    elif options.what == "calls":
        calls()
    elif options.what == "emulated":
        emulated(options.lives)
    elif options.what == "off":
        off()
    elif options.what == "cut":
        cut()
    else:
        whole(options.states, min(3, max(2, options.lives)) if options.lives < 4 else 2)


if __name__ == "__main__":
    main()
