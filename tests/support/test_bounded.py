"""The limit on a program's CPU time ends a program that exceeds it, and affects no other."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

from tests.support import bounded


def test_a_program_beyond_its_limit_is_ended(tmp_path: Path) -> None:
    done = bounded.run([sys.executable, "-c", "while True: pass"], 1, tmp_path)
    assert done.returncode == -signal.SIGXCPU


def test_a_program_within_its_limit_keeps_its_output_and_exit_status(tmp_path: Path) -> None:
    program = "import sys; print('out'); print('err', file=sys.stderr); sys.exit(3)"
    done = bounded.run([sys.executable, "-c", program], 5, tmp_path)
    assert (done.returncode, done.stdout, done.stderr) == (3, "out\n", "err\n")
