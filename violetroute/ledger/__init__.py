"""What was served, by tenant and class, cut into periods and exported once (`[ledger]`).

`periods`, `accounts`, `frames` and `export` decide and are pure; `store` and `files` keep what they
decided; `outbox` hands batches over as files; `keeper` is the part that the daemon has.
"""

from .table import LedgerTable

__all__ = ["LedgerTable"]
