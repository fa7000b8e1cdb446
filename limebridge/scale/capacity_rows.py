"""All rows of docs/CAPACITY.md: the needs of each role, as formulas over measured costs."""

from __future__ import annotations

from .capacity import Row
from .capacity_rows_control import CONTROL_ROWS
from .capacity_rows_others import OTHER_ROWS
from .capacity_rows_proxy import PROXY_ROWS

ROWS: tuple[Row, ...] = (*PROXY_ROWS, *CONTROL_ROWS, *OTHER_ROWS)
