"""Where the list of cache nodes comes from, and what is believed of it."""

from .native import Entry, Listing, Watch, as_member, parse_listing, stable_hash

__all__ = ["Entry", "Listing", "Watch", "as_member", "parse_listing", "stable_hash"]
