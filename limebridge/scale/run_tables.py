"""Prints the report of a scale run as tables and lines."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from .run_report import Bound, EarlyReport, InForceCheck, RunReport


def print_report(report: RunReport, console: Console) -> None:
    """Print the roles, delays, calibration, bounds and notes of a report."""
    console.print(_roles(report))
    console.print(_delays(report))
    if report.calibration is not None:
        ratios = report.calibration
        console.print(
            "Ratios of a hollow proxy to a real daemon:"
            f" messages {ratios.messages_out:.2f} out, {ratios.messages_in:.2f} in;"
            f" bytes {ratios.bytes_out:.2f} out, {ratios.bytes_in:.2f} in"
        )
    if report.in_force is not None:
        console.print(in_force_line(report.in_force))
    if report.purges:
        answers = ", ".join(f"{count} {name}" for name, count in sorted(report.purges.items()))
        console.print(f"Publications: {answers}")
    for bound in report.bounds:
        console.print(bound_line(bound))
    console.print(
        f"CPU use of the machine: {100 * report.machine_cpu_share:.0f}% of all cores;"
        f" load average before the run: {report.machine.load_average_before:g}"
    )
    for role in report.roles:
        if role.note:
            console.print(f"{role.role}: {role.note}")
    for note in report.notes:
        console.print(note)


def bound_line(bound: Bound) -> str:
    """One line: whether the bound is met, with the ratio of the measured value to the bound."""
    limit = f"{bound.name}: at most {bound.limit:g} {bound.unit}"
    note = f" ({bound.note})" if bound.note else ""
    if bound.measured is None:
        return f"not measured  {limit}{note}"
    word = "met" if bound.met else "MISSED"
    share = bound.measured / bound.limit
    return f"{word:<13} {limit}, measured {bound.measured:.4g}, ratio {share:.2f}{note}"


def in_force_line(check: InForceCheck) -> str:
    """The result of the check of the leader's reports, with examples of early reports."""
    examples = "".join(f"\n  {early_line(early)}" for early in check.examples)
    return (
        f"{check.positions} batches: {check.never_applied} not applied everywhere,"
        f" {check.never_reported} not reported as in force, {check.early} reported too early"
        f" (worst by {check.worst_early_s:.3f} s){examples}"
    )


def early_line(early: EarlyReport) -> str:
    """One early report: the last proxy to apply the position, and how much later it did."""
    late = "never applied it" if early.seconds is None else f"applied it {early.seconds:.3f} s late"
    return (
        f"position {early.position}: {early.proxies} proxies late; the last, {early.proxy}, {late}"
    )


def _roles(report: RunReport) -> Table:
    table = Table(title=f"One member of each role, over {report.measured_s:.1f} s")
    for heading in (
        "role",
        "members",
        "processes",
        "bytes/s in",
        "bytes/s out",
        "with headers",
        "of them gossip",
        "distribution",
        "messages/s in",
        "messages/s out",
        "CPU, cores",
        "MB",
    ):
        table.add_column(heading, justify="left" if heading == "role" else "right")
    for role in report.roles:
        table.add_row(
            role.role,
            str(role.members),
            str(role.processes),
            f"{role.bytes_in.mean:.0f}",
            f"{role.bytes_out.mean:.0f}",
            f"{role.wire_bytes.mean:.0f}",
            f"{role.gossip_bytes:.0f}",
            f"{role.distribution_bytes:.0f}",
            f"{role.messages_in.mean:.1f}",
            f"{role.messages_out.mean:.1f}",
            f"{role.cpu_share:.4f}",
            f"{role.memory_mb:.2f}",
        )
    return table


def _delays(report: RunReport) -> Table:
    table = Table(title="Delays, s")
    for heading in ("what", "count", "p50", "p99", "most"):
        table.add_column(heading, justify="left" if heading == "what" else "right")
    for name, delay in report.delays.items():
        figures = (f"{value:.3f}" for value in (delay.p50, delay.p99, delay.largest))
        table.add_row(name, str(delay.count), *figures)
    return table
