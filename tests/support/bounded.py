"""Runs a program of a test within a bound on the processor time that it uses.

What is played in virtual time takes the same processor time on a busy machine as on a quiet one;
its real time says how busy the machine is.
"""

from __future__ import annotations

import resource
import subprocess
from collections.abc import Sequence
from functools import partial
from pathlib import Path

HANGS_S = 900  # real time, for a program that waits and uses no processor


def run(
    arguments: Sequence[str], processor_s: int, folder: Path
) -> subprocess.CompletedProcess[str]:
    """Its output as text.  SIGXCPU ends a process that uses more than `processor_s` seconds.

    Raises subprocess.TimeoutExpired after HANGS_S of real time.
    """
    limit = partial(resource.setrlimit, resource.RLIMIT_CPU, (processor_s, processor_s + 1))
    return subprocess.run(
        arguments,
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
        timeout=HANGS_S,
        preexec_fn=limit,
    )
