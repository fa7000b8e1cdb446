"""Faults of the endpoint that all processes hand their effects to."""

from __future__ import annotations

import asyncio
import random

from limebridge.standins.effects import Effects

TROUBLES = ("lost before", "lost after", "500 after", "twice")  # as `Effects.trouble` names them
SHARE = 0.5  # of the calls that one of them comes to


async def endpoint_fails(effects: Effects, rng: random.Random, seconds: float) -> None:
    """For so many seconds, calls of the endpoint fail at random."""
    effects.trouble = lambda: rng.choice(TROUBLES) if rng.random() < SHARE else ""
    await asyncio.sleep(seconds)
    effects.trouble = lambda: ""
