"""Plans for real processes: the kinds that signals, relays and folders can do."""

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
WHO_AT_MOST = 12
SECONDS = (3.0, 5.0)
FAULTS = (1, 4)
ROLLING_SECONDS = (9.0, 13.0)  # about as long as a rollout and its way back
ROLLING_FAULTS = (1, 6)


def draw_real(seed: int, rolling: bool = False) -> Plan:
    """The plan of a seed; `rolling`: its faults spread over a rollout."""
    rng = random.Random(f"distribution/real/{seed}")
    seconds = rng.uniform(*(ROLLING_SECONDS if rolling else SECONDS))
    faults = generate_faults(
        rng,
        Fault,
        count=rng.randint(*(ROLLING_FAULTS if rolling else FAULTS)),
        since=0.2,
        until=seconds,
        kinds=KINDS,
        targets=WHO_AT_MOST,
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
