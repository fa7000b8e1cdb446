"""Renders results: a JSON object per run, JUnit XML, and a self-contained HTML page."""

from __future__ import annotations

from importlib.resources import files
from typing import Any
from xml.etree import ElementTree

import jinja2

from .result import Result

WIDTH, HEIGHT, CELL = 900.0, 160.0, 14.0  # px: size of the line chart, height of a row
MAX_VIOLATIONS = 20  # violations that a report lists
MAX_COSTLY_SECONDS = 10  # seconds with the largest losses that the page lists


def to_dict(result: Result) -> dict[str, Any]:
    """The result without its time series, as it is printed as JSON; equal for equal seeds."""
    score = result.score
    return {
        "scenario": result.scenario.name,
        "seed": result.seed,
        "passed": not result.failed,
        "verdict": verdict(result),
        "failed": result.failed,
        "service": score.service,
        "worst": score.worst,
        "worst_at": score.worst_at,
        "worst_class": score.worst_class,
        "total": score.total,
        "classes": score.classes,
        "tenants": score.tenants,
        "sites": score.sites,
        "asked": score.requests,
        "tries": score.attempts,
        "ends": score.outcomes,
        "p50_ms": score.p50_ms,
        "p99_ms": score.p99_ms,
        "crossed": result.cross_site_commands,
        "commands": result.commands,
        "database_most": max(result.database, default=0),
        "share": None
        if result.share is None
        else {
            "whole": result.share.whole,
            "trouble": result.share.trouble,
            "after": result.share.after,
            "back": result.share.back,
            "swing": result.share.swing,
        },
        "blame": result.blame,
        "costs": [[c.second, c.lost, c.cause, c.cause_share] for c in result.costs],
        "broken": [
            [v.rule, round(v.at, 6), v.message, v.request]
            for v in result.violations[:MAX_VIOLATIONS]
        ],
    }


def verdict(result: Result) -> str:
    """One word: void, partial, failed or passed."""
    return (
        "void"
        if result.void
        else "partial"
        if result.partial
        else "failed"
        if result.failed
        else "passed"
    )


def render_junit(results: list[Result]) -> str:
    """The results of one scenario as JUnit XML: a test case per seed; void runs are skipped."""
    failed = sum(bool(result.failed) and not result.void for result in results)
    void = sum(result.void for result in results)
    name = results[0].scenario.name if results else ""
    testsuite = ElementTree.Element(
        "testsuite",
        name=f"rehearse {name}",
        tests=str(len(results)),
        failures=str(failed),
        errors="0",
        skipped=str(void),
    )
    for result in results:
        testcase = ElementTree.SubElement(
            testsuite,
            "testcase",
            classname=f"rehearse.{name}",
            name=f"seed {result.seed}",
            time=f"{result.scenario.run.seconds:g}",
        )
        if result.failed:
            element = ElementTree.SubElement(
                testcase, "skipped" if result.void else "failure", message=result.failed[0]
            )
            element.text = "\n".join(result.failed)
    return ElementTree.tostring(testsuite, encoding="unicode", xml_declaration=True) + "\n"


def render_html(results: list[Result]) -> str:
    """A page about all runs of a scenario, with charts of the first one."""
    first = results[0]
    seconds = first.scenario.run.seconds
    step = WIDTH / seconds
    served_line = [
        (n * step, HEIGHT - HEIGHT * (earned / requested if requested else 1.0))
        for n, (requested, earned) in enumerate(first.score.seconds)
    ]
    share = first.share
    attainable = (
        []
        if share is None
        else [
            (n * step, HEIGHT - HEIGHT * (limit / requested if requested else 1.0))
            for n, (limit, (requested, _)) in enumerate(
                zip(share.attainable, first.score.seconds, strict=True)
            )
        ]
    )
    database_max = max([1, *first.database, int(first.scenario.database.ceiling)])
    rows = []
    for name, work in first.nodes.items():
        slots = first.slots[name]
        rows.append(
            {
                "name": name,
                "cells": [
                    {"x": n * step, "busy": min(1.0, done / slots)} for n, done in enumerate(work)
                ],
            }
        )
    environment = jinja2.Environment(
        autoescape=True, trim_blocks=True, lstrip_blocks=True, undefined=jinja2.StrictUndefined
    )
    text = files(__package__).joinpath("report.html").read_text()
    return environment.from_string(text).render(
        name=first.scenario.name,
        about=first.scenario.run.about,
        results=results,
        score=first.score,
        failed=first.failed,
        width=WIDTH,
        height=HEIGHT,
        cell=CELL,
        step=step,
        share=share,
        attainable=" ".join(f"{x:.1f},{y:.1f}" for x, y in attainable),
        served_line=" ".join(f"{x:.1f},{y:.1f}" for x, y in served_line),
        rows=rows,
        seconds=seconds,
        database=[
            {"x": n * step, "h": 60.0 * count / database_max, "count": count}
            for n, count in enumerate(first.database)
        ],
        ceiling=first.scenario.database.ceiling,
        database_max=database_max,
        bar=first.scenario.bar,
        events=[
            {
                "x": event.at * step,
                "w": max(2.0, event.lasts * step),
                "kind": event.kind,
                "at": event.at,
            }
            for event in first.scenario.event
        ],
        violations=first.violations[:MAX_VIOLATIONS],
        blame=first.blame,
        costs=sorted(first.costs, key=lambda cost: -cost.lost)[:MAX_COSTLY_SECONDS],
        unserved=first.unserved,
    )
