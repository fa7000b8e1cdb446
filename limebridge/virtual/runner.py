"""Plays a plan in the world that it asks for: with the platform's discovery, or with Consul."""

from __future__ import annotations

from .consul import ConsulWorld
from .plan import Plan
from .world import Outcome, World


def run_plan(plan: Plan) -> Outcome:
    """Run a plan once; the same outcome each time and everywhere."""
    return (ConsulWorld if plan.consul else World)(plan).run()
