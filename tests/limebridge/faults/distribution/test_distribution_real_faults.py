"""Faults of the rig that overlap: each process is started once, and a minority loses its disk."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, cast

from limebridge.faults.distribution.plan import Fault
from limebridge.faults.distribution.real_faults import RealFaults
from tests.support.rig import until


class SlowToEnd:
    """A process that takes until `gone` to end, and answers meanwhile."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = True
        self.gone = asyncio.Event()
        self.kills = self.starts = 0

    async def kill(self) -> None:
        self.kills += 1
        await self.gone.wait()
        self.running = False

    async def start(self) -> None:
        assert not self.running, "a second process of one name"
        self.starts += 1
        self.running = True


class Machines:
    def __init__(self, folder: Path, names: list[str]) -> None:
        self.folder = folder
        self.processes = [SlowToEnd(name) for name in names]
        for number in range(len(names)):
            self.data_folder(number).mkdir()

    def data_folder(self, number: int) -> Path:
        return self.folder / f"c{number}"


class Stage:
    """What `RealFaults` asks of a rig."""

    def __init__(self, folder: Path) -> None:
        self.names = ["c0", "c1", "c2"]
        self.machines = Machines(folder, self.names)
        self.proxies = [SlowToEnd("p0")]
        self.recovering: set[str] = set()
        self.now = 0.0

    def note(self, what: str) -> None:
        """Nobody reads it here."""


class Faults(RealFaults):
    """Replaces a lost disk without a command."""

    async def _replace(self, number: int) -> None:
        self._rig.machines.data_folder(number).mkdir()


def test_two_kills_of_one_process_start_it_once(tmp_path: Path) -> None:
    async def play() -> None:
        for kind in ("kill", "kill_proxy"):
            folder = tmp_path / kind
            folder.mkdir()
            stage = Stage(folder)
            faults = Faults(cast(Any, stage))
            process = stage.machines.processes[0] if kind == "kill" else stage.proxies[0]
            faults.begin(Fault(0.0, cast(Any, kind), 0, 5.0))
            await until(lambda process=process: process.kills == 1)
            faults.begin(Fault(0.1, cast(Any, kind), 0, 5.0))  # it still runs: ending takes time
            await asyncio.sleep(0)
            process.gone.set()
            await faults.heal()
            assert (process.kills, process.starts, process.running) == (1, 1, True)

    asyncio.run(play())


def test_a_status_from_before_its_disk_was_lost_lets_no_second_machine_lose_its_own(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        stage = Stage(tmp_path)
        faults = Faults(cast(Any, stage))
        first, second = stage.machines.processes[:2]
        kept = stage.machines.data_folder(1) / "kept"
        kept.touch()
        faults.begin(Fault(0.0, "lose_disk", 0, 5.0))
        await until(lambda: first.kills == 1)
        stage.recovering.discard("c0")  # its old process still answers that it is whole
        faults.begin(Fault(0.1, "lose_disk", 1, 5.0))
        await until(lambda: second.kills == 1)
        first.gone.set()
        second.gone.set()
        await faults.heal()
        assert kept.exists()  # of three machines one may be without its disk
        assert stage.recovering == {"c0"}
        assert first.starts == second.starts == 1

    asyncio.run(play())
