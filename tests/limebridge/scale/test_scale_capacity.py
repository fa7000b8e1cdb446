"""The tables of docs/CAPACITY.md: rendered from the slopes, and checked for manual edits."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from limebridge.cli import app
from limebridge.scale.capacity import (
    Figures,
    MissingFigureError,
    ResourceKind,
    Role,
    Row,
    compute_needs,
)
from limebridge.scale.capacity_command import GROWTH_RUNS
from limebridge.scale.capacity_page import (
    COSTS_TABLE,
    QUOTED_TABLE,
    fill_tables,
    find_problems,
    format_number,
    render_tables,
)
from limebridge.scale.capacity_rows import ROWS
from limebridge.scale.capacity_rows_others import OTHER_PROGRAM
from limebridge.scale.growth import DuplicateSizeError, growth_table
from limebridge.scale.quoted import QUOTED_FIGURES
from limebridge.scale.results import Cost, Machine, Slopes, combine_slopes, save_slopes
from limebridge.scale.run_report import RunReport
from limebridge.scale.run_report import read as read_run
from limebridge.scale.run_sample import HOLLOW
from limebridge.scale.target import load_target
from tests.support.paths import ROOT

TARGET = load_target()
RUN = Path("docs/capacity/run-2600-all.json")
# This run is never measured again, so the expected values stay the same.
EARLIER_RUN = Path("docs/capacity/run-2600-all-walks.json")


def cost(name: str, constant: float, slope: float, *, straight: bool = True) -> Cost:
    return Cost(
        name=name,
        unit="bytes/s",
        per="member",
        what="made up",
        mechanism="violetroute/sharing/members.py",
        points=tuple((size, constant + slope * size) for size in (100.0, 1000.0)),
        constant=constant,
        slope=slope,
        slope_low=slope,
        slope_high=slope,
        residual=0.01 if straight else 0.5,
        straight=straight,
        run="limebridge scale slopes",
    )


def slopes_of(*costs: Cost) -> Slopes:
    machine = Machine("made up", 8, 24_000, "3.11", 0.0, 0.0)
    return Slopes(commit="0", machine=machine, quick=False, taken_at="", costs=costs, quoted=())


def row(identity: str, name: str, budget: float | None = None) -> Row:
    return Row(
        identity,
        Role.PROXY,
        ResourceKind.MESSAGES,
        "made up",
        "bytes/s",
        lambda figures: figures.cost(name, figures.target.proxies),
        "violetroute/sharing",
        None if budget is None else lambda figures: budget,
    )


PAGE = "Words.\n" + "".join(
    f"\n<!-- table: {name} -->\n<!-- end of table -->\n"
    for name in (*map(str, Role), COSTS_TABLE, QUOTED_TABLE)
)


def test_a_need_is_the_fitted_line_at_the_target_size_compared_with_the_budget() -> None:
    [need] = compute_needs([row("a", "x", 1000.0)], TARGET, slopes_of(cost("x", 100.0, 0.5)))
    assert need.need == 100.0 + 0.5 * TARGET.proxies and need.sources == ("x",)
    assert need.ratio == need.need / 1000.0 and need.over_budget


def test_a_need_without_a_measurement_has_the_reason_in_place_of_a_value() -> None:
    curve = cost("curve", 0.0, 1.0, straight=False)
    needs = compute_needs([row("a", "x", 1.0), row("b", "curve")], TARGET, slopes_of(curve))
    assert [need.need for need in needs] == [None, None]
    assert needs[0].missing == "x is not measured" and not needs[0].over_budget
    assert "curve" in needs[1].missing and "2600" in needs[1].missing
    with pytest.raises(MissingFigureError):
        Figures(TARGET, slopes_of()).quoted("x")


def test_edited_figures_and_figures_of_other_slopes_are_reported() -> None:
    slopes = slopes_of(cost("x", 100.0, 0.5))
    needs = compute_needs([row("a", "x", 5000.0)], TARGET, slopes)
    page = fill_tables(PAGE, render_tables(needs, slopes))
    assert find_problems(page, needs, render_tables(needs, slopes)) == []
    assert fill_tables(page, render_tables(needs, slopes)) == page
    edited = page.replace("1,400 bytes/s", "1,300 bytes/s")
    assert edited != page
    [wrong] = find_problems(edited, needs, render_tables(needs, slopes))
    assert "table proxy" in wrong and "1,300" in wrong and "1,400" in wrong
    other_slopes = slopes_of(cost("x", 200.0, 0.5))
    other_needs = compute_needs([row("a", "x", 5000.0)], TARGET, other_slopes)
    assert find_problems(page, other_needs, render_tables(other_needs, other_slopes))
    rendered = render_tables(needs, slopes)
    assert find_problems(page.replace("<!-- table: discovery -->", ""), needs, rendered) == [
        "no table: discovery"
    ]


def test_a_line_in_the_text_is_required_exactly_for_exceeded_budgets() -> None:
    slopes = slopes_of(cost("x", 100.0, 0.5))
    needs = compute_needs([row("a", "x", 1000.0), row("b", "x", 9000.0)], TARGET, slopes)
    rendered = render_tables(needs, slopes)
    page = fill_tables(PAGE, rendered)
    assert "**1.40**" in page
    assert find_problems(page, needs, rendered) == ["over budget, but no line says so: a"]
    assert find_problems(page + "\n- Over budget: a, since it is made up.\n", needs, rendered) == []
    assert find_problems(page + "\n- Over budget: a\n- Over budget: b\n", needs, rendered) == [
        "not over budget, but a line says so: b"
    ]


def test_each_role_has_a_row_of_each_kind() -> None:
    present = {(row.role, row.kind) for row in ROWS}
    assert present == {(role, kind) for role in Role for kind in ResourceKind}
    assert len({row.identity for row in ROWS}) == len(ROWS)


def test_a_need_of_another_program_has_no_value_and_names_the_reason() -> None:
    [need] = compute_needs(
        [row for row in ROWS if row.identity == "node-memory"], TARGET, slopes_of()
    )
    assert need.need is None and need.missing == OTHER_PROGRAM
    assert OTHER_PROGRAM in render_tables([need], slopes_of())[str(Role.NODE)]


def test_the_table_of_a_role_is_ordered_by_kind() -> None:
    slopes = slopes_of(cost("x", 100.0, 0.5))
    made_up = row("b", "x")
    state = Row("a", Role.PROXY, ResourceKind.STATE, "made up", "", lambda figures: 1.0, "made up")
    table = render_tables(compute_needs([made_up, state], TARGET, slopes), slopes)[str(Role.PROXY)]
    assert [line.split(" | ")[0] for line in table.splitlines()[2:]] == ["| state", "| messages"]


def test_the_table_of_quoted_figures_has_each_with_its_run() -> None:
    rendered = render_tables([], msgspec.structs.replace(slopes_of(), quoted=QUOTED_FIGURES))[
        QUOTED_TABLE
    ]
    lines = rendered.splitlines()[2:]
    assert len(lines) == len(QUOTED_FIGURES)
    for figure, line in zip(QUOTED_FIGURES, lines, strict=True):
        assert line.startswith(f"| {figure.name} | ") and line.endswith(f" | {figure.source} |")


def test_numbers_have_three_significant_digits() -> None:
    shown = [format_number(value) for value in (0.0, 0.00123456, 1.0, 9.999, 123.4, 1234567.0)]
    assert shown == ["0", "0.00123", "1.00", "10.0", "123", "1,230,000"]


def test_the_command_writes_and_checks_the_page(tmp_path: Path) -> None:
    file, page = tmp_path / "slopes.json", tmp_path / "CAPACITY.md"
    save_slopes(slopes_of(cost("gossip.bytes_per_s", 100.0, 0.5)), file)
    page.write_text(PAGE)
    run = ["scale", "capacity", str(file), "--page", str(page)]
    assert CliRunner().invoke(app, run).exit_code == 0
    assert "2,800 bytes/s" in page.read_text()
    assert CliRunner().invoke(app, [*run, "--check"]).exit_code == 0
    page.write_text(page.read_text().replace("2,800", "2,900"))
    assert CliRunner().invoke(app, [*run, "--check"]).exit_code == 1
    file.write_text("{}")
    refused = CliRunner().invoke(app, run)
    assert refused.exit_code == 2 and refused.stderr.count("\n") == 1


def test_the_committed_page_agrees_with_the_committed_slopes() -> None:
    refused = CliRunner().invoke(
        app,
        [
            "scale",
            "capacity",
            *map(str, sorted((ROOT / "docs" / "capacity").glob("slopes*.json"))),
            *(word for path in GROWTH_RUNS for word in ("--run", str(ROOT / path))),
            "--page",
            str(ROOT / "docs" / "CAPACITY.md"),
            "--check",
        ],
    )
    assert refused.exit_code == 0, refused.stderr


def test_a_cost_of_a_later_file_replaces_that_of_an_earlier_one() -> None:
    first, second = (
        slopes_of(cost("x", 1.0, 2.0), cost("y", 1.0, 1.0)),
        slopes_of(cost("x", 5.0, 0.0)),
    )
    both = combine_slopes([first, second])
    assert both.cost("x").constant == 5.0 and both.cost("y").constant == 1.0


def test_a_slopes_file_is_read_back(tmp_path: Path) -> None:
    slopes = slopes_of(cost("x", 1.0, 2.0))
    save_slopes(slopes, tmp_path / "a.json")
    assert msgspec.json.decode((tmp_path / "a.json").read_bytes(), type=Slopes) == slopes


def run_of(proxies: int, wire_bytes: float) -> RunReport:
    """A committed run, changed to `proxies` proxies that each use `wire_bytes` on average."""
    report = read_run(ROOT / EARLIER_RUN)
    replace = msgspec.structs.replace
    roles = tuple(
        replace(role, wire_bytes=replace(role.wire_bytes, mean=wire_bytes)) for role in report.roles
    )
    return replace(report, plan=replace(report.plan, proxies=proxies), roles=roles)


def test_growth_compares_each_run_with_the_prediction_for_its_size() -> None:
    costs = (
        cost("distribution.proxy_bytes_per_s", 100.0, 10.0),
        cost("control.cpu_share", 0.0, 0.01),
    )
    table = growth_table([run_of(800, 5000.0), run_of(200, 4000.0)], TARGET, slopes_of(*costs))
    heads, _, *lines = table.splitlines()
    assert heads.endswith("| 200 proxies | 800 proxies |")
    by_name = {line.split("|")[1].strip(): line for line in lines}
    assert by_name["with headers, bytes/s"].endswith("| 4,000 | 5,000 |")
    # There are 71 purges per second at any number of proxies, and the proxies are divided among the
    # control machines.
    assert by_name["of these distribution, bytes/s"].count("(810, 5.54)") == 2
    follows = by_name["a control machine that follows, of a core"]
    assert "(0.250, 2.01)" in follows and "(1.00, 0.50)" in follows
    # Without a measured slope there is no prediction.
    assert "(" not in by_name["a control machine, MB"]


def test_two_runs_of_the_same_size_are_rejected() -> None:
    with pytest.raises(DuplicateSizeError, match="two runs of the same size"):
        growth_table([run_of(200, 1.0), run_of(200, 2.0)], TARGET, slopes_of())


def test_an_edited_growth_table_is_found(tmp_path: Path) -> None:
    file, page = tmp_path / "slopes.json", tmp_path / "CAPACITY.md"
    save_slopes(slopes_of(cost("distribution.proxy_bytes_per_s", 100.0, 10.0)), file)
    page.write_text(PAGE + "\n<!-- table: growth -->\n<!-- end of table -->\n")
    run = ["scale", "capacity", str(file), "--page", str(page)]
    run += ["--run", str(ROOT / RUN)]
    assert CliRunner().invoke(app, run).exit_code == 0
    assert CliRunner().invoke(app, [*run, "--check"]).exit_code == 0
    [hollow] = [role for role in read_run(ROOT / RUN).roles if role.role == HOLLOW]
    figure = format_number(hollow.wire_bytes.mean)
    assert page.read_text().count(figure) == 1
    page.write_text(page.read_text().replace(figure, "1,234"))
    edited = CliRunner().invoke(app, [*run, "--check"])
    assert edited.exit_code == 1 and figure in edited.stderr
