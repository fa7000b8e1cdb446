"""Bounded counters of the units served since the last write.  Pure.

While a write hangs or fails, the counters keep one number per period, tenant and class, so they
don't grow with the requests.  At most `max_tenants` are counted by name in a period.  Half of these
places are reserved for tenants of the previous period, so that a flood of made-up tenants doesn't
displace those who are billed every day.  Tenants without a place are counted together under None:
the sum stays right, and every export shows how much that is.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

from .accounts import MAX_TENANT_BYTES

MAX_IDS = 200_000  # hashes that wait for a write; more are dropped and counted
MAX_PERIODS = 64  # periods; if a jumping clock makes more, only the latest two are kept


class UsageCounters:
    """Units by period, tenant and class.  `max_tenants`: tenants counted by name in one period."""

    def __init__(self, max_tenants: int, ids: bool = False) -> None:
        self._max_tenants, self._keeps_ids = max_tenants, ids
        self.units: dict[tuple[int, str | None, str], int] = {}
        self.ids: dict[int, bytearray] = {}  # request id hashes by period, 8 bytes each
        self.ids_dropped = self._pending_ids = 0
        self._tenants: dict[int, dict[str, None]] = {}  # tenants counted by name, by period
        self._newcomers: dict[int, int] = {}
        self.others = 0  # units counted under None so far

    def restore(self, period: int, tenants: Mapping[str, None]) -> None:
        """Add tenants that an earlier process counted by name in a period."""
        self._tenants.setdefault(period, {}).update(tenants)

    def add(self, period: int, tenant: str, cls: str, id_: bytes) -> None:
        """Count one served request."""
        name = self._counted_name(period, tenant)
        key = period, name, cls
        self.units[key] = self.units.get(key, 0) + 1
        if name is None:
            self.others += 1
        if self._keeps_ids:
            if self._pending_ids < MAX_IDS:
                self._pending_ids += 1
                self.ids.setdefault(period, bytearray()).extend(id_hash(id_))
            else:
                self.ids_dropped += 1

    def _counted_name(self, period: int, tenant: str) -> str | None:
        tenants = self._tenants.get(period)
        if tenants is not None and tenant in tenants:
            return tenant
        name = shortened_tenant(tenant)
        if tenants is None:
            if len(self._tenants) >= MAX_PERIODS:
                self._drop_old_periods()
            tenants = self._tenants[period] = {}
        if name in tenants:
            return name
        before = self._tenants.get(max((p for p in self._tenants if p < period), default=-1), {})
        if name not in before:
            if (
                self._newcomers.get(period, 0) >= self._max_tenants // 2
                or len(tenants) >= self._max_tenants
            ):
                return None
            self._newcomers[period] = self._newcomers.get(period, 0) + 1
        elif len(tenants) >= self._max_tenants:
            return None
        tenants[name] = None
        return name

    def _drop_old_periods(self) -> None:
        for period in sorted(self._tenants)[:-2]:
            del self._tenants[period]
            self._newcomers.pop(period, None)

    def collect(self) -> tuple[dict[tuple[int, str | None, str], int], dict[int, bytearray]]:
        """Return and reset the units and the id hashes, both by period."""
        units, ids = self.units, self.ids
        self.units, self.ids, self._pending_ids = {}, {}, 0
        if len(self._tenants) > 2:
            self._drop_old_periods()
        return units, ids


def shortened_tenant(tenant: str) -> str:
    """The tenant's name; over MAX_TENANT_BYTES, its beginning and a hash of all of it."""
    if len(tenant) * 4 <= MAX_TENANT_BYTES:
        return tenant
    data = tenant.encode("utf-8", "replace")
    if len(data) <= MAX_TENANT_BYTES:
        return tenant
    mark = blake2b(data, digest_size=8).hexdigest()
    return data[: MAX_TENANT_BYTES - 17].decode("utf-8", "ignore") + "#" + mark


def id_hash(id_: bytes) -> bytes:
    """An 8-byte hash of a request's id, the same at proxies and nodes."""
    return blake2b(id_, digest_size=8).digest()
