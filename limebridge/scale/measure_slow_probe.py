"""Cost of membership and time to detect a crash, with probes half as frequent.

Measures with `[sharing] probe_s = 2` instead of 1.  Both values are in virtual time, so other load
on the machine does not affect them.
"""

from __future__ import annotations

from functools import partial

from .cost_definition import define_cost
from .measure_gossip import REST_S, failure_detection_s, settled_fleet, total_sent
from .registry import Subject, Values

SLOW_PROBE_S = 2.0  # s between two probes that a proxy sends


def measure(size: int) -> Values:
    """Measure bytes sent at rest, and the time to detect a crash, among `size` members."""
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
            "From a crash until the last other member considers it dead, with probe_s = 2.",
        ),
    ),
    sizes=(170, 350, 710, 1300, 2600),
    quick_sizes=(10, 20, 30, 45, 60),
    measure=measure,
    time_limit=900.0,
)
