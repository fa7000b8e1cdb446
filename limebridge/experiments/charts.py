"""An experiment as one HTML file that needs nothing else: pictures are SVG inside it.

matplotlib draws; its ink becomes the page's own colour, so one picture serves light and dark.
Lines have Okabe and Ito's colours, which colour-blind readers tell apart, and differ in dash and
mark too.
"""

from __future__ import annotations

import io
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from importlib.resources import files
from typing import Any

import jinja2

from .plan import BUILD, MEASURES, SCENARIO, Experiment
from .store import Run
from .tables import Cell, compare, front, grid, knee

COLOURS = ("#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9")
DASHES = ("-", "--", "-.", ":", (0, (5, 1)), (0, (1, 1)))
MARKS = "osD^vP"
INK = "#123456"  # drawn in this, shown in the page's own colour
SIZE = (7.2, 3.6)  # inches
MOST_LINES = 6
COMPARED = 60  # rows at most


@dataclass(frozen=True)
class Picture:
    said: str
    svg: str


def _number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def drawn(paint: Callable[[Any], None]) -> str:
    """What `paint` draws on axes, as SVG."""
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    style: dict[Any, Any] = {
        "svg.fonttype": "none",
        "svg.hashsalt": "limebridge",
        "font.size": 10,
        "axes.spines.top": False,
        "axes.spines.right": False,
        "legend.frameon": False,
        **{f"{part}.color": INK for part in ("text", "xtick", "ytick")},
        "axes.edgecolor": INK,
        "axes.labelcolor": INK,
    }
    with matplotlib.rc_context(style):
        figure, axes = pyplot.subplots(figsize=SIZE, layout="constrained")
        try:
            paint(axes)
            out = io.StringIO()
            figure.savefig(out, format="svg", transparent=True, metadata={"Date": None})
        finally:
            pyplot.close(figure)
    text = out.getvalue()
    text = text[text.index("<svg") :].replace(INK, "currentColor")
    return re.sub(r' (width|height)="[\d.]+pt"', "", text, count=2)


def _line(axes: Any, n: int, xs: Sequence[float], ys: Sequence[float], label: str) -> None:
    axes.plot(
        xs,
        ys,
        color=COLOURS[n % len(COLOURS)],
        linestyle=DASHES[n % len(DASHES)],
        marker=MARKS[n % len(MARKS)],
        markersize=4,
        label=label,
    )


def ribbons(found: Sequence[Cell], factor: str, measure: str) -> Picture:
    """A measure over one factor of numbers, a line for each setting of the others, from the worst
    to the best seed as a ribbon, and the knee marked."""
    lines: dict[str, list[Cell]] = {}
    for cell in found:
        others = {k: v for k, v in cell.point.items() if k != factor}
        lines.setdefault(Cell(others, cell.commit).label if others else "", []).append(cell)
    shown = list(lines.items())[:MOST_LINES]

    def paint(axes: Any) -> None:
        for n, (label, row) in enumerate(shown):
            row = sorted(
                (c for c in row if c.mean(measure) is not None),
                key=lambda c: float(c.point[factor]),
            )
            xs = [float(c.point[factor]) for c in row]
            ys = [c.mean(measure) or 0.0 for c in row]
            _line(axes, n, xs, ys, label)
            axes.fill_between(
                xs,
                [min(c.known(measure).values()) for c in row],
                [max(c.known(measure).values()) for c in row],
                color=COLOURS[n % len(COLOURS)],
                alpha=0.15,
                linewidth=0,
            )
            bend = knee(xs, ys)
            if bend is not None:
                axes.annotate(
                    f"knee at {xs[bend]:g}",
                    (xs[bend], ys[bend]),
                    textcoords="offset points",
                    xytext=(6, 8),
                )
        axes.set_xlabel(factor)
        axes.set_ylabel(measure)
        if len(shown) > 1:
            axes.legend(fontsize=8)

    more = f" (the first {MOST_LINES} of {len(lines)} lines)" if len(lines) > MOST_LINES else ""
    return Picture(
        f"{measure} over {factor}; ribbons from the worst seed to the best{more}", drawn(paint)
    )


def interaction(found: Sequence[Cell], one: str, two: str, measure: str) -> Picture:
    """Two factors' levels as a grid of means."""
    cells = grid(found, one, two, measure)
    rows = sorted({a for a, _ in cells}, key=lambda v: (not _number(v), v))
    columns = sorted({b for _, b in cells}, key=lambda v: (not _number(v), v))

    def paint(axes: Any) -> None:
        table = [[cells.get((a, b), float("nan")) for b in columns] for a in rows]
        image = axes.imshow(table, cmap="cividis", aspect="auto")
        for y, row in enumerate(table):
            for x, value in enumerate(row):
                low, high = image.get_clim()
                dark = value < (low + high) / 2
                axes.text(
                    x,
                    y,
                    f"{value:.3g}",
                    ha="center",
                    va="center",
                    color="white" if dark else "black",
                )
        axes.set_xticks(range(len(columns)), [str(v) for v in columns])
        axes.set_yticks(range(len(rows)), [str(v) for v in rows])
        axes.set_xlabel(two)
        axes.set_ylabel(one)

    return Picture(f"{measure} by {one} and {two}, mean over all else", drawn(paint))


def trade_off(found: Sequence[Cell], one: str, two: str) -> Picture:
    """All points by two measures, and the front that nothing beats in both."""
    best = front(found, one, two)

    def paint(axes: Any) -> None:
        there = [c for c in found if c.mean(one) is not None and c.mean(two) is not None]
        axes.scatter(
            [c.mean(one) for c in there], [c.mean(two) for c in there], color=COLOURS[0], s=22
        )
        axes.plot(
            [c.mean(one) for c in best],
            [c.mean(two) for c in best],
            color=COLOURS[1],
            linestyle="--",
            marker="D",
            markersize=6,
        )
        for cell in best[:8]:
            axes.annotate(
                cell.label,
                (cell.mean(one), cell.mean(two)),
                fontsize=7,
                textcoords="offset points",
                xytext=(5, 4),
            )
        axes.set_xlabel(f"{one} ({'more' if MEASURES[one][0] else 'less'} is better)")
        axes.set_ylabel(f"{two} ({'more' if MEASURES[two][0] else 'less'} is better)")

    return Picture(f"{one} against {two}; dashed: what no other point beats in both", drawn(paint))


def builds(found: Sequence[Cell], measure: str, order: Sequence[Any]) -> Picture:
    """A measure by build, in the file's order, each seed a thin line: before and after."""
    by: dict[Any, list[Cell]] = {}
    for cell in found:
        by.setdefault(cell.point[BUILD], []).append(cell)
    names = [name for name in order if name in by]
    means: list[dict[int, float]] = []
    for name in names:
        seeds: dict[int, list[float]] = {}
        for cell in by[name]:
            for seed, value in cell.known(measure).items():
                seeds.setdefault(seed, []).append(value)
        means.append({seed: sum(v) / len(v) for seed, v in seeds.items()})

    def paint(axes: Any) -> None:
        for seed in sorted(set().union(*means)):
            axes.plot(
                range(len(names)),
                [m.get(seed, float("nan")) for m in means],
                color=INK,
                alpha=0.25,
                linewidth=0.8,
            )
        _line(
            axes,
            0,
            range(len(names)),
            [sum(m.values()) / len(m) if m else float("nan") for m in means],
            "mean",
        )
        axes.set_xticks(range(len(names)), [str(name)[:10] for name in names])
        axes.set_ylabel(measure)

    return Picture(f"{measure} by build; thin: a seed each", drawn(paint))


def pictures(made: Experiment, found: Sequence[Cell]) -> list[Picture]:
    """Whatever the factors and measures of this experiment can show."""
    told: list[Picture] = []
    numbers = [
        name
        for name in made.factors
        if name != BUILD
        and all(_number(c.point.get(name)) for c in found)
        and len({c.point.get(name) for c in found}) > 1
    ]
    factors = [
        name
        for name in (SCENARIO, *made.factors)
        if len({str(c.point.get(name)) for c in found}) > 1
    ]
    drawn_at_random = made.design.kind in ("latin", "sobol")
    for measure in made.measures:
        if not any(c.mean(measure) is not None for c in found):
            continue
        if BUILD in factors:
            told.append(builds(found, measure, made.factors[BUILD]))
        if not drawn_at_random:
            told += [ribbons(found, name, measure) for name in numbers[:1]]
            plain = [name for name in factors if name != BUILD]
            told += [interaction(found, plain[0], plain[1], measure)] if len(plain) > 1 else []
    if len(made.measures) > 1 and len(found) > 2:
        told.append(trade_off(found, made.measures[0], made.measures[1]))
    return told


def page(made: Experiment, found: Sequence[Cell], rows: Sequence[Run]) -> str:
    """The whole page."""
    compared = compare(found[0], found[1:], made.measures)[:COMPARED] if len(found) > 1 else []

    def figure(value: float | None) -> str:
        return "" if value is None else f"{value:.4f}" if abs(value) < 100 else f"{value:.0f}"

    environment = jinja2.Environment(
        autoescape=True, trim_blocks=True, lstrip_blocks=True, undefined=jinja2.StrictUndefined
    )
    text = files(__package__).joinpath("chart.html").read_text()
    commits = sorted({cell.commit[:10] for cell in found})
    return environment.from_string(text).render(
        name=made.name,
        question=made.question,
        scenario=", ".join(made.scenarios),
        runs=sum(row.state == "done" for row in rows),
        void=sum(row.state != "done" for row in rows),
        commits=f"commit {', '.join(commits)}",
        pictures=pictures(made, found),
        measures=made.measures,
        against=found[0].label,
        rows=[
            {
                "label": c.label,
                "seeds": c.seeds,
                "figures": [figure(c.mean(m)) for m in made.measures],
            }
            for c in found
        ],
        compared=[
            {
                "label": r.after.label,
                "measure": r.measure,
                "by": f"{r.difference.mean:+.4f}",
                "low": f"{r.difference.low:+.4f}",
                "high": f"{r.difference.high:+.4f}",
                "verdict": r.verdict,
            }
            for r in compared
        ],
    )
