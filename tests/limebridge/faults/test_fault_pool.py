"""Signals in the worker processes of fault runs."""

from __future__ import annotations

import os
import signal
from pathlib import Path

import pytest

from limebridge.faults.pool import submit, worker_pool

INTERRUPT_ON_START = """
import os, signal, sys
if "from multiprocessing.spawn import spawn_main" in " ".join(sys.orig_argv):
    os.kill(os.getpid(), signal.SIGINT)
"""


def test_a_worker_interrupted_during_its_start_runs_nothing_and_prints_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """A SIGINT that arrives before `prepare_worker` must not end the interpreter with a traceback.

    The interpreter imports `sitecustomize` before any code of the project, so the signal is sent
    from there.
    """
    (tmp_path / "sitecustomize.py").write_text(INTERRUPT_ON_START)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    with pytest.raises(KeyboardInterrupt), worker_pool(1) as pool:
        submit(pool, os.getpid).result(timeout=60.0)
    assert capfd.readouterr().err == ""


def test_a_worker_has_no_signal_blocked_while_it_runs() -> None:
    with worker_pool(1) as pool:
        blocked = submit(pool, signal.pthread_sigmask, signal.SIG_BLOCK, ()).result(timeout=60.0)
        assert not blocked & {signal.SIGINT, signal.SIGTERM}
    own = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    assert not own & {signal.SIGINT, signal.SIGTERM}
