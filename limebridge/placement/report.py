"""What a plan comes to, as one HTML file that needs nothing else."""

from __future__ import annotations

from importlib.resources import files
from typing import Any

import jinja2

from .model import loss_cases
from .solver import Solution


def worst(solution: Solution) -> dict[str, tuple[str, float]]:
    """For each node the loss under which it is busiest, and how busy; ("", 0) without losses."""
    model = solution.model
    found = {node.name: ("", 0.0) for node in model.nodes}
    for loss in model.fleet.lost:
        for about, lost, left in loss_cases(model, loss):
            gone = {model.nodes[place].name for place in lost}
            if sum(solution.shares[name] for name in gone) >= 1.0:
                continue
            for name, (_, most) in found.items():
                busy = solution.load(name, gone) * left if name not in gone else 0.0
                if busy > most:
                    found[name] = (about, busy)
    return found


def html(solution: Solution, title: str) -> str:
    """The report; a bar for each node, as it is and under the loss that hits it most."""
    model, hit = solution.model, worst(solution)
    most = max([1.0, *(busy for _, busy in hit.values())])
    rows: list[dict[str, Any]] = []
    for node in model.nodes:
        when, busy = hit[node.name]
        rows.append(
            {
                "node": node,
                "share": solution.shares[node.name],
                "when": when,
                "busy": solution.load(node.name),
                "worst": busy,
            }
        )
    rows.sort(key=lambda row: (row["node"].site, row["node"].kind, row["node"].name))
    text = files(__package__).joinpath("report.html").read_text()
    environment = jinja2.Environment(
        autoescape=True, trim_blocks=True, lstrip_blocks=True, undefined=jinja2.StrictUndefined
    )
    return environment.from_string(text).render(
        title=title,
        rows=rows,
        goals=solution.goals,
        most=most,
        load=model.load,
        busiest=model.fleet.load.busiest,
        figures=list(model.figures.values()),
    )
