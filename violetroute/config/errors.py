"""How a configuration is refused."""

from __future__ import annotations


class ConfigError(Exception):
    """Said in one line; the proxy does not start, or keeps what it had."""
