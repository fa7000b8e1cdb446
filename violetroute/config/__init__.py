"""What the daemon is told: the platform's PROXY_* and JSON, and the operator's own file."""

from .errors import ConfigError
from .operator import Limits, LogTable, Operator, restart_needed, until_restart
from .platform import Config, load, load_ours, parse

__all__ = [
    "Config",
    "ConfigError",
    "Limits",
    "LogTable",
    "Operator",
    "load",
    "load_ours",
    "parse",
    "restart_needed",
    "until_restart",
]
