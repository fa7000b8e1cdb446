"""HiGHS solver instances without a banner and with one thread."""

from __future__ import annotations

import os
import sys

import highspy


def create_highs() -> highspy.Highs:
    """Create an instance that prints nothing.

    The first instance writes a banner to file descriptor 1 before any option can be set, but a
    command's output must be its result alone.

    All instances use one thread: the first run in a process creates a scheduler for all later ones,
    and an instance with another number of threads then fails with "Not Set".
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
