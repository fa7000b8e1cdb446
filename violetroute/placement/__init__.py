"""Shares worked out ahead: the plan's file, and how the daemon takes it on (`[placement]`)."""

from .keeper import Keeper
from .plan import Like, PlacementTable, Plan, load_plan
from .ramp import Ramp

__all__ = ["Keeper", "Like", "PlacementTable", "Plan", "Ramp", "load_plan"]
