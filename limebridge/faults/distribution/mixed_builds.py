"""Processes of two builds in one run: who runs which, and a rollout from one to the other and back.

A build is a folder with the packages of a commit (`limebridge.experiments.builds`); a process runs
it by being started there.
"""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from collections.abc import Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from limebridge.control.process import ControlMachines, ControlProcess
from limebridge.experiments.builds import NoBuild, folder
from limebridge.experiments.plan import HERE
from violetroute.distribution.messages import StatusReply

from .judge import Judge
from .plan import Plan
from .real_proxy import RealProxy, status_of

STEP_S = 0.05  # between two looks
CAUGHT_UP_S = 10.0  # a bound on waiting for a process that was replaced
KILLS = 0.25  # share of the processes that are killed and not told to end
SOURCE = "import violetroute.distribution; print(violetroute.distribution.__file__)"


class Faults(Protocol):
    """What a rollout asks of the faults that are played beside it."""

    def is_down(self, name: str) -> bool:
        """Whether a fault has ended this process and will start it again."""

    def taken_down(self, name: str) -> AbstractContextManager[None]:
        """No fault touches this process meanwhile."""


class Processes(Protocol):
    """The rig, as far as this module needs it."""

    @property
    def plan(self) -> Plan: ...
    @property
    def names(self) -> Sequence[str]: ...
    @property
    def machines(self) -> ControlMachines: ...
    @property
    def proxies(self) -> Sequence[RealProxy]: ...
    @property
    def faults(self) -> Faults: ...
    @property
    def judge(self) -> Judge: ...
    @property
    def leader(self) -> str: ...
    @property
    def now(self) -> float: ...

    def note(self, what: str) -> None:
        """A line of the run's story."""

    async def status_of_machine(self, number: int) -> StatusReply | None:
        """What this control machine says of itself; None: nothing in time."""


@dataclass(frozen=True)
class Builds:
    """Two builds that run side by side.

    `rolling`: all processes begin with the older one, and are replaced one after another by the
    newer one, and then by the older one again.  Else each keeps its own.
    """

    older: Path
    newer: Path
    rolling: bool = False


def unpack(older: str, under: Path, rolling: bool = False) -> Builds:
    """The build of a commit, and a copy of this checkout.  Raises NoBuild."""
    builds = Builds(folder(older, under), folder(HERE, under), rolling)
    for place in (builds.older, builds.newer):
        check_source(place)
    return builds


def check_source(place: Path) -> None:
    """Raises NoBuild unless a process that is started there runs the build of this folder."""
    done = subprocess.run(
        [sys.executable, "-c", SOURCE], cwd=place, capture_output=True, text=True, check=False
    )
    if done.returncode:
        raise NoBuild(f"{place}: {done.stderr.strip().splitlines()[-1]}")
    if not Path(done.stdout.strip()).is_relative_to(place.resolve()):
        raise NoBuild(f"{place}: a process there runs {done.stdout.strip()}")


def assign(builds: Builds, rig: Processes) -> None:
    """Give each process the build that it begins with; drawn from the plan's seed.

    Without a rollout at least one control machine and one proxy has each build, where there are
    two.
    """
    rng = random.Random(f"builds/{rig.plan.seed}")
    groups: tuple[Sequence[ControlProcess | RealProxy], ...] = (
        rig.machines.processes,
        rig.proxies,
    )
    for group in groups:
        count = len(group) if builds.rolling else rng.randint(1, max(1, len(group) - 1))
        older = set(rng.sample(range(len(group)), count))
        for number, process in enumerate(group):
            process.build = builds.older if number in older else builds.newer


class Rollout:
    """Replaces every process of a rig by one of another build.

    Control machines are replaced one after another, and proxies too, side by side with them.
    """

    def __init__(self, rig: Processes, builds: Builds) -> None:
        self._rig, self._builds = rig, builds
        self._machines_rng = random.Random(f"rollout/machines/{rig.plan.seed}")
        self._proxies_rng = random.Random(f"rollout/proxies/{rig.plan.seed}")
        self.replaced = 0
        self.leaders_replaced = 0

    async def play(self) -> None:
        """To the newer build and back.  Raises what starting a process raised."""
        await self._replace_all(self._builds.newer)
        await self._replace_all(self._builds.older)

    async def _replace_all(self, build: Path) -> None:
        """Raises the first failure; nothing is replaced after it."""
        both = [
            asyncio.create_task(self._replace_machines(build)),
            asyncio.create_task(self._replace_proxies(build)),
        ]
        try:
            await asyncio.gather(*both)
        finally:
            for task in both:
                task.cancel()
            await asyncio.gather(*both, return_exceptions=True)
        self._rig.note(f"all run {build.name}")

    async def _replace_machines(self, build: Path) -> None:
        numbers = list(range(len(self._rig.names)))
        self._machines_rng.shuffle(numbers)
        for number in numbers:
            await self._replace_machine(number, build)

    async def _replace_proxies(self, build: Path) -> None:
        proxies = list(self._rig.proxies)
        self._proxies_rng.shuffle(proxies)
        for proxy in proxies:
            killed = self._proxies_rng.random() < KILLS
            await self._replace(proxy.name, proxy, build, killed)
            await self._until_proxy_is_back(proxy)

    async def _replace_machine(self, number: int, build: Path) -> None:
        name = self._rig.names[number]
        leads = self._rig.leader == name
        self.leaders_replaced += leads
        if leads:
            self._rig.note(f"{name} leads")
        killed = self._machines_rng.random() < KILLS
        await self._replace(name, self._rig.machines.processes[number], build, killed)
        await self._until_machine_is_back(number)

    async def _replace(
        self, name: str, process: ControlProcess | RealProxy, build: Path, killed: bool
    ) -> None:
        faults = self._rig.faults
        while faults.is_down(name):  # a fault has ended it and will start it again
            await asyncio.sleep(STEP_S)
        with faults.taken_down(name):
            self._rig.note(f"{name} is {'killed' if killed else 'ended'}, then runs {build.name}")
            await (process.kill() if killed else process.term())
            process.build = build
            await process.start()
        self.replaced += 1

    # --- waiting, as an operator does before the next one ---
    async def _until_machine_is_back(self, number: int) -> None:
        """Until it has committed all that was committed when it was started."""
        due = self._rig.judge.committed
        end = self._rig.now + CAUGHT_UP_S
        while self._rig.now < end:
            status = await self._rig.status_of_machine(number)
            if status is not None and status.commit >= due and not status.recovering:
                return
            await asyncio.sleep(STEP_S)
        self._rig.note(f"{self._rig.names[number]} is not back, and the rollout goes on")

    async def _until_proxy_is_back(self, proxy: RealProxy) -> None:
        """Until it is fresh."""
        end = self._rig.now + CAUGHT_UP_S
        while self._rig.now < end:
            status = await status_of(proxy)
            if status is not None and status.fresh:
                return
            await asyncio.sleep(STEP_S)
        self._rig.note(f"{proxy.name} is not back, and the rollout goes on")
