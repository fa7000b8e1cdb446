"""What a run came to: one JSON object, and one HTML page that needs nothing else."""

from __future__ import annotations

from importlib.resources import files
from typing import Any
from xml.etree import ElementTree

import jinja2

from .result import Result

WIDTH, HEIGHT, CELL = 900.0, 160.0, 14.0  # px of the pictures
BREAKS = 20  # told at most
DEAREST = 10  # seconds, with the decision that cost most in each


def plain(result: Result) -> dict[str, Any]:
    """Everything but the curves, the same to the last digit for the same seed."""
    found = result.score
    return {
        "scenario": result.scenario.name,
        "seed": result.seed,
        "passed": not result.failed,
        "verdict": verdict(result),
        "failed": result.failed,
        "service": found.service,
        "worst": found.worst,
        "worst_at": found.worst_at,
        "worst_class": found.worst_class,
        "total": found.total,
        "classes": found.classes,
        "tenants": found.tenants,
        "sites": found.sites,
        "asked": found.asked,
        "tries": found.tries,
        "ends": found.ends,
        "p50_ms": found.p50_ms,
        "p99_ms": found.p99_ms,
        "crossed": result.crossed,
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
        "costs": [[c.second, c.lost, c.by, c.part] for c in result.costs],
        "broken": [[b.rule, round(b.at, 6), b.message, b.request] for b in result.broken[:BREAKS]],
    }


def verdict(result: Result) -> str:
    """One word."""
    return (
        "void"
        if result.void
        else "partial"
        if result.partial
        else "failed"
        if result.failed
        else "passed"
    )


def xml(results: list[Result]) -> str:
    """JUnit's form: a test case a seed, a void one as skipped."""
    failed = sum(bool(result.failed) and not result.void for result in results)
    void = sum(result.void for result in results)
    name = results[0].scenario.name if results else ""
    suite = ElementTree.Element(
        "testsuite",
        name=f"rehearse {name}",
        tests=str(len(results)),
        failures=str(failed),
        errors="0",
        skipped=str(void),
    )
    for result in results:
        case = ElementTree.SubElement(
            suite,
            "testcase",
            classname=f"rehearse.{name}",
            name=f"seed {result.seed}",
            time=f"{result.scenario.run.seconds:g}",
        )
        if result.failed:
            told = ElementTree.SubElement(
                case, "skipped" if result.void else "failure", message=result.failed[0]
            )
            told.text = "\n".join(result.failed)
    return ElementTree.tostring(suite, encoding="unicode", xml_declaration=True) + "\n"


def html(results: list[Result]) -> str:
    """One page for all runs of a scenario, the first one drawn."""
    first = results[0]
    seconds = first.scenario.run.seconds
    step = WIDTH / seconds
    served = [
        (n * step, HEIGHT - HEIGHT * (earned / asked if asked else 1.0))
        for n, (asked, earned) in enumerate(first.score.seconds)
    ]
    share = first.share
    could = (
        []
        if share is None
        else [
            (n * step, HEIGHT - HEIGHT * (there / asked if asked else 1.0))
            for n, (there, (asked, _)) in enumerate(
                zip(share.attainable, first.score.seconds, strict=True)
            )
        ]
    )
    most = max([1, *first.database, int(first.scenario.database.ceiling)])
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
        found=first.score,
        failed=first.failed,
        width=WIDTH,
        height=HEIGHT,
        cell=CELL,
        step=step,
        share=share,
        could=" ".join(f"{x:.1f},{y:.1f}" for x, y in could),
        line=" ".join(f"{x:.1f},{y:.1f}" for x, y in served),
        rows=rows,
        seconds=seconds,
        database=[
            {"x": n * step, "h": 60.0 * count / most, "count": count}
            for n, count in enumerate(first.database)
        ],
        ceiling=first.scenario.database.ceiling,
        most=most,
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
        broken=first.broken[:BREAKS],
        blame=first.blame,
        costs=sorted(first.costs, key=lambda cost: -cost.lost)[:DEAREST],
        unserved=first.unserved,
    )
