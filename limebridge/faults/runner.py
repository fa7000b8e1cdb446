"""Runs a plan of faults on real processes, with ledgers and settlement if the plan has them."""

from __future__ import annotations

import tempfile
from pathlib import Path

from .interruption import run
from .plan import Plan
from .rig import Outcome, Rig
from .settlement_rig import SettlementRig


def run_plan(plan: Plan, patch: str = "") -> Outcome:
    """Run one plan in a temporary folder.

    `patch`: a Python file whose plant() every daemon calls first, "" for none.  Raises
    KeyboardInterrupt when a signal ends the run; all processes have ended then.
    """
    with tempfile.TemporaryDirectory(prefix="faults-") as folder:
        rig = (SettlementRig if plan.settles else Rig)(plan, Path(folder), patch)
        return run(rig.run())
