"""The garbage collector's settings while the proxy is in service."""

from __future__ import annotations

import gc

THRESHOLD = 10_000  # allocations between collections; reference cycles are rare
GENERATION_RATIO = 20  # collections of a generation for one of the next older generation


def configure() -> None:
    """Skip the objects of start-up in collections, and collect seldom.

    A collection is part of a loop iteration, and all requests wait for it.
    """
    gc.freeze()
    gc.set_threshold(THRESHOLD, GENERATION_RATIO, GENERATION_RATIO)
