"""A pool of the fault runs whose processes are interrupted while they start."""

from __future__ import annotations

import os
import signal
from pathlib import Path

import pytest

from limebridge.faults.pool import submit, worker_pool

INTERRUPTS_ITSELF = """
import os, signal, sys
if "from multiprocessing.spawn import spawn_main" in " ".join(sys.orig_argv):
    os.kill(os.getpid(), signal.SIGINT)
"""


def test_a_worker_that_is_interrupted_while_it_starts_plays_nothing_and_says_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """The interpreter imports `sitecustomize` before any code of ours, as a slow start's moment."""
    (tmp_path / "sitecustomize.py").write_text(INTERRUPTS_ITSELF)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    with pytest.raises(KeyboardInterrupt), worker_pool(1) as pool:
        submit(pool, os.getpid).result(timeout=60.0)
    assert capfd.readouterr().err == ""


def test_a_pools_process_has_no_signal_blocked_while_it_plays() -> None:
    with worker_pool(1) as pool:
        blocked = submit(pool, signal.pthread_sigmask, signal.SIG_BLOCK, ()).result(timeout=60.0)
        assert not blocked & {signal.SIGINT, signal.SIGTERM}
    ours = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    assert not ours & {signal.SIGINT, signal.SIGTERM}
