"""Faults of the endpoint to which all processes send their effects."""

from __future__ import annotations

import asyncio
import random

from limebridge.standins.effects import EffectEndpoint

ENDPOINT_FAULTS = ("lost before", "lost after", "500 after", "twice")  # for EffectEndpoint.fault
FAULT_SHARE = 0.5  # share of the requests, while the endpoint fails


async def fail_endpoint(effects: EffectEndpoint, rng: random.Random, seconds: float) -> None:
    """For `seconds`, a random half of the requests to the endpoint meets a random fault."""
    effects.fault = lambda: rng.choice(ENDPOINT_FAULTS) if rng.random() < FAULT_SHARE else ""
    await asyncio.sleep(seconds)
    effects.fault = lambda: ""
