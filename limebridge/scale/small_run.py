"""Scale runs with one control machine, from which costs of the distribution are measured."""

from __future__ import annotations

import asyncio

from .registry import MeasurementError
from .run import ScaleRun
from .run_plan import RunPlan, check_plan
from .run_report import RoleUse, RunReport

SECONDS = 15.0
WARM_SECONDS = 4.0


def run_small(proxies: int, purges_per_s: float) -> RunReport:
    """Run one control machine with `proxies` hollow proxies of one region, without gossip.

    Raises MeasurementError if a purge was reported in force too early or was never applied by a
    proxy, PlanError if this machine is too small, ProcessError if a process fails.
    """
    plan = RunPlan(
        proxies=proxies,
        sites=1,
        regions=1,
        nodes=0,
        real=0,
        controls=1,
        seconds=SECONDS,
        warm_seconds=WARM_SECONDS,
        purges=purges_per_s,
        requests=0.0,
        gossip=False,
    )
    check_plan(plan)
    report = asyncio.run(ScaleRun(plan, lambda activity, share: None).run())
    in_force = report.in_force
    if in_force is not None and (in_force.early or in_force.never_applied):
        raise MeasurementError(
            "a purge was reported in force too early, or a proxy never applied it"
        )
    return report


def role_of(report: RunReport, name: str) -> RoleUse:
    """What the role `name` used.  MeasurementError if the run had no such role."""
    for role in report.roles:
        if role.role == name:
            return role
    raise MeasurementError(f"the run had no {name}")
