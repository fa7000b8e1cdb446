"""Reports of a run: a text timeline, and an HTML page with an SVG chart."""

from __future__ import annotations

from collections.abc import Callable
from html import escape

from .plan import Fault
from .world import Outcome

LINES = 60  # trace lines before a violation
WIDTH, ROW, LEFT = 1000.0, 26.0, 70.0  # px of the chart


def render_text(outcome: Outcome) -> str:
    """Faults, up to five violations with their request's trace, and the trace before the first."""
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
        return "\n".join([*lines, "no rule broken"])
    for found in outcome.violations[:5]:
        what = f"RULE {found.rule}" if found.rule else "A BOUND OF ITS OWN"
        lines += ["", f"{what} broken at {found.at - 1000.0:.6f}: {found.message} {found.request}"]
        lines += [f"    {step}" for step in found.trace]
    first = outcome.violations[0].at - 1000.0
    before = [line for line in outcome.trace if float(line.split(" ", 1)[0]) <= first]
    lines += ["", "what led there:", *(f"  {line}" for line in before[-LINES:])]
    if len(outcome.violations) > 5:
        lines.append(f"and {len(outcome.violations) - 5} more")
    return "\n".join(lines)


def render_html(outcome: Outcome) -> str:
    """HTML page with a chart of commands and faults per node over time, and the text report."""
    span = max(outcome.virtual_seconds, 1.0)
    nodes = sorted({_node(line) for line in outcome.trace} - {""})
    rows = {name: ROW * (place + 1) for place, name in enumerate(nodes)}
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
    for found in outcome.violations:
        at = x(found.at - 1000.0)
        parts.append(
            f'<line x1="{at:.1f}" x2="{at:.1f}" y1="0" y2="{height:.0f}" stroke="red">'
            f"<title>{escape(found.message)} {escape(found.request)}</title></line>"
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
