"""HiGHS without its banner, and with one thread."""

from __future__ import annotations

import os
import sys

import highspy


def create_highs() -> highspy.Highs:
    """An instance that says nothing.

    Making the first one writes a banner to descriptor 1, before any option can be set: what a
    command prints has to be its answer alone.

    One thread for every instance: the first run in a process makes a scheduler for all later ones,
    and an instance that asks for another number of threads then fails with "Not Set".
    """
    sys.stdout.flush()
    kept, nowhere = os.dup(1), os.open(os.devnull, os.O_WRONLY)
    try:
        os.dup2(nowhere, 1)
        highs = highspy.Highs()  # type: ignore[no-untyped-call]
        highs.silent()
        highs.setOptionValue("threads", 1)
    finally:
        os.dup2(kept, 1)
        os.close(kept)
        os.close(nowhere)
    return highs
