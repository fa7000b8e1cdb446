"""What membership costs, and how late a death is known, where members are asked half as often.

With `[sharing] probe_s = 2` in place of 1. Both are of virtual time, so a busy machine changes
neither.
"""

from __future__ import annotations

from functools import partial

from .cost_definition import define_cost
from .measure_gossip import REST_S, failure_detection_s, settled_fleet, total_sent
from .registry import Subject, Values

SLOW_PROBE_S = 2.0  # between two members that a proxy asks


def measure(size: int) -> Values:
    """Bytes and the time until a death is known, of `size` members."""
    fleet = settled_fleet(size, SLOW_PROBE_S)
    _, sent_bytes = total_sent(fleet)
    fleet.run(REST_S)
    _, sent_bytes_later = total_sent(fleet)
    return {
        "slow_probe.bytes_per_s": (sent_bytes_later - sent_bytes) / (REST_S * size),
        "slow_probe.death_known_s": failure_detection_s(fleet),
    }


_cost = partial(define_cost, "slow_probe", "violetroute/sharing/members.py")

SUBJECT = Subject(
    name="slow_probe",
    per="member",
    costs=(
        _cost("bytes_per_s", "bytes/s", "Bytes that a member sends at rest, with probe_s = 2."),
        _cost(
            "death_known_s",
            "s",
            "From a member's silent end until the last other knows, with probe_s = 2.",
        ),
    ),
    sizes=(170, 350, 710, 1300, 2600),
    quick_sizes=(10, 20, 30, 45, 60),
    measure=measure,
    time_limit=900.0,
)
