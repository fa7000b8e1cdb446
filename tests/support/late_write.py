"""Runs real daemons with a late write: an owner is stopped between its check and its write.

The order is forced by events and does not depend on timing.  The daemons run with the pause point
of `pause_before_put`: the owner of the work stops before it puts an entry.  Another daemon then
acquires the lease and writes under its own claim, and only then the first one is continued.  The
rig goes on when the late write has ended.

Under load the other daemon may lose the lease between its claim and its first entry.  A late write
that overwrites such a claim leaves a valid log, so another owner is stopped then.
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
from violetroute.fleet.log import Record, decode

# The rule that is reported as violated if an awaited event did not happen.
NOT_FORCED = "not forced"
PLAN = Plan(seed=7, daemons=2, store="folder", works=1, term_s=0.4)
MAX_ATTEMPTS = 10  # owners that are stopped until one late write meets a claim that is in use
LOAD_PAUSE_POINT = f"""
import runpy
runpy.run_path({pause_before_put.__file__!r})["plant"]()
"""


class LateWriteRig(Rig):
    """A rig whose only fault is one late write; faults of the plan are ignored."""

    def __init__(self, plan: Plan, folder: Path, patch: str = "") -> None:
        super().__init__(plan, folder, patch)
        self.command = daemon_command(patch, prelude=LOAD_PAUSE_POINT)

    async def inject_faults(self) -> None:
        """Force late writes until one meets the claim of an owner that has written under it."""
        for _ in range(MAX_ATTEMPTS):
            if await self._force_late_write() or self.violations:
                return
        self.report_violation(NOT_FORCED, "each new owner lost its lease before its first entry")

    async def _force_late_write(self) -> bool:
        """Stop an owner before its write, wait for a new owner's claim, and continue the old owner.

        Returns whether the new owner had written under that claim.
        """
        for name in (STOPPED, WRITTEN):
            (self.folder / name).unlink(missing_ok=True)
        (self.folder / ARMED).touch()
        await self.wait_until(
            self._is_at_pause_point, NOT_FORCED, lambda: "no daemon stopped at a write"
        )
        if self.violations:
            return False
        await self.wait_until(self._is_taken_over, NOT_FORCED, lambda: "no other owner wrote")
        late_write = self._stopped()
        claim_is_used = self._is_claim_used()
        (daemon,) = (each for each in self.daemons if each.pid == late_write.pid)
        daemon.signal(signal.SIGCONT)
        await self.wait_until(
            (self.folder / WRITTEN).exists, NOT_FORCED, lambda: "the late write did not end"
        )
        return claim_is_used

    def _stopped(self) -> Stopped:
        return msgspec.json.decode((self.folder / STOPPED).read_bytes(), type=Stopped)

    def _is_at_pause_point(self) -> bool:
        return (self.folder / STOPPED).exists() and _is_stopped(self._stopped().pid)

    def _is_taken_over(self) -> bool:
        """Whether another owner's claim is at the late write's position, followed by a record."""
        records = self._records_of_others()
        return len(records) > 1 and records[0].kind == "claim"

    def _is_claim_used(self) -> bool:
        """Whether an entry follows the claim at the late write's position, under that claim."""
        claim, entry = self._records_of_others()[:2]
        return entry.kind == "entry" and entry.fence == claim.fence

    def _records_of_others(self) -> list[Record]:
        """The records of other owners from the late write's position on."""
        late_write = self._stopped()
        self.read_logs()
        records = [
            decode(data, late_write.log)
            for data in self.history.logs[late_write.log][late_write.position :]
        ]
        return [
            record for record in records if record is not None and record.nonce != late_write.nonce
        ]


def _is_stopped(pid: int) -> bool:
    """Whether the process is stopped; its state follows the name in brackets in /proc/PID/stat."""
    status = Path(f"/proc/{pid}/stat").read_text()
    return status.rpartition(")")[2].split()[0] == "T"


def run_plan(patch: str = "") -> Outcome:
    """Run two daemons with one late write, and check the run like any plan.

    `patch`: path of a file whose plant() both call first, "" for none.
    """
    with tempfile.TemporaryDirectory(prefix="late-write-") as folder:
        return asyncio.run(LateWriteRig(PLAN, Path(folder), patch).run())
