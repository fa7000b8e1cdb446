"""The records at the interface of the decision module: settings, events and actions.

There are no rules and no constants of the policy here: those are in the files that
deploy/balancer.toml lists under `policy`.  Times are milliseconds on the caller's clock, which
never steps back.  Durations are in milliseconds too; names with `_per_s` are rates per second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

HOUSEKEEPING = 1 << 52  # timer label for subscriptions; lower labels are request ids
RESIZING = HOUSEKEEPING + 1  # timer label for resizing more caches


def require(condition: bool, message: str) -> None:
    """Raise ValueError with this message unless the condition holds."""
    if not condition:
        raise ValueError(message)


# --- settings -------------------------------------------------------------------------
class Effect(Enum):
    """Whether a request may run more than once."""

    PURE = "pure"  # safe to repeat at any time
    KEYED = "keyed"  # the caches of its group drop repeats within a window
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """The caches that recognise a repeated keyed request: all, or those of a zone or a cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; an answer within `latency_target` has the full `value`."""

    name: str
    latency_target: float
    deadline: float
    effect: Effect
    value: float = 1.0
    late_value: float = 0.0  # share of the value that a late answer has
    group: Group = Group.ALL
    repeat_window: float = 0.0  # ms for which caches drop repeats of a keyed request

    def __post_init__(self) -> None:
        for name in ("latency_target", "deadline"):
            require(getattr(self, name) > 0, f"class {self.name}: {name} must be above 0")
        require(self.value >= 0, f"class {self.name}: value must not be negative")
        require(self.repeat_window >= 0, f"class {self.name}: repeat_window is negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant; a quota of 0 means that it has none."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What the platform sets for one proxy."""

    classes: tuple[RequestClass, ...]
    max_attempts: int
    proxies: int = 1
    zone: str = ""
    origin_kind: str | None = None  # set if the proxy itself sends misses to the origin
    must_subscribe: bool = False
    local_agent: bool = False  # an agent beside this proxy has the lists; they count as received
    can_hedge: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    weighted: bool = False  # the list has weights that can be compared
    cold_share: float = 0.1  # share of its full load that a starting cache can take
    warm_time: float = 0.0  # ms after its start from which a cache can take its full load
    subscribe_within: float = 10_000.0  # ms; a new subscription begins within half of this time
    cross_zone_price: float = 0.0
    origin_price: float = 0.0
    waste_price: float = 0.0
    max_backoff: float = 0.0
    over_quota_factor: float = 1.0  # factor on the value of requests beyond a tenant's quota
    tenants: tuple[Tenant, ...] = ()

    def __post_init__(self) -> None:
        require(bool(self.classes), "classes: at least one is needed")
        require(self.max_attempts >= 1, "max_attempts must be at least 1")
        require(self.proxies >= 1, "proxies must be at least 1")
        require(0 <= self.cold_share <= 1, "cold_share must lie in [0, 1]")
        require(self.warm_time >= 0, "warm_time must not be negative")
        require(self.subscribe_within > 0, "subscribe_within must be above 0")


# --- events and actions (not frozen: a frozen record takes three times as long to create) ----
class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    LATE = "late"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never_sent"
    MISS = "miss"
    MOVED = "moved"  # not run; the reply redirects to the cache that owns the slot
    ASK = "asked"  # not run; redirected to another cache for this request only
    MALFORMED = "spoilt"  # the answer cannot be parsed; the request has run


class CacheState(Enum):
    """The state of a cache in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What discovery sent: changed entries, a whole list, or no list."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"
    TIMED_OUT = "silent"  # an established watch timed out


# How a request ended: whether a cache likely had its key, its badness (0: answered in time, 1: no
# useful answer), the ms that it took, its class's latency target, whether it shows queueing.
LoadSample = tuple[bool, float, float, float, bool]


class Member(NamedTuple):
    """A cache's list entry; a tuple, since thousands are created in one loop turn."""

    id: int
    state: CacheState = CacheState.READY
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0


@dataclass(slots=True)
class Request:
    """A client's request; its client waits until `give_up_at`."""

    id: int
    class_name: str
    give_up_at: float
    key: int | None = None
    write: bool = False
    tenant: str = ""
    owner: int | None = None  # owner of the key's slot, in a cluster with slots


@dataclass(slots=True)
class Outcome:
    """The end of an attempt; `closed`: the request has ended, whatever the result."""

    request_id: int
    attempt: int
    result: Result
    closed: bool
    latency: float
    hit: bool | None = None
    report: dict[str, float] | None = None
    redirect_to: int | None = None  # target of MOVED or ASK, if it is listed


@dataclass(slots=True)
class Send:
    """Send the request to this cache."""

    request_id: int
    cache_id: int
    stop_at: float  # end of the attempt; 0: when the client gives up
    deliver_by: float = 0.0  # it must not reach the cache after this time; 0: no bound
    asking: bool = False  # it follows an ASK redirect


class Reason(Enum):
    """Why a request was refused or failed, for counters."""

    ADMISSION = "admission"  # the offered load is above the admission limit
    NO_NODE = "no_node"  # no cache was known, or none may take it
    ATTEMPTS = "attempts"  # the attempts failed, and no more are allowed


@dataclass(slots=True)
class Refuse:
    """Tell the client that a retry is safe, after `backoff` ms."""

    request_id: int
    backoff: float = 0.0
    reason: Reason = field(default=Reason.ATTEMPTS, compare=False)


@dataclass(slots=True)
class Fail:
    """Give the client an error that doesn't promise a safe retry."""

    request_id: int
    reason: Reason = field(default=Reason.ATTEMPTS, compare=False)


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class Timer:
    """Call `on_timer` with this label after `delay` ms."""

    delay: float
    label: int


@dataclass(slots=True)
class Subscribe:
    """Open a subscription to the cache list."""

    active: bool = True


Action = Send | Refuse | Fail | Cancel | Timer | Subscribe
