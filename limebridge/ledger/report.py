"""Report of units by tenant, class and day as one self-contained HTML file."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from importlib.resources import files

import jinja2

OTHERS = "(others, counted together)"


def html(units: Mapping[tuple[str, str | None, str], int], title: str, notes: Sequence[str]) -> str:
    """Returns the HTML page.

    `units`: units by day (ISO date), tenant (None: others) and class; `notes`: warnings to show.
    """
    days: Counter[str] = Counter()
    for (day, _, _), count in units.items():
        days[day] += count
    rows = [
        {"day": day, "tenant": OTHERS if tenant is None else tenant, "cls": cls, "units": count}
        for (day, tenant, cls), count in units.items()
    ]
    rows.sort(key=lambda row: (row["tenant"] == OTHERS, row["tenant"], row["day"], row["cls"]))
    environment = jinja2.Environment(
        autoescape=True, trim_blocks=True, lstrip_blocks=True, undefined=jinja2.StrictUndefined
    )
    text = files(__package__).joinpath("report.html").read_text()
    return environment.from_string(text).render(
        title=title,
        rows=rows,
        notes=list(notes),
        total=sum(units.values()),
        tenants=len({tenant for _, tenant, _ in units}),
        most=max([1, *days.values()]),
        days=[{"day": day, "units": count} for day, count in sorted(days.items())],
    )
