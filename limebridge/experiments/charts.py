"""Renders an experiment as a self-contained HTML page with SVG charts.

matplotlib draws the charts.  The colour of text and axes is replaced by the page's own, so that a
chart suits the light and the dark theme.  Lines have the colours of Okabe and Ito, which
colour-blind readers can tell apart, and also differ in dashes and markers.
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
from .tables import Cell, compare, knee, mean_grid, pareto_front

COLOURS = ("#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9")
DASHES = ("-", "--", "-.", ":", (0, (5, 1)), (0, (1, 1)))
MARKS = "osD^vP"
INK = "#123456"  # placeholder that is replaced by the text colour of the page
SIZE = (7.2, 3.6)  # inches
MAX_LINES = 6  # lines in a chart
MAX_COMPARISONS = 60  # rows of the table


@dataclass(frozen=True)
class Chart:
    """An SVG chart and its caption."""

    caption: str
    svg: str


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def render_svg(draw: Callable[[Any], None]) -> str:
    """The SVG of what `draw` draws on the axes that it receives."""
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
        **{f"{element}.color": INK for element in ("text", "xtick", "ytick")},
        "axes.edgecolor": INK,
        "axes.labelcolor": INK,
    }
    with matplotlib.rc_context(style):
        figure, axes = pyplot.subplots(figsize=SIZE, layout="constrained")
        try:
            draw(axes)
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


def line_chart(cells: Sequence[Cell], factor: str, measure: str) -> Chart:
    """A measure over a numeric factor: a line per combination of the other factors.

    A ribbon spans the lowest to the highest seed; the knee is marked.
    """
    lines: dict[str, list[Cell]] = {}
    for cell in cells:
        others = {k: v for k, v in cell.point.items() if k != factor}
        lines.setdefault(Cell(others, cell.commit).label if others else "", []).append(cell)
    shown_lines = list(lines.items())[:MAX_LINES]

    def draw(axes: Any) -> None:
        for n, (label, row) in enumerate(shown_lines):
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
            knee_index = knee(xs, ys)
            if knee_index is not None:
                axes.annotate(
                    f"knee at {xs[knee_index]:g}",
                    (xs[knee_index], ys[knee_index]),
                    textcoords="offset points",
                    xytext=(6, 8),
                )
        axes.set_xlabel(factor)
        axes.set_ylabel(measure)
        if len(shown_lines) > 1:
            axes.legend(fontsize=8)

    more = f" (the first {MAX_LINES} of {len(lines)} lines)" if len(lines) > MAX_LINES else ""
    return Chart(
        f"{measure} over {factor}; ribbons from lowest to highest seed{more}", render_svg(draw)
    )


def heat_map(cells: Sequence[Cell], one: str, two: str, measure: str) -> Chart:
    """The mean of a measure by the levels of two factors, as a coloured grid."""
    means = mean_grid(cells, one, two, measure)
    rows = sorted({a for a, _ in means}, key=lambda v: (not _is_number(v), v))
    columns = sorted({b for _, b in means}, key=lambda v: (not _is_number(v), v))

    def draw(axes: Any) -> None:
        table = [[means.get((a, b), float("nan")) for b in columns] for a in rows]
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

    return Chart(f"{measure} by {one} and {two}, mean over all other factors", render_svg(draw))


def trade_off(cells: Sequence[Cell], one: str, two: str) -> Chart:
    """All points by two measures, with their Pareto front."""
    front = pareto_front(cells, one, two)

    def draw(axes: Any) -> None:
        measured = [c for c in cells if c.mean(one) is not None and c.mean(two) is not None]
        axes.scatter(
            [c.mean(one) for c in measured], [c.mean(two) for c in measured], color=COLOURS[0], s=22
        )
        axes.plot(
            [c.mean(one) for c in front],
            [c.mean(two) for c in front],
            color=COLOURS[1],
            linestyle="--",
            marker="D",
            markersize=6,
        )
        for cell in front[:8]:
            axes.annotate(
                cell.label,
                (cell.mean(one), cell.mean(two)),
                fontsize=7,
                textcoords="offset points",
                xytext=(5, 4),
            )
        axes.set_xlabel(f"{one} ({'more' if MEASURES[one][0] else 'less'} is better)")
        axes.set_ylabel(f"{two} ({'more' if MEASURES[two][0] else 'less'} is better)")

    return Chart(f"{one} against {two}; dashed: Pareto front", render_svg(draw))


def build_chart(cells: Sequence[Cell], measure: str, order: Sequence[Any]) -> Chart:
    """A measure by build, in the order of the file; thin lines show the single seeds."""
    cells_by_build: dict[Any, list[Cell]] = {}
    for cell in cells:
        cells_by_build.setdefault(cell.point[BUILD], []).append(cell)
    names = [name for name in order if name in cells_by_build]
    means: list[dict[int, float]] = []
    for name in names:
        seeds: dict[int, list[float]] = {}
        for cell in cells_by_build[name]:
            for seed, value in cell.known(measure).items():
                seeds.setdefault(seed, []).append(value)
        means.append({seed: sum(v) / len(v) for seed, v in seeds.items()})

    def draw(axes: Any) -> None:
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

    return Chart(f"{measure} by build; thin lines: single seeds", render_svg(draw))


def make_charts(experiment: Experiment, cells: Sequence[Cell]) -> list[Chart]:
    """The charts that suit the factors and measures of the experiment."""
    charts: list[Chart] = []
    numbers = [
        name
        for name in experiment.factors
        if name != BUILD
        and all(_is_number(c.point.get(name)) for c in cells)
        and len({c.point.get(name) for c in cells}) > 1
    ]
    factors = [
        name
        for name in (SCENARIO, *experiment.factors)
        if len({str(c.point.get(name)) for c in cells}) > 1
    ]
    is_sampled = experiment.design.kind in ("latin", "sobol")
    for measure in experiment.measures:
        if not any(c.mean(measure) is not None for c in cells):
            continue
        if BUILD in factors:
            charts.append(build_chart(cells, measure, experiment.factors[BUILD]))
        if not is_sampled:
            charts += [line_chart(cells, name, measure) for name in numbers[:1]]
            plain = [name for name in factors if name != BUILD]
            charts += [heat_map(cells, plain[0], plain[1], measure)] if len(plain) > 1 else []
    if len(experiment.measures) > 1 and len(cells) > 2:
        charts.append(trade_off(cells, experiment.measures[0], experiment.measures[1]))
    return charts


def render_page(experiment: Experiment, cells: Sequence[Cell], rows: Sequence[Run]) -> str:
    """The HTML page of an experiment."""
    compared = (
        compare(cells[0], cells[1:], experiment.measures)[:MAX_COMPARISONS]
        if len(cells) > 1
        else []
    )

    def figure(value: float | None) -> str:
        return "" if value is None else f"{value:.4f}" if abs(value) < 100 else f"{value:.0f}"

    environment = jinja2.Environment(
        autoescape=True, trim_blocks=True, lstrip_blocks=True, undefined=jinja2.StrictUndefined
    )
    text = files(__package__).joinpath("chart.html").read_text()
    commits = sorted({cell.commit[:10] for cell in cells})
    return environment.from_string(text).render(
        name=experiment.name,
        question=experiment.question,
        scenario=", ".join(experiment.scenarios),
        runs=sum(row.state == "done" for row in rows),
        void=sum(row.state != "done" for row in rows),
        commits=f"commit {', '.join(commits)}",
        charts=make_charts(experiment, cells),
        measures=experiment.measures,
        against=cells[0].label,
        rows=[
            {
                "label": c.label,
                "seeds": c.seeds,
                "figures": [figure(c.mean(m)) for m in experiment.measures],
            }
            for c in cells
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
