"""Sources of the list of cache nodes, and how their lists are checked and merged."""

from .addresses import NodeAddresses
from .entries import Entry, Listing, as_member, parse_listing, stable_hash
from .source import Membership, source_order
from .table import ConsulTable, MembershipTable

__all__ = [
    "ConsulTable",
    "Entry",
    "Listing",
    "Membership",
    "MembershipTable",
    "NodeAddresses",
    "as_member",
    "parse_listing",
    "source_order",
    "stable_hash",
]
