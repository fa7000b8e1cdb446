"""The four rules of the proxy, checked from what clients, cache nodes and discovery observe."""

from .checker import RuleChecker, RuleLimits, Violation

__all__ = ["RuleChecker", "RuleLimits", "Violation"]
