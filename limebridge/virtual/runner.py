"""Runs a plan in its simulation: with the platform's discovery only, or also with Consul."""

from __future__ import annotations

from .consul import ConsulWorld
from .plan import Plan
from .world import Outcome, World


def run_plan(plan: Plan) -> Outcome:
    """Run a plan once; its outcome is deterministic."""
    return (ConsulWorld if plan.consul else World)(plan).run()
