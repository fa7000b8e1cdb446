"""Work on behalf of the fleet: one owner at a time, fenced where the effect is (`[fleet]`).

`lease`, `election`, `assignment`, `log` and `settlement` decide and are pure; `folder` and `kv` are
where leases and logs live; `job` and `ledger_files` do what an owner does; `runner` is the daemon's
part.
"""

from .table import FleetTable

__all__ = ["FleetTable"]
