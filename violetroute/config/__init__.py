"""What the daemon is told: the platform's PROXY_* and JSON, and the operator's own file."""

from .errors import ConfigError
from .operator import Limits, LogTable, Operator, effective_operator, restart_needed
from .platform import Config, load, load_operator_files, parse

__all__ = [
    "Config",
    "ConfigError",
    "Limits",
    "LogTable",
    "Operator",
    "effective_operator",
    "load",
    "load_operator_files",
    "parse",
    "restart_needed",
]
