"""snowstall: decides, for a sidecar proxy, which cache server gets each request."""

from .balance import Balancer
from .messages import (
    HOUSEKEEPING,
    Action,
    CacheState,
    Cancel,
    Effect,
    Fail,
    Group,
    Judged,
    ListKind,
    Member,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
    Subscribe,
    Tenant,
    Timer,
)

__all__ = [
    "HOUSEKEEPING",
    "Action", "Balancer", "CacheState", "Cancel", "Effect", "Fail", "Group", "Judged", "ListKind",
    "Member", "Outcome", "Refuse", "Request", "RequestClass", "Result", "Send", "Settings",
    "Subscribe", "Tenant", "Timer",
]
