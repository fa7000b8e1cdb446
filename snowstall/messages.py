"""The records that the policy takes and gives: settings, events, actions.

Records only: no rule and no constant of the policy stands here, so that the files which
deploy/balancer.toml names under `policy` are the ones to read for how it decides.  Times are
milliseconds on the caller's clock, which never steps back; a duration is in milliseconds too
unless its name ends in `_per_s`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

HOUSEKEEPING = 1 << 52  # a timer's labels from here on are not request ids
RESIZING = HOUSEKEEPING + 1  # of the timer after which more caches get their sizes


def require(condition: bool, message: str) -> None:
    """ValueError with this message unless the condition holds."""
    if not condition:
        raise ValueError(message)


# --- settings -------------------------------------------------------------------------
class Effect(Enum):
    PURE = "pure"  # safe to repeat at any time
    KEYED = "keyed"  # caches of the group drop repeats inside a window
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    latency_target: float
    deadline: float
    effect: Effect
    value: float = 1.0
    late_value: float = 0.0
    group: Group = Group.ALL
    repeat_window: float = 0.0

    def __post_init__(self) -> None:
        for name in ("latency_target", "deadline"):
            require(getattr(self, name) > 0, f"class {self.name}: {name} must be above 0")
        require(self.value >= 0, f"class {self.name}: value must not be negative")
        require(self.repeat_window >= 0, f"class {self.name}: repeat_window is negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    max_attempts: int
    proxies: int = 1
    zone: str = ""
    origin_kind: str | None = None  # set where misses come back and the proxy asks the origin
    must_subscribe: bool = False
    local_agent: bool = (
        False  # who is asked has the lists beside this proxy, and they count as told
    )
    can_hedge: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    weighted: bool = False  # the list states sizes that can be compared
    cold_share: float = 0.1
    warm_time: float = 0.0
    subscribe_within: float = 10_000.0
    cross_zone_price: float = 0.0
    origin_price: float = 0.0
    waste_price: float = 0.0
    max_backoff: float = 0.0
    over_quota_factor: float = 1.0
    tenants: tuple[Tenant, ...] = ()

    def __post_init__(self) -> None:
        require(bool(self.classes), "classes: at least one is needed")
        require(self.max_attempts >= 1, "max_attempts must be at least 1")
        require(self.proxies >= 1, "proxies must be at least 1")
        require(0 <= self.cold_share <= 1, "cold_share must lie in [0, 1]")
        require(self.warm_time >= 0, "warm_time must not be negative")
        require(self.subscribe_within > 0, "ask_within must be above 0")


# --- events and actions (not frozen: a frozen one costs three times as much to make) ----
class Result(Enum):
    OK = "ok"
    ERROR = "error"
    FULL = "full"
    LATE = "late"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never_sent"
    MISS = "miss"
    MOVED = "moved"  # not run: its slot belongs to the cache that the outcome names
    ASK = "asked"  # not run: this one time the named cache is to be asked
    MALFORMED = "spoilt"  # an answer came that cannot be read: the request has run


class CacheState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"
    TIMED_OUT = "silent"  # a watch that stood has fallen silent


# What came of a request: whether a cache likely had its key, its badness (0 in time, 1 nothing),
# the ms that it took and its class's aim, whether it tells of queues.
LoadSample = tuple[bool, float, float, float, bool]


class Member(NamedTuple):
    """A cache as the list has it; a tuple, since thousands are made in one turn."""

    id: int
    state: CacheState = CacheState.READY
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0


@dataclass(slots=True)
class Request:
    id: int
    class_name: str
    give_up_at: float
    key: int | None = None
    write: bool = False
    tenant: str = ""
    owner: int | None = None  # the cache that owns its key's slot, where there are slots


@dataclass(slots=True)
class Outcome:
    request_id: int
    attempt: int
    result: Result
    closed: bool
    latency: float
    hit: bool | None = None
    report: dict[str, float] | None = None
    redirect_to: int | None = (
        None  # of MOVED and ASKED: the cache that was named, if the list knows it
    )


@dataclass(slots=True)
class Send:
    request_id: int
    cache_id: int
    stop_at: float  # 0: when the client gives up
    deliver_by: float = 0.0  # the cache has it by then, or must never get it; 0: no bound
    asking: bool = False  # as one that follows ASKED


class Reason(Enum):
    """Why a request was refused or failed, for whoever counts."""

    ADMISSION = "admission"  # more is asked than comes back in time
    NO_NODE = "no_node"  # no cache was known or might be asked
    ATTEMPTS = "attempts"  # what was tried failed, and nothing more may be tried


@dataclass(slots=True)
class Refuse:
    request_id: int
    backoff: float = 0.0
    reason: Reason = field(default=Reason.ATTEMPTS, compare=False)


@dataclass(slots=True)
class Fail:
    request_id: int
    reason: Reason = field(default=Reason.ATTEMPTS, compare=False)


@dataclass(slots=True)
class Cancel:
    request_id: int
    attempt: int


@dataclass(slots=True)
class Timer:
    delay: float
    label: int


@dataclass(slots=True)
class Subscribe:
    active: bool = True


Action = Send | Refuse | Fail | Cancel | Timer | Subscribe
