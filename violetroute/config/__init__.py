"""The configuration: the platform's PROXY_* variables and JSON, and the operator's TOML file."""

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
