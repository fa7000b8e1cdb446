"""Operators' files for daemons that the kit starts."""

from __future__ import annotations

import msgspec
import tomli_w

from violetroute.config.operator import Operator


def operator_file(operator: Operator) -> str:
    """The text of the file; tables that say nothing are left out."""
    return tomli_w.dumps(msgspec.to_builtins(operator))
