"""The bound on a program's processor time is seen to hold, and to leave the others alone."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

from tests.support import bounded


def test_a_program_that_never_ends_is_ended(tmp_path: Path) -> None:
    done = bounded.run([sys.executable, "-c", "while True: pass"], 1, tmp_path)
    assert done.returncode == -signal.SIGXCPU


def test_a_program_within_its_bound_is_told_as_it_is(tmp_path: Path) -> None:
    program = "import sys; print('out'); print('err', file=sys.stderr); sys.exit(3)"
    done = bounded.run([sys.executable, "-c", program], 5, tmp_path)
    assert (done.returncode, done.stdout, done.stderr) == (3, "out\n", "err\n")
