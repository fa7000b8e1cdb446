"""Connections to cache nodes: pools, attempts, their outcomes."""

from .attempt import Attempt, AttemptOwner
from .pool import Pool

__all__ = ["Attempt", "AttemptOwner", "Pool"]
