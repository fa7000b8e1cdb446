"""snowstall: decides, for a sidecar proxy, which cache server gets each request."""

from .balance import (
    Action,
    Balancer,
    CacheState,
    Cancel,
    Effect,
    Fail,
    Group,
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
    "Action", "Balancer", "CacheState", "Cancel", "Effect", "Fail", "Group", "ListKind",
    "Member", "Outcome", "Refuse", "Request", "RequestClass", "Result", "Send", "Settings",
    "Subscribe", "Tenant", "Timer",
]
