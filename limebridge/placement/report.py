"""A report of a solution, as one HTML page without external files."""

from __future__ import annotations

from importlib.resources import files
from typing import Any

import jinja2

from .model import loss_cases
from .solver import Solution


def worst_losses(solution: Solution) -> dict[str, tuple[str, float]]:
    """For each node the loss that gives it the highest utilization, and that utilization.

    ("", 0.0) if there is none.
    """
    model = solution.model
    worst = {node.name: ("", 0.0) for node in model.nodes}
    for loss in model.fleet.lost:
        for subject, lost, remaining_load in loss_cases(model, loss):
            lost_names = {model.nodes[index].name for index in lost}
            if sum(solution.shares[name] for name in lost_names) >= 1.0:
                continue
            for name, (_, highest) in worst.items():
                utilization = (
                    solution.load(name, lost_names) * remaining_load
                    if name not in lost_names
                    else 0.0
                )
                if utilization > highest:
                    worst[name] = (subject, utilization)
    return worst


def render_html(solution: Solution, title: str) -> str:
    """The page: a table with a bar for each node, its utilization now and under its worst loss."""
    model, worst = solution.model, worst_losses(solution)
    highest = max([1.0, *(utilization for _, utilization in worst.values())])
    rows: list[dict[str, Any]] = []
    for node in model.nodes:
        loss_name, utilization = worst[node.name]
        rows.append(
            {
                "node": node,
                "share": solution.shares[node.name],
                "when": loss_name,
                "busy": solution.load(node.name),
                "worst": utilization,
            }
        )
    rows.sort(key=lambda row: (row["node"].site, row["node"].kind, row["node"].name))
    template = files(__package__).joinpath("report.html").read_text()
    environment = jinja2.Environment(
        autoescape=True, trim_blocks=True, lstrip_blocks=True, undefined=jinja2.StrictUndefined
    )
    return environment.from_string(template).render(
        title=title,
        rows=rows,
        goals=solution.goals,
        highest=highest,
        load=model.load,
        busiest=model.fleet.load.busiest,
        constraints=list(model.constraints.values()),
    )
