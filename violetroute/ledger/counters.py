"""What has been served since the last write, within bounds.  Pure.

A write that hangs or fails makes the tally wait, not grow: it has one number for each tenant and
class of the periods that it meets.  A crowd of made-up tenants fills `most` places of a period at
most; half of them are kept for tenants that were there in the period before, so that a crowd does
not push out those who are billed every day.  Who has no place is counted under nobody's name
(None), so that the sum is right, and how much that is shows in every export.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

from .accounts import MAX_TENANT_BYTES

MAX_IDS = 200_000  # hashes that wait for a write; more are left out, which is told
MAX_PERIODS = 64  # met since the last write; a clock that jumps about ends in the last of them


class UsageCounters:
    """`most`: tenants by name in one period."""

    def __init__(self, most: int, ids: bool = False) -> None:
        self._most, self._keeps_ids = most, ids
        self.units: dict[tuple[int, str | None, str], int] = {}
        self.ids: dict[int, bytearray] = {}  # by period, 8 bytes each
        self.ids_left_out = self._pending_ids = 0
        self._tenants: dict[int, dict[str, None]] = {}  # who has a place, by period
        self._newcomers: dict[int, int] = {}
        self.others = 0  # units without a name, so far

    def restore(self, period: int, tenants: Mapping[str, None]) -> None:
        """Who had a place in a period that was opened by another process."""
        self._tenants.setdefault(period, {}).update(tenants)

    def add(self, period: int, tenant: str, cls: str, id_: bytes) -> None:
        """One unit."""
        name = self._place(period, tenant)
        key = period, name, cls
        self.units[key] = self.units.get(key, 0) + 1
        if name is None:
            self.others += 1
        if self._keeps_ids:
            if self._pending_ids < MAX_IDS:
                self._pending_ids += 1
                self.ids.setdefault(period, bytearray()).extend(id_hash(id_))
            else:
                self.ids_left_out += 1

    def _place(self, period: int, tenant: str) -> str | None:
        here = self._tenants.get(period)
        if here is not None and tenant in here:
            return tenant
        name = shortened_tenant(tenant)
        if here is None:
            if len(self._tenants) >= MAX_PERIODS:
                self._forget()
            here = self._tenants[period] = {}
        if name in here:
            return name
        before = self._tenants.get(max((p for p in self._tenants if p < period), default=-1), {})
        if name not in before:
            if self._newcomers.get(period, 0) >= self._most // 2 or len(here) >= self._most:
                return None
            self._newcomers[period] = self._newcomers.get(period, 0) + 1
        elif len(here) >= self._most:
            return None
        here[name] = None
        return name

    def _forget(self) -> None:
        for period in sorted(self._tenants)[:-2]:
            del self._tenants[period]
            self._newcomers.pop(period, None)

    def collect(self) -> tuple[dict[tuple[int, str | None, str], int], dict[int, bytearray]]:
        """All of it, which is another's to keep from here on."""
        units, ids = self.units, self.ids
        self.units, self.ids, self._pending_ids = {}, {}, 0
        if len(self._tenants) > 2:
            self._forget()
        return units, ids


def shortened_tenant(tenant: str) -> str:
    """A name that is too long: its beginning, and a hash of all of it."""
    if len(tenant) * 4 <= MAX_TENANT_BYTES:
        return tenant
    data = tenant.encode("utf-8", "replace")
    if len(data) <= MAX_TENANT_BYTES:
        return tenant
    mark = blake2b(data, digest_size=8).hexdigest()
    return data[: MAX_TENANT_BYTES - 17].decode("utf-8", "ignore") + "#" + mark


def id_hash(id_: bytes) -> bytes:
    """8 bytes that stand for a request's id, the same at proxies and nodes."""
    return blake2b(id_, digest_size=8).digest()
