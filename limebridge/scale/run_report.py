"""The report of a scale run, stored as JSON: use by role, delays, and the target's bounds."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from violetroute.distribution.messages import Topic

from .delay_names import APPLIED_AT_EVERY_PROXY, IN_FORCE, delay_name
from .membership_samples import MembershipSummary
from .results import Machine
from .run_plan import RunPlan
from .target import Target
from .traffic import Traffic

MICROSECONDS = 1_000_000
MAX_DELAY_S = 3600  # range of the delay histogram
SIGNIFICANT_DIGITS = 3  # digits of a percentile of delays
HUNDRED_PERCENT = 100.0


class Percentiles(msgspec.Struct, frozen=True):
    """The distribution of a figure over members or events; all values are 0 if `count` is 0."""

    count: int
    mean: float
    p50: float
    p99: float
    largest: float


class RoleUse(msgspec.Struct, frozen=True, kw_only=True):
    """What one role used in the measured time.  Rates are per second and member.

    A member is a proxy or control machine; one process can host several hollow proxies.
    """

    role: str
    members: int
    processes: int
    bytes_in: Percentiles  # payload
    bytes_out: Percentiles
    wire_bytes: Percentiles  # both directions, with estimated headers
    messages_in: Percentiles
    messages_out: Percentiles
    gossip_bytes: float  # UDP payload, both directions, mean
    distribution_bytes: float  # TCP payload, both directions, mean
    cpu_share: float  # share of one core per member: CPU time of the processes / number of members
    memory_mb: float  # per member
    note: str = ""


class Bound(msgspec.Struct, frozen=True, kw_only=True):
    """An upper bound of the target, and the measured value."""

    name: str
    unit: str
    limit: float
    measured: float | None  # None: not measured in this run
    note: str = ""

    @property
    def met(self) -> bool | None:
        """Whether the measured value is within the bound; None if nothing was measured."""
        return None if self.measured is None else self.measured <= self.limit


class Calibration(msgspec.Struct, frozen=True, kw_only=True):
    """Ratios of a hollow proxy's traffic to a real daemon's: 1.0 is equal."""

    messages_out: float
    messages_in: float
    bytes_out: float
    bytes_in: float


class EarlyReport(msgspec.Struct, frozen=True):
    """A position reported in force while a proxy neither had applied it nor was stale."""

    position: int
    proxy: str  # the last proxy to apply it
    proxies: int  # number of late proxies
    seconds: float | None  # s from the report until `proxy` applied it; None: it did not


class InForceCheck(msgspec.Struct, frozen=True, kw_only=True):
    """Compares the leader's reports of positions in force with what the proxies applied.

    The counts are of log positions of committed publications.
    """

    positions: int  # all such positions
    never_reported: int  # positions that were not reported in force before the end of the run
    never_applied: int  # positions that some proxy had not applied at the end of the run
    early: int  # positions reported in force before each proxy had applied them or was stale
    worst_early_s: float  # longest time from an early report until the last proxy applied it
    examples: tuple[EarlyReport, ...] = ()


class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """The report of a run; its JSON is written by `save`."""

    version: int = 1  # version of this format
    commit: str
    taken_at: str  # ISO 8601, UTC
    machine: Machine
    plan: RunPlan
    measured_s: float
    roles: tuple[RoleUse, ...]
    delays: dict[str, Percentiles]  # in seconds, by `delay_name`
    bounds: tuple[Bound, ...]
    calibration: Calibration | None  # None without real daemons, or if they had no traffic
    in_force: InForceCheck | None  # None without distribution
    purges: dict[str, int]  # number of publications, of purges and changes, by outcome
    machine_cpu_share: float  # share of all cores that was busy in the measured time
    membership: tuple[MembershipSummary, ...] = ()  # empty without gossip
    notes: tuple[str, ...]  # what was not measured, and what is needed to interpret the figures


def percentiles(values: Sequence[float]) -> Percentiles:
    """The exact percentiles of `values`, by the nearest-rank method."""
    if not values:
        return Percentiles(0, 0.0, 0.0, 0.0, 0.0)
    ordered = sorted(values)
    return Percentiles(
        len(ordered),
        sum(ordered) / len(ordered),
        nearest_rank(ordered, 50.0),
        nearest_rank(ordered, 99.0),
        ordered[-1],
    )


def nearest_rank(ordered: Sequence[float], percent: float) -> float:
    """The smallest of the sorted values that at least `percent` of them do not exceed."""
    rank = -(-percent * len(ordered) // HUNDRED_PERCENT)
    return ordered[max(1, int(rank)) - 1]


def delay_percentiles(delays_s: Iterable[float]) -> Percentiles:
    """The percentiles of delays in seconds, to three digits, from a histogram of bounded size."""
    histogram = HdrHistogram(1, MAX_DELAY_S * MICROSECONDS, SIGNIFICANT_DIGITS)
    count, total, largest = 0, 0.0, 0.0
    for delay in delays_s:
        histogram.record_value(max(1, round(delay * MICROSECONDS)))
        count, total, largest = count + 1, total + delay, max(largest, delay)
    if not count:
        return Percentiles(0, 0.0, 0.0, 0.0, 0.0)
    return Percentiles(
        count,
        total / count,
        histogram.get_value_at_percentile(50.0) / MICROSECONDS,
        histogram.get_value_at_percentile(99.0) / MICROSECONDS,
        largest,
    )


def role_use(
    role: str,
    traffic: Sequence[Traffic],
    seconds: float,
    processes: int,
    cpu_s: float,
    memory_bytes: float,
    note: str = "",
) -> RoleUse:
    """What a role used per second and member.

    `traffic` has one entry per member; `cpu_s` and `memory_bytes` are sums over all `processes`.
    """
    members = max(1, len(traffic))

    def rate(figures: Iterable[int]) -> Percentiles:
        return percentiles([figure / seconds for figure in figures])

    return RoleUse(
        role=role,
        members=len(traffic),
        processes=processes,
        bytes_in=rate(block.bytes_in for block in traffic),
        bytes_out=rate(block.bytes_out for block in traffic),
        wire_bytes=rate(block.wire_bytes for block in traffic),
        messages_in=rate(block.messages_in for block in traffic),
        messages_out=rate(block.messages_out for block in traffic),
        gossip_bytes=rate(block.udp_bytes_in + block.udp_bytes_out for block in traffic).mean,
        distribution_bytes=rate(block.tcp_bytes_in + block.tcp_bytes_out for block in traffic).mean,
        cpu_share=cpu_s / seconds / members,
        memory_mb=memory_bytes / members / 1e6,
        note=note,
    )


def calibrate(hollow: RoleUse, real: RoleUse) -> Calibration | None:
    """Ratios of the medians of both roles; None if a median of `real` is 0."""
    pairs = [
        (getattr(hollow, name).p50, getattr(real, name).p50)
        for name in ("messages_out", "messages_in", "bytes_out", "bytes_in")
    ]
    if any(right <= 0.0 for _, right in pairs):
        return None
    ratios = [left / right for left, right in pairs]
    return Calibration(
        messages_out=ratios[0], messages_in=ratios[1], bytes_out=ratios[2], bytes_in=ratios[3]
    )


def delay_bound(
    delays: Mapping[str, Percentiles], topic: Topic, what: str, limit_s: float, note: str = ""
) -> Bound:
    """The largest value of a delay, with its bound."""
    name = delay_name(topic, what)
    delay = delays.get(name)
    measured = delay.largest if delay is not None and delay.count else None
    return Bound(name=f"{name}, slowest", unit="s", limit=limit_s, measured=measured, note=note)


def target_bounds(
    target: Target, hollow: RoleUse | None, delays: Mapping[str, Percentiles]
) -> tuple[Bound, ...]:
    """The target's bounds for the control protocols, with the measured values of a run."""
    purge_s, change_s, seen = (
        target.purge_within_s,
        target.config_within_s,
        "as the leader's status shows it",
    )
    return (
        delay_bound(delays, Topic.PURGE, APPLIED_AT_EVERY_PROXY, purge_s),
        delay_bound(delays, Topic.PURGE, IN_FORCE, purge_s, seen),
        delay_bound(delays, Topic.CONFIGURATION, APPLIED_AT_EVERY_PROXY, change_s),
        delay_bound(delays, Topic.CONFIGURATION, IN_FORCE, change_s, seen),
        Bound(
            name="bytes a second of a proxy, payload both ways, mean",
            unit="bytes/s",
            limit=target.control_bytes_per_s,
            measured=None if hollow is None else hollow.bytes_in.mean + hollow.bytes_out.mean,
        ),
        Bound(
            name="bytes a second of a proxy, with headers, both ways, mean",
            unit="bytes/s",
            limit=target.control_bytes_per_s,
            measured=None if hollow is None else hollow.wire_bytes.mean,
        ),
        Bound(
            name="CPU of a proxy's control",
            unit="cores",
            limit=target.control_cpu_share,
            measured=None if hollow is None else hollow.cpu_share,
            note="hollow, with the host's overhead",
        ),
        Bound(
            name="memory of a proxy's control",
            unit="MB",
            limit=target.control_memory_mb,
            measured=None if hollow is None else hollow.memory_mb,
        ),
    )


def save(report: RunReport, path: Path) -> None:
    """Write a report as JSON with one value per line, for a readable `git diff`."""
    text = msgspec.json.format(msgspec.json.encode(report), indent=1)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(text + b"\n")


def read(path: Path) -> RunReport:
    """Read a report.  Raises OSError or msgspec.DecodeError, also for JSON of another format."""
    return msgspec.json.decode(path.read_bytes(), type=RunReport)
