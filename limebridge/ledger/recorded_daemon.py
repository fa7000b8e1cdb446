"""Runs the daemon with a scaled wall clock and records what its ledger's writes cover.

Usage: `python -m limebridge.ledger.recorded_daemon RECORD CLOCK [daemon's arguments]`.  CLOCK is
`START BEGAN SPEED` in one argument: the wall clock is START (Unix s) at the monotonic time BEGAN
and runs SPEED times as fast as the monotonic clock.  RECORD is a file of JSON lines, one event
each (`Event`), that are complete after a SIGKILL, since each is a single unbuffered write.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from violetroute.__main__ import main
from violetroute.ledger.counters import UsageCounters
from violetroute.ledger.store import Store
from violetroute.transport.sockets import SocketNetwork
from violetroute.transport.writer import ThreadWriter

JOB_BEGAN = "job began"  # the writer's thread begins a job
JOB_ENDED = "job ended"
COMMITTED = "committed"  # units collected until `at` are on disk


class Event(msgspec.Struct):
    """What happened at a monotonic time in seconds.  All processes of a machine share the clock."""

    kind: str
    at: float


def read_events(path: Path) -> list[Event]:
    """The events of a record, in order; none if the process ended before the first."""
    data = path.read_bytes() if path.exists() else b""
    return [msgspec.json.decode(line, type=Event) for line in data.splitlines()]


def covered_until(events: Iterable[Event], started_at: float) -> float:
    """When the units of the last completed write were collected; `started_at` without a write."""
    return max((event.at for event in events if event.kind == COMMITTED), default=started_at)


def unwritten_time(events: Sequence[Event], killed_at: float) -> float:
    """Seconds before a kill that no completed write covers, less those that jobs took.

    The time before the writer's first job, in which the process starts, does not count.
    """
    first_job = min((event.at for event in events if event.kind == JOB_BEGAN), default=killed_at)
    since = max(first_job, covered_until(events, first_job))
    in_jobs, began = 0.0, killed_at
    for event in events:
        if event.kind == JOB_BEGAN:
            began = event.at
        elif event.kind == JOB_ENDED:
            in_jobs += max(0.0, event.at - max(since, began))
            began = killed_at
    in_jobs += killed_at - max(since, began)  # a job under way
    return killed_at - since - in_jobs


def record_writes(path: str) -> None:
    """Makes the ledger of this process also append events to the file `path`."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
    collect, commit, submit = UsageCounters.collect, Store.commit, ThreadWriter.submit
    collected_at = time.monotonic()

    def append(kind: str, at: float) -> None:
        os.write(descriptor, msgspec.json.encode(Event(kind, at)) + b"\n")

    def recorded_collect(counters: UsageCounters) -> Any:
        nonlocal collected_at
        collected_at = time.monotonic()
        return collect(counters)

    def recorded_commit(store: Store, *written: Any) -> None:
        covered = collected_at  # units are not collected while a write runs
        commit(store, *written)
        append(COMMITTED, covered)

    def recorded_submit(writer: ThreadWriter, job: Callable[[], Any], callback: Any) -> None:
        def recorded_job() -> Any:
            append(JOB_BEGAN, time.monotonic())
            try:
                return job()
            finally:
                append(JOB_ENDED, time.monotonic())

        submit(writer, recorded_job, callback)

    for owner, name, method in (
        (UsageCounters, "collect", recorded_collect),
        (Store, "commit", recorded_commit),
        (ThreadWriter, "submit", recorded_submit),
    ):
        setattr(owner, name, method)


def scale_wall_clock(start: float, began: float, speed: float) -> None:
    """Makes the daemon's wall clock run `speed` times as fast as the monotonic clock."""

    def scaled(network: SocketNetwork) -> float:
        return start + (time.monotonic() - began) * speed

    setattr(SocketNetwork, "wall", scaled)  # noqa: B010  (mypy rejects an assignment)


if __name__ == "__main__":
    record, clock = sys.argv.pop(1), sys.argv.pop(1)
    scale_wall_clock(*map(float, clock.split()))
    record_writes(record)
    raise SystemExit(main())
