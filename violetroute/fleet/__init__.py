"""Fleet-wide jobs with one owner at a time, by leases with fencing tokens (`[fleet]`).

`lease`, `election`, `assignment`, `log` and `settlement` decide and are pure; `folder` and `kv`
store leases and logs; `job` and `ledger_files` run the jobs; `runner` connects all of them to the
daemon.
"""

from .table import FleetTable

__all__ = ["FleetTable"]
