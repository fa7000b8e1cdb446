"""Costs of the distribution in a proxy, by purges per second."""

from __future__ import annotations

from functools import partial

from .cost_definition import define_cost
from .registry import Subject, Values
from .run_sample import HOLLOW
from .small_run import role_of, run_small

PROXIES = 60


def measure(size: int) -> Values:
    """Measure one of 60 hollow proxies at `size` purges per second."""
    hollow = role_of(run_small(PROXIES, float(size)), HOLLOW)
    return {
        "distribution.proxy_bytes_per_s": hollow.bytes_in.mean + hollow.bytes_out.mean,
        "distribution.proxy_wire_bytes_per_s": hollow.wire_bytes.mean,
        "distribution.proxy_cpu_share": hollow.cpu_share,
        "distribution.proxy_memory_mb": hollow.memory_mb,
        "distribution.proxy_polls_per_s": hollow.messages_out.mean,
    }


_cost = partial(define_cost, "distribution", "violetroute/distribution/service.py")

SUBJECT = Subject(
    name="distribution",
    per="purge/s",
    costs=(
        _cost("proxy_bytes_per_s", "bytes/s", "Payload both ways: polls, answers, HTTP headers."),
        _cost("proxy_wire_bytes_per_s", "bytes/s", "The same with estimated TCP and IP headers."),
        _cost(
            "proxy_cpu_share", "of a core", "CPU time of the hollow proxy's part of its process."
        ),
        _cost("proxy_memory_mb", "MB", "Memory of the hollow proxy, without its process."),
        _cost(
            "proxy_polls_per_s", "1/s", "Polls that a proxy sends, each with an acknowledgement."
        ),
    ),
    sizes=(10, 35, 71, 142, 284),
    quick_sizes=(5, 10, 20, 30, 40),
    measure=measure,
    time_limit=120.0,
)
