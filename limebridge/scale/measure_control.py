"""Costs of a control machine by the number of proxies, at the target's rate of purges."""

from __future__ import annotations

from functools import partial

from .cost_definition import define_cost
from .registry import Subject, Values
from .run_sample import LEADER
from .small_run import role_of, run_small
from .target import load_target


def measure(size: int) -> Values:
    """Measure the only control machine of `size` proxies, a leader without followers."""
    machine = role_of(run_small(size, load_target().purges_per_s), LEADER)
    return {
        "control.cpu_share": machine.cpu_share,
        "control.bytes_out_per_s": machine.bytes_out.mean,
        "control.bytes_in_per_s": machine.bytes_in.mean,
        "control.memory_mb": machine.memory_mb,
        "control.messages_in_per_s": machine.messages_in.mean,
    }


_cost = partial(define_cost, "control", "violetroute/distribution/control.py")

SUBJECT = Subject(
    name="control",
    per="proxy",
    costs=(
        _cost("cpu_share", "of a core", "CPU time of the control process."),
        _cost("bytes_out_per_s", "bytes/s", "Payload out: answers to polls, with HTTP headers."),
        _cost("bytes_in_per_s", "bytes/s", "Payload in: polls, with HTTP headers."),
        _cost("memory_mb", "MB", "Resident memory of the control process."),
        _cost("messages_in_per_s", "1/s", "Requests that it answers: polls of its proxies."),
    ),
    sizes=(50, 150, 325, 500, 650),
    quick_sizes=(5, 10, 20, 30, 40),
    measure=measure,
    time_limit=180.0,
)
