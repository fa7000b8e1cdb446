"""Connections to cache nodes: the pool, its connections, attempts and their outcomes."""

from .attempt import Attempt, AttemptOwner
from .connection import Malformation
from .pool import Pool

__all__ = ["Attempt", "AttemptOwner", "Malformation", "Pool"]
