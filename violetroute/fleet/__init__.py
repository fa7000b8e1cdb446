"""Work on behalf of the fleet: one owner at a time, fenced where the effect is (`[fleet]`).

`lease`, `owner`, `spread`, `log` and `settlement` decide and are pure; `folder` and `kv` are where
leases and logs live; `work` and `gather` do what an owner does; `keeper` is the daemon's part.
"""

from .table import FleetTable

__all__ = ["FleetTable"]
