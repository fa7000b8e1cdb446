"""One measurement as a child process: bounded in time, gone when its owner is called off."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys

import msgspec

from .measure import Answer, Failed

KILL_GRACE_S = 5.0  # s beyond its own time limit, until a child is killed
MODULE = "limebridge.scale.measure"
MAX_REASON_LENGTH = 300  # characters of an error that are kept


async def run_child(subject: str, size: int, time_limit: float, module: str = MODULE) -> Answer:
    """The answer of a fresh process, or why there is none.  It is gone when this returns."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        subject,
        str(size),
        "--time-limit",
        str(time_limit + KILL_GRACE_S),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        start_new_session=True,  # Ctrl-C reaches its owner alone, who then ends it
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
    """Without the operator's own files, and with one thread for the numeric libraries."""
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
    """Kill the child if it still runs, and wait for it."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
