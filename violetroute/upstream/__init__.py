"""Connections to cache nodes: pools, attempts, their outcomes."""

from .attempt import Attempt, Sink
from .pool import Pool

__all__ = ["Attempt", "Pool", "Sink"]
