"""The usage ledger (`[ledger]`): served requests by tenant, class and period, exported once.

`periods`, `accounts`, `counters`, `frames` and `export` make the decisions and are pure; `store`
and `files` persist them; `outbox` and `post` export batches; `service` runs it all in the daemon.
"""

from .table import LedgerTable

__all__ = ["LedgerTable"]
