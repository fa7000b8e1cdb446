"""The error for an invalid configuration."""

from __future__ import annotations


class ConfigError(Exception):
    """An invalid configuration, described in one line.

    The proxy does not start, or a running one keeps its configuration.
    """
