"""A terminal interface over a store: experiments, their points, a point's runs, a run's story.

It only reads, so it stands beside whoever runs: over ssh, on a copy, on two screens.  It asks the
store once a second and draws what has changed; 80 columns are enough.
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

EVERY = 1.0  # s between two looks
ROWS = 500  # of a table at most


def fill(table: DataTable[Any], rows: Iterable[tuple[str, list[str]]]) -> None:
    """Rows by key, in place: the cursor stays, and only cells that differ are sent."""
    known = {key.value: key for key in table.rows}
    for key, cells_ in rows:
        if key not in known:
            table.add_row(*map(Text, cells_), key=key)
            continue
        for column, value in zip(table.ordered_columns, cells_, strict=True):
            if str(table.get_cell(key, column.key)) != value:
                table.update_cell(key, column.key, Text(value))


class Looking(Screen[None]):
    """A screen that asks the store again and again."""

    BINDINGS: ClassVar[list[BindingType]] = [
        ("escape", "app.back", "Back"),
        ("q", "app.quit", "Quit"),
    ]

    @property
    def store(self) -> Store:
        app = self.app
        assert isinstance(app, Watch)
        return app.store

    _version = -1

    def on_mount(self) -> None:
        self.glance()
        self.set_interval(EVERY, self.glance)

    def glance(self) -> None:
        """Read the rows again only when somebody has written: a large store takes a while."""
        version = self.store.version()
        if version != self._version:
            self._version = version
            self.look()

    def look(self) -> None:
        raise NotImplementedError


class Experiments(Looking):
    """All that the store holds."""

    def compose(self) -> ComposeResult:
        table: DataTable[Any] = DataTable(cursor_type="row")
        table.add_columns("experiment", "done", "void", "CPU min", "question")
        yield table
        yield Footer()

    def look(self) -> None:
        fill(
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
        if event.row_key.value is not None:
            self.app.push_screen(Points(event.row_key.value))


class Points(Looking):
    """An experiment: the best and the worst point so far, each point's mean, a line by measure."""

    BINDINGS: ClassVar[list[BindingType]] = [("m", "measure", "Next measure")]

    def __init__(self, experiment: str) -> None:
        super().__init__()
        self._experiment, self._measure = experiment, 0
        self._names: list[str] = []
        self._cells: dict[str, Cell] = {}

    def compose(self) -> ComposeResult:
        yield Static(id="best")
        yield Sparkline([], id="line")
        table: DataTable[Any] = DataTable(cursor_type="row")
        table.add_columns("point", "seeds", "void", "mean", "worst seed")
        yield table
        yield Footer()

    def look(self) -> None:
        rows = list(self.store.runs(self._experiment))
        found = cells(rows, sorted({name for row in rows for name in row.measures}))
        self._names = sorted({n for c in found for n in c.values}) or ["service"]
        name = self._names[self._measure % len(self._names)]
        more = MEASURES.get(name, (True, ""))[0]
        ranked = sorted(
            (c for c in found if c.mean(name) is not None),
            key=lambda c: c.mean(name) or 0.0,
            reverse=more,
        )
        told = f"{name}, {'more' if more else 'less'} is better; {len(rows)} runs."
        if ranked:
            told += (
                f"  Best {ranked[0].mean(name):.4g} {ranked[0].label}; "
                f"worst {ranked[-1].mean(name):.4g} {ranked[-1].label}"
            )
        self.query_one("#best", Static).update(Text(told))
        values = [
            row.measures[name]
            for row in sorted(rows, key=lambda r: r.at)
            if row.measures.get(name) is not None
        ]
        self.query_one(Sparkline).data = [float(v or 0.0) for v in values[-200:]]
        self._cells = {f"{n}": cell for n, cell in enumerate(found[:ROWS])}
        fill(
            self.query_one(DataTable),
            (
                (
                    key,
                    [
                        cell.label,
                        str(cell.seeds),
                        str(cell.failed),
                        _four(cell.mean(name)),
                        _four(_worst(cell, name, more)),
                    ],
                )
                for key, cell in self._cells.items()
            ),
        )

    def action_measure(self) -> None:
        self._measure += 1
        self.look()

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        cell = self._cells.get(str(event.row_key.value))
        if cell is not None:
            self.app.push_screen(Runs(self._experiment, cell))


class Runs(Looking):
    """One point's runs, a row a seed."""

    def __init__(self, experiment: str, cell: Cell) -> None:
        super().__init__()
        self._experiment, self._cell = experiment, cell
        self._rows: dict[str, Run] = {}

    def compose(self) -> ComposeResult:
        yield Static(Text(f"{self._cell.label}, commit {self._cell.commit[:16]}"))
        table: DataTable[Any] = DataTable(cursor_type="row")
        table.add_columns("seed", "state", "service", "worst 10 s", "p99 ms", "took s", "why")
        yield table
        yield Footer()

    def look(self) -> None:
        import json

        point = json.dumps(self._cell.point, sort_keys=True, separators=(",", ":"))
        self._rows = {
            str(row.seed): row
            for row in self.store.runs(self._experiment)
            if row.point == point and row.commit == self._cell.commit
        }
        fill(
            self.query_one(DataTable),
            (
                (
                    key,
                    [
                        key,
                        row.state,
                        _four(row.measures.get("service")),
                        _four(row.measures.get("worst")),
                        _four(row.measures.get("p99_ms")),
                        f"{row.seconds:.1f}",
                        row.why,
                    ],
                )
                for key, row in list(self._rows.items())[:ROWS]
            ),
        )

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        row = self._rows.get(str(event.row_key.value))
        if row is not None:
            self.app.push_screen(Story(row))


class Story(Looking):
    """One run: its curve, what cost most, the requests that earned least."""

    def __init__(self, row: Run) -> None:
        super().__init__()
        self._row = row

    def compose(self) -> ComposeResult:
        yield Sparkline([], id="line")
        yield Static(id="words")
        table: DataTable[Any] = DataTable(cursor_type="row")
        table.add_columns("asked at s", "class", "tenant", "site", "its tries")
        yield table
        yield Footer()

    def look(self) -> None:
        row = self.store.run(self._row.name)
        if row is not None:
            self._show(row)

    def _show(self, row: Run) -> None:
        detail = row.detail or {}
        self.query_one(Sparkline).data = [
            earned / asked if asked else 1.0 for asked, earned in detail.get("seconds", [])
        ]
        lines = [
            f"seed {row.seed}, {row.state} {row.why}",
            f"worst ten seconds from {detail.get('worst_at', 0):g} s on",
        ]
        lines += [
            f"lost {part:.4f}: {what}" for what, part in list(detail.get("blame", {}).items())[:5]
        ]
        costs = sorted(detail.get("costs", []), key=lambda c: -c[1])[:3]
        lines += [
            f"second {second}: {by} ({part:.0%} of {lost:.2f})" for second, lost, by, part in costs
        ]
        self.query_one("#words", Static).update(Text("\n".join(lines)))
        fill(
            self.query_one(DataTable),
            (
                (str(n), [f"{at:.3f}", cls, tenant, site, ", ".join(ends)])
                for n, (at, cls, tenant, site, ends) in enumerate(detail.get("unserved", []))
            ),
        )


class Watch(App[None]):
    """The whole program; the store is closed with it."""

    TITLE = "limebridge experiment watch"
    CSS = "Sparkline { height: 3; margin: 0 1; } #best, #words { height: auto; margin: 0 1; }"
    ENABLE_COMMAND_PALETTE = False

    def __init__(self, path: Path) -> None:
        super().__init__()
        self.store = Store(path)

    def on_mount(self) -> None:
        self.push_screen(Experiments())

    def on_unmount(self) -> None:
        self.store.close()

    async def action_back(self) -> None:
        if len(self.screen_stack) > 2:
            await self.pop_screen()


def _four(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"


def _worst(cell: Cell, name: str, more: bool) -> float | None:
    found = cell.known(name).values()
    return (min if more else max)(found) if found else None
