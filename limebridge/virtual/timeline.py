"""Reports of a run: text, and an HTML page with an SVG chart of the faults and commands."""

from __future__ import annotations

from collections.abc import Callable
from html import escape

from .plan import Fault
from .world import Outcome

LINES = 60  # maximum number of trace lines before the first violation
WIDTH, ROW, LEFT = 1000.0, 26.0, 70.0  # px: width of the chart, height of a row, left margin


def render_text(outcome: Outcome) -> str:
    """Return the faults, up to five violations with the traces of their requests, and the trace.

    The trace of the run is included up to the first violation.
    """
    lines = [
        f"seed {outcome.plan.seed}: {outcome.requests} requests in "
        f"{outcome.virtual_seconds:.1f} s, {outcome.answers}",
        f"digest {outcome.digest}",
    ]
    for fault in outcome.plan.faults:
        lines.append(
            f"  {fault.at:9.4f} fault {fault.kind}, node {fault.node}, "
            f"lasts {fault.lasts:g} s, amount {fault.amount:g}"
        )
    if not outcome.violations:
        return "\n".join([*lines, "no rule violated"])
    for violation in outcome.violations[:5]:
        rule = f"RULE {violation.rule}" if violation.rule else "A LIMIT OF THE PROGRAM"
        lines += [
            "",
            f"{rule} violated at {violation.at - 1000.0:.6f}: {violation.message} "
            f"{violation.request}",
        ]
        lines += [f"    {step}" for step in violation.trace]
    first = outcome.violations[0].at - 1000.0
    trace = [line for line in outcome.trace if float(line.split(" ", 1)[0]) <= first]
    lines += ["", "trace before the first violation:", *(f"  {line}" for line in trace[-LINES:])]
    if len(outcome.violations) > 5:
        lines.append(f"and {len(outcome.violations) - 5} more")
    return "\n".join(lines)


def render_html(outcome: Outcome) -> str:
    """HTML page with a chart of commands and faults per node over time, and the text report."""
    span = max(outcome.virtual_seconds, 1.0)
    nodes = sorted({_node(line) for line in outcome.trace} - {""})
    rows = {name: ROW * (index + 1) for index, name in enumerate(nodes)}
    height = ROW * (len(rows) + 3)

    def x(at: float) -> float:
        return LEFT + at / span * (WIDTH - LEFT - 10.0)

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH:.0f}" '
        f'height="{height:.0f}" font-family="sans-serif" font-size="12">'
    ]
    for name, y in rows.items():
        parts.append(
            f'<text x="4" y="{y + 4:.0f}">{escape(name)}</text>'
            f'<line x1="{LEFT}" x2="{WIDTH}" y1="{y:.0f}" y2="{y:.0f}" stroke="#ddd"/>'
        )
    for fault in outcome.plan.faults:
        parts.append(_fault(fault, rows, x, height))
    for line in outcome.trace:
        node = _node(line)
        if node:
            at = x(float(line.split(" ", 1)[0]))
            parts.append(
                f'<circle cx="{at:.1f}" cy="{rows[node]:.0f}" r="2.5" fill="#2a6">'
                f"<title>{escape(line)}</title></circle>"
            )
    for violation in outcome.violations:
        at = x(violation.at - 1000.0)
        parts.append(
            f'<line x1="{at:.1f}" x2="{at:.1f}" y1="0" y2="{height:.0f}" stroke="red">'
            f"<title>{escape(violation.message)} {escape(violation.request)}</title></line>"
        )
    parts.append("</svg>")
    return (
        "<!doctype html><meta charset=utf-8><title>seed "
        f"{outcome.plan.seed}</title>{''.join(parts)}<pre>{escape(render_text(outcome))}</pre>\n"
    )


def _node(line: str) -> str:
    """The node in a trace line about a command's arrival; empty for other lines."""
    words = line.split()
    return words[3].rstrip(",").rstrip("'") if len(words) > 3 and words[2] == "at" else ""


def _fault(fault: Fault, rows: dict[str, float], x: Callable[[float], float], height: float) -> str:
    y = (
        rows.get(f"n{fault.node}", height - ROW)
        if fault.kind.startswith(("node", "path"))
        else height - ROW
    )
    begin, end = x(fault.at), x(fault.at + max(fault.lasts, 0.02))
    return (
        f'<rect x="{begin:.1f}" y="{y - 9:.0f}" width="{end - begin:.1f}" height="18" '
        f'fill="#f90" fill-opacity="0.35"><title>{fault.kind} at {fault.at}</title></rect>'
    )
