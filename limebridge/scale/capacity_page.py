"""Renders the tables of docs/CAPACITY.md, writes them between markers, and checks a page.

    <!-- table: proxy -->
    ...written by `limebridge scale capacity`...
    <!-- end of table -->

Text outside the markers is never changed.  `find_problems` compares a page with the tables that the
figures give.  For each row over its budget, the text needs a line that starts with
`- Over budget: IDENTITY`; other rows must not have such a line.
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
    """The Markdown of each table by its name: one per role, the measured costs, quoted figures."""
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
    """Whether the page has markers for the table `name`."""
    return any(found[2] == name for found in TABLE.finditer(page))


def fill_tables(page: str, rendered: Mapping[str, str]) -> str:
    """The page with the content of all its tables replaced.

    Raises KeyError if the page has a table that is not in `rendered`.
    """
    return TABLE.sub(lambda found: f"{found[1]}{rendered[found[2]]}{found[3]}", page)


def find_problems(page: str, needs: Sequence[Need], rendered: Mapping[str, str]) -> list[str]:
    """The differences between the page and the rendered tables, and missing or wrong budget lines.

    One line per problem; empty if there is none.
    """
    found = {match[2]: match[0] for match in TABLE.finditer(page)}
    wrong = [f"no table: {name}" for name in rendered if name not in found]
    wrong += [f"unknown table: {name}" for name in found if name not in rendered]
    for name in rendered.keys() & found.keys():
        if rendered[name] not in found[name]:
            wrong.append(f"table {name}: {_first_difference(found[name], rendered[name])}")
    return sorted(wrong) + _budget_problems(page, needs)


def _first_difference(actual: str, expected: str) -> str:
    """Describe the first line of a table that is not as expected, or the number of lines."""
    lines = actual.splitlines()[1:-1]
    for line, expected_line in zip(lines, expected.splitlines(), strict=False):
        if line != expected_line:
            return f"{line!r} should be {expected_line!r}"
    return f"{len(lines)} lines instead of {len(expected.splitlines())}"


def _budget_problems(page: str, needs: Sequence[Need]) -> list[str]:
    named = set(OVER_BUDGET.findall(page))
    over = {need.row.identity for need in needs if need.over_budget}
    return [
        *(f"over budget, but no line says so: {name}" for name in sorted(over - named)),
        *(f"not over budget, but a line says so: {name}" for name in sorted(named - over)),
    ]


def format_number(value: float) -> str:
    """Three significant digits, with commas between thousands."""
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
