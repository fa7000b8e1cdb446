"""Items that one member is to send to another.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

from .wire import Item


@dataclass(frozen=True, slots=True)
class Send:
    """Items for a member `to`, or for an address `place` if `to` is empty (name not known)."""

    to: str
    place: str
    items: tuple[Item, ...]
