"""The plan as a work of the fleet: solved anew when it has drifted, published by one owner.

A process of the kit and no part of the daemon: the solver takes 60 MB and up to seconds of a core.
It takes part in the fleet with the daemon's own code (`violetroute/fleet`), under the work
`placement`; several may run, and one of them owns it.  A plan is an entry of the work's log, which
no late owner can write; the file that daemons read is a copy of the last entry, with its fence and
position.  A late owner may put an older copy there: daemons that have seen a higher one refuse it,
and the owner of now puts its own back at its next look.
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
from violetroute.fleet.runner import Fleet as Lives
from violetroute.fleet.runner import Work
from violetroute.placement.plan import Plan, load_plan
from violetroute.placement.ramp import moved_fraction
from violetroute.transport.sockets import SocketNetwork
from violetroute.transport.writer import ThreadWriter, Writer

from .fleet import Fleet, load_fleet
from .plan import made, write
from .solver import Unsolved, solve

WORK = "placement"


@dataclass
class Keeping:
    """When a plan is published.  Pure.  `drift`: share of the keys that a new plan would move at
    least; `every_s`: between two plans."""

    drift: float
    every_s: float
    last: Plan | None = None  # as published
    solved: Plan | None = None  # as the fleet is now; None: not solved, or no shares keep it
    now: float = 0.0  # Unix s

    def apply(self, body: Any) -> None:
        if isinstance(body, dict) and "plan" in body:
            try:
                self.last = msgspec.convert(body["plan"], Plan)
            except msgspec.ValidationError:
                return

    def decide(self) -> Any:
        solved, last = self.solved, self.last
        if solved is None:
            return None
        if last is not None:
            if self.now - last.made_at < self.every_s:
                return None
            if last.nodes == solved.nodes or (
                last.nodes.keys() == solved.nodes.keys()
                and moved_fraction(_numbered(last, solved), _numbered(solved, last)) < self.drift
            ):
                return None
        return {"plan": msgspec.to_builtins(solved)}


def _numbered(plan: Plan, other: Plan) -> dict[int, float]:
    names = sorted({*plan.nodes, *other.nodes})
    return {place: plan.nodes.get(name, 0.0) for place, name in enumerate(names)}


@dataclass
class Solver:
    """Reads the fleet's file where it has changed, solves beside the loop, keeps the copy."""

    fleet_file: Path
    out: Path
    keeping: Keeping
    writer: Writer
    said: Callable[[str], None]
    _mark: tuple[int, int] = (0, 0)
    _version: tuple[int, int] = field(default=(0, 0))
    _why: str = ""

    def __call__(self, told: Callable[[str], None]) -> None:
        last, version = self.keeping.last, self._version

        def job() -> tuple[Plan | None, tuple[int, int], str]:
            if last is not None:
                self._copy(msgspec.structs.replace(last, fence=version[0], position=version[1]))
            status = os.stat(self.fleet_file)
            mark = status.st_mtime_ns, status.st_size
            if mark == self._mark:
                return self.keeping.solved, mark, self._why
            fleet: Fleet = load_fleet(str(self.fleet_file))
            try:
                solution = solve(fleet, None if last is None else last.nodes)
            except Unsolved as error:
                return None, mark, str(error)
            if solution is None:
                return None, mark, "its constraints contradict each other: the last plan stays"
            plan = made(fleet, solution.shares, time.time(), f"from {self.fleet_file.name}")
            return plan, mark, ""

        def done(found: Any, error: BaseException | None) -> None:
            if error is not None:
                told(one_line(error))
                return
            self.keeping.solved, self._mark, why = found
            self.keeping.now = time.time()
            if why and why != self._why:
                self.said(why)
            self._why = why
            told("")

        self.writer.submit(job, done)

    def published(self, position: int, record: Record) -> None:
        """An entry of the log."""
        self._version = record.fence, position

    def _copy(self, plan: Plan) -> None:
        """What daemons read, where it is another's or has gone."""
        try:
            there = load_plan(str(self.out))
        except ValueError:
            there = None
        if there != plan:
            write(plan, self.out)

    def close(self) -> None:
        self.writer.close(0.0)


async def keep(
    operator: Operator,
    name: str,
    fleet_file: Path,
    out: Path,
    drift: float,
    every_s: float,
    look_s: float,
    said: Callable[[str], None],
    ends: asyncio.Event | None = None,
) -> None:
    """Until SIGTERM, SIGINT or `ends`; the lease is handed back."""
    loop = asyncio.get_running_loop()
    over = ends or asyncio.Event()
    if ends is None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, over.set)
    net = SocketNetwork(loop)
    table = msgspec.structs.replace(operator.fleet, works=(WORK,))
    keeping = Keeping(drift, every_s)
    solver = Solver(fleet_file, out, keeping, ThreadWriter(loop), said)

    def work(_: str) -> Work:
        made_ = LogWork(
            WORK, net, keeping, look_s, None, table.path, table.call_s, solver, solver.close
        )
        made_.on_entry(solver.published)
        return made_

    part = Lives(table, name, net, store_factory(table, net), work)
    await over.wait()
    await part.close()
