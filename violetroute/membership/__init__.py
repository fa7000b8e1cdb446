"""Where the list of cache nodes comes from, and what is believed of it."""

from .addresses import Places
from .entries import Entry, Listing, as_member, parse_listing, stable_hash
from .source import Membership, order
from .table import ConsulTable, MembershipTable

__all__ = [
    "ConsulTable",
    "Entry",
    "Listing",
    "Membership",
    "MembershipTable",
    "Places",
    "as_member",
    "order",
    "parse_listing",
    "stable_hash",
]
