"""Connections to cache nodes: the pool, its connections, attempts and their outcomes."""

from .attempt import Attempt, AttemptOwner
from .pool import Pool

__all__ = ["Attempt", "AttemptOwner", "Pool"]
