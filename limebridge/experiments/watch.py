"""A terminal interface for a store: experiments, their points, the runs of a point, a run.

It only reads, so it can be used while runs are in progress, over ssh, on a copy of the store, or
several times at once.  It polls the store once a second and draws what has changed.  80 columns are
enough.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any, ClassVar

from rich.text import Text
from textual.app import App, ComposeResult
from textual.binding import BindingType
from textual.screen import Screen
from textual.widgets import DataTable, Footer, Sparkline, Static

from .plan import MEASURES
from .store import Run, Store
from .tables import Cell, cells

POLL_INTERVAL_S = 1.0
MAX_ROWS = 500  # rows of a table


def update_table(table: DataTable[Any], rows: Iterable[tuple[str, list[str]]]) -> None:
    """Update rows by key in place: the cursor keeps its position, only changed cells are drawn."""
    known = {key.value: key for key in table.rows}
    for key, texts in rows:
        if key not in known:
            table.add_row(*map(Text, texts), key=key)
            continue
        for column, value in zip(table.ordered_columns, texts, strict=True):
            if str(table.get_cell(key, column.key)) != value:
                table.update_cell(key, column.key, Text(value))


class PollingScreen(Screen[None]):
    """A screen that polls the store and updates itself."""

    BINDINGS: ClassVar[list[BindingType]] = [
        ("escape", "app.back", "Back"),
        ("q", "app.quit", "Quit"),
    ]

    @property
    def store(self) -> Store:
        """The store of the application."""
        app = self.app
        assert isinstance(app, WatchApp)
        return app.store

    _version = -1

    def on_mount(self) -> None:
        """Poll the store now, and then every POLL_INTERVAL_S seconds."""
        self.poll()
        self.set_interval(POLL_INTERVAL_S, self.poll)

    def poll(self) -> None:
        """Update the screen if the store has changed; reading a large store takes a while."""
        version = self.store.version()
        if version != self._version:
            self._version = version
            self.update_view()

    def update_view(self) -> None:
        """Read the store and update the widgets."""
        raise NotImplementedError


class ExperimentsScreen(PollingScreen):
    """All experiments of the store."""

    def compose(self) -> ComposeResult:
        """Create a table with a row per experiment."""
        table: DataTable[Any] = DataTable(cursor_type="row")
        table.add_columns("experiment", "done", "void", "CPU min", "question")
        yield table
        yield Footer()

    def update_view(self) -> None:
        update_table(
            self.query_one(DataTable),
            (
                (
                    id_,
                    [
                        name,
                        str(states.get("done", 0)),
                        str(sum(states.values()) - states.get("done", 0)),
                        f"{seconds / 60:.1f}",
                        question,
                    ],
                )
                for id_, name, question, states, seconds in self.store.experiments()
            ),
        )

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        """Open the points of the selected experiment."""
        if event.row_key.value is not None:
            self.app.push_screen(PointsScreen(event.row_key.value))


class PointsScreen(PollingScreen):
    """An experiment: its best and worst point, the mean of each point, and a line of the values.

    The key m selects the next measure.
    """

    BINDINGS: ClassVar[list[BindingType]] = [("m", "measure", "Next measure")]

    def __init__(self, experiment: str) -> None:
        super().__init__()
        self._experiment, self._measure = experiment, 0
        self._names: list[str] = []
        self._cells: dict[str, Cell] = {}

    def compose(self) -> ComposeResult:
        """Create the summary of best and worst point, the line of values, and a row per point."""
        yield Static(id="best")
        yield Sparkline([], id="line")
        table: DataTable[Any] = DataTable(cursor_type="row")
        table.add_columns("point", "seeds", "void", "mean", "worst seed")
        yield table
        yield Footer()

    def update_view(self) -> None:
        rows = list(self.store.runs(self._experiment))
        cells_by_point = cells(rows, sorted({name for row in rows for name in row.measures}))
        self._names = sorted({n for c in cells_by_point for n in c.values}) or ["service"]
        name = self._names[self._measure % len(self._names)]
        more_is_better = MEASURES.get(name, (True, ""))[0]
        ranked = sorted(
            (c for c in cells_by_point if c.mean(name) is not None),
            key=lambda c: c.mean(name) or 0.0,
            reverse=more_is_better,
        )
        summary = f"{name}, {'more' if more_is_better else 'less'} is better; {len(rows)} runs."
        if ranked:
            summary += (
                f"  Best {ranked[0].mean(name):.4g} {ranked[0].label}; "
                f"worst {ranked[-1].mean(name):.4g} {ranked[-1].label}"
            )
        self.query_one("#best", Static).update(Text(summary))
        values = [
            row.measures[name]
            for row in sorted(rows, key=lambda r: r.at)
            if row.measures.get(name) is not None
        ]
        self.query_one(Sparkline).data = [float(v or 0.0) for v in values[-200:]]
        self._cells = {f"{n}": cell for n, cell in enumerate(cells_by_point[:MAX_ROWS])}
        update_table(
            self.query_one(DataTable),
            (
                (
                    key,
                    [
                        cell.label,
                        str(cell.seeds),
                        str(cell.failed),
                        _format_figure(cell.mean(name)),
                        _format_figure(_worst_value(cell, name, more_is_better)),
                    ],
                )
                for key, cell in self._cells.items()
            ),
        )

    def action_measure(self) -> None:
        """Show the next measure; after the last comes the first."""
        self._measure += 1
        self.update_view()

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        """Open the runs of the selected point."""
        cell = self._cells.get(str(event.row_key.value))
        if cell is not None:
            self.app.push_screen(RunsScreen(self._experiment, cell))


class RunsScreen(PollingScreen):
    """The runs of a point, a row per seed."""

    def __init__(self, experiment: str, cell: Cell) -> None:
        super().__init__()
        self._experiment, self._cell = experiment, cell
        self._rows: dict[str, Run] = {}

    def compose(self) -> ComposeResult:
        """Create the title with point and commit, and a table with a row per seed."""
        yield Static(Text(f"{self._cell.label}, commit {self._cell.commit[:16]}"))
        table: DataTable[Any] = DataTable(cursor_type="row")
        table.add_columns("seed", "state", "service", "worst 10 s", "p99 ms", "seconds", "reason")
        yield table
        yield Footer()

    def update_view(self) -> None:
        import json

        point = json.dumps(self._cell.point, sort_keys=True, separators=(",", ":"))
        self._rows = {
            str(row.seed): row
            for row in self.store.runs(self._experiment)
            if row.point == point and row.commit == self._cell.commit
        }
        update_table(
            self.query_one(DataTable),
            (
                (
                    key,
                    [
                        key,
                        row.state,
                        _format_figure(row.measures.get("service")),
                        _format_figure(row.measures.get("worst")),
                        _format_figure(row.measures.get("p99_ms")),
                        f"{row.seconds:.1f}",
                        row.why,
                    ],
                )
                for key, row in list(self._rows.items())[:MAX_ROWS]
            ),
        )

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        """Open the selected run."""
        row = self._rows.get(str(event.row_key.value))
        if row is not None:
            self.app.push_screen(RunScreen(row))


class RunScreen(PollingScreen):
    """One run: its service by second, the largest causes of loss, the worst requests."""

    def __init__(self, row: Run) -> None:
        super().__init__()
        self._row = row

    def compose(self) -> ComposeResult:
        """Create the line of the service by second, the causes of loss, and the worst requests."""
        yield Sparkline([], id="line")
        yield Static(id="words")
        table: DataTable[Any] = DataTable(cursor_type="row")
        table.add_columns("sent at s", "class", "tenant", "site", "outcomes of its attempts")
        yield table
        yield Footer()

    def update_view(self) -> None:
        row = self.store.run(self._row.key)
        if row is not None:
            self._show(row)

    def _show(self, row: Run) -> None:
        detail = row.detail or {}
        self.query_one(Sparkline).data = [
            earned / requested if requested else 1.0
            for requested, earned in detail.get("seconds", [])
        ]
        lines = [
            f"seed {row.seed}, {row.state} {row.why}",
            f"worst ten seconds from {detail.get('worst_at', 0):g} s on",
        ]
        lines += [
            f"lost {loss_share:.4f}: {cause}"
            for cause, loss_share in list(detail.get("blame", {}).items())[:5]
        ]
        costs = sorted(detail.get("costs", []), key=lambda c: -c[1])[:3]
        lines += [
            f"second {second}: {main_cause} ({loss_share:.0%} of {lost:.2f})"
            for second, lost, main_cause, loss_share in costs
        ]
        self.query_one("#words", Static).update(Text("\n".join(lines)))
        update_table(
            self.query_one(DataTable),
            (
                (str(n), [f"{at:.3f}", cls, tenant, site, ", ".join(ends)])
                for n, (at, cls, tenant, site, ends) in enumerate(detail.get("unserved", []))
            ),
        )


class WatchApp(App[None]):
    """The application; it opens the store and closes it at the end."""

    TITLE = "limebridge experiment watch"
    CSS = "Sparkline { height: 3; margin: 0 1; } #best, #words { height: auto; margin: 0 1; }"
    ENABLE_COMMAND_PALETTE = False

    def __init__(self, path: Path) -> None:
        super().__init__()
        self.store = Store(path)

    def on_mount(self) -> None:
        """Show the experiments of the store."""
        self.push_screen(ExperimentsScreen())

    def on_unmount(self) -> None:
        """Close the store."""
        self.store.close()

    async def action_back(self) -> None:
        """Close the current screen, unless it is that of the experiments."""
        if len(self.screen_stack) > 2:
            await self.pop_screen()


def _format_figure(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"


def _worst_value(cell: Cell, name: str, more_is_better: bool) -> float | None:
    values = cell.known(name).values()
    return (min if more_is_better else max)(values) if values else None
