"""Two builds in one run: their assignment to processes, and a rollout between them and back.

A build is a folder with the packages of a commit (`limebridge.experiments.builds`).  A process runs
it if it is started with that folder as its working directory.
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
from limebridge.experiments.builds import BuildError, build_folder
from limebridge.experiments.plan import THIS_CHECKOUT
from violetroute.distribution.messages import StatusReply

from .checker import RuleChecker
from .plan import Plan
from .real_proxy import RealProxy, status_of

POLL_INTERVAL_S = 0.05
CATCH_UP_TIMEOUT_S = 10.0  # s for a replaced process to catch up; the rollout goes on afterwards
KILL_SHARE = 0.25  # share of the processes that a rollout ends with SIGKILL instead of SIGTERM
PRINT_PACKAGE_PATH = "import violetroute.distribution; print(violetroute.distribution.__file__)"


class Faults(Protocol):
    """The faults that run at the same time as a rollout, as far as it has to know of them."""

    def is_down(self, name: str) -> bool:
        """Whether a fault has ended this process and will restart it."""

    def reserve(self, name: str) -> AbstractContextManager[None]:
        """Keeps faults from ending or starting this process inside the `with` block."""


class RigProcesses(Protocol):
    """The part of `Rig` that this module uses."""

    @property
    def plan(self) -> Plan:
        """The plan of the run."""
        ...

    @property
    def names(self) -> Sequence[str]:
        """The names of the control machines."""
        ...

    @property
    def machines(self) -> ControlMachines:
        """The processes of the control machines."""
        ...

    @property
    def proxies(self) -> Sequence[RealProxy]:
        """All proxies of the deployment."""
        ...

    @property
    def faults(self) -> Faults:
        """The faults that are injected during the run."""
        ...

    @property
    def checker(self) -> RuleChecker:
        """The checker that receives the violations of the run."""
        ...

    @property
    def leader(self) -> str:
        """The machine that was last to report itself as leader; empty before the first report."""
        ...

    @property
    def now(self) -> float:
        """Seconds of the event loop's clock."""
        ...

    def note(self, message: str) -> None:
        """Appends a line to the trace of the run."""

    async def status_of_machine(self, number: int) -> StatusReply | None:
        """The status of a control machine; None if it does not reply in time."""


@dataclass(frozen=True)
class Builds:
    """The folders of two builds that run in one deployment.

    With `rolling`, all processes start with the older build and are replaced one after another by
    the newer one, then by the older one again.  Otherwise each process keeps its build.
    """

    older: Path
    newer: Path
    rolling: bool = False


def unpack(older: str, under: Path, rolling: bool = False) -> Builds:
    """Unpacks the build of commit `older` and a copy of this checkout into folder `under`.

    Raises BuildError.
    """
    builds = Builds(build_folder(older, under), build_folder(THIS_CHECKOUT, under), rolling)
    for path in (builds.older, builds.newer):
        check_source(path)
    return builds


def check_source(path: Path) -> None:
    """Raises BuildError unless a process that is started in folder `path` imports its packages."""
    result = subprocess.run(
        [sys.executable, "-c", PRINT_PACKAGE_PATH],
        cwd=path,
        capture_output=True,
        text=True,
        check=False,
    )
    if result.returncode:
        raise BuildError(f"{path}: {result.stderr.strip().splitlines()[-1]}")
    if not Path(result.stdout.strip()).is_relative_to(path.resolve()):
        raise BuildError(f"{path}: a process started there imports {result.stdout.strip()}")


def assign(builds: Builds, rig: RigProcesses) -> None:
    """Assigns the initial build to each process, at random from the plan's seed.

    Without a rollout, both builds run on at least one control machine and on at least one proxy,
    provided that there are two of each.
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

    Control machines are replaced one after another, and at the same time the proxies are too.
    `leaders_replaced` counts the machines that were leader when they were replaced.
    """

    def __init__(self, rig: RigProcesses, builds: Builds) -> None:
        self._rig, self._builds = rig, builds
        self._machines_rng = random.Random(f"rollout/machines/{rig.plan.seed}")
        self._proxies_rng = random.Random(f"rollout/proxies/{rig.plan.seed}")
        self.replaced = 0
        self.leaders_replaced = 0

    async def run(self) -> None:
        """Rolls to the newer build and back.  Raises the exception of a start that failed."""
        await self._replace_all(self._builds.newer)
        await self._replace_all(self._builds.older)

    async def _replace_all(self, build: Path) -> None:
        """Replaces all processes.  Stops at the first failure and raises it."""
        tasks = [
            asyncio.create_task(self._replace_machines(build)),
            asyncio.create_task(self._replace_proxies(build)),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
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
            killed = self._proxies_rng.random() < KILL_SHARE
            await self._replace(proxy.name, proxy, build, killed)
            await self._wait_for_proxy(proxy)

    async def _replace_machine(self, number: int, build: Path) -> None:
        name = self._rig.names[number]
        leads = self._rig.leader == name
        self.leaders_replaced += leads
        if leads:
            self._rig.note(f"{name} leads")
        killed = self._machines_rng.random() < KILL_SHARE
        await self._replace(name, self._rig.machines.processes[number], build, killed)
        await self._wait_for_machine(number)

    async def _replace(
        self, name: str, process: ControlProcess | RealProxy, build: Path, killed: bool
    ) -> None:
        faults = self._rig.faults
        while faults.is_down(name):  # wait for the restart by the fault that ended it
            await asyncio.sleep(POLL_INTERVAL_S)
        with faults.reserve(name):
            self._rig.note(f"{name} is {'killed' if killed else 'ended'}, then runs {build.name}")
            await (process.kill() if killed else process.term())
            process.build = build
            await process.start()
        self.replaced += 1

    # --- waits, as an operator waits before replacing the next process ---
    async def _wait_for_machine(self, number: int) -> None:
        """Waits until the machine has committed everything that was committed at its start."""
        target_position = self._rig.checker.committed
        deadline = self._rig.now + CATCH_UP_TIMEOUT_S
        while self._rig.now < deadline:
            status = await self._rig.status_of_machine(number)
            if status is not None and status.commit >= target_position and not status.recovering:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self._rig.note(f"{self._rig.names[number]} has not caught up, the rollout continues")

    async def _wait_for_proxy(self, proxy: RealProxy) -> None:
        """Waits until the proxy is fresh."""
        deadline = self._rig.now + CATCH_UP_TIMEOUT_S
        while self._rig.now < deadline:
            status = await status_of(proxy)
            if status is not None and status.fresh:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self._rig.note(f"{proxy.name} is not fresh, the rollout continues")
