"""Runs a program for a test with a limit on its CPU time.

A run in virtual time takes the same CPU time on a busy machine as on an idle one, while its real
time depends on the load of the machine.
"""

from __future__ import annotations

import resource
import subprocess
from collections.abc import Sequence
from functools import partial
from pathlib import Path

MAX_REAL_TIME_S = 900  # for a program that hangs without using CPU time


def run(
    arguments: Sequence[str], processor_s: int, folder: Path
) -> subprocess.CompletedProcess[str]:
    """Run a program in `folder`; returns its exit status and its output as text.

    SIGXCPU ends a program that uses more than `processor_s` seconds of CPU time.  Raises
    subprocess.TimeoutExpired after MAX_REAL_TIME_S.
    """
    limit = partial(resource.setrlimit, resource.RLIMIT_CPU, (processor_s, processor_s + 1))
    return subprocess.run(
        arguments,
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
        timeout=MAX_REAL_TIME_S,
        preexec_fn=limit,
    )
