"""Costs of gossip membership by the number of members, at rest and after a member crashes.

All members run in one process on a virtual clock and an in-memory network.  The CPU time includes
that of the network, so it is an upper bound.  Bytes are those of the datagrams, without UDP and IP
headers.
"""

from __future__ import annotations

from functools import partial

from limebridge.virtual.session import isolated_run
from violetroute.sharing.table import SharingTable

from .cost_definition import define_cost
from .process_facts import cpu_seconds, resident_bytes
from .registry import MeasurementError, Subject, Values
from .virtual_members import DEAD, LOG_LEVEL, VirtualMembers

SETTLE_S, REST_S = 5.0, 30.0  # virtual time before and during the measurement at rest
DETECTION_STEP_S, MAX_DETECTION_S = 1.0, 120.0
DATAGRAM_INTERVAL_S = 0.02  # s between two received datagrams when memory is measured
TOTAL_MEMBERS = 10_000  # members in the lists of all copies, to measure the memory of small fleets
MAX_COPIES = 20


def measure(size: int) -> Values:
    """Measure all costs of membership in a fleet of `size` members."""
    memory = _memory_per_member(size)
    fleet = settled_fleet(size, SharingTable().probe_s)
    datagrams, sent_bytes = total_sent(fleet)
    seconds = cpu_seconds(lambda: fleet.run(REST_S))
    datagrams_later, sent_bytes_later = total_sent(fleet)
    member_seconds = REST_S * size
    return {
        "gossip.bytes_per_s": (sent_bytes_later - sent_bytes) / member_seconds,
        "gossip.datagrams_per_s": (datagrams_later - datagrams) / member_seconds,
        "gossip.cpu_share": seconds / member_seconds,
        "gossip.memory_bytes": memory,
        "gossip.death_known_s": failure_detection_s(fleet),
    }


def settled_fleet(size: int, probe_s: float) -> VirtualMembers:
    """Create members that all know each other, and run them for SETTLE_S."""
    fleet = VirtualMembers(size, probe_s)
    fleet.add_all()
    fleet.run(SETTLE_S)
    return fleet


def total_sent(fleet: VirtualMembers) -> tuple[int, int]:
    """The number of datagrams and of bytes that all members have sent so far."""
    return (
        sum(member.sent for member in fleet.members),
        sum(member.bytes_sent for member in fleet.members),
    )


def _memory_per_member(size: int) -> float:
    """Resident bytes of one member that has received a datagram of each other member.

    The mean of several copies.
    """
    copies = min(MAX_COPIES, max(1, TOTAL_MEMBERS // size))
    with isolated_run(LOG_LEVEL):
        _receive_all(VirtualMembers(size), 2)  # warms up
        fleets = [VirtualMembers(size) for _ in range(copies)]
        before = resident_bytes()
        for fleet in fleets:
            _receive_all(fleet, size)
        return (resident_bytes() - before) / copies


def _receive_all(fleet: VirtualMembers, size: int) -> None:
    """Start one member, and deliver to it a datagram of each of `size` - 1 other members."""
    member = fleet.add()
    for number in range(1, size):
        fleet.kernel.now += DATAGRAM_INTERVAL_S
        fleet.introduce(member, number)
    if member.members.size != size:
        raise MeasurementError(f"{member.members.size} of {size} members are known")


def failure_detection_s(fleet: VirtualMembers) -> float:
    """Seconds from a member's crash until all others consider it dead.

    Raises MeasurementError if that takes longer than MAX_DETECTION_S.
    """
    victim = fleet.members[-1]
    fleet.kill(victim)
    killed_at = fleet.kernel.now
    fleet.changes.clear()
    others = len(fleet.members) - 1
    while fleet.kernel.now - killed_at < MAX_DETECTION_S:
        fleet.run(DETECTION_STEP_S)
        detected_at = [
            each.at for each in fleet.changes if (each.name, each.state) == (victim.name, DEAD)
        ]
        if len(detected_at) >= others:
            return max(detected_at) - killed_at
    raise MeasurementError(
        f"{len(detected_at)} of {others} members detected the crash within {MAX_DETECTION_S:g} s"
    )


_cost = partial(define_cost, "gossip", "violetroute/sharing/members.py")

SUBJECT = Subject(
    name="gossip",
    per="member",
    costs=(
        _cost("bytes_per_s", "bytes/s", "Bytes that a member sends at rest."),
        _cost("datagrams_per_s", "1/s", "Datagrams that a member sends at rest."),
        _cost("cpu_share", "cores", "Share of a core that a member uses at rest: an upper bound."),
        _cost("memory_bytes", "bytes", "Resident memory of one member that knows all others."),
        _cost(
            "death_known_s",
            "s",
            "From a crash until the last other member considers it dead.",
        ),
    ),
    sizes=(170, 350, 710, 1300, 2600),
    quick_sizes=(10, 20, 30, 45, 60),
    measure=measure,
    time_limit=900.0,
)
