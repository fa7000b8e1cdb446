"""What the daemon is told: the platform's PROXY_* and JSON; each checked whole."""

from .platform import Config, ConfigError, load

__all__ = ["Config", "ConfigError", "load"]
