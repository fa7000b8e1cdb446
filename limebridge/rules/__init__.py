"""The four rules, judged from outside: by what clients, cache nodes and discovery saw."""

from .checker import RuleChecker, RuleLimits, Violation

__all__ = ["RuleChecker", "RuleLimits", "Violation"]
