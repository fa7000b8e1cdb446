"""Where the list of cache nodes comes from, and what is believed of it."""

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
