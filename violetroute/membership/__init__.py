"""Where the list of cache nodes comes from, and what is believed of it."""

from .native import Entry, Listing, as_member, parse_listing, stable_hash
from .source import Membership
from .table import ConsulTable

__all__ = ["ConsulTable", "Entry", "Listing", "Membership", "as_member", "parse_listing",
           "stable_hash"]
