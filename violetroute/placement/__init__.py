"""Shares worked out ahead: the plan's file, and how the daemon takes it on (`[placement]`)."""

from .plan import ListedNode, PlacementTable, Plan, load_plan
from .plan_manager import PlanManager
from .ramp import Ramp

__all__ = ["ListedNode", "PlacementTable", "Plan", "PlanManager", "Ramp", "load_plan"]
