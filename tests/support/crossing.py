"""A stop between an owner's check and its write, forced by events and not by luck.

Real daemons run with the pause point of `pause_before_put`.  The owner of the work stops before it
puts an entry, another daemon takes the lease over and writes under its own claim, and only then
the first one is continued.  The rig goes on once the late write is over.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
from pathlib import Path

import msgspec

from limebridge.faults.launch import daemon_command
from limebridge.faults.plan import Plan
from limebridge.faults.rig import Outcome, Rig
from tests.support import pause_before_put
from tests.support.pause_before_put import ARMED, STOPPED, WRITTEN, Stopped
from violetroute.fleet.log import decode

NOT_FORCED = "crossing"  # the property that is told as broken if an awaited event did not come
PLAN = Plan(seed=7, daemons=2, store="folder", works=1, term_s=0.4)
LOAD_PAUSE_POINT = f"""
import runpy
runpy.run_path({pause_before_put.__file__!r})["plant"]()
"""


class CrossingRig(Rig):
    """Its schedule is one crossing, in place of the plan's faults."""

    def __init__(self, plan: Plan, folder: Path, patch: str = "") -> None:
        super().__init__(plan, folder, patch)
        self.command = daemon_command(patch, prelude=LOAD_PAUSE_POINT)

    async def inject_faults(self) -> None:
        (self.folder / ARMED).touch()
        await self.wait_until(self._stands_stopped, NOT_FORCED, lambda: "nobody stopped at a write")
        if self.violations:
            return
        await self.wait_until(self._is_taken_over, NOT_FORCED, lambda: "no other owner wrote")
        late = self._stopped()
        (daemon,) = (each for each in self.daemons if each.pid == late.pid)
        daemon.signal(signal.SIGCONT)
        await self.wait_until(
            (self.folder / WRITTEN).exists, NOT_FORCED, lambda: "the late write did not end"
        )

    def _stopped(self) -> Stopped:
        return msgspec.json.decode((self.folder / STOPPED).read_bytes(), type=Stopped)

    def _stands_stopped(self) -> bool:
        return (self.folder / STOPPED).exists() and _is_stopped(self._stopped().pid)

    def _is_taken_over(self) -> bool:
        """Another owner's claim stands where the late entry belongs, and an entry behind it."""
        late = self._stopped()
        self.read_logs()
        found = [decode(data, late.log) for data in self.history.logs[late.log][late.position :]]
        kinds = [each.kind for each in found if each is not None and each.nonce != late.nonce]
        return kinds[:1] == ["claim"] and "entry" in kinds


def _is_stopped(pid: int) -> bool:
    """Whether the kernel has stopped the process; the state stands behind its name's bracket."""
    status = Path(f"/proc/{pid}/stat").read_text()
    return status.rpartition(")")[2].split()[0] == "T"


def play(patch: str = "") -> Outcome:
    """One crossing between two daemons that have run `patch`, judged like any plan."""
    with tempfile.TemporaryDirectory(prefix="crossing-") as folder:
        return asyncio.run(CrossingRig(PLAN, Path(folder), patch).run())
