"""Overlapping faults of the rig restart each process once, and only a minority loses its disk."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, cast

from limebridge.faults.distribution.plan import Fault
from limebridge.faults.distribution.real_faults import RealFaults
from tests.support.rig import wait_until


class SlowProcess:
    """A process that still runs after `kill` was called, until `end_allowed` is set."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = True
        self.end_allowed = asyncio.Event()
        self.kills = self.starts = 0

    async def kill(self) -> None:
        self.kills += 1
        await self.end_allowed.wait()
        self.running = False

    async def start(self) -> None:
        assert not self.running, "a second process was started under the same name"
        self.starts += 1
        self.running = True


class FakeMachines:
    def __init__(self, folder: Path, names: list[str]) -> None:
        self.folder = folder
        self.processes = [SlowProcess(name) for name in names]
        for number in range(len(names)):
            self.data_folder(number).mkdir()

    def data_folder(self, number: int) -> Path:
        return self.folder / f"c{number}"


class FakeRig:
    """The part of `Rig` that `RealFaults` uses."""

    def __init__(self, folder: Path) -> None:
        self.names = ["c0", "c1", "c2"]
        self.machines = FakeMachines(folder, self.names)
        self.proxies = [SlowProcess("p0")]
        self.recovering: set[str] = set()
        self.now = 0.0

    def note(self, message: str) -> None:
        """The trace is not used here."""


class FaultsWithoutCommand(RealFaults):
    """Replaces a lost disk without running `limebridge control init`."""

    async def _replace(self, number: int) -> None:
        self._rig.machines.data_folder(number).mkdir()


def test_overlapping_kills_of_a_process_restart_it_once(tmp_path: Path) -> None:
    async def run_case() -> None:
        for kind in ("kill", "kill_proxy"):
            folder = tmp_path / kind
            folder.mkdir()
            fake_rig = FakeRig(folder)
            faults = FaultsWithoutCommand(cast(Any, fake_rig))
            process = fake_rig.machines.processes[0] if kind == "kill" else fake_rig.proxies[0]
            faults.start(Fault(0.0, cast(Any, kind), 0, 5.0))
            await wait_until(lambda process=process: process.kills == 1)
            faults.start(Fault(0.1, cast(Any, kind), 0, 5.0))  # the process has not ended yet
            await asyncio.sleep(0)
            process.end_allowed.set()
            await faults.heal()
            assert (process.kills, process.starts, process.running) == (1, 1, True)

    asyncio.run(run_case())


def test_stale_status_of_a_lost_disk_does_not_allow_a_second_loss(
    tmp_path: Path,
) -> None:
    """The first machine's disk counts as lost, but its process still replies while it ends."""

    async def run_case() -> None:
        fake_rig = FakeRig(tmp_path)
        faults = FaultsWithoutCommand(cast(Any, fake_rig))
        first, second = fake_rig.machines.processes[:2]
        marker = fake_rig.machines.data_folder(1) / "kept"
        marker.touch()
        faults.start(Fault(0.0, "lose_disk", 0, 5.0))
        await wait_until(lambda: first.kills == 1)
        fake_rig.recovering.discard("c0")  # its old process still reports that it is not recovering
        faults.start(Fault(0.1, "lose_disk", 1, 5.0))
        await wait_until(lambda: second.kills == 1)
        first.end_allowed.set()
        second.end_allowed.set()
        await faults.heal()
        assert marker.exists()  # of three machines only one may lose its disk
        assert fake_rig.recovering == {"c0"}
        assert first.starts == second.starts == 1

    asyncio.run(run_case())
