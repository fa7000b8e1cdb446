"""Operator's files for daemons started by the test kit."""

from __future__ import annotations

import msgspec
import tomli_w

from violetroute.config.operator import Operator


def operator_file(operator: Operator) -> str:
    """The settings as TOML; values equal to their defaults are left out."""
    return tomli_w.dumps(msgspec.to_builtins(operator))
