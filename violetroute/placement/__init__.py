"""Planned key placement (`[placement]`): the plan file, and how the daemon applies it."""

from .plan import ListedNode, PlacementTable, Plan, load_plan
from .plan_manager import PlanManager
from .ramp import Ramp

__all__ = ["ListedNode", "PlacementTable", "Plan", "PlanManager", "Ramp", "load_plan"]
