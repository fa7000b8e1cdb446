"""Faults of the endpoint that all processes hand their effects to."""

from __future__ import annotations

import asyncio
import random

from limebridge.standins.effects import EffectEndpoint

TROUBLES = (
    "lost before",
    "lost after",
    "500 after",
    "twice",
)  # as `EffectEndpoint.fault` names them
SHARE = 0.5  # of the calls that one of them comes to


async def endpoint_fails(effects: EffectEndpoint, rng: random.Random, seconds: float) -> None:
    """For so many seconds, calls of the endpoint fail at random."""
    effects.fault = lambda: rng.choice(TROUBLES) if rng.random() < SHARE else ""
    await asyncio.sleep(seconds)
    effects.fault = lambda: ""
