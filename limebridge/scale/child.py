"""Runs one measurement in a child process, with a time limit; cancellation kills the child."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys

import msgspec

from .measure import Answer, Failed

SELF_LIMIT_MARGIN_S = 5.0  # a child ends itself this long after the limit at which it is killed
MODULE = "limebridge.scale.measure"
MAX_REASON_LENGTH = 300  # characters of an error message that are kept


async def run_child(subject: str, size: int, time_limit: float, module: str = MODULE) -> Answer:
    """Measure `subject` at `size` in a new process; `Failed` with the reason if that fails.

    The process has ended when this returns or is cancelled.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        subject,
        str(size),
        "--time-limit",
        str(time_limit + SELF_LIMIT_MARGIN_S),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        start_new_session=True,  # Ctrl-C reaches only the parent, which then ends the child
        env=_environment(),
    )
    try:
        async with asyncio.timeout(time_limit):
            output, errors = await process.communicate()
    except TimeoutError:
        return Failed(f"no result after {time_limit:g} s")
    finally:
        await _end(process)
    return _answer(output, errors, process.returncode)


def _environment() -> dict[str, str]:
    """This environment without the operator's file, and with single-threaded numeric libraries."""
    kept = {key: value for key, value in os.environ.items() if key != "LIMEBRIDGE_OPERATOR"}
    return kept | {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}


def _answer(output: bytes, errors: bytes, status: int | None) -> Answer:
    lines = output.splitlines()
    try:
        answer: Answer = msgspec.json.decode(lines[-1] if lines else b"", type=Answer)
        return answer
    except msgspec.DecodeError:
        error_lines = errors.decode(errors="replace").strip().splitlines()
        reason = error_lines[-1] if error_lines else "it said nothing"
        return Failed(f"its process ended with status {status}: {reason[:MAX_REASON_LENGTH]}")


async def _end(process: asyncio.subprocess.Process) -> None:
    """Kill the child if it still runs, and wait until it has ended."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
