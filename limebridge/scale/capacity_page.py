"""The tables of docs/CAPACITY.md: written between markers, the prose around them left alone.

    <!-- table: proxy -->
    ...written by `limebridge scale capacity`...
    <!-- end of table -->

`problems` compares a page with what its figures give. A budget that is passed has to be named in
the prose by a line that begins with `- Over budget: IDENTITY`, and no other row may be.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping, Sequence

from .capacity import Need, ResourceKind, Role
from .results import Cost, QuotedFigure, Slopes

TABLE = re.compile(r"(<!-- table: ([a-z' ]+) -->\n).*?(<!-- end of table -->)", re.DOTALL)
OVER_BUDGET = re.compile(r"^- Over budget: ([a-z0-9-]+)", re.MULTILINE)
COSTS_TABLE = "measured costs"
QUOTED_TABLE = "figures of earlier runs"
NEEDS_HEAD = (
    "| kind | need | at the target | budget | need / budget | from | mechanism |\n"
    "| --- | --- | --- | --- | --- | --- | --- |\n"
)
QUOTED_HEAD = "| figure | value | run |\n| --- | --- | --- |\n"
COSTS_HEAD = "| cost | line | largest residual | sizes | of |\n| --- | --- | --- | --- | --- |\n"


def render_tables(needs: Sequence[Need], slopes: Slopes) -> dict[str, str]:
    """Each table's text by its name: one a role, the measured costs, and quoted figures."""
    rendered = {
        str(role): NEEDS_HEAD
        + "".join(
            _need_line(need)
            for kind in ResourceKind
            for need in needs
            if need.row.role is role and need.row.kind is kind
        )
        for role in Role
    }
    rendered[COSTS_TABLE] = COSTS_HEAD + "".join(_cost_line(cost) for cost in slopes.costs)
    rendered[QUOTED_TABLE] = QUOTED_HEAD + "".join(_quoted_line(each) for each in slopes.quoted)
    return rendered


def has_table(page: str, name: str) -> bool:
    """Whether the page has this table."""
    return any(found[2] == name for found in TABLE.finditer(page))


def fill_tables(page: str, rendered: Mapping[str, str]) -> str:
    """The page with all of its tables written anew.  KeyError for a table that there is not."""
    return TABLE.sub(lambda found: f"{found[1]}{rendered[found[2]]}{found[3]}", page)


def find_problems(page: str, needs: Sequence[Need], rendered: Mapping[str, str]) -> list[str]:
    """What is wrong with the page, a line each; empty when it agrees with its tables' figures."""
    found = {match[2]: match[0] for match in TABLE.finditer(page)}
    wrong = [f"no table: {name}" for name in rendered if name not in found]
    wrong += [f"a table that there is not: {name}" for name in found if name not in rendered]
    for name in rendered.keys() & found.keys():
        if rendered[name] not in found[name]:
            wrong.append(f"table {name}: {_first_difference(found[name], rendered[name])}")
    return sorted(wrong) + _budget_problems(page, needs)


def _first_difference(actual: str, expected: str) -> str:
    """The first line of a table that is not as its figures give it."""
    lines = actual.splitlines()[1:-1]
    for line, expected_line in zip(lines, expected.splitlines(), strict=False):
        if line != expected_line:
            return f"{line!r} should be {expected_line!r}"
    return f"{len(lines)} lines in place of {len(expected.splitlines())}"


def _budget_problems(page: str, needs: Sequence[Need]) -> list[str]:
    named = set(OVER_BUDGET.findall(page))
    over = {need.row.identity for need in needs if need.over_budget}
    return [
        *(f"over budget and no line says so: {name}" for name in sorted(over - named)),
        *(f"a line says over budget, and it is not: {name}" for name in sorted(named - over)),
    ]


def format_number(value: float) -> str:
    """Three significant digits, with thousands apart."""
    if value == 0.0:
        return "0"
    rounded = float(f"{value:.3g}")
    digits = 2 - math.floor(math.log10(abs(rounded)))
    return f"{rounded:,.{max(0, digits)}f}"


def _need_line(need: Need) -> str:
    row = need.row
    figure = f"{format_number(need.need)} {row.unit}" if need.need is not None else need.missing
    budget = f"{format_number(need.budget)} {row.unit}" if need.budget is not None else "none set"
    ratio = format_number(need.ratio) if need.ratio is not None else ""
    if need.over_budget:
        ratio = f"**{ratio}**"
    sources = ", ".join(need.sources) or "target"
    cells = (
        str(row.kind),
        f"{row.identity}: {row.label}",
        figure,
        budget,
        ratio,
        sources,
        row.mechanism,
    )
    return f"| {' | '.join(cells)} |\n"


def _quoted_line(quoted: QuotedFigure) -> str:
    return f"| {quoted.name} | {format_number(quoted.value)} {quoted.unit} | {quoted.source} |\n"


def _cost_line(cost: Cost) -> str:
    if cost.straight:
        line = (
            f"{format_number(cost.constant)} + {format_number(cost.slope)} "
            f"({format_number(cost.slope_low)} to {format_number(cost.slope_high)}) a {cost.per}"
        )
    elif cost.exponent is not None:
        line = f"a curve, about size^{cost.exponent:.2f}; not extrapolated"
    else:
        line = "a curve; not extrapolated"
    sizes = ", ".join(f"{size:g}" for size, _ in cost.points)
    cells = (
        f"{cost.name}, {cost.unit}",
        line,
        f"{cost.residual:.0%}",
        f"{sizes} {cost.per}s",
        cost.mechanism,
    )
    return f"| {' | '.join(cells)} |\n"
