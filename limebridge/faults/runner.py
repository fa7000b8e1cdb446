"""Plays a plan of faults on the rig that it asks for: with ledgers and settlement, or without."""

from __future__ import annotations

import tempfile
from pathlib import Path

from .billed import Billed
from .interruption import run
from .plan import Plan
from .rig import Outcome, Rig


def play(plan: Plan, patch: str = "") -> Outcome:
    """One plan, in a folder of its own that is gone afterwards.

    `patch`: a file whose plant() every daemon runs first.  Raises KeyboardInterrupt when a signal
    ends the run; no process is left then.
    """
    with tempfile.TemporaryDirectory(prefix="faults-") as folder:
        rig = (Billed if plan.settles else Rig)(plan, Path(folder), patch)
        return run(rig.play())
