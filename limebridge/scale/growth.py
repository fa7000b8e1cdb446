"""Compares runs of several fleet sizes with the predictions of docs/CAPACITY.md."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from violetroute.distribution.messages import Topic

from .capacity import Need, compute_needs
from .capacity_page import format_number
from .capacity_rows import ROWS
from .delay_names import APPLIED_AT_EVERY_PROXY, IN_FORCE, delay_name
from .results import Slopes
from .run_report import Percentiles, RoleUse, RunReport
from .run_sample import FOLLOWER, HOLLOW, LEADER
from .target import Target

NOT_MEASURED = "not measured"


class DuplicateSizeError(ValueError):
    """The runs cannot be compared by size; a one-line message."""


@dataclass(frozen=True, slots=True)
class GrowthRow:
    """One figure of a run, and the row of the capacity page that predicts it, if there is one."""

    label: str
    unit: str
    measured: Callable[[RunReport], float | None]
    predicted_by: str = ""  # `identity` of a capacity row; "" if none predicts the figure


def growth_table(reports: Sequence[RunReport], target: Target, slopes: Slopes) -> str:
    """A Markdown table with one column per run, by ascending size.

    Raises DuplicateSizeError if two runs have the same size.
    """
    ordered = sorted(reports, key=lambda report: report.plan.proxies)
    sizes = [report.plan.proxies for report in ordered]
    if len(set(sizes)) < len(sizes):
        raise DuplicateSizeError(f"two runs of the same size: {sizes}")
    needs = [_needs(report, target, slopes) for report in ordered]
    headings = " | ".join(f"{size:,} proxies" for size in sizes)
    lines = [f"| measured (predicted, ratio) | {headings} |", "| --- |" + " --- |" * len(sizes)]
    for row in GROWTH_ROWS:
        cells = (_cell(row, *pair) for pair in zip(ordered, needs, strict=True))
        lines.append(f"| {row.label}, {row.unit} | {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def _needs(report: RunReport, target: Target, slopes: Slopes) -> dict[str, Need]:
    """The rows of the capacity page by identity, computed for the size of this run."""
    plan = report.plan
    target_of_run = msgspec.structs.replace(
        target,
        proxies=plan.proxies,
        control_machines=plan.controls,
        purges_per_s=plan.purges,
    )
    return {need.row.identity: need for need in compute_needs(ROWS, target_of_run, slopes)}


def _cell(row: GrowthRow, report: RunReport, needs: dict[str, Need]) -> str:
    measured = row.measured(report)
    if measured is None:
        return NOT_MEASURED
    need = needs.get(row.predicted_by)
    if need is None or need.need is None:
        return format_number(measured)
    return f"{format_number(measured)} ({format_number(need.need)}, {measured / need.need:.2f})"


def _role_figure(
    role: str, select: Callable[[RoleUse], float]
) -> Callable[[RunReport], float | None]:
    def measured(report: RunReport) -> float | None:
        for use in report.roles:
            if use.role == role:
                return select(use)
        return None

    return measured


def _delay_figure(
    name: str, select: Callable[[Percentiles], float]
) -> Callable[[RunReport], float | None]:
    def measured(report: RunReport) -> float | None:
        delay = report.delays.get(name)
        return select(delay) if delay is not None and delay.count else None

    return measured


def _both_ways(use: RoleUse) -> float:
    return use.bytes_in.mean + use.bytes_out.mean


PURGE_EVERYWHERE = delay_name(Topic.PURGE, APPLIED_AT_EVERY_PROXY)
PURGE_IN_FORCE = delay_name(Topic.PURGE, IN_FORCE)

GROWTH_ROWS = (
    GrowthRow("a proxy, both ways", "bytes/s", _role_figure(HOLLOW, _both_ways), "proxy-bytes"),
    GrowthRow(
        "of these distribution",
        "bytes/s",
        _role_figure(HOLLOW, lambda use: use.distribution_bytes),
        "proxy-purges",
    ),
    GrowthRow(
        "of these membership, reports and counts",
        "bytes/s",
        _role_figure(HOLLOW, lambda use: use.gossip_bytes),
    ),
    GrowthRow("with headers", "bytes/s", _role_figure(HOLLOW, lambda use: use.wire_bytes.mean)),
    GrowthRow("a proxy", "of a core", _role_figure(HOLLOW, lambda use: use.cpu_share), "proxy-cpu"),
    GrowthRow(
        "a control machine that follows",
        "of a core",
        _role_figure(FOLLOWER, lambda use: use.cpu_share),
        "control-cpu",
    ),
    GrowthRow(
        "a control machine that leads",
        "of a core",
        _role_figure(LEADER, lambda use: use.cpu_share),
        "control-cpu",
    ),
    GrowthRow(
        "out of a control machine",
        "bytes/s",
        _role_figure(FOLLOWER, lambda use: use.bytes_out.mean),
        "control-bytes",
    ),
    GrowthRow(
        "a control machine",
        "MB",
        _role_figure(FOLLOWER, lambda use: use.memory_mb),
        "control-memory",
    ),
    GrowthRow(
        "purges applied everywhere, p50",
        "s",
        _delay_figure(PURGE_EVERYWHERE, lambda delay: delay.p50),
    ),
    GrowthRow(
        "purges applied everywhere, most",
        "s",
        _delay_figure(PURGE_EVERYWHERE, lambda delay: delay.largest),
    ),
    GrowthRow(
        "purges in force, most", "s", _delay_figure(PURGE_IN_FORCE, lambda delay: delay.largest)
    ),
)
