"""Plans for real processes: only faults that signals, relays and data folders can cause."""

from __future__ import annotations

import random

from limebridge.faults.plan import generate_faults

from .plan import Fault, Kind, Plan

KINDS: tuple[Kind, ...] = (
    "kill",
    "kill",
    "pause",
    "pause",
    "lose_disk",
    "kill_proxy",
    "end_proxy",
    "pause_proxy",
    "cut",
    "cut_out",
    "cut_in",
    "cut_proxy",
    "split",
)
STALE_AFTER_S = 2.0
MAX_TARGETS = 12
FAULT_PHASE_S = (3.0, 5.0)
FAULT_COUNT = (1, 4)
ROLLING_FAULT_PHASE_S = (9.0, 13.0)  # about the duration of a rollout and its reversal
ROLLING_FAULT_COUNT = (1, 6)


def generate_real(seed: int, rolling: bool = False) -> Plan:
    """Returns the plan of a seed; with `rolling`, its faults are spread over a rollout."""
    rng = random.Random(f"distribution/real/{seed}")
    seconds = rng.uniform(*(ROLLING_FAULT_PHASE_S if rolling else FAULT_PHASE_S))
    faults = generate_faults(
        rng,
        Fault,
        count=rng.randint(*(ROLLING_FAULT_COUNT if rolling else FAULT_COUNT)),
        since=0.2,
        until=seconds,
        kinds=KINDS,
        targets=MAX_TARGETS,
        durations=(0.3, 1.0, 2.5),
    )
    return Plan(
        seed,
        round(seconds, 3),
        machines=rng.choice((3, 3, 3, 5)),
        proxies=rng.randint(3, 4),
        stale_after_s=STALE_AFTER_S,
        publications_per_s=10.0,
        fault=faults,
    )
