"""Publishes placement plans under a lease: solves again when the fleet file changes.

The publisher is a separate process and not part of the daemon, since the solver takes 60 MB and up
to seconds of CPU time.  It uses the daemon's lease code (`violetroute/fleet`) under the work
`placement`: several publishers may run, and one of them owns the work.

A plan is an entry of the work's log, to which a late owner cannot append.  The file that daemons
read is a copy of the last entry, with its fence and position.  A late owner may overwrite that file
with an older copy: daemons that have seen a higher version refuse it, and the current owner writes
its own copy again at its next check.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from violetroute.config.operator import Operator
from violetroute.error_text import one_line
from violetroute.fleet.job import LogWork
from violetroute.fleet.log import Record
from violetroute.fleet.make import store_factory
from violetroute.fleet.runner import Fleet as LeaseRunner
from violetroute.fleet.runner import Work
from violetroute.placement.plan import Plan, load_plan
from violetroute.placement.ramp import moved_fraction
from violetroute.transport.sockets import SocketNetwork
from violetroute.transport.writer import ThreadWriter, Writer

from .fleet import Fleet, load_fleet
from .plan import make_plan, write_plan
from .solver import SolverError, solve

WORK = "placement"


@dataclass
class PublishDecider:
    """Decides when a plan is published.  Pure.

    `drift`: minimal share of the keys that a new plan must move, unless it has other nodes.
    `every_s`: minimal time in s between two plans.
    """

    drift: float
    every_s: float
    last: Plan | None = None  # as published, without fence and position
    solved: Plan | None = None  # plan for the current fleet file; None: unsolved, or no solution
    now: float = 0.0  # Unix s

    def apply(self, body: Any) -> None:
        """Take the plan of a log entry as the last published one; other entries are ignored."""
        if isinstance(body, dict) and "plan" in body:
            try:
                self.last = msgspec.convert(body["plan"], Plan)
            except msgspec.ValidationError:
                return

    def decide(self) -> Any:
        """The log entry with the solved plan if it is to be published now, else None."""
        solved, last = self.solved, self.last
        if solved is None:
            return None
        if last is not None:
            if self.now - last.made_at < self.every_s:
                return None
            if last.nodes == solved.nodes or (
                last.nodes.keys() == solved.nodes.keys()
                and moved_fraction(_shares_by_index(last, solved), _shares_by_index(solved, last))
                < self.drift
            ):
                return None
        return {"plan": msgspec.to_builtins(solved)}


def _shares_by_index(plan: Plan, other: Plan) -> dict[int, float]:
    """The shares of a plan by index in the sorted names of both plans."""
    names = sorted({*plan.nodes, *other.nodes})
    return {index: plan.nodes.get(name, 0.0) for index, name in enumerate(names)}


@dataclass
class Solver:
    """Prepares each decision outside the event loop; passed to LogWork as `gather`.

    Writes the plan file again if it differs from the last entry, and solves if the fleet file has
    changed.  `on_no_solution`: called with the reason, if it is not the same as before.
    """

    fleet_file: Path
    out: Path
    decider: PublishDecider
    writer: Writer
    on_no_solution: Callable[[str], None]
    _file_signature: tuple[int, int] = (0, 0)
    _version: tuple[int, int] = field(default=(0, 0))
    _reason: str = ""

    def __call__(self, callback: Callable[[str], None]) -> None:
        """Start the job; `callback` is called with an error of the job, or "" when it has ended."""
        last, version = self.decider.last, self._version

        def job() -> tuple[Plan | None, tuple[int, int], str]:
            if last is not None:
                self._restore_plan_file(
                    msgspec.structs.replace(last, fence=version[0], position=version[1])
                )
            status = os.stat(self.fleet_file)
            signature = status.st_mtime_ns, status.st_size
            if signature == self._file_signature:
                return self.decider.solved, signature, self._reason
            fleet: Fleet = load_fleet(str(self.fleet_file))
            try:
                solution = solve(fleet, None if last is None else last.nodes)
            except SolverError as error:
                return None, signature, str(error)
            if solution is None:
                return (
                    None,
                    signature,
                    "its constraints contradict each other: the last plan remains in force",
                )
            plan = make_plan(fleet, solution.shares, time.time(), f"from {self.fleet_file.name}")
            return plan, signature, ""

        def done(result: Any, error: BaseException | None) -> None:
            if error is not None:
                callback(one_line(error))
                return
            self.decider.solved, self._file_signature, reason = result
            self.decider.now = time.time()
            if reason and reason != self._reason:
                self.on_no_solution(reason)
            self._reason = reason
            callback("")

        self.writer.submit(job, done)

    def record_version(self, position: int, record: Record) -> None:
        """Record the version of a log entry: the fence of its owner, and its position."""
        self._version = record.fence, position

    def _restore_plan_file(self, plan: Plan) -> None:
        """Write the plan file unless it has this plan: it may be missing or another publisher's."""
        try:
            current = load_plan(str(self.out))
        except ValueError:
            current = None
        if current != plan:
            write_plan(plan, self.out)

    def close(self) -> None:
        """Close the writer thread without waiting for a job."""
        self.writer.close(0.0)


async def run_publisher(
    operator: Operator,
    name: str,
    fleet_file: Path,
    out: Path,
    drift: float,
    every_s: float,
    check_interval_s: float,
    on_no_solution: Callable[[str], None],
    stop: asyncio.Event | None = None,
) -> None:
    """Publish plans until SIGTERM, SIGINT or `stop`, then release the lease.

    `check_interval_s`: s between two checks of both files.  `on_no_solution`: called with the
    reason.  `stop`: replaces the signals, which are handled only without it.
    """
    loop = asyncio.get_running_loop()
    stopped = stop or asyncio.Event()
    if stop is None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopped.set)
    net = SocketNetwork(loop)
    table = msgspec.structs.replace(operator.fleet, works=(WORK,))
    decider = PublishDecider(drift, every_s)
    solver = Solver(fleet_file, out, decider, ThreadWriter(loop), on_no_solution)

    def make_work(_: str) -> Work:
        log_work = LogWork(
            WORK,
            net,
            decider,
            check_interval_s,
            None,
            table.path,
            table.call_s,
            solver,
            solver.close,
        )
        log_work.on_entry(solver.record_version)
        return log_work

    runner = LeaseRunner(table, name, net, store_factory(table, net), make_work)
    await stopped.wait()
    await runner.close()
