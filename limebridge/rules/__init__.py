"""The four rules, judged from outside: by what clients, cache nodes and discovery saw."""

from .judge import Break, Judge, Terms

__all__ = ["Break", "Judge", "Terms"]
